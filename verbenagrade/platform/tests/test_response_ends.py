"""Tests that a response which broke off never looks complete to its caller.

How an endpoint's response is framed and how its connection ends tell whether it is
complete, see ``docs/design/response_ends.md``.
"""

import asyncio

import pytest

from verbenagrade.platform.tests.endpoint_standin import close_delimited, plain, stream
from verbenagrade.platform.tests.response_ends import (
    ANOTHER_HEAD,
    ENDINGS,
    LAST_EVENT,
    LISTENER_CLOSES_S,
    NO_EVENT,
    TIMEOUT_MS,
    WAYS,
    Ending,
    Heard,
    ending,
    events,
    listen,
    looks_whole,
    start,
)

SILENCE_TIMEOUT_MS = "300"
DEFAULT_KNOWN_S = 10.0


def at_endpoint(testbed, what: Ending):
    """Returns the handler of an ending for the endpoints of a testbed."""

    def find(request):
        """Returns the endpoint that a request is for."""
        name = request.headers["expect-instance"]
        return next(e for e in testbed.endpoints if e.name == name)

    return ending(find, what)


# Guards against a stream that goes on at an endpoint which breaks off without any event
# and is told as complete.
@pytest.mark.parametrize("close", ["fin", "exit"])
@pytest.mark.parametrize("way", WAYS)
async def test_stream_that_goes_on_without_events_is_not_complete(testbed, way, close):
    broken = at_endpoint(testbed, Ending("connection", 0, close))
    await start(testbed, way, 2, stream(LAST_EVENT, cut=2), broken)
    heard = await listen(testbed, "/resume/x")
    assert heard == Heard(200, events(1, 2), False)


# Guards against the end of an endpoint's process being taken for the end of its stream.
@pytest.mark.parametrize("path", ["/resume/x", "/stream/x"])
@pytest.mark.parametrize("way", WAYS)
async def test_stream_whose_endpoint_exits_after_an_event_is_not_complete(
    testbed, way, path
):
    broken = at_endpoint(testbed, Ending("connection", 3, "exit"))
    await start(testbed, way, 1, broken)
    heard = await listen(testbed, path)
    assert heard == Heard(200, events(1, 3), False)


# Guards against the end of an endpoint's process being taken for the end of a body.
@pytest.mark.parametrize("path", ["/once/x", "/safe/x"])
@pytest.mark.parametrize("way", WAYS)
async def test_body_without_length_whose_endpoint_exits_is_not_complete(
    testbed, way, path
):
    broken = at_endpoint(testbed, Ending("connection", 1, "exit"))
    await start(testbed, way, 1, broken)
    assert (await listen(testbed, path)).status == 502


# Guards against a stream without a length being taken for broken if nothing shows that.
@pytest.mark.parametrize("path", ["/resume/x", "/stream/x", "/once/x"])
@pytest.mark.parametrize("way", WAYS)
async def test_response_without_length_is_complete_if_its_endpoint_lives(
    testbed, way, path
):
    whole = events(1, LAST_EVENT)
    await start(testbed, way, 1, close_delimited(whole))
    assert await listen(testbed, path) == Heard(200, whole, True)


# Guards against an end of the response that is written after the stream was given up,
# when its caller reads slowly.
async def test_stream_that_broke_off_is_not_complete_for_a_slow_caller(testbed):
    def long_event(number):
        """Returns an event that fills the buffers of a connection."""
        return b"id: %d\ndata: %s\n\n" % (number, b"x" * 500_000)

    await start(testbed, "direct", 1, stream(9, cut=8, text=long_event))
    address = testbed.url().removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(address[0], int(address[1]))
    head = "POST /resume/x HTTP/1.1\r\nHost: site.example\r\nRequest-Id: call-s\r\n"
    writer.write(f"{head}Deadline-Ms: 900\r\nContent-Length: 0\r\n\r\n".encode())
    await asyncio.sleep(TIMEOUT_MS / 1000 + 0.3)
    received = await reader.read(-1)
    writer.close()
    assert received.startswith(b"HTTP/1.1 200")
    assert not received.endswith(b"0\r\n\r\n")


async def restart(testbed) -> None:
    """Lets endpoints that have exited listen again, and gateways know that."""
    await testbed.wait_until(
        lambda: not any(e.open_requests for e in testbed.endpoints)
    )
    await asyncio.sleep(2 * LISTENER_CLOSES_S)
    for endpoint in testbed.endpoints:
        if not endpoint.server.is_serving():
            host, port = endpoint.address.split(":")
            endpoint.server = await asyncio.start_server(endpoint.serve, host, port)
    for gateway in (testbed.gateway, *testbed.others):
        gateway.core.placement.forget_failed_connections()


async def hear_each(testbed, path, attempt, endings) -> dict[str, Heard]:
    """Returns what callers are told of each ending at an attempt of a call."""
    heard = {}
    for number, what in enumerate(endings):
        handlers = [at_endpoint(testbed, what)]
        if attempt == "later":
            handlers.insert(0, stream(LAST_EVENT, cut=2))
        for endpoint in testbed.endpoints:
            endpoint.handlers = handlers
        headers = {"Last_Event_Id": "2"} if attempt == "take-up" else {}
        if what.close == "silence":
            headers["Deadline_Ms"] = SILENCE_TIMEOUT_MS
        body = f"call {number}".encode()
        heard[str(what)] = await listen(testbed, path, body=body, **headers)
        await restart(testbed)
    return heard


