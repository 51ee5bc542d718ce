"""Tests of ends of responses beside a stop, an error, a deadline, or another build."""

import asyncio

import pytest

from verbenagrade.platform.tests.endpoint_standin import (
    close_delimited,
    delayed,
    encode_event,
    plain,
    response_head,
    stream,
)
from verbenagrade.platform.tests.response_ends import (
    LAST_EVENT,
    WAYS,
    Ending,
    Heard,
    events,
    listen,
    looks_whole,
    start,
)
from verbenagrade.platform.tests.test_response_ends import (
    DEFAULT_KNOWN_S,
    at_endpoint,
    read_to_end,
)
from verbenagrade.transport.gateway import delivery, relay_server

EVENT_STREAM = "text/event-stream"
BODY_OF_TWO_PARTS = b"a" * 1_500_000


def unframed_for_ever():
    """Sends events without a length until its connection is closed."""

    async def handle(request, writer):
        writer.write(response_head(request, Content_Type=EVENT_STREAM))
        for number in range(1, 1000):
            writer.write(encode_event(number))
            await writer.drain()
            await asyncio.sleep(0.03)

    return handle


def from_the_beginning():
    """Sends all events, whatever the caller has."""

    async def handle(request, writer):
        del request.headers["last-event-id"]
        await stream(LAST_EVENT)(request, writer)

    return handle


# Guards against a planned stop that closes connections to endpoints, which passes for
# the end of their responses.
@pytest.mark.parametrize("path", ["/stream/x", "/once/x"])
async def test_response_that_a_planned_stop_cuts_off_is_not_complete(testbed, path):
    await start(testbed, "direct", 1, unframed_for_ever(), grace_s=2, timeout_ms=9000)
    asyncio.get_running_loop().call_later(0.1, testbed.stop.set)
    heard = await listen(testbed, path, Deadline_Ms="9000")
    assert not looks_whole(heard)


# Guards against an error of the gateway's own, after the head of a response was sent,
# that passes for the end of the response where callers know no chunks.
async def test_unexpected_error_resets_a_response_without_chunks(testbed, monkeypatch):
    await start(testbed, "direct", 1, stream(LAST_EVENT, pause=0.05))
    recorded = []

    def fail(*_):
        """Fails at the second event."""
        recorded.append(1)
        if len(recorded) == 2:
            raise LookupError

    monkeypatch.setattr(delivery, "_record_events", fail)
    with pytest.raises(ConnectionResetError):
        await read_to_end(testbed, "/stream/x")


# Guards against the parts of two error responses that are joined into one.
@pytest.mark.parametrize("way", WAYS)
async def test_long_error_that_broke_off_is_not_joined_with_another(testbed, way):
    async def cut(request, writer):
        """Sends a part of an error that is too long to be kept."""
        length = len(BODY_OF_TWO_PARTS) + 10
        head = response_head(request, "404 Not Found", Content_Length=length)
        writer.write(head + BODY_OF_TWO_PARTS)
        await writer.drain()

    await start(testbed, way, 2, cut, plain(b"second", "404 Not Found"))
    heard = await listen(testbed, "/resume/x")
    assert not heard.complete
    assert not heard.body.endswith(b"second")


# Guards against sound endpoints that are avoided because a call had no time left to ask
# them for a connection.
@pytest.mark.parametrize("way", WAYS)
async def test_endpoint_is_not_avoided_after_an_end_near_the_deadline(
    testbed, way, monkeypatch
):
    async def late(request, writer):
        """Ends a body 20 ms before the deadline."""
        writer.write(response_head(request) + b"all")
        await writer.drain()
        await asyncio.sleep(0.88)

    await start(testbed, way, 1, late)
    avoided = []
    for gateway in (testbed.gateway, *testbed.others):
        placement = gateway.core.placement
        monkeypatch.setattr(placement, "unreachable", lambda *a: avoided.append(a))
    for number in range(3):
        body = b"call %d" % number
        heard = await listen(testbed, "/once/x", body=body, Deadline_Ms="900")
        assert heard.status in (200, 502, 504)
    assert not avoided


# Guards against a rest without a media type that goes on directly and not through
# another VM, whose library adds one.
@pytest.mark.parametrize("way", WAYS)
async def test_rest_without_a_media_type_goes_on(testbed, way):
    rest = close_delimited(events(3, LAST_EVENT))
    await start(testbed, way, 2, stream(LAST_EVENT, cut=2), rest)
    assert await listen(testbed, "/resume/x") == Heard(200, events(1, LAST_EVENT), True)


# Guards against trusting a VM of an earlier build, which does not ask the endpoint.
@pytest.mark.parametrize("path", ["/stream/x", "/once/x"])
async def test_response_without_length_through_an_earlier_build_is_not_complete(
    testbed, monkeypatch, path
):
    async def unchecked(*_):
        """Does not ask the endpoint, as earlier builds."""

    monkeypatch.setattr(relay_server, "UNFRAMED_END_CHECKED", "1")
    monkeypatch.setattr(relay_server, "check_end", unchecked)
    broken = at_endpoint(testbed, Ending("connection", 3, "exit"))
    await start(testbed, "relayed", 1, broken)
    assert not looks_whole(await listen(testbed, path))


# Guards against events that come twice if an endpoint begins a stream again.
@pytest.mark.parametrize("way", WAYS)
async def test_stream_that_begins_again_is_not_joined(testbed, way):
    await start(testbed, way, 2, stream(LAST_EVENT, cut=2), from_the_beginning())
    assert await listen(testbed, "/resume/x") == Heard(200, events(1, 2), False)


@pytest.mark.parametrize("way", WAYS)
async def test_stream_that_begins_again_for_its_caller_is_not_passed_on(testbed, way):
    await start(testbed, way, 1, from_the_beginning())
    versions = testbed.core.versions.defaults
    await testbed.wait_until(lambda: versions.known, DEFAULT_KNOWN_S)
    heard = await listen(testbed, "/resume/x", Last_Event_Id="2")
    assert not looks_whole(heard)
    assert b"id: " not in heard.body


# Guards against an error that looks like events and goes on a stream.
@pytest.mark.parametrize("status", ["201 Created", "404 Not Found", "500 Oops"])
async def test_stream_does_not_go_on_with_another_status(testbed, status):
    error = plain(events(3, LAST_EVENT), status, Content_Type=EVENT_STREAM)
    await start(testbed, "direct", 2, stream(LAST_EVENT, cut=2), error)
    assert await listen(testbed, "/resume/x") == Heard(200, events(1, 2), False)


# Guards against a comment after the last event that passes for a part of one.
@pytest.mark.parametrize("rest", [b": bye\n", b"\r\n", b"\n"])
async def test_stream_may_end_with_a_comment(testbed, rest):
    whole = events(1, LAST_EVENT)
    body = delayed(0.0, plain(whole + rest, Content_Type=EVENT_STREAM))
    await start(testbed, "direct", 1, body)
    heard = await listen(testbed, "/stream/x")
    assert heard.complete
    assert heard.body == whole
