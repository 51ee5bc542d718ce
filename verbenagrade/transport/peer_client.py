"""Client for calls to other instances; one connection and reader task for each."""

import asyncio
import contextlib
from collections.abc import Callable

import msgspec

from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import (
    PeerNoReplyError,
    PeerUnreachableError,
    UndecodableError,
)
from verbenagrade.protocol.peer import (
    Hello,
    decode_body,
    decode_frame,
    encode_frame,
)
from verbenagrade.state.decoding import decode_msgpack
from verbenagrade.state.identity import Instance
from verbenagrade.state.membership import Members, MemberVm
from verbenagrade.state.messages import Message, Reply
from verbenagrade.transport.frames import read_frame, write_frame

__all__ = ["PeerClient"]


class PeerConnection:
    """An open connection to another instance, for concurrent calls.

    ``on_undecodable`` is called if a frame cannot be decoded, which ends the
    connection.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        instance: Instance,
        on_undecodable: Callable[[], None],
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.instance = instance
        self.on_undecodable = on_undecodable
        self.pending: dict[int, asyncio.Future[Reply]] = {}
        self.next_correlation = 0
        self.reader_task = asyncio.create_task(self._read())

    async def call(self, message: Message, timeout_s: float) -> Reply:
        """Sends a message and waits for the reply with the same correlation number.

        Raises ``TimeoutError`` after ``timeout_s`` seconds, and ``PeerNoReplyError``
        if the connection closes first.
        """
        self.next_correlation += 1
        correlation = self.next_correlation
        future = asyncio.get_running_loop().create_future()
        self.pending[correlation] = future
        try:
            write_frame(self.writer, encode_frame(correlation, message))
            async with asyncio.timeout(timeout_s):
                return await future
        finally:
            self.pending.pop(correlation, None)

    def close(self) -> None:
        """Closes the connection; pending calls raise ``PeerNoReplyError``."""
        self.reader_task.cancel()
        self.writer.close()
        self._fail_pending()

    async def _read(self) -> None:
        """Passes replies to the calls that wait for them, until the connection ends."""
        try:
            while (data := await read_frame(self.reader)) is not None:
                frame = decode_frame(data)
                reply = decode_body(frame)
                future = self.pending.get(frame.correlation)
                if future is not None and not future.done():
                    future.set_result(reply)
        except (UndecodableError, PeerNoReplyError) as error:
            self.on_undecodable()
            log_event(Event.PEER_FRAME_INVALID, vm=self.instance.vm, reason=str(error))
        finally:
            self.writer.close()
            self._fail_pending()

    def _fail_pending(self) -> None:
        for future in self.pending.values():
            if not future.done():
                future.set_exception(
                    PeerNoReplyError(f"{self.instance.name} closed the connection")
                )


class PeerClient:
    """Calls other instances, over one kept connection to each."""

    def __init__(
        self,
        own: Instance,
        members: Members,
        peer_port: int,
        timeout_s: float,
    ) -> None:
        self.own = own
        self.members = members
        self.peer_port = peer_port
        self.timeout_s = timeout_s
        self.connections: dict[str, PeerConnection] = {}
        self.connecting: dict[str, asyncio.Lock] = {}
        self.undecodable_frames = 0

    async def call(self, member: MemberVm, message: Message) -> Reply:
        """Calls the instance on a VM.

        Raises ``PeerUnreachableError`` if nothing was sent and
        ``PeerNoReplyError`` if the message may have been received. The connection
        is then closed, so that a dead one is not used again.
        """
        connection = await self._connection_to(member)
        try:
            return await connection.call(message, self.timeout_s)
        except (TimeoutError, ConnectionError) as error:
            self._drop(member.vm, connection)
            raise PeerNoReplyError(f"{member.vm} did not reply; retry") from error
        except PeerNoReplyError:
            self._drop(member.vm, connection)
            raise

    def close(self) -> None:
        """Closes all connections."""
        for vm, connection in list(self.connections.items()):
            self._drop(vm, connection)

    async def _connection_to(self, member: MemberVm) -> PeerConnection:
        lock = self.connecting.setdefault(member.vm, asyncio.Lock())
        async with lock:
            connection = self.connections.get(member.vm)
            if connection is None or connection.reader_task.done():
                connection = await self._connect(member)
                self.connections[member.vm] = connection
            return connection

    async def _connect(self, member: MemberVm) -> PeerConnection:
        try:
            async with asyncio.timeout(self.timeout_s):
                return await self._handshake(member)
        except (OSError, TimeoutError, UndecodableError) as error:
            raise PeerUnreachableError(
                f"{member.vm} at {member.address} cannot be reached; check the VM"
            ) from error

    async def _handshake(self, member: MemberVm) -> PeerConnection:
        local = (self.members.own.address, 0)
        reader, writer = await asyncio.open_connection(
            member.address, self.peer_port, local_addr=local
        )
        try:
            hello = Hello(self.own, self.members.own.data_centre)
            write_frame(writer, msgspec.msgpack.encode(hello))
            data = await read_frame(reader)
            if data is None:
                raise ConnectionResetError("closed during the handshake")
            peer_hello = decode_msgpack(data, Hello)
        except BaseException:
            writer.close()
            raise
        self.members.record_instance(peer_hello.instance)
        return PeerConnection(
            reader, writer, peer_hello.instance, self._count_undecodable
        )

    def _count_undecodable(self) -> None:
        self.undecodable_frames += 1

    def _drop(self, vm: str, connection: PeerConnection) -> None:
        if self.connections.get(vm) is connection:
            del self.connections[vm]
        with contextlib.suppress(ConnectionError):
            connection.close()
