"""Endpoints whose streams end in all ways, and processes of endpoints that end.

A stream is framed by its length, by chunks, or by nothing but its connection. It is
whole, or breaks off before its first event, after an event or inside one. An endpoint
that lives and ends an unframed response after an event has sent all of it. Where it
would break off like that, its process ends: it stops listening and closes all its
connections.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass

from soak.checks import Violation
from soak.clients import Client, ClientOptions
from soak.endpoints import EVENT_INTERVAL_S, EVENTS_PER_STREAM, event_text
from soak.environment import SoakEnvironment
from soak.faults import inject_faults
from soak.proxy import reset_connection
from verbenagrade.platform.tests.endpoint_standin import head_for_call
from verbenagrade.state.response_end import Framing

__all__ = ["EndingEndpoints", "StreamEnd", "choose_end", "play_ends"]

CLIENTS = 10
RESUMPTIONS = 3
WHOLE, PAUSED = "whole", "whole with a pause"
PROCESS_ENDS, FIN, RESET, SILENT = "process ends", "fin", "reset", "silent"
NOISE, SECOND_HEAD, ERROR = "noise", "second head", "error"
END_WEIGHTS = (
    (WHOLE, 66),
    (PAUSED, 3),
    (FIN, 8),
    (RESET, 7),
    (SILENT, 2),
    (NOISE, 5),
    (SECOND_HEAD, 5),
    (ERROR, 4),
)
NOISES = (b"\x00\x17\xff no event", b"internal error\n\n", b"internal error\n")
HEADS = (
    b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 3\r\n\r\nbad",
    b"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nerror\n\n",
)
ERROR_TEXT = b"the endpoint has failed\n\n"
PAUSE_S = 1.0
SILENCE_S = 60.0
RETURN_S = (0.3, 1.5)
PROCESS_END_INTERVAL_S = (2.0, 6.0)
FIRST_BORN = 20_000


@dataclass(frozen=True, slots=True)
class StreamEnd:
    """How a stream is framed and ends.

    ``events`` events are sent before it breaks off, and ``cut_bytes`` of the next one.
    ``in_frame`` tells whether noise or a second head are sent as a part of the body. An
    error is sent instead of all events.
    """

    framing: Framing
    kind: str
    events: int
    cut_bytes: int
    in_frame: bool

    @property
    def is_whole(self) -> bool:
        """Whether all events are sent and the response ends after them."""
        return self.kind in (WHOLE, PAUSED)

    @property
    def noise(self) -> bytes:
        """What is sent after the events and is none, empty for most kinds."""
        choices = {NOISE: NOISES, SECOND_HEAD: HEADS}.get(self.kind, (b"",))
        return choices[self.events % len(choices)]

    def __str__(self) -> str:
        where = f" after {self.events} events" if self.kind != WHOLE else ""
        inside = f" and {self.cut_bytes} bytes" if self.cut_bytes else ""
        return f"framed by {self.framing}, {self.kind}{where}{inside}"


def choose_end(rng: random.Random, events: int) -> StreamEnd:
    """Returns the end of a stream of ``events`` events, which may be none."""
    kinds, weights = zip(*END_WEIGHTS, strict=True)
    kind = rng.choices(kinds, weights)[0]
    framing = rng.choice(tuple(Framing))
    place = rng.choice(("before", "after", "inside"))
    sent = 0 if place == "before" or not events else rng.randrange(events)
    sent = min(1, events) if place == "after" and not sent else sent
    cut_bytes = rng.randrange(1, 8) if place == "inside" else 0
    in_frame = rng.random() < 0.5
    if framing is Framing.CONNECTION and kind == FIN and sent and not cut_bytes:
        kind = PROCESS_ENDS
    if kind in (WHOLE, PAUSED, NOISE, SECOND_HEAD, ERROR):
        cut_bytes = 0
    if kind == ERROR:
        sent = 0
    return StreamEnd(framing, kind, sent, cut_bytes, in_frame)


class EndingEndpoints:
    """Lets streams of all endpoints end in all ways, and processes of endpoints end.

    ``process_ends`` counts the latter. ``open_calls`` has the connections of each
    endpoint and their calls, and ``first_events`` the number of the first event that
    each call asked for. A process starts again at another port after some time.
    """

    def __init__(self, environment: SoakEnvironment, rng: random.Random) -> None:
        self.environment = environment
        self.rng = rng
        self.process_ends = 0
        self.open_calls: list[dict[asyncio.StreamWriter, str]] = []
        self.first_events: dict[str, int] = {}
        self.returns: set[asyncio.Task[None]] = set()
        for number, endpoint in enumerate(environment.endpoints):
            self.open_calls.append({})
            endpoint.handlers = [self._handler(number)]

    async def end_processes(self, stop: asyncio.Event) -> None:
        """Ends processes at random times until ``stop`` is set."""
        while not stop.is_set():
            await asyncio.sleep(self.rng.uniform(*PROCESS_END_INTERVAL_S))
            self.end_process(self.rng.randrange(len(self.open_calls)))

    def end_process(self, number: int) -> None:
        """Ends the process of an endpoint, if it lives."""
        proxy = self.environment.endpoint_proxies[number]
        if not proxy.server.is_serving():
            return
        self.process_ends += 1
        proxy.stop_listening()
        checker = self.environment.checker
        name = self.environment.endpoints[number].name
        for writer, call in self.open_calls[number].items():
            checker.stream_ends[call].append(f"process of {name} ends")
            writer.close()
        checker.forget_whole_streams(name)
        if self.rng.random() < 0.5:
            self.environment.store.remove("servers", name)
        self.returns.add(asyncio.create_task(self._bring_back(number)))

    async def _bring_back(self, number: int) -> None:
        await asyncio.sleep(self.rng.uniform(*RETURN_S))
        born = FIRST_BORN + self.process_ends
        await self.environment.bring_back_endpoint(number, born)

    def _handler(self, number: int):
        endpoint = self.environment.endpoints[number]

        async def handle(request, writer) -> None:
            """Streams a response that ends in some way."""
            if not self.environment.endpoint_proxies[number].server.is_serving():
                return
            call = request.headers["request-id"]
            checker = self.environment.checker
            checker.record_run(call, request.headers.get("tenant", ""))
            first = int(request.headers.get("last-event-id", 0)) + 1
            texts = [
                event_text(call, endpoint.software_version, event)
                for event in range(first, EVENTS_PER_STREAM + 1)
            ]
            end = choose_end(self.rng, len(texts))
            checker.stream_ends[call].append(f"{endpoint.name} {end}")
            if end.events:
                checker.noise[call] = end.noise
            went_on = first > self.first_events.setdefault(call, first)
            self.open_calls[number][writer] = call
            try:
                await _send_events(writer, call, texts, end, went_on)
                if writer.is_closing():
                    return
                if end.is_whole:
                    checker.whole_streams[call] = endpoint.name
                elif end.kind == PROCESS_ENDS:
                    self.end_process(number)
                else:
                    await _break_off(writer, texts, end)
            finally:
                del self.open_calls[number][writer]

        return handle


async def _send_events(
    writer: asyncio.StreamWriter,
    call: str,
    texts: list[bytes],
    end: StreamEnd,
    went_on: bool,
) -> None:
    """Sends the head and events of a stream, up to the place where it breaks off.

    An error has its own status, unless a stream that ``went_on`` here gets its text.
    """
    error = end.kind == ERROR and not (went_on and end.in_frame)
    status = "500 Internal Server Error" if error else "200 OK"
    writer.write(_head(call, status, end.framing, sum(map(len, texts))))
    sent = texts if end.is_whole else texts[: end.events]
    for number, text in enumerate(sent):
        if end.kind == PAUSED and number == end.events:
            await asyncio.sleep(PAUSE_S)
        writer.write(_frame(text, end.framing))
        await writer.drain()
        await asyncio.sleep(EVENT_INTERVAL_S)
        if writer.is_closing():
            return
    if end.is_whole and end.framing is Framing.CHUNKS:
        writer.write(b"0\r\n\r\n")
    await writer.drain()


async def _break_off(
    writer: asyncio.StreamWriter, texts: list[bytes], end: StreamEnd
) -> None:
    """Sends what comes after the events of a broken stream, and ends it."""
    if end.kind == ERROR:
        writer.write(_frame(ERROR_TEXT, end.framing))
        if end.framing is Framing.CHUNKS:
            writer.write(b"0\r\n\r\n")
    elif end.cut_bytes and end.events < len(texts):
        writer.write(_frame(texts[end.events][: end.cut_bytes], end.framing))
    if end.kind in (NOISE, SECOND_HEAD):
        writer.write(_frame(end.noise, end.framing) if end.in_frame else end.noise)
    await writer.drain()
    if end.kind == SILENT:
        await asyncio.sleep(SILENCE_S)
    elif end.kind == RESET:
        await asyncio.sleep(EVENT_INTERVAL_S)
        reset_connection(writer)


def _head(call: str, status: str, framing: Framing, length: int) -> bytes:
    headers = {"Content_Type": "text/event-stream"}
    if framing is Framing.LENGTH:
        headers["Content_Length"] = str(length)
    elif framing is Framing.CHUNKS:
        headers["Transfer_Encoding"] = "chunked"
    else:
        headers["Connection"] = "close"
    return head_for_call(call, status, **headers)


def _frame(data: bytes, framing: Framing) -> bytes:
    if framing is Framing.CHUNKS:
        return b"%x\r\n%s\r\n" % (len(data), data)
    return data


async def play_ends(
    environment: SoakEnvironment, seed: int, seconds: float
) -> tuple[Counter[str], int, list[Violation]]:
    """Sends calls for streams; with odd seeds, gateways and the store suffer faults.

    Returns the statuses of the calls, the number of runs, and what was violated.
    """
    checker, undisturbed = environment.checker, seed % 2 == 0
    await environment.add_endpoint("v2", environment.faults_enabled)
    endpoints = EndingEndpoints(environment, random.Random(seed * 100))
    paths = ("/resume/x", "/stream/x", "/resume/x")
    options = ClientOptions(paths, RESUMPTIONS, True, undisturbed)
    stop = asyncio.Event()
    async with asyncio.TaskGroup() as group:
        for n in range(CLIENTS):
            rng = random.Random(seed * 100 + 10 + n)
            name = f"e{seed}-{n}"
            client = Client(name, environment.addresses, checker, rng, options)
            group.create_task(client.run(stop))
        group.create_task(endpoints.end_processes(stop))
        if not undisturbed:
            rng = random.Random(seed * 100 + 1)
            group.create_task(inject_faults(environment, rng, stop))
        await asyncio.sleep(seconds)
        stop.set()
    await asyncio.gather(*endpoints.returns)
    checker.status_counts["processes ended"] = endpoints.process_ends
    return checker.status_counts, checker.run_counts.total(), checker.violations
