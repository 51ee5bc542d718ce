"""Tests of the sockets that clients connect to."""

import asyncio
import socket

import pytest

from verbenagrade.transport.clients.listeners import (
    ACCEPTED_PER_TURN,
    BACKLOG,
    open_listener,
)

CLIENTS = 5 * ACCEPTED_PER_TURN


@pytest.fixture
def clients():
    """Returns a listener and clients that are connected and not accepted yet."""
    listener = open_listener("127.0.0.1", 0)
    listener.listen(BACKLOG)
    opened = [socket.create_connection(listener.getsockname()) for _ in range(CLIENTS)]
    yield listener
    for client in opened:
        client.close()
    listener.close()


# Guards against descriptors that are all taken before one connection can be closed.
async def test_few_connections_are_accepted_before_one_is_made(clients):
    accepted_before_made = []

    class Recorder(asyncio.Protocol):
        def connection_made(self, transport):
            accepted_before_made.append(accepted[0])
            accepted[0] -= 1

    accepted = [0]
    accept = clients.accept

    def count_accept():
        connection = accept()
        accepted[0] += 1
        return connection

    clients.accept = count_accept
    server = await asyncio.get_running_loop().create_server(
        Recorder, sock=clients, backlog=BACKLOG
    )
    for _ in range(CLIENTS):
        await asyncio.sleep(0)
    assert max(accepted_before_made) <= 4 * ACCEPTED_PER_TURN
    server.close()
