"""Connections to endpoints, which receive little more than a caller takes."""

import socket

import aiohttp

from verbenagrade.transport.sends import SingleSendConnector

__all__ = [
    "READ_BUFFER_BYTES",
    "UNTAKEN_BYTES",
    "endpoint_connector",
]

READ_BUFFER_BYTES = 8_192
"""The library's buffer for a response, in bytes. Nothing more is read once it holds
twice as much."""

MAX_READ_BYTES = 2 * READ_BUFFER_BYTES
"""Bytes that are read from a connection at once."""

RECEIVE_BUFFER_BYTES = 32_768
"""The kernel's buffer for a connection, in bytes, of which Linux takes twice as much.
It limits how fast a large response comes from another region."""

UNTAKEN_BYTES = 2 * RECEIVE_BUFFER_BYTES + 2 * (2 * READ_BUFFER_BYTES + MAX_READ_BYTES)
"""What the kernel and the process hold of a response whose caller takes nothing, in
bytes: the kernel's buffer, the library's, and what was read last."""


def endpoint_connector() -> SingleSendConnector:
    """Returns a connector without keep-alive, for a session of its own."""
    return SingleSendConnector(
        limit=0,
        force_close=True,
        socket_factory=_open_socket,
        max_read_bytes=MAX_READ_BYTES,
    )


def _open_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return opened
