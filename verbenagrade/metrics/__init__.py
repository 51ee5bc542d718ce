"""The metrics that each process exports for Prometheus."""

from verbenagrade.metrics.process import ProcessMetrics
from verbenagrade.metrics.router import RouterMetrics

__all__ = ["ProcessMetrics", "RouterMetrics"]
