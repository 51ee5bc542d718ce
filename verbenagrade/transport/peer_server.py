"""Server for calls of other instances; one task for each connection and call."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from verbenagrade.exceptions import UndecodableError, VerbenagradeError
from verbenagrade.protocol.peer import (
    Frame,
    Hello,
    decode_body,
    decode_frame,
    encode_frame,
)
from verbenagrade.state.decoding import decode_msgpack
from verbenagrade.state.identity import Instance
from verbenagrade.state.membership import Members
from verbenagrade.state.messages import Message, Reply
from verbenagrade.transport.frames import read_frame, write_frame

__all__ = ["PeerServer"]

STOP_TIMEOUT_S = 1.0

MessageHandler = Callable[[Message], Awaitable[Reply]]


class PeerServer:
    """Accepts connections of other instances and passes their messages to a handler."""

    def __init__(self, own: Instance, members: Members, handle: MessageHandler) -> None:
        self.own = own
        self.members = members
        self.handle = handle
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.connections: set[asyncio.Task[None]] = set()

    async def start(self, address: str, port: int) -> None:
        """Starts to listen.

        Raises ``OSError`` if another process uses the port.
        """
        self.server = await asyncio.start_server(
            self._serve, address, port, reuse_address=True
        )

    async def stop(self) -> None:
        """Stops listening, closes all connections and cancels calls in progress."""
        if self.server is None:
            return
        self.server.close()
        for writer in list(self.writers):
            writer.close()
        for task in list(self.tasks):
            task.cancel()
        if self.connections:
            await asyncio.wait(self.connections, timeout=STOP_TIMEOUT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        self.connections.add(asyncio.current_task())
        try:
            if await self._handshake(reader, writer):
                await self._handle_frames(reader, writer)
        finally:
            self.connections.discard(asyncio.current_task())
            self.writers.discard(writer)
            writer.close()

    async def _handshake(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        data = await read_frame(reader)
        if data is None:
            return False
        try:
            peer_hello = decode_msgpack(data, Hello)
        except UndecodableError:
            return False
        self.members.record_instance(peer_hello.instance)
        own = Hello(self.own, self.members.own.data_centre)
        write_frame(writer, msgspec.msgpack.encode(own))
        return True

    async def _handle_frames(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (data := await read_frame(reader)) is not None:
            task = asyncio.create_task(self._handle_frame(decode_frame(data), writer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _handle_frame(self, frame: Frame, writer: asyncio.StreamWriter) -> None:
        try:
            reply = await self.handle(decode_body(frame))
        except VerbenagradeError:
            writer.close()
            return
        if not writer.is_closing():
            write_frame(writer, encode_frame(frame.correlation, reply))
