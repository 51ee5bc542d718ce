"""Endpoints of the soak test: each request is served or fails at random."""

import asyncio
import random

from soak.checks import InvariantChecker
from verbenagrade.platform.tests import endpoint_standin as standin

__all__ = ["EVENTS_PER_STREAM", "EVENT_INTERVAL_S", "event_text", "random_behaviour"]

EVENTS_PER_STREAM = 12
EVENT_INTERVAL_S = 0.02
SERVICE_TIME_S = 0.02

BEHAVIOUR_WEIGHTS = (
    ("fine", 85),
    ("refuse", 4),
    ("fail", 4),
    ("break", 4),
    ("silent", 1),
    ("half", 2),
)


def random_behaviour(
    rng: random.Random,
    checker: InvariantChecker,
    faults_enabled: list[bool],
    version: str,
    behaviour_weights: tuple[tuple[str, int], ...] = BEHAVIOUR_WEIGHTS,
):
    """Returns a request handler that picks the behaviour for each request.

    ``version`` is that of the endpoint's software, which each event tells. The single
    element of ``faults_enabled`` is read at each request; while it is false, every
    request is served. Otherwise ``behaviour_weights`` has the kinds and their weights.
    """

    async def behave(request, writer) -> None:
        """Serves a request, or fails it in one of several ways."""
        call = request.headers["request-id"]
        kinds, weights = zip(*behaviour_weights, strict=True)
        kind = rng.choices(kinds, weights)[0] if faults_enabled[0] else "fine"
        if kind == "refuse":
            await standin.refusal()(request, writer)
            return
        checker.record_run(call, request.headers.get("tenant", ""))
        if kind == "silent":
            await asyncio.sleep(60)
        if kind == "break":
            await standin.reset()(request, writer)
        elif kind == "fail":
            await standin.plain(b"", "500 Internal Server Error")(request, writer)
        elif "/stream" in request.path or "/resume" in request.path:
            last_event = rng.randrange(EVENTS_PER_STREAM) if kind == "half" else None
            await _stream(call, version, last_event)(request, writer)
        else:
            await asyncio.sleep(SERVICE_TIME_S)
            await standin.plain(f"response to {call}".encode())(request, writer)

    return behave


def _stream(call: str, version: str, last_event: int | None):
    """Streams all events, or breaks off inside the event after ``last_event``."""
    return standin.stream(
        EVENTS_PER_STREAM,
        cut=last_event,
        half=last_event is not None,
        pause=EVENT_INTERVAL_S,
        text=lambda number: event_text(call, version, number),
    )


def event_text(call: str, version: str, number: int) -> bytes:
    """Returns an event of the stream of a call."""
    return f"id: {number}\ndata: {call} {version}\n\n".encode()
