"""Tests that bytes which are no response of an endpoint reach nobody as one.

Each case is what an endpoint sends in place of a response, or a response that is
unusual and valid. ``ID`` stands for the id of the call.
"""

import asyncio
import json

import aiohttp
import logbook
import pytest

from verbenagrade.coordination.ports import EraObserver, Write
from verbenagrade.events import Event
from verbenagrade.exceptions import PlatformError
from verbenagrade.platform import store_port
from verbenagrade.platform.tests.endpoint_standin import (
    encode_event,
    plain,
    read_request,
)
from verbenagrade.platform.tests.response_ends import WAYS, start
from verbenagrade.platform.tests.test_store_client import settings_for
from verbenagrade.transport.gateway.store_connections import store_session

LONG = {"timeout_ms": 60_000, "target_latency_ms": 60_000}
DEADLINE_MS = "60000"
PATHS = ["/once/x", "/safe/x", "/stream/x", "/resume/x"]
PART_PAUSE_S = 0.02
BODY = encode_event(1)
CHUNKED_BODY = b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)
LENGTH = b"Content-Length: %d" % len(BODY)
CHUNKED = b"Transfer-Encoding: chunked"
NOTICES = (
    b"Server-Limit: 1",
    b"Server-Leaving: 1",
    b"Server-Brittle: 1",
    b"Retry-After: 30",
    b"Not-Executed: 1",
)


def response(*fields, start=b"HTTP/1.1 200 OK", body=BODY, named=True) -> bytes:
    """Returns a response with a length, unless a field tells another framing."""
    identity = (b"Request-Id: ID", b"Server-Seal: s") if named else ()
    framing = any(field.lower()[:9] in (b"content-l", b"transfer-") for field in fields)
    lines = (start, *identity, *fields, *(() if framing else (LENGTH,)))
    return b"\r\n".join((*lines, b"", body))


def status(line: bytes, *fields, **options) -> bytes:
    return response(*fields, start=b"HTTP/1.1 " + line, **options)


INVALID_STATUSES = {
    "000": status(b"000 "),
    "000 without a reason": status(b"000"),
    "099": status(b"099 Odd"),
    "101": status(b"101 Switching Protocols", b"Connection: upgrade", b"Upgrade: x"),
    "101 without an upgrade": status(b"101 Switching Protocols"),
    "600": status(b"600 Odd"),
    "999": status(b"999 Odd"),
    "HTTP/0.9": response(start=b"HTTP/0.9 200 OK"),
    "HTTP/2.0": response(start=b"HTTP/2.0 200 OK"),
    "control byte in the reason": status(b"200 O\x01K"),
}
INVALID_FIELDS = {
    "blank before the colon of the length": response(LENGTH.replace(b":", b" :")),
    "blank before the colon of the coding": response(
        CHUNKED.replace(b":", b" :"), body=CHUNKED_BODY
    ),
    "blank before the colon of the connection": response(b"Connection : close"),
    "blank before a colon": response(b"X-Odd : 1"),
    "blank in a name": response(b"X Odd: 1"),
    "tab in a name": response(b"X\tOdd: 1"),
    "control byte in a name": response(b"X\x01Odd: 1"),
    "no name": response(b": 1"),
    "no colon": response(b"XOdd"),
    "control byte in a value": response(b"X-Odd: a\x01b"),
    "delete in a value": response(b"X-Odd: a\x7fb"),
    "carriage return in a value": response(b"X-Odd: a\rb"),
    "control byte in the seal": response(b"Server-Seal: s\x02"),
}
INVALID_FRAMINGS = {
    "two lengths": response(LENGTH, b"Content-Length: 3"),
    "length with a sign": response(b"Content-Length: +4"),
    "length and chunks": response(LENGTH, CHUNKED, body=CHUNKED_BODY),
    "unknown coding": response(b"Transfer-Encoding: odd", body=CHUNKED_BODY),
    "unknown coding in chunks": response(
        b"Transfer-Encoding: gzip, chunked", body=CHUNKED_BODY
    ),
    "chunks in an unknown coding": response(
        b"Transfer-Encoding: chunked, gzip", body=CHUNKED_BODY
    ),
    "chunks in chunks": response(CHUNKED, CHUNKED, body=CHUNKED_BODY),
    "coding twice": response(CHUNKED, b"Transfer-Encoding: gzip", body=CHUNKED_BODY),
    "chunks in HTTP/1.0": response(
        CHUNKED, start=b"HTTP/1.0 200 OK", body=CHUNKED_BODY
    ),
    "bytes after the length": response(body=BODY + b"more"),
    "line after the length": response(body=BODY + b"more\n"),
    "bytes after the chunks": response(CHUNKED, body=CHUNKED_BODY + b"more"),
    "bytes after 204": status(b"204 No Content", b"Content-Length: 0", body=b"more"),
    "bytes after 304": status(b"304 Not Modified", body=b"more"),
}
HEADS = INVALID_STATUSES | INVALID_FIELDS | INVALID_FRAMINGS
"""What is no valid response in HTTP."""

