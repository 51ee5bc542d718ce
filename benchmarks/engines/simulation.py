"""Simulates calls on engines, with the same placement policy at every VM."""

import heapq
import itertools
import random
from collections.abc import Collection
from dataclasses import dataclass

from benchmarks.engines.engine import Engine, EngineCall, EngineParameters
from benchmarks.engines.load import Arrival, Pattern, arrivals
from benchmarks.engines.policies import Policy
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.state.endpoint_stats import CallShape
from verbenagrade.state.placement import VmLocation

__all__ = ["Figures", "Fleet", "simulate"]

DATA_CENTRES = ("a", "b", "c")
ENGINE_LOSS_AT_S = 5.0


@dataclass(frozen=True, slots=True)
class Fleet:
    """The size of a fleet, its load and the length of a run in seconds."""

    vms: int = 24
    engines: int = 12
    calls_per_s: float = 70.0
    duration_s: float = 20.0


@dataclass(frozen=True, slots=True)
class Figures:
    """Results of a run.

    ``worth`` is the worth of the calls that met their targets, as a share of the worth
    of all calls. The quantiles, in seconds over finished calls, are of the time to the
    first token and of a call's longest gap between events. ``cache_hit_share`` is the
    share of shared prompt tokens found in a cache, and ``max_to_mean_busy`` the longest
    busy time of an engine relative to the mean.
    """

    worth: float
    first_event_p50_s: float
    first_event_p95_s: float
    event_gap_p95_s: float
    cache_hit_share: float
    max_to_mean_busy: float


@dataclass(frozen=True, slots=True)
class SentCall:
    """A call sent to an engine, with the arguments of the placer's callbacks."""

    arrival: Arrival
    engine_call: EngineCall
    entry: EndpointEntry
    shape: CallShape
    runs: int


class Simulation:
    """Runs one load pattern with one policy, at virtual time in seconds."""

    def __init__(
        self, fleet: Fleet, pattern: Pattern, policy: Policy, seed: int
    ) -> None:
        rng = random.Random(seed)
        self.fleet, self.pattern = fleet, pattern
        self.engines: dict[str, Engine] = {}
        entries: list[EndpointEntry] = []
        for number in range(fleet.engines):
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            if pattern.empty_data_centre and data_centre == DATA_CENTRES[0]:
                data_centre = DATA_CENTRES[1]
            name = f"e{number}"
            entries.append(EndpointEntry(name, "pool", "", data_centre, 24))
            self.engines[name] = Engine(name, EngineParameters())
        regions = {data_centre: data_centre for data_centre in DATA_CENTRES}
        self.placers = [
            policy(
                entries,
                VmLocation(DATA_CENTRES[vm % len(DATA_CENTRES)], regions),
                seed + vm,
            )
            for vm in range(fleet.vms)
        ]
        self.lost_engines = set(
            rng.sample(list(self.engines), int(pattern.lost_share * fleet.engines))
        )
        self.arrivals = list(
            arrivals(pattern, fleet.calls_per_s, fleet.vms, fleet.duration_s, rng)
        )
        self.sent_calls: dict[str, SentCall] = {}
        self.finished_calls: list[SentCall] = []
        self.events: list[tuple[float, int, str, object]] = []
        self.event_numbers = itertools.count()
        self.stepping_engines: set[str] = set()

    def run(self) -> None:
        """Processes arrivals and engine steps in order of time.

        Stops when no event is left, or at twice the fleet's ``duration_s``.
        """
        for arrival in self.arrivals:
            self._schedule(arrival.at, "call", arrival)
        self._schedule(ENGINE_LOSS_AT_S, "loss", None)
        while self.events:
            now, _, event, detail = heapq.heappop(self.events)
            if now > 2 * self.fleet.duration_s:
                break
            if event == "call":
                self._start_call(detail, now)
            elif event == "loss":
                self._lose_engines(now)
            elif event == "overdue":
                self._send_again(detail, now)
            else:
                self._step_engine(detail, now)

    def _schedule(self, when: float, event: str, detail: object) -> None:
        heapq.heappush(self.events, (when, next(self.event_numbers), event, detail))

    def _start_call(self, arrival: Arrival, now: float) -> None:
        call_id = f"c{len(self.sent_calls)}"
        engine_call = EngineCall(
            call_id, arrival.prompt, arrival.events, arrival.kind.priority
        )
        self._send_call(arrival, engine_call, (), 1, now)

    def _send_call(
        self,
        arrival: Arrival,
        engine_call: EngineCall,
        excluded: Collection[str],
        runs: int,
        now: float,
    ) -> None:
        placer = self.placers[arrival.vm]
        shape = CallShape(arrival.prompt, arrival.tokens, arrival.long_prompt)
        entry = placer.choose(shape, now, excluded)
        sent = SentCall(arrival, engine_call, entry, shape, runs)
        self.sent_calls[engine_call.call_id] = sent
        placer.sent(entry, engine_call.call_id, shape, now)
        if self._is_lost(entry.name, now):
            self._schedule(now + arrival.kind.first_event_target_s, "overdue", sent)
            return
        engine = self.engines[entry.name]
        engine.submit(engine_call)
        if entry.name not in self.stepping_engines:
            self.stepping_engines.add(entry.name)
            self._schedule(now, "step", engine)

    def _is_lost(self, engine: str, now: float) -> bool:
        return engine in self.lost_engines and now >= ENGINE_LOSS_AT_S

    def _lose_engines(self, now: float) -> None:
        """Lets the calls at lost engines wait for their next events in vain."""
        for name in sorted(self.lost_engines):
            engine = self.engines[name]
            for call in (*engine.running, *engine.queue):
                sent = self.sent_calls[call.call_id]
                kind = sent.arrival.kind
                wait_s = (
                    kind.first_event_target_s
                    if call.first_event_at is None
                    else kind.event_gap_target_s
                )
                self._schedule(now + wait_s, "overdue", sent)

    def _send_again(self, sent: SentCall, now: float) -> None:
        """Ends an attempt at a lost engine; another engine goes on if it may."""
        arrival = sent.arrival
        self.placers[arrival.vm].ended(sent.entry, sent.engine_call.call_id, True, now)
        if sent.runs < arrival.kind.max_runs:
            excluded = (sent.entry.name,)
            self._send_call(arrival, sent.engine_call, excluded, sent.runs + 1, now)

    def _step_engine(self, engine: Engine, now: float) -> None:
        if self._is_lost(engine.name, now):
            return
        if not engine.queue and not engine.running:
            self.stepping_engines.discard(engine.name)
            return
        without_event = [call for call in engine.running if call.first_event_at is None]
        step_end, finished = engine.step(now)
        self._schedule(step_end, "step", engine)
        for call in (*without_event, *finished):
            if call.first_event_at == step_end:
                sent = self.sent_calls[call.call_id]
                placer = self.placers[sent.arrival.vm]
                placer.answered(sent.entry, call.call_id, sent.shape, step_end)
        for call in finished:
            sent = self.sent_calls[call.call_id]
            self.placers[sent.arrival.vm].ended(
                sent.entry, call.call_id, False, step_end
            )
            self.finished_calls.append(sent)


