"""Compares two ways to call another instance: pynng and asyncio streams."""

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
from verbenagrade.transport.peer_client import PeerClient
from verbenagrade.transport.peer_server import PeerServer

__all__ = ["frame_bytes", "pynng_threads", "pynng_time", "stream_time"]

ADDRESS = "127.83.1.1"
STREAM_PORT = 21001
PYNNG_URL = f"tcp://{ADDRESS}:21002"
OWN = Instance("vm-0", 1)
ORDER = ReserveOrder(
    attempt="muscat-a-0.1796337348179-17.0.0",
    request="muscat-a-0.1796337348179-17",
    workspace="crew",
    budget="crew",
    spender=OWN,
    endpoint="verbena-pool-3",
    tokens=1000,
    minimum=1000,
)
ANSWER = Reserved(ORDER.attempt, 1000, GrantId("crew", OWN))


def stream_time(calls: int) -> float:
    """Returns processor seconds of both sides for calls over asyncio streams."""
    return asyncio.run(_stream(calls))


def pynng_time(calls: int) -> float:
    """Returns processor seconds of both sides for calls over pynng."""
    return asyncio.run(_pynng(calls))


def pynng_threads() -> int:
    """Returns how many threads a process has more with one socket open."""
    before = _threads()
    with pynng.Pair0(listen="tcp://127.83.1.1:21003"):
        return _threads() - before


def frame_bytes() -> int:
    """Returns the bytes of a reservation and its answer on the wire."""
    return len(encode_frame(17, Reserve(ORDER))) + len(encode_frame(17, ANSWER)) + 8


async def _stream(calls: int) -> float:
    async def handle(_message: object) -> Reserved:
        """Grants at once."""
        return ANSWER

    own = MemberVm("vm-0", "a", ADDRESS)
    server = PeerServer(OWN, Members(own), handle)
    await server.start(ADDRESS, STREAM_PORT)
    client = PeerClient(OWN, Members(own), STREAM_PORT, 5.0)
    cost = await _timed(calls, lambda: client.call(own, Reserve(ORDER)))
    client.close()
    await server.stop()
    return cost


async def _pynng(calls: int) -> float:
    with pynng.Pair0(listen=PYNNG_URL) as server, pynng.Pair0(dial=PYNNG_URL) as client:

        async def answer() -> None:
            """Answers every call."""
            while True:
                frame = decode_frame(await server.arecv())
                decode_body(frame)
                await server.asend(encode_frame(frame.correlation, ANSWER))

        async def call() -> object:
            """Sends a call and reads its answer."""
            await client.asend(encode_frame(17, Reserve(ORDER)))
            return decode_body(decode_frame(await client.arecv()))

        answering = asyncio.create_task(answer())
        cost = await _timed(calls, call)
        answering.cancel()
        await asyncio.wait({answering})
        return cost


async def _timed(calls: int, call: Callable[[], Awaitable[object]]) -> float:
    await call()
    began = time.process_time()
    for _ in range(calls):
        await call()
    return time.process_time() - began


def _threads() -> int:
    return len(os.listdir("/proc/self/task"))
