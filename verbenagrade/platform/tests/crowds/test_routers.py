"""Tests of crowds at the addresses of a router and of a control process."""

import asyncio
import contextlib
import json
import struct
from pathlib import Path

import aiohttp
import pytest

from verbenagrade.platform.tests.crowds import requests
from verbenagrade.platform.tests.crowds.processes import (
    BYTES_PER_MB,
    POLL_S,
    Observer,
    Process,
    free_ports,
    own_host,
)

CLIENTS = 60
MANY_CLIENTS = 360
DESCRIPTORS = 400
RESERVED_DESCRIPTORS = 100
MEMORY_MB = 128
"""What an instance may take in all, see CAPACITY.md."""

BODY_BYTES = 1_000_000
FRAME_BYTES = 16_000_000
TRIES = 200


class InstanceUnderTest:
    """A router or a control process without a platform."""

    def __init__(self, folder: Path, parser: str) -> None:
        self.folder = folder
        self.parser = parser
        self.host = own_host()
        self.process: Process | None = None
        self.observer: Observer | None = None

    async def start(self, program: str) -> None:
        settings = self.folder / "settings.json5"
        settings.write_text(json.dumps(self._settings(program)))
        module = f"verbenagrade.commands.{program}"
        self.process = Process(module, settings, self.parser, DESCRIPTORS)
        await self.is_healthy()
        self.observer = Observer(self.process)
        await self.observer.__aenter__()

    async def stop(self) -> None:
        if self.observer is not None:
            await self.observer.__aexit__()
        self.process.kill()

    def address(self, listener: str) -> tuple[str, int]:
        return self.host, self.ports[listener]

    async def is_healthy(self) -> None:
        """Asks for the health as often as it takes."""
        url = f"http://{self.host}:{self.ports['callers']}/healthz"
        async with aiohttp.ClientSession() as session:
            for _ in range(TRIES):
                with contextlib.suppress(aiohttp.ClientError, ConnectionError):
                    async with session.get(url) as response:
                        assert response.status == 200
                        return
                assert self.process.lives, self.process.log.read_text()
                await asyncio.sleep(POLL_S)
        raise AssertionError("no response")

    def assert_within_limits(self) -> None:
        assert self.process.lives
        self.observer.sample()
        assert self.observer.memory_bytes / BYTES_PER_MB <= MEMORY_MB
        assert self.observer.descriptors <= DESCRIPTORS - RESERVED_DESCRIPTORS

    def _settings(self, program: str) -> dict:
        callers, peers = free_ports(self.host, 2)
        self.ports = {"callers": callers, "peers": peers}
        settings = {
            "vm": "vm-1",
            "data_centre": "muscat-a",
            "address": self.host,
            "platform": {
                "table_url": "http://127.0.0.1:1/table",
                "objects_url": "http://127.0.0.1:1/objects",
                "vm_list_url": "http://127.0.0.1:1/vmlist",
            },
        }
        if program == "control":
            return {**settings, "port": self.ports["callers"]}
        return {
            **settings,
            "caller_port": self.ports["callers"],
            "peer_port": self.ports["peers"],
        }


@pytest.fixture
async def instance(tmp_path, parser):
    """Returns an instance that has not started yet."""
    instance = InstanceUnderTest(tmp_path, parser)
    yield instance
    await instance.stop()


def request_head(*lines: str) -> bytes:
    own = ("PUT /resources/route/chat HTTP/1.1", "Host: x")
    return ("\r\n".join((*own, *lines)) + "\r\n\r\n").encode()


def endless_body(unit: bytes):
    yield request_head("Transfer-Encoding: chunked")
    yield from requests.repeated(unit)


def short_body():
    yield request_head(f"Content-Length: {BODY_BYTES}")
    yield b"x" * (BODY_BYTES - 1)


def endless_head(line: bytes):
    yield request_head()[:-2]
    yield from requests.repeated(line)


CROWDS = {
    "chunks of a byte": lambda _: endless_body(b"1\r\nx\r\n"),
    "bodies that stop short": lambda _: short_body(),
    "fields without end": lambda _: endless_head(b"a: b\r\n"),
    "long fields without end": lambda _: endless_head(b"a: " + b"b" * 8_000 + b"\r\n"),
    "empty lines without end": lambda _: requests.repeated(b"\r\n"),
    "requests sent ahead": lambda _: requests.repeated(
        b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
    ),
    "bodies sent ahead": lambda _: requests.repeated(
        request_head("Content-Length: 60000") + b"x" * 60_000
    ),
}


@pytest.mark.parametrize("program", ["router", "control"])
@pytest.mark.parametrize("name", CROWDS)
async def test_crowd_leaves_room(instance, crowd_at, program, name):
    await instance.start(program)
    async with crowd_at(instance.address("callers")) as crowd:
        crowd.add(CLIENTS, CROWDS[name])
        await crowd.settle()
        await instance.is_healthy()
        instance.assert_within_limits()
    await instance.is_healthy()
    instance.assert_within_limits()


@pytest.mark.parametrize(
    ("program", "listener"),
    [("router", "callers"), ("router", "peers"), ("control", "callers")],
)
async def test_many_open_connections_leave_descriptors(
    instance, crowd_at, program, listener
):
    await instance.start(program)
    async with crowd_at(instance.address(listener)) as crowd:
        crowd.add(MANY_CLIENTS, lambda _: [])
        await crowd.settle()
        await instance.is_healthy()
        instance.assert_within_limits()


@pytest.mark.parametrize("parser", ["c"], indirect=True)
async def test_frames_that_stop_short_leave_room(instance, crowd_at):
    await instance.start("router")

    def pieces(_number):
        yield struct.pack(">I", FRAME_BYTES)
        yield from requests.repeated(b"x", 8_000_000)

    async with crowd_at(instance.address("peers")) as crowd:
        crowd.add(CLIENTS, pieces)
        await crowd.settle()
        await instance.is_healthy()
        instance.assert_within_limits()
