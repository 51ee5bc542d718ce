"""Prints the marginal costs on which ``docs/CAPACITY.md`` is based."""

from collections.abc import Callable
from dataclasses import dataclass

import typer

from benchmarks.capacity import decisions, links, processes
from benchmarks.capacity.linear_fit import LinearFit, measure
from verbenagrade.events import set_up_logging

__all__ = ["main"]

RUNS = 3
HEADING = f"{'cost per':<26}{'unit':<8}{'slope':>10}{'min':>10}{'max':>10}{'base':>12}"
US_PER_S = 1e6


@dataclass(frozen=True, slots=True)
class Measurement:
    """A cost to measure at several sizes.

    ``cost`` returns the cost at a size in seconds or bytes; ``factor`` converts it
    to ``unit``.
    """

    name: str
    unit: str
    sizes: tuple[int, ...]
    cost: Callable[[int], float]
    factor: float = 1.0


MEASUREMENTS = (
    Measurement("stream call", "us", (500, 1000, 2000), links.stream_cpu_s, US_PER_S),
    Measurement("pynng call", "us", (500, 1000, 2000), links.pynng_cpu_s, US_PER_S),
    Measurement(
        "reserve and settle", "us", (500, 1000, 2000), decisions.reserve_cpu_s, US_PER_S
    ),
    Measurement(
        "idle grant, one pass",
        "us",
        (1000, 2000, 4000),
        decisions.maintenance_cpu_s,
        US_PER_S,
    ),
    Measurement("grant", "bytes", (500, 1000, 2000), decisions.grant_memory_bytes),
    Measurement(
        "unwritten bill",
        "bytes",
        (1000, 2000, 4000),
        decisions.unwritten_bill_memory_bytes,
    ),
    Measurement(
        "workspace", "bytes", (500, 1000, 2000), decisions.catalogue_memory_bytes
    ),
    Measurement("VM to rank", "us", (3, 22, 44), decisions.rank_cpu_s, US_PER_S),
    Measurement(
        "endpoint to choose", "us", (5, 40, 160), decisions.choice_cpu_s, US_PER_S
    ),
    Measurement("bill in a journal", "bytes", (10, 100, 1000), decisions.journal_bytes),
)


def main(only: str = "", runs: int = RUNS) -> None:
    """Measures each cost at several sizes, ``runs`` times, and fits a line.

    ``only`` selects the measurements whose names contain it, and leaves out those
    that start router processes.
    """
    set_up_logging("error", "benchmark")
    threads = links.pynng_threads()
    typer.echo(HEADING)
    for item in MEASUREMENTS:
        if only in item.name:
            typer.echo(_format_row(item, measure(item.sizes, runs, item.cost)))
    typer.echo(f"pynng: {threads} additional threads with one socket open")
    typer.echo(f"stream: {links.frame_bytes()} bytes per reservation and reply")
    for text in () if only else processes.report():
        typer.echo(text)


def _format_row(item: Measurement, fit: LinearFit) -> str:
    values = (fit.slope, fit.min_slope, fit.max_slope, fit.base)
    slope, min_slope, max_slope, base = (value * item.factor for value in values)
    return (
        f"{item.name:<26}{item.unit:<8}{slope:>10.2f}{min_slope:>10.2f}"
        f"{max_slope:>10.2f}{base:>12.1f}"
    )


if __name__ == "__main__":
    typer.run(main)
