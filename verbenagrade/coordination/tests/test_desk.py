"""Admission of requests."""

from verbenagrade.coordination import Ask, Desk
from verbenagrade.coordination.tests.test_spender import granting, spender_of
from verbenagrade.state import EndpointAddress, EndpointTable, Pool


async def test_each_admission_is_an_attempt_of_its_own():
    """Two tries of a request may leave out equally many endpoints."""
    pool = Pool(tuple(EndpointAddress(f"e-{n}", "", "a") for n in range(3)))
    desk = Desk(spender_of(granting([])), EndpointTable("a", 1), 0.0, lambda: 0.0)
    ask = Ask(desk.new_request(), "w", "b", pool, 10, 10)
    first = await desk.admit(ask, {"e-0", "e-1"})
    second = await desk.admit(ask, {"e-1", "e-2"})
    assert first.reserved.attempt != second.reserved.attempt
