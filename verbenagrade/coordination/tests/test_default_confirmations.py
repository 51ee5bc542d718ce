"""Tests of streams while some VM may not know that the default was replaced."""

import msgspec
import pytest

from verbenagrade.coordination.default_versions import (
    EXPECTED_WRITERS,
    MAX_CONFIRMATION_WAIT_S,
)
from verbenagrade.coordination.ports import Write
from verbenagrade.coordination.tests.version_fleet import (
    DEFAULT_KEY,
    REPLACED_S,
    SERVICE,
    SETTLING_S,
    STORE_CLOCK_S,
    STREAM_LIFE_S,
    play,
)
from verbenagrade.state.stream_versions import BegunStreams, RecordNeed

LONG_CUT_S = 2 * STREAM_LIFE_S
VM_KEY = "fleet//vm/front-2"


async def replace_default(fleet, cut, *versions, seconds=LONG_CUT_S) -> None:
    """Has endpoints of other versions serve, of which a VM that is cut off can't hear.

    That VM still reaches the endpoints that it knows.
    """
    if cut.cut_off_at is None:
        cut.cut_off()
        cut.versions.records.away = True
    fleet.serve(*versions)
    await fleet.run(seconds)


def kill(vm) -> None:
    """Ends a process: its row stays, and what it knows is gone."""
    vm.fleet.vms.remove(vm)
    vm.versions.begun = BegunStreams()


# Guards against streams joined from two versions: they began without a record at a VM
# that could not hear that their version is the default no more, and that is then lost.
@pytest.mark.parametrize("changes", [("v2",), ("v2", "v3"), ("v2", "v1", "v2")])
def test_streams_of_a_vm_that_missed_a_new_default_are_not_joined(changes):
    async def scenario(fleet, first, second):
        for version in changes:
            await replace_default(fleet, second, version)
        assert second.versions.need(SERVICE, "v1") is RecordNeed.NONE
        await second.begin("a", "v1")
        kill(second)
        assert await first.find("a") is None

    play(scenario)


# Guards against a second change of the default that settles what the first left open.
def test_second_change_before_the_first_has_settled_settles_neither():
    async def scenario(fleet, first, second):
        await replace_default(fleet, second, "v2", seconds=REPLACED_S)
        await replace_default(fleet, second, "v3")
        await second.begin("a", "v1")
        kill(second)
        assert await first.find("a") is None

    play(scenario)


# Guards against streams that can't be taken up although their VM has heard of the new
# default before it was lost.
def test_vm_that_hears_late_of_a_new_default_records_its_running_streams():
    async def scenario(fleet, first, second):
        await replace_default(fleet, second, "v2")
        await second.begin("a", "v1")
        fleet.serve("v1", "v2")
        second.recover()
        await fleet.run(1.0)
        kill(second)
        assert await first.find("a") == "v1"

    play(scenario)


# Guards against streams at VMs in touch that can't be taken up while a default waits.
def test_streams_at_a_default_that_is_not_confirmed_go_on_elsewhere():
    async def scenario(fleet, first, second):
        third = await fleet.add()
        await replace_default(fleet, second, "v2")
        await first.begin("a", "v2")
        kill(first)
        assert await third.find("a") == "v2"

    play(scenario)


async def hear(fleet, second) -> None:
    second.recover()


async def start_again(fleet, second) -> None:
    kill(second)
    fleet.start_vm(second.name).follow()


async def withdraw(fleet, second) -> None:
    kill(second)
    fleet.store.write((Write(VM_KEY, None),))
    for vm in fleet.vms:
        vm.follow(removed=(VM_KEY,))


async def wait_long(fleet, second) -> None:
    kill(second)
    await fleet.run(MAX_CONFIRMATION_WAIT_S)


