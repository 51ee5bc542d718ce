"""Tests that a default is replaced when its endpoints are gone, and not before."""

import asyncio

import msgspec
import pytest

from verbenagrade.coordination.ports import Write
from verbenagrade.coordination.tests.version_fleet import (
    DEFAULT_KEY,
    REPLACED_S,
    SERVICE,
    STORE_CLOCK_S,
    play,
)
from verbenagrade.state.directory import REREGISTRATION_S

STEP_S = 0.3
"""Time in seconds between two rounds of a VM, shorter than in the product."""

LOOK_S = 0.2
OUTAGE_S = 4.5


async def work(fleet, seconds: float) -> None:
    """Has the VMs do their rounds for some time."""
    for _ in range(round(seconds / STEP_S)):
        await asyncio.sleep(STEP_S)
        await fleet.maintain()


async def outage(fleet) -> None:
    fleet.store.down = True
    await work(fleet, OUTAGE_S)
    fleet.store.down = False


async def outage_that_is_not_noticed(fleet) -> None:
    """Has the store be away while the feeds of the VMs are silent."""


async def start_in_the_gap(fleet) -> None:
    """Has all VMs start again at the return of the store."""
    await outage(fleet)
    for vm in tuple(fleet.vms):
        fleet.vms.remove(vm)
        fleet.start_vm(vm.name).follow()


async def second_outage(fleet) -> None:
    """Has the store go away once more before the endpoints are back."""
    await outage(fleet)
    fleet.serve("v2")
    await work(fleet, REREGISTRATION_S)
    await outage(fleet)


async def stand_still(fleet) -> None:
    """Has VMs see no endpoint of the default, and stand still for the outage."""
    fleet.serve("v2")
    await work(fleet, 2 * STEP_S)
    for vm in fleet.vms:
        vm.stand_still()
    await fleet.pass_time(OUTAGE_S)
    for vm in fleet.vms:
        vm.still = False


# Guards against a default that is replaced while the entries of its endpoints are back
# only in part after they have lapsed: its streams then can't be taken up.
@pytest.mark.parametrize(
    "trouble",
    [
        outage,
        outage_that_is_not_noticed,
        start_in_the_gap,
        second_outage,
        stand_still,
    ],
)
def test_default_is_kept_while_entries_of_its_endpoints_may_be_missing(trouble):
    async def scenario(fleet, first, second):
        row = fleet.store.rows[DEFAULT_KEY]
        await first.begin("a", "v1")
        await trouble(fleet)
        fleet.serve("v2")
        await work(fleet, REREGISTRATION_S - STEP_S)
        fleet.serve("v1", "v1", "v2")
        await work(fleet, REPLACED_S)
        assert fleet.store.rows[DEFAULT_KEY] == row
        assert await fleet.vms[1].find("a") == "v1"

    play(scenario)


# Guards against times without entries that add up although an endpoint was listed, or
# the store was away, in between.
def test_default_whose_endpoints_come_and_go_is_kept():
    async def scenario(fleet, first, second):
        for _ in range(10):
            fleet.serve("v2")
            await work(fleet, REREGISTRATION_S)
            fleet.serve("v1", "v2")
            await work(fleet, STEP_S)
        assert first.versions.defaults.known[SERVICE].version == "v1"

    play(scenario)


# Guards against the absence of an earlier default that counts against the next one.
def test_new_default_is_not_replaced_because_the_one_before_was_gone():
    async def scenario(fleet, first, second):
        fleet.serve("v2")
        await work(fleet, REREGISTRATION_S)
        content = {"version": "v3", "since_s": fleet.clock() + STORE_CLOCK_S}
        fleet.store.write((Write(DEFAULT_KEY, msgspec.json.encode(content)),))
        fleet.follow()
        await work(fleet, REREGISTRATION_S - STEP_S)
        assert first.versions.defaults.known[SERVICE].version == "v3"

    play(scenario)


# Guards against a default that never changes, so that each stream costs a record.
@pytest.mark.parametrize("round_s", [0.4, 1.2, 4.0])
@pytest.mark.parametrize("after_outage", [False, True])
def test_default_without_endpoints_is_replaced(round_s, after_outage):
    async def scenario(fleet, first, second):
        if after_outage:
            await outage(fleet)
        fleet.serve("v2", "v2")
        for number in range(round((REPLACED_S + round_s) / LOOK_S)):
            await asyncio.sleep(LOOK_S)
            for vm in fleet.vms:
                vm.versions.look((SERVICE,))
            if number % round(round_s / LOOK_S) == 0:
                await fleet.maintain()
        for vm in fleet.vms:
            assert vm.versions.defaults.known[SERVICE].version == "v2"

    play(scenario)
