"""Clients that send prepared bytes, and read nothing unless they are told to."""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterable

POLL_S = 0.1
CALM_POLLS = 15
"""Number of polls without a byte sent after which a crowd has settled: each client has
sent all, is blocked, or was closed."""

MAX_POLLS = 600


class Crowd:
    """Clients of one address; each sends the pieces that ``pieces`` returns for it."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.sockets: list[socket.socket] = []
        self.tasks: list[asyncio.Task] = []
        self.sent_bytes = 0

    def add(self, count: int, pieces: Callable[[int], Iterable[bytes]]) -> None:
        """Adds clients, which begin to send at once."""
        for number in range(count):
            client = asyncio.create_task(self._send(pieces(number)))
            self.tasks.append(client)

    async def settle(self) -> None:
        """Waits until no client can send any more."""
        calm, known = 0, -1
        for _ in range(MAX_POLLS):
            calm = calm + 1 if self.sent_bytes == known else 0
            known = self.sent_bytes
            if calm == CALM_POLLS:
                return
            await asyncio.sleep(POLL_S)

    async def leave(self) -> None:
        """Closes all connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for client in self.sockets:
            client.close()

    async def _send(self, pieces: Iterable[bytes]) -> None:
        loop = asyncio.get_running_loop()
        client = socket.socket()
        client.setblocking(False)
        self.sockets.append(client)
        with contextlib.suppress(OSError):
            await loop.sock_connect(client, self.address)
            for piece in pieces:
                await loop.sock_sendall(client, piece)
                self.sent_bytes += len(piece)
                await asyncio.sleep(0)
