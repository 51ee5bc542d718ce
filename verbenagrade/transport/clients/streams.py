"""Counts connections that carry frames, and what their frames hold."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from verbenagrade.events import Event
from verbenagrade.state.client_account import Activity, ClientRecord, GiveUpReason
from verbenagrade.state.client_limits import Listener
from verbenagrade.transport.clients.shared import Clients

__all__ = ["StreamClient", "count_stream"]


class StreamClient:
    """The client of one connection, which the account of the process may give up."""

    def __init__(
        self, clients: Clients, listener: Listener, writer: asyncio.StreamWriter
    ) -> None:
        self.clients = clients
        self.writer = writer
        self.held_bytes = 0
        self.record = ClientRecord(listener.value, clients.clock(), self.give_up)

    def take(self, size_bytes: int) -> bool:
        """Counts a frame that is about to be read; returns false without room for it.

        ``size_bytes`` is its size.
        """
        account, now = self.clients.account, self.clients.clock()
        if self.record.activity is not Activity.SERVED:
            account.progress(self.record, Activity.RECEIVING, now)
        if not account.hold(self.record, self.held_bytes + size_bytes, now):
            account.leave(self.record, GiveUpReason.MEMORY)
            return False
        self.held_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Counts a frame no more, which was handled."""
        account, now = self.clients.account, self.clients.clock()
        self.held_bytes -= size_bytes
        account.hold(self.record, self.held_bytes, now)
        if self.record.activity is Activity.RECEIVING and not self.held_bytes:
            account.progress(self.record, Activity.IDLE, now)

    def prefer(self) -> None:
        """Lets connections without a greeting give way before this one."""
        self.record.served = True
        account, now = self.clients.account, self.clients.clock()
        account.progress(self.record, Activity.IDLE, now)

    def trust(self) -> None:
        """Keeps the connection open whatever other clients hold."""
        account, now = self.clients.account, self.clients.clock()
        account.progress(self.record, Activity.SERVED, now)

    def give_up(self, reason: GiveUpReason) -> None:
        """Closes the connection."""
        account = self.clients.account
        self.clients.log(
            Event.CLIENT_GIVEN_UP,
            listener=self.record.listener,
            reason=reason.value,
            serving=False,
            connections=account.connections(self.record.listener),
            held_bytes=account.held_bytes,
        )
        self.writer.transport.abort()


@contextmanager
def count_stream(
    clients: Clients, listener: Listener, writer: asyncio.StreamWriter
) -> Iterator[StreamClient | None]:
    """Counts a connection until the end of the context.

    Yields ``None`` if there are too many; the connection is closed then.
    """
    client = StreamClient(clients, listener, writer)
    if not clients.account.open(client.record, clients.clock()):
        writer.transport.abort()
        yield None
        return
    try:
        yield client
    finally:
        clients.account.close(client.record)
