"""Errors as RFC 9457 problem documents."""

import math
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from verbenagrade import exceptions

__all__ = ["Outcome", "Problem", "encode_problem", "problem_from_error"]

RETRY_SOON_S = 1.0
RETRY_UNAVAILABLE_S = 2.0
RETRY_EXHAUSTED_S = 5.0


class Outcome(StrEnum):
    """Whether a request may have run. ``NOT_RUN`` guarantees that it did not."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Problem:
    """The contents of a problem document.

    ``kind`` is the last part of the problem type. ``retry_after_s`` is the delay
    before a retry, in seconds.
    """

    status: int
    kind: str
    title: str
    detail: str
    outcome: Outcome
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class ProblemRule:
    """The problem document for one class of errors."""

    error: type[exceptions.VerbenagradeError]
    status: int
    kind: str
    title: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_s: float | None = None


PROBLEM_RULES = (
    ProblemRule(
        exceptions.PoisonRequestError,
        422,
        "poison-request",
        "Crashes endpoints",
    ),
    ProblemRule(exceptions.NotFoundError, 404, "not-found", "Not found"),
    ProblemRule(
        exceptions.InvalidRequestError, 400, "invalid-request", "Invalid request"
    ),
    ProblemRule(
        exceptions.InvalidResourceError, 422, "invalid-resource", "Invalid resource"
    ),
    ProblemRule(
        exceptions.RevisionConflictError, 409, "conflict", "Changed by somebody else"
    ),
    ProblemRule(
        exceptions.BudgetExhaustedError,
        402,
        "budget-exhausted",
        "Budget exhausted",
        retry_after_s=RETRY_EXHAUSTED_S,
    ),
    ProblemRule(
        exceptions.OverloadedError,
        429,
        "overloaded",
        "Overloaded",
        retry_after_s=RETRY_SOON_S,
    ),
    ProblemRule(
        exceptions.UnavailableError,
        503,
        "unavailable",
        "Cannot be served safely now",
        retry_after_s=RETRY_UNAVAILABLE_S,
    ),
    ProblemRule(
        exceptions.UpstreamUnreachableError,
        503,
        "no-endpoint",
        "No endpoint can be reached",
        retry_after_s=RETRY_SOON_S,
    ),
    ProblemRule(
        exceptions.PlatformError,
        503,
        "platform-away",
        "The platform does not answer",
        outcome=Outcome.UNKNOWN,
        retry_after_s=RETRY_UNAVAILABLE_S,
    ),
    ProblemRule(
        exceptions.UpstreamFailedError,
        502,
        "endpoint-broke-off",
        "The endpoint broke off",
        outcome=Outcome.UNKNOWN,
    ),
)


def problem_from_error(error: exceptions.VerbenagradeError) -> Problem:
    """Returns the problem for an error; the first matching rule applies.

    >>> problem_from_error(exceptions.OverloadedError("queue full")).status
    429
    """
    for rule in PROBLEM_RULES:
        if isinstance(error, rule.error):
            return Problem(
                status=rule.status,
                kind=rule.kind,
                title=rule.title,
                detail=str(error),
                outcome=rule.outcome,
                retry_after_s=rule.retry_after_s,
            )
    return Problem(500, "internal", "Internal error", str(error), Outcome.UNKNOWN)


class ProblemDocument(msgspec.Struct, frozen=True, omit_defaults=True):
    """The JSON encoding of a problem. ``retry_after`` is in seconds."""

    type: str
    title: str
    status: int
    detail: str
    outcome: Outcome
    retry_after: int | None = None


def encode_problem(problem: Problem) -> bytes:
    """Encodes a problem as JSON; the retry delay is rounded up to whole seconds."""
    delay_s = problem.retry_after_s
    document = ProblemDocument(
        type=f"urn:verbenagrade:problem:{problem.kind}",
        title=problem.title,
        status=problem.status,
        detail=problem.detail,
        outcome=problem.outcome,
        retry_after=None if delay_s is None else math.ceil(delay_s),
    )
    return msgspec.json.encode(document)