STRANGERS = {
    "success without a seal": response(b"Request-Id: ID", named=False),
    "web page": response(b"Content-Type: text/html", named=False),
    "201 of a stranger": status(b"201 Created", named=False),
    "204 of a stranger": status(
        b"204 No Content", b"Content-Length: 0", body=b"", named=False
    ),
    "redirection of a stranger": status(b"302 Found", named=False),
    "401 of a stranger": status(b"401 Unauthorized", named=False),
    "404 of a stranger": status(b"404 Not Found", named=False),
    "500 of a stranger": status(b"500 Oops", named=False),
    "response to another call": response(
        b"Request-Id: another", b"Server-Seal: s", named=False
    ),
    "encoded body": response(b"Content-Encoding: gzip"),
}
"""Responses in HTTP that are not those of the endpoint to the call."""

VALID = {
    "no reason": (status(b"200"), 200),
    "unknown reason": (status(b"200 Quite \xe9 fine"), 200),
    "interim responses": (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX: 1\r\n\r\n" + response(),
        200,
    ),
    "folded field": (response(b"X-Folded: a\r\n b"), 200),
    "empty field": (response(b"X-Empty:"), 200),
    "tab and other bytes in a value": (response(b"X-Odd: a\t\xe9"), 200),
    "chunks": (response(b"transfer-encoding: Chunked", body=CHUNKED_BODY), 200),
    "no length": (response(b"Transfer-Encoding:"), 200),
    "HTTP/1.0": (response(start=b"HTTP/1.0 200 OK"), 200),
    "201": (status(b"201 Created"), 201),
    "204": (status(b"204 No Content", b"Content-Length: 0", body=b""), 204),
    "205": (status(b"205 Reset Content", b"Content-Length: 0", body=b""), 205),
    "206": (status(b"206 Partial Content", b"Content-Range: bytes 0-1/2"), 206),
    "302": (status(b"302 Found"), 302),
    "304": (status(b"304 Not Modified", body=b""), 304),
    "404": (status(b"404 Not Found"), 404),
    "404 without a seal": (
        status(b"404 Not Found", b"Request-Id: ID", named=False),
        404,
    ),
    "404 without an id": (
        status(b"404 Not Found", b"Server-Seal: s", named=False),
        404,
    ),
    "599": (status(b"599 Odd"), 599),
    "second response": (response() + response(), 200),
    "no encoding": (response(b"Content-Encoding: identity"), 200),
}

STORE_BODY = b'{"ver": 1, "rows": [], "now_ms": 1}'
STORE_LENGTH = b"Content-Length: %d" % len(STORE_BODY)
STORE_RESPONSES = {
    "000": (b"HTTP/1.1 000 ", STORE_LENGTH),
    "101": (b"HTTP/1.1 101 Switching Protocols", STORE_LENGTH),
    "HTTP/2.0": (b"HTTP/2.0 200 OK", STORE_LENGTH),
    "blank before the colon": (b"HTTP/1.1 200 OK", STORE_LENGTH.replace(b":", b" :")),
    "control byte in a value": (b"HTTP/1.1 200 OK", STORE_LENGTH, b"X-Odd: a\x01"),
    "unknown coding": (b"HTTP/1.1 200 OK", b"Transfer-Encoding: odd"),
    "length too short": (b"HTTP/1.1 200 OK", b"Content-Length: 2"),
}


def sends(*parts: bytes):
    """Returns a handler that sends parts, one after the other."""

    async def handle(request, writer):
        call_id = request.headers["request-id"].encode()
        for part in parts:
            writer.write(part.replace(b"ID", call_id))
            await writer.drain()
            await asyncio.sleep(PART_PAUSE_S if part is not parts[-1] else 0)

    return handle


def serve_all(testbed, *handlers) -> None:
    """Lets the endpoints serve the next calls by these handlers, in their order."""
    shared = list(handlers)
    for endpoint in testbed.endpoints:
        endpoint.handlers = shared
        endpoint.requests.clear()


def request_count(testbed) -> int:
    return sum(len(endpoint.requests) for endpoint in testbed.endpoints)


async def told(testbed, path) -> int | str:
    """Returns the status that a caller is told, or why there is none."""
    try:
        async with testbed.open(path, Deadline_Ms=DEADLINE_MS) as response:
            await response.read()
            return response.status
    except aiohttp.ClientError as error:
        return repr(error)


def cores(testbed) -> list:
    return [testbed.core, *(gateway.core for gateway in testbed.others)]


# Guards against bytes that are no response of the endpoint and that reach a caller as
# one, or close the caller's connection.
@pytest.mark.parametrize("cases", [HEADS, STRANGERS], ids=["http", "strangers"])
@pytest.mark.parametrize("way", WAYS)
async def test_invalid_response_is_a_failure_for_the_caller(
    testbed, parser, way, cases
):
    await start(testbed, way, 1, plain(), **LONG)
    heard = {}
    for path in PATHS:
        for name, data in cases.items():
            serve_all(testbed, sends(data))
            heard[path, name] = (await told(testbed, path), request_count(testbed))
    assert {case: end for case, end in heard.items() if end != (502, 1)} == {}


