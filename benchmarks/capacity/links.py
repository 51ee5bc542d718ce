"""Compares calls to another instance over pynng and over asyncio streams."""

import asyncio
import os
import time
from collections.abc import Awaitable, Callable

import pynng

from verbenagrade.protocol.peer import decode_body, decode_frame, encode_frame
from verbenagrade.state import (
    GrantId,
    Instance,
    Members,
    MemberVm,
    Reserve,
    Reserved,
    ReserveOrder,
)
from verbenagrade.transport.clients.listeners import client_limits
from verbenagrade.transport.clients.shared import Clients
from verbenagrade.transport.peer_client import PeerClient
from verbenagrade.transport.peer_server import PeerServer

__all__ = ["frame_bytes", "pynng_cpu_s", "pynng_threads", "stream_cpu_s"]

LOOPBACK_ADDRESS = "127.83.1.1"
STREAM_PORT = 21001
PYNNG_URL = f"tcp://{LOOPBACK_ADDRESS}:21002"
INSTANCE = Instance("vm-0", 1)
ORDER = ReserveOrder(
    attempt="muscat-a-0.1796337348179-17.0.0",
    request="muscat-a-0.1796337348179-17",
    workspace="crew",
    budget="crew",
    spender=INSTANCE,
    endpoint="verbena-pool-3",
    tokens=1000,
    minimum=1000,
)
REPLY = Reserved(ORDER.attempt, 1000, GrantId("crew", INSTANCE))


def stream_cpu_s(calls: int) -> float:
    """Returns the processor seconds of client and peer for calls over streams."""
    return asyncio.run(_stream_calls(calls))


def pynng_cpu_s(calls: int) -> float:
    """Returns the processor seconds of client and peer for calls over pynng."""
    return asyncio.run(_pynng_calls(calls))


def pynng_threads() -> int:
    """Returns the number of threads that one open pynng socket adds."""
    before = _thread_count()
    with pynng.Pair0(listen="tcp://127.83.1.1:21003"):
        return _thread_count() - before


def frame_bytes() -> int:
    """Returns the bytes of a reservation and its reply, with both length prefixes."""
    return len(encode_frame(17, Reserve(ORDER))) + len(encode_frame(17, REPLY)) + 8


async def _stream_calls(calls: int) -> float:
    async def handle(_message: object) -> Reserved:
        """Returns the reply without any work."""
        return REPLY

    member = MemberVm("vm-0", "a", LOOPBACK_ADDRESS)
    clients = Clients(client_limits(64), time.monotonic)
    server = PeerServer(INSTANCE, Members(member), handle, clients)
    await server.start(LOOPBACK_ADDRESS, STREAM_PORT)
    client = PeerClient(INSTANCE, Members(member), STREAM_PORT, 5.0)
    cost = await _cpu_s(calls, lambda: client.call(member, Reserve(ORDER)))
    client.close()
    await server.stop()
    return cost


async def _pynng_calls(calls: int) -> float:
    with pynng.Pair0(listen=PYNNG_URL) as server, pynng.Pair0(dial=PYNNG_URL) as client:

        async def reply_to_calls() -> None:
            """Replies to each call until cancelled."""
            while True:
                frame = decode_frame(await server.arecv())
                decode_body(frame)
                await server.asend(encode_frame(frame.correlation, REPLY))

        async def call() -> object:
            """Sends a call and decodes the reply."""
            await client.asend(encode_frame(17, Reserve(ORDER)))
            return decode_body(decode_frame(await client.arecv()))

        replying = asyncio.create_task(reply_to_calls())
        cost = await _cpu_s(calls, call)
        replying.cancel()
        await asyncio.wait({replying})
        return cost


async def _cpu_s(calls: int, call: Callable[[], Awaitable[object]]) -> float:
    """Measures the calls after a first one, which opens the connection."""
    await call()
    started = time.process_time()
    for _ in range(calls):
        await call()
    return time.process_time() - started


def _thread_count() -> int:
    return len(os.listdir("/proc/self/task"))
