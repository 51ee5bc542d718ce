"""Bytes of requests, whole and endless, of one call to a gateway."""

import itertools
from collections.abc import Iterator

from verbenagrade.platform.tests.conftest import API_KEY

SENT_BYTES = 8_000_000
"""What one client sends at most."""

PIECE_BYTES = 65_536
_numbers = itertools.count(1)


def head(
    *lines: str, path: str = "/safe/x", key: str = API_KEY, method: str = "POST"
) -> bytes:
    """Returns the head of a call, with further lines."""
    kind = "retryable" if path.startswith("/safe/") else "once"
    own = (
        f"{method} {path} HTTP/1.1",
        "Host: site.example",
        f"Request-Id: {kind}-{next(_numbers)}",
        "Deadline-Ms: 60000",
        f"Authorization: Bearer {key}",
    )
    return ("\r\n".join((*own, *lines)) + "\r\n\r\n").encode()


def repeated(unit: bytes, total_bytes: int = SENT_BYTES) -> Iterator[bytes]:
    """Yields a unit again and again, in pieces, up to a number of bytes."""
    piece = unit * max(1, PIECE_BYTES // len(unit))
    for _ in range(max(1, total_bytes // len(piece))):
        yield piece


def tiny_chunks(unit: bytes = b"1\r\nx\r\n", **changes) -> Iterator[bytes]:
    """Yields a body in chunks, which does not end."""
    yield head("Transfer-Encoding: chunked", **changes)
    yield from repeated(unit)


def large_chunks(body_bytes: int, **changes) -> Iterator[bytes]:
    """Yields a body in one chunk that stops a byte short of its end."""
    yield head("Transfer-Encoding: chunked", **changes)
    yield b"%x\r\n" % body_bytes
    yield from repeated(b"x", body_bytes - PIECE_BYTES)
    yield b"x" * (PIECE_BYTES - 1)


def short_body(body_bytes: int, **changes) -> Iterator[bytes]:
    """Yields a body with a length that stops a byte short of its end."""
    yield head(f"Content-Length: {body_bytes}", **changes)
    yield from repeated(b"x", body_bytes - PIECE_BYTES)
    yield b"x" * (PIECE_BYTES - 1)


def sent_ahead(count: int, body_bytes: int, **changes) -> Iterator[bytes]:
    """Yields whole calls, one after the other."""
    for _ in range(count):
        yield head(f"Content-Length: {body_bytes}", **changes) + b"x" * body_bytes


def endless_head(line: bytes) -> Iterator[bytes]:
    """Yields a head of so many lines that it does not end."""
    yield head()[:-2]
    yield from repeated(line)


def endless_line() -> Iterator[bytes]:
    """Yields a request line without end."""
    yield b"POST /safe/"
    yield from repeated(b"x")


def trailers(line: bytes = b"Extra: " + b"y" * 1_000 + b"\r\n") -> Iterator[bytes]:
    """Yields a body in chunks, after which trailers do not end."""
    yield head("Transfer-Encoding: chunked") + b"1\r\nx\r\n0\r\n"
    yield from repeated(line)


def partial_head(fields: int) -> Iterator[bytes]:
    """Yields a head that stops short of its end."""
    yield head()[:-2] + b"a:b\r\n" * fields


def after_upgrade() -> Iterator[bytes]:
    """Yields a call that asks for another protocol, and bytes without end."""
    yield head("Connection: Upgrade", "Upgrade: websocket", "Content-Length: 0")
    yield from repeated(b"x")


def after_connect() -> Iterator[bytes]:
    """Yields a request for a tunnel, and bytes without end."""
    yield b"CONNECT site.example:80 HTTP/1.1\r\nHost: site.example\r\n\r\n"
    yield from repeated(b"x")
