"""Tests that what a VM does not know is never taken for the version of a stream."""

import asyncio

import pytest

from verbenagrade.coordination.ports import Changes, Write
from verbenagrade.coordination.stream_records import ROW_LIFE_S
from verbenagrade.coordination.tests.version_fleet import (
    DEFAULT_KEY,
    REPLACED_S,
    SERVICE,
    STORE_CLOCK_S,
    STREAM_LIFE_S,
    play,
)
from verbenagrade.state.stream_versions import BegunStream, RecordNeed

SWEEPS = 2000
"""Number of rounds in which each partition is looked through, almost certainly."""


async def sweep_all(vm) -> None:
    for _ in range(SWEEPS):
        await vm.versions.maintain(())


# Guards against a VM that the store turns away, which has seen no other version and
# takes the default for the version of streams that began at new endpoints.
def test_vm_that_is_cut_off_takes_no_default_for_certain():
    async def scenario(fleet, first, second):
        second.cut_off()
        fleet.serve("v1", "v1", "v2", "v2")
        await first.begin("new", "v2")
        await first.begin("old", "v1")
        assert await second.find("new") is None
        second.recover()
        assert await second.find("new") == "v2"
        assert await second.find("old") == "v1"

    play(scenario)


# Guards against a VM that stood still while endpoints of another version came, or came
# and went, and which takes the default for the version of all streams.
@pytest.mark.parametrize("gone", [False, True])
def test_vm_that_stood_still_reads_at_which_version_a_stream_began(gone):
    async def scenario(fleet, first, second):
        second.stand_still()
        fleet.serve("v1", "v2")
        await first.begin("new", "v2")
        if gone:
            fleet.serve("v1")
            second.recover()
        assert await second.find("new") == "v2"

    play(scenario)


# Guards against a process that stands still after the store has told the default, and
# counts that time as one for which the default has not changed.
def test_time_in_which_a_process_stands_still_settles_no_default():
    async def scenario(fleet, first, second):
        def stand_still() -> None:
            fleet.store.before_read = lambda: None
            loop = asyncio.get_running_loop()
            loop.virtual_selector.now += STREAM_LIFE_S

        await first.begin("old", "v1")
        fleet.serve("v2", "v2")
        await fleet.run(REPLACED_S)
        fleet.store.before_read = stand_still
        assert await second.find("old") is None

    play(scenario)


# Guards against take-ups that cost more reads than their record and the default.
def test_stream_is_taken_up_with_two_reads_and_where_it_began_with_none():
    async def scenario(fleet, first, second):
        await first.begin("a", "v1")
        reads = fleet.store.reads
        assert await first.find("a") == "v1"
        assert fleet.store.reads == reads
        assert await second.find("a") == "v1"
        assert fleet.store.reads == reads + 2

    play(scenario)


# Guards against a record that can't be read and is passed over: the stream then goes on
# at the version of an earlier attempt, or at the default.
@pytest.mark.parametrize("earlier", [(), ("v3",)])
def test_version_of_an_unreadable_record_is_not_known(earlier):
    async def scenario(fleet, first, second):
        fleet.serve("v1", "v2", "v3")
        versions = (*earlier, "v2")
        for number, version in enumerate(versions, start=1):
            await first.begin("a", version, number)
        key = max(key for key in fleet.store.rows if key.startswith("streams/"))
        fleet.store.write((Write(key, b"\xff"),))
        assert await second.find("a") is None
        for _ in range(int(STREAM_LIFE_S)):
            await asyncio.sleep(1.0)
            await fleet.maintain()
        assert await second.find("a") is None

    play(scenario)


def test_unreadable_record_is_removed_in_the_end():
    async def scenario(fleet, first, _second):
        fleet.serve("v1", "v2")
        await first.begin("a", "v2")
        (key,) = (key for key in fleet.store.rows if key.startswith("streams/"))
        fleet.store.write((Write(key, b"\xff"),))
        for _ in range(int(6 * ROW_LIFE_S)):
            await asyncio.sleep(1.0)
            await fleet.maintain()
        assert key not in fleet.store.rows
        assert not first.records.unreadable

    play(scenario)


# Guards against a VM that has not learned the store's time: others take its records for
# old ones and remove them.
def test_record_waits_until_the_stores_time_is_known():
    async def scenario(fleet, first, second):
        fleet.serve("v1", "v2")
        first.store_time_offset_s = None
        begun = asyncio.create_task(first.begin("a", "v2"))
        await asyncio.sleep(1.0)
        await sweep_all(second)
        assert not begun.done()
        first.store_time_offset_s = fleet.store.time_offset_s
        await begun
        await sweep_all(second)
        assert await second.find("a") == "v2"

    play(scenario)


# Guards against a VM that has not learned the store's time, and removes the records of
# other VMs as if they were old.
def test_without_the_stores_time_no_record_is_removed():
    async def scenario(fleet, first, second):
        fleet.store.time_offset_s = first.store_time_offset_s = -STORE_CLOCK_S
        second.store_time_offset_s = None
        fleet.serve("v1", "v2")
        await first.begin("a", "v2")
        await sweep_all(second)
        assert await second.find("a") == "v2"

    play(scenario)


# Guards against records that are removed while callers still take the streams up,
# because a route has a long timeout.
def test_records_stay_as_long_as_callers_take_streams_up():
    async def scenario(fleet, first, second):
        fleet.stream_life_s = 4 * ROW_LIFE_S
        fleet.serve("v1", "v2")
        await first.begin("a", "v2")
        await asyncio.sleep(2 * ROW_LIFE_S)
        await sweep_all(second)
        assert await second.find("a") == "v2"

    play(scenario)


