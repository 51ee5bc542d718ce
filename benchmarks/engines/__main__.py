"""Prints the results of each placement policy under each load pattern."""

import typer

from benchmarks.engines.load import Pattern
from benchmarks.engines.policies import POLICIES
from benchmarks.engines.simulation import Fleet, simulate

__all__ = ["PATTERNS", "main"]

PATTERNS = (
    Pattern("calm"),
    Pattern("burst of long prompts", burst_factor=4.0),
    Pattern("one hot prefix", hot_share=0.6),
    Pattern("engines lost", lost_share=0.2),
    Pattern("empty data centre", empty_data_centre=True),
)
COLUMNS = ("worth", "first50", "first95", "gap95", "hits", "max/mean")


def main(seed: int = 1, calls_per_s: float = 70.0) -> None:
    """Simulates every load pattern with every placement policy."""
    heading = "".join(f"{column:>9}" for column in COLUMNS)
    typer.echo(f"{'pattern':24}{'policy':10}{heading}")
    for pattern in PATTERNS:
        for name, policy in POLICIES.items():
            figures = simulate(Fleet(calls_per_s=calls_per_s), pattern, policy, seed)
            values = (
                figures.worth, figures.first_event_p50_s, figures.first_event_p95_s,
                figures.event_gap_p95_s, figures.cache_hit_share,
                figures.max_to_mean_busy,
            )  # fmt: skip
            line = "".join(f"{value:9.3f}" for value in values)
            typer.echo(f"{pattern.name:24}{name:10}{line}")


if __name__ == "__main__":
    typer.run(main)
