"""A client that sends one request on a connection of its own."""

import asyncio
from dataclasses import dataclass, field
from time import monotonic

BOUND_S = 20.0
exchanges: list[tuple[float, str, dict[str, object]]] = []
"""When requests were sent and answered, and what is to be recorded of it."""


@dataclass
class Answer:
    """What a client got: ``status`` is 0 without a head.

    ``complete`` tells whether the answer came to its end.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False

    @property
    def events(self) -> list[bytes]:
        """The complete events of a stream."""
        return self.body.split(b"\n\n")[:-1]


async def call(
    address: str, method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> Answer:
    """Sends a request to ``IP:PORT`` and reads the answer to its end."""
    answer = Answer()
    request_id = headers.get("Request-Id", "")
    sent = {"request": request_id, "to": address, "target": target}
    exchanges.append((monotonic(), "sent", sent))
    try:
        async with asyncio.timeout(BOUND_S):
            host, _, port = address.partition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                lines = [f"{method} {target} HTTP/1.1"]
                lines += [f"{name}: {value}" for name, value in headers.items()]
                if method != "GET":
                    lines.append(f"Content-Length: {len(body)}")
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                await _read(reader, answer)
            finally:
                writer.close()
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        pass
    got = {"request": request_id, "status": answer.status, "complete": answer.complete}
    exchanges.append((monotonic(), "answered", {**got, "bytes": len(answer.body)}))
    return answer


async def _read(reader: asyncio.StreamReader, answer: Answer) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    answer.headers = {name.lower(): value.strip() for name, _, value in pairs}
    answer.status = int(first.split(" ")[1])
    if answer.headers.get("transfer-encoding", "") == "chunked":
        while size := int(await reader.readline(), 16):
            data = await reader.readexactly(size + 2)
            answer.body += data[:-2]
        await reader.readexactly(2)
    else:
        length = int(answer.headers.get("content-length", 0))
        answer.body = await reader.readexactly(length)
    answer.complete = True