# Guards against a default that only this VM remembers, because the store has lost its
# row: the other VMs may know another one by now.
def test_default_that_the_store_does_not_have_is_no_proof():
    async def scenario(fleet, first, second):
        await first.begin("a", "v1")
        fleet.store.write((Write(DEFAULT_KEY, None),))
        assert await second.find("a") is None
        second.follow(removed=(DEFAULT_KEY,))
        await second.maintain()
        assert await second.find("a") == "v1"

    play(scenario)


# Guards against a default that counts as known though its row can't be read, and
# against such a row that nobody replaces.
def test_default_whose_row_is_unreadable_is_no_proof_and_is_written_again():
    async def scenario(fleet, first, second):
        await first.begin("a", "v1")
        fleet.store.write((Write(DEFAULT_KEY, b"[]"),))
        assert await second.find("a") is None
        for vm in fleet.vms:
            vm.follow()
        await fleet.maintain()
        assert await second.find("a") == "v1"

    play(scenario)


# Guards against a late response of the feed that puts a replaced default back, so that
# streams which begin there are not recorded.
def test_late_row_does_not_put_a_replaced_default_back():
    async def scenario(fleet, first, second):
        late = fleet.store.rows[DEFAULT_KEY]
        fleet.serve("v2", "v2")
        await fleet.run(REPLACED_S)
        assert await second.find("unknown") is None
        second.versions.apply(Changes(fleet.store.version, (late,)))
        assert second.versions.defaults.known[SERVICE].version == "v2"

    play(scenario)


# Guards against a VM whose clock stood still, and which dates a new default back so far
# that streams of the replaced one go on at it.
def test_default_that_is_dated_back_is_not_settled_at_once():
    async def scenario(fleet, first, second):
        await first.begin("old", "v1")
        fleet.serve("v2", "v2")
        second.follow()
        first.store_time_offset_s = STORE_CLOCK_S - 2 * STREAM_LIFE_S
        for _ in range(round(REPLACED_S)):
            await asyncio.sleep(1.0)
            await first.maintain()
        assert b'"v2"' in fleet.store.rows[DEFAULT_KEY].value
        assert await second.find("old") is None
        second.follow()
        assert await second.find("old") is None

    play(scenario)


# Guards against a first default that counts for streams from before it was written, at
# a version that the VM has seen and that has gone.
def test_first_default_is_not_settled_after_another_version_has_served():
    async def scenario(fleet, first, second):
        fleet.store.write((Write(DEFAULT_KEY, None),))
        fleet.vms = []
        fleet.serve("v0", "v0")
        vm, other = await fleet.add(), await fleet.add()
        vm.versions.need(SERVICE, "v0")
        other.versions.begun.record("old", BegunStream(SERVICE, "v0", 1, fleet.clock()))
        fleet.serve("v1", "v1")
        await vm.maintain()
        assert DEFAULT_KEY in fleet.store.rows
        assert await vm.find("old") is None

    play(scenario)


# Guards against a VM that has not read the defaults yet and knows endpoints of one
# version only: its streams go on at the default, which is another.
def test_stream_is_recorded_before_the_defaults_are_read():
    async def scenario(fleet, first, second):
        fleet.serve("v2", "v2")
        started = fleet.start_vm()
        started.stand_still()
        fleet.serve("v1", "v1", "v2", "v2")
        assert started.versions.need(SERVICE, "v2") is RecordNeed.REQUIRED
        await started.begin("a", "v2")
        assert await second.find("a") == "v2"

    play(scenario)


def test_stream_is_recorded_if_possible_before_the_first_default_is_written():
    async def scenario(fleet, first, second):
        fleet.store.write((Write(DEFAULT_KEY, None),))
        vm = await fleet.add()
        assert vm.versions.need(SERVICE, "v1") is RecordNeed.OPTIONAL

    play(scenario)


# Guards against a VM that is cut off from the store after it saw no endpoint of the
# default, and does not record streams, though such endpoints are back meanwhile.
def test_stream_of_a_vm_that_does_not_know_the_endpoints_has_to_be_recorded():
    async def scenario(fleet, first, second):
        fleet.serve("v2", "v2")
        assert first.versions.need(SERVICE, "v2") is RecordNeed.OPTIONAL
        first.cut_off()
        fleet.serve("v1", "v2")
        await asyncio.sleep(2.0)
        assert first.versions.need(SERVICE, "v2") is RecordNeed.REQUIRED

    play(scenario)


# Guards against a VM that stood still or heard nothing for longer than callers take
# streams up, and does not record streams of a default that was replaced meanwhile.
def test_default_that_was_heard_of_long_ago_needs_a_record():
    async def scenario(fleet, first, second):
        assert first.versions.need(SERVICE, "v1") is RecordNeed.NONE
        first.stand_still()
        await fleet.pass_time(STREAM_LIFE_S)
        assert first.versions.need(SERVICE, "v1") is RecordNeed.OPTIONAL
        first.versions.records.away = True
        assert first.versions.need(SERVICE, "v1") is RecordNeed.NONE

    play(scenario)


# Guards against a stream that is delivered without a record, because its VM lost touch
# with the store after it had found that the stream may begin so.
def test_stream_has_to_be_recorded_once_the_store_takes_no_records():
    async def scenario(fleet, first, second):
        fleet.serve("v2", "v2")
        assert first.versions.need(SERVICE, "v2") is RecordNeed.OPTIONAL
        first.versions.records.away = True
        assert first.versions.need(SERVICE, "v2") is RecordNeed.REQUIRED

    play(scenario)
