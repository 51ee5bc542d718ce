"""Policies for choosing an engine with the knowledge of a single VM."""

import random
from collections import defaultdict
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

import xxhash

from verbenagrade.state.directory import EndpointEntry
from verbenagrade.state.endpoint_stats import CallShape
from verbenagrade.state.placement import PlacementTable, VmLocation

__all__ = ["POLICIES", "Placer", "Policy"]

ChooseEngine = Callable[[CallShape, float, Collection[str]], EndpointEntry]

MAX_LOAD_FACTOR = 1.25
"""Most calls of this VM at an engine that it prefers for a prompt, as a multiple of the
mean over all engines."""


@dataclass(frozen=True, slots=True)
class Placer:
    """One VM's engine choice, with callbacks on the progress of its calls.

    ``sent``, ``answered`` and ``ended`` report that a call was sent to an engine,
    got its first event, and is over.
    """

    choose: ChooseEngine
    sent: Callable[[EndpointEntry, str, CallShape, float], None]
    answered: Callable[[EndpointEntry, str, CallShape, float], None]
    ended: Callable[[EndpointEntry, str, bool, float], None]


Policy = Callable[[Sequence[EndpointEntry], VmLocation, int], Placer]


def product_placement(
    entries: Sequence[EndpointEntry], location: VmLocation, seed: int
) -> Placer:
    """Returns the placement of the product's gateway."""
    table = PlacementTable(location, seed)

    def choose(
        shape: CallShape, now: float, excluded: Collection[str]
    ) -> EndpointEntry:
        """Returns the engine with the lowest cost."""
        return table.choose(entries, excluded, shape, now).endpoint

    return Placer(choose, table.sent, table.answered, table.ended)


def counting_policy(pick: Callable[..., EndpointEntry]) -> Policy:
    """Returns a policy that knows the running calls of this VM at each engine."""

    def policy(
        entries: Sequence[EndpointEntry], _location: VmLocation, seed: int
    ) -> Placer:
        """Returns a placer with its own call counts."""
        calls: dict[str, int] = defaultdict(int)
        rng = random.Random(seed)

        def choose(
            shape: CallShape, _now: float, excluded: Collection[str]
        ) -> EndpointEntry:
            """Returns the engine that ``pick`` selects."""
            allowed = [entry for entry in entries if entry.name not in excluded]
            return pick(allowed, calls, shape, rng)

        def sent(entry: EndpointEntry, *_details: object) -> None:
            """Increments the call count of an engine."""
            calls[entry.name] += 1

        def ended(entry: EndpointEntry, *_details: object) -> None:
            """Decrements the call count of an engine."""
            calls[entry.name] -= 1

        return Placer(choose, sent, lambda *_details: None, ended)

    return policy


def random_engine(entries, _calls, _shape, rng) -> EndpointEntry:
    """Picks an engine at random."""
    return rng.choice(entries)


def least_loaded(entries, calls, _shape, rng) -> EndpointEntry:
    """Picks the engine with the fewest calls of this VM, at random among equals."""
    return min(entries, key=lambda entry: (calls[entry.name], rng.random()))


def less_loaded_of_two(entries, calls, _shape, rng) -> EndpointEntry:
    """Picks the engine with fewer calls of this VM out of two random ones."""
    return min(rng.sample(entries, 2), key=lambda entry: calls[entry.name])


def prefix_affinity(entries, calls, shape, rng) -> EndpointEntry:
    """Picks the first engine in rendezvous order whose load is within bounds."""
    subject = shape.prompt[-2].name if len(shape.prompt) > 1 else ""
    mean = (1 + sum(calls.values())) / len(entries)

    def score(entry: EndpointEntry) -> int:
        """Returns an engine's rendezvous score."""
        return xxhash.xxh3_64_intdigest(f"{subject}|{entry.name}".encode())

    for entry in sorted(entries, key=score, reverse=True):
        if calls[entry.name] <= MAX_LOAD_FACTOR * mean:
            return entry
    return least_loaded(entries, calls, shape, rng)


POLICIES: dict[str, Policy] = {
    "product": product_placement,
    "random": counting_policy(random_engine),
    "least": counting_policy(least_loaded),
    "two": counting_policy(less_loaded_of_two),
    "affinity": counting_policy(prefix_affinity),
}
