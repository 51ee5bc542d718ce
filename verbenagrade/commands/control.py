"""``verbenagrade-control``: serves the operators' HTTP interface."""

import asyncio
import signal
import time
from pathlib import Path

import typer

from verbenagrade.events import Event, log_event, set_up_logging
from verbenagrade.exceptions import SettingsError
from verbenagrade.settings import ControlSettings, load_settings
from verbenagrade.transport.checked_responses import checked_session
from verbenagrade.transport.clients.listeners import (
    ClientAppRunner,
    client_limits,
    start_server,
)
from verbenagrade.transport.clients.shared import Clients
from verbenagrade.transport.operator_api import OperatorApi
from verbenagrade.transport.platform import (
    object_store_port,
    table_port,
    vm_list_port,
)

__all__ = ["app", "main"]

EXIT_INVALID_SETTINGS = 2

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def main(settings: Path) -> None:
    """Serves operators until SIGTERM or SIGINT."""
    try:
        loaded = load_settings(settings, ControlSettings)
    except SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_INVALID_SETTINGS) from error
    set_up_logging(loaded.log_level, loaded.vm)
    asyncio.run(_run(loaded))


async def _run(settings: ControlSettings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    clients = Clients(client_limits(settings.client_memory_mb), time.monotonic)
    async with checked_session() as session:
        platform = settings.platform
        operators = OperatorApi(
            table_port(session, platform),
            object_store_port(session, platform),
            vm_list_port(session, platform),
            clients,
        )
        runner = ClientAppRunner(operators.application(), clients)
        await runner.setup()
        await start_server(runner, settings.address, settings.port)
        log_event(Event.PROCESS_STARTED, instance=settings.vm)
        await stop.wait()
        log_event(Event.PROCESS_STOPPING, instance=settings.vm)
        await runner.cleanup()


if __name__ == "__main__":
    app()
