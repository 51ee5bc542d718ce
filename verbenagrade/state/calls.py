"""Types that describe a caller's request to a route, independent of its protocol."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["CallHead", "CallKind", "PromptPart", "TokenBound"]


class CallKind(StrEnum):
    """Whether and how a call may be retried.

    ``IDEMPOTENT`` calls may run more than once, ``AT_MOST_ONCE`` calls may not.
    Another endpoint may continue a ``RESUMABLE_STREAM`` after the last event that
    its caller received, but not a ``SINGLE_STREAM``.
    """

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    RESUMABLE_STREAM = "resumable_stream"
    SINGLE_STREAM = "single_stream"

    @property
    def streams(self) -> bool:
        """Whether the response is a stream of events."""
        return self in (CallKind.RESUMABLE_STREAM, CallKind.SINGLE_STREAM)

    @property
    def retryable(self) -> bool:
        """Whether a call may run again after it may have run."""
        return self in (CallKind.IDEMPOTENT, CallKind.RESUMABLE_STREAM)


@dataclass(frozen=True, slots=True)
class TokenBound:
    """The tokens of a prompt, and the most tokens that its completion may have."""

    prompt: int = 0
    output: int = 0

    @property
    def total(self) -> int:
        """The most tokens that the call can be charged."""
        return self.prompt + self.output


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other prompts may share.

    ``name`` identifies its content.
    """

    name: str
    tokens: int


@dataclass(frozen=True, slots=True)
class CallHead:
    """The contents of a call's headers. Times are in seconds.

    ``timeout_s`` is how long the caller waits for the response. ``key`` is the
    caller's API key. ``prompt`` lists the parts of the prompt in order.
    ``resume_after`` is the last event that the caller received, empty if none, and
    ``resumed_call`` the id of the call that brought the first event of the stream.
    """

    call_id: str
    host: str
    path: str
    timeout_s: float
    key: str = ""
    model: str = ""
    tokens: TokenBound = TokenBound()
    prompt: tuple[PromptPart, ...] = ()
    resume_after: str = ""
    resumed_call: str = ""
