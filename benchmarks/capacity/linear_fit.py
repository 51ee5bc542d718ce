"""Fits a line to measured costs and gives the spread of its slope."""

import statistics
from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["LinearFit", "Point", "fit_runs", "measure"]


@dataclass(frozen=True, slots=True)
class Point:
    """A measured cost at a size."""

    size: float
    cost: float


@dataclass(frozen=True, slots=True)
class LinearFit:
    """The line ``cost = base + slope * size`` over all runs.

    ``min_slope`` and ``max_slope`` are the smallest and largest slope of a line
    fitted to a single run.
    """

    base: float
    slope: float
    min_slope: float
    max_slope: float


def fit_runs(runs: list[list[Point]]) -> LinearFit:
    """Fits one line to all runs, and one to each run for the spread of the slope.

    >>> fit = fit_runs([[Point(1, 3), Point(2, 5)], [Point(1, 3), Point(2, 5)]])
    >>> fit.base, fit.slope
    (1.0, 2.0)
    """
    points = [point for run in runs for point in run]
    base, slope = _regression(points)
    slopes = [_regression(run)[1] for run in runs]
    return LinearFit(base, slope, min(slopes), max(slopes))


def measure(
    sizes: tuple[int, ...], runs: int, cost: Callable[[int], float]
) -> LinearFit:
    """Measures the cost of each size once per run and fits a line."""
    return fit_runs([[Point(size, cost(size)) for size in sizes] for _ in range(runs)])


def _regression(points: list[Point]) -> tuple[float, float]:
    sizes = [point.size for point in points]
    costs = [point.cost for point in points]
    slope, base = statistics.linear_regression(sizes, costs)
    return base, slope
