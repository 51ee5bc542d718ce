"""Tests of crowds at the addresses of a gateway that are not for callers."""

import struct

import pytest

from verbenagrade.platform.tests.crowds import requests
from verbenagrade.platform.tests.endpoint_standin import plain

CLIENTS = 60
MANY_CLIENTS = 360
FRAME_BYTES = 65_000


def endless_head(line: bytes):
    yield b"GET / HTTP/1.1\r\nHost: site.example\r\n"
    yield from requests.repeated(line)


def endless_body(unit: bytes):
    yield b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    yield from requests.repeated(unit)


CROWDS = {
    "fields without end": lambda _: endless_head(b"a: b\r\n"),
    "long fields without end": lambda _: endless_head(b"a: " + b"b" * 15_000 + b"\r\n"),
    "empty lines without end": lambda _: requests.repeated(b"\r\n"),
    "chunks of a byte": lambda _: endless_body(b"1\r\nx\r\n"),
    "requests sent ahead": lambda _: requests.repeated(
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
    ),
    "requests with bodies sent ahead": lambda _: requests.repeated(
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n" + b"x" * 60_000
    ),
}


@pytest.mark.parametrize("listener", ["ready", "metrics", "relay"])
@pytest.mark.parametrize("name", CROWDS)
async def test_crowd_leaves_room(gateway, crowd_at, listener, name):
    await gateway.start(plain())
    async with crowd_at(gateway.address(listener)) as crowd:
        crowd.add(CLIENTS, CROWDS[name])
        await crowd.settle()
        assert await gateway.call() == 200
        assert await gateway.get("ready") == 200
        assert await gateway.get("metrics") == 200
        gateway.assert_within_limits()
    assert await gateway.call() == 200
    gateway.assert_within_limits()


@pytest.mark.parametrize("listener", ["ready", "metrics", "relay", "reservations"])
async def test_many_open_connections_leave_descriptors(gateway, crowd_at, listener):
    await gateway.start(plain())
    async with crowd_at(gateway.address(listener)) as crowd:
        crowd.add(MANY_CLIENTS, lambda _: [])
        await crowd.settle()
        assert await gateway.call() == 200
        assert await gateway.get("ready") == 200
        gateway.assert_within_limits()


@pytest.mark.parametrize("parser", ["c"], indirect=True)
async def test_frames_that_stop_short_leave_room(gateway, crowd_at):
    await gateway.start(plain())
    frame = struct.pack(">I", FRAME_BYTES) + b"x" * (FRAME_BYTES - 1)
    async with crowd_at(gateway.address("reservations")) as crowd:
        crowd.add(MANY_CLIENTS, lambda _: [frame])
        await crowd.settle()
        assert await gateway.call() == 200
        gateway.assert_within_limits()
