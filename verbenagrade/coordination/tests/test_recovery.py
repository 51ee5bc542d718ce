"""Recoveries that are interrupted, and instances that are lost together."""

import pytest

from verbenagrade.coordination import (
    Declaration,
    FleetInstance,
    Recovery,
    Registration,
    apply_resource,
    list_registrations,
    read_budget,
    register,
)
from verbenagrade.coordination.ledger import journal_batches
from verbenagrade.exceptions import FencedError, PeerUnreachableError
from verbenagrade.settings import LimitSettings
from verbenagrade.state import Bill, Budget, Instance, Members, MemberVm
from verbenagrade.state.tests.test_budget_rules import order_of
from verbenagrade.tests.fakes import FakePlatform

VMS = [MemberVm(f"vm-{n}", "a", "") for n in range(3)]


class Town:
    """Instances of one data centre, joined by plain calls on a fake platform."""

    def __init__(self):
        self.platform = FakePlatform()
        self.now = 100.0
        self.running: dict[str, FleetInstance] = {}
        self.recoveries: dict[str, Recovery] = {}

    async def declare(self):
        spec = Budget(workspace="w", prepaid=1000)
        wanted = Declaration("budget", "b", spec, 0, "operation")
        await apply_resource(self.platform.table(), wanted)

    async def start(self, vm, incarnation):
        instance = Instance(vm, incarnation)
        members = Members(next(m for m in VMS if m.vm == vm))
        members.update(VMS)
        fleet = FleetInstance(
            instance=instance,
            members=members,
            table=self.platform.table(),
            objects=self.platform.objects(),
            call=self.call,
            limits=LimitSettings(),
            clock=lambda: self.now,
        )
        fleet.holder.grants.registered = True
        self.running[vm] = fleet
        self.recoveries[vm] = Recovery(
            self.platform.table(),
            self.platform.objects(),
            members,
            fleet.holder,
            fleet.spender,
            self.call,
        )
        await register(self.platform.table(), Registration(instance, "a", ""))
        return fleet

    async def call(self, member, message):
        fleet = self.running.get(member.vm)
        if fleet is None:
            raise PeerUnreachableError("gone")
        return await fleet.handle(message)

    async def turn(self, times=1):
        for _ in range(times):
            self.now += 3.0
            for vm, fleet in list(self.running.items()):
                await fleet.spender.settle()
                await fleet.holder.journal.flush()
                await fleet.holder.grants.tend()
                await self.recoveries[vm].look(self.now)

    async def bills(self):
        return sorted(
            [
                (bill.attempt, bill.tokens)
                async for batch in journal_batches(self.platform.objects())
                for bill in batch.bills
            ]
        )

    async def row(self):
        return await read_budget(self.platform.table(), "b")


def bill_for(reserved, tokens=40):
    return Bill(
        attempt=reserved.attempt,
        request="r",
        workspace="w",
        grant=reserved.grant,
        endpoint="e",
        tokens=tokens,
        prompt_tokens=0,
        outcome="answered",
        at=1.0,
        journal_from=reserved.journal_from,
    )


async def reserved_twice():
    """Returns a town where vm-0 is the holder and vm-1 has two attempts."""
    town = Town()
    await town.declare()
    await town.start("vm-0", 1)
    spender = (await town.start("vm-1", 1)).spender
    done = await spender.reserve(order_of("done", 100, 100))
    runs = await spender.reserve(order_of("runs", 100, 100))
    holder = done.grant.owner.vm
    assert holder == "vm-0"
    return town, spender, done, runs


async def test_a_recoverer_that_is_lost_is_followed_by_another():
    town, spender, done, runs = await reserved_twice()
    spender.finish(bill_for(done))
    await spender.settle()
    del town.running["vm-0"]
    await town.start("vm-0", 2)
    await town.start("vm-2", 1)
    await town.turn(2)
    assert town.recoveries["vm-2"].active_recoveries == {Instance("vm-0", 1)}
    spender.finish(bill_for(runs))
    await spender.settle()
    del town.running["vm-2"]
    await town.start("vm-2", 2)
    await town.turn(6)
    assert await town.bills() == [(done.attempt, 40), (runs.attempt, 40)]
    row = await town.row()
    assert row.spent == 80
    left = await list_registrations(town.platform.table())
    assert Instance("vm-0", 1) not in [item.instance for item in left]


async def test_nothing_comes_back_while_a_spender_can_not_be_asked():
    town, _, done, _ = await reserved_twice()
    del town.running["vm-0"]
    hidden = town.running.pop("vm-1")
    await town.start("vm-0", 2)
    await town.start("vm-2", 1)
    await town.turn(4)
    row = await town.row()
    assert row.committed >= 200
    town.running["vm-1"] = hidden
    hidden.spender.finish(bill_for(done))
    runs = hidden.spender.settlements
    await town.turn(4)
    assert (await town.bills()) == [(done.attempt, 40)]
    assert runs.unsettled() == 1


async def test_instances_lost_together_return_nothing_unproved():
    """Nobody knows what they had from each other, so it stays committed."""
    town, _, _, _ = await reserved_twice()
    town.running.clear()
    await town.start("vm-2", 1)
    await town.start("vm-0", 2)
    await town.start("vm-1", 2)
    await town.turn(6)
    row = await town.row()
    assert row.committed >= 200
    assert row.spent == 0


async def test_a_lost_holder_that_wakes_can_write_no_more_bills():
    town, spender, done, _ = await reserved_twice()
    spender.finish(bill_for(done))
    await spender.settle()
    lost = town.running.pop("vm-0")
    await town.start("vm-0", 2)
    await town.start("vm-2", 1)
    await town.turn(4)
    with pytest.raises(FencedError):
        await lost.holder.journal.flush()
    assert await town.bills() == [(done.attempt, 40)]
