"""Divides the memory and the descriptors of a process among its listeners.

What the idle process needs is left out. Part of the rest is for no client: responses of
endpoints, the connections to the store and to endpoints, and files.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from verbenagrade.state.client_account import ListenerLimits

__all__ = ["Listener", "ProcessLimits", "limits_of_listeners"]

BYTES_PER_MB = 1_000_000

CONNECTION_BYTES = 16_000
"""Memory that an open connection needs at least, in bytes."""

MIN_MEMORY_BYTES = 12_000_000
"""Memory for the connections of one listener, in bytes, that allows one request of the
default limits even if the process has less memory."""


class Listener(Enum):
    """The groups of listeners whose clients leave room for each other."""

    CALLERS = "callers"
    HEALTH = "health"
    FLEET = "fleet"


MEMORY_FRACTIONS = {
    Listener.CALLERS: 0.55,
    Listener.HEALTH: 0.05,
    Listener.FLEET: 0.15,
}
"""Fractions of the memory beyond that of the idle process."""

DESCRIPTOR_FRACTIONS = {
    Listener.CALLERS: 0.35,
    Listener.HEALTH: 0.02,
    Listener.FLEET: 0.2,
}
"""Fractions of the descriptors. A call may need one more, to an endpoint."""

MIN_CONNECTIONS = 8
"""Connections that each listener may have in any case."""


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """The memory and the descriptors of a process.

    ``memory_bytes`` is what clients may make it take beyond what it needs when idle.
    """

    memory_bytes: int
    descriptors: int


def limits_of_listeners(process: ProcessLimits) -> Mapping[str, ListenerLimits]:
    """Returns the limits of each listener, by its name.

    >>> limits = limits_of_listeners(ProcessLimits(70_000_000, 4_000))
    >>> limits["callers"].connections
    1400
    """
    return {
        listener.value: ListenerLimits(
            connections=max(
                MIN_CONNECTIONS,
                int(process.descriptors * DESCRIPTOR_FRACTIONS[listener]),
            ),
            memory_bytes=max(
                0 if listener is Listener.HEALTH else MIN_MEMORY_BYTES,
                MIN_CONNECTIONS * 2 * CONNECTION_BYTES,
                int(process.memory_bytes * MEMORY_FRACTIONS[listener]),
            ),
            connection_bytes=CONNECTION_BYTES,
        )
        for listener in Listener
    }
