"""Metrics that every process exports."""

import resource
from pathlib import Path

from aioprometheus import Counter, Gauge, Registry, render

__all__ = ["ProcessMetrics"]

STATM_PATH = Path("/proc/self/statm")


class ProcessMetrics:
    """Request counter, CPU time and memory of one process."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = self.counter("requests", "Requests by outcome.")
        self.cpu_time = self.gauge("processor_s", "CPU time used, in seconds.")
        self.memory = self.gauge("memory_bytes", "Resident memory, in bytes.")
        self.client_connections = self.gauge(
            "client_connections", "Open connections of clients, by listener."
        )
        self.client_memory = self.gauge(
            "client_memory_bytes",
            "Memory that clients hold, as it is counted, in bytes, by listener.",
        )
        self.clients_given_up = self.counter(
            "clients_given_up",
            "Connections closed and requests refused to keep within the limits, by"
            " listener and reason.",
        )

    def counter(self, name: str, description: str) -> Counter:
        """Registers a counter and returns it."""
        return Counter(
            f"verbenagrade_{name}_total", description, registry=self.registry
        )

    def gauge(self, name: str, description: str) -> Gauge:
        """Registers a gauge and returns it."""
        return Gauge(f"verbenagrade_{name}", description, registry=self.registry)

    def render(self, accepts: tuple[str, ...]) -> bytes:
        """Returns all metrics in a format that the ``Accept`` headers allow."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.cpu_time.set({}, usage.ru_utime + usage.ru_stime)
        self.memory.set({}, _resident_bytes())
        content, _ = render(self.registry, accepts)
        return content


def _resident_bytes() -> int:
    """Returns the resident memory, or 0 if the operating system does not report it."""
    try:
        pages = int(STATM_PATH.read_text().split()[1])
    except OSError:
        return 0
    return pages * resource.getpagesize()
