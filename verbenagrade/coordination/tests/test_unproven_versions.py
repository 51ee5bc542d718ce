"""Tests that what a VM does not know is never taken for the version of a stream."""

import asyncio

import pytest

from verbenagrade.coordination.tests.version_fleet import STREAM_LIFE_S, play


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
        await fleet.maintain()
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
