"""Tests of calls whose responses break off, at endpoints that crashed or did not."""

import asyncio
import time
from dataclasses import replace
from functools import partial

import msgspec
import xxhash

from verbenagrade.platform.tests.conftest import API_KEY, configuration_document
from verbenagrade.platform.tests.crashing_endpoints import RETURN_S
from verbenagrade.platform.tests.endpoint_standin import plain, reset
from verbenagrade.state.calls import CallHead
from verbenagrade.state.poison_calls import MIN_POISON_CRASHES
from verbenagrade.transport.gateway.crashes import ENTRY_PATIENCE_S, record_break

STABLE_S = 4.0
MAX_SENT_LATER = 3
POISON = 422


async def read(testbed, path, gateway=None) -> int:
    status, _, _ = await testbed.call(path, method="GET", body=b"", gateway=gateway)
    return status


async def start_three(testbed, count, handlers) -> list:
    """Starts three gateways and endpoints with these handlers; returns the gateways."""
    for _ in range(count):
        await testbed.add_endpoint(*handlers())
    await testbed.start(configuration_document())
    await testbed.wait_until_ready()
    await testbed.start_another()
    await testbed.start_another()
    return [testbed.gateway, *testbed.others]


def digest_of(path) -> str:
    """Returns the digest by which VMs know a read of the path."""
    return xxhash.xxh3_128_hexdigest(f"{path}\0{API_KEY}\0".encode())


def put_crashes(testbed, digest, times_s) -> None:
    """Writes rows of crashes as every build does, at times on the store's clock."""
    for number, at_s in enumerate(times_s):
        testbed.store.put("fleet", f"crash/{digest}/i-{number}@1", {"at_s": at_s})


def crash_rows(testbed) -> list[str]:
    return [key for _, _, key in testbed.store.rows if key.startswith("crash/")]


# Guards against sound calls that are refused for minutes because responses to them
# were lost by endpoints that never crashed.
async def test_read_whose_responses_were_lost_is_served_at_all_gateways(testbed):
    gateways = await start_three(testbed, 6, lambda: [reset(), reset(), plain()])
    statuses = [await read(testbed, "/safe/x", gateways[n % 3]) for n in range(12)]
    assert POISON not in statuses
    assert [await read(testbed, "/safe/x", gateway) for gateway in gateways] == [
        200
    ] * 3


# Guards against a report of a lost response once the endpoint was seen to listen.
async def test_endpoint_that_goes_on_listening_is_not_reported(testbed):
    await testbed.add_endpoint(reset())
    await testbed.start(configuration_document())
    await testbed.wait_until_ready()
    await read(testbed, "/safe/x")
    assert testbed.core.crash_checks
    await testbed.wait_until(
        lambda: not testbed.core.crash_checks, ENTRY_PATIENCE_S + 2.0
    )
    assert not testbed.core.fleet.own_reports


# Guards against endpoints that are back before a VM asks, and then pass for sound.
async def test_endpoints_that_are_back_at_once_with_another_start_count(testbed):
    received = []

    def crash_and_return(number):
        async def handle(request, writer):
            received.append(number)
            endpoint = testbed.endpoints[number]
            await reset()(request, writer)
            entry = endpoint.entry("pool", born=1000 + len(received))
            testbed.store.put("servers", endpoint.name, entry)

        return handle

    for number in range(6):
        await testbed.add_endpoint(crash_and_return(number))
    await testbed.start(configuration_document())
    await testbed.wait_until_ready()
    await testbed.start_another()
    gateways = [testbed.gateway, *testbed.others]
    statuses = []
    for number in range(8):
        statuses.append(await read(testbed, "/safe/crash", gateways[number % 2]))
        await asyncio.sleep(RETURN_S)
    assert len(received) <= MIN_POISON_CRASHES + MAX_SENT_LATER
    assert statuses[-2:] == [POISON] * 2


# Guards against an endpoint whose address another one has taken over, and which
# therefore passes for sound.
async def test_endpoint_whose_address_is_taken_by_a_later_one_counts(testbed):
    first = await testbed.add_endpoint(reset())
    await testbed.start(configuration_document())
    await testbed.wait_until_ready()
    await read(testbed, "/safe/x")
    assert not testbed.core.fleet.own_reports
    testbed.store.put("servers", "i-later", first.entry("pool", born=2000))
    await testbed.wait_until(lambda: testbed.core.fleet.own_reports)


