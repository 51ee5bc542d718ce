"""Tests that one request inside the limits is served, whatever its form."""

import asyncio

import pytest

from verbenagrade.platform.tests.conftest import API_KEY
from verbenagrade.platform.tests.crowds import requests
from verbenagrade.platform.tests.crowds.gateway import CALL_TIMEOUT_S, LIMITS
from verbenagrade.platform.tests.endpoint_standin import plain

HEAD_BYTES = LIMITS["max_header_bytes"]
BODY_BYTES = LIMITS["max_body_bytes"]
CALLS_AHEAD = 40


def padded_head(fields: int) -> bytes:
    """Returns a head of just the limit, with that many more fields of one size."""
    bare = requests.head("Content-Length: 0")
    missing = HEAD_BYTES - len(bare)
    size = missing // fields
    lines = [f"{'x' if size > 8 else 'a'}:{'y' * (size - 4)}"] * (fields - 1)
    rest = missing - size * (fields - 1)
    lines.append(f"x:{'y' * (rest - 4)}")
    return requests.head("Content-Length: 0", *lines)


def chunked(body: bytes, size: int) -> bytes:
    parts = (body[start : start + size] for start in range(0, len(body), size))
    framed = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return requests.head("Transfer-Encoding: chunked") + framed + b"0\r\n\r\n"


FORMS = {
    "head of the limit in one field": lambda: padded_head(1),
    "head of the limit in many fields": lambda: padded_head(100),
    "head of the limit in the smallest fields": lambda: padded_head(
        (HEAD_BYTES - 300) // 5
    ),
    "body of the limit with a length": lambda: (
        requests.head(f"Content-Length: {BODY_BYTES}") + b"x" * BODY_BYTES
    ),
    "body of the limit in one chunk": lambda: chunked(b"x" * BODY_BYTES, BODY_BYTES),
    "body of the limit in chunks of 1000 bytes": lambda: chunked(
        b"x" * BODY_BYTES, 1_000
    ),
    "body of the limit in chunks of a byte": lambda: chunked(b"x" * BODY_BYTES, 1),
    "empty lines first": lambda: b"\r\n" * 20 + requests.head("Content-Length: 0"),
    "trailers": lambda: (
        requests.head("Transfer-Encoding: chunked") + b"1\r\nx\r\n0\r\nExtra: y\r\n\r\n"
    ),
    "chunk extensions": lambda: (
        requests.head("Transfer-Encoding: chunked") + b"1;name=value\r\nx\r\n0\r\n\r\n"
    ),
    "Expect": lambda: requests.head("Expect: 100-continue", "Content-Length: 1") + b"x",
    "head in lower case": lambda: requests.head("content-length: 1") + b"x",
}


async def read_status(reader) -> int:
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    length = head.lower().partition("content-length:")[2].split("\r\n")[0]
    await reader.readexactly(int(length))
    return int(head.split(" ")[1])


async def exchange(gateway, request: bytes, responses=1, piece=None) -> list[int]:
    """Sends a request, in pieces of that size, and returns the statuses."""
    reader, writer = await asyncio.open_connection(*gateway.address())
    size = piece or len(request)

    async def send():
        for start in range(0, len(request), size):
            writer.write(request[start : start + size])
            await writer.drain()

    async with asyncio.timeout(CALL_TIMEOUT_S):
        sending = asyncio.create_task(send())
        statuses = [await read_status(reader) for _ in range(responses)]
        await sending
    writer.close()
    return statuses


@pytest.mark.parametrize("form", FORMS)
async def test_request_inside_the_limits_is_served(gateway, form):
    await gateway.start(plain())
    assert await exchange(gateway, FORMS[form]()) == [200]


@pytest.mark.parametrize(
    "form", ["head of the limit in one field", "head of the limit in many fields"]
)
async def test_head_that_arrives_in_small_pieces_is_served(gateway, form):
    await gateway.start(plain())
    assert await exchange(gateway, FORMS[form](), piece=100) == [200]


@pytest.mark.parametrize("body_bytes", [0, 1, 50_000])
async def test_calls_sent_ahead_are_served_in_order(gateway, body_bytes):
    await gateway.start(plain())
    ahead = b"".join(requests.sent_ahead(CALLS_AHEAD, body_bytes))
    assert await exchange(gateway, ahead, CALLS_AHEAD) == [200] * CALLS_AHEAD


# Guards against a parser that counts a call once more than it is taken, and stops.
async def test_calls_sent_ahead_after_many_slow_bodies_are_served(gateway):
    await gateway.start(plain())
    reader, writer = await asyncio.open_connection(*gateway.address())
    async with asyncio.timeout(CALL_TIMEOUT_S):
        for _ in range(CALLS_AHEAD):
            writer.write(requests.head("Content-Length: 2") + b"x")
            await asyncio.sleep(0.02)
            writer.write(b"y")
            assert await read_status(reader) == 200
        writer.write(b"".join(requests.sent_ahead(CALLS_AHEAD, 1)))
        statuses = [await read_status(reader) for _ in range(CALLS_AHEAD)]
    assert statuses == [200] * CALLS_AHEAD
    writer.close()


async def test_response_that_is_read_slowly_arrives_whole(gateway):
    body = b"x" * 4_000_000
    await gateway.start(plain(body))
    reader, writer = await asyncio.open_connection(*gateway.address(), limit=65_536)
    writer.write(requests.head("Content-Length: 0", "Connection: close"))
    received = 0
    async with asyncio.timeout(CALL_TIMEOUT_S):
        await reader.readuntil(b"\r\n\r\n")
        while data := await reader.read(65_536):
            received += len(data)
            await asyncio.sleep(0.01)
    assert received >= len(body)
    writer.close()


async def test_refused_call_leaves_its_connection_for_the_next_one(gateway):
    await gateway.start(plain())
    refused = b"".join(requests.sent_ahead(1, 100, key="unknown"))
    served = b"".join(requests.sent_ahead(1, 100, key=API_KEY))
    assert await exchange(gateway, refused + served, 2) == [401, 200]
