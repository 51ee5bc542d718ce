"""Tests of calls by GET and PUT whose endpoints close the connection."""

import asyncio

import pytest

from verbenagrade.platform.tests.conftest import configuration_document, route
from verbenagrade.platform.tests.crashing_endpoints import (
    RETURN_S,
    CrashingEndpoints,
)
from verbenagrade.platform.tests.endpoint_standin import plain, reset
from verbenagrade.state.poison_calls import MIN_POISON_CRASHES

MAX_SENT_LATER = 3
MAX_RUNS = 2


def crashing_reads(testbed) -> CrashingEndpoints:
    """Returns endpoints that crash when they run a call whose path has ``crash``."""
    return CrashingEndpoints(testbed, lambda r: "crash" in r.path, plain())


# Guards against a read that crashes every endpoint and is never recognised, because
# the closed connection is taken for one that could not be opened.
async def test_repeated_read_that_crashes_endpoints_stops_after_three_crashes(testbed):
    endpoints = crashing_reads(testbed)
    await endpoints.add(3)
    await testbed.start(configuration_document())
    await testbed.wait_until_ready()
    for _ in range(6):
        await testbed.call("/safe/crash", method="GET", body=b"")
        await asyncio.sleep(2 * RETURN_S)
    assert len(endpoints.received) <= MIN_POISON_CRASHES + MAX_SENT_LATER
    status, _, _ = await testbed.call("/safe/sound", method="GET", body=b"")
    assert status == 200


# Guards against repeats that reach endpoints through gateways which saw no crash.
async def test_repeated_read_that_crashes_endpoints_stops_at_all_gateways(testbed):
    endpoints = crashing_reads(testbed)
    await endpoints.add(3)
    await testbed.start(configuration_document())
    await testbed.wait_until_ready()
    await testbed.start_another()
    await testbed.start_another()
    for number in range(9):
        gateway = [testbed.gateway, *testbed.others][number % 3]
        await testbed.call("/safe/crash", method="GET", body=b"", gateway=gateway)
        await asyncio.sleep(2 * RETURN_S)
    assert len(endpoints.received) <= MIN_POISON_CRASHES + MAX_SENT_LATER


# Guards against the refusal of a call as not run after endpoints have run it, and
# against more runs than its route allows.
async def test_read_that_crashed_endpoints_is_not_refused_as_not_run(testbed):
    endpoints = crashing_reads(testbed)
    await endpoints.add(5)
    await testbed.start(configuration_document())
    await testbed.wait_until_ready()
    status, _, _ = await testbed.call("/safe/crash", method="GET", body=b"")
    assert len(endpoints.received) <= MAX_RUNS
    assert status == 502


# Guards against a second run of a call that may run at most once, after its
# connection was closed without a response.
@pytest.mark.parametrize("method", ["GET", "HEAD", "PUT", "DELETE", "POST"])
async def test_call_whose_connection_is_reset_is_sent_once(testbed, method):
    endpoint = await testbed.add_endpoint(reset())
    await testbed.start(configuration_document())
    await testbed.wait_until_ready()
    status, _, _ = await testbed.call("/once/", method=method, body=b"")
    assert len(endpoint.requests) == 1
    assert status == 502


# Guards against repeats that the retry budget does not count.
async def test_reads_whose_connections_are_reset_stay_within_the_retry_budget(testbed):
    endpoint = await testbed.add_endpoint(reset())
    document = configuration_document(routes=[route("/safe/", "safe", max_attempts=1)])
    await testbed.start(document)
    await testbed.wait_until_ready()
    for _ in range(5):
        await testbed.call("/safe/x", method="GET", body=b"")
    assert len(endpoint.requests) == 5
