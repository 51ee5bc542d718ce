"""The metrics that each process exports for Prometheus."""

from verbenagrade.metrics.router import RouterMetrics

__all__ = ["RouterMetrics"]
