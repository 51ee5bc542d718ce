"""Loopback TCP proxy that delays, blocks, refuses or resets connections."""

import asyncio
import socket
import struct
from dataclasses import dataclass

__all__ = ["LinkState", "Proxy", "reset_connection"]

CHUNK_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class LinkState:
    """How a proxy treats connections and the bytes on them.

    ``forward`` and ``backward`` tell whether bytes pass towards the target and
    back; blocked bytes are kept and forwarded once the direction is open again.
    ``delay_s`` delays each chunk. ``refuse`` resets new connections.
    """

    delay_s: float = 0.0
    forward: bool = True
    backward: bool = True
    refuse: bool = False


class Proxy:
    """Forwards connections from a loopback address to ``target`` (``host:port``).

    A connection that the target or ``reset`` resets is reset for its client too if
    ``passes_resets`` is set, and closed otherwise.
    """

    def __init__(self, target: str, passes_resets: bool = False) -> None:
        self.target = target
        self.passes_resets = passes_resets
        self.link = LinkState()
        self.address = ""
        self.open_writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.link_changed = asyncio.Event()

    async def start(self) -> None:
        """Listens on a free port of the loopback address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def set_link(self, link: LinkState) -> None:
        """Sets the link state, for open connections too."""
        self.link = link
        self.link_changed.set()
        self.link_changed = asyncio.Event()

    def reset(self) -> None:
        """Resets all open connections."""
        for writer in self.open_writers:
            self._abort(writer)

    def stop(self) -> None:
        """Stops listening and resets all open connections."""
        self.stop_listening()
        self.reset()

    def stop_listening(self) -> None:
        """Refuses new connections; those that are open go on."""
        self.server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target.rpartition(":")
        if self.link.refuse:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            # The target is down: fail the connection, as would happen without a proxy.
            writer.transport.abort()
            return
        writers = {writer, target_writer}
        self.open_writers |= writers
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, forward=True),
                self._forward(target_reader, writer, forward=False),
            )
        finally:
            self.open_writers -= writers
            writer.close()
            target_writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        forward: bool,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._wait_until_open(forward)
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except (ConnectionError, OSError, RuntimeError):
            self._abort(writer)

    def _abort(self, writer: asyncio.StreamWriter) -> None:
        if self.passes_resets:
            reset_connection(writer)
        else:
            writer.transport.abort()

    async def _wait_until_open(self, forward: bool) -> None:
        """Waits until a direction is open, and then for the link's delay."""
        while not (self.link.forward if forward else self.link.backward):
            await self.link_changed.wait()
        if self.link.delay_s:
            await asyncio.sleep(self.link.delay_s)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Closes a connection by a reset, unless it is closed already."""
    raw = writer.get_extra_info("socket")
    if not writer.is_closing():
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
