"""Tests of the order in which received bytes are parsed."""

from verbenagrade.state.input_turns import InputTurns, TurnBudget

PIECES = 100
PIECE_S = 0.003
CLIENTS = 50


# Load pattern: many clients send bodies that take long to parse, and one a short call.
def test_call_with_little_work_does_not_wait_for_bodies_with_much():
    turns = InputTurns()
    work_s = {f"body-{number}": 0.0 for number in range(CLIENTS)}
    for name in work_s:
        turns.add(name, 0.0)
    for _ in range(PIECES):
        name = turns.take()
        work_s[name] += PIECE_S
        turns.add(name, work_s[name])
    turns.add("call", 0.0)
    waiting = [turns.take() for _ in range(CLIENTS + 1)]
    assert waiting[0] == "call"
    assert max(work_s.values()) - min(work_s.values()) <= PIECE_S * 1.5


def test_turn_ends_when_its_time_or_memory_is_used_up():
    budget = TurnBudget(0.01, 1_000)
    budget.use(0.005, 999)
    assert not budget.is_used_up
    budget.use(0.0, 1)
    assert budget.is_used_up
    budget.renew()
    budget.use(0.01, 0)
    assert budget.is_used_up
