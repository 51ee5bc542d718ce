"""Clients of the soak test: they send random calls and check every response."""

import asyncio
import itertools
import random
import zlib

import aiohttp

from soak.checks import InvariantChecker
from soak.endpoints import EVENTS_PER_STREAM
from verbenagrade.platform.tests.caller import call_headers
from verbenagrade.transport.sends import SingleSendConnector, send_once

__all__ = ["Client"]

PROMPT_TOKENS = 20
TOKENS_PER_EVENT = 7
DEADLINE_S = 2.0
EARLY_TIMEOUT_S = 0.1
EARLY_TIMEOUT_PROBABILITY = 0.05
METHODS = ("POST", "GET", "PUT", "POST")
PATHS = ("/safe/x", "/once/x", "/resume/x", "/stream/x")
API_KEY = "key-of-hotel"


class Client:
    """Sends calls to random gateways one at a time, over persistent connections."""

    def __init__(
        self,
        name: str,
        addresses: list[str],
        checker: InvariantChecker,
        rng: random.Random,
    ) -> None:
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
                await self._call(session, f"{self.name}-{next(self.call_numbers)}")
                await asyncio.sleep(self.rng.uniform(0.0, 0.05))

    async def _call(self, session: aiohttp.ClientSession, call: str) -> None:
        path = self.rng.choice(PATHS)
        self.checker.record_call(call, path.startswith(("/safe", "/resume")))
        known = self.rng.random() > 0.02
        headers = call_headers(
            call,
            API_KEY if known else "unknown",
            DEADLINE_S,
            PROMPT_TOKENS,
            EVENTS_PER_STREAM * TOKENS_PER_EVENT,
        )
        timeout_s = DEADLINE_S + 1.0
        if self.rng.random() < EARLY_TIMEOUT_PROBABILITY:
            timeout_s = EARLY_TIMEOUT_S
        url = f"http://{self.rng.choice(self.addresses)}{path}"
        method = METHODS[zlib.crc32(call.encode()) % len(METHODS)]
        body = bytearray()
        status, complete = 0, False
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
                    complete = True
        except (aiohttp.ClientError, OSError, TimeoutError):
            # The gateway was lost or this client timed out. The part of the
            # response that was received is still checked.
            self.checker.status_counts["lost"] += 1
        self._check_response(call, path, status, bytes(body), complete)

    def _check_response(
        self, call: str, path: str, status: int, body: bytes, complete: bool
    ) -> None:
        events = 0
        if status == 200 and path.startswith(("/resume", "/stream")):
            events = self.checker.check_events(call, body, EVENTS_PER_STREAM, complete)
        elif status == 200 and complete:
            self.checker.check_body(call, body)
        if status:
            self.checker.record_status(call, status)
        self.checker.record_delivery(call, PROMPT_TOKENS, events)
