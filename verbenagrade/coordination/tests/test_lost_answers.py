"""The answer to every single write is lost, in turn; nothing changes by it."""

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
    read_budget,
    register,
    report_confirmations,
    take_claim,
    withdraw_claim,
)
from verbenagrade.coordination.claims import ClaimState
from verbenagrade.coordination.ledger import journal_batches
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
from verbenagrade.state.tests.test_budget_rules import order_of
from verbenagrade.tests.fakes import FakePlatform

OLD, NEW = Instance("vm", 1), Instance("vm", 2)
MEMBER = MemberVm("vm", "a", "")
TRIES = 5


@dataclass(frozen=True)
class Books:
    """All that the session leaves behind."""

    spent: int
    committed: int
    bills: tuple
    claim: ClaimState
    rows: tuple
    writes: int


async def insist(action):
    """Repeats an action as the periodic work of an instance would."""
    for _ in range(TRIES):
        try:
            result = await action()
        except PlatformError:
            continue
        if result is not False:
            return result
    raise AssertionError("it never succeeded")


class Session:
    """A holder serves, is lost, and is recovered by its next incarnation."""

    def __init__(self, lose_answer):
        self.platform = FakePlatform(lose_answer)
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
        await insist(lambda: register(self.table, Registration(OLD, "a", "")))
        lost = self.holder(OLD)
        kept = await self.serve(lost)
        await self.claim()
        await insist(lambda: register(self.table, Registration(NEW, "a", "")))
        heir = self.holder(NEW)
        await self.recover(heir, kept)
        await insist(heir.return_all)
        await insist(lambda: deregister(self.table, NEW))
        return await self.books()

    async def configure(self):
        spec = Budget(workspace="w", prepaid=1000)
        wanted = Declaration("budget", "b", spec, 0, "operation-1")
        await insist(lambda: apply_resource(self.table, wanted))
        news = [Confirmation("vm", 1)]
        await insist(lambda: report_confirmations(self.table, "a", news))

    async def reserve(self, holder, attempt, tokens):
        async def reserved():
            answer = await holder.reserve(order_of(attempt, tokens, tokens))
            return answer if isinstance(answer, Reserved) else False

        return await insist(reserved)

    async def serve(self, holder):
        """Leaves one bill durable, one not, and one attempt that still runs."""
        grants = [await self.reserve(holder, f"a{n}", 100) for n in range(3)]
        bills = [
            Bill(f"a{n}", "r", "w", grants[n].grant, "e", 60, 0, "answered", 1.0)
            for n in range(2)
        ]
        holder.settle(Settle(OLD, (bills[0],)))
        await insist(holder.journal.flush)
        await insist(holder.grants.tend) if holder.grants.holdings else None
        holder.settle(Settle(OLD, (bills[1],)))
        return holder, grants, bills

    async def claim(self):
        own = Claim("c1", "digest", 1.0)
        await insist(lambda: take_claim(self.table, "claim/w/k", own))
        done = Claim("c1", "digest", 1.0, ClaimState.DONE, 200)
        await insist(lambda: finish_claim(self.table, "claim/w/k", done))
        other = Claim("c2", "digest", 1.0)
        await insist(lambda: take_claim(self.table, "claim/w/other", other))
        await insist(lambda: withdraw_claim(self.table, "claim/w/other", "c2"))

    async def recover(self, heir, kept):
        lost_holder, grants, bills = kept
        members = Members(MEMBER)
        spender = Spender(NEW, members, heir, None, SpenderLimits(), self.clock)
        for reserved in grants:
            holding = lost_holder.grants.holdings[reserved.grant]
            open_one = holding.open.get(reserved.attempt)
            if open_one is not None:
                spender.settlements.opened(open_one, OLD)
            else:
                spender.settlements.joined(reserved.attempt, OLD)
        for bill in bills:
            spender.finish(bill)
        recovery = Recovery(self.table, self.objects, members, heir, spender, None)
        for _ in range(TRIES):
            await insist(lambda: recovery.look(self.clock()))
            if "a2" in spender.settlements.account_of:
                spender.finish(replace(bills[0], attempt="a2", tokens=30))
            await spender.settle()
            await insist(heir.journal.flush)
            await heir.grants.tend()
        assert spender.claims(Claims(OLD, NEW)).bills == ()

    async def books(self):
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
        return Books(
            budget.spent,
            budget.committed,
            tuple(bills),
            state,
            rows,
            self.platform.writes,
        )


async def test_each_lost_answer_leaves_the_same_books():
    expected = await Session(lose_answer=0).run()
    assert expected.bills == (("a0", 60), ("a1", 60), ("a2", 30))
    assert (expected.spent, expected.committed) == (150, 0)
    assert not [key for key in expected.rows if key.startswith(("grant", "instance"))]
    for lost in range(1, expected.writes + 1):
        books = await Session(lose_answer=lost).run()
        assert books.spent == expected.spent, f"write {lost}"
        assert books.committed == 0, f"write {lost}"
        assert books.bills == expected.bills, f"write {lost}"
        assert books.claim == expected.claim, f"write {lost}"
        assert books.rows == expected.rows, f"write {lost}"
