"""Metrics that each process exports in the formats of Prometheus."""

from verbenagrade.metrics.process import ProcessMetrics
from verbenagrade.metrics.router import RouterMetrics

__all__ = ["ProcessMetrics", "RouterMetrics"]
