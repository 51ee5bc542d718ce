"""An endpoint that names a limit on calls, while gateways suffer faults.

Once the faults have ended and the gateways had the time to hear of each other again,
the endpoint gets hardly more than its limit from all of them together, and most of it.
When it names no limit any more, it gets its part of the calls again.
"""

import asyncio
import itertools
import random
from collections import Counter

import aiohttp

from soak.checks import Violation
from soak.clients import API_KEY, DEADLINE_S
from soak.environment import SoakEnvironment
from soak.faults import inject_faults
from verbenagrade.platform.tests import endpoint_standin as standin
from verbenagrade.platform.tests.caller import call_headers

__all__ = ["LimitedEndpoint", "play_limits"]

LIMIT_PER_S = 4.0
STABLE_S = 4.0
WINDOW_S = 4.0
CALM_S = 10.0
RELEASE_S = 4.0
EXCESS_FACTOR = 1.5
EXCESS_CALLS = 5
MIN_USED_FRACTION = 0.5
MIN_RELEASED_FACTOR = 1.5
SLOW_S = 0.05
CLIENTS = 8
CALL_INTERVAL_S = 0.1


class LimitedEndpoint:
    """The first endpoint, which names ``limit_per_s`` and is faster than the others."""

    def __init__(self, environment: SoakEnvironment) -> None:
        self.limit_per_s: float | None = LIMIT_PER_S
        self.arrivals: list[float] = []
        first, *others = environment.endpoints
        first.handlers = [self.handle]
        for endpoint in others:
            endpoint.handlers = [standin.delayed(SLOW_S, standin.plain())]

    async def handle(self, request, writer) -> None:
        """Responds at once, with the limit if there is one."""
        self.arrivals.append(asyncio.get_running_loop().time())
        await standin.plain(limit_per_s=self.limit_per_s)(request, writer)

    def count(self, start: float, end: float) -> int:
        """Returns the number of calls that arrived in a time, in seconds."""
        return sum(start < at <= end for at in self.arrivals)

    def most_in_window(self, start: float, end: float) -> int:
        """Returns the largest number of calls in a window within a time."""
        ends = [at for at in self.arrivals if start + WINDOW_S <= at <= end]
        return max((self.count(at - WINDOW_S, at) for at in ends), default=0)


async def play_limits(
    environment: SoakEnvironment, seed: int, seconds: float
) -> tuple[Counter[str], int, list[Violation]]:
    """Sends calls for ``seconds`` with faults, then without, and ends the limit.

    Returns the statuses of all calls, the number of those that reached the endpoint,
    and what was violated.
    """
    endpoint = LimitedEndpoint(environment)
    statuses: Counter[str] = Counter()
    stop, stop_faults = asyncio.Event(), asyncio.Event()
    clock = asyncio.get_running_loop().time
    async with asyncio.TaskGroup() as group:
        for number in range(CLIENTS):
            rng = random.Random(seed * 100 + number)
            group.create_task(_send_calls(environment, rng, number, statuses, stop))
        faults = inject_faults(environment, random.Random(seed), stop_faults)
        faults = group.create_task(faults)
        await asyncio.sleep(seconds)
        stop_faults.set()
        await faults
        await asyncio.sleep(STABLE_S)
        calm_from = clock()
        await asyncio.sleep(CALM_S)
        calm_until = clock()
        endpoint.limit_per_s = None
        await asyncio.sleep(RELEASE_S)
        released = endpoint.count(clock() - RELEASE_S / 2, clock())
        stop.set()
    return (
        statuses,
        len(endpoint.arrivals),
        _check(endpoint, calm_from, calm_until, released),
    )


def _check(
    endpoint: LimitedEndpoint, calm_from: float, calm_until: float, released: int
) -> list[Violation]:
    most = endpoint.most_in_window(calm_from, calm_until)
    used = endpoint.count(calm_from, calm_until)
    held = (
        (
            "a limit holds for all gateways together",
            most <= EXCESS_FACTOR * LIMIT_PER_S * WINDOW_S + EXCESS_CALLS,
            f"{most} calls in {WINDOW_S} s",
        ),
        (
            "what a limit leaves is used",
            used >= MIN_USED_FRACTION * LIMIT_PER_S * CALM_S,
            f"{used} calls in {CALM_S} s",
        ),
        (
            "a limit ends with the first response without it",
            released >= MIN_RELEASED_FACTOR * LIMIT_PER_S * RELEASE_S / 2,
            f"{released} calls in {RELEASE_S / 2} s",
        ),
    )
    return [Violation(name, "", detail) for name, holds, detail in held if not holds]


async def _send_calls(
    environment: SoakEnvironment,
    rng: random.Random,
    client: int,
    statuses: Counter[str],
    stop: asyncio.Event,
) -> None:
    """Sends calls that may be repeated to random gateways; counts their statuses."""
    async with aiohttp.ClientSession() as session:
        for number in itertools.count():
            if stop.is_set():
                return
            call = f"limit-{client}-{number}"
            url = f"http://{rng.choice(environment.addresses)}/safe/x"
            headers = call_headers(call, API_KEY, DEADLINE_S, 0, 0)
            try:
                async with (
                    asyncio.timeout(DEADLINE_S + 1.0),
                    session.post(url, headers=headers, data=b"hello") as response,
                ):
                    await response.read()
                    statuses[str(response.status)] += 1
            except (aiohttp.ClientError, OSError, TimeoutError):
                # The gateway was lost or did not respond while it was paused.
                statuses["lost"] += 1
            await asyncio.sleep(rng.uniform(0.5, 1.5) * CALL_INTERVAL_S)
