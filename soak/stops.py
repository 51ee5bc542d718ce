"""Planned stops of gateways, one after another and two at once, under long calls.

Calls last up to most of the grace period, some bodies arrive slowly, and streams that
break off are taken up. In some seeds the store comes back from older copies, or is
silent, meanwhile. A call that an endpoint has begun is answered, or breaks off visibly
if it is a stream; no stream joins two software versions.
"""

import asyncio
import itertools
import random
import signal
from collections import Counter
from collections.abc import AsyncIterator

import aiohttp

from soak.checks import Violation
from soak.clients import API_KEY, PROMPT_TOKENS, TOKENS_PER_EVENT
from soak.endpoints import EVENTS_PER_STREAM, event_text
from soak.environment import GATEWAYS, SoakEnvironment
from soak.faults import inject_drills
from verbenagrade.platform.tests import endpoint_standin as standin
from verbenagrade.platform.tests.caller import call_headers
from verbenagrade.platform.tests.conftest import route
from verbenagrade.transport.sends import SingleSendConnector, send_once

__all__ = ["play_stops"]

CLIENTS = 24
RESUMPTIONS = 3
GRACE_S = 8.0
TIMEOUT_S = 12.0
WORK_S = (0.02, 0.1, 0.5, 1.5, 4.0, 6.5)
WORK_WEIGHTS = (40, 20, 20, 10, 6, 4)
SLOW_BODY_PROBABILITY = 0.15
SLOW_BODY_S = (0.5, 6.0)
PATHS = ("/once/x", "/safe/x", "/resume/x", "/stream/x")
STREAM_PATHS = ("/resume/x", "/stream/x")
NO_ANSWER = "no answer"


def _now() -> float:
    return asyncio.get_running_loop().time()


def long_routes() -> list[dict[str, object]]:
    """Returns routes whose calls may outlast the grace period."""
    limits = {"timeout_ms": int(TIMEOUT_S * 1000), "max_attempts": 2}
    return [
        route("/safe/", "safe", **limits),
        route("/once/", "unsafe", **{**limits, "max_attempts": 1}),
        route("/resume/", "streaming", stream_resume=True, gap_aim_ms=900, **limits),
        route("/stream/", "streaming", stream_resume=False, **limits),
    ]


