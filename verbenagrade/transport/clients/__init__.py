"""Connections of clients: what they may hold, and the servers that they connect to."""

from verbenagrade.lazy import lazy_exports

__all__ = [
    "MAX_LINE_BYTES",
    "ClientAppRunner",
    "ClientConnection",
    "ClientServer",
    "Clients",
    "Handler",
    "ListenerOptions",
    "StreamClient",
    "available_descriptors",
    "client_limits",
    "count_stream",
    "open_listener",
    "start_server",
]

__getattr__ = lazy_exports(
    __name__,
    {
        "connections": ("ClientConnection",),
        "listeners": (
            "ClientAppRunner",
            "available_descriptors",
            "client_limits",
            "open_listener",
            "start_server",
        ),
        "parsing": ("MAX_LINE_BYTES",),
        "server": ("ClientServer", "Handler", "ListenerOptions"),
        "shared": ("Clients",),
        "streams": ("StreamClient", "count_stream"),
    },
)
