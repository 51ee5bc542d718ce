"""Opens the connections to the platform's store."""

import socket

import aiohttp

from verbenagrade.transport.checked_responses import checked_session

__all__ = ["open_socket", "store_session"]

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""Idle time before the first TCP keep-alive probe, interval between probes, in
seconds, and number of probes without a reply that end a connection. A connection
that went silent without a reset thus ends within 3 s, which is less than the 4 s
within which a change in the store has to be known."""

UNACKNOWLEDGED_MS = 3_000
"""Time after which a connection ends if sent data is not acknowledged, in
milliseconds. Where it is set, it also decides when probes give up, whatever their
number, so it equals the time that they take."""


def store_session() -> aiohttp.ClientSession:
    """Returns a session whose connections end soon after they go silent.

    A long poll that waits on a connection which something between the two ends has
    lost track of would otherwise look like a table that does not change.
    """
    return checked_session(connector=aiohttp.TCPConnector(socket_factory=open_socket))


def open_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    """Opens a socket that notices a silent connection, with or without data sent."""
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    ):
        opened.setsockopt(socket.IPPROTO_TCP, option, value)
    return opened
