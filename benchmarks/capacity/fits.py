"""Fits a line to measurements and shows how well it fits."""

import statistics
from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["Line", "Point", "fit", "measure"]


@dataclass(frozen=True, slots=True)
class Point:
    """One measurement: a size and what it cost."""

    size: float
    cost: float


@dataclass(frozen=True, slots=True)
class Line:
    """``cost = base + slope * size``, and the spread of the slope over runs.

    ``lowest`` and ``highest`` are the least and greatest slope of single runs.
    """

    base: float
    slope: float
    lowest: float
    highest: float


def fit(runs: list[list[Point]]) -> Line:
    """Fits all runs together, and each alone for the spread.

    >>> line = fit([[Point(1, 3), Point(2, 5)], [Point(1, 3), Point(2, 5)]])
    >>> line.base, line.slope
    (1.0, 2.0)
    """
    points = [point for run in runs for point in run]
    base, slope = _line(points)
    slopes = [_line(run)[1] for run in runs]
    return Line(base, slope, min(slopes), max(slopes))


def measure(sizes: tuple[int, ...], runs: int, cost: Callable[[int], float]) -> Line:
    """Measures each size so many times and fits a line."""
    return fit([[Point(size, cost(size)) for size in sizes] for _ in range(runs)])


def _line(points: list[Point]) -> tuple[float, float]:
    sizes = [point.size for point in points]
    costs = [point.cost for point in points]
    slope, base = statistics.linear_regression(sizes, costs)
    return base, slope
