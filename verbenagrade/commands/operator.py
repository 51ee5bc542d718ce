"""``verbenagrade``: the operators' command line."""

import asyncio
import time
from collections.abc import Coroutine
from enum import StrEnum
from pathlib import Path
from typing import Annotated, Any, TypeVar

import json5
import msgspec
import typer

from verbenagrade.commands.client import ControlError, ask_control
from verbenagrade.exceptions import SettingsError
from verbenagrade.protocol.resources import (
    ApplyBody,
    BudgetReply,
    ExplainReply,
    ListReply,
    ResourceReply,
    StatusReply,
)
from verbenagrade.settings import ControlSettings, RouterSettings, load_settings
from verbenagrade.settings.reference import settings_reference

__all__ = ["app"]

EXIT_FAILED = 1
EXIT_SETTINGS = 2
WATCH_PAUSE_S = 0.5

Result = TypeVar("Result")

app = typer.Typer(add_completion=False, no_args_is_help=True)

Control = Annotated[
    str, typer.Option(envvar="VERBENAGRADE_CONTROL", help="URL of a control process.")
]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON for scripts.")]


class Program(StrEnum):
    """The programs that have settings."""

    ROUTER = "router"
    CONTROL = "control"


class Wanted(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One resource in a file for ``apply``."""

    kind: str
    name: str
    spec: Any
    generation: int | None = None


@app.command("check-settings")
def check_settings(file: Path, program: Program = Program.ROUTER) -> None:
    """Names everything that is wrong with a settings file."""
    types = {Program.ROUTER: RouterSettings, Program.CONTROL: ControlSettings}
    try:
        load_settings(file, types[program])
    except SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_SETTINGS) from error
    typer.echo(f"{file}: all settings are accepted")


@app.command("settings-reference")
def print_settings_reference() -> None:
    """Prints the reference of all settings."""
    typer.echo(settings_reference(), nl=False)


@app.command()
def apply(
    file: Annotated[Path, typer.Option("--file", "-f")],
    control: Control,
) -> None:
    """Declares the resources of a file: one object, or a list of them."""
    for wanted in _read_wanted(file):
        reply = _run(_apply_one(control, wanted))
        typer.echo(f"{reply.kind}/{reply.name} accepted as revision {reply.revision}")


@app.command()
def get(control: Control, kind: str = "", as_json: AsJson = False) -> None:
    """Lists resources."""
    path = f"/resources/{kind}" if kind else "/resources"
    reply = _run(ask_control(control, "GET", path, ListReply))
    if as_json:
        typer.echo(msgspec.json.encode(reply).decode())
        return
    typer.echo(f"{'KIND':<12}{'NAME':<28}{'GENERATION':>11}{'REVISION':>10}")
    for item in reply.resources:
        typer.echo(
            f"{item.kind:<12}{item.name:<28}{item.generation:>11}{item.revision:>10}"
        )


@app.command()
def describe(control: Control, kind: str, name: str) -> None:
    """Shows one resource, whether it is in force and what it waits for."""
    path = f"/resources/{kind}/{name}"
    resource = _run(ask_control(control, "GET", path, ResourceReply))
    status = _run(ask_control(control, "GET", f"{path}/status", StatusReply))
    typer.echo(f"{kind}/{name} generation {resource.generation}")
    typer.echo(msgspec.json.format(bytes(resource.spec)).decode())
    typer.echo(_force_line(status))
    if kind == "budget":
        budget = _run(ask_control(control, "GET", f"/budgets/{name}", BudgetReply))
        row = budget.row
        typer.echo(
            f"prepaid {row.prepaid}, spent {row.spent}, committed to grants"
            f" {row.committed}, available {budget.available}"
        )


@app.command()
def wait(control: Control, kind: str, name: str, timeout_s: float = 30.0) -> None:
    """Waits until a resource is in force; exits 1 if it is not in time."""
    deadline = time.monotonic() + timeout_s
    path = f"/resources/{kind}/{name}/status"
    while True:
        status = _run(ask_control(control, "GET", path, StatusReply))
        if status.in_force or time.monotonic() >= deadline:
            break
        time.sleep(WATCH_PAUSE_S)
    typer.echo(_force_line(status))
    if not status.in_force:
        raise typer.Exit(EXIT_FAILED)


@app.command()
def explain(control: Control, workspace: str, as_json: AsJson = False) -> None:
    """Lists each request that a workspace was charged for."""
    reply = _run(ask_control(control, "GET", f"/explain/{workspace}", ExplainReply))
    if as_json:
        typer.echo(msgspec.json.encode(reply).decode())
        return
    for bill in reply.bills:
        at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(bill.at))
        typer.echo(
            f"{at}  {bill.attempt:<40} {bill.grant.budget:<20} {bill.endpoint:<16}"
            f" {bill.outcome:<9} {bill.tokens:>8}"
        )
    typer.echo(f"{len(reply.bills)} bills, {reply.tokens} tokens")


def _read_wanted(file: Path) -> tuple[Wanted, ...]:
    try:
        values = json5.loads(file.read_text())
        listed = values if isinstance(values, list) else [values]
        return msgspec.convert(listed, tuple[Wanted, ...])
    except (OSError, ValueError) as error:
        typer.echo(f"{file}: {error}", err=True)
        raise typer.Exit(EXIT_SETTINGS) from error


async def _apply_one(control: str, wanted: Wanted) -> ResourceReply:
    path = f"/resources/{wanted.kind}/{wanted.name}"
    generation = wanted.generation
    if generation is None:
        generation = await _known_generation(control, wanted)
    spec = msgspec.Raw(msgspec.json.encode(wanted.spec))
    return await ask_control(
        control, "PUT", path, ResourceReply, ApplyBody(spec, generation)
    )


async def _known_generation(control: str, wanted: Wanted) -> int:
    listed = await ask_control(control, "GET", f"/resources/{wanted.kind}", ListReply)
    for item in listed.resources:
        if item.name == wanted.name:
            return item.generation
    return 0


def _force_line(status: StatusReply) -> str:
    if status.in_force:
        return f"{status.kind}/{status.name}: in force, revision {status.revision}"
    waits = ", ".join(f"{vm.vm} in {vm.data_centre}" for vm in status.waits_for)
    return f"{status.kind}/{status.name}: not in force yet; waits for {waits}"


def _run(call: Coroutine[Any, Any, Result]) -> Result:
    try:
        return asyncio.run(call)
    except ControlError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_FAILED) from error


if __name__ == "__main__":
    app()
