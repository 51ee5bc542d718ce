"""Tests of calls that arrive or wait while a gateway stops as planned.

Each ends in the grace period, or is refused as not run soon enough to be served by
another VM.
"""

import asyncio
from dataclasses import replace

import aiohttp
import pytest

from verbenagrade.platform.tests.conftest import BOUNDS, configuration_document, route
from verbenagrade.platform.tests.endpoint_standin import (
    delayed,
    plain,
    refusal,
    reset,
    stream,
)
from verbenagrade.state.call_durations import MIN_DURATIONS
from verbenagrade.transport.gateway import process, relay_server

GRACE_S = 3.0
STOPS_AFTER_S = GRACE_S - process.SIGKILL_MARGIN_S
NOT_READY_S = 0.5
TIMEOUT_MS = 6000
SHORT_TIMEOUT_MS = 1000
LONG_S = 4.0
MANY_CALLS = 60
STREAMS = ["/stream/x", "/resume/x"]
PATHS = ["/once/x", "/safe/x", *STREAMS]
RETRYABLE = ["/safe/x", "/resume/x"]


@pytest.fixture
async def fleet(testbed, monkeypatch):
    """Returns a testbed with a gateway whose calls may last longer than its grace."""
    monkeypatch.setattr(process, "READINESS_PROPAGATION_S", NOT_READY_S)
    limits = {"timeout_ms": TIMEOUT_MS, "max_attempts": 2}
    routes = [
        route("/once/", "unsafe", **limits),
        route("/safe/", "safe", **limits),
        route("/stream/", "streaming", stream_resume=False, **limits),
        route("/resume/", "streaming", stream_resume=True, **limits),
        route("/short/", "unsafe", timeout_ms=SHORT_TIMEOUT_MS, max_attempts=1),
    ]
    for _ in range(2):
        await testbed.add_endpoint(plain())
    bounds = replace(BOUNDS, grace_s=GRACE_S)
    await testbed.start(configuration_document(routes=routes), bounds=bounds)
    await testbed.wait_until_ready()
    return testbed


def serve(testbed, handler) -> None:
    for endpoint in testbed.endpoints:
        endpoint.handlers = [handler]


def received(testbed) -> int:
    return sum(len(endpoint.requests) for endpoint in testbed.endpoints)


async def call(testbed, path, **options):
    """Returns status, body and headers; the status is 0 without a whole response."""
    headers = {"Deadline_Ms": str(TIMEOUT_MS), **options}
    try:
        return await testbed.call(path, **headers)
    except aiohttp.ClientError:
        return 0, b"", {}


async def learn_durations(testbed, path) -> None:
    """Makes as many short calls as it takes to know how long calls last."""
    serve(testbed, stream(3) if path in STREAMS else plain())
    for _ in range(MIN_DURATIONS):
        assert (await call(testbed, path))[0] == 200


def assert_refused_as_not_run(response) -> None:
    status, _, headers = response
    assert status == 503
    assert float(headers["Retry-After"]) > 0


async def slow_body(seconds: float):
    """Yields a body that takes some time."""
    yield b"first"
    await asyncio.sleep(seconds)
    yield b"last"


# Guards against calls that come once the stop has begun, are passed on and can't end
# before the process does.
@pytest.mark.parametrize("path", PATHS)
async def test_call_that_can_not_end_in_the_grace_is_refused(fleet, path):
    serve(fleet, delayed(LONG_S, plain()))
    fleet.stop.set()
    await fleet.wait_until(lambda: fleet.core.stopping)
    assert not fleet.core.rejecting_calls
    response = await call(fleet, path)
    assert_refused_as_not_run(response)
    assert received(fleet) == 0


async def test_call_whose_deadline_is_in_the_grace_is_served(fleet):
    fleet.stop.set()
    await fleet.wait_until(lambda: fleet.core.stopping)
    assert (await call(fleet, "/short/x"))[0] == 200
    assert (await call(fleet, "/once/x", Deadline_Ms="1000"))[0] == 200


# Guards against refusals of calls that end in time although they might take longer, and
# against the risk that one which may not run again takes longer than all before.
@pytest.mark.parametrize("path", PATHS)
async def test_call_is_expected_to_be_as_short_as_others_only_if_it_may_run_again(
    fleet, path
):
    await learn_durations(fleet, path)
    fleet.stop.set()
    await fleet.wait_until(lambda: fleet.core.stopping)
    response = await call(fleet, path)
    if path in RETRYABLE:
        assert response[0] == 200
    else:
        assert_refused_as_not_run(response)


