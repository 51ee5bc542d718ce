"""Decides whether a call that failed at an endpoint is sent to another one.

A call is sent again if it certainly did not run, or if its kind and its route
allow another run. It is refused as not run only if that is certain.
"""

from enum import StrEnum

from verbenagrade.state.calls import CallKind

__all__ = [
    "MAX_PLACEMENTS",
    "Failure",
    "did_not_run",
    "first_response_timeout_s",
    "is_retry_allowed",
    "next_event_timeout_s",
]

MAX_PLACEMENTS = 5
"""Largest number of endpoints tried for one call, including unreachable ones."""

MIN_TARGET_FRACTION = 0.4
"""Fraction of the target latency that an endpoint always has for its first response.
The remainder must be enough for a second endpoint."""

EXPECTED_TIME_FACTOR = 4.0
"""Multiple of the expected time to the first response that an endpoint always has."""

EVENT_GAP_FACTOR = 1.5
MIN_EVENT_TIMEOUT_S = 0.6
"""Timeout between events, as a multiple of the target gap, and its minimum in
seconds."""


class Failure(StrEnum):
    """How sending a call to an endpoint failed.

    ``UNREACHABLE``: no connection. ``NOT_RUN``: the endpoint says that the call did not
    run. ``BROKEN``: the response is incomplete or does not say whether the call ran.
    ``SILENT``: no response in time. ``FAILED``: the response is an error.
    """

    UNREACHABLE = "unreachable"
    NOT_RUN = "not_run"
    BROKEN = "broken"
    SILENT = "silent"
    FAILED = "failed"


def did_not_run(failure: Failure) -> bool:
    """Returns whether the call certainly did not run at the endpoint."""
    return failure in (Failure.UNREACHABLE, Failure.NOT_RUN)


def is_retry_allowed(
    kind: CallKind, max_runs: int, runs: int, placements: int, failure: Failure
) -> bool:
    """Returns whether a call may be sent to another endpoint.

    ``max_runs`` is the largest number of runs that the route allows, ``runs``
    counts the sends after which the call may have run, and ``placements`` counts
    the endpoints that were tried.

    >>> is_retry_allowed(CallKind.AT_MOST_ONCE, 2, 1, 1, Failure.BROKEN)
    False
    >>> is_retry_allowed(CallKind.AT_MOST_ONCE, 1, 0, 1, Failure.NOT_RUN)
    True
    """
    if placements >= MAX_PLACEMENTS:
        return False
    if did_not_run(failure):
        return runs == 0 or (kind.retryable and runs < max_runs)
    return kind.retryable and runs < max_runs


def first_response_timeout_s(
    target_latency_s: float, expected_s: float | None, left_s: float
) -> float:
    """Returns the timeout in seconds for the first response of an endpoint.

    It applies to calls that may be sent to another endpoint afterwards.
    ``target_latency_s`` is the target latency, ``expected_s`` the expected time to the
    first response, ``None`` if unknown, and ``left_s`` the time to the deadline.
    """
    if expected_s is None:
        return min(left_s, target_latency_s)
    timeout_s = max(
        MIN_TARGET_FRACTION * target_latency_s, EXPECTED_TIME_FACTOR * expected_s
    )
    return min(left_s, timeout_s)


def next_event_timeout_s(target_gap_s: float, left_s: float) -> float:
    """Returns the timeout in seconds for the next event of a stream.

    It applies to streams that another endpoint may continue. ``target_gap_s`` is
    the target gap between events, ``left_s`` the time to the deadline.
    """
    return min(left_s, max(MIN_EVENT_TIMEOUT_S, EVENT_GAP_FACTOR * target_gap_s))
