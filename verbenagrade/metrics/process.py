"""The metrics that every process exports."""

import resource
from pathlib import Path

from aioprometheus import Counter, Gauge, Registry, render

__all__ = ["ProcessMetrics"]

STATM = Path("/proc/self/statm")


class ProcessMetrics:
    """Requests by outcome, processor time and memory of one process."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = self.counter("requests", "Requests by their outcome.")
        self.processor = self.gauge("processor_s", "Processor time used, seconds.")
        self.memory = self.gauge("memory_bytes", "Resident memory, bytes.")

    def counter(self, name: str, text: str) -> Counter:
        """Registers a counter."""
        return Counter(f"verbenagrade_{name}_total", text, registry=self.registry)

    def gauge(self, name: str, text: str) -> Gauge:
        """Registers a gauge."""
        return Gauge(f"verbenagrade_{name}", text, registry=self.registry)

    def render(self, accepts: tuple[str, ...]) -> bytes:
        """Returns all metrics in the format that suits the reader."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.processor.set({}, usage.ru_utime + usage.ru_stime)
        self.memory.set({}, _resident_bytes())
        content, _ = render(self.registry, accepts)
        return content


def _resident_bytes() -> int:
    """Returns the resident memory, 0 where the system does not tell."""
    try:
        pages = int(STATM.read_text().split()[1])
    except OSError:
        return 0
    return pages * resource.getpagesize()
