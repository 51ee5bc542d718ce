"""Simulates a model engine with batched steps, chunked prefill and a prefix cache."""

from collections import OrderedDict
from dataclasses import dataclass

from verbenagrade.state.calls import PromptPart

__all__ = ["Engine", "EngineCall", "EngineParameters"]

MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class EngineParameters:
    """An engine's capacity and speed, from the users' data sheets.

    A step takes ``step_ms``, and longer for each running call, each thousand tokens
    of context of the running calls, and each prompt token that it prefills. Prefill
    also takes time for each million pairs of a token and a token before it.
    """

    slots: int = 24
    kv_cache_tokens: int = 360_476
    step_ms: float = 3.09
    step_ms_per_call: float = 0.0165
    context_ms_per_1000_tokens: float = 0.00677
    prefill_tokens_per_ms: float = 61.8
    attention_ms_per_million_pairs: float = 0.367
    prefill_chunk_tokens: int = 2048
    tokens_per_event: int = 9


class EngineCall:
    """The state of one call at an engine; times are in seconds.

    ``events`` is the number of events to stream, of ``tokens_per_event`` tokens
    each. Calls with a lower ``priority`` value are admitted first.
    """

    def __init__(
        self, call_id: str, prompt: tuple[PromptPart, ...], events: int, priority: int
    ) -> None:
        self.call_id = call_id
        self.prompt = prompt
        self.tokens = sum(part.tokens for part in prompt)
        self.events = events
        self.priority = priority
        self.prefill_tokens_left = self.tokens
        self.generated_tokens = 0
        self.first_event_at: float | None = None
        self.last_event_at = 0.0
        self.max_event_gap_s = 0.0


class Engine:
    """Runs calls in steps; the simulation starts each step when the last one ends."""

    def __init__(self, name: str, parameters: EngineParameters) -> None:
        self.name = name
        self.parameters = parameters
        self.queue: list[EngineCall] = []
        self.running: list[EngineCall] = []
        self.cached_parts: OrderedDict[str, int] = OrderedDict()
        self.cache_miss_tokens = 0
        self.cache_hit_tokens = 0
        self.busy_s = 0.0

    def submit(self, call: EngineCall) -> None:
        """Queues a call in order of priority, the lowest value first."""
        self.queue.append(call)
        self.queue.sort(key=lambda queued: queued.priority)

    def step(self, now: float) -> tuple[float, list[EngineCall]]:
        """Runs one step from ``now``; prefills a chunk of at most one prompt.

        Returns the time at which the step ends and the calls that it finishes.
        """
        self._admit()
        prefilling = next(
            (call for call in self.running if call.prefill_tokens_left), None
        )
        decoding = [call for call in self.running if not call.prefill_tokens_left]
        step_ms = self.parameters.step_ms + self.parameters.step_ms_per_call * len(
            self.running
        )
        context_thousands = (
            sum(call.tokens + call.generated_tokens for call in self.running) / 1000
        )
        step_ms += self.parameters.context_ms_per_1000_tokens * context_thousands
        if prefilling is not None:
            step_ms += self._prefill_chunk(prefilling)
        step_end = now + step_ms / MS_PER_S
        self.busy_s += step_end - now
        return step_end, [
            call for call in decoding if self._decode_token(call, step_end)
        ]

    def _admit(self) -> None:
        while self.queue and len(self.running) < self.parameters.slots:
            call = self.queue.pop(0)
            self._look_up_prefix(call)
            self.running.append(call)

    def _look_up_prefix(self, call: EngineCall) -> None:
        """Skips the prefill of a cached prefix, whose parts count as used again."""
        hit_tokens = 0
        for part in call.prompt:
            if part.name not in self.cached_parts:
                break
            hit_tokens += part.tokens
        shared = sum(part.tokens for part in call.prompt[:-1])
        self.cache_hit_tokens += min(hit_tokens, shared)
        self.cache_miss_tokens += shared - min(hit_tokens, shared)
        call.prefill_tokens_left = max(1, call.tokens - hit_tokens)
        for part in call.prompt:
            if part.name in self.cached_parts:
                self.cached_parts.move_to_end(part.name)

    def _cache_prompt(self, call: EngineCall) -> None:
        """Caches all parts of a prompt whose prefill has ended.

        The least recently used parts are evicted beyond the cache's capacity.
        """
        for part in call.prompt:
            self.cached_parts.pop(part.name, None)
            self.cached_parts[part.name] = part.tokens
        while sum(self.cached_parts.values()) > self.parameters.kv_cache_tokens:
            self.cached_parts.popitem(last=False)

    def _prefill_chunk(self, call: EngineCall) -> float:
        """Prefills the next chunk of a prompt; returns its time in milliseconds."""
        chunk_tokens = min(
            call.prefill_tokens_left, self.parameters.prefill_chunk_tokens
        )
        prefilled_tokens = call.tokens - call.prefill_tokens_left
        call.prefill_tokens_left -= chunk_tokens
        if not call.prefill_tokens_left:
            self._cache_prompt(call)
        million_pairs = chunk_tokens * (prefilled_tokens + chunk_tokens / 2) / 1e6
        prefill_ms = chunk_tokens / self.parameters.prefill_tokens_per_ms
        return (
            prefill_ms + million_pairs * self.parameters.attention_ms_per_million_pairs
        )

    def _decode_token(self, call: EngineCall, now: float) -> bool:
        """Generates a token; returns whether the call is finished."""
        call.generated_tokens += 1
        if call.generated_tokens % self.parameters.tokens_per_event == 0:
            if call.first_event_at is None:
                call.first_event_at = call.last_event_at = now
            gap_s = now - call.last_event_at
            call.max_event_gap_s = max(call.max_event_gap_s, gap_s)
            call.last_event_at = now
        if call.generated_tokens < call.events * self.parameters.tokens_per_event:
            return False
        self.running.remove(call)
        return True
