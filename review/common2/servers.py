"""Servers of a service, which register themselves in the store and can crash."""

import asyncio
import itertools
import time
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from harness import ZONE, Deployment

__all__ = ["Handler", "Request", "Server", "end_head"]

PING_S = 1.2
"""Interval at which a server writes its entry, which lapses after three of them."""

SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"


@dataclass(frozen=True, slots=True)
class Request:
    """A request that a server received."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def call_id(self) -> str:
        """The id of the requester's attempt."""
        return self.headers.get("request-id", "")


Handler = Callable[["Server", Request, asyncio.StreamWriter], Awaitable[None]]


def end_head(request: Request, status: str, *lines: str) -> bytes:
    """Returns the head of an answer; one that was run bears the server's seal."""
    head = [f"HTTP/1.1 {status}", f"Request-Id: {request.call_id}", *lines]
    if not any(line.startswith("Not-Executed") for line in lines):
        head.append(f"Server-Seal: {SEAL}")
    return ("\r\n".join(head) + "\r\n\r\n").encode()


class Server:
    """One server, which answers by ``handle``.

    ``rejected_at`` are the times at which it turned requests away for want of room, and
    ``is_down`` is set from a crash to the next start.
    """

    names = itertools.count(1)

    def __init__(
        self, deployment: Deployment, service: str, slots: int, handle: Handler
    ) -> None:
        self.deployment = deployment
        self.service = service
        self.slots = slots
        self.handle = handle
        self.name = ""
        self.address = ""
        self.entry: dict[str, object] = {}
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.is_down = False
        self.busy = 0
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.rejected_at: deque[float] = deque()
        self.lapses: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Begins a new incarnation with a new id at a new port."""
        self.name = f"i-{next(Server.names):06x}"
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        self.busy = 0
        self.rejected_at.clear()
        self.is_down = False
        self.entry = {
            "service": self.service,
            "address": self.address,
            "zone": ZONE,
            "version": "1.4.0",
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": int(time.time() * 1000),
        }
        self.deployment.store.put("servers", self.name, self.entry)
        self.deployment.note(f"{self.name} starts")

    def crash(self) -> None:
        """Ends the incarnation without a word; its entry lapses some time later."""
        self.deployment.note(f"{self.name} crashes")
        self._end()
        lapse = asyncio.create_task(self._lapse(self.name))
        self.lapses.add(lapse)
        lapse.add_done_callback(self.lapses.discard)

    async def leave(self, after_s: float) -> None:
        """Reports that it drains, and ends some seconds later as planned."""
        entry = self.entry | {"state": "draining", "sequence": 2}
        self.deployment.store.put("servers", self.name, entry)
        self.deployment.note(f"{self.name} drains")
        await asyncio.sleep(after_s)
        self.deployment.note(f"{self.name} exits with {self.busy} requests at work")
        self.deployment.store.remove("servers", self.name)
        self._end()

    async def crash_for(self, down_s: float) -> None:
        """Crashes and starts again after a time in seconds."""
        self.crash()
        await self.start_later(down_s)

    async def start_later(self, down_s: float) -> None:
        """Starts again after a time in seconds."""
        await asyncio.sleep(down_s)
        await self.start()

    async def take_slot(self, request: Request, queue: int) -> bool:
        """Waits for a slot; returns false if ``queue`` requests wait already."""
        begins = await self._wait_for_slot(queue)
        done = "runs" if begins else "turns away"
        self.deployment.note(f"{self.name} {done} {request.call_id}")
        return begins

    async def _wait_for_slot(self, queue: int) -> bool:
        if self.busy < self.slots:
            self.busy += 1
            return True
        self.waiting = deque(turn for turn in self.waiting if not turn.done())
        if len(self.waiting) >= queue:
            return False
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        await turn
        return True

    def free_slot(self, name: str) -> None:
        """Gives a slot of an incarnation to the request that has waited for longest."""
        if name != self.name:
            return
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.busy = max(0, self.busy - 1)

    def _end(self) -> None:
        """Ends the process: nothing listens any more, and connections are reset."""
        self.is_down = True
        self.server.close()
        self.busy = 0
        for writer in tuple(self.writers):
            writer.transport.abort()
        for turn in self.waiting:
            turn.cancel()
        self.waiting.clear()

    async def _lapse(self, name: str) -> None:
        await asyncio.sleep(3 * PING_S)
        self.deployment.store.remove("servers", name)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        work: asyncio.Task[None] | None = None
        try:
            request = await _read(reader)
            if request.headers.get("expect-instance", self.name) != self.name:
                lines = ("Not-Executed: 1", "Content-Length: 0")
                writer.write(end_head(request, "421 Misdirected Request", *lines))
                return
            work = asyncio.create_task(self.handle(self, request, writer))
            closed = asyncio.create_task(reader.read(1))
            await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
            closed.cancel()
            if work.done():
                work.result()
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            if work is not None:
                work.cancel()
            self.writers.discard(writer)
            writer.close()


async def _read(reader: asyncio.StreamReader) -> Request:
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    method, path, _ = first.split(" ")
    return Request(method, path, headers, body)
