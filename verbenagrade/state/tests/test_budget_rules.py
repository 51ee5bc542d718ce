"""Random orders of draws, bills, losses, replays and top-ups never overspend."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from verbenagrade.state import (
    Adjusted,
    Bill,
    BudgetRow,
    GrantId,
    GrantRow,
    Holding,
    Instance,
    Reservation,
    Reserved,
    ReserveOrder,
    adjust,
    retarget,
)

HOLDERS = st.integers(0, 2)
TOKENS = st.integers(1, 400)


def order_of(attempt, tokens, minimum=1):
    return ReserveOrder(
        attempt=attempt,
        request="r",
        workspace="w",
        budget="b",
        spender=Instance("s", 1),
        endpoint="e",
        tokens=tokens,
        minimum=minimum,
    )


def order_for(bill):
    return order_of(bill.attempt, bill.tokens)


class Budgets(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.budget = BudgetRow(1000, 1000)
        self.highest_prepaid = 1000
        self.rows: dict[int, GrantRow] = {}
        self.grants = {n: GrantId("b", Instance(f"vm-{n}", 1)) for n in range(3)}
        self.holdings = {n: Holding(self.grants[n]) for n in range(3)}
        self.journals: dict[int, list[Bill]] = {0: [], 1: [], 2: []}
        self.undurable: dict[int, list[Bill]] = {0: [], 1: [], 2: []}
        self.reserved: dict[str, tuple[int, Reserved]] = {}
        self.served: dict[str, int] = {}
        self.sent_bills: list[tuple[int, Bill]] = []
        self.orders = {0: [], 1: [], 2: []}
        self.number = 0

    def apply(self, n, order) -> Adjusted:
        """The table's side of one adjustment; closed grants lose their row."""
        row = self.rows.get(n)
        if row is None and order.operation > 1:
            closed = GrantRow(order.spent, order.spent, order.operation)
            return Adjusted(self.budget, closed)
        before = row or GrantRow()
        after = adjust(self.budget, before, order)
        if after.grant == before or (row is None and not after.grant.amount):
            return Adjusted(self.budget, before)
        self.budget = after.budget
        self.rows[n] = after.grant
        if after.grant.unspent == 0:
            del self.rows[n]
        return after

    @rule(n=HOLDERS, tokens=TOKENS, minimum=TOKENS)
    def reserve(self, n, tokens, minimum):
        self.number += 1
        order = order_of(f"a{self.number}", tokens, min(minimum, tokens))
        answer = self.holdings[n].reserve(order, 0.0)
        if isinstance(answer, Reserved):
            self.reserved[order.attempt] = (n, answer)
            assert self.holdings[n].reserve(order, 0.0) == answer

    @rule(data=st.data(), used=TOKENS, durable=st.booleans())
    def serve_and_settle(self, data, used, durable):
        if not self.reserved:
            return
        attempt = data.draw(st.sampled_from(sorted(self.reserved)))
        n, answer = self.reserved.pop(attempt)
        self.served[attempt] = min(used, answer.tokens)
        bill = Bill(attempt, "r", "w", answer.grant, "e", used, 0, "answered", 0.0)
        self.sent_bills.append((n, bill))
        settlement, billed = self.holdings[n].settle(bill, 0.0)
        assert settlement != "ended_before"
        self.undurable[n].append(billed)
        if durable:
            self.flush(n)

    @rule(n=HOLDERS)
    def flush(self, n):
        for bill in self.undurable[n]:
            self.holdings[n].made_durable(bill.tokens)
        self.journals[n] += self.undurable[n]
        self.undurable[n] = []

    @rule(data=st.data())
    def replay_a_bill(self, data):
        if not self.sent_bills:
            return
        n, bill = data.draw(st.sampled_from(self.sent_bills))
        assert self.holdings[n].settle(bill, 0.0)[0] == "ended_before"

    @rule(data=st.data())
    def release(self, data):
        if not self.reserved:
            return
        attempt = data.draw(st.sampled_from(sorted(self.reserved)))
        n, _ = self.reserved.pop(attempt)
        self.holdings[n].release(attempt)
        self.holdings[n].release(attempt)

    def order(self, n, need, wish):
        order = self.holdings[n].begin_adjustment(
            need, max(need, wish), "journal", len(self.journals[n])
        )
        self.orders[n].append(order)
        return order

    @rule(n=HOLDERS, need=st.integers(0, 300), wish=st.integers(0, 600))
    def adjust_grant(self, n, need, wish):
        order = self.order(n, need, wish)
        self.apply(n, order)
        self.holdings[n].finish_adjustment(self.apply(n, order))

    @rule(n=HOLDERS, wish=st.integers(0, 600), reaches=st.booleans())
    def lose_an_answer(self, n, wish, reaches):
        """The order may have taken effect; the holder goes on without knowing."""
        order = self.order(n, 0, wish)
        if reaches:
            self.apply(n, order)

    @rule(n=HOLDERS, data=st.data())
    def replay_an_old_order(self, n, data):
        row = self.rows.get(n)
        if row is None:
            return
        order = data.draw(st.sampled_from(self.orders[n]))
        if order.operation <= row.operation:
            assert adjust(self.budget, row, order) == Adjusted(self.budget, row)

    @rule(n=HOLDERS)
    def lose_the_holder(self, n):
        """Another instance takes over from the row, the journal and claims."""
        lost = self.holdings[n]
        row = self.rows.get(n)
        if row is None:
            return
        heir = Holding(self.grants[n])
        heir.take_over(row, self.journals[n][row.journal_from :])
        for holder, answer in self.reserved.values():
            if holder == n:
                heir.adopt(lost.open[answer.attempt])
        for bill in self.undurable[n]:
            heir.adopt(Reservation(order_for(bill), bill.tokens, 0.0, bill.grant))
            assert heir.settle(bill, 0.0)[0] == "billed"
        for _, bill in self.sent_bills:
            heir.release(bill.attempt)
        self.holdings[n] = heir

    @rule(prepaid=st.integers(0, 2000))
    def change_prepaid(self, prepaid):
        self.budget = retarget(self.budget, prepaid)
        self.highest_prepaid = max(self.highest_prepaid, prepaid)

    @invariant()
    def never_overspent(self):
        budget = self.budget
        assert budget.committed >= 0
        assert budget.committed + budget.spent <= budget.prepaid
        assert budget.prepaid <= self.highest_prepaid
        assert sum(self.served.values()) <= self.highest_prepaid

    @invariant()
    def holders_stay_inside_their_grants(self):
        outstanding = 0
        for n, holding in self.holdings.items():
            row = self.rows.get(n, GrantRow())
            outstanding += row.unspent
            assert holding.unreserved >= 0
            if holding.pending is None:
                assert holding.amount == row.amount
        assert outstanding == self.budget.committed

    @invariant()
    def each_bill_counts_once(self):
        billed = [b for n in self.journals for b in self.journals[n]]
        billed += [b for n in self.undurable for b in self.undurable[n]]
        assert {b.attempt: b.tokens for b in billed} == self.served
        assert len(billed) == len(self.served)


TestBudgets = Budgets.TestCase
TestBudgets.settings = settings(
    max_examples=200, stateful_step_count=50, deadline=None, derandomize=True
)
