"""The metrics of a router."""

import resource

from aioprometheus import Counter, Gauge, Registry, render

__all__ = ["RouterMetrics"]

MEMORY_UNIT_BYTES = 1024


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
        self.memory = self._gauge("memory_bytes", "Largest resident memory so far.")

    def render(self, accepts: tuple[str, ...]) -> bytes:
        """Returns all metrics in the format that suits the reader."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.processor.set({}, usage.ru_utime + usage.ru_stime)
        self.memory.set({}, usage.ru_maxrss * MEMORY_UNIT_BYTES)
        content, _ = render(self.registry, accepts)
        return content

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(f"verbenagrade_{name}_total", text, registry=self.registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"verbenagrade_{name}", text, registry=self.registry)
