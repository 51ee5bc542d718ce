"""Decides whether a call that failed at an endpoint is sent to another one.

A call is sent again if it certainly did not run, or if its kind and its route
allow another run. It is refused as not run only if that is certain.
"""

from enum import StrEnum

from verbenagrade.state.calls import CallKind

__all__ = [
    "PLACEMENTS_MAX",
    "Failure",
    "first_answer_patience",
    "next_event_patience",
    "not_run",
    "repeat_allowed",
]

PLACEMENTS_MAX = 5
"""Largest number of endpoints tried for one call, including unreachable ones."""

PATIENCE_TARGET_PART = 0.4
"""Fraction of the target latency that an endpoint always has for its first answer.
The remainder must be enough for a second endpoint."""

PATIENCE_FACTOR = 4.0
"""Multiple of the expected time to the first answer that an endpoint always has."""

PAUSE_FACTOR = 1.5
PAUSE_LEAST_S = 0.6
"""Timeout between events, as a multiple of the target gap, and its minimum in
seconds."""


class Failure(StrEnum):
    """How sending a call to an endpoint failed."""

    UNREACHABLE = "unreachable"
    NOT_RUN = "not_run"
    BROKEN = "broken"
    SILENT = "silent"
    FAILED = "failed"


def not_run(failure: Failure) -> bool:
    """Returns whether the call certainly did not run at the endpoint."""
    return failure in (Failure.UNREACHABLE, Failure.NOT_RUN)


def repeat_allowed(
    kind: CallKind, tries: int, runs: int, placements: int, failure: Failure
) -> bool:
    """Returns whether a call may be sent to another endpoint.

    ``tries`` is the largest number of runs that the route allows, ``runs`` counts
    the sends after which the call may have run, and ``placements`` counts the
    endpoints that were tried.

    >>> repeat_allowed(CallKind.AT_MOST_ONCE, 2, 1, 1, Failure.BROKEN)
    False
    >>> repeat_allowed(CallKind.AT_MOST_ONCE, 1, 0, 1, Failure.NOT_RUN)
    True
    """
    if placements >= PLACEMENTS_MAX:
        return False
    if not_run(failure):
        return runs == 0 or (kind.repeatable and runs < tries)
    return kind.repeatable and runs < tries


def first_answer_patience(
    target_s: float, expected_s: float | None, left_s: float
) -> float:
    """Returns the timeout in seconds for the first answer of an endpoint.

    It applies to calls that may be sent to another endpoint afterwards.
    ``target_s`` is the target latency, ``expected_s`` the expected time to the
    first answer, ``None`` if unknown, and ``left_s`` the time to the deadline.
    """
    if expected_s is None:
        return min(left_s, target_s)
    patience = max(PATIENCE_TARGET_PART * target_s, PATIENCE_FACTOR * expected_s)
    return min(left_s, patience)


def next_event_patience(pause_s: float, left_s: float) -> float:
    """Returns the timeout in seconds for the next event of a stream.

    It applies to streams that another endpoint may continue. ``pause_s`` is the
    target gap between events, ``left_s`` the time to the deadline.
    """
    return min(left_s, max(PAUSE_LEAST_S, PAUSE_FACTOR * pause_s))
