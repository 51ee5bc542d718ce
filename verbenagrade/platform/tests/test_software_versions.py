"""Tests of streams while endpoints of two software versions serve."""

import asyncio

import pytest

from verbenagrade.platform.tests.conftest import configuration_document
from verbenagrade.platform.tests.versioned_streams import (
    EVENTS,
    add_versions,
    begin_stream,
    resume_stream,
    versioned,
    versions_in,
)
from verbenagrade.transport.gateway import core as gateway_core
from verbenagrade.transport.gateway import upkeep

STREAMS = 12
LONG_AGO_S = -1e6
SHORT_LIFE_S = 0.5
NEVER_S = 1e6


async def start(testbed, *versions, default=None) -> None:
    """Starts endpoints and a gateway; ``default`` has been the default for long."""
    if default:
        row = {"version": default, "since_s": LONG_AGO_S}
        testbed.store.put("fleet", "software/pool", row)
    await add_versions(testbed, *versions)
    await testbed.start(configuration_document())
    await testbed.wait_until_ready()


def cut_unless_resumed(version: str):
    """Breaks each stream off after its second event, but none that goes on."""

    async def handle(request, writer):
        cut = None if "last-event-id" in request.headers else 2
        await versioned(version, cut=cut)(request, writer)

    return handle


@pytest.fixture
def short_streams(monkeypatch):
    """Has callers take streams up for a short time only."""
    monkeypatch.setattr(gateway_core, "MIN_STREAM_LIFE_S", SHORT_LIFE_S)
    monkeypatch.setattr(gateway_core, "STREAM_LIFE_FACTOR", 0.0)


async def begin_streams(testbed, gateway, name="begun") -> dict[str, list[str]]:
    """Begins streams at a gateway; returns the version of each by its call."""
    calls = [f"{name}-{number}" for number in range(STREAMS)]
    begun = await asyncio.gather(
        *(begin_stream(testbed, call, gateway) for call in calls)
    )
    return dict(zip(calls, begun, strict=True))


async def check_resumptions(testbed, begun, gateway) -> None:
    """Takes all streams up and asserts that each goes on at its version."""
    rest = await asyncio.gather(
        *(resume_stream(testbed, call, gateway) for call in begun)
    )
    for (call, first), others in zip(begun.items(), rest, strict=True):
        assert len(first) == 1
        assert others == first * (EVENTS - 1), call


# Guards against a response that holds events of two software versions, because the
# gateway goes on with a broken stream at any endpoint.
async def test_broken_stream_goes_on_at_an_endpoint_of_its_version(testbed):
    await start(testbed, "v1", "v1", "v2", "v2", "v2", "v2")
    for endpoint in testbed.endpoints:
        endpoint.handlers = [cut_unless_resumed(endpoint.software_version)]
    responses = await asyncio.gather(
        *(testbed.call("/resume/x", body=b"%d" % n) for n in range(STREAMS))
    )
    for status, body, _ in responses:
        assert status == 200
        versions = versions_in(body)
        assert len(versions) == EVENTS
        assert len(set(versions)) == 1


# Guards against a caller who resumes a stream and gets events of another version.
async def test_resumed_stream_goes_on_at_its_version(testbed):
    await start(testbed, "v1", "v1", "v2", "v2")
    begun = await begin_streams(testbed, testbed.gateway)
    await check_resumptions(testbed, begun, testbed.gateway)


# Guards against a version that is known only to the VM at which the stream began.
async def test_stream_of_a_lost_vm_goes_on_at_its_version(testbed):
    await start(testbed, "v1", "v1", "v2", "v2")
    await testbed.start_another()
    lost = testbed.others[0]
    begun = await begin_streams(testbed, lost)
    await testbed.end(lost)
    await check_resumptions(testbed, begun, testbed.gateway)


async def test_stream_of_a_lost_vm_is_known_with_a_default_version(testbed):
    await start(testbed, "v1", "v1", "v2", "v2", default="v1")
    await testbed.start_another()
    lost = testbed.others[0]
    begun = await begin_streams(testbed, lost)
    assert {version for versions in begun.values() for version in versions} == {
        "v1",
        "v2",
    }
    await testbed.end(lost)
    await check_resumptions(testbed, begun, testbed.gateway)


# Guards against streams that begin without a record, which nobody could take up.
async def test_streams_begin_at_the_default_version_while_the_store_is_away(testbed):
    await start(testbed, "v1", "v2", "v2", "v2", default="v1")
    testbed.store.status = 503
    first = asyncio.create_task(begin_streams(testbed, testbed.gateway, "first"))
    await testbed.wait_until(lambda: testbed.core.versions.records.away)
    begun = await begin_streams(testbed, testbed.gateway)
    await first
    assert set(map(tuple, begun.values())) == {("v1",)}


