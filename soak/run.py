"""Runs the soak test for one seed."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from soak.checks import Violation
from soak.clients import Client
from soak.crashes import play_crashes
from soak.crowds import DESCRIPTORS, play_crowds
from soak.ends import play_ends
from soak.environment import SOFTWARE_VERSIONS, SoakEnvironment
from soak.faults import inject_drills, inject_faults, inject_mass_kills
from soak.limits import play_limits
from soak.rows import FIRST_VERSION, play_rows
from soak.stops import play_stops

__all__ = [
    "SoakReport",
    "run_crash_seed",
    "run_crowd_seed",
    "run_end_seed",
    "run_limit_seed",
    "run_row_seed",
    "run_seed",
    "run_stop_seed",
]

Play = Callable[
    [SoakEnvironment, int, float], Awaitable[tuple[Counter[str], int, list[Violation]]]
]

Injector = Callable[[SoakEnvironment, random.Random, asyncio.Event], Awaitable[None]]

CLIENTS = 10
FAULT_INJECTORS = 2
THREE_VERSIONS = ("v1", "v2", "v3")
MANY_GATEWAYS = 16
MANY_GATEWAYS_SEEDS = 10
"""One in so many seeds with crowds runs many gateways."""

MASS_KILL_SEEDS = 4
"""One in so many seeds kills all gateways at once beside drills."""


@dataclass(frozen=True, slots=True)
class SoakReport:
    """Result of one seed.

    ``status_counts`` counts responses by HTTP status, calls whose response failed as
    ``"lost"``, and those that clients gave up as ``"left"``. ``run_count`` is the
    number of runs at endpoints. ``log_directory`` holds the gateways' settings and
    logs.
    """

    seed: int
    status_counts: dict[str, int]
    run_count: int
    spent_tokens: int
    violations: tuple[Violation, ...]
    log_directory: Path


async def run_seed(
    seed: int,
    seconds: float,
    drills: bool = False,
    faults: bool = True,
    other_build: Path | None = None,
) -> SoakReport:
    """Runs gateways, clients and faults for ``seconds``, then lets open calls end.

    With ``drills``, the store comes back from older copies besides, endpoints run three
    software versions, and every fourth seed kills all gateways at once now and then.
    Without ``faults`` nothing else happens to it or to the processes. Every second
    gateway runs ``other_build``, the folder of one, if it is given.
    """
    versions = THREE_VERSIONS if drills else SOFTWARE_VERSIONS
    environment = SoakEnvironment(seed, versions, other_build=other_build)
    environment.store.era = 1
    await environment.start()
    stop = asyncio.Event()
    clients = _new_clients(environment, seed)
    try:
        async with asyncio.TaskGroup() as group:
            for client in clients:
                group.create_task(client.run(stop))
            for inject, number in _injectors(seed, drills, faults):
                rng = random.Random(seed * 100 + number)
                group.create_task(inject(environment, rng, stop))
            await asyncio.sleep(seconds)
            stop.set()
    finally:
        await environment.stop()
    checker = environment.checker
    return SoakReport(
        seed=seed,
        status_counts=dict(sorted(checker.status_counts.items())),
        run_count=sum(checker.run_counts.values()),
        spent_tokens=checker.spent_tokens,
        violations=tuple(checker.violations),
        log_directory=environment.log_directory,
    )


def _injectors(seed: int, drills: bool, faults: bool) -> list[tuple[Injector, int]]:
    """Returns what injects faults in a seed, each with the number of its generator."""
    injectors: list[tuple[Injector, int]] = []
    if drills:
        injectors.append((inject_drills, FAULT_INJECTORS))
    if drills and seed % MASS_KILL_SEEDS == 2:
        injectors.append((inject_mass_kills, FAULT_INJECTORS + 1))
    if faults:
        injectors += ((inject_faults, number) for number in range(FAULT_INJECTORS))
    return injectors


def _new_clients(environment: SoakEnvironment, seed: int) -> list[Client]:
    """Returns the clients of a seed."""
    return [
        Client(
            f"c{seed}-{n}",
            environment.addresses,
            environment.checker,
            random.Random(seed + n),
        )
        for n in range(CLIENTS)
    ]


async def run_crash_seed(seed: int, seconds: float) -> SoakReport:
    """Runs gateways, calls that crash endpoints, and faults for ``seconds``.

    ``status_counts`` are those of the sound calls after the faults, and ``run_count``
    is the number of calls with the part at fault that reached endpoints.
    """
    return await _run_play(play_crashes, seed, seconds)


async def run_crowd_seed(seed: int, seconds: float) -> SoakReport:
    """Runs gateways beside clients that hold too much, and faults, for ``seconds``.

    Some seeds run many gateways. ``run_count`` is the number of runs at endpoints.
    """
    many = seed % MANY_GATEWAYS_SEEDS == 0
    environment = SoakEnvironment(
        2 * seed, gateways=MANY_GATEWAYS if many else 3, descriptors=DESCRIPTORS
    )
    return await _run_play(play_crowds, seed, seconds, environment)


async def run_limit_seed(seed: int, seconds: float) -> SoakReport:
    """Runs gateways, an endpoint that names a limit, and faults for ``seconds``.

    ``run_count`` is the number of calls that reached the endpoint.
    """
    return await _run_play(play_limits, seed, seconds)


async def run_end_seed(seed: int, seconds: float) -> SoakReport:
    """Runs gateways, and endpoints whose streams end in all ways, for ``seconds``.

    ``run_count`` is the number of runs at endpoints.
    """
    environment = SoakEnvironment(2 * seed, passes_resets=True)
    return await _run_play(play_ends, seed, seconds, environment)


async def run_row_seed(seed: int, seconds: float) -> SoakReport:
    """Runs gateways beside odd rows for ``seconds``, and then a release.

    ``run_count`` is the number of runs at endpoints.
    """
    environment = SoakEnvironment(2 * seed, versions=(FIRST_VERSION,))
    return await _run_play(play_rows, seed, seconds, environment)


async def run_stop_seed(
    seed: int, seconds: float, other_build: Path | None = None
) -> SoakReport:
    """Stops gateways as planned, under long calls, for ``seconds``.

    ``run_count`` is the number of runs at endpoints. ``other_build`` is as for
    ``run_seed``.
    """
    environment = SoakEnvironment(2 * seed, other_build=other_build)
    return await _run_play(play_stops, seed, seconds, environment)


async def _run_play(
    play: Play,
    seed: int,
    seconds: float,
    environment: SoakEnvironment | None = None,
) -> SoakReport:
    environment = environment or SoakEnvironment(2 * seed)
    environment.store.era = 1
    await environment.start()
    try:
        statuses, received, violations = await play(environment, seed, seconds)
    finally:
        await environment.stop()
    return SoakReport(
        seed=seed,
        status_counts=dict(sorted(statuses.items())),
        run_count=received,
        spent_tokens=0,
        violations=tuple(violations),
        log_directory=environment.log_directory,
    )
