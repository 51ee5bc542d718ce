"""Single rules of a holding, each with the fault that it keeps out."""

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


def holding_of(amount):
    holding = Holding(GRANT)
    holding.begin_adjustment(amount, amount, "j", 0)
    row = GrantRow(amount, 0, 1)
    holding.finish_adjustment(Adjusted(BudgetRow(1000, 1000), row))
    return holding


def bill_of(attempt, tokens):
    return Bill(attempt, "r", "w", GRANT, "e", tokens, 0, "answered", 0.0)


def test_tokens_on_their_way_back_cannot_be_reserved():
    holding = holding_of(100)
    holding.begin_adjustment(0, 30, "j", 0)
    assert isinstance(holding.reserve(order_of("a", 50, 50), 0.0), Insufficient)
    assert isinstance(holding.reserve(order_of("b", 30, 30), 0.0), Reserved)


def test_an_order_without_answer_is_given_again_first():
    holding = holding_of(100)
    first = holding.begin_adjustment(0, 30, "j", 0)
    assert holding.begin_adjustment(500, 900, "j", 0) is first


def test_a_release_that_overtakes_its_reservation_wins():
    holding = holding_of(100)
    holding.release("late")
    assert isinstance(holding.reserve(order_of("late", 10), 0.0), Insufficient)
    assert holding.reserved == 0


def test_the_table_learns_only_of_durable_bills():
    holding = holding_of(100)
    holding.reserve(order_of("a", 40), 0.0)
    holding.settle(bill_of("a", 25), 0.0)
    assert holding.begin_adjustment(0, 0, "j", 0).spent == 0
    holding.pending = None
    holding.made_durable(25)
    assert holding.begin_adjustment(0, 0, "j", 0).spent == 25


def test_an_open_ended_answer_takes_what_is_left():
    holding = holding_of(100)
    assert holding.reserve(order_of("a", 400, 60), 0.0).tokens == 100
