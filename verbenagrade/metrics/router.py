"""The metrics of a router."""

import resource
from pathlib import Path

from aioprometheus import Counter, Gauge, Registry, render

__all__ = ["RouterMetrics"]

STATM = Path("/proc/self/statm")


class RouterMetrics:
    """Counters and gauges of one router."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = self._counter("requests", "Requests by their outcome.")
        self.tokens = self._counter("tokens", "Tokens billed.")
        self.in_flight = self._gauge("in_flight", "Requests being served.")
        self.bills = self._gauge("unsettled_bills", "Bills that are not durable.")
        self.revision = self._gauge("revision", "Configuration revision in use.")
        self.table = self._gauge("table_operations", "Table operations so far.")
        self.processor = self._gauge("processor_s", "Processor time used, seconds.")
        self.memory = self._gauge("memory_bytes", "Resident memory, bytes.")

    def render(self, accepts: tuple[str, ...]) -> bytes:
        """Returns all metrics in the format that suits the reader."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.processor.set({}, usage.ru_utime + usage.ru_stime)
        self.memory.set({}, _resident_bytes())
        content, _ = render(self.registry, accepts)
        return content

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(f"verbenagrade_{name}_total", text, registry=self.registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"verbenagrade_{name}", text, registry=self.registry)


def _resident_bytes() -> int:
    """Returns the resident memory, 0 where the system does not tell."""
    try:
        pages = int(STATM.read_text().split()[1])
    except OSError:
        return 0
    return pages * resource.getpagesize()
