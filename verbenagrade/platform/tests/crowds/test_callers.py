"""Tests of crowds at the address for callers of a gateway."""

import pytest

from verbenagrade.platform.tests.crowds import requests
from verbenagrade.platform.tests.endpoint_standin import plain, stream

CLIENTS = 60
MANY_CLIENTS = 300
READING_TIMEOUT_S = 300
"""Time to read what the kernels of clients that have left still send, in seconds."""

UNREAD_CLIENTS = 120
"""Clients that read no response, fewer than may have a call in flight."""
BODY_BYTES = 4_194_304
ANSWER_BYTES = 4_000_000
UNKNOWN_KEY = "key-of-nobody"


def long_event(number: int) -> bytes:
    return b"id: %d\ndata: %s\n\n" % (number, b"x" * 60_000)


CROWDS = {
    "chunks of a byte": lambda _: requests.tiny_chunks(),
    "chunks of two bytes": lambda _: requests.tiny_chunks(b"2\r\nxy\r\n"),
    "chunks with extensions": lambda _: requests.tiny_chunks(
        b"1;" + b"e" * 2_000 + b"\r\nx\r\n"
    ),
    "bodies in one chunk that stop short": lambda _: requests.large_chunks(BODY_BYTES),
    "bodies with a length that stop short": lambda _: requests.short_body(BODY_BYTES),
    "small bodies that stop short": lambda _: requests.short_body(100_000),
    "bodies of unknown keys": lambda _: requests.tiny_chunks(key=UNKNOWN_KEY),
    "calls with bodies sent ahead": lambda _: requests.sent_ahead(80, 100_000),
    "large calls sent ahead": lambda _: requests.sent_ahead(2, BODY_BYTES),
    "calls without bodies sent ahead": lambda _: requests.sent_ahead(20_000, 0),
    "refused calls sent ahead": lambda _: requests.sent_ahead(
        20_000, 0, key=UNKNOWN_KEY
    ),
    "field without end": lambda _: requests.endless_head(b"x" * 1_000),
    "fields without end": lambda _: requests.endless_head(b"a: b\r\n"),
    "long fields without end": lambda _: requests.endless_head(
        b"a: " + b"b" * 15_000 + b"\r\n"
    ),
    "request line without end": lambda _: requests.endless_line(),
    "empty lines without end": lambda _: requests.repeated(b"\r\n"),
    "trailers without end": lambda _: requests.trailers(),
    "small trailers without end": lambda _: requests.trailers(b"a: b\r\n"),
    "bytes that are no request": lambda _: requests.repeated(b"\x16\x03\x01\n"),
    "bytes after an upgrade": lambda _: requests.after_upgrade(),
    "bytes after CONNECT": lambda _: requests.after_connect(),
}


@pytest.mark.parametrize("name", CROWDS)
async def test_crowd_leaves_room_for_an_ordinary_call(gateway, crowd_at, name):
    await gateway.start(plain())
    async with crowd_at(gateway.address()) as crowd:
        crowd.add(CLIENTS, CROWDS[name])
        assert await gateway.call() == 200
        await crowd.settle()
        assert await gateway.call() == 200
        assert await gateway.get("ready") == 200
        gateway.assert_within_limits()
    assert await gateway.call() == 200
    gateway.assert_within_limits()


# Guards against what each of many clients may hold while it waits for its turn.
@pytest.mark.parametrize(
    "name",
    [
        "chunks of a byte",
        "bodies in one chunk that stop short",
        "calls with bodies sent ahead",
        "fields without end",
        "small trailers without end",
    ],
)
async def test_many_clients_leave_room_for_an_ordinary_call(gateway, crowd_at, name):
    await gateway.start(plain())
    async with crowd_at(gateway.address()) as crowd:
        crowd.add(MANY_CLIENTS, CROWDS[name])
        await crowd.settle()
        assert await gateway.call() == 200
        gateway.assert_within_limits()


@pytest.mark.parametrize(
    "name",
    [
        "chunks of a byte",
        "bodies with a length that stop short",
        "calls with bodies sent ahead",
        "fields without end",
        "bytes after CONNECT",
    ],
)
@pytest.mark.timeout(READING_TIMEOUT_S)
async def test_nothing_is_held_after_the_crowd_has_left(gateway, crowd_at, name):
    await gateway.start(plain())
    async with crowd_at(gateway.address()) as crowd:
        crowd.add(CLIENTS, CROWDS[name])
        await crowd.settle()
    await gateway.wait_until_given_back()


