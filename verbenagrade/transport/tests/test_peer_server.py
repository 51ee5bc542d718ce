"""Tests of connections to the port for other instances."""

import asyncio
import contextlib
import struct
import time

import msgspec
import pytest

from verbenagrade.protocol.peer import Hello, encode_frame
from verbenagrade.state import Instance, Members, MemberVm, Reserve, ReserveOrder
from verbenagrade.state.client_account import ListenerLimits
from verbenagrade.transport import peer_server
from verbenagrade.transport.clients.shared import Clients
from verbenagrade.transport.frames import read_frame, write_frame
from verbenagrade.transport.peer_server import MAX_MESSAGES, PeerServer

OWN = Instance("vm-0", 1)
ORDER = ReserveOrder(
    attempt="vm-0.1-1.0.0",
    request="vm-0.1-1",
    workspace="crew",
    budget="crew",
    spender=OWN,
    endpoint="verbena-pool-1",
    tokens=10,
    minimum=10,
)
CONNECTIONS = 4
MEMORY_BYTES = 2_000_000
WAIT_S = 5.0


@pytest.fixture
async def server():
    """Returns a server whose messages are never handled to their end."""
    limits = {"fleet": ListenerLimits(CONNECTIONS, MEMORY_BYTES, 16_000)}
    clients = Clients(limits, time.monotonic)
    members = Members(MemberVm("vm-0", "a", "127.0.0.1"))
    handled = []

    async def handle(message):
        handled.append(message)
        await asyncio.Event().wait()

    server = PeerServer(OWN, members, handle, clients)
    server.handled = handled
    await server.start("127.0.0.1", 0)
    yield server
    await server.stop()


async def connect(server, vm="vm-1"):
    address = server.server.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(*address)
    hello = msgspec.msgpack.encode(Hello(Instance(vm, 1), "a"))
    write_frame(writer, hello)
    return reader, writer


async def is_closed(reader) -> bool:
    with contextlib.suppress(ConnectionError):
        async with asyncio.timeout(WAIT_S):
            await reader.read()
    return reader.at_eof() or reader.exception() is not None


async def test_frame_without_room_closes_its_connection(server):
    reader, writer = await connect(server)
    assert await read_frame(reader) is not None
    writer.write(struct.pack(">I", MEMORY_BYTES) + b"x")
    assert await is_closed(reader)
    assert server.clients.account.connections("fleet") == 0


async def test_first_frame_that_is_long_closes_its_connection(server):
    address = server.server.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(*address)
    writer.write(struct.pack(">I", 100_000))
    assert await is_closed(reader)


async def test_oldest_connection_gives_way_to_one_too_many(server):
    opened = []
    for _ in range(CONNECTIONS + 1):
        reader, writer = await connect(server)
        assert await read_frame(reader) is not None
        opened.append((reader, writer))
    assert await is_closed(opened[0][0])
    assert not opened[1][0].at_eof()


async def test_connection_without_a_greeting_gives_way_first(server):
    opened = [await connect(server)]
    assert await read_frame(opened[0][0]) is not None
    address = server.server.sockets[0].getsockname()
    silent = [await asyncio.open_connection(*address) for _ in range(CONNECTIONS)]
    assert await is_closed(silent[0][0])
    assert not opened[0][0].at_eof()


async def test_messages_beyond_those_handled_at_once_wait(server):
    reader, writer = await connect(server)
    assert await read_frame(reader) is not None
    for number in range(2 * MAX_MESSAGES):
        write_frame(writer, encode_frame(number, Reserve(ORDER)))
    await writer.drain()
    for _ in range(100):
        await asyncio.sleep(0.01)
    assert len(server.handled) == MAX_MESSAGES


async def test_invented_instances_are_not_recorded_without_end(server, monkeypatch):
    monkeypatch.setattr(peer_server, "MAX_INSTANCES", 2)
    for number in range(5):
        reader, writer = await connect(server, vm=f"other-{number}")
        await read_frame(reader)
        writer.close()
    assert len(server.members.instances) <= 2
