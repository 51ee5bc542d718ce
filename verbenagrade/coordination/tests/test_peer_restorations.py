"""Tests of budgets whose holders can't restore them as the store turns them away."""

import asyncio
from contextlib import suppress
from dataclasses import replace

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from verbenagrade.coordination.store_eras import guard_eras
from verbenagrade.coordination.tests.test_store_eras import (
    BUDGET,
    PREPAID,
    VMS,
    Fleet,
)
from verbenagrade.exceptions import PlatformError, UnavailableError
from verbenagrade.settings.gateway import TuningSettings
from verbenagrade.state.shards import ShardState

SILENCE_S = int(TuningSettings().era_silence_s)


def run(play) -> None:
    asyncio.run(play(Fleet()))


async def spend_in_the_gap(fleet: Fleet, vm: int, tokens: int) -> None:
    """Lets a VM spend tokens that the store forgets, and turns it away."""
    await fleet.advance(1)
    fleet.store.take_copy()
    while fleet.spent < tokens:
        assert await fleet.call(vm, 20)
    fleet.store.turned_away.add(f"vm-{vm}")
    fleet.store.come_back()


class RefusalMachine(RuleBasedStateMachine):
    """Interleaves calls with drills after which the store turns one VM away.

    Each drill is settled before the next one. What a VM alone knows does not outlast
    a second return of the store, see ``docs/design/store_eras.md``.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.fleet = Fleet()
        self.play(self.fleet.advance(1))

    def teardown(self) -> None:
        self.loop.close()

    def play(self, work) -> None:
        self.loop.run_until_complete(work)

    def is_settled(self) -> bool:
        fleet = self.fleet
        return not fleet.store.turned_away and all(
            manager.eras.number == fleet.store.era
            and not manager.settling_budgets()
            and not manager.accounts[BUDGET].must_restore
            for manager in fleet.managers
        )

    @rule(vm=st.integers(0, VMS - 1), tokens=st.integers(1, 120))
    def call(self, vm, tokens):
        self.play(self.fleet.call(vm, tokens))

    @rule(vm=st.integers(0, VMS - 1), tokens=st.integers(20, 200))
    def spend_all(self, vm, tokens):
        self.play(self.fleet.spend_all(vm, tokens))

    @rule(seconds=st.integers(1, 8))
    def advance(self, seconds):
        self.play(self.fleet.advance(seconds))

    @precondition(lambda self: self.is_settled())
    @rule(vm=st.integers(0, VMS - 1), tokens=st.integers(20, 200))
    def lose_what_a_vm_spends_and_turn_it_away(self, vm, tokens):
        self.fleet.store.take_copy()
        self.play(self.fleet.spend_all(vm, tokens))
        self.fleet.store.turned_away = {f"vm-{vm}"}
        self.fleet.store.come_back()

    @precondition(lambda self: self.fleet.store.turned_away)
    @rule()
    def serve_all(self):
        self.fleet.store.turned_away = set()

    @rule(fault=st.sampled_from(["lost", "delayed"]))
    def fail_next_commit(self, fault):
        self.fleet.store.fault = fault

    @precondition(lambda self: self.fleet.store.delayed)
    @rule()
    def apply_delayed(self):
        self.fleet.store.apply_delayed()

    @rule(vm=st.integers(0, VMS - 1), seconds=st.integers(1, 3))
    def lose_messages_of_a_vm(self, vm, seconds):
        self.fleet.unreachable = {f"vm-{vm}"}
        self.play(self.fleet.advance(seconds))
        self.fleet.unreachable = set()

    @rule(tokens=st.integers(1, 500))
    def top_up(self, tokens):
        self.fleet.top_up(tokens)

    @invariant()
    def never_more_is_spent_or_can_be_than_was_prepaid(self):
        assert self.fleet.spent + self.fleet.spendable() <= self.fleet.prepaid


RefusalMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=30, deadline=None, derandomize=True
)
TestRefusals = RefusalMachine.TestCase


async def spend_everywhere(fleet: Fleet) -> None:
    for vm in range(VMS):
        await fleet.spend_all(vm, 20)


# Guards against tokens that are granted twice because their holder, which lives, does
# not reach the store while the others do.
def test_tokens_of_a_vm_that_is_turned_away_are_not_granted_to_another():
    async def play(fleet):
        await spend_in_the_gap(fleet, 0, PREPAID // 2)
        await fleet.advance(8)
        await spend_everywhere(fleet)
        spent_without_it = fleet.spent
        fleet.store.turned_away.clear()
        await fleet.advance(8)
        await spend_everywhere(fleet)
        assert fleet.spent <= PREPAID
        assert spent_without_it > 0.9 * PREPAID

    run(play)


# Guards against grants of a budget that one VM still has to be asked about.
def test_nothing_is_granted_before_a_vm_that_is_behind_has_replied():
    async def play(fleet):
        await spend_in_the_gap(fleet, 0, PREPAID // 2)
        fleet.unreachable = {"vm-0"}
        await fleet.advance(SILENCE_S - 2)
        with pytest.raises(UnavailableError, match="settles"):
            await fleet.managers[1].reserve(BUDGET, 500)
        fleet.unreachable = set()
        await fleet.advance(6)
        await spend_everywhere(fleet)
        assert 0.9 * PREPAID < fleet.spent <= PREPAID

    run(play)


# Guards against budgets that stay closed because a VM that was lost for good is listed.
def test_tokens_are_granted_again_although_a_lost_vm_stays_listed():
    async def play(fleet):
        await fleet.advance(1)
        fleet.store.take_copy()
        fleet.store.turned_away.add("vm-0")
        fleet.unreachable = {"vm-0"}
        fleet.store.come_back()
        await fleet.advance(SILENCE_S + 2)
        await fleet.managers[1].reserve(BUDGET, 500)

    run(play)


# Guards against a fleet that waits for VMs of a build that does not tell.
def test_vm_of_an_older_build_is_not_awaited():
    async def play(fleet):
        await fleet.advance(1)
        fleet.store.take_copy()
        fleet.store.come_back()
        await fleet.advance(2)
        restorations = fleet.restorations["vm-1"]
        restorations.update({"vm-0": None, "vm-2": 2})
        account = fleet.managers[1].accounts[BUDGET]
        assert not restorations.awaits(account, fleet.clock())
        restorations.update({"vm-0": 1, "vm-2": 2})
        assert restorations.awaits(account, fleet.clock())

    run(play)


# Guards against a grant of an earlier era that arrives after its VM was asked, and is
# in nothing that it told.
def test_grant_that_arrives_after_its_vm_was_asked_is_not_spent():
    async def play(fleet):
        await fleet.advance(1)
        fleet.store.take_copy()
        manager, transactions = fleet.managers[0], fleet.managers[0].grant_transactions
        held = manager.held_tokens(BUDGET).free
        committed, answer = asyncio.Event(), asyncio.Event()

        async def commit_and_wait(checks, writes):
            result = await commit(checks, writes)
            committed.set()
            await answer.wait()
            return result

        table = transactions.table
        commit = table.commit
        slow = replace(table, commit=commit_and_wait)
        transactions.table = guard_eras(slow, manager.eras)
        late = asyncio.create_task(manager.reserve(BUDGET, held + 100))
        await committed.wait()
        transactions.table = table
        fleet.store.turned_away.add("vm-0")
        fleet.store.come_back()
        await fleet.advance(4)
        assert manager.eras.number == fleet.store.era
        answer.set()
        with pytest.raises(UnavailableError):
            await late
        assert manager.held_tokens(BUDGET).free <= held
        await fleet.advance(4)
        await spend_everywhere(fleet)
        assert fleet.spent <= PREPAID

    run(play)


# Guards against states that another VM tells while a restoration is being written.
def test_states_told_during_a_restoration_are_written_by_the_next_one():
    async def play(fleet):
        await spend_in_the_gap(fleet, 0, PREPAID // 2)
        manager = fleet.managers[1]
        with suppress(PlatformError):
            await manager.table.read(("op//config",))
        account = manager.accounts[BUDGET]
        transactions = manager.grant_transactions
        told = fleet.managers[0].accounts[BUDGET]
        states = {
            shard: row.state_in(1)
            for shard, row in enumerate(told.shards)
            if row.version
        }
        commit = transactions.table.commit

        async def commit_and_tell(checks, writes):
            result = await commit(checks, writes)
            account.learn_states("vm-0", states)
            return result

        transactions.table = replace(transactions.table, commit=commit_and_tell)
        await transactions.restore_if_due(account)
        assert account.must_restore
        await transactions.restore_if_due(account)
        assert not account.must_restore
        assert account.granted >= sum(state.tokens for state in states.values())

    run(play)


@pytest.mark.parametrize("shard, era", [(-1, 1), (8, 1), (0, 2)])
def test_states_that_can_not_be_of_an_earlier_era_are_ignored(shard, era):
    async def play(fleet):
        await fleet.advance(1)
        fleet.store.come_back()
        await fleet.advance(2)
        account = fleet.managers[0].accounts[BUDGET]
        account.learn_states("vm-1", {shard: ShardState(era, 9_000, 500, 0)})
        assert not account.told_states

    run(play)
