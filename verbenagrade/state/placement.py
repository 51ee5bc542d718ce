"""Chooses an endpoint from this VM's own calls to it and its responses.

The cost of an endpoint is the work before a call's first response, in units of 1000
prompt tokens: the prompts of this VM's calls there that have no response yet, and the
call's own prompt, without the parts that the endpoint has cached. The load from other
VMs is unknown, so the work is multiplied by the endpoint's recent time per unit
relative to the average of its service. Distance, failures and calls that wait too long
increase the cost.
"""

import random
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

import xxhash

from verbenagrade.state.calls import PromptPart
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.state.endpoint_stats import CallShape, EndpointStats, WaitingCall

__all__ = [
    "LONG_PROMPT_FRACTION",
    "Placement",
    "PlacementTable",
    "VmLocation",
]

INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0
"""Initial and maximum delay after failed connections, in seconds. The delay doubles
with each failure; endpoints restart after a crash in about the maximum delay."""

SMOOTHING_FACTOR = 0.2
"""Weight of the newest value in exponential moving averages."""

FAILURE_COST = 12.0
"""Cost of an endpoint all of whose calls fail, in units of work, and the largest
cost of an overdue call."""

OTHER_DATA_CENTRE_COST = 0.5
OTHER_REGION_COST = 3.0
"""Costs of distance in units of work: the network adds latency, and traffic between
regions is charged."""

IN_FLIGHT_COST = 0.25
"""Cost of each call in flight, which slows the steps of an engine slightly."""

REREAD_FACTOR = 2.0
"""Cost of a shared token that is not cached, as a multiple of the cost of any other
token. Reading it again is also charged."""

LONG_PROMPT_FRACTION = 1 / 12
"""Fraction of an engine's memory above which a prompt counts as long. Reading such a
prompt delays every stream that the engine runs."""

ENDPOINTS_PER_LONG_PROMPT_ENDPOINT = 8
"""Number of a service's endpoints for each one that takes its long prompts."""

MIN_ENDPOINTS_FOR_SEPARATION = 3
"""Number of endpoints below which none is reserved for long prompts."""

LONG_PROMPT_ENDPOINT_COST = 2.0
"""Cost of any other call at an endpoint that takes long prompts."""

FLEET_AFFINITY_TOKENS = 1500
"""Number of shared tokens from which all data centres prefer the same endpoint for a
prompt. Below it, each data centre prefers one of its own, since the distance costs
more than reading the tokens again."""

RELATIVE_TIME_LIMITS = (0.5, 20.0)
"""Smallest and largest ratio of an endpoint's time per unit of work to the average
of its service."""

OVERDUE_FACTOR = 3.0
"""Multiple of the expected time after which a call without a response adds to the
endpoint's cost."""


@dataclass(frozen=True, slots=True)
class Placement:
    """The chosen endpoint and the values that led to the choice.

    ``cost`` is in units of work, ``candidates`` is the number of endpoints that
    were compared, and ``in_flight`` counts this VM's calls at the endpoint.
    """

    endpoint: EndpointEntry
    cost: float
    candidates: int
    in_flight: int


@dataclass(frozen=True, slots=True)
class VmLocation:
    """This VM's data centre, and the region of every data centre."""

    data_centre: str
    regions: Mapping[str, str]

    def distance_cost(self, data_centre: str) -> float:
        """Returns the cost of sending to a data centre, in units of work."""
        if data_centre == self.data_centre:
            return 0.0
        own = self.regions.get(self.data_centre)
        if self.regions.get(data_centre) == own:
            return OTHER_DATA_CENTRE_COST
        return OTHER_REGION_COST


