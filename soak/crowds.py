"""Clients that send or hold too much, beside ordinary ones and faults.

Such clients come in small groups, at the addresses of random gateways, and leave again.
Each gateway keeps to its memory and its descriptors all the while, none ends by itself,
and afterwards each answers an ordinary call.
"""

import asyncio
import random
import signal
from collections import Counter
from collections.abc import Callable, Iterator

import aiohttp

from soak.checks import Violation
from soak.clients import API_KEY, DEADLINE_S, Client
from soak.environment import (
    CALLER_PORT,
    MEMORY_MB,
    METRICS_PORT,
    READY_PORT,
    RELAY_PORT,
    RESERVATION_PORT,
    SoakEnvironment,
)
from soak.faults import inject_faults
from verbenagrade.platform.tests.caller import call_headers
from verbenagrade.platform.tests.crowds import processes, requests
from verbenagrade.platform.tests.crowds.clients import Crowd

__all__ = ["DESCRIPTORS", "play_crowds"]

DESCRIPTORS = 600
FREE_DESCRIPTORS = DESCRIPTORS // 5
"""Descriptors of a gateway, and how many of them it leaves free."""

CLIENTS = 10
GROUPS_PER_GATEWAY = 2
GROUP_SIZES = (1, 40)
STAY_S = (0.2, 4.0)
POLL_S = 0.1
CALM_S = 5.0
TRIES = 100
ENDED_BY_SOAK = (None, 0, -signal.SIGKILL, -signal.SIGTERM)
"""Results of processes that were not ended by a fault of their own."""

PORTS = (CALLER_PORT,) * 6 + (READY_PORT, METRICS_PORT, RELAY_PORT, RESERVATION_PORT)
BODY_BYTES = 2_000_000
KINDS: tuple[Callable[[], Iterator[bytes]], ...] = (
    requests.tiny_chunks,
    lambda: requests.tiny_chunks(b"2\r\nxy\r\n"),
    lambda: requests.tiny_chunks(key="unknown"),
    lambda: requests.large_chunks(BODY_BYTES),
    lambda: requests.short_body(BODY_BYTES),
    lambda: requests.short_body(100_000),
    lambda: requests.sent_ahead(40, 100_000),
    lambda: requests.sent_ahead(5_000, 0),
    lambda: requests.sent_ahead(100, 0, path="/stream/x"),
    lambda: requests.endless_head(b"a: b\r\n"),
    lambda: requests.endless_head(b"a: " + b"b" * 10_000 + b"\r\n"),
    lambda: requests.repeated(b"\r\n"),
    lambda: requests.partial_head(200),
    requests.endless_line,
    requests.trailers,
    requests.after_upgrade,
    requests.after_connect,
    lambda: iter(()),
)


async def play_crowds(
    environment: SoakEnvironment, seed: int, seconds: float
) -> tuple[Counter[str], int, list[Violation]]:
    """Lets such clients come for ``seconds``, beside ordinary ones and faults.

    Returns the statuses of ordinary calls, the number of runs at endpoints, and what
    was violated.
    """
    checker = environment.checker
    observer = _Observer(environment)
    stop = asyncio.Event()
    async with asyncio.TaskGroup() as group:
        for number in range(CLIENTS):
            rng = random.Random(seed * 100 + number)
            client = Client(f"c{seed}-{number}", environment.addresses, checker, rng)
            group.create_task(client.run(stop))
        for number in range(GROUPS_PER_GATEWAY * environment.gateways):
            rng = random.Random(seed * 1000 + number)
            group.create_task(_send_crowds(environment, rng, stop))
        group.create_task(inject_faults(environment, random.Random(seed), stop))
        group.create_task(observer.run(stop))
        await asyncio.sleep(seconds)
        stop.set()
    await asyncio.sleep(CALM_S)
    violations = [*checker.violations, *observer.violations]
    violations += await _find_silent(environment)
    return checker.status_counts, sum(checker.run_counts.values()), violations


async def _send_crowds(
    environment: SoakEnvironment, rng: random.Random, stop: asyncio.Event
) -> None:
    """Lets one group of clients after the other come and leave."""
    while not stop.is_set():
        host = rng.choice(environment.addresses).partition(":")[0]
        crowd = Crowd((host, rng.choice(PORTS)))
        kind = rng.choice(KINDS)
        crowd.add(rng.randint(*GROUP_SIZES), lambda _number, kind=kind: kind())
        await asyncio.sleep(rng.uniform(*STAY_S))
        await crowd.leave()


class _Observer:
    """Watches the memory, the descriptors and the ends of all gateways."""

    def __init__(self, environment: SoakEnvironment) -> None:
        self.environment = environment
        self.violations: list[Violation] = []

    async def run(self, stop: asyncio.Event) -> None:
        """Samples them until ``stop`` is set."""
        while not stop.is_set():
            for number, process in enumerate(self.environment.processes):
                self._check(f"front-{number}", process)
            await asyncio.sleep(POLL_S)

    def _check(self, name: str, process: object) -> None:
        if process.poll() not in ENDED_BY_SOAK:
            self._add("no process ends by itself", name, str(process.poll()))
        try:
            unread = processes.unread_bytes(process.pid)
            memory = processes.resident_bytes(process.pid) + unread
            used = processes.descriptors(process.pid)
        except (FileNotFoundError, KeyError, ProcessLookupError):
            # The process has just ended.
            return
        if memory > MEMORY_MB * processes.BYTES_PER_MB:
            self._add("a process keeps to its memory", name, f"{memory} bytes")
        if used > DESCRIPTORS - FREE_DESCRIPTORS:
            self._add("a process leaves descriptors free", name, f"{used} used")

    def _add(self, invariant: str, name: str, detail: str) -> None:
        if not any(
            v.invariant == invariant and v.call == name for v in self.violations
        ):
            self.violations.append(Violation(invariant, name, detail))


async def _find_silent(environment: SoakEnvironment) -> list[Violation]:
    """Returns the gateways that answer no ordinary call after the crowds."""
    invariant = "ordinary callers get answers"
    async with aiohttp.ClientSession() as session:
        return [
            Violation(invariant, f"front-{number}", address)
            for number, address in enumerate(environment.addresses)
            if not await _is_answered(session, address)
        ]


async def _is_answered(session: aiohttp.ClientSession, address: str) -> bool:
    """Makes a call, as often as a caller that comes back after refusals."""
    for number in range(TRIES):
        headers = call_headers(f"after-{address}-{number}", API_KEY, DEADLINE_S, 0, 0)
        try:
            async with (
                asyncio.timeout(DEADLINE_S + 1.0),
                session.post(f"http://{address}/safe/x", headers=headers) as response,
            ):
                if response.status == 200:
                    return True
        except (aiohttp.ClientError, OSError, TimeoutError):
            # Its process has just been started again, or the connection gave way.
            await asyncio.sleep(POLL_S)
        await asyncio.sleep(POLL_S)
    return False
