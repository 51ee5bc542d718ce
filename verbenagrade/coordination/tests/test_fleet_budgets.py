"""Tests of tokens that VMs reserve with each other, over ways that lose messages."""

import asyncio
import itertools
from contextlib import suppress
from dataclasses import dataclass, replace

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from verbenagrade.coordination.budget_holder import BudgetHolder, SpenderProcess
from verbenagrade.coordination.fleet_budgets import (
    FleetBudgets,
    HolderLinks,
    HolderReply,
)
from verbenagrade.coordination.tests.test_store_eras import BUDGET, VMS, Fleet
from verbenagrade.exceptions import (
    BudgetExhaustedError,
    PeerNoReplyError,
    PeerUnreachableError,
    PlatformError,
    UnavailableError,
)
from verbenagrade.state.holders import HolderRanking, HolderVm
from verbenagrade.state.reservation_orders import (
    FreeTokensOrder,
    ReserveOrder,
    ReserveStatus,
    SettleOrder,
)
from verbenagrade.state.reservations import HeldTokens, ReservedPart


@dataclass(frozen=True)
class SentSettlement:
    """A settlement that may not have arrived: from whom, to which part, how much."""

    spender: SpenderProcess
    part: ReservedPart
    used: int


class LendingFleet(Fleet):
    """VMs of two data centres that reserve with each other.

    ``unreachable`` VMs get no messages. The reply to the next reservation is lost if
    ``reply_lost`` is set. Settlements wait in ``settlements`` while ``settle_late`` is
    set. ``open`` are the reservations of calls that have not ended.
    """

    def __init__(self) -> None:
        super().__init__()
        self.unreachable: set[int] = set()
        self.reply_lost = False
        self.settle_late = False
        self.settlements: list[SentSettlement] = []
        self.numbers = itertools.count(1)
        self.open: list = []
        self.holders = [BudgetHolder(manager) for manager in self.managers]
        self.budgets = [self._new_budgets(vm) for vm in range(VMS)]

    def replace_vm(self, vm: int) -> None:
        """Ends a process without a word and starts the next one.

        Its calls that had not ended have spent all that they reserved.
        """
        for entry in [entry for entry in self.open if entry[0] == vm]:
            self.open.remove(entry)
            self.spent += entry[1].tokens
        self.managers[vm] = self.start(vm)
        self.holders[vm] = BudgetHolder(self.managers[vm])
        self.budgets[vm] = self._new_budgets(vm)

    async def begin(self, vm: int, tokens: int) -> bool:
        try:
            reservation = await self.budgets[vm].reserve(BUDGET, tokens)
        except (BudgetExhaustedError, UnavailableError):
            return False
        finally:
            await self._finish_refills()
        self.open.append((vm, reservation))
        return True

    def end(self, position: int, used_fraction: float) -> None:
        vm, reservation = self.open.pop(position)
        used = int(used_fraction * reservation.tokens)
        self.budgets[vm].settle(reservation, used)
        self.spent += used

    def deliver_settlements(self) -> None:
        """Delivers what waits, each twice, as after a lost confirmation."""
        waiting, self.settlements = self.settlements, []
        for sent in (*waiting, *waiting):
            self._settle_at_holder(sent)

    @property
    def reserved(self) -> int:
        return sum(reservation.tokens for _, reservation in self.open)

    def _new_budgets(self, vm: int) -> FleetBudgets:
        ranking = HolderRanking(holder_vm(vm))
        ranking.update(holder_vm(other) for other in range(VMS))
        spender = SpenderProcess(f"vm-{vm}", self.managers[vm].incarnation)

        async def reserve(holder, request):
            other = self._reach(holder)
            number = next(self.numbers)
            order = ReserveOrder(
                number,
                request.workspace,
                request.tokens,
                request.prepaid,
            )
            result = other.reserve(spender, order)
            if result.status is ReserveStatus.PENDING:
                result = await other.finish(spender, order)
            part = ReservedPart(
                holder.vm, request.tokens, other.manager.incarnation, number
            )
            if self.reply_lost:
                self.reply_lost = False
                self._send(SentSettlement(spender, part, 0))
                raise PeerNoReplyError("the reply was lost")
            if result.status is ReserveStatus.DECLINED:
                raise PeerUnreachableError(result.reason)
            granted = result.status is ReserveStatus.GRANTED
            return HolderReply(result.status, part if granted else None, result.reason)

        async def free(holder, workspace):
            reply = self._reach(holder).free(FreeTokensOrder(0, workspace))
            return HeldTokens(reply.at_once, reply.free)

        def settle(part, used):
            self._send(SentSettlement(spender, part, used))

        links = HolderLinks(reserve, free, settle)
        return FleetBudgets(self.managers[vm], ranking, links, self.clock)

    def _reach(self, holder: HolderVm) -> BudgetHolder:
        number = int(holder.vm.removeprefix("vm-"))
        if number in self.unreachable:
            raise PeerUnreachableError(f"{holder.vm} is not reached")
        return self.holders[number]

    def _send(self, sent: SentSettlement) -> None:
        number = int(sent.part.vm.removeprefix("vm-"))
        if self.settle_late or number in self.unreachable:
            self.settlements.append(sent)
        else:
            self._settle_at_holder(sent)

    def _settle_at_holder(self, sent: SentSettlement) -> None:
        holder = self.holders[int(sent.part.vm.removeprefix("vm-"))]
        if holder.manager.incarnation == sent.part.incarnation:
            holder.settle(sent.spender, SettleOrder(sent.part.number, sent.used))


