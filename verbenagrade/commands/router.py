"""``verbenagrade-router``: routes the requests of callers to endpoints."""

import asyncio
import signal
from pathlib import Path

import typer

from verbenagrade.events import set_up_logging
from verbenagrade.exceptions import SettingsError, VerbenagradeError
from verbenagrade.settings import RouterSettings, load_settings
from verbenagrade.transport.router import Router

__all__ = ["app", "main"]

EXIT_INVALID_SETTINGS = 2
EXIT_FAILED = 1

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def main(settings: Path) -> None:
    """Serves callers until SIGTERM or SIGINT, then shuts down gracefully.

    A second signal ends the shutdown immediately.
    """
    try:
        loaded = load_settings(settings, RouterSettings)
    except SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_INVALID_SETTINGS) from error
    set_up_logging(loaded.log_level, loaded.vm)
    try:
        asyncio.run(_run(loaded))
    except (VerbenagradeError, OSError) as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_FAILED) from error


async def _run(settings: RouterSettings) -> None:
    stop = asyncio.Event()
    force = asyncio.Event()

    def on_signal() -> None:
        """Requests a graceful shutdown, and an immediate one on the second signal."""
        if stop.is_set():
            force.set()
        stop.set()

    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, on_signal)
    await Router(settings).run(stop, force)


if __name__ == "__main__":
    app()
