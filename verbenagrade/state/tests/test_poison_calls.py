"""Tests of how calls that crash endpoints are recognised by their digests."""

from verbenagrade.state.crash_suspects import SEPARATE_CRASHES_S, TRIAL_AFTER_S
from verbenagrade.state.poison_calls import MIN_POISON_CRASHES, PoisonCalls


def crashed(*times: float) -> PoisonCalls:
    """Returns a record of crashes of endpoints at these times."""
    calls = PoisonCalls()
    for number, at in enumerate(times):
        assert calls.record_crash("d", f"i-{number}", at)
    return calls


def test_call_that_crashes_three_endpoints_at_once_is_poison():
    assert not crashed(1.0, 1.0).is_poison("d")
    assert crashed(1.0, 1.0, 1.0).is_poison("d")


# Guards against a fault of several endpoints that convicts a call which was served.
def test_call_that_was_served_is_poison_only_by_crashes_apart_in_time():
    for last, poison in ((10.0, False), (10.0 + 2 * SEPARATE_CRASHES_S, True)):
        calls = PoisonCalls()
        calls.record_completion("d", sent_at=9.0)
        for number, at in enumerate((10.0, 10.0, 10.0, 10.0, last)):
            calls.record_crash("d", f"i-{number}", at)
        assert calls.is_poison("d") is poison


# Guards against crashes that are learned late and outlive the proof against them.
def test_crash_from_before_a_served_call_does_not_count():
    calls = crashed(1.0, 2.0, 3.0)
    assert calls.record_completion("d", sent_at=5.0) == ("i-0", "i-1", "i-2")
    assert not calls.record_crash("d", "i-9", at=4.0)
    assert calls.record_crash("d", "i-9", at=6.0)
    assert not calls.is_poison("d")


def test_call_sent_before_a_crash_does_not_clear_it():
    calls = crashed(1.0, 2.0, 3.0, 4.0)
    assert calls.record_completion("d", sent_at=1.0) == ()
    assert calls.is_poison("d")


def test_trials_come_due_after_the_decisive_crash_and_end():
    calls = crashed(1.0, 2.0, 3.0, 3.5)
    for number, after_s in enumerate(TRIAL_AFTER_S):
        assert calls.next_trial("d", 3.0 + after_s - 0.1) is None
        assert calls.next_trial("d", 3.0 + after_s) == number
        calls.record_trial("d", number)
    assert calls.next_trial("d", 500.0) is None
    assert calls.next_trial("other", 500.0) is None


def test_forgotten_crashes_no_longer_count():
    calls = crashed(1.0, 2.0, 3.0)
    calls.record_trial("d", 0)
    for number in range(MIN_POISON_CRASHES):
        calls.forget("d", f"i-{number}")
        assert not calls.is_poison("d")
    assert not calls.crashes
    assert not calls.trials


def test_number_of_digests_is_bounded():
    calls = PoisonCalls()
    for number in range(20_000):
        calls.record_crash(f"d{number}", "i-0", at=float(number))
        calls.record_trial(f"d{number}", 0)
        calls.record_completion(f"s{number}", sent_at=float(number))
    assert len(calls.crashes) <= 10_000
    assert len(calls.trials) <= 10_000
    assert len(calls.completed) <= 5_000