def simulate(fleet: Fleet, pattern: Pattern, policy: Policy, seed: int) -> Figures:
    """Runs a simulation; the same seed gives the same results."""
    simulation = Simulation(fleet, pattern, policy, seed)
    simulation.run()
    first_event_times_s = sorted(
        call.engine_call.first_event_at - call.arrival.at
        for call in simulation.finished_calls
    )
    max_event_gaps_s = sorted(
        call.engine_call.max_event_gap_s for call in simulation.finished_calls
    )
    total_worth = sum(arrival.kind.worth for arrival in simulation.arrivals)
    earned_worth = sum(
        call.arrival.kind.worth for call in simulation.finished_calls if _in_time(call)
    )
    hit_tokens = sum(engine.cache_hit_tokens for engine in simulation.engines.values())
    miss_tokens = sum(
        engine.cache_miss_tokens for engine in simulation.engines.values()
    )
    busy_times_s = [engine.busy_s for engine in simulation.engines.values()]
    return Figures(
        worth=earned_worth / total_worth,
        first_event_p50_s=_quantile(first_event_times_s, 0.5),
        first_event_p95_s=_quantile(first_event_times_s, 0.95),
        event_gap_p95_s=_quantile(max_event_gaps_s, 0.95),
        cache_hit_share=hit_tokens / max(1, hit_tokens + miss_tokens),
        max_to_mean_busy=max(busy_times_s) * len(busy_times_s) / sum(busy_times_s),
    )


def _in_time(sent: SentCall) -> bool:
    kind = sent.arrival.kind
    first_event_s = sent.engine_call.first_event_at - sent.arrival.at
    return (
        first_event_s <= kind.first_event_target_s
        and sent.engine_call.max_event_gap_s <= kind.event_gap_target_s
    )


def _quantile(values: list[float], quantile: float) -> float:
    return values[int(quantile * (len(values) - 1))] if values else 0.0
