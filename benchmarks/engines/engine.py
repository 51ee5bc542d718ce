"""A model engine: batched steps, prompts read in chunks, a cache of their parts."""

from collections import OrderedDict
from dataclasses import dataclass

from verbenagrade.state.calls import PromptPart

__all__ = ["Engine", "EngineShape", "Run"]

MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class EngineShape:
    """An engine's speed, as the users' sheets give it.

    Times are in milliseconds: of a step, more for each call that runs, for each
    thousand tokens of its context, and for a million pairs of tokens in reading.
    """

    slots: int = 24
    memory_tokens: int = 360_476
    step_ms: float = 3.09
    step_ms_a_call: float = 0.0165
    context_ms_a_thousand: float = 0.00677
    tokens_read_a_ms: float = 61.8
    pairs_ms_a_million: float = 0.367
    chunk_tokens: int = 2048
    tokens_an_event: int = 9


class Run:
    """One call at an engine; times are in seconds."""

    def __init__(
        self, call: str, prompt: tuple[PromptPart, ...], events: int, urgency: int
    ) -> None:
        self.call = call
        self.prompt = prompt
        self.tokens = sum(part.tokens for part in prompt)
        self.events = events
        self.urgency = urgency
        self.unread = self.tokens
        self.made = 0
        self.first_at: float | None = None
        self.last_at = 0.0
        self.longest_pause_s = 0.0


class Engine:
    """Runs calls in steps; the caller advances it from one step's end to the next."""

    def __init__(self, name: str, shape: EngineShape) -> None:
        self.name = name
        self.shape = shape
        self.queue: list[Run] = []
        self.running: list[Run] = []
        self.cached: OrderedDict[str, int] = OrderedDict()
        self.reread_tokens = 0
        self.found_tokens = 0
        self.busy_s = 0.0

    def take(self, run: Run) -> None:
        """Queues a call; more urgent ones go first."""
        self.queue.append(run)
        self.queue.sort(key=lambda waiting: waiting.urgency)

    def step(self, now: float) -> tuple[float, list[Run]]:
        """Returns when the step that begins now ends, and the calls it ends."""
        self._admit()
        reading = next((run for run in self.running if run.unread), None)
        writing = [run for run in self.running if not run.unread]
        step_ms = self.shape.step_ms + self.shape.step_ms_a_call * len(self.running)
        context = sum(run.tokens + run.made for run in self.running) / 1000
        step_ms += self.shape.context_ms_a_thousand * context
        if reading is not None:
            step_ms += self._read(reading)
        ends = now + step_ms / MS_PER_S
        self.busy_s += ends - now
        return ends, [run for run in writing if self._write(run, ends)]

    def _admit(self) -> None:
        while self.queue and len(self.running) < self.shape.slots:
            run = self.queue.pop(0)
            self._look_up(run)
            self.running.append(run)

    def _look_up(self, run: Run) -> None:
        """Finds the parts that need not be read, and keeps all of them."""
        found = 0
        for part in run.prompt:
            if part.name not in self.cached:
                break
            found += part.tokens
        shared = sum(part.tokens for part in run.prompt[:-1])
        self.found_tokens += min(found, shared)
        self.reread_tokens += shared - min(found, shared)
        run.unread = max(1, run.tokens - found)
        for part in run.prompt:
            self.cached.pop(part.name, None)
            self.cached[part.name] = part.tokens
        while sum(self.cached.values()) > self.shape.memory_tokens:
            self.cached.popitem(last=False)

    def _read(self, run: Run) -> float:
        chunk = min(run.unread, self.shape.chunk_tokens)
        done = run.tokens - run.unread
        run.unread -= chunk
        pairs = chunk * (done + chunk / 2) / 1e6
        reading_ms = chunk / self.shape.tokens_read_a_ms
        return reading_ms + pairs * self.shape.pairs_ms_a_million

    def _write(self, run: Run, now: float) -> bool:
        """Makes a token; returns whether it was the last one."""
        run.made += 1
        if run.first_at is None:
            run.first_at = run.last_at = now
        elif run.made % self.shape.tokens_an_event == 0:
            run.longest_pause_s = max(run.longest_pause_s, now - run.last_at)
            run.last_at = now
        if run.made < run.events * self.shape.tokens_an_event:
            return False
        self.running.remove(run)
        return True
