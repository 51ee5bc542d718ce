"""Tests of endpoints that send bytes until their connection is closed."""

import asyncio
import time
import tracemalloc

import aiohttp
import pytest

from verbenagrade.platform.tests.conftest import configuration_document, route
from verbenagrade.platform.tests.endpoint_standin import (
    close_delimited,
    encode_event,
    endless,
    plain,
    stream,
)

TIMEOUT_MS = 800
SLACK_S = 0.7
MAX_MEMORY_BYTES = 16_000_000

HEADS = {
    "header line": endless(b"HTTP/1.1 200 OK\r\nX: ", head=False),
    "header lines": endless(b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 100, head=False),
    "status line": endless(b"HTTP/1.1 200 ", head=False),
    "interim responses": endless(b"", b"HTTP/1.1 103 Early\r\n\r\n" * 50, head=False),
    "empty lines": endless(b"", b"\r\n" * 1000, head=False),
    "no protocol": endless(b"", b"\x00\xff" * 1000, head=False),
}
BODIES = {
    "body without a length": endless(),
    "chunks": endless(chunked=True),
    "chunk extension": endless(b"5;", head=True, chunked=False),
    "small chunks": endless(repeated=b"xy", chunked=True),
}
STREAMS = {
    "event": endless(b"data: "),
    "chunked event": endless(repeated=b"data: x", chunked=True),
    "events": endless(repeated=encode_event(1) * 20, chunked=True),
    "events without a length": endless(repeated=encode_event(1) * 20),
}


def document():
    changes = {"timeout_ms": TIMEOUT_MS, "max_attempts": 1}
    return configuration_document(
        routes=[
            route("/safe/", "safe", **changes),
            route("/once/", "unsafe", **changes),
            route("/stream/", "streaming", stream_resume=False, **changes),
            route("/resume/", "streaming", stream_resume=True, **changes),
        ]
    )


async def play(testbed, path, handler):
    """Calls an endpoint; returns the status, whether the response was whole, and s."""
    endpoint = await testbed.add_endpoint(handler)
    await testbed.start(document())
    await testbed.wait_until_ready()
    tracemalloc.start()
    started_at = time.monotonic()
    whole = True
    try:
        async with testbed.open(path) as response:
            status = response.status
            while await response.content.readany():
                pass
    except aiohttp.ClientError:
        whole = False
        status = 0
    duration_s = time.monotonic() - started_at
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert duration_s <= TIMEOUT_MS / 1000 + SLACK_S
    assert peak_bytes <= MAX_MEMORY_BYTES
    await testbed.wait_until(lambda: endpoint.open_requests == 0)
    await testbed.wait_until(lambda: testbed.core.in_flight == 0)
    assert len(endpoint.requests) == 1
    return status, whole


# Guards against a gateway that reads a response head without end.
@pytest.mark.parametrize("name", HEADS)
@pytest.mark.parametrize("path", ["/safe/", "/once/", "/resume/"])
async def test_head_without_end_is_a_failure_that_may_have_run(testbed, path, name):
    status, _ = await play(testbed, path, HEADS[name])
    assert status in (502, 504)


# Guards against a gateway that reads or passes on a body without end for ever.
@pytest.mark.parametrize("name", BODIES)
@pytest.mark.parametrize("path", ["/safe/", "/once/"])
async def test_body_without_end_never_looks_complete(testbed, path, name):
    status, whole = await play(testbed, path, BODIES[name])
    assert status in (502, 504) or not whole


# Guards against a gateway that keeps an event without end, or streams for ever.
@pytest.mark.parametrize("name", STREAMS)
@pytest.mark.parametrize("path", ["/stream/", "/resume/"])
async def test_stream_without_end_never_looks_complete(testbed, path, name):
    status, whole = await play(testbed, path, STREAMS[name])
    assert status in (502, 504) or not whole


# Guards against memory that grows with the time allowed for a call.
async def test_memory_for_one_event_is_bounded_over_a_long_time(testbed):
    changed = document()
    for entry in changed["routes"]:
        entry["timeout_ms"] = 2900
    endpoint = await testbed.add_endpoint(endless(b"data: ", b"x" * 1_000_000))
    await testbed.start(changed)
    await testbed.wait_until_ready()
    tracemalloc.start()
    status, _, _ = await testbed.call("/stream/")
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert status in (502, 504)
    assert peak_bytes <= MAX_MEMORY_BYTES
    await testbed.wait_until(lambda: endpoint.open_requests == 0)


async def test_other_calls_are_served_while_an_endless_response_is_read(testbed):
    await testbed.add_endpoint(endless(), plain(b"fine"))
    await testbed.start(document())
    await testbed.wait_until_ready()
    endless_call = asyncio.create_task(testbed.call("/once/"))
    await asyncio.sleep(0.1)
    status, body, _ = await testbed.call("/once/")
    assert (status, body) == (200, b"fine")
    with pytest.raises(aiohttp.ClientError):
        await endless_call


# Guards against taking a stream that ends with its connection for a broken one.
async def test_stream_without_length_is_complete_if_it_ends_after_an_event(testbed):
    events = b"".join(encode_event(number) for number in range(1, 5))
    await testbed.add_endpoint(close_delimited(events))
    await testbed.start(document())
    await testbed.wait_until_ready()
    status, body, _ = await testbed.call("/stream/")
    assert (status, body) == (200, events)


# Guards against taking a stream that ends inside an event for a complete one.
async def test_stream_without_length_is_resumed_if_it_ends_inside_an_event(testbed):
    events = [encode_event(number) for number in range(1, 5)]
    partial = b"".join(events[:2]) + events[2][:7]
    await testbed.add_endpoint(close_delimited(partial))
    await testbed.add_endpoint(stream(4))
    changed = document()
    changed["routes"][3]["max_attempts"] = 2
    await testbed.start(changed)
    await testbed.wait_until_ready()
    bodies = [(await testbed.call("/resume/"))[1] for _ in range(4)]
    assert bodies == [b"".join(events)] * 4


# Guards against taking a stream that was broken off before its first event for one
# that is complete.
async def test_stream_without_length_or_events_is_a_failure(testbed):
    await testbed.add_endpoint(close_delimited(b""))
    await testbed.start(document())
    await testbed.wait_until_ready()
    status, _, _ = await testbed.call("/stream/")
    assert status == 502