# Guards against reports of a VM that does not reach one endpoint.
async def test_endpoint_that_is_only_out_of_reach_is_not_reported(testbed):
    await testbed.add_endpoint(plain())
    await testbed.add_endpoint(plain())
    await testbed.start(configuration_document())
    await testbed.wait_until_ready()
    core = testbed.core
    silent = testbed.dead_address(silent=True)
    entry = replace(core.directory.entries["i-0"], address=silent)
    head = CallHead("call-1", "site.example", "/safe/x", 3.0)
    record_break(core, head, "digest", entry, events=0)
    check = core.crash_checks[entry.incarnation]
    await testbed.wait_until(lambda: check.silent)
    assert not core.fleet.own_reports
    testbed.store.remove("servers", "i-0")
    await testbed.wait_until(lambda: core.fleet.own_reports)


# Guards against sound reads that are refused for minutes because they ran at endpoints
# which crashed for another reason.
async def test_read_that_wrongly_counts_as_poison_is_served_within_two_windows(testbed):
    gateways = await start_three(testbed, 1, lambda: [plain()])
    digest = digest_of("/safe/x")
    put_crashes(testbed, digest, [None] * MIN_POISON_CRASHES)
    for gateway in gateways:
        calls = gateway.core.fleet.poison_calls
        await testbed.wait_until(partial(calls.is_poison, digest))
    assert [await read(testbed, "/safe/x", g) for g in gateways] == [POISON] * 3
    await asyncio.sleep(STABLE_S)
    tries = [await read(testbed, "/safe/x", gateways[1]) for _ in range(2)]
    assert tries == [200] * 2
    await asyncio.sleep(STABLE_S / 4)
    assert [await read(testbed, "/safe/x", g) for g in gateways] == [200] * 3
    await testbed.wait_until(lambda: not crash_rows(testbed))


# Guards against calls that crash endpoints and are sent again and again to try them.
async def test_poison_call_is_tried_twice_at_most(testbed):
    digest, began_s = digest_of("/safe/x"), time.monotonic() - 120.0
    times_s = [began_s + number for number in range(MIN_POISON_CRASHES)]
    put_crashes(testbed, digest, times_s)
    await start_three(testbed, 1, lambda: [reset()])
    statuses = [await read(testbed, "/safe/x") for _ in range(6)]
    assert len(testbed.endpoints[0].requests) == 2
    assert statuses[2:] == [POISON] * 4


# Guards against a fault of several endpoints at once that convicts the calls which all
# of them had, although these were responded to before.
async def test_read_that_was_served_is_not_convicted_by_crashes_at_once(testbed):
    await testbed.add_endpoint(plain())
    await testbed.start(configuration_document())
    await testbed.wait_until_ready()
    digest = digest_of("/safe/x")
    assert await read(testbed, "/safe/x") == 200
    put_crashes(testbed, digest, [None] * 5)
    crashes = testbed.core.fleet.poison_calls.crashes
    await testbed.wait_until(lambda: len(crashes.get(digest, ())) == 5)
    assert await read(testbed, "/safe/x") == 200
    await testbed.wait_until(lambda: not crash_rows(testbed))


# Guards against rows that a VM of the build before or after does not understand.
async def test_rows_of_crashes_have_the_form_of_the_build_before(testbed):
    await testbed.add_endpoint(plain())
    await testbed.start(configuration_document())
    await testbed.wait_until_ready()
    core, digest = testbed.core, digest_of("/safe/x")
    put_crashes(testbed, digest, [None] * MIN_POISON_CRASHES)
    await testbed.wait_until(lambda: core.fleet.poison_calls.is_poison(digest))
    assert await read(testbed, "/safe/x") == POISON
    await core.fleet.report_crashes(["d"], "i-9@1", core.clock())
    (row,) = await core.fleet.table.read(("fleet//crash/d/i-9@1",))
    assert list(msgspec.json.decode(row.value)) == ["at_s"]
