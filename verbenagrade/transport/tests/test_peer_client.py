"""Tests of the connection to another instance."""

import asyncio

import pytest

from verbenagrade.exceptions import PeerNoReplyError
from verbenagrade.state import Instance
from verbenagrade.state.messages import Heartbeat
from verbenagrade.transport.frames import read_frame, write_frame
from verbenagrade.transport.peer_client import PeerConnection


# Guards against calls that wait for their timeout because another reply on the same
# connection could not be decoded.
@pytest.mark.parametrize("reply", [b"\xc1", b"\x93\x01\xa3Odd\x90"])
async def test_undecodable_frame_fails_pending_calls_at_once(reply):
    async def serve(reader, writer):
        await read_frame(reader)
        write_frame(writer, reply)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(host, port)
    undecodable = []
    connection = PeerConnection(
        reader, writer, Instance("vm-2", 1), lambda: undecodable.append(1)
    )
    async with asyncio.timeout(2.0):
        with pytest.raises(PeerNoReplyError):
            await connection.call(make_message(), timeout_s=10.0)
    assert undecodable == [1]
    connection.close()
    server.close()


def make_message() -> Heartbeat:
    return Heartbeat(Instance("vm-1", 1), "muscat-a", 0, False)