@pytest.mark.parametrize(
    "pieces",
    [
        lambda _: [],
        lambda _: [b"POST /safe/"],
        lambda _: requests.partial_head(100),
        lambda _: requests.short_body(100_000),
        lambda _: [requests.head("Content-Length: 10")],
    ],
    ids=["silent", "request line", "partial head", "short body", "no body"],
)
async def test_many_open_connections_leave_descriptors(gateway, crowd_at, pieces):
    await gateway.start(plain())
    async with crowd_at(gateway.address()) as crowd:
        crowd.add(MANY_CLIENTS + CLIENTS, pieces)
        await crowd.settle()
        assert await gateway.call() == 200
        assert await gateway.get("ready") == 200
        gateway.assert_within_limits()
    assert await gateway.call() == 200
    gateway.assert_within_limits()


@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/stream/x"])
@pytest.mark.parametrize("ahead", [1, 10])
async def test_unread_responses_leave_room(gateway, crowd_at, path, ahead):
    events = ANSWER_BYTES // 60_000
    streams = path == "/stream/x"
    handler = stream(events, text=long_event) if streams else plain(b"x" * ANSWER_BYTES)
    await gateway.start(handler)
    async with crowd_at(gateway.address()) as crowd:
        crowd.add(CLIENTS, lambda _: requests.sent_ahead(ahead, 0, path=path))
        await crowd.settle()
        assert await gateway.call(path) == 200
        gateway.assert_within_limits()
    assert await gateway.call(path) == 200
    gateway.assert_within_limits()


# Guards against what endpoints have sent and their callers do not take.
@pytest.mark.parametrize("path", ["/safe/x", "/stream/x"])
@pytest.mark.parametrize("bodies", [0, 20])
async def test_unread_responses_of_many_leave_room(gateway, crowd_at, path, bodies):
    streams = path == "/stream/x"
    events = ANSWER_BYTES // 60_000
    handler = stream(events, text=long_event) if streams else plain(b"x" * ANSWER_BYTES)
    await gateway.start(handler)
    async with crowd_at(gateway.address()) as crowd:
        crowd.add(UNREAD_CLIENTS, lambda _: requests.sent_ahead(10, 0, path=path))
        await crowd.settle()
        crowd.add(bodies, CROWDS["bodies with a length that stop short"])
        await crowd.settle()
        assert await gateway.call(path) == 200
        gateway.assert_within_limits()
    assert await gateway.call(path) == 200
    gateway.assert_within_limits()


@pytest.mark.parametrize(
    "name",
    [
        "chunks of a byte",
        "bodies with a length that stop short",
        "calls with bodies sent ahead",
        "fields without end",
        "long fields without end",
        "empty lines without end",
    ],
)
async def test_crowd_before_there_is_a_configuration(gateway, crowd_at, name):
    await gateway.start(plain(), configured=False)
    async with crowd_at(gateway.address()) as crowd:
        crowd.add(CLIENTS, CROWDS[name])
        await crowd.settle()
        assert await gateway.get("ready") == 503
        gateway.assert_within_limits()
        gateway.configure()
        await gateway.wait_until_ready()
        assert await gateway.call() == 200
        gateway.assert_within_limits()


@pytest.mark.parametrize(
    "name", ["chunks of a byte", "calls with bodies sent ahead", "fields without end"]
)
async def test_crowd_while_the_store_is_silent(gateway, crowd_at, name):
    await gateway.start(plain())
    # The gateway gets tokens of the workspace while it reaches the store.
    assert await gateway.call(**{"Token-Count": "10,10"}) == 200
    gateway.store.unresponsive = True
    async with crowd_at(gateway.address()) as crowd:
        crowd.add(CLIENTS, CROWDS[name])
        await crowd.settle()
        assert await gateway.call(**{"Token-Count": "10,10"}) == 200
        gateway.assert_within_limits()


@pytest.mark.parametrize(
    "name",
    [
        "chunks of a byte",
        "bodies with a length that stop short",
        "calls with bodies sent ahead",
        "empty lines without end",
    ],
)
async def test_crowd_during_a_planned_stop(gateway, crowd_at, name):
    await gateway.start(plain())
    async with crowd_at(gateway.address()) as crowd:
        crowd.add(CLIENTS, CROWDS[name])
        await crowd.settle()
        gateway.process.process.terminate()
        await gateway.process.wait_for_exit()
        assert gateway.process.process.returncode == 0
        memory_mb = gateway.observer.memory_bytes / 1e6
        assert memory_mb <= gateway.memory_mb
