"""``verbenagrade``: the command line for operators."""

import asyncio
import time
from collections.abc import Coroutine
from enum import StrEnum
from pathlib import Path
from typing import Annotated, Any, TypeVar

import json5
import msgspec
import typer

from verbenagrade.commands.client import ControlError, call_control
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
EXIT_INVALID_INPUT = 2
STATUS_POLL_INTERVAL_S = 0.5

Result = TypeVar("Result")

app = typer.Typer(add_completion=False, no_args_is_help=True)

Control = Annotated[
    str, typer.Option(envvar="VERBENAGRADE_CONTROL", help="URL of a control process.")
]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON for scripts.")]


class Program(StrEnum):
    """The programs whose settings ``check-settings`` can check."""

    ROUTER = "router"
    CONTROL = "control"


class ResourceDeclaration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One resource in a file for ``apply``.

    Without ``generation``, the generation that the control process knows is used, or 0
    for a new resource.
    """

    kind: str
    name: str
    spec: Any
    generation: int | None = None


@app.command("check-settings")
def check_settings(file: Path, program: Program = Program.ROUTER) -> None:
    """Checks a settings file and lists all errors in it."""
    types = {Program.ROUTER: RouterSettings, Program.CONTROL: ControlSettings}
    try:
        load_settings(file, types[program])
    except SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_INVALID_INPUT) from error
    typer.echo(f"{file}: all settings are valid")


@app.command("settings-reference")
def print_settings_reference() -> None:
    """Prints the reference page of all settings in Markdown."""
    typer.echo(settings_reference(), nl=False)


@app.command()
def apply(
    file: Annotated[Path, typer.Option("--file", "-f")],
    control: Control,
) -> None:
    """Applies the resources in a file, which contains one object or a list of them."""
    for declaration in _read_declarations(file):
        response = _run(_apply_one(control, declaration))
        typer.echo(
            f"{response.kind}/{response.name} accepted as revision {response.revision}"
        )


@app.command()
def get(control: Control, kind: str = "", as_json: AsJson = False) -> None:
    """Lists the resources of one kind, or of all kinds."""
    path = f"/resources/{kind}" if kind else "/resources"
    response = _run(call_control(control, "GET", path, ListReply))
    if as_json:
        typer.echo(msgspec.json.encode(response).decode())
        return
    typer.echo(f"{'KIND':<12}{'NAME':<28}{'GENERATION':>11}{'REVISION':>10}")
    for item in response.resources:
        typer.echo(
            f"{item.kind:<12}{item.name:<28}{item.generation:>11}{item.revision:>10}"
        )


@app.command()
def describe(control: Control, kind: str, name: str) -> None:
    """Shows one resource and which VMs have not applied it yet."""
    path = f"/resources/{kind}/{name}"
    resource = _run(call_control(control, "GET", path, ResourceReply))
    status = _run(call_control(control, "GET", f"{path}/status", StatusReply))
    typer.echo(f"{kind}/{name} generation {resource.generation}")
    typer.echo(msgspec.json.format(bytes(resource.spec)).decode())
    typer.echo(_format_status(status))
    if kind == "budget":
        budget = _run(call_control(control, "GET", f"/budgets/{name}", BudgetReply))
        row = budget.row
        typer.echo(
            f"prepaid {row.prepaid}, spent {row.spent}, committed to grants"
            f" {row.committed}, available {budget.available}"
        )


@app.command()
def wait(control: Control, kind: str, name: str, timeout_s: float = 30.0) -> None:
    """Waits until a resource is in force; exits with 1 after the timeout."""
    deadline = time.monotonic() + timeout_s
    path = f"/resources/{kind}/{name}/status"
    while True:
        status = _run(call_control(control, "GET", path, StatusReply))
        if status.in_force or time.monotonic() >= deadline:
            break
        time.sleep(STATUS_POLL_INTERVAL_S)
    typer.echo(_format_status(status))
    if not status.in_force:
        raise typer.Exit(EXIT_FAILED)


@app.command()
def explain(control: Control, workspace: str, as_json: AsJson = False) -> None:
    """Lists the requests that a workspace was charged for."""
    response = _run(call_control(control, "GET", f"/explain/{workspace}", ExplainReply))
    if as_json:
        typer.echo(msgspec.json.encode(response).decode())
        return
    for bill in response.bills:
        at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(bill.at))
        typer.echo(
            f"{at}  {bill.attempt:<40} {bill.grant.budget:<20} {bill.endpoint:<16}"
            f" {bill.outcome:<9} {bill.tokens:>8}"
        )
    typer.echo(f"{len(response.bills)} bills, {response.tokens} tokens")


def _read_declarations(file: Path) -> tuple[ResourceDeclaration, ...]:
    try:
        content = json5.loads(file.read_text())
        items = content if isinstance(content, list) else [content]
        return msgspec.convert(items, tuple[ResourceDeclaration, ...])
    except (OSError, ValueError) as error:
        typer.echo(f"{file}: {error}", err=True)
        raise typer.Exit(EXIT_INVALID_INPUT) from error


async def _apply_one(control: str, declaration: ResourceDeclaration) -> ResourceReply:
    path = f"/resources/{declaration.kind}/{declaration.name}"
    generation = declaration.generation
    if generation is None:
        generation = await _current_generation(control, declaration)
    spec = msgspec.Raw(msgspec.json.encode(declaration.spec))
    return await call_control(
        control, "PUT", path, ResourceReply, ApplyBody(spec, generation)
    )


async def _current_generation(control: str, declaration: ResourceDeclaration) -> int:
    response = await call_control(
        control, "GET", f"/resources/{declaration.kind}", ListReply
    )
    for item in response.resources:
        if item.name == declaration.name:
            return item.generation
    return 0


def _format_status(status: StatusReply) -> str:
    if status.in_force:
        return f"{status.kind}/{status.name}: in force, revision {status.revision}"
    pending = ", ".join(f"{vm.vm} in {vm.data_centre}" for vm in status.waits_for)
    return f"{status.kind}/{status.name}: not in force yet; waiting for {pending}"


def _run(request: Coroutine[Any, Any, Result]) -> Result:
    try:
        return asyncio.run(request)
    except ControlError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_FAILED) from error


if __name__ == "__main__":
    app()
