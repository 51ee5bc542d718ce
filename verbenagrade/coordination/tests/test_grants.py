"""Tests of the rules for obtaining, returning and marking grants in the table."""

import asyncio
from dataclasses import replace

from verbenagrade.coordination import (
    Declaration,
    Holder,
    HolderLimits,
    apply_resource,
    read_budget,
)
from verbenagrade.state import Budget, GrantId, GrantPolicy, Instance, Reserved
from verbenagrade.state.tests.test_budget_rules import make_reserve_order
from verbenagrade.tests.fakes import FakePlatform

OWN = Instance("own", 1)
GRANT = GrantId("b", OWN)


class GrantHarness:
    """A holder on a fake platform with one budget and a settable clock."""

    def __init__(self, prepaid=10_000):
        self.platform = FakePlatform()
        self.now = 1000.0
        self.prepaid = prepaid
        self.holder = self.new_holder(OWN)

    def new_holder(self, instance):
        holder = Holder(
            instance,
            self.platform.table(),
            self.platform.objects(),
            HolderLimits(),
            lambda: self.now,
        )
        holder.grants.registered = True
        return holder

    async def create_budget(self):
        hold = GrantPolicy(share=0.25, minimum=2000)
        spec = Budget(workspace="w", prepaid=self.prepaid, hold=hold)
        declaration = Declaration("budget", "b", spec, 0, "operation")
        await apply_resource(self.platform.table(), declaration)
        return self

    async def available(self):
        return (await read_budget(self.platform.table(), "b")).available


async def test_unreserved_tokens_are_kept_while_the_first_request_runs():
    harness = await GrantHarness().create_budget()
    assert isinstance(
        await harness.holder.reserve(make_reserve_order("a", 100, 100)), Reserved
    )
    held = harness.holder.grants.held_grants[GRANT].unreserved
    assert held > 0
    await harness.holder.grants.rebalance()
    assert harness.holder.grants.held_grants[GRANT].unreserved == held


async def test_idle_tokens_are_returned_to_the_budget():
    harness = await GrantHarness().create_budget()
    await harness.holder.reserve(make_reserve_order("a", 100, 100))
    harness.holder.grants.held_grants[GRANT].release("a")
    harness.now += 10_000.0
    await harness.holder.grants.rebalance()
    assert await harness.available() == 10_000


async def test_tokens_too_few_for_a_request_are_returned_for_other_holders():
    harness = await GrantHarness(prepaid=300).create_budget()
    other = harness.new_holder(Instance("other", 1))
    assert isinstance(
        await harness.holder.reserve(make_reserve_order("a", 100, 100)), Reserved
    )
    assert isinstance(await other.reserve(make_reserve_order("b", 80, 80)), Reserved)
    harness.holder.grants.held_grants[GRANT].release("a")
    harness.now += 1.0
    big = make_reserve_order("c", 210, 210)
    assert not isinstance(await other.reserve(replace(big, attempt="d")), Reserved)
    harness.now += 1.0
    assert isinstance(await harness.holder.reserve(big), Reserved)
    assert await harness.available() >= 0


async def test_solo_mark_ends_when_the_grant_is_returned():
    harness = await GrantHarness().create_budget()
    await harness.holder.reserve(make_reserve_order("a", 100, 100))
    assert await harness.holder.grants.mark_solo("b")
    held_grant = harness.holder.grants.held_grants[GRANT]
    held_grant.release("a")
    harness.now += 10_000.0
    await harness.holder.grants.rebalance()
    assert held_grant.amount == 0
    await harness.holder.reserve(make_reserve_order("b", 100, 100))
    assert not held_grant.solo


# Guards against tokens that can't be reserved until the next adjustment because the
# table did not know their budget for a moment.
async def test_tokens_can_be_reserved_after_the_budget_was_not_found():
    harness = await GrantHarness().create_budget()
    first = await harness.holder.reserve(make_reserve_order("a", 100, 100))
    assert isinstance(first, Reserved)
    grants = harness.holder.grants
    held_grant = grants.held_grants[GRANT]
    unreserved = held_grant.unreserved
    grants.table = harness.new_holder(OWN).grants.table
    grants.table = replace(grants.table, read=budget_not_found)
    grants.stopping = True
    await grants.adjust(held_grant, need=0)
    assert held_grant.unreserved == unreserved > 0


async def budget_not_found(keys):
    return tuple(None for _ in keys)


# Guards against a request that fails because the empty grant it waits for was dropped.
async def test_empty_grant_is_kept_while_a_request_waits_for_it():
    harness = await GrantHarness().create_budget()
    harness.now = 10_000.0
    grants = harness.holder.grants
    held_grant = grants.held_grant(GRANT)
    waiting = asyncio.create_task(grants.wait_for_change(GRANT, 5.0))
    await asyncio.sleep(0)
    await grants.rebalance()
    assert grants.held_grants[GRANT] is held_grant
    grants.notify(GRANT)
    await asyncio.wait_for(waiting, 1.0)
    await grants.rebalance()
    assert GRANT not in grants.held_grants
