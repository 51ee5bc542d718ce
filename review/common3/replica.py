"""A replica that keeps to the protocol; requests tell it how to answer them."""

import asyncio
from dataclasses import dataclass, field
from time import monotonic

SEAL = "3e1b.07.5a2"


@dataclass
class Run:
    """A request that a replica has begun to work on."""

    call: str
    tenant: str
    path: str
    headers: dict[str, str]
    replica: str
    began_at: float = field(default_factory=monotonic)
    events: int = 0


class Replica:
    """A replica, whose runs stand in ``runs``.

    ``X-Events`` is the number of events of a stream, ``X-Pause-Ms`` the pause after
    each, and ``X-Begin-Ms`` the time before the first. Without ``X-Events`` the answer
    is plain.
    """

    def __init__(self, name: str, service: str, zone: str, version: str = "v1") -> None:
        self.name, self.service, self.zone, self.version = name, service, zone, version
        self.address = ""
        self.born = 1_000
        self.runs: list[Run] = []
        self.server: asyncio.Server | None = None
        self.connections: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        """Listens."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def stop(self) -> None:
        """Ends as a process does: the listener and all connections close."""
        self.server.close()
        for writer in tuple(self.connections):
            writer.close()

    def entry(self, **changes: object) -> dict[str, object]:
        """Returns the entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 64,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self.born,
            **changes,
        }

    async def _serve(self, reader, writer) -> None:
        self.connections.add(writer)
        try:
            await self._answer(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, reader, writer) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines if ": " in line)
        headers = {name.lower(): value for name, value in headers.items()}
        await reader.readexactly(int(headers.get("content-length", 0)))
        _, path, _ = first.split(" ")
        call = headers.get("request-id", "")
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(_head(call, "421 Misdirected Request", 0, "Not-Executed: 1"))
            return
        run = Run(call, headers.get("tenant", ""), path, headers, self.name)
        self.runs.append(run)
        gone = asyncio.create_task(reader.read(1))
        work = asyncio.create_task(self._work(run, writer))
        await asyncio.wait({gone, work}, return_when=asyncio.FIRST_COMPLETED)
        for task in (gone, work):
            task.cancel()
        await asyncio.gather(gone, work, return_exceptions=True)

    async def _work(self, run: Run, writer) -> None:
        headers = run.headers
        await asyncio.sleep(float(headers.get("x-begin-ms", 5)) / 1000)
        if "x-events" not in headers:
            writer.write(_head(run.call, "200 OK", 4) + b"done")
            await writer.drain()
            return
        writer.write(_stream_head(run.call))
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, int(headers["x-events"]) + 1):
            text = b"id: %d\ndata: %s\n\n" % (number, self.version.encode())
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
            run.events += 1
            await asyncio.sleep(float(headers.get("x-pause-ms", 0)) / 1000)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def _head(call: str, status: str, length: int, more: str = "") -> bytes:
    lines = [f"HTTP/1.1 {status}", f"Request-Id: {call}", f"Server-Seal: {SEAL}"]
    lines += [f"Content-Length: {length}", *filter(None, [more])]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _stream_head(call: str) -> bytes:
    lines = ["HTTP/1.1 200 OK", f"Request-Id: {call}", f"Server-Seal: {SEAL}"]
    lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()
