"""Chooses an endpoint from this VM's own calls to it and its answers.

The cost of an endpoint is the work before a call's first answer, in units of
1000 prompt tokens: the prompts of this VM's unanswered calls there and the call's
own prompt, without the parts that the endpoint has cached. The load from other
VMs is unknown, so the work is multiplied by the endpoint's recent time per unit
relative to the average of its service. Distance, failures and calls that wait too
long increase the cost.
"""

import random
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

import xxhash

from verbenagrade.state.calls import PromptPart
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.state.endpoint_book import CallShape, EndpointBook, WaitingCall

__all__ = [
    "LENGTHY_PART",
    "Placement",
    "PlacementTable",
    "Standing",
]

DOWN_FIRST_S = 0.5
DOWN_LONGEST_S = 4.0
"""First and longest pause after failed connections, in seconds. The pause doubles
with each failure; endpoints restart after a crash in about the longest one."""

SMOOTHING = 0.2
"""Weight of the newest value in exponential moving averages."""

FAILURE_COST = 12.0
"""Cost of an endpoint all of whose calls fail, in units of work."""

OTHER_DATA_CENTRE_COST = 0.5
OTHER_REGION_COST = 3.0
"""Costs of distance in units of work: the network adds latency, and traffic between
regions is charged."""

RUNNING_COST = 0.25
"""Cost of each call in flight, which slows the steps of an engine slightly."""

REREAD_FACTOR = 2.0
"""Cost of a shared token that is not cached, as a multiple of the cost of any other
token. Reading it again is also charged."""

LENGTHY_PART = 1 / 12
"""Fraction of an engine's memory above which a prompt counts as lengthy. Reading
such a prompt delays every stream that the engine runs."""

ENDPOINTS_A_HOST = 8
"""Number of a service's endpoints for each one that takes its lengthy prompts."""

FEWEST_FOR_HOSTS = 3
"""Number of endpoints below which none is reserved for lengthy prompts."""

HOST_COST = 2.0
"""Cost of any other call at an endpoint that takes lengthy prompts."""

SPREAD_TOKENS = 1500
"""Number of shared tokens from which all data centres prefer the same endpoint for a
prompt. Below it, each data centre prefers one of its own, since the distance costs
more than reading the tokens again."""

SLOWNESS_BOUNDS = (0.5, 20.0)
"""Smallest and largest ratio of an endpoint's time per unit of work to the average
of its service."""

