"""Tests of many responses at once that do not end, at a gateway as a process."""

import asyncio
import time

import aiohttp
import pytest

from verbenagrade.platform.tests.crowds.gateway import GatewayUnderTest
from verbenagrade.platform.tests.endpoint_standin import (
    encode_event,
    endless,
    plain,
    response_head,
)

VM_MEMORY_MB = 150
MEMORY_MB = 100
"""Memory that the process may take on such a VM."""

CALLS_AT_ONCE = 40
DEADLINE_S = 2.0
SLACK_S = 2.0
ORDINARY_CALLS = 5
FIELD_LINES = b"X: y\r\n" * 100
INTERIM = (b"HTTP/1.1 103 Early\r\nX: %s\r\n\r\n" % (b"x" * 4_000)) * 4


def endless_trailers():
    """Sends a body in chunks, and then trailers until the connection is closed."""

    async def handle(request, writer):
        writer.write(response_head(request, Transfer_Encoding="chunked"))
        await endless(b"4\r\ndone\r\n0\r\n", FIELD_LINES, head=False)(request, writer)

    return handle


ENDLESS = {
    b"status line": endless(b"HTTP/1.1 200 ", head=False),
    b"head line": endless(b"HTTP/1.1 200 OK\r\nX: ", head=False),
    b"head lines": endless(b"HTTP/1.1 200 OK\r\n", FIELD_LINES, head=False),
    b"interim responses": endless(b"", INTERIM, head=False),
    b"empty lines": endless(b"", b"\r\n" * 1_000, head=False),
    b"no protocol": endless(b"", b"\x00\xff" * 1_000, head=False),
    b"body": endless(),
    b"chunks": endless(chunked=True),
    b"trailers": endless_trailers(),
    b"event": endless(b"data: "),
    b"events": endless(repeated=encode_event(1) * 20, chunked=True),
}


async def serve(request, writer):
    """Responds as the call's body says, and to all others with a short response."""
    await ENDLESS.get(request.body, plain())(request, writer)


@pytest.fixture
async def gateway(tmp_path, parser):
    """Returns a gateway with the memory of a VM that has not started yet."""
    gateway = GatewayUnderTest(tmp_path, parser, VM_MEMORY_MB)
    yield gateway
    await gateway.stop()


async def end_of(gateway, path, name) -> int:
    """Returns the status of a call whose response does not end, 0 if it broke off."""
    deadline_ms = str(int(DEADLINE_S * 1000))
    try:
        return await gateway.call_once(path, name, **{"Deadline-Ms": deadline_ms})
    except aiohttp.ClientError:
        return 0


# Guards against a process that keeps all that an endpoint sends, and callers who wait
# for those of others.
async def test_responses_without_end_leave_memory_and_time_for_others(gateway):
    await gateway.start(serve)
    gateway.memory_mb = MEMORY_MB
    for name in ENDLESS:
        for path in ("/once/x", "/stream/x"):
            begun_at = time.monotonic()
            ends = asyncio.gather(
                *(end_of(gateway, path, name) for _ in range(CALLS_AT_ONCE))
            )
            for _ in range(ORDINARY_CALLS):
                assert await gateway.call() == 200
            statuses = set(await ends)
            assert statuses <= {0, 502, 503, 504}, (name, path, statuses)
            lasted_s = time.monotonic() - begun_at
            assert lasted_s <= DEADLINE_S + SLACK_S, (name, path, lasted_s)
            gateway.assert_within_limits()
