"""Tests of retries, their timeouts and budget, and of the endpoint directory."""

import pytest

from verbenagrade.state.calls import CallKind
from verbenagrade.state.directory import EndpointDirectory, EndpointEntry
from verbenagrade.state.retries import (
    MAX_PLACEMENTS,
    Failure,
    first_response_timeout_s,
    is_retry_allowed,
    next_event_timeout_s,
)
from verbenagrade.state.retry_budget import RetryBudget, RetryPolicy

POLICY = RetryPolicy(ratio=0.2, window_s=10.0, slack=56.0)
UNKNOWN = (Failure.BROKEN, Failure.SILENT, Failure.FAILED)


@pytest.mark.parametrize("failure", UNKNOWN)
@pytest.mark.parametrize("kind", [CallKind.AT_MOST_ONCE, CallKind.SINGLE_STREAM])
def test_call_that_may_have_run_is_never_sent_again(kind, failure):
    assert not is_retry_allowed(kind, 5, 1, 1, failure)
    assert not is_retry_allowed(kind, 5, 1, 2, Failure.UNREACHABLE)


@pytest.mark.parametrize("kind", list(CallKind))
def test_call_that_did_not_run_is_sent_again_up_to_the_limit(kind):
    assert is_retry_allowed(kind, 1, 0, 1, Failure.NOT_RUN)
    assert not is_retry_allowed(kind, 1, 0, MAX_PLACEMENTS, Failure.NOT_RUN)


def test_idempotent_call_runs_on_at_most_max_runs_endpoints():
    assert is_retry_allowed(CallKind.IDEMPOTENT, 2, 1, 1, Failure.FAILED)
    assert not is_retry_allowed(CallKind.IDEMPOTENT, 2, 2, 2, Failure.FAILED)


def test_retries_of_all_vms_stay_within_the_fleets_budget():
    """The sum over VMs with different loads stays within the ratio and the slack."""
    vms = 8
    budgets = [RetryBudget() for _ in range(vms)]
    retries = first_sends = 0
    for step in range(1000):
        now = step * 0.01
        for number, budget in enumerate(budgets):
            if step % (number + 1) == 0:
                budget.record_first_send(now)
                first_sends += 1
            retries += budget.take_retry(POLICY, vms, now)
    assert retries <= POLICY.ratio * first_sends + POLICY.slack


def test_first_answer_timeout_leaves_time_for_a_second_endpoint():
    assert first_response_timeout_s(1.0, 0.05, 12.0) == 0.4
    assert first_response_timeout_s(1.0, 0.5, 12.0) == 2.0
    assert first_response_timeout_s(1.0, 0.5, 0.3) == 0.3


def entry(name="e", **changes):
    return EndpointEntry(name, "pool", "10.0.0.1:80", "muscat-a", 8, **changes)


def test_missing_endpoint_is_used_without_others_and_then_dropped():
    directory = EndpointDirectory(hold_s=1.25)
    directory.put(entry("a"))
    directory.put(entry("b"))
    directory.remove("a", now=5.0)
    assert [e.name for e in directory.ready("pool")] == ["b"]
    directory.remove("b", now=5.0)
    assert {e.name for e in directory.ready("pool")} == {"a", "b"}
    assert set(directory.expire(now=6.3).ended) == {"a", "b"}
    assert directory.ready("pool") == ()


def test_entries_that_expired_in_an_outage_get_time_to_register_again():
    directory = EndpointDirectory(hold_s=0.5)
    directory.put(entry("a"))
    directory.store_returned(now=10.0)
    directory.remove("a", now=10.1)
    assert directory.expire(now=11.5).ended == ()
    assert directory.expire(now=12.1).ended == ("a",)


def test_leaving_endpoint_is_dropped_at_once():
    directory = EndpointDirectory(hold_s=1.0)
    directory.put(entry("a", leaving=True))
    directory.remove("a", now=3.0)
    assert directory.expire(now=3.0).ended == ("a",)


def test_other_start_time_under_the_same_name_is_a_new_incarnation():
    directory = EndpointDirectory(hold_s=1.0)
    directory.put(entry("a", started_ms=1))
    assert directory.put(entry("a", started_ms=1)).ended == ()
    assert directory.put(entry("a", started_ms=2)).ended == ("a",)


@pytest.mark.parametrize("left_s", [0.0, 0.2, 5.0])
def test_timeouts_do_not_exceed_the_time_to_the_deadline(left_s):
    """Guards against a timeout that ignores the caller's deadline.

    No other test detects this for the timeout between events.
    """
    assert next_event_timeout_s(0.5, left_s) == min(left_s, 0.75)
    assert first_response_timeout_s(1.0, 0.1, left_s) == min(left_s, 0.4)
    assert first_response_timeout_s(1.0, None, left_s) == min(left_s, 1.0)
