"""Tests of how VMs agree on the software version at which each stream began."""

import asyncio

import pytest

from verbenagrade.coordination.stream_records import PARTS, ROW_LIFE_S
from verbenagrade.coordination.tests.version_fleet import (
    REPLACED_S,
    SERVICE,
    SETTLING_S,
    STREAM_LIFE_S,
    play,
)
from verbenagrade.state.stream_versions import RecordNeed

STEP_S = 0.1


def test_stream_at_the_default_is_known_elsewhere_without_a_write():
    async def scenario(fleet, first, second):
        commits = fleet.store.commits
        await first.begin("a", "v1")
        fleet.serve("v1", "v2")
        await first.begin("b", "v1")
        assert [await second.find("a"), await second.find("b")] == ["v1", "v1"]
        assert fleet.store.commits == commits

    play(scenario)


# Guards against a version that is lost with the VM at which the stream began.
def test_stream_at_another_version_is_known_elsewhere():
    async def scenario(fleet, first, second):
        fleet.serve("v1", "v2", "v2")
        await asyncio.gather(*(first.begin(f"c{n}", "v2") for n in range(30)))
        assert {await second.find(f"c{n}") for n in range(30)} == {"v2"}

    play(scenario)


# Guards against a stream that goes on at the new default, though it began at the one
# whose endpoints are gone.
def test_stream_of_a_replaced_default_is_not_known():
    async def scenario(fleet, first, second):
        fleet.serve("v1", "v2")
        await first.begin("old", "v1")
        await first.begin("new", "v2")
        fleet.serve("v2", "v2")
        await fleet.run(REPLACED_S)
        assert await second.find("old") is None
        assert await second.find("new") == "v2"
        await fleet.run(STREAM_LIFE_S + SETTLING_S)
        await first.begin("later", "v2")
        assert first.versions.need(SERVICE, "v2") is RecordNeed.NONE
        assert await second.find("later") == "v2"

    play(scenario)


# Guards against a rollback after which streams of the withdrawn version go on.
def test_stream_of_a_withdrawn_version_does_not_go_on_at_the_default():
    async def scenario(fleet, first, second):
        fleet.serve("v1", "v2")
        await fleet.maintain()
        await first.begin("a", "v2")
        fleet.serve("v1", "v1")
        await fleet.maintain()
        assert await second.find("a") == "v2"

    play(scenario)


# Guards against a transaction of an earlier attempt that is committed late and replaces
# the record of the attempt that began the stream.
def test_late_record_of_an_earlier_attempt_changes_nothing():
    async def scenario(fleet, first, second):
        fleet.serve("v1", "v2", "v3")
        fleet.store.late = []
        attempt = asyncio.create_task(first.versions.record("a", 1, "v2"))
        await asyncio.sleep(0.2)
        attempt.cancel()
        late, fleet.store.late = fleet.store.late, None
        await first.begin("a", "v3", number=2)
        for writes in late:
            fleet.store.write(writes)
        assert await second.find("a") == "v3"

    play(scenario)


def test_record_waits_for_the_store():
    async def scenario(fleet, first, second):
        fleet.serve("v1", "v2")
        fleet.store.down = True
        begun = asyncio.create_task(first.begin("a", "v2"))
        await asyncio.sleep(3.0)
        assert not begun.done()
        assert not first.versions.may_record()
        fleet.store.down = False
        await begun
        assert first.versions.may_record()
        assert await second.find("a") == "v2"

    play(scenario)


@pytest.mark.parametrize("mixed", [False, True])
def test_without_the_store_only_the_own_streams_are_certain(mixed):
    async def scenario(fleet, first, second):
        await first.begin("a", "v1")
        fleet.serve(*(("v1", "v2") if mixed else ("v1",)))
        fleet.store.down = True
        assert await second.find("a") is None
        assert await first.find("a") == "v1"

    play(scenario)


# Guards against records that the store has lost, whose streams go on at the default.
def test_stream_without_a_record_is_not_known_after_the_store_lost_rows():
    async def scenario(fleet, first, second):
        fleet.serve("v1", "v2")
        fleet.store.take_copy()
        await first.begin("a", "v2")
        fleet.store.come_back_from_copy()
        assert await second.find("a") is None
        assert await first.find("a") == "v2"

    play(scenario)


def test_lost_row_of_the_default_is_written_again():
    async def scenario(fleet, first, _second):
        rows, fleet.store.rows = fleet.store.rows, {}
        for vm in fleet.vms:
            vm.follow(complete=True)
        fleet.serve("v1", "v2", "v2", "v2")
        await fleet.maintain()
        assert fleet.store.rows.keys() == rows.keys()
        assert first.versions.defaults.known[SERVICE].version == "v1"

    play(scenario)


def test_records_of_a_lost_vm_are_removed_in_the_end():
    async def scenario(fleet, first, second):
        fleet.serve("v1", "v2")
        for number in range(20):
            await first.begin(f"c{number}", "v2")
        fleet.vms.remove(first)
        for _ in range(int(4 * ROW_LIFE_S)):
            await asyncio.sleep(1.0)
            await fleet.maintain()
        assert not [key for key in fleet.store.rows if key.startswith("streams/")]

    play(scenario)


def test_records_stay_below_their_part_of_the_stores_writes():
    async def scenario(fleet, first, _second):
        fleet.serve("v1", "v2")
        recorded = 0
        for _ in range(100):
            while first.versions.may_record():
                await first.begin(f"c{recorded}", "v2")
                recorded += 1
            await asyncio.sleep(STEP_S)
        assert recorded <= 0.25 * 800 * (100 * STEP_S + 1.0) + 1

    play(scenario)


# Guards against a transaction for the removal of each record.
def test_old_records_are_removed_together():
    async def scenario(fleet, first, _second):
        fleet.serve("v1", "v2")
        await asyncio.gather(*(first.begin(f"c{n}", "v2") for n in range(200)))
        commits = fleet.store.commits
        for _ in range(int(4 * ROW_LIFE_S)):
            await asyncio.sleep(1.0)
            await fleet.maintain()
        assert not [key for key in fleet.store.rows if key.startswith("streams/")]
        assert fleet.store.commits - commits <= 2 * PARTS

    play(scenario)
