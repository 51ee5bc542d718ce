"""Guards against wrong bills and budgets after the response to a write is lost.

The write is committed, but its caller sees an error and retries it. The test runs a
scenario once for each of its writes, loses the response to that write, and compares
the final state with that of a run without faults.
"""

from dataclasses import dataclass, replace

from verbenagrade.coordination import (
    Claim,
    Confirmation,
    Declaration,
    Holder,
    HolderLimits,
    Recovery,
    Registration,
    Spender,
    SpenderLimits,
    apply_resource,
    deregister,
    finish_claim,
    get_or_create_claim,
    read_budget,
    register,
    report_confirmations,
    withdraw_claim,
)
from verbenagrade.coordination.claims import ClaimState
from verbenagrade.coordination.journal_reader import journal_batches
from verbenagrade.exceptions import PlatformError
from verbenagrade.state import (
    Bill,
    Budget,
    Claims,
    Instance,
    Members,
    MemberVm,
    Reserved,
    Settle,
)
from verbenagrade.state.tests.test_budget_rules import make_reserve_order
from verbenagrade.tests.fakes import FakePlatform

OLD, NEW = Instance("vm", 1), Instance("vm", 2)
MEMBER = MemberVm("vm", "a", "")
MAX_ATTEMPTS = 5


@dataclass(frozen=True)
class FinalState:
    """The stored state after a scenario, and the number of writes."""

    spent: int
    committed: int
    bills: tuple
    claim: ClaimState
    rows: tuple
    writes: int


async def retry(action):
    """Retries an action until it succeeds, as the periodic tasks of an instance do."""
    for _ in range(MAX_ATTEMPTS):
        try:
            result = await action()
        except PlatformError:
            continue
        if result is not False:
            return result
    raise AssertionError("the action never succeeded")


class Scenario:
    """A holder serves, is lost, and is recovered by its next incarnation."""

    def __init__(self, lost_response):
        self.platform = FakePlatform(lost_response)
        self.table = self.platform.table()
        self.objects = self.platform.objects()
        self.now = 0.0

    def clock(self):
        self.now += 10.0
        return self.now

    def holder(self, instance):
        holder = Holder(instance, self.table, self.objects, HolderLimits(), self.clock)
        holder.grants.registered = True
        return holder

    async def run(self):
        await self.configure()
        await retry(lambda: register(self.table, Registration(OLD, "a", "")))
        lost_holder = self.holder(OLD)
        served = await self.serve(lost_holder)
        await self.claim()
        await retry(lambda: register(self.table, Registration(NEW, "a", "")))
        successor = self.holder(NEW)
        await self.recover(successor, served)
        await retry(successor.return_all)
        await retry(lambda: deregister(self.table, NEW))
        return await self.final_state()

    async def configure(self):
        spec = Budget(workspace="w", prepaid=1000)
        declaration = Declaration("budget", "b", spec, 0, "operation-1")
        await retry(lambda: apply_resource(self.table, declaration))
        confirmations = [Confirmation("vm", 1)]
        await retry(lambda: report_confirmations(self.table, "a", confirmations))

    async def reserve(self, holder, attempt, tokens):
        async def reserved():
            result = await holder.reserve(make_reserve_order(attempt, tokens, tokens))
            return result if isinstance(result, Reserved) else False

        return await retry(reserved)

    async def serve(self, holder):
        """Leaves one durable bill, one that is not durable, and one running attempt."""
        grants = [await self.reserve(holder, f"a{n}", 100) for n in range(3)]
        bills = [
            Bill(f"a{n}", "r", "w", grants[n].grant, "e", 60, 0, "answered", 1.0)
            for n in range(2)
        ]
        holder.settle(Settle(OLD, (bills[0],)))
        await retry(holder.journal.flush)
        await retry(holder.grants.rebalance) if holder.grants.held_grants else None
        holder.settle(Settle(OLD, (bills[1],)))
        return holder, grants, bills

    async def claim(self):
        first = Claim("c1", "digest", 1.0)
        await retry(lambda: get_or_create_claim(self.table, "claim/w/k", first))
        done = Claim("c1", "digest", 1.0, ClaimState.DONE, 200)
        await retry(lambda: finish_claim(self.table, "claim/w/k", done))
        other = Claim("c2", "digest", 1.0)
        await retry(lambda: get_or_create_claim(self.table, "claim/w/other", other))
        await retry(lambda: withdraw_claim(self.table, "claim/w/other", "c2"))

    async def recover(self, successor, served):
        lost_holder, grants, bills = served
        members = Members(MEMBER)
        spender = Spender(NEW, members, successor, None, SpenderLimits(), self.clock)
        for reserved in grants:
            held_grant = lost_holder.grants.held_grants[reserved.grant]
            reservation = held_grant.open.get(reserved.attempt)
            if reservation is not None:
                spender.settlements.record_reservation(reservation, OLD)
            else:
                spender.settlements.record_joined(reserved.attempt, OLD)
        for bill in bills:
            spender.finish(bill)
        recovery = Recovery(self.table, self.objects, members, successor, spender, None)
        for _ in range(MAX_ATTEMPTS):
            await retry(lambda: recovery.recover_lost_instances(self.clock()))
            if "a2" in spender.settlements.account_of:
                spender.finish(replace(bills[0], attempt="a2", tokens=30))
            await spender.settle()
            await retry(successor.journal.flush)
            await successor.grants.rebalance()
        assert spender.handle_claims(Claims(OLD, NEW)).bills == ()

    async def final_state(self):
        budget = await read_budget(self.table, "b")
        bills = sorted(
            [
                (bill.attempt, bill.tokens)
                async for batch in journal_batches(self.objects)
                for bill in batch.bills
            ]
        )
        claims = await self.table.scan("claim/", "", 10)
        rows = tuple(row.key for row in await self.table.scan("", "", 100))
        state = ClaimState.DONE if b'"done"' in claims[0].value else None
        return FinalState(
            budget.spent,
            budget.committed,
            tuple(bills),
            state,
            rows,
            self.platform.write_count,
        )


async def test_lost_response_to_any_write_leaves_the_same_final_state():
    expected = await Scenario(lost_response=0).run()
    assert expected.bills == (("a0", 60), ("a1", 60), ("a2", 30))
    assert (expected.spent, expected.committed) == (150, 0)
    assert not [key for key in expected.rows if key.startswith(("grant", "instance"))]
    for write in range(1, expected.writes + 1):
        state = await Scenario(lost_response=write).run()
        assert state.spent == expected.spent, f"write {write}"
        assert state.committed == 0, f"write {write}"
        assert state.bills == expected.bills, f"write {write}"
        assert state.claim == expected.claim, f"write {write}"
        assert state.rows == expected.rows, f"write {write}"
