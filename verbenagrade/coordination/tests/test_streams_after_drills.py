"""Tests of streams around a return of the store from an older copy of itself."""

import pytest

from verbenagrade.coordination.tests.version_fleet import (
    SERVICE,
    STREAM_LIFE_S,
    play,
)
from verbenagrade.state.stream_versions import BegunStreams, RecordNeed

AWAY_S = 1.0
NOTICED_S = 2.0
STREAMS = 24
MAX_PAUSE_S = 1.0
"""Longest time between two looks of a VM at its streams, in seconds."""


async def drill(fleet) -> None:
    """Lets the store go away and come back from the copy that was taken."""
    fleet.store.down = True
    await fleet.pass_time(AWAY_S)
    fleet.store.come_back_from_copy()
    fleet.store.down = False


def forget(*vms) -> None:
    """Ends processes: what they know is gone."""
    for vm in vms:
        vm.fleet.vms.remove(vm)
        vm.versions.begun = BegunStreams()


# Guards against a process that starts after the store lost rows, and takes a stream
# without a record for one of the default version.
@pytest.mark.parametrize("row_written", [False, True])
def test_process_that_starts_after_a_drill_takes_no_stream_for_the_default(row_written):
    async def scenario(fleet, first, second):
        fleet.serve("v1", "v2", "v2")
        fleet.store.take_copy()
        await first.begin("a", "v2")
        await drill(fleet)
        forget(first)
        if row_written:
            second.follow()
            await fleet.maintain()
        started = await fleet.add()
        assert await started.find("a") is None
        await fleet.pass_time(STREAM_LIFE_S / 2)
        assert await started.find("a") is None

    play(scenario)


# Guards against processes that all start after the store lost rows: none has seen it.
def test_without_a_process_from_before_a_drill_no_stream_is_known():
    async def scenario(fleet, first, second):
        fleet.serve("v1", "v2", "v2")
        fleet.store.take_copy()
        await first.begin("a", "v2")
        await drill(fleet)
        forget(first, second)
        for _ in range(2):
            await fleet.add()
        await fleet.maintain()
        for vm in fleet.vms:
            assert await vm.find("a") is None

    play(scenario)


# Guards against a process that starts while the store is away and takes the era in
# which it returns for the one in which all rows were written.
def test_process_that_starts_inside_a_drill_takes_no_stream_for_the_default():
    async def scenario(fleet, first, second):
        fleet.serve("v1", "v2", "v2")
        fleet.store.take_copy()
        await first.begin("a", "v2")
        fleet.store.down = True
        started = fleet.start_vm()
        await fleet.pass_time(AWAY_S)
        fleet.store.come_back_from_copy()
        fleet.store.down = False
        forget(first)
        assert await started.find("a") is None
        await fleet.pass_time(NOTICED_S)
        await fleet.maintain()
        assert await started.find("a") is None

    play(scenario)


# Guards against the row of an earlier era that a second drill brings back.
def test_second_drill_counts_though_the_first_is_long_over():
    async def scenario(fleet, first, second):
        await drill(fleet)
        fleet.follow()
        await fleet.maintain()
        await fleet.pass_time(2 * STREAM_LIFE_S)
        fleet.serve("v1", "v2", "v2")
        fleet.store.take_copy()
        await first.begin("a", "v2")
        await drill(fleet)
        forget(first, second)
        started = await fleet.add()
        assert await started.find("a") is None

    play(scenario)


# Guards against the record of an earlier attempt, which the copy has, where that of the
# attempt which began the stream is lost.
def test_record_of_an_earlier_attempt_is_no_proof_after_a_drill():
    async def scenario(fleet, first, second):
        fleet.serve("v1", "v2", "v3")
        await first.versions.record("a", 1, "v2")
        fleet.store.take_copy()
        await first.begin("a", "v3", number=2)
        await drill(fleet)
        forget(first)
        assert await second.find("a") is None

    play(scenario)


