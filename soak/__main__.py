"""Command line of the soak test: ``python -m soak --first 1 --seeds 50``."""

import asyncio
from functools import partial
from pathlib import Path
from typing import Annotated

import typer

from soak.run import (
    SoakReport,
    run_crash_seed,
    run_crowd_seed,
    run_end_seed,
    run_limit_seed,
    run_row_seed,
    run_seed,
    run_stop_seed,
)

EXIT_VIOLATIONS = 1


def main(
    first: Annotated[int, typer.Option(help="First seed.")] = 1,
    seeds: Annotated[int, typer.Option(help="Number of seeds.")] = 50,
    seconds: Annotated[
        float, typer.Option(help="Length of each seed's run, seconds.")
    ] = 20.0,
    drills: Annotated[
        bool, typer.Option(help="Let the store come back from older copies.")
    ] = False,
    faults: Annotated[bool, typer.Option(help="Inject all other faults.")] = True,
    crashes: Annotated[
        bool, typer.Option(help="Send calls that crash endpoints by a part instead.")
    ] = False,
    limits: Annotated[
        bool, typer.Option(help="Let an endpoint name a limit on calls instead.")
    ] = False,
    ends: Annotated[
        bool, typer.Option(help="Let streams of endpoints end in all ways instead.")
    ] = False,
    rows: Annotated[
        bool, typer.Option(help="Write odd rows and play a release instead.")
    ] = False,
    stops: Annotated[
        bool, typer.Option(help="Stop gateways as planned under long calls instead.")
    ] = False,
    clients: Annotated[
        bool, typer.Option(help="Let clients come that send or hold too much instead.")
    ] = False,
    beside: Annotated[
        Path | None,
        typer.Option(
            help="Folder of another build, which every second gateway runs; plain, with"
            " drills or with stops."
        ),
    ] = None,
) -> None:
    """Runs the seeds one after another and prints each violated invariant."""
    other_build = beside.resolve() if beside is not None else None
    play = partial(run_seed, drills=drills, faults=faults, other_build=other_build)
    modes = (
        (ends, run_end_seed),
        (rows, run_row_seed),
        (stops, partial(run_stop_seed, other_build=other_build)),
        (crashes, run_crash_seed),
        (limits, run_limit_seed),
        (clients, run_crowd_seed),
    )
    for chosen, mode in modes:
        play = mode if chosen else play
    failed = 0
    for seed in range(first, first + seeds):
        report = asyncio.run(play(seed, seconds))
        failed += bool(report.violations)
        _print(report)
    typer.echo(f"{seeds} seeds, {failed} with violations")
    raise typer.Exit(EXIT_VIOLATIONS if failed else 0)


def _print(report: SoakReport) -> None:
    typer.echo(
        f"seed {report.seed}: {report.run_count} runs, {report.spent_tokens} tokens,"
        f" responses {report.status_counts}, {len(report.violations)} violations,"
        f" logs in {report.log_directory}"
    )
    for violation in report.violations[:10]:
        typer.echo(f"  {violation.invariant}: {violation.call} {violation.detail}")


if __name__ == "__main__":
    typer.run(main)