def holder_vm(vm: int) -> HolderVm:
    return HolderVm(f"vm-{vm}", f"10.0.0.{vm}:7341", "muscat-a" if vm < 2 else "dhofar")


class LendingMachine(RuleBasedStateMachine):
    """Interleaves calls with lost messages, lost VMs and troubles of the store."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.fleet = LendingFleet()

    def teardown(self) -> None:
        self.loop.close()

    @rule(vm=st.integers(0, VMS - 1), tokens=st.integers(1, 600))
    def begin(self, vm, tokens):
        self.loop.run_until_complete(self.fleet.begin(vm, tokens))

    @precondition(lambda self: self.fleet.open)
    @rule(position=st.integers(0, 100), used=st.sampled_from([0.0, 0.4, 1.0]))
    def end(self, position, used):
        self.fleet.end(position % len(self.fleet.open), used)

    @rule(seconds=st.integers(1, 8))
    def advance(self, seconds):
        self.loop.run_until_complete(self.fleet.advance(seconds))

    @rule(seconds=st.floats(0.01, 9.0))
    def pass_time_without_maintenance(self, seconds):
        self.fleet.clock.now += seconds

    @rule()
    def lose_next_reply(self):
        self.fleet.reply_lost = True

    @rule(late=st.booleans())
    def change_settlements(self, late):
        self.fleet.settle_late = late

    @rule()
    def deliver_settlements(self):
        self.fleet.deliver_settlements()

    @rule(vm=st.integers(0, VMS - 1), reached=st.booleans())
    def change_way(self, vm, reached):
        if reached:
            self.fleet.unreachable.discard(vm)
        else:
            self.fleet.unreachable.add(vm)

    @rule(vm=st.integers(0, VMS - 1))
    def replace_vm(self, vm):
        self.fleet.replace_vm(vm)

    @rule(unavailable=st.booleans())
    def change_store(self, unavailable):
        self.fleet.store.unavailable = unavailable

    @rule(fault=st.sampled_from(["lost", "delayed"]))
    def fail_next_commit(self, fault):
        self.fleet.store.fault = fault

    @precondition(lambda self: self.fleet.store.delayed)
    @rule()
    def apply_delayed(self):
        self.fleet.store.apply_delayed()

    @rule(tokens=st.integers(1, 500))
    def top_up(self, tokens):
        self.fleet.top_up(tokens)

    @invariant()
    def never_more_is_spent_reserved_or_free_than_was_prepaid(self):
        fleet = self.fleet
        used = fleet.spent + fleet.reserved
        assert used + fleet.spendable() <= fleet.prepaid


LendingMachine.TestCase.settings = settings(
    max_examples=250, stateful_step_count=40, deadline=None, derandomize=True
)
TestLending = LendingMachine.TestCase


async def tokens_in_all_holders(fleet: LendingFleet) -> None:
    """Grants tokens of one budget to VMs of both data centres."""
    await fleet.advance(3)
    for vm in range(VMS):
        assert await fleet.begin(vm, 20)
        fleet.end(0, 0.0)
    await fleet.advance(1)
    assert all(
        m.held_tokens(BUDGET).at_once for m in (fleet.managers[0], fleet.managers[2])
    )


# Guards against calls refused in an outage although another VM holds enough tokens.
async def test_without_the_store_a_call_is_served_from_tokens_of_several_holders():
    fleet = LendingFleet()
    await tokens_in_all_holders(fleet)
    fleet.store.unavailable = True
    free = [manager.held_tokens(BUDGET).at_once for manager in fleet.managers]
    assert await fleet.begin(1, sum(free))
    assert len({part.vm for part in fleet.open[0][1].parts}) > 1
    fleet.end(0, 0.0)
    assert [manager.held_tokens(BUDGET).at_once for manager in fleet.managers] == free


# Guards against calls refused in an outage because the holder was slow to reply once:
# under load that takes longer than a reply may, and then it was avoided.
async def test_without_the_store_a_holder_that_did_not_reply_is_asked_once_more():
    fleet = LendingFleet()
    await tokens_in_all_holders(fleet)
    holder = next(vm for vm in (0, 1) if fleet.budgets[vm].is_holder(BUDGET))
    fleet.store.unavailable = True
    fleet.unreachable = {2}
    tokens = fleet.managers[holder].held_tokens(BUDGET).at_once
    fleet.reply_lost = True
    assert await fleet.begin(1 - holder, tokens)


# Guards against a final refusal while tokens exist that can't be reached now.
async def test_call_is_not_refused_for_good_while_a_holder_is_not_reached():
    fleet = LendingFleet()
    await tokens_in_all_holders(fleet)
    fleet.unreachable = {2}
    for _ in range(3):
        with pytest.raises(UnavailableError):
            await fleet.budgets[0].reserve(BUDGET, fleet.prepaid)
        fleet.clock.now += 0.4


# Guards against callers who come back for ever because a VM is gone for good.
async def test_call_is_refused_for_good_once_a_lost_holder_counts_as_gone():
    fleet = LendingFleet()
    await tokens_in_all_holders(fleet)
    fleet.unreachable = {2}
    for _ in range(40):
        fleet.clock.now += 0.4
        try:
            await fleet.budgets[0].reserve(BUDGET, fleet.prepaid)
        except UnavailableError:
            continue
        except BudgetExhaustedError:
            return
    pytest.fail("the call was never refused for good")


# Guards against an unexpected error if a VM leaves while its tokens are reserved.
async def test_holder_that_leaves_while_parts_are_reserved_costs_no_error():
    fleet = LendingFleet()
    await tokens_in_all_holders(fleet)
    fleet.store.unavailable = True
    budgets = fleet.budgets[0]
    free = sum(m.held_tokens(BUDGET).at_once for m in fleet.managers)
    ask = budgets.links.free

    async def ask_and_leave(holder, workspace):
        tokens = await ask(holder, workspace)
        budgets.ranking.update([])
        return tokens

    budgets.links = replace(budgets.links, free=ask_and_leave)
    with pytest.raises(UnavailableError):
        await budgets.reserve(BUDGET, free)
    assert all(m.accounts[BUDGET].allowance.reserved == 0 for m in fleet.managers)


# Guards against callers who are told to come back although nothing is left anywhere.
async def test_call_beyond_all_tokens_of_the_fleet_is_refused_for_good():
    fleet = LendingFleet()
    await tokens_in_all_holders(fleet)
    with pytest.raises(BudgetExhaustedError, match="top up"):
        await fleet.budgets[0].reserve(BUDGET, fleet.prepaid + 1)


# Guards against calls refused while only the first holder has lost the store.
async def test_store_that_rejects_only_the_holder_refuses_no_call():
    fleet = LendingFleet()
    holder = next(vm for vm in (0, 1) if fleet.budgets[vm].is_holder(BUDGET))
    table = fleet.managers[holder].grant_transactions.table

    async def reject(*_args):
        raise PlatformError("rejected")

    fleet.managers[holder].grant_transactions.table = type(table)(
        reject, reject, reject, None, None
    )
    assert await fleet.begin(1 - holder, 300)
    assert await fleet.begin(2, 300)


async def test_reservation_whose_reply_was_lost_is_released():
    fleet = LendingFleet()
    await tokens_in_all_holders(fleet)
    free = fleet.spendable()
    fleet.reply_lost = True
    spender = next(vm for vm in (0, 1) if not fleet.budgets[vm].is_holder(BUDGET))
    assert await fleet.begin(spender, 10)
    fleet.end(0, 0.0)
    assert fleet.spendable() >= free


async def test_reservations_of_a_replaced_process_are_charged_in_full():
    fleet = LendingFleet()
    holder, spender = fleet.holders[0], SpenderProcess("vm-9", "vm-9-1")
    await fleet.managers[0].reserve(BUDGET, 50)
    fleet.managers[0].settle(BUDGET, 50, 0)
    order = ReserveOrder(1, BUDGET, 40, fleet.prepaid)
    assert holder.reserve(spender, order).status is ReserveStatus.GRANTED
    holder.charge_replaced("vm-9", "vm-9-1")
    assert fleet.managers[0].accounts[BUDGET].allowance.spent == 0
    holder.charge_replaced("vm-9", "vm-9-2")
    assert fleet.managers[0].accounts[BUDGET].allowance.spent == 40


@pytest.mark.parametrize("tokens", [0, -5])
async def test_reservation_without_tokens_moves_nothing(tokens):
    fleet = LendingFleet()
    order = ReserveOrder(1, BUDGET, tokens, fleet.prepaid)
    result = fleet.holders[0].reserve(SpenderProcess("vm-9", "vm-9-1"), order)
    assert result.status is ReserveStatus.UNAVAILABLE
    assert fleet.managers[0].accounts[BUDGET].allowance.reserved == 0


async def test_repeated_reservation_and_settlement_beyond_it_move_nothing():
    fleet = LendingFleet()
    await fleet.managers[0].reserve(BUDGET, 50)
    fleet.managers[0].settle(BUDGET, 50, 0)
    holder, spender = fleet.holders[0], SpenderProcess("vm-9", "vm-9-1")
    allowance = fleet.managers[0].accounts[BUDGET].allowance
    order = ReserveOrder(7, BUDGET, 20, fleet.prepaid)
    assert holder.reserve(spender, order).status is ReserveStatus.GRANTED
    assert holder.reserve(spender, order).status is ReserveStatus.UNAVAILABLE
    for used in (21, -1):
        holder.settle(spender, SettleOrder(7, used))
    assert (allowance.reserved, allowance.spent) == (20, 0)
    for _ in range(2):
        holder.settle(spender, SettleOrder(7, 5))
    assert (allowance.reserved, allowance.spent) == (0, 5)


# Guards against a top-up that is refused because it has not reached the holder.
async def test_holder_without_the_newest_top_up_does_not_call_a_budget_exhausted():
    fleet = LendingFleet()
    fleet.managers[2].set_prepaid(BUDGET, fleet.prepaid + 500)
    with suppress(UnavailableError):
        await fleet.managers[0].reserve(BUDGET, 50)
    spender = SpenderProcess("vm-9", "vm-9-1")
    order = ReserveOrder(1, BUDGET, fleet.prepaid + 100, fleet.prepaid + 500)
    assert fleet.holders[0].reserve(spender, order).status is ReserveStatus.PENDING
    result = await fleet.holders[0].finish(spender, order)
    assert result.status is ReserveStatus.UNAVAILABLE


# Guards against a last call that is refused because half of its tokens are in the store
# and half at other VMs.
async def test_rest_in_the_store_and_tokens_of_other_holders_serve_one_call():
    fleet = LendingFleet()
    await tokens_in_all_holders(fleet)
    granted = sum(manager.accounts[BUDGET].own.tokens for manager in fleet.managers)
    assert 0 < granted < fleet.prepaid
    await fleet.advance(10)
    assert await fleet.begin(0, fleet.prepaid)
    assert len(fleet.open[0][1].parts) > 1


# Guards against tokens that nobody finds at a VM which stood in for a holder.
async def test_vm_that_stood_in_for_a_holder_returns_its_tokens_soon():
    fleet = LendingFleet()
    await fleet.advance(3)
    holder = next(vm for vm in (0, 1) if fleet.budgets[vm].is_holder(BUDGET))
    fleet.unreachable = {holder}
    assert await fleet.begin(1 - holder, 100)
    fleet.end(0, 0.5)
    assert fleet.managers[1 - holder].accounts[BUDGET].allowance.free > 0
    fleet.unreachable = set()
    await fleet.advance(6)
    assert fleet.managers[1 - holder].accounts[BUDGET].allowance.free == 0
