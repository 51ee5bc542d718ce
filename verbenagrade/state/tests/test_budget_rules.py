"""Checks that no sequence of operations spends more than the prepaid tokens.

Hypothesis generates random sequences of reservations, bills, releases, grant
adjustments, lost responses, lost holders, replays and changes of the budget.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from verbenagrade.state import (
    Adjusted,
    Bill,
    BudgetRow,
    GrantId,
    GrantRow,
    HeldGrant,
    Instance,
    Reservation,
    Reserved,
    ReserveOrder,
    adjust,
    retarget,
)

HOLDERS = st.integers(0, 2)
TOKENS = st.integers(1, 400)


def make_reserve_order(attempt, tokens, minimum=1):
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
    return make_reserve_order(bill.attempt, bill.tokens)


class Budgets(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.budget = BudgetRow(1000, 1000)
        self.highest_prepaid = 1000
        self.rows: dict[int, GrantRow] = {}
        self.grants = {n: GrantId("b", Instance(f"vm-{n}", 1)) for n in range(3)}
        self.held_grants = {n: HeldGrant(self.grants[n]) for n in range(3)}
        self.journals: dict[int, list[Bill]] = {0: [], 1: [], 2: []}
        self.pending_bills: dict[int, list[Bill]] = {0: [], 1: [], 2: []}
        self.reserved: dict[str, tuple[int, Reserved]] = {}
        self.served: dict[str, int] = {}
        self.sent_bills: list[tuple[int, Bill]] = []
        self.adjustments = {0: [], 1: [], 2: []}
        self.attempt_count = 0

    def apply(self, n, adjustment) -> Adjusted:
        """Applies an adjustment as the table does, which deletes used up grants."""
        row = self.rows.get(n)
        if row is None and adjustment.operation > 1:
            closed = GrantRow(adjustment.spent, adjustment.spent, adjustment.operation)
            return Adjusted(self.budget, closed)
        before = row or GrantRow()
        after = adjust(self.budget, before, adjustment)
        if after.grant == before or (row is None and not after.grant.amount):
            return Adjusted(self.budget, before)
        self.budget = after.budget
        self.rows[n] = after.grant
        if after.grant.unspent == 0:
            del self.rows[n]
        return after

    @rule(n=HOLDERS, tokens=TOKENS, minimum=TOKENS)
    def reserve(self, n, tokens, minimum):
        self.attempt_count += 1
        order = make_reserve_order(
            f"a{self.attempt_count}", tokens, min(minimum, tokens)
        )
        reserved = self.held_grants[n].reserve(order, 0.0)
        if isinstance(reserved, Reserved):
            self.reserved[order.attempt] = (n, reserved)
            assert self.held_grants[n].reserve(order, 0.0) == reserved

    @rule(data=st.data(), used=TOKENS, durable=st.booleans())
    def serve_and_settle(self, data, used, durable):
        if not self.reserved:
            return
        attempt = data.draw(st.sampled_from(sorted(self.reserved)))
        n, reserved = self.reserved.pop(attempt)
        self.served[attempt] = min(used, reserved.tokens)
        bill = Bill(attempt, "r", "w", reserved.grant, "e", used, 0, "answered", 0.0)
        self.sent_bills.append((n, bill))
        settlement, billed = self.held_grants[n].settle(bill, 0.0)
        assert settlement != "ended_before"
        self.pending_bills[n].append(billed)
        if durable:
            self.flush(n)

    @rule(n=HOLDERS)
    def flush(self, n):
        for bill in self.pending_bills[n]:
            self.held_grants[n].mark_durable(bill.tokens)
        self.journals[n] += self.pending_bills[n]
        self.pending_bills[n] = []

    @rule(data=st.data())
    def replay_a_bill(self, data):
        if not self.sent_bills:
            return
        n, bill = data.draw(st.sampled_from(self.sent_bills))
        assert self.held_grants[n].settle(bill, 0.0)[0] == "ended_before"

    @rule(data=st.data())
    def release(self, data):
        if not self.reserved:
            return
        attempt = data.draw(st.sampled_from(sorted(self.reserved)))
        n, _ = self.reserved.pop(attempt)
        self.held_grants[n].release(attempt)
        self.held_grants[n].release(attempt)

    def begin_adjustment(self, n, need, desired):
        adjustment = self.held_grants[n].begin_adjustment(
            need, max(need, desired), "journal", len(self.journals[n])
        )
        self.adjustments[n].append(adjustment)
        return adjustment

    @rule(n=HOLDERS, need=st.integers(0, 300), desired=st.integers(0, 600))
    def adjust_grant(self, n, need, desired):
        adjustment = self.begin_adjustment(n, need, desired)
        self.apply(n, adjustment)
        self.held_grants[n].finish_adjustment(self.apply(n, adjustment))

    @rule(n=HOLDERS, desired=st.integers(0, 600), reaches=st.booleans())
    def lose_a_response(self, n, desired, reaches):
        """Begins an adjustment that may be applied but whose result is lost."""
        adjustment = self.begin_adjustment(n, 0, desired)
        if reaches:
            self.apply(n, adjustment)

    @rule(n=HOLDERS, data=st.data())
    def replay_an_old_adjustment(self, n, data):
        row = self.rows.get(n)
        if row is None:
            return
        adjustment = data.draw(st.sampled_from(self.adjustments[n]))
        if adjustment.operation <= row.operation:
            assert adjust(self.budget, row, adjustment) == Adjusted(self.budget, row)

    @rule(n=HOLDERS)
    def lose_the_holder(self, n):
        """Another instance restores the grant from the row, the journal and claims."""
        lost = self.held_grants[n]
        row = self.rows.get(n)
        if row is None:
            return
        successor = HeldGrant(self.grants[n])
        successor.take_over(row, self.journals[n][row.journal_from :])
        for holder, reserved in self.reserved.values():
            if holder == n:
                successor.adopt(lost.open[reserved.attempt])
        for bill in self.pending_bills[n]:
            successor.adopt(Reservation(order_for(bill), bill.tokens, 0.0, bill.grant))
            assert successor.settle(bill, 0.0)[0] == "billed"
        for _, bill in self.sent_bills:
            successor.release(bill.attempt)
        self.held_grants[n] = successor

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
        for n, held_grant in self.held_grants.items():
            row = self.rows.get(n, GrantRow())
            outstanding += row.unspent
            assert held_grant.unreserved >= 0
            if held_grant.pending is None:
                assert held_grant.amount == row.amount
        assert outstanding == self.budget.committed

    @invariant()
    def each_bill_counts_once(self):
        billed = [b for n in self.journals for b in self.journals[n]]
        billed += [b for n in self.pending_bills for b in self.pending_bills[n]]
        assert {b.attempt: b.tokens for b in billed} == self.served
        assert len(billed) == len(self.served)


TestBudgets = Budgets.TestCase
TestBudgets.settings = settings(
    max_examples=200, stateful_step_count=50, deadline=None, derandomize=True
)