# Guards against processes that start long after a drill and still refuse streams.
def test_drill_is_over_for_a_process_that_starts_later():
    async def scenario(fleet, first, second):
        await drill(fleet)
        await fleet.pass_time(NOTICED_S)
        await fleet.maintain()
        await fleet.pass_time(STREAM_LIFE_S)
        await first.begin("a", "v1")
        started = await fleet.add()
        assert await started.find("a") == "v1"
        await fleet.maintain()
        assert started.versions.need(SERVICE, "v1") is RecordNeed.NONE

    play(scenario)


# Guards against streams that begin after the store lost rows, at the default or not,
# and that can't be taken up at another VM for as long as a lost record may be missing.
@pytest.mark.parametrize("version", ["v1", "v2"])
def test_streams_begun_after_a_drill_go_on_without_their_vm(version):
    async def scenario(fleet, first, second):
        fleet.serve("v1", "v2")
        await drill(fleet)
        await fleet.pass_time(NOTICED_S)
        for number in range(STREAMS):
            await first.begin(f"a{number}", version)
        await first.maintain()
        await fleet.pass_time(MAX_PAUSE_S)
        await first.maintain()
        forget(first)
        started = await fleet.add()
        for vm in (second, started):
            found = [await vm.find(f"a{number}") for number in range(STREAMS)]
            assert found == [version] * STREAMS

    play(scenario)


# Guards against streams from before the store lost rows that can't be taken up although
# their VM lives long enough to tell where they began.
@pytest.mark.parametrize("drills", [1, 2])
@pytest.mark.parametrize("version", ["v1", "v2", "v3"])
def test_streams_begun_before_a_drill_go_on_without_their_vm(version, drills):
    async def scenario(fleet, first, second):
        fleet.serve("v1", "v2", "v3")
        fleet.store.take_copy()
        await first.begin("a", version)
        for _ in range(drills):
            await drill(fleet)
            fleet.follow()
            await first.maintain()
        await fleet.pass_time(NOTICED_S)
        await first.maintain()
        forget(first)
        started = await fleet.add()
        assert await second.find("a") == version
        assert await started.find("a") == version

    play(scenario)


# Guards against a stream that is unknown again, because the VM that has taken it up
# forgets what it had read before the store lost the record.
def test_stream_that_was_taken_up_before_a_drill_is_known_where_it_went_on():
    async def scenario(fleet, first, second):
        fleet.serve("v1", "v2")
        fleet.store.take_copy()
        await first.begin("a", "v2")
        assert await second.find("a") == "v2"
        forget(first)
        await drill(fleet)
        fleet.follow()
        await second.maintain()
        assert await second.find("a") == "v2"
        started = await fleet.add()
        assert await started.find("a") == "v2"

    play(scenario)


# Guards against records that take more of the store's writes than their part, where all
# streams of a VM have to be recorded at once.
def test_records_after_a_drill_stay_below_their_part_of_the_stores_writes():
    async def scenario(fleet, first, second):
        for number in range(2000):
            await first.begin(f"a{number}", "v1")
        await drill(fleet)
        fleet.follow()
        commits = fleet.store.commits
        for _ in range(10):
            await first.versions.record_running()
        assert fleet.store.commits - commits <= 0.25 * 800
        for _ in range(10):
            await fleet.pass_time(MAX_PAUSE_S)
            await first.versions.record_running()
        assert len(first.versions.begun.unrecorded(fleet.store.era, 0.0)) == 0

    play(scenario)


# Guards against records of streams that nobody takes up.
def test_complete_streams_are_not_recorded_after_a_drill():
    async def scenario(fleet, first, second):
        await first.begin("a", "v1")
        first.versions.begun.end("a")
        await drill(fleet)
        fleet.follow()
        assert await first.versions.record_running() == 0

    play(scenario)


# Guards against the cost of records where the store has lost nothing.
def test_running_streams_are_not_recorded_without_a_drill():
    async def scenario(fleet, first, second):
        await first.begin("a", "v1")
        assert await first.versions.record_running() == 0

    play(scenario)
