"""Prints served and refused calls and store operations for each fleet and scenario."""

import asyncio

import typer

from benchmarks.grants.load import Fleet
from benchmarks.grants.simulation import Restoration, Scenario, simulate
from verbenagrade.tests.virtual_time import VirtualTimeLoop

__all__ = ["main"]

FLEETS = (
    Fleet("9 VMs", 9, 10, 48.0, data_centres=3),
    Fleet("78 VMs", 78, 24, 205.0),
    Fleet("195 VMs", 195, 40, 424.0),
    Fleet("350 VMs", 350, 40, 1365.0, data_centres=16),
)
SCENARIOS = (
    Scenario("calm"),
    Scenario("two outages", ((5.0, 13.0), (24.0, 32.0))),
    Scenario(
        "all lost late", ((5.0, 13.0), (18.0, 26.0)), (34.0,), extra_duration_s=18.0
    ),
    Scenario("all lost early", (), (12.0,)),
    Scenario("holder lost", holder_losses=(10.0,)),
    Scenario("centre cut", cuts=((5.0, 13.0),)),
    Scenario("older copy", ((10.0, 12.0),), restoration=Restoration(6.0, 12.0)),
)
COLUMNS = (
    "served%", "tokens%", "no-store", "402", "false402", "false%", "overspent",
    "commits", "conflicts", "reads", "429", "peak/s", "restored_s", "settled_s",
)  # fmt: skip


def main(seed: int = 1, only: str = "", scenario_name: str = "") -> None:
    """Simulates fleets and scenarios whose names contain ``only`` and the other."""
    typer.echo(f"{'fleet':8}{'scenario':16}" + "".join(f"{c:>11}" for c in COLUMNS))
    for fleet in FLEETS:
        if only not in fleet.name:
            continue
        for scenario in SCENARIOS:
            if scenario_name not in scenario.name:
                continue
            with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
                figures, simulation = runner.run(simulate(fleet, scenario, seed))
            counts = simulation.store.counts
            values = (
                f"{100 * figures.served / figures.calls:.2f}",
                f"{100 * figures.served_tokens / figures.requested_tokens:.2f}",
                figures.store_unavailable + figures.contended, figures.exhausted,
                figures.falsely_exhausted,
                f"{100 * figures.falsely_refused / figures.calls:.3f}",
                figures.overspent, counts.commits,
                counts.conflicts, counts.reads, counts.refused,
                max(counts.per_second.values()), f"{figures.restored_after_s:.1f}",
                f"{figures.settled_after_s:.1f}",
            )  # fmt: skip
            line = "".join(f"{value:>11}" for value in values)
            typer.echo(f"{fleet.name:8}{scenario.name:16}{line}")


if __name__ == "__main__":
    typer.run(main)
