"""Works out from the settings what clients may hold, and how many calls are served."""

from collections.abc import Mapping

from verbenagrade.settings.gateway import GatewaySettings
from verbenagrade.state.client_account import ListenerLimits
from verbenagrade.state.client_limits import ProcessLimits, limits_of_listeners
from verbenagrade.transport.clients.listeners import available_descriptors

__all__ = ["client_limits", "max_calls"]

IDLE_PROCESS_MEMORY_MB = 80
MEMORY_PER_CALL_MB = 0.2
"""Memory of the process without calls, and of each call in flight with its buffers,
in MB. They limit the number of calls in flight."""

BYTES_PER_MB = 1_000_000


def client_limits(settings: GatewaySettings) -> Mapping[str, ListenerLimits]:
    """Returns the limits of each listener."""
    descriptors = available_descriptors(settings.max_descriptors)
    memory_mb = max(0, settings.memory_mb - IDLE_PROCESS_MEMORY_MB)
    return limits_of_listeners(
        ProcessLimits(int(memory_mb * BYTES_PER_MB), descriptors)
    )


def max_calls(settings: GatewaySettings) -> float:
    """Returns how many calls may be in flight."""
    memory_mb = settings.memory_mb - IDLE_PROCESS_MEMORY_MB
    return max(1.0, memory_mb / MEMORY_PER_CALL_MB)
