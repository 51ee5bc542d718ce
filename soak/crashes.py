"""Calls that crash endpoints by a part of their prompts, and sound calls beside them.

Faults go on at first. Once they have ended and the gateways had the time to hear of
each other again, hardly any call with the part may reach an endpoint, while the sound
calls, which share the key and the first part, are served.
"""

import asyncio
import itertools
import random
from collections import Counter

import aiohttp

from soak.checks import Violation
from soak.clients import API_KEY, DEADLINE_S, PROMPT_TOKENS
from soak.environment import SoakEnvironment
from soak.faults import inject_faults
from verbenagrade.platform.tests import endpoint_standin as standin
from verbenagrade.platform.tests.caller import call_headers, shared_parts

__all__ = ["CrashingEndpoints", "play_crashes"]

BAD_PART, FIRST_PART = "bad0", "f0"
RETURN_S = 1.5
STABLE_S = 4.0
CALM_S = 8.0
CALL_INTERVAL_S = 0.1
OUTPUT_TOKENS = 42
MAX_LATE_CALLS = 3
MIN_SERVED_FRACTION = 0.5


class CrashingEndpoints:
    """Lets an endpoint crash when it begins to respond to a call with the bad part.

    ``received`` counts the calls with the part, ``crashes`` the crashes. An endpoint is
    back after ``RETURN_S`` as another incarnation, at another port.
    """

    def __init__(self, environment: SoakEnvironment) -> None:
        self.environment = environment
        self.received = 0
        self.crashes = 0
        self.returns: set[asyncio.Task[None]] = set()
        for number, endpoint in enumerate(environment.endpoints):
            endpoint.handlers = [self._handler(number)]

    def _handler(self, number: int):
        respond = standin.stream(6, pause=0.02)

        async def handle(request, writer) -> None:
            """Streams a response, or crashes the endpoint."""
            if BAD_PART not in shared_parts(request.headers):
                await respond(request, writer)
                return
            self.received += 1
            proxy = self.environment.endpoint_proxies[number]
            if proxy.server.is_serving():
                self.crashes += 1
                proxy.stop()
                self.returns.add(asyncio.create_task(self._bring_back(number)))

        return handle

    async def _bring_back(self, number: int) -> None:
        await asyncio.sleep(RETURN_S)
        await self.environment.bring_back_endpoint(number, born=10_000 + self.crashes)


async def play_crashes(
    environment: SoakEnvironment, seed: int, seconds: float
) -> tuple[Counter[str], int, list[Violation]]:
    """Sends calls for ``seconds`` with faults, and then without.

    Returns the statuses of the sound calls of the time without faults, the number of
    calls with the part that reached endpoints, and what was violated.
    """
    endpoints = CrashingEndpoints(environment)
    statuses: Counter[str] = Counter()
    stop, stop_faults = asyncio.Event(), asyncio.Event()
    async with asyncio.TaskGroup() as group:
        for number, part in enumerate((BAD_PART, "s0", "s1", "s2")):
            rng = random.Random(seed * 100 + number)
            group.create_task(_send_calls(environment, rng, part, statuses, stop))
        faults = inject_faults(environment, random.Random(seed), stop_faults)
        faults = group.create_task(faults)
        await asyncio.sleep(seconds)
        stop_faults.set()
        await faults
        await asyncio.sleep(STABLE_S + RETURN_S)
        late, settled = endpoints.received, Counter(statuses)
        await asyncio.sleep(CALM_S)
        late, settled = endpoints.received - late, statuses - settled
        stop.set()
    violations = []
    if late > MAX_LATE_CALLS:
        violations.append(Violation("crashing calls are stopped", "", f"{late} late"))
    if settled["200"] < MIN_SERVED_FRACTION * settled.total():
        violations.append(Violation("sound calls are served", "", str(settled)))
    return settled, endpoints.received, violations


async def _send_calls(
    environment: SoakEnvironment,
    rng: random.Random,
    part: str,
    statuses: Counter[str],
    stop: asyncio.Event,
) -> None:
    """Sends calls with a part to random gateways; counts the statuses of sound ones."""
    async with aiohttp.ClientSession() as session:
        for number in itertools.count():
            if stop.is_set():
                return
            call = f"{part}-{number}"
            headers = call_headers(
                call,
                API_KEY,
                DEADLINE_S,
                PROMPT_TOKENS,
                OUTPUT_TOKENS,
                (FIRST_PART, part, f"{number:x}"),
            )
            url = f"http://{rng.choice(environment.addresses)}/resume/x"
            try:
                async with (
                    asyncio.timeout(DEADLINE_S + 1.0),
                    session.post(url, headers=headers, data=call.encode()) as response,
                ):
                    await response.read()
                    status = str(response.status)
            except (aiohttp.ClientError, OSError, TimeoutError):
                # The gateway was lost, or an endpoint crashed during the response.
                status = "lost"
            if part != BAD_PART:
                statuses[status] += 1
            await asyncio.sleep(rng.uniform(0.5, 1.5) * CALL_INTERVAL_S)
