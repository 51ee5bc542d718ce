"""Prints the slopes that ``docs/CAPACITY.md`` works with."""

from collections.abc import Callable
from dataclasses import dataclass

import typer

from benchmarks.capacity import decisions, links, processes
from benchmarks.capacity.fits import Line, measure
from verbenagrade.events import set_up_logging

__all__ = ["main"]

RUNS = 3
HEADING = (
    f"{'one more':<26}{'unit':<8}{'slope':>10}{'least':>10}{'most':>10}{'base':>12}"
)
MICRO = 1e6


@dataclass(frozen=True, slots=True)
class Measurement:
    """What is measured, at which sizes, and the unit of the slope."""

    name: str
    unit: str
    sizes: tuple[int, ...]
    cost: Callable[[int], float]
    factor: float = 1.0


MEASUREMENTS = (
    Measurement("stream call", "us", (500, 1000, 2000), links.stream_time, MICRO),
    Measurement("pynng call", "us", (500, 1000, 2000), links.pynng_time, MICRO),
    Measurement(
        "reserve and settle", "us", (500, 1000, 2000), decisions.reserve_time, MICRO
    ),
    Measurement(
        "idle grant, a look", "us", (1000, 2000, 4000), decisions.tend_time, MICRO
    ),
    Measurement("grant", "bytes", (500, 1000, 2000), decisions.grant_memory),
    Measurement(
        "unwritten bill", "bytes", (1000, 2000, 4000), decisions.unwritten_bill_memory
    ),
    Measurement("workspace", "bytes", (500, 1000, 2000), decisions.catalogue_memory),
    Measurement("VM to rank", "us", (3, 22, 44), decisions.rank_time, MICRO),
    Measurement("endpoint to choose", "us", (5, 40, 160), decisions.choice_time, MICRO),
    Measurement("bill in a journal", "bytes", (10, 100, 1000), decisions.bill_bytes),
)


def main(only: str = "", runs: int = RUNS) -> None:
    """Measures each cost at several sizes, several times, and fits a line."""
    set_up_logging("error", "benchmark")
    threads = links.pynng_threads()
    typer.echo(HEADING)
    for item in MEASUREMENTS:
        if only in item.name:
            typer.echo(_text(item, measure(item.sizes, runs, item.cost)))
    typer.echo(f"pynng: {threads} more threads with one socket")
    typer.echo(f"stream: {links.frame_bytes()} bytes a reservation and its answer")
    for line in () if only else processes.report():
        typer.echo(line)


def _text(item: Measurement, line: Line) -> str:
    values = (line.slope, line.lowest, line.highest, line.base)
    slope, lowest, highest, base = (value * item.factor for value in values)
    return (
        f"{item.name:<26}{item.unit:<8}{slope:>10.2f}{lowest:>10.2f}"
        f"{highest:>10.2f}{base:>12.1f}"
    )


if __name__ == "__main__":
    typer.run(main)
