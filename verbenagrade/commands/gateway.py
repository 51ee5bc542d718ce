"""``verbenagrade-gateway``: forwards the requests of callers to endpoints."""

import signal

if __name__ == "__main__":
    # Until there is a handler, SIGHUP would end the process; the imports take long.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import asyncio
import os
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

EXIT_INVALID_SETTINGS = 2
SETTINGS_POLL_INTERVAL_S = 2.0
"""Period at which the settings file is checked for changes, in seconds. The file may
be changed without a SIGHUP."""

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def main(
    settings: Annotated[Path, typer.Argument(envvar="VERBENAGRADE_SETTINGS")],
) -> None:
    """Serves callers until SIGTERM or SIGINT, then shuts down gracefully."""
    try:
        loaded = load_settings(settings, GatewaySettings)
    except SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_INVALID_SETTINGS) from error
    tuning = loaded.tuning
    set_up_rate_limited_logging(loaded.log_level, loaded.vm, tuning.log_lines_per_s)
    asyncio.run(_run(settings, loaded))


async def _run(path: Path, settings: GatewaySettings) -> None:
    adapter = PlatformAdapter(CALL_FORMAT, DOCUMENT_FORMAT, store_port)
    gateway = Gateway(settings, adapter)
    stop = asyncio.Event()
    reload_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    watch_task = asyncio.create_task(
        _watch_settings(path, settings, gateway, reload_requested)
    )
    await gateway.run(stop)
    watch_task.cancel()


async def _watch_settings(
    path: Path,
    settings: GatewaySettings,
    gateway: Gateway,
    reload_requested: asyncio.Event,
) -> None:
    """Reloads the settings on SIGHUP and when the file has changed.

    Invalid settings are logged and not used. Runs until cancelled.
    """
    last_modified_ns = _modification_time_ns(path)
    while True:
        try:
            async with asyncio.timeout(SETTINGS_POLL_INTERVAL_S):
                await reload_requested.wait()
        except TimeoutError:
            if _modification_time_ns(path) == last_modified_ns:
                continue
        reload_requested.clear()
        last_modified_ns = _modification_time_ns(path)
        try:
            new_settings = load_settings(path, GatewaySettings)
        except SettingsError as error:
            log_event(Event.SETTINGS_REJECTED, reason=str(error))
            continue
        if new_settings != settings:
            settings = new_settings
            gateway.reload(new_settings)


def _modification_time_ns(path: Path) -> int:
    """Returns the modification time of a file, or 0 if it cannot be determined."""
    try:
        return os.stat(path).st_mtime_ns
    except OSError as error:
        log_event(Event.SETTINGS_REJECTED, reason=str(error))
        return 0


if __name__ == "__main__":
    app()