class StopsPlay:
    """The stops and calls of one seed, and what was violated.

    ``stopped_at`` is when each gateway got the last signal, by its address, in seconds.
    """

    def __init__(self, environment: SoakEnvironment, rng: random.Random) -> None:
        self.environment = environment
        self.checker = environment.checker
        self.rng = rng
        self.numbers = itertools.count(1)
        self.stopped_at: dict[str, float] = {}

    def serve(self, version: str):
        """Returns a handler that takes as long as the body of a call says."""

        async def handle(request, writer) -> None:
            """Serves a request."""
            call, work_s = request.headers["request-id"], float(request.body.split()[0])
            self.checker.record_run(call, request.headers.get("tenant", ""))
            if request.path not in STREAM_PATHS:
                await asyncio.sleep(work_s)
                await standin.plain(f"response to {call}".encode())(request, writer)
                return
            begun_by = request.headers.get("resumes", call)
            await standin.stream(
                EVENTS_PER_STREAM,
                pause=work_s / EVENTS_PER_STREAM,
                text=lambda number: event_text(begun_by, version, number),
            )(request, writer)

        return handle

    async def stop_gateways(self, stop: asyncio.Event, first: int) -> None:
        """Stops every second gateway from ``first`` on, and starts each again."""
        for number in itertools.count(first, 2):
            if stop.is_set():
                return
            await asyncio.sleep(self.rng.uniform(0.2, 2.0))
            name = number % GATEWAYS
            self.environment.signal_gateway(name, signal.SIGTERM)
            self.stopped_at[self.environment.addresses[name]] = _now()
            await self.environment.wait_for_exit(name, GRACE_S)
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))
            self.environment.start_gateway(name)

    async def silence_store(self, stop: asyncio.Event) -> None:
        """Lets the store be silent now and then."""
        while not stop.is_set():
            await asyncio.sleep(self.rng.uniform(2.0, 6.0))
            self.environment.store.unresponsive = True
            await asyncio.sleep(self.rng.uniform(0.5, 5.0))
            self.environment.store.unresponsive = False

    async def send_calls(self, stop: asyncio.Event) -> None:
        """Sends one call after another, each connection as long as it is open."""
        async with aiohttp.ClientSession(connector=SingleSendConnector()) as session:
            while not stop.is_set():
                path = self.rng.choice(PATHS)
                work_s = self.rng.choices(WORK_S, WORK_WEIGHTS)[0]
                versions: list[str] = []
                begun_by = f"call{next(self.numbers)}"
                whole = await self._call(
                    session, path, work_s, begun_by, begun_by, versions
                )
                for _ in range(RESUMPTIONS if path == "/resume/x" else 0):
                    if whole or not versions:
                        break
                    call = f"call{next(self.numbers)}"
                    known = len(versions)
                    whole = await self._call(
                        session, path, work_s, call, begun_by, versions
                    )
                    self.checker.status_counts["taken up"] += 1
                    self.checker.status_counts["went on"] += len(versions) > known

    async def _call(
        self,
        session: aiohttp.ClientSession,
        path: str,
        work_s: float,
        call: str,
        begun_by: str,
        versions: list[str],
    ) -> bool:
        """Sends one call, checks what comes of it, and returns whether it is whole."""
        self.checker.record_call(call, path in ("/safe/x", "/resume/x"))
        tokens = EVENTS_PER_STREAM * TOKENS_PER_EVENT
        headers = call_headers(call, API_KEY, TIMEOUT_S, PROMPT_TOKENS, tokens)
        if versions:
            headers |= {"Resumes": begun_by, "Last-Event-Id": str(len(versions))}
        address = self.rng.choice(self.environment.addresses)
        url = f"http://{address}{path}"
        received, status, whole = bytearray(), 0, False
        sent = [_now()]
        try:
            with send_once():
                async with session.post(
                    url, headers=headers, data=self._body(work_s, sent)
                ) as response:
                    status = response.status
                    async for chunk in response.content.iter_any():
                        received += chunk
                    whole = status == 200
        except (aiohttp.ClientError, OSError):
            self.checker.status_counts["lost"] += 1
        self._check(path, call, begun_by, status, bytes(received), whole, versions)
        in_time = _now() < sent[0] + TIMEOUT_S
        if in_time and sent[-1] > self.stopped_at.get(address, _now()):
            self._check_late(call, status, whole)
        return whole

    def _check_late(self, call: str, status: int, whole: bool) -> None:
        """Checks what a call is told that was sent after a signal and has time left.

        It may have come to the next process, where it is served as well.
        """
        began = self.checker.run_counts[call] > 0
        if began and not whole and call not in self.checker.retryable_calls:
            detail = f"status {status}"
            self._violate("a call that comes late is served or refused", call, detail)

    def _check(
        self,
        path: str,
        call: str,
        begun_by: str,
        status: int,
        body: bytes,
        whole: bool,
        versions: list[str],
    ) -> None:
        """Checks the response to a call; adds the versions of its events."""
        if status:
            self.checker.record_status(call, status)
        elif self.checker.run_counts[call]:
            self._violate("a call that has begun is answered", call, NO_ANSWER)
        if status == 200 and path in STREAM_PATHS:
            first = len(versions) + 1
            versions += self.checker.check_events(
                begun_by, body, first, EVENTS_PER_STREAM, whole
            )
            self.checker.check_versions(call, versions)
        elif whole:
            self.checker.check_body(call, body)

    def _body(self, work_s: float, sent: list[float]) -> bytes | AsyncIterator[bytes]:
        """Returns the body of a call, which may take some time to arrive.

        The time at which its last part is sent is added to ``sent``.
        """
        text = f"{work_s} ".encode()
        if self.rng.random() >= SLOW_BODY_PROBABILITY:
            return text

        async def slow() -> AsyncIterator[bytes]:
            """Yields the body in two parts."""
            yield text
            await asyncio.sleep(self.rng.uniform(*SLOW_BODY_S))
            sent.append(_now())
            yield b"end"

        return slow()

    def _violate(self, invariant: str, call: str, detail: str) -> None:
        self.checker.violations.append(Violation(invariant, call, detail))


async def play_stops(
    environment: SoakEnvironment, seed: int, seconds: float
) -> tuple[Counter[str], int, list[Violation]]:
    """Stops gateways under long calls; returns statuses, runs and violations."""
    play = StopsPlay(environment, random.Random(seed))
    for endpoint in environment.endpoints:
        endpoint.handlers = [play.serve(endpoint.software_version)]
    environment.routes = long_routes()
    environment.write_configuration()
    stop = asyncio.Event()
    async with asyncio.TaskGroup() as group:
        for _ in range(CLIENTS):
            group.create_task(play.send_calls(stop))
        for first in range(1 + seed % 2):
            group.create_task(play.stop_gateways(stop, first))
        if seed % 3 == 1:
            group.create_task(play.silence_store(stop))
        if seed % 3 == 2:
            group.create_task(inject_drills(environment, play.rng, stop))
        await asyncio.sleep(seconds)
        stop.set()
    checker = environment.checker
    runs = sum(checker.run_counts.values())
    return checker.status_counts, runs, checker.violations
