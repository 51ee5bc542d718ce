"""Calls to other instances: one connection and one reading task for each."""

import asyncio
import contextlib

import msgspec

from verbenagrade.exceptions import PeerSilentError, PeerUnreachableError
from verbenagrade.protocol.peer import (
    Hello,
    decode_body,
    decode_frame,
    encode_frame,
)
from verbenagrade.state.identity import Instance
from verbenagrade.state.membership import Members, MemberVm
from verbenagrade.state.messages import Answer, Message
from verbenagrade.transport.frames import read_frame, write_frame

__all__ = ["PeerClient"]


class Link:
    """An open connection to one instance."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        instance: Instance,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.instance = instance
        self.waiting: dict[int, asyncio.Future[Answer]] = {}
        self.next_correlation = 0
        self.reading = asyncio.create_task(self._read())

    async def call(self, message: Message, timeout_s: float) -> Answer:
        """Sends a message and waits for the answer with its number."""
        self.next_correlation += 1
        correlation = self.next_correlation
        answered = asyncio.get_running_loop().create_future()
        self.waiting[correlation] = answered
        try:
            write_frame(self.writer, encode_frame(correlation, message))
            async with asyncio.timeout(timeout_s):
                return await answered
        finally:
            self.waiting.pop(correlation, None)

    def close(self) -> None:
        """Closes the connection; calls that wait fail as silent."""
        self.reading.cancel()
        self.writer.close()
        self._fail_all()

    async def _read(self) -> None:
        while (data := await read_frame(self.reader)) is not None:
            frame = decode_frame(data)
            waiter = self.waiting.get(frame.correlation)
            if waiter is not None and not waiter.done():
                waiter.set_result(decode_body(frame))
        self.writer.close()
        self._fail_all()

    def _fail_all(self) -> None:
        for waiter in self.waiting.values():
            if not waiter.done():
                waiter.set_exception(
                    PeerSilentError(f"{self.instance.name} closed the connection")
                )


class PeerClient:
    """Connections to all instances that this one has called."""

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
        self.links: dict[str, Link] = {}
        self.connecting: dict[str, asyncio.Lock] = {}

    async def call(self, member: MemberVm, message: Message) -> Answer:
        """Calls the instance on a VM.

        Raises ``PeerUnreachableError`` if nothing was sent and
        ``PeerSilentError`` if the message may have been received. After either
        the connection is closed, so that one gone silent is not used again.
        """
        link = await self._link(member)
        try:
            return await link.call(message, self.timeout_s)
        except (TimeoutError, ConnectionError) as error:
            self._drop(member.vm, link)
            raise PeerSilentError(f"{member.vm} did not answer; retry") from error
        except PeerSilentError:
            self._drop(member.vm, link)
            raise

    def close(self) -> None:
        """Closes all connections."""
        for vm, link in list(self.links.items()):
            self._drop(vm, link)

    async def _link(self, member: MemberVm) -> Link:
        lock = self.connecting.setdefault(member.vm, asyncio.Lock())
        async with lock:
            link = self.links.get(member.vm)
            if link is None or link.reading.done():
                link = await self._connect(member)
                self.links[member.vm] = link
            return link

    async def _connect(self, member: MemberVm) -> Link:
        try:
            async with asyncio.timeout(self.timeout_s):
                return await self._greet(member)
        except (OSError, TimeoutError, msgspec.DecodeError) as error:
            raise PeerUnreachableError(
                f"{member.vm} at {member.address} cannot be reached; check the VM"
            ) from error

    async def _greet(self, member: MemberVm) -> Link:
        local = (self.members.own.address, 0)
        reader, writer = await asyncio.open_connection(
            member.address, self.peer_port, local_addr=local
        )
        try:
            hello = Hello(self.own, self.members.own.data_centre)
            write_frame(writer, msgspec.msgpack.encode(hello))
            data = await read_frame(reader)
            if data is None:
                raise ConnectionResetError("closed during the greeting")
            theirs = msgspec.msgpack.decode(data, type=Hello)
        except BaseException:
            writer.close()
            raise
        self.members.saw(theirs.instance)
        return Link(reader, writer, theirs.instance)

    def _drop(self, vm: str, link: Link) -> None:
        if self.links.get(vm) is link:
            del self.links[vm]
        with contextlib.suppress(ConnectionError):
            link.close()
