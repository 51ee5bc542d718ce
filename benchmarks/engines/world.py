"""Plays a day of calls on engines with one policy at every VM."""

import heapq
import itertools
import random
from dataclasses import dataclass

from benchmarks.engines.engine import Engine, EngineShape, Run
from benchmarks.engines.load import Arrival, Pattern, arrivals
from benchmarks.engines.policies import Policy
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.state.endpoint_book import CallShape
from verbenagrade.state.placement import Standing

__all__ = ["Figures", "Site", "play"]

ZONES = ("a", "b", "c")
LOST_AT_S = 5.0


@dataclass(frozen=True, slots=True)
class Site:
    """So many VMs and engines, calls a second, and the day's length in seconds."""

    vms: int = 24
    engines: int = 12
    calls_per_s: float = 70.0
    length_s: float = 20.0


@dataclass(frozen=True, slots=True)
class Figures:
    """What a day was worth: the part of what all calls are worth that was earned in
    time, seconds to the first event, the longest pause, the part of the shared
    tokens that were found, and how uneven the engines' work was."""

    worth: float
    first_p50_s: float
    first_p95_s: float
    pause_p95_s: float
    found: float
    busiest: float


@dataclass(frozen=True, slots=True)
class Sent:
    """A call on its way, with what has to be told of it at the end."""

    arrival: Arrival
    run: Run
    entry: EndpointEntry
    shape: CallShape


class Day:
    """The state of one play."""

    def __init__(self, site: Site, pattern: Pattern, policy: Policy, seed: int) -> None:
        rng = random.Random(seed)
        self.site, self.pattern = site, pattern
        self.engines: dict[str, Engine] = {}
        entries: list[EndpointEntry] = []
        for number in range(site.engines):
            zone = ZONES[number % len(ZONES)]
            if pattern.empty_zone and zone == ZONES[0]:
                zone = ZONES[1]
            name = f"e{number}"
            entries.append(EndpointEntry(name, "pool", "", zone, 24))
            self.engines[name] = Engine(name, EngineShape())
        regions = {zone: zone for zone in ZONES}
        self.placers = [
            policy(entries, Standing(ZONES[vm % len(ZONES)], regions), seed + vm)
            for vm in range(site.vms)
        ]
        self.silent = set(
            rng.sample(list(self.engines), int(pattern.lost * site.engines))
        )
        self.day = list(
            arrivals(pattern, site.calls_per_s, site.vms, site.length_s, rng)
        )
        self.sent: dict[str, Sent] = {}
        self.done: list[Sent] = []
        self.events: list[tuple[float, int, str, object]] = []
        self.order = itertools.count()
        self.stepping: set[str] = set()

    def run(self) -> None:
        """Plays arrivals and steps in the order of their times."""
        for arrival in self.day:
            self._at(arrival.at, "call", arrival)
        while self.events:
            now, _, what, detail = heapq.heappop(self.events)
            if now > 2 * self.site.length_s:
                break
            if what == "call":
                self._send(detail, now)
            else:
                self._step(detail, now)

    def _at(self, when: float, what: str, detail: object) -> None:
        heapq.heappush(self.events, (when, next(self.order), what, detail))

    def _send(self, arrival: Arrival, now: float) -> None:
        placer = self.placers[arrival.vm]
        shape = CallShape(arrival.prompt, arrival.tokens, arrival.lengthy)
        entry = placer.choose(shape, now)
        call = f"c{len(self.sent)}"
        run = Run(call, arrival.prompt, arrival.events, arrival.kind.urgency)
        self.sent[call] = Sent(arrival, run, entry, shape)
        placer.sent(entry, call, shape, now)
        engine = self.engines[entry.name]
        engine.take(run)
        if entry.name not in self.stepping:
            self.stepping.add(entry.name)
            self._at(now, "step", engine)

    def _step(self, engine: Engine, now: float) -> None:
        if engine.name in self.silent and now >= LOST_AT_S:
            return
        if not engine.queue and not engine.running:
            self.stepping.discard(engine.name)
            return
        before = [run for run in engine.running if run.first_at is None]
        ends, over = engine.step(now)
        self._at(ends, "step", engine)
        for run in (*before, *over):
            if run.first_at == ends:
                sent = self.sent[run.call]
                placer = self.placers[sent.arrival.vm]
                placer.answered(sent.entry, run.call, sent.shape, ends)
        for run in over:
            sent = self.sent[run.call]
            self.placers[sent.arrival.vm].ended(sent.entry, run.call, False, ends)
            self.done.append(sent)


def play(site: Site, pattern: Pattern, policy: Policy, seed: int) -> Figures:
    """Plays a day; the same seed gives the same figures."""
    day = Day(site, pattern, policy, seed)
    day.run()
    firsts = sorted(s.run.first_at - s.arrival.at for s in day.done)
    pauses = sorted(s.run.longest_pause_s for s in day.done)
    owed = sum(arrival.kind.worth for arrival in day.day)
    earned = sum(s.arrival.kind.worth for s in day.done if _in_time(s))
    found = sum(engine.found_tokens for engine in day.engines.values())
    reread = sum(engine.reread_tokens for engine in day.engines.values())
    busy = [engine.busy_s for engine in day.engines.values()]
    return Figures(
        worth=earned / owed,
        first_p50_s=_part(firsts, 0.5),
        first_p95_s=_part(firsts, 0.95),
        pause_p95_s=_part(pauses, 0.95),
        found=found / max(1, found + reread),
        busiest=max(busy) * len(busy) / sum(busy),
    )


def _in_time(sent: Sent) -> bool:
    kind = sent.arrival.kind
    first_s = sent.run.first_at - sent.arrival.at
    return first_s <= kind.aim_s and sent.run.longest_pause_s <= kind.gap_s


def _part(values: list[float], part: float) -> float:
    return values[int(part * (len(values) - 1))] if values else 0.0
