"""``verbenagrade-gateway``: forwards callers' requests to endpoints."""

import asyncio
import os
import signal
from pathlib import Path
from typing import Annotated

import typer

from verbenagrade.events import Event, log_event, set_up_rate_limited_logging
from verbenagrade.exceptions import SettingsError
from verbenagrade.platform import CALL_FORMAT, DOCUMENT_FORMAT, store_port
from verbenagrade.settings import load_settings
from verbenagrade.settings.gateway import GatewaySettings
from verbenagrade.transport.gateway import Gateway, PlatformAdapter

__all__ = ["app", "main"]

EXIT_SETTINGS = 2
SETTINGS_POLL_S = 2.0
"""Period at which the settings file is looked at, in seconds; it may change
without a signal."""

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def main(
    settings: Annotated[Path, typer.Argument(envvar="VERBENAGRADE_SETTINGS")],
) -> None:
    """Serves callers until SIGTERM, then shuts down gracefully."""
    try:
        loaded = load_settings(settings, GatewaySettings)
    except SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_SETTINGS) from error
    tuning = loaded.tuning
    set_up_rate_limited_logging(loaded.log_level, loaded.vm, tuning.log_lines_per_s)
    asyncio.run(_run(settings, loaded))


async def _run(path: Path, settings: GatewaySettings) -> None:
    adapter = PlatformAdapter(CALL_FORMAT, DOCUMENT_FORMAT, store_port)
    gateway = Gateway(settings, adapter)
    stop = asyncio.Event()
    changed = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, changed.set)
    watching = asyncio.create_task(_watch(path, settings, gateway, changed))
    await gateway.run(stop)
    watching.cancel()


async def _watch(
    path: Path, settings: GatewaySettings, gateway: Gateway, changed: asyncio.Event
) -> None:
    """Reloads the settings at a signal and when the file has changed."""
    seen = _stamp(path)
    while True:
        try:
            async with asyncio.timeout(SETTINGS_POLL_S):
                await changed.wait()
        except TimeoutError:
            if _stamp(path) == seen:
                continue
        changed.clear()
        seen = _stamp(path)
        try:
            fresh = load_settings(path, GatewaySettings)
        except SettingsError as error:
            log_event(Event.SETTINGS_REJECTED, reason=str(error))
            continue
        if fresh != settings:
            settings = fresh
            gateway.reload(fresh)


def _stamp(path: Path) -> int:
    """Returns when the file was changed, 0 while it can't be read."""
    try:
        return os.stat(path).st_mtime_ns
    except OSError as error:
        log_event(Event.SETTINGS_REJECTED, reason=str(error))
        return 0


if __name__ == "__main__":
    app()