class PlacementTable:
    """Statistics of all endpoints, and average times per unit of work.

    A time per unit is the seconds until the first response, divided by the units of
    work before it. Parameters named ``now`` are in seconds.
    """

    def __init__(self, location: VmLocation, seed: int) -> None:
        self.location = location
        self.random = random.Random(seed)
        self.stats_by_endpoint: dict[str, EndpointStats] = {}
        self.service_unit_times_s: dict[str, float] = {}

    def stats(self, name: str) -> EndpointStats:
        """Returns an endpoint's statistics, which are new if there are none."""
        return self.stats_by_endpoint.setdefault(name, EndpointStats())

    def forget(self, names: Iterable[str]) -> None:
        """Removes the statistics of endpoint incarnations that have ended."""
        for name in names:
            self.stats_by_endpoint.pop(name, None)

    def choose(
        self,
        entries: Collection[EndpointEntry],
        excluded: Collection[str],
        shape: CallShape,
        now: float,
    ) -> Placement | None:
        """Returns the endpoint of least cost, or ``None`` if all are excluded.

        Endpoints that are avoided after a failed connection are considered only if
        all others are excluded.
        """
        allowed = [entry for entry in entries if entry.name not in excluded]
        available = [e for e in allowed if self.stats(e.name).down_until <= now]
        candidates = available or allowed
        if not candidates:
            return None
        long_prompt_endpoints = _long_prompt_endpoints(candidates)
        if shape.long_prompt and long_prompt_endpoints:
            candidates = [e for e in candidates if e.name in long_prompt_endpoints]
        preferred = _preferred_endpoint(
            shape.prompt[:-1], candidates, self.location.data_centre
        )
        costs = {e.name: self._cost(e, shape, preferred, now) for e in candidates}
        if shape.tokens and not shape.long_prompt:
            for name in long_prompt_endpoints:
                costs[name] += LONG_PROMPT_ENDPOINT_COST
        best = min(
            candidates, key=lambda entry: (costs[entry.name], self.random.random())
        )
        in_flight = self.stats(best.name).in_flight
        return Placement(best, costs[best.name], len(candidates), in_flight)

    def expected_first_response_s(
        self, entry: EndpointEntry, shape: CallShape
    ) -> float | None:
        """Returns the expected time until the first response, in seconds.

        Returns ``None`` before the first response of the endpoint's service.
        """
        unit_time_s = self.service_unit_times_s.get(entry.service)
        stats = self.stats(entry.name)
        if unit_time_s is None:
            return None
        return unit_time_s * (stats.queued_work + stats.work_of(shape))

    def sent(
        self,
        entry: EndpointEntry,
        call_id: str,
        shape: CallShape,
        now: float,
    ) -> None:
        """Records that a call is sent to an endpoint."""
        stats = self.stats(entry.name)
        stats.in_flight += 1
        work = stats.work_of(shape)
        stats.waiting[call_id] = WaitingCall(now, work, stats.queued_work)

    def answered(
        self,
        entry: EndpointEntry,
        call_id: str,
        shape: CallShape,
        now: float,
    ) -> None:
        """Records the first response to a call."""
        stats = self.stats(entry.name)
        call = stats.waiting.pop(call_id, None)
        if call is None:
            return
        stats.consecutive_failures = 0
        stats.mark_cached(shape.prompt[:-1])
        self._record_unit_time(entry, call, now)

    def ended(
        self, entry: EndpointEntry, call_id: str, failed: bool, now: float
    ) -> None:
        """Records the end of a call, and whether the endpoint failed.

        If a call failed without a response, a response would have taken longer than
        it waited. The waiting time is therefore counted only if it is longer than
        what is known of the endpoint or its service.
        """
        stats = self.stats(entry.name)
        stats.in_flight = max(0, stats.in_flight - 1)
        call = stats.waiting.pop(call_id, None)
        if call is not None and failed and self._exceeds_known_time(entry, call, now):
            self._record_unit_time(entry, call, now)
        stats.failure_rate = _smooth(stats.failure_rate, 1.0 if failed else 0.0)

    def _exceeds_known_time(
        self, entry: EndpointEntry, call: WaitingCall, now: float
    ) -> bool:
        """Returns whether a call waited longer than a response usually takes."""
        known_s = self.stats(entry.name).unit_time_s
        if known_s is None:
            known_s = self.service_unit_times_s.get(entry.service)
        return known_s is not None and call.unit_time_s(now) > known_s

    def _record_unit_time(
        self, entry: EndpointEntry, call: WaitingCall, now: float
    ) -> None:
        unit_time_s = call.unit_time_s(now)
        stats = self.stats(entry.name)
        stats.unit_time_s = (
            unit_time_s
            if stats.unit_time_s is None
            else _smooth(stats.unit_time_s, unit_time_s)
        )
        service_average_s = self.service_unit_times_s.get(entry.service)
        self.service_unit_times_s[entry.service] = (
            unit_time_s
            if service_average_s is None
            else _smooth(service_average_s, unit_time_s)
        )

    def unreachable(self, entry: EndpointEntry, now: float) -> None:
        """Avoids an endpoint for some time after a connection to it failed."""
        stats = self.stats(entry.name)
        backoff_s = min(
            MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**stats.consecutive_failures
        )
        stats.consecutive_failures = min(stats.consecutive_failures + 1, 8)
        stats.down_until = now + backoff_s * self.random.uniform(0.8, 1.2)

    def forget_failed_connections(self) -> None:
        """Considers all endpoints again: how they are reached has changed."""
        for stats in self.stats_by_endpoint.values():
            stats.down_until = float("-inf")
            stats.consecutive_failures = 0

    def _cost(
        self,
        entry: EndpointEntry,
        shape: CallShape,
        preferred: str,
        now: float,
    ) -> float:
        stats = self.stats(entry.name)
        work = stats.queued_work + stats.work_of(shape)
        if entry.name == preferred:
            work -= stats.uncached_tokens(shape.prompt[:-1]) / 1000
        else:
            uncached = stats.uncached_tokens(shape.prompt[:-1]) / 1000
            work += (REREAD_FACTOR - 1.0) * uncached
        cost = (
            work * self._relative_time(entry, stats) + IN_FLIGHT_COST * stats.in_flight
        )
        cost += self.location.distance_cost(entry.data_centre)
        return (
            cost
            + FAILURE_COST * stats.failure_rate
            + self._overdue_cost(entry, stats, now)
        )

    def _relative_time(self, entry: EndpointEntry, stats: EndpointStats) -> float:
        """Returns the time per unit of work relative to the service's average."""
        service_average_s = self.service_unit_times_s.get(entry.service)
        if not service_average_s or stats.unit_time_s is None:
            return 1.0
        low, high = RELATIVE_TIME_LIMITS
        return min(high, max(low, stats.unit_time_s / service_average_s))

    def _overdue_cost(
        self, entry: EndpointEntry, stats: EndpointStats, now: float
    ) -> float:
        """Returns the cost of the call that is most overdue, 0 if none is."""
        service_average_s = self.service_unit_times_s.get(entry.service)
        if not service_average_s or not stats.waiting:
            return 0.0
        overdue_ratio = max(
            (now - call.sent_at) / (service_average_s * (call.work + call.work_ahead))
            for call in stats.waiting.values()
        )
        return min(FAILURE_COST, max(0.0, overdue_ratio - OVERDUE_FACTOR))