# Guards against a call on an open connection that is passed on late, because its head
# had come before calls were rejected.
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("begun_before_the_stop", [True, False])
async def test_call_with_a_slow_body_is_refused_in_time(
    fleet, path, begun_before_the_stop
):
    await learn_durations(fleet, path)
    if not begun_before_the_stop:
        fleet.stop.set()
        await fleet.wait_until(lambda: fleet.core.stopping)
    calling = asyncio.create_task(call(fleet, path, body=slow_body(LONG_S)))
    await fleet.wait_until(lambda: fleet.core.in_flight == 1 or calling.done())
    fleet.stop.set()
    started_at = asyncio.get_running_loop().time()
    assert_refused_as_not_run(await calling)
    assert asyncio.get_running_loop().time() - started_at < STOPS_AFTER_S
    await fleet.gateway_task
    assert received(fleet) == MIN_DURATIONS


# Guards against a call whose budget is not reached, as the store is silent, and which
# is cut off or passed on when the grace is nearly over.
async def test_call_that_waits_for_its_budget_is_refused_in_time(fleet):
    fleet.core.budgets.reserve = lambda _workspace, _tokens: asyncio.sleep(LONG_S)
    calling = asyncio.create_task(call(fleet, "/once/x", Token_Count="10,10"))
    await fleet.wait_until(lambda: fleet.core.in_flight == 1)
    fleet.store.unresponsive = True
    fleet.stop.set()
    assert_refused_as_not_run(await calling)
    assert not fleet.gateway_task.done()
    await fleet.gateway_task
    assert received(fleet) == 0


# Guards against a call that is sent again when the grace is nearly over.
@pytest.mark.parametrize("path", PATHS)
async def test_call_is_not_sent_again_late_in_the_grace(fleet, path):
    serve(fleet, delayed(1.0, refusal()))
    calling = asyncio.create_task(call(fleet, path))
    await fleet.wait_until(lambda: received(fleet) == 1)
    fleet.stop.set()
    assert_refused_as_not_run(await calling)
    assert received(fleet) == 1


# Guards against an answer "not run" to a call that may have run.
@pytest.mark.parametrize("path", ["/safe/x", "/resume/x"])
async def test_call_that_may_have_run_is_not_refused_as_not_run(fleet, path):
    serve(fleet, delayed(1.0, reset()))
    calling = asyncio.create_task(call(fleet, path))
    await fleet.wait_until(lambda: received(fleet) == 1)
    fleet.stop.set()
    assert (await calling)[0] == 502
    assert received(fleet) == 1


# Guards against calls that are cut off without an answer at the end of the grace.
@pytest.mark.parametrize("store_responds", [True, False])
@pytest.mark.parametrize("path", PATHS)
async def test_call_from_before_the_stop_is_answered_before_the_process_ends(
    fleet, path, store_responds
):
    serve(fleet, delayed(LONG_S, plain()))
    calling = asyncio.create_task(call(fleet, path))
    await fleet.wait_until(lambda: received(fleet) == 1)
    fleet.store.unresponsive = not store_responds
    fleet.stop.set()
    started_at = asyncio.get_running_loop().time()
    await fleet.gateway_task
    assert fleet.core.in_flight == 0
    assert asyncio.get_running_loop().time() - started_at < GRACE_S
    assert (await calling)[0] == 502


# Guards against a call of another VM whose body comes late and which is then passed on.
async def test_call_of_another_vm_with_a_slow_body_is_not_passed_on(fleet, monkeypatch):
    await fleet.start_another()
    other = fleet.others[0]
    await fleet.cut_off(other)
    other.core.reach.cut_off = True
    await fleet.wait_until(lambda: other.core.fleet.peers.peers)
    await fleet.wait_until(lambda: other.core.relay_keys.keys)
    read = []

    async def read_slowly(core, request, limit, deadline):
        read.append(request)
        await asyncio.sleep(LONG_S)
        return b"hello"

    monkeypatch.setattr(relay_server, "read_body", read_slowly)
    calling = asyncio.create_task(call(fleet, "/once/x", gateway=other))
    await fleet.wait_until(lambda: read)
    fleet.core.begin_stop(fleet.core.clock() + STOPS_AFTER_S)
    assert_refused_as_not_run(await asyncio.wait_for(calling, 1.0))
    assert received(fleet) == 0


# Guards against a process that exits while the last answers are being written.
async def test_process_ends_only_after_the_last_answers(fleet):
    serve(fleet, delayed(LONG_S, plain()))
    calls = [asyncio.create_task(call(fleet, "/once/x")) for _ in range(MANY_CALLS)]
    await fleet.wait_until(lambda: received(fleet) == MANY_CALLS)
    fleet.stop.set()
    await fleet.gateway_task
    assert fleet.core.in_flight == 0
    assert {status for status, _, _ in await asyncio.gather(*calls)} == {502}