# Guards against a default that never settles, so that each stream costs a record.
@pytest.mark.parametrize("end", [hear, start_again, withdraw, wait_long])
def test_default_settles_once_no_vm_can_be_without_it(end):
    async def scenario(fleet, first, second):
        await replace_default(fleet, second, "v2")
        assert first.versions.need(SERVICE, "v2") is RecordNeed.OPTIONAL
        await end(fleet, second)
        await fleet.run(STREAM_LIFE_S + SETTLING_S)
        assert first.versions.need(SERVICE, "v2") is RecordNeed.NONE
        third = await fleet.add()
        await first.begin("a", "v2")
        assert await third.find("a") == "v2"

    play(scenario)


# Guards against a change of the default that costs more calls than its row, written and
# confirmed by the expected writers, and one of each VM; and against calls afterwards.
def test_change_of_the_default_costs_one_write_of_each_vm():
    async def scenario(fleet, first, second):
        commits = fleet.store.commits
        fleet.serve("v2", "v2")
        await fleet.run(REPLACED_S + SETTLING_S)
        allowed = len(fleet.vms) + 2 * EXPECTED_WRITERS
        assert fleet.store.commits - commits <= allowed
        commits = fleet.store.commits
        await first.begin("a", "v2")
        assert fleet.store.commits == commits + 1
        await fleet.run(STREAM_LIFE_S)
        commits = fleet.store.commits
        await first.begin("b", "v2")
        await fleet.run(SETTLING_S)
        assert fleet.store.commits == commits

    play(scenario)


# Guards against streams of the previous default that are recorded though they can go on
# nowhere.
def test_running_streams_of_a_version_without_endpoints_are_not_recorded():
    async def scenario(fleet, first, second):
        await first.begin("a", "v1")
        fleet.serve("v2", "v2")
        await fleet.run(REPLACED_S)
        assert first.versions.defaults.known[SERVICE].version == "v2"
        assert await first.versions.record_running() == 0

    play(scenario)


# Guards against an older copy of the store that brings an earlier default back as one
# that all VMs know, though a VM that is cut off knows the one that was lost.
def test_default_that_a_copy_brings_back_is_confirmed_anew():
    async def scenario(fleet, first, second):
        fleet.store.take_copy()
        fleet.serve("v2", "v2")
        await fleet.run(REPLACED_S + SETTLING_S + STREAM_LIFE_S)
        second.cut_off()
        second.versions.records.away = True
        fleet.store.come_back_from_copy()
        fleet.serve("v1", "v2")
        await fleet.run(LONG_CUT_S)
        assert first.versions.defaults.known[SERVICE].version == "v1"
        assert second.versions.need(SERVICE, "v2") is RecordNeed.NONE
        await second.begin("a", "v2")
        kill(second)
        assert await first.find("a") is None

    play(scenario)


# Guards against rows of earlier builds, which tell nothing of confirmations, that hold
# a default up or make a settled one count as new.
def test_builds_that_do_not_tell_are_not_waited_for():
    async def scenario(fleet, first, second):
        row = msgspec.json.encode({"incarnation": "old", "relay_address": "10.0.0.9:1"})
        fleet.store.write((Write("fleet//vm/old", row),))
        since_s = fleet.clock() + STORE_CLOCK_S - LONG_CUT_S
        content = {"version": "v1", "since_s": since_s}
        fleet.store.write((Write(DEFAULT_KEY, msgspec.json.encode(content)),))
        fleet.follow()
        assert first.versions.need(SERVICE, "v1") is RecordNeed.NONE
        fleet.serve("v2", "v2")
        await fleet.run(REPLACED_S + SETTLING_S + STREAM_LIFE_S)
        assert first.versions.need(SERVICE, "v2") is RecordNeed.NONE

    play(scenario)


# Guards against a VM that nobody knows yet and whose streams need a record later.
def test_streams_of_a_vm_that_is_not_listed_yet_are_recorded_if_possible():
    async def scenario(fleet, first, second):
        started = await fleet.add()
        assert started.versions.need(SERVICE, "v1") is RecordNeed.OPTIONAL
        await fleet.maintain()
        assert started.versions.need(SERVICE, "v1") is RecordNeed.NONE

    play(scenario)
