"""Clients of the soak test: they send random calls and check every response."""

import asyncio
import itertools
import random
import zlib
from dataclasses import dataclass, field

import aiohttp

from soak.checks import InvariantChecker
from soak.endpoints import EVENTS_PER_STREAM
from verbenagrade.platform.tests.caller import call_headers
from verbenagrade.transport.sends import SingleSendConnector, send_once

__all__ = ["Client", "ClientOptions"]

PROMPT_TOKENS = 20
TOKENS_PER_EVENT = 7
DEADLINE_S = 2.0
EARLY_TIMEOUT_S = 0.1
EARLY_TIMEOUT_PROBABILITY = 0.05
RESUME_AT_FRACTION = 0.8
METHODS = ("POST", "GET", "PUT", "POST")
PATHS = ("/safe/x", "/once/x", "/resume/x", "/stream/x")
API_KEY = "key-of-hotel"


@dataclass(frozen=True, slots=True)
class ClientOptions:
    """What a client calls and checks.

    It takes a broken stream up ``resumptions`` times at most. If ``resume_at`` has any
    gateways, it does so mostly at these, and begins streams at the others. With
    ``exact``, it checks each byte of streams and goes on after the last complete event.
    ``undisturbed`` tells that endpoints alone suffer faults.
    """

    paths: tuple[str, ...] = PATHS
    resumptions: int = 1
    exact: bool = False
    undisturbed: bool = False
    resume_at: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Received:
    """The status of a response, 0 if there is none, and how its body ended.

    ``left`` tells that the client did not wait for the end.
    """

    status: int
    complete: bool = False
    left: bool = False


@dataclass(frozen=True, slots=True)
class Stream:
    """The call that began a stream, and the version of each event received."""

    begun_by: str
    versions: list[str]


class Client:
    """Sends calls to random gateways one at a time, over persistent connections."""

    def __init__(
        self,
        name: str,
        addresses: list[str],
        checker: InvariantChecker,
        rng: random.Random,
        options: ClientOptions | None = None,
    ) -> None:
        self.options = options or ClientOptions()
        self.name = name
        self.addresses = addresses
        self.checker = checker
        self.rng = rng
        self.call_numbers = itertools.count(1)

    async def run(self, stop: asyncio.Event) -> None:
        """Sends calls until ``stop`` is set."""
        connector = SingleSendConnector()
        async with aiohttp.ClientSession(connector=connector) as session:
            while not stop.is_set():
                path = self.rng.choice(self.options.paths)
                broken = await self._call(session, self._next_call(), path)
                for _ in range(self.options.resumptions):
                    if broken is None:
                        break
                    call = self._next_call()
                    broken = await self._call(session, call, path, broken)
                await asyncio.sleep(self.rng.uniform(0.0, 0.05))

    def _next_call(self) -> str:
        return f"{self.name}-{next(self.call_numbers)}"

    async def _call(
        self,
        session: aiohttp.ClientSession,
        call: str,
        path: str,
        resumed: Stream | None = None,
    ) -> Stream | None:
        """Sends one call; returns its stream if that broke off and may be resumed."""
        self.checker.record_call(call, path.startswith(("/safe", "/resume")))
        known = self.rng.random() > 0.02
        headers = call_headers(
            call,
            API_KEY if known else "unknown",
            DEADLINE_S,
            PROMPT_TOKENS,
            EVENTS_PER_STREAM * TOKENS_PER_EVENT,
        )
        if resumed is not None:
            headers["Resumes"] = resumed.begun_by
            headers["Last-Event-Id"] = str(len(resumed.versions))
        body = bytearray()
        url = f"http://{self._choose_address(resumed)}{path}"
        received = await self._send(session, call, url, headers, body)
        stream = resumed or Stream(call, [])
        known_events = len(stream.versions)
        self._check_response(call, path, received, bytes(body), stream)
        if resumed is not None:
            self.checker.status_counts["taken up"] += 1
            went_on = len(stream.versions) > known_events
            self.checker.status_counts["went on"] += went_on
        has_rest = 0 < len(stream.versions) < EVENTS_PER_STREAM
        resumable = path.startswith("/resume") and has_rest
        return stream if resumable and not received.complete else None

    def _choose_address(self, resumed: Stream | None) -> str:
        """Returns the gateway for a call."""
        resume_at = self.options.resume_at
        if not resume_at:
            return self.rng.choice(self.addresses)
        if resumed is not None and self.rng.random() < RESUME_AT_FRACTION:
            return self.rng.choice(resume_at)
        return self.rng.choice([a for a in self.addresses if a not in resume_at])

    async def _send(
        self,
        session: aiohttp.ClientSession,
        call: str,
        url: str,
        headers: dict[str, str],
        body: bytearray,
    ) -> Received:
        """Sends a request, and adds what is received to ``body``.

        Some calls have a short timeout.
        """
        timeout_s = DEADLINE_S + 1.0
        if self.rng.random() < EARLY_TIMEOUT_PROBABILITY:
            timeout_s = EARLY_TIMEOUT_S
        method = METHODS[zlib.crc32(call.encode()) % len(METHODS)]
        status = 0
        try:
            with send_once():
                async with (
                    asyncio.timeout(timeout_s),
                    session.request(
                        method, url, headers=headers, data=call.encode()
                    ) as response,
                ):
                    status = response.status
                    async for chunk in response.content.iter_any():
                        body += chunk
                    return Received(status, complete=True)
        except TimeoutError:
            # The part of the response that was received is still checked.
            self.checker.status_counts["left"] += 1
            return Received(status, left=True)
        except (aiohttp.ClientError, OSError):
            # The gateway was lost, or it broke the response off.
            self.checker.status_counts["lost"] += 1
        return Received(status)

    def _check_response(
        self, call: str, path: str, received: Received, body: bytes, stream: Stream
    ) -> None:
        events = 0
        status, complete = received.status, received.complete
        if status == 200 and path.startswith(("/resume", "/stream")):
            first = len(stream.versions) + 1
            exact = self.options.exact
            check = self.checker.check_stream if exact else self.checker.check_events
            versions = check(call, body, first, EVENTS_PER_STREAM, complete)
            events = len(versions)
            stream.versions.extend(versions)
            self.checker.check_versions(call, stream.versions)
        elif status == 200 and complete:
            self.checker.check_body(call, body)
        if self.options.undisturbed and not received.left:
            self.checker.check_whole(call, status == 200 and complete)
        if status:
            self.checker.record_status(call, status)
        self.checker.record_delivery(call, PROMPT_TOKENS, events)