STALL_FACTOR = 3.0
"""Multiple of the expected time after which a call without an answer adds to the
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
class Standing:
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

    A time per unit is the seconds until the first answer, divided by the units of
    work before it. Parameters named ``now`` are in seconds.
    """

    def __init__(self, standing: Standing, seed: int) -> None:
        self.standing = standing
        self.random = random.Random(seed)
        self.books: dict[str, EndpointBook] = {}
        self.paces: dict[str, float] = {}

    def book(self, name: str) -> EndpointBook:
        """Returns an endpoint's statistics, which are new if there are none."""
        return self.books.setdefault(name, EndpointBook())

    def forget(self, names: Iterable[str]) -> None:
        """Removes the statistics of endpoint incarnations that have ended."""
        for name in names:
            self.books.pop(name, None)

    def choose(
        self,
        entries: Collection[EndpointEntry],
        excluded: Collection[str],
        shape: CallShape,
        now: float,
    ) -> Placement | None:
        """Returns the endpoint of least cost, or ``None`` if all are excluded.

        Endpoints that pause after a failed connection are considered only if all
        others are excluded.
        """
        allowed = [entry for entry in entries if entry.name not in excluded]
        up = [e for e in allowed if self.book(e.name).down_until <= now]
        candidates = up or allowed
        if not candidates:
            return None
        hosts = _hosts(candidates)
        if shape.lengthy and hosts:
            candidates = [e for e in candidates if e.name in hosts]
        home = _home(shape.prompt[:-1], candidates, self.standing.data_centre)
        costs = {e.name: self._cost(e, shape, home, now) for e in candidates}
        if shape.tokens and not shape.lengthy:
            for name in hosts:
                costs[name] += HOST_COST
        best = min(
            candidates, key=lambda entry: (costs[entry.name], self.random.random())
        )
        in_flight = self.book(best.name).in_flight
        return Placement(best, costs[best.name], len(candidates), in_flight)

    def expected_s(self, entry: EndpointEntry, shape: CallShape) -> float | None:
        """Returns the expected time until the first answer, in seconds.

        Returns ``None`` before the first answer of the endpoint's service.
        """
        pace = self.paces.get(entry.service)
        book = self.book(entry.name)
        if pace is None:
            return None
        return pace * (book.queued + book.work_of(shape))

    def sent(
        self,
        entry: EndpointEntry,
        call_id: str,
        shape: CallShape,
        now: float,
    ) -> None:
        """Records that a call is sent to an endpoint."""
        book = self.book(entry.name)
        book.in_flight += 1
        work = book.work_of(shape)
        book.waiting[call_id] = WaitingCall(now, work, book.queued)

    def answered(
        self,
        entry: EndpointEntry,
        call_id: str,
        shape: CallShape,
        now: float,
    ) -> None:
        """Records the first answer to a call."""
        book = self.book(entry.name)
        call = book.waiting.pop(call_id, None)
        if call is None:
            return
        book.failures_in_row = 0
        book.remember(shape.prompt[:-1])
        self._note_pace(entry, call, now)

    def ended(
        self, entry: EndpointEntry, call_id: str, failed: bool, now: float
    ) -> None:
        """Records the end of a call, and whether the endpoint failed.

        If a call failed without an answer, its waiting time is counted as if an
        answer had come now.
        """
        book = self.book(entry.name)
        book.in_flight = max(0, book.in_flight - 1)
        call = book.waiting.pop(call_id, None)
        if call is not None and failed:
            self._note_pace(entry, call, now)
        book.failing = _smooth(book.failing, 1.0 if failed else 0.0)

    def _note_pace(self, entry: EndpointEntry, call: WaitingCall, now: float) -> None:
        pace = (now - call.since) / (call.work + call.ahead)
        book = self.book(entry.name)
        book.pace = pace if book.pace is None else _smooth(book.pace, pace)
        usual = self.paces.get(entry.service)
        self.paces[entry.service] = pace if usual is None else _smooth(usual, pace)

    def unreachable(self, entry: EndpointEntry, now: float) -> None:
        """Pauses the use of an endpoint after a connection to it failed."""
        book = self.book(entry.name)
        pause = min(DOWN_LONGEST_S, DOWN_FIRST_S * 2**book.failures_in_row)
        book.failures_in_row = min(book.failures_in_row + 1, 8)
        book.down_until = now + pause * self.random.uniform(0.8, 1.2)

    def _cost(
        self,
        entry: EndpointEntry,
        shape: CallShape,
        home: str,
        now: float,
    ) -> float:
        book = self.book(entry.name)
        work = book.queued + book.work_of(shape)
        if entry.name == home:
            work -= book.unread_tokens(shape.prompt[:-1]) / 1000
        else:
            unread = book.unread_tokens(shape.prompt[:-1]) / 1000
            work += (REREAD_FACTOR - 1.0) * unread
        cost = work * self._slowness(entry, book) + RUNNING_COST * book.in_flight
        cost += self.standing.distance_cost(entry.data_centre)
        return cost + FAILURE_COST * book.failing + self._stall(entry, book, now)

    def _slowness(self, entry: EndpointEntry, book: EndpointBook) -> float:
        """Returns the time per unit of work relative to the service's average."""
        usual = self.paces.get(entry.service)
        if not usual or book.pace is None:
            return 1.0
        low, high = SLOWNESS_BOUNDS
        return min(high, max(low, book.pace / usual))

    def _stall(self, entry: EndpointEntry, book: EndpointBook, now: float) -> float:
        """Returns the cost of the call that is most overdue, 0 if none is."""
        usual = self.paces.get(entry.service)
        if not usual or not book.waiting:
            return 0.0
        late = max(
            (now - call.since) / (usual * (call.work + call.ahead))
            for call in book.waiting.values()
        )
        return min(FAILURE_COST, max(0.0, late - STALL_FACTOR))


def _home(
    shared: tuple[PromptPart, ...], entries: Iterable[EndpointEntry], data_centre: str
) -> str:
    """Returns the endpoint that VMs prefer for a prompt, an empty name if none.

    All VMs make the same choice, so that one endpoint caches the shared parts.
    """
    if not shared:
        return ""
    subject = shared[-1].name
    near = list(entries)
    if sum(part.tokens for part in shared) < SPREAD_TOKENS:
        near = [e for e in near if e.data_centre == data_centre] or near

    def score(entry: EndpointEntry) -> int:
        """Returns an endpoint's rendezvous score."""
        return xxhash.xxh3_64_intdigest(f"{subject}|{entry.name}".encode())

    return max(near, key=score).name


def _hosts(entries: Collection[EndpointEntry]) -> frozenset[str]:
    """Returns the endpoints that take lengthy prompts, the same on all VMs."""

    def score(entry: EndpointEntry) -> int:
        """Returns an endpoint's rendezvous score."""
        return xxhash.xxh3_64_intdigest(f"lengthy|{entry.name}".encode())

    if len(entries) < FEWEST_FOR_HOSTS:
        return frozenset()
    count = max(1, len(entries) // ENDPOINTS_A_HOST)
    ranked = sorted(entries, key=score, reverse=True)
    return frozenset(entry.name for entry in ranked[:count])


def _smooth(average: float, value: float) -> float:
    return average + SMOOTHING * (value - average)
