"""Tests of single rules of ``Holding``."""

from verbenagrade.state import (
    Adjusted,
    Bill,
    BudgetRow,
    GrantId,
    GrantRow,
    Holding,
    Instance,
    Insufficient,
    Reserved,
)
from verbenagrade.state.tests.test_budget_rules import order_of

GRANT = GrantId("b", Instance("vm", 1))


def make_holding(amount):
    holding = Holding(GRANT)
    holding.begin_adjustment(amount, amount, "j", 0)
    row = GrantRow(amount, 0, 1)
    holding.finish_adjustment(Adjusted(BudgetRow(1000, 1000), row))
    return holding


def make_bill(attempt, tokens):
    return Bill(attempt, "r", "w", GRANT, "e", tokens, 0, "answered", 0.0)


def test_tokens_being_returned_cannot_be_reserved():
    holding = make_holding(100)
    holding.begin_adjustment(0, 30, "j", 0)
    assert isinstance(holding.reserve(order_of("a", 50, 50), 0.0), Insufficient)
    assert isinstance(holding.reserve(order_of("b", 30, 30), 0.0), Reserved)


def test_adjustment_with_unknown_result_is_repeated_first():
    holding = make_holding(100)
    first = holding.begin_adjustment(0, 30, "j", 0)
    assert holding.begin_adjustment(500, 900, "j", 0) is first


def test_release_before_the_reservation_prevents_it():
    holding = make_holding(100)
    holding.release("late")
    assert isinstance(holding.reserve(order_of("late", 10), 0.0), Insufficient)
    assert holding.reserved == 0


def test_adjustment_reports_only_durable_bills_as_spent():
    holding = make_holding(100)
    holding.reserve(order_of("a", 40), 0.0)
    holding.settle(make_bill("a", 25), 0.0)
    assert holding.begin_adjustment(0, 0, "j", 0).spent == 0
    holding.pending = None
    holding.made_durable(25)
    assert holding.begin_adjustment(0, 0, "j", 0).spent == 25


def test_reservation_gets_all_unreserved_tokens_if_they_reach_its_minimum():
    holding = make_holding(100)
    assert holding.reserve(order_of("a", 400, 60), 0.0).tokens == 100
