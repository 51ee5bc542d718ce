"""Server for calls of other instances; one task for each connection and call."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from functools import partial

import msgspec

from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import UndecodableError, VerbenagradeError
from verbenagrade.protocol.peer import (
    Frame,
    Hello,
    decode_body,
    decode_frame,
    encode_frame,
)
from verbenagrade.state.client_limits import Listener
from verbenagrade.state.decoding import decode_msgpack
from verbenagrade.state.identity import Instance
from verbenagrade.state.membership import Members
from verbenagrade.state.messages import Message, Reply
from verbenagrade.transport.clients.listeners import open_listener
from verbenagrade.transport.clients.shared import Clients
from verbenagrade.transport.clients.streams import StreamClient, count_stream
from verbenagrade.transport.frames import read_frame, write_frame

__all__ = ["PeerServer"]

STOP_TIMEOUT_S = 1.0

HANDSHAKE_S = 2.0
"""Time for an instance to name itself, in seconds."""

MAX_HELLO_BYTES = 4_096
"""Longest first frame of a connection, in bytes."""

READ_LIMIT_BYTES = 16_384
"""What a connection reads ahead, in bytes."""

MAX_INSTANCES = 10_000
"""Instances that may be known. Whoever connects can name one."""

MAX_MESSAGES = 2_500
"""Messages of one connection that are handled at once. A reservation may wait for a
settlement that comes after it, and a router serves 2,000 requests by default."""

MessageHandler = Callable[[Message], Awaitable[Reply]]


class PeerServer:
    """Accepts connections of other instances and passes their messages to a handler."""

    def __init__(
        self, own: Instance, members: Members, handle: MessageHandler, clients: Clients
    ) -> None:
        self.clients = clients
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
        listener = open_listener(address, port)
        self.server = await asyncio.start_server(
            self._serve, sock=listener, limit=READ_LIMIT_BYTES
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
            with count_stream(self.clients, Listener.FLEET, writer) as client:
                if client is not None and await self._handshake(reader, writer):
                    client.prefer()
                    await self._handle_frames(reader, writer, client)
        finally:
            self.connections.discard(asyncio.current_task())
            self.writers.discard(writer)
            writer.close()

    async def _handshake(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        try:
            async with asyncio.timeout(HANDSHAKE_S):
                data = await read_frame(reader, MAX_HELLO_BYTES)
        except TimeoutError:
            log_event(Event.PEER_FRAME_INVALID, reason="no greeting in time")
            return False
        if data is None:
            return False
        try:
            peer_hello = decode_msgpack(data, Hello)
        except UndecodableError:
            return False
        if not self._may_record(peer_hello.instance):
            log_event(Event.PEER_FRAME_INVALID, reason="too many instances are known")
            return False
        self.members.record_instance(peer_hello.instance)
        own = Hello(self.own, self.members.own.data_centre)
        write_frame(writer, msgspec.msgpack.encode(own))
        return True

    def _may_record(self, instance: Instance) -> bool:
        """Returns whether an instance is known, or another one may be."""
        known = self.members.instances
        return instance.vm in known or len(known) < MAX_INSTANCES

    async def _handle_frames(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        client: StreamClient,
    ) -> None:
        """Handles the messages of a connection, some of them at once."""
        free = asyncio.Semaphore(MAX_MESSAGES)

        def end(task: asyncio.Task[None], size_bytes: int) -> None:
            """Counts a message no more that was handled."""
            self.tasks.discard(task)
            client.release(size_bytes)
            free.release()

        while (data := await read_frame(reader, take=client.take)) is not None:
            await free.acquire()
            task = asyncio.create_task(self._handle_frame(decode_frame(data), writer))
            self.tasks.add(task)
            task.add_done_callback(partial(end, size_bytes=len(data)))

    async def _handle_frame(self, frame: Frame, writer: asyncio.StreamWriter) -> None:
        try:
            reply = await self.handle(decode_body(frame))
        except VerbenagradeError:
            writer.close()
            return
        if not writer.is_closing():
            write_frame(writer, encode_frame(frame.correlation, reply))
            with contextlib.suppress(ConnectionError):
                await writer.drain()
