"""Stand-in for replicas: plain services and engines that stream events."""

import asyncio
import contextlib
import time

HEARTBEAT_S = 1.2
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
TOKENS_PER_EVENT = 7


class Request:
    """A request that a replica has read."""

    def __init__(self, method, path, headers, body):
        self.method, self.path, self.headers, self.body = method, path, headers, body
        self.id = headers.get("request-id", "")


class Replica:
    """A replica that registers itself in the store and serves one request a channel.

    ``runs`` has the ids of the requests that it began to work on. ``starts_later`` is
    set if the replica does not serve from the beginning.
    """

    def __init__(self, name, service, store, record, zone="norte-a", version="v1"):
        self.name, self.service, self.zone = name, service, zone
        self.version = version
        self.store, self.record = store, record
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs = []
        self.starts_later = False
        self.work_s = 0.02
        self.events, self.event_s = 6, 0.03
        self.server = None
        self.writers, self.work = set(), set()
        self.heartbeat = None
        self.address = ""

    async def start(self):
        """Listens on a free port and registers."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        self.heartbeat = asyncio.create_task(self._beat())

    def stop(self):
        """Ends the replica; its entry stays."""
        if self.server is not None:
            self.heartbeat.cancel()
            self.server.close()

    def leave(self):
        """Exits, after which the entry is removed; breaks off what still runs."""
        self.stop()
        for writer in tuple(self.writers):
            writer.close()
        for work in tuple(self.work):
            work.cancel()
        self.store.remove("servers", self.name)

    def register(self):
        """Writes the entry, unless the store is away."""
        if self.store.away:
            return
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 64,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        self.store.put("servers", self.name, entry)

    async def _beat(self):
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            request = await read_request(reader)
            work = asyncio.create_task(self._answer(request, writer))
            self.writers.add(writer)
            self.work.add(work)
            gone = asyncio.create_task(reader.read(1))
            await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
            work.cancel()
            gone.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await work
            self.work.discard(work)
        self.writers.discard(writer)
        writer.close()

    async def _answer(self, request, writer):
        if request.headers.get("expect-instance", self.name) != self.name:
            writer.write(head(request, "421 Misdirected Request", 0, "Not-Executed: 1"))
            await writer.drain()
            return
        self.runs.append(request.id)
        self.record.write("runs", request=request.id, replica=self.name)
        if "token-count" in request.headers:
            await self._stream(request, writer)
            return
        await asyncio.sleep(self.work_s)
        body = f"answer to {request.id}".encode()
        writer.write(head(request, "200 OK", len(body)) + body)
        await writer.drain()

    async def _stream(self, request, writer):
        first = int(request.headers.get("last-event-id") or 0) + 1
        await asyncio.sleep(self.work_s)
        chunked = ("Transfer-Encoding: chunked", "Content-Type: text/event-stream")
        writer.write(head(request, "200 OK", None, *chunked))
        for number in range(first, self.events + 1):
            event = (
                f"id: {number}\ndata: {self.version} {TOKENS_PER_EVENT}\n\n".encode()
            )
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def head(request, status, length, *lines):
    """Returns the head of an answer to a request."""
    all_lines = [f"HTTP/1.1 {status}", f"Request-Id: {request.id}", *lines]
    if status.startswith("200"):
        all_lines.append(f"Server-Seal: {SEAL}")
    if length is not None:
        all_lines.append(f"Content-Length: {length}")
    return ("\r\n".join(all_lines) + "\r\n\r\n").encode()


async def read_request(reader):
    """Reads one request with a length or chunks."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = text.strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    method, path, _ = first.split(" ")
    return Request(method, path, headers, body)
