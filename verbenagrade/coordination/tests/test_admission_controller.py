"""Tests of the admission of requests."""

from verbenagrade.coordination import AdmissionController, AdmissionRequest
from verbenagrade.coordination.tests.test_spender import granting_call, new_spender
from verbenagrade.state import EndpointAddress, EndpointTable, Pool


async def test_admissions_of_one_request_are_distinct_attempts():
    """Guards against attempt names that depend only on the number of exclusions."""
    pool = Pool(tuple(EndpointAddress(f"e-{n}", "", "a") for n in range(3)))
    admission_controller = AdmissionController(
        new_spender(granting_call([])), EndpointTable("a", 1), 0.0, lambda: 0.0
    )
    admission_request = AdmissionRequest(
        admission_controller.new_request(), "w", "b", pool, 10, 10
    )
    first = await admission_controller.admit(admission_request, {"e-0", "e-1"})
    second = await admission_controller.admit(admission_request, {"e-1", "e-2"})
    assert first.reserved.attempt != second.reserved.attempt