async def test_resumed_stream_of_unknown_version_is_refused_as_not_run(testbed):
    await start(testbed, "v1", "v2", default="v1")
    testbed.store.status = 503
    status, _, headers = await testbed.call(
        "/resume/x", **{"Resumes": "elsewhere", "Last-Event-Id": "1"}
    )
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    assert not any(endpoint.requests for endpoint in testbed.endpoints)


async def test_resumed_stream_is_refused_without_an_endpoint_of_its_version(testbed):
    await start(testbed, "v1", "v2", default="v1")
    begun = await begin_streams(testbed, testbed.gateway)
    testbed.store.remove("servers", testbed.endpoints[1].name)
    await testbed.wait_until(lambda: len(testbed.core.directory.entries) == 1)
    call = next(call for call, versions in begun.items() if versions == ["v2"])
    assert await resume_stream(testbed, call, testbed.gateway) == []
    assert len(testbed.endpoints[0].requests) + len(
        testbed.endpoints[1].requests
    ) == len(begun)


# Guards against a VM that the store turns away during a release, at which streams of
# the new version go on at the default, the only one that this VM has seen for long.
async def test_stream_taken_up_at_a_vm_that_is_turned_away_keeps_its_version(
    testbed, short_streams
):
    await start(testbed, "v1", "v1", default="v1")
    address = await testbed.store.open_address()
    await testbed.start_another(address)
    turned_away = testbed.others[0]
    await asyncio.sleep(2 * SHORT_LIFE_S)
    testbed.store.turned_away.add(address)
    await add_versions(testbed, "v2", "v2", "v2")
    await testbed.wait_until_ready()
    begun = await begin_streams(testbed, testbed.gateway)
    assert ["v2"] in begun.values()
    for call in begun:
        assert await resume_stream(testbed, call, turned_away) == []
    testbed.store.turned_away.clear()
    await testbed.wait_until(
        lambda: len(turned_away.core.directory.entries) == len(testbed.endpoints)
    )
    await check_resumptions(testbed, begun, turned_away)


async def drill(testbed) -> None:
    """Lets the store lose what was written since its copy, and all VMs notice that."""
    era = testbed.store.era
    testbed.store.status = 503
    await testbed.wait_until(lambda: testbed.core.configuration_freshness.unavailable)
    testbed.store.come_back_from_copy()
    testbed.store.status = 0
    cores = [gateway.core for gateway in (testbed.gateway, *testbed.others)]
    await testbed.wait_until(lambda: {core.eras.current for core in cores} == {era + 1})


# Guards against streams that join two versions, or can't go on at all, at a VM that
# starts after the store lost rows, whether they began before or after that.
@pytest.mark.parametrize("begin_first", [True, False])
async def test_streams_go_on_at_a_vm_that_starts_after_a_drill(testbed, begin_first):
    testbed.store.era = 1
    await start(testbed, "v1", "v1", "v2", "v2", default="v1")
    await testbed.start_another()
    lost = testbed.others[0]
    testbed.store.take_copy()
    begun = await begin_streams(testbed, lost) if begin_first else {}
    await drill(testbed)
    begun = begun or await begin_streams(testbed, lost)
    assert {("v1",), ("v2",)} == set(map(tuple, begun.values()))
    unrecorded = lost.core.versions.begun.unrecorded
    await testbed.wait_until(lambda: not unrecorded(testbed.store.era, 0.0))
    await testbed.end(lost)
    await testbed.start_another()
    await check_resumptions(testbed, begun, testbed.others[0])


# Guards against a stream that breaks off before its VM looks at all its streams again,
# and that can't be taken up in the first seconds of a fleet.
async def test_stream_is_recorded_as_soon_as_it_begins_in_a_new_fleet(
    testbed, monkeypatch
):
    monkeypatch.setattr(upkeep, "RECORD_INTERVAL_S", NEVER_S)
    testbed.store.era = 1
    await start(testbed, "v1", "v1", default="v1")
    await testbed.start_another()
    begun = await begin_streams(testbed, testbed.others[0])
    unrecorded = testbed.others[0].core.versions.begun.unrecorded
    await testbed.wait_until(lambda: not unrecorded(testbed.store.era, 0.0))
    await check_resumptions(testbed, begun, testbed.gateway)
