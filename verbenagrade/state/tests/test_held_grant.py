"""Tests of single rules of ``HeldGrant``."""

from verbenagrade.state import (
    Adjusted,
    Bill,
    BudgetRow,
    GrantId,
    GrantRow,
    HeldGrant,
    Instance,
    Insufficient,
    Reserved,
)
from verbenagrade.state.tests.test_budget_rules import make_reserve_order

GRANT = GrantId("b", Instance("vm", 1))


def make_held_grant(amount):
    held_grant = HeldGrant(GRANT)
    held_grant.begin_adjustment(amount, amount, "j", 0)
    row = GrantRow(amount, 0, 1)
    held_grant.finish_adjustment(Adjusted(BudgetRow(1000, 1000), row))
    return held_grant


def make_bill(attempt, tokens):
    return Bill(attempt, "r", "w", GRANT, "e", tokens, 0, "answered", 0.0)


def test_tokens_being_returned_cannot_be_reserved():
    held_grant = make_held_grant(100)
    held_grant.begin_adjustment(0, 30, "j", 0)
    assert isinstance(
        held_grant.reserve(make_reserve_order("a", 50, 50), 0.0), Insufficient
    )
    assert isinstance(
        held_grant.reserve(make_reserve_order("b", 30, 30), 0.0), Reserved
    )


def test_adjustment_with_unknown_result_is_retried_first():
    held_grant = make_held_grant(100)
    first = held_grant.begin_adjustment(0, 30, "j", 0)
    assert held_grant.begin_adjustment(500, 900, "j", 0) is first


def test_release_before_the_reservation_prevents_it():
    held_grant = make_held_grant(100)
    held_grant.release("late")
    assert isinstance(
        held_grant.reserve(make_reserve_order("late", 10), 0.0), Insufficient
    )
    assert held_grant.reserved == 0


def test_adjustment_reports_only_durable_bills_as_spent():
    held_grant = make_held_grant(100)
    held_grant.reserve(make_reserve_order("a", 40), 0.0)
    held_grant.settle(make_bill("a", 25), 0.0)
    assert held_grant.begin_adjustment(0, 0, "j", 0).spent == 0
    held_grant.pending = None
    held_grant.mark_durable(25)
    assert held_grant.begin_adjustment(0, 0, "j", 0).spent == 25


def test_reservation_gets_all_unreserved_tokens_if_they_reach_its_minimum():
    held_grant = make_held_grant(100)
    assert held_grant.reserve(make_reserve_order("a", 400, 60), 0.0).tokens == 100


# Guards against tokens that stay set aside for a return that never reached a budget.
def test_cancelled_adjustment_sets_no_tokens_aside():
    held_grant = make_held_grant(100)
    held_grant.begin_adjustment(0, 0, "j", 0)
    assert held_grant.unreserved == 0
    held_grant.cancel_adjustment()
    assert (held_grant.unreserved, held_grant.pending) == (100, None)
