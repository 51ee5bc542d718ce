"""Metrics of a router, in addition to those of every process."""

from verbenagrade.metrics.process import ProcessMetrics

__all__ = ["RouterMetrics"]


class RouterMetrics(ProcessMetrics):
    """Gauges of one router."""

    def __init__(self) -> None:
        super().__init__()
        self.in_flight = self.gauge("in_flight", "Requests being served.")
        self.unsettled_attempts = self.gauge(
            "unsettled_attempts",
            "Attempts that are running or whose bill is not durable yet.",
        )
        self.undecodable_frames = self.gauge(
            "undecodable_frames",
            "Frames from other instances that could not be decoded, since the start.",
        )
        self.revision = self.gauge("revision", "Configuration revision in use.")
        self.table_operations = self.gauge(
            "table_operations", "Table operations since the start."
        )