# Guards against a first line that one reader takes for a field and another for a part
# of the status line.
async def test_blank_before_the_first_field_makes_a_response_invalid(testbed, parser):
    await start(testbed, "direct", 1, plain(), **LONG)
    serve_all(testbed, sends(status(b"200 OK\r\n X-Odd: 1")))
    assert await told(testbed, "/once/x") == 502


# Guards against a body with bytes after its end that arrives after its head.
@pytest.mark.parametrize("way", WAYS)
async def test_bytes_that_arrive_after_a_body_make_it_invalid(testbed, parser, way):
    await start(testbed, way, 1, plain(), **LONG)
    for data in (
        HEADS["bytes after the length"],
        HEADS["line after the length"],
        HEADS["bytes after the chunks"],
    ):
        head, _, body = data.partition(b"\r\n\r\n")
        serve_all(testbed, sends(head + b"\r\n\r\n", body))
        assert await told(testbed, "/once/x") == 502


# Guards against refusing what is unusual and a response all the same.
@pytest.mark.parametrize("way", WAYS)
async def test_unusual_valid_response_is_passed_on(testbed, parser, way):
    await start(testbed, way, 1, plain(), **LONG)
    for name, (data, expected) in VALID.items():
        for path in ("/once/x", "/resume/x"):
            serve_all(testbed, sends(data))
            assert await told(testbed, path) == expected, (name, path)


# Guards against another attempt where the route allows none, and none where it does.
@pytest.mark.parametrize("way", WAYS)
async def test_call_that_may_run_again_goes_to_another_endpoint(testbed, parser, way):
    await start(testbed, way, 2, plain(), **LONG)
    attempts = {"/once/x": (502, 1), "/stream/x": (502, 1)}
    repeated = {"/safe/x": (200, 2), "/resume/x": (200, 2)}
    for path, expected in (attempts | repeated).items():
        for name, data in (HEADS | STRANGERS).items():
            serve_all(testbed, sends(data), sends(response()))
            heard = (await told(testbed, path), request_count(testbed))
            assert heard == expected, (path, name)


# Guards against believing a refusal, a limit, a pause or that an endpoint leaves.
@pytest.mark.parametrize("way", WAYS)
async def test_nothing_that_an_invalid_response_says_is_believed(testbed, parser, way):
    await start(testbed, way, 1, plain(), **LONG)
    for line in (b"503 Service Unavailable", b"429 Too Many", b"421 Misdirected"):
        for data in (
            status(line, *NOTICES, b"X-Odd: a\x01b"),
            status(line, *NOTICES, LENGTH.replace(b":", b" :")),
            status(line, *NOTICES, b"Transfer-Encoding: odd", body=CHUNKED_BODY),
            status(line, *NOTICES, body=BODY + b"more"),
            status(line, *NOTICES, named=False),
            status(line, *NOTICES, b"Request-Id: x", b"Server-Seal: s", named=False),
            response(*NOTICES, start=b"HTTP/2.0 " + line),
            status(b"000 ", *NOTICES),
            status(b"200 OK", *NOTICES, named=False),
        ):
            serve_all(testbed, sends(data))
            assert await told(testbed, "/once/x") == 502, data
    for core in cores(testbed):
        assert not core.limits.known.limited()
        assert not core.pauses.until
        assert not any(entry.leaving for entry in core.directory.entries.values())
        assert not core.brittle.allowances


# Guards against a log that does not tell what an endpoint sent.
@pytest.mark.parametrize("way", WAYS)
async def test_log_says_what_was_wrong_with_a_response(testbed, way):
    await start(testbed, way, 1, plain(), **LONG)
    for name, word in (
        ("000", "status 000"),
        ("control byte in a value", "X-Odd"),
        ("unknown coding", "odd"),
        ("web page", "signature"),
        ("response to another call", "another call"),
    ):
        serve_all(testbed, sends((HEADS | STRANGERS)[name]))
        with logbook.TestHandler().applicationbound() as logs:
            await told(testbed, "/once/x")
        lines = [
            record.extra["fields"]
            for record in logs.records
            if record.extra["event"] is Event.RESPONSE_INVALID
        ]
        assert len(lines) == 1, name
        assert lines[0]["call"] and lines[0]["endpoint"].startswith("i-")
        assert word in lines[0]["reason"], json.dumps(lines[0])


# Guards against a transaction that counts as committed, and against an era that makes
# a process drop what it knows.
@pytest.mark.parametrize("name", STORE_RESPONSES)
async def test_invalid_response_of_the_store_says_nothing(parser, name):
    async def serve(reader, writer):
        await read_request(reader)
        lines = (*STORE_RESPONSES[name], b"Store-Era: 9", b"", STORE_BODY)
        writer.write(b"\r\n".join(lines))
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    standin = type("Store", (), {"address": address})
    marks = []
    observer = EraObserver(lambda: None, lambda mark, _era: marks.append(mark))
    async with server, store_session() as session:
        port = store_port(session, settings_for(standin), observer)
        with pytest.raises(PlatformError):
            await port.commit((), (Write("grants/hotel/vm/1", b"1"),))
        with pytest.raises(PlatformError):
            await port.read(("grants/hotel/vm/1",))
    assert marks == []
