"""Stand-in for an endpoint, which can also violate HTTP.

A handler is a coroutine function that takes the parsed request and the stream writer,
and writes the bytes of the response. Each request is served by the next of
``handlers``; the last one serves all further requests. The functions of this module
return handlers.
"""

import asyncio
import socket
import struct
from dataclasses import dataclass, field

SEAL = "3e1b.07.seal"


@dataclass(frozen=True)
class ReceivedRequest:
    """A request; ``raw`` are its bytes."""

    method: str
    path: str
    headers: dict
    body: bytes
    raw: bytes = b""


@dataclass
class EndpointStandIn:
    """An endpoint that records the requests that it received.

    ``early_disconnects`` counts the requests whose connection was closed by the other
    side before the handler had finished, ``open_requests`` those that are handled now.
    """

    name: str
    handlers: list = field(default_factory=list)
    requests: list = field(default_factory=list)
    early_disconnects: int = 0
    open_requests: int = 0
    address: str = ""
    server: asyncio.Server | None = None
    software_version: str = "v1"

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        self.server.close()

    def entry(self, service: str, **changes) -> dict:
        return {
            "service": service,
            "address": self.address,
            "zone": "muscat-a",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1000,
            "version": self.software_version,
            **changes,
        }

    async def serve(self, reader, writer):
        self.open_requests += 1
        try:
            request = await read_request(reader)
            self.requests.append(request)
            handle = self.handlers[0]
            if len(self.handlers) > 1:
                self.handlers.pop(0)
            handler_task = asyncio.create_task(handle(request, writer))
            disconnect_task = asyncio.create_task(reader.read(1))
            await asyncio.wait(
                {handler_task, disconnect_task}, return_when=asyncio.FIRST_COMPLETED
            )
            if not handler_task.done():
                self.early_disconnects += 1
            handler_task.cancel()
            disconnect_task.cancel()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open_requests -= 1
            writer.close()


async def read_request(reader) -> ReceivedRequest:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode().strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    method, path, _ = first.split(" ")
    return ReceivedRequest(method, path, headers, body, head + body)


def response_head(request, status="200 OK", **headers) -> bytes:
    return head_for_call(request.headers["request-id"], status, **headers)


def head_for_call(call, status="200 OK", **headers) -> bytes:
    lines = [f"HTTP/1.1 {status}", f"Request-Id: {call}"]
    if "seal" not in headers:
        lines.append(f"Server-Seal: {SEAL}")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def plain(body=b"done", status="200 OK", limit_per_s=None, **headers):
    """Sends a complete response with further headers, and a limit if there is one."""
    if limit_per_s is not None:
        headers["Server_Limit"] = limit_per_s

    async def handle(request, writer):
        head = response_head(request, status, Content_Length=len(body), **headers)
        writer.write(head + body)
        await writer.drain()

    return handle


def refusal(status="503 Service Unavailable", **headers):
    """Sends a response which states that the request was not executed."""

    async def handle(request, writer):
        head = response_head(
            request, status, Content_Length=0, Not_Executed=1, **headers
        )
        writer.write(head)
        await writer.drain()

    return handle


def delayed(seconds, handler):
    """Waits before it handles a request as ``handler`` does."""

    async def handle(request, writer):
        await asyncio.sleep(seconds)
        await handler(request, writer)

    return handle


def silent():
    """Sends nothing until the connection is closed or 60 s have passed."""

    async def handle(_request, _writer):
        await asyncio.sleep(60)

    return handle


def reset(after=b""):
    """Resets the connection, after a response head and the bytes ``after`` if any."""

    async def handle(request, writer):
        if after:
            writer.write(response_head(request) + after)
            await writer.drain()
            await asyncio.sleep(0.05)
        raw = writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    return handle


def close_delimited(body, chunked=False):
    """Sends a response without a length, which ends with the connection.

    With ``chunked``, its head says that the body is in chunks.
    """
    headers = {"Transfer_Encoding": "chunked"} if chunked else {}

    async def handle(request, writer):
        writer.write(response_head(request, **headers) + body)
        await writer.drain()

    return handle


def encode_event(number: int) -> bytes:
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def stream(last, first=1, cut=None, half=False, pause=0.0, text=encode_event, stall=0):
    """Sends the events ``first`` to ``last``, with ``pause`` seconds after each one.

    A request with ``Last-Event-Id`` gets the events after that one. With ``cut``, the
    connection is closed after that event, or with ``half`` within the next one. With
    ``stall``, nothing more is sent after that event.
    """

    async def handle(request, writer):
        start = int(request.headers.get("last-event-id", first - 1)) + 1
        chunked = {"Transfer_Encoding": "chunked", "Content_Type": "text/event-stream"}
        writer.write(response_head(request, **chunked))
        for number in range(start, last + 1):
            if cut is not None and number > cut:
                if half:
                    _write_chunk(writer, text(number)[:7])
                await writer.drain()
                return
            _write_chunk(writer, text(number))
            await writer.drain()
            await asyncio.sleep(60 if number == stall else pause)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    return handle


def trickling(events, interval_s=0.02):
    """Sends so many events, and then a byte of the next one now and then, for ever."""

    async def handle(request, writer):
        await stream(events + 1, cut=events)(request, writer)
        writer.write(b"2\r\nid\r\n")
        while not writer.is_closing():
            writer.write(b"1\r\n:\r\n")
            await writer.drain()
            await asyncio.sleep(interval_s)

    return handle


def _write_chunk(writer, data: bytes) -> None:
    writer.write(b"%x\r\n%s\r\n" % (len(data), data))


def endless(start=b"", repeated=b"x" * 4096, head=True, chunked=False):
    """Sends ``start``, and then ``repeated`` until the connection is closed.

    They follow a response head if ``head`` is set, and are chunks if ``chunked`` is.
    """

    async def handle(request, writer):
        if head:
            encoding = {"Transfer_Encoding": "chunked"} if chunked else {}
            writer.write(response_head(request, **encoding))
        writer.write(start)
        data = b"%x\r\n%s\r\n" % (len(repeated), repeated) if chunked else repeated
        while not writer.is_closing():
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(0)

    return handle
