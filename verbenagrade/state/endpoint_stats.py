"""Statistics that one VM keeps about an endpoint: calls, speed and cached prompts."""

from collections.abc import Iterable
from dataclasses import dataclass

from verbenagrade.state.calls import PromptPart

__all__ = ["CallShape", "EndpointStats", "WaitingCall"]

BASE_WORK = 1.0
"""Work of a call in addition to its prompt, in units of 1000 tokens."""

MAX_CACHED_PARTS = 4_000
"""Largest number of prompt parts remembered for each endpoint."""


@dataclass(frozen=True, slots=True)
class CallShape:
    """The properties of a call that decide which endpoint gets it.

    ``prompt`` lists the parts of the prompt and ``tokens`` is its length.
    ``long_prompt`` says that the prompt is so long that reading it delays the other
    streams of an engine.
    """

    prompt: tuple[PromptPart, ...] = ()
    tokens: int = 0
    long_prompt: bool = False


@dataclass(frozen=True, slots=True)
class WaitingCall:
    """A call without a response so far.

    ``sent_at`` is when it was sent, in seconds. ``work`` is its own work and
    ``work_ahead`` the work of the calls before it, in units of 1000 tokens.
    """

    sent_at: float
    work: float
    work_ahead: float

    def unit_time_s(self, now: float) -> float:
        """Returns the time since it was sent, per unit of work, in seconds."""
        return (now - self.sent_at) / (self.work + self.work_ahead)


class EndpointStats:
    """The statistics of one incarnation of an endpoint.

    ``unit_time_s`` is the average time in seconds until the first response, divided by
    the units of work before it; it is ``None`` before the first response.
    ``failure_rate`` is the average fraction of calls that failed. ``down_until`` is the
    time in seconds until which the endpoint is avoided.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self.waiting: dict[str, WaitingCall] = {}
        self.unit_time_s: float | None = None
        self.failure_rate = 0.0
        self.consecutive_failures = 0
        self.down_until = 0.0
        self.cached: dict[str, None] = {}

    @property
    def queued_work(self) -> float:
        """The work of all calls without a response, in units of 1000 tokens."""
        return sum(call.work for call in self.waiting.values())

    def work_of(self, shape: CallShape) -> float:
        """Returns the work before a call's first response, in units of 1000 tokens.

        Shared parts of its prompt that are cached here don't count.
        """
        shared = sum(part.tokens for part in shape.prompt[:-1])
        uncached = self.uncached_tokens(shape.prompt[:-1])
        return BASE_WORK + max(0, shape.tokens - shared + uncached) / 1000

    def mark_cached(self, prompt: Iterable[PromptPart]) -> None:
        """Records that the endpoint has cached these parts of a prompt."""
        for part in prompt:
            self.cached.pop(part.name, None)
            self.cached[part.name] = None
        while len(self.cached) > MAX_CACHED_PARTS:
            del self.cached[next(iter(self.cached))]

    def uncached_tokens(self, prompt: Iterable[PromptPart]) -> int:
        """Returns the number of tokens in the given parts that are not cached here.

        A part is cached only as a prefix: after the first part that is not
        cached, all parts count.
        """
        uncached = 0
        for part in prompt:
            if uncached or part.name not in self.cached:
                uncached += part.tokens
        return uncached