def _preferred_endpoint(
    shared: tuple[PromptPart, ...], entries: Iterable[EndpointEntry], data_centre: str
) -> str:
    """Returns the endpoint that VMs prefer for a prompt, an empty name if none.

    All VMs of a data centre, or of the fleet if many tokens are shared, make the
    same choice, so that only one endpoint reads and caches the shared parts.
    """
    if not shared:
        return ""
    prefix_name = shared[-1].name
    candidates = list(entries)
    if sum(part.tokens for part in shared) < FLEET_AFFINITY_TOKENS:
        candidates = [
            e for e in candidates if e.data_centre == data_centre
        ] or candidates

    def score(entry: EndpointEntry) -> int:
        """Returns an endpoint's rendezvous score."""
        return xxhash.xxh3_64_intdigest(f"{prefix_name}|{entry.name}".encode())

    return max(candidates, key=score).name


def _long_prompt_endpoints(entries: Collection[EndpointEntry]) -> frozenset[str]:
    """Returns the endpoints that take long prompts, the same on all VMs."""

    def score(entry: EndpointEntry) -> int:
        """Returns an endpoint's rendezvous score."""
        return xxhash.xxh3_64_intdigest(f"lengthy|{entry.name}".encode())

    if len(entries) < MIN_ENDPOINTS_FOR_SEPARATION:
        return frozenset()
    count = max(1, len(entries) // ENDPOINTS_PER_LONG_PROMPT_ENDPOINT)
    ranked = sorted(entries, key=score, reverse=True)
    return frozenset(entry.name for entry in ranked[:count])


def _smooth(average: float, value: float) -> float:
    return average + SMOOTHING_FACTOR * (value - average)