def wrong(endings, heard, first=1) -> list[str]:
    """Returns what callers were told wrongly of streams that begin at an event."""
    whole = events(first, LAST_EVENT)
    found = []
    for what in endings:
        told = heard[str(what)]
        right = looks_whole(told) == what.whole
        if told.status == 200:
            right = right and whole.startswith(told.body)
            right = right and (told.body == whole or not what.whole)
        if not right:
            found.append(f"{what}: {told}")
    return found


# Guards against an end that is told wrongly, for each way in which a stream can end.
@pytest.mark.parametrize("attempt", ["first", "later", "take-up"])
@pytest.mark.parametrize("way", WAYS)
async def test_stream_looks_complete_only_if_it_is(testbed, way, attempt):
    await start(testbed, way, 2 if attempt == "later" else 1, stream(LAST_EVENT))
    await testbed.wait_until(
        lambda: testbed.core.versions.defaults.known, DEFAULT_KNOWN_S
    )
    endings = [e for e in ENDINGS if attempt == "first" or e.close != "silence"]
    heard = await hear_each(testbed, "/resume/x", attempt, endings)
    assert not wrong(endings, heard, 3 if attempt == "take-up" else 1)


@pytest.mark.parametrize("way", WAYS)
async def test_stream_that_may_not_be_resumed_looks_complete_only_if_it_is(
    testbed, way
):
    await start(testbed, way, 1, stream(LAST_EVENT))
    endings = [e for e in ENDINGS if e.close != "silence"]
    assert not wrong(endings, await hear_each(testbed, "/stream/x", "first", endings))


# Guards against bodies of plain services that broke off and look complete.
@pytest.mark.parametrize("way", WAYS)
async def test_body_looks_complete_only_if_it_is(testbed, way):
    await start(testbed, way, 1, stream(LAST_EVENT))
    endings = [e for e in ENDINGS if not e.extra]
    heard = await hear_each(testbed, "/once/x", "first", endings)
    assert not wrong(endings, heard)


# Guards against the text of an error in the middle of a stream that goes on elsewhere.
@pytest.mark.parametrize(
    "status", ["200 OK", "404 Not Found", "500 Oops", "503 Busy", "204 No Content"]
)
@pytest.mark.parametrize("way", WAYS)
async def test_stream_goes_on_with_events_only(testbed, way, status):
    error = plain(
        b'id: 3\n: {"error": "busy"}\n\n', status, Content_Type="application/json"
    )
    await start(testbed, way, 2, stream(LAST_EVENT, cut=2), error)
    assert await listen(testbed, "/resume/x") == Heard(200, events(1, 2), False)


async def read_to_end(testbed, path) -> bytes:
    """Returns the response to a caller of HTTP/1.0, which ends with its connection.

    Raises ``ConnectionResetError`` if the connection is reset.
    """
    host, port = testbed.url().removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = f"POST {path} HTTP/1.0\r\nHost: site.example\r\nRequest-Id: call-10\r\n"
    writer.write(f"{head}Deadline-Ms: 900\r\nContent-Length: 0\r\n\r\n".encode())
    try:
        return await reader.read(-1)
    finally:
        writer.close()


# Guards against a stream that broke off and looks complete to callers without chunks.
async def test_stream_that_broke_off_is_reset_for_a_caller_without_chunks(testbed):
    await start(testbed, "direct", 1, stream(LAST_EVENT, cut=3, pause=0.02))
    with pytest.raises(ConnectionResetError):
        await read_to_end(testbed, "/stream/x")


async def test_whole_stream_is_closed_in_order_for_a_caller_without_chunks(testbed):
    await start(testbed, "direct", 1, stream(LAST_EVENT, pause=0.02))
    response = await read_to_end(testbed, "/stream/x")
    assert response.endswith(b"\r\n\r\n" + events(1, LAST_EVENT))


# Guards against waiting up to the deadline for a body whose chunks can't be read.
@pytest.mark.parametrize("path", ["/resume/x", "/stream/x", "/once/x"])
@pytest.mark.parametrize("extra", [ANOTHER_HEAD, NO_EVENT])
@pytest.mark.parametrize("way", WAYS)
async def test_response_whose_chunks_cannot_be_read_fails_at_once(
    testbed, way, path, extra
):
    broken = at_endpoint(testbed, Ending("chunks", 3, "silence", extra, raw=True))
    await start(testbed, way, 1, broken)
    started_at = asyncio.get_running_loop().time()
    assert not looks_whole(await listen(testbed, path))
    assert asyncio.get_running_loop().time() - started_at < TIMEOUT_MS / 1000 / 2


# Guards against a chunked stream being taken for complete, or its pieces being changed,
# wherever its bytes end.
async def test_chunked_stream_that_ends_at_any_byte_is_not_complete(testbed):
    sent = events(1, 3)
    encoded = b"%x\r\n%s\r\n0\r\n\r\n" % (len(sent), sent)
    await start(testbed, "direct", 1, stream(LAST_EVENT))
    for size in range(len(encoded)):
        for endpoint in testbed.endpoints:
            endpoint.handlers = [close_delimited(encoded[:size], chunked=True)]
        heard = await listen(testbed, "/stream/x", body=b"call %d" % size)
        assert not looks_whole(heard), encoded[:size]
