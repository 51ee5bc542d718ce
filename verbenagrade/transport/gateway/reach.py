"""Finds out whether this VM reaches endpoints directly.

A connection that fails may be due to its endpoint. If other endpoints accept none
either, and none was opened in the meantime, this VM is cut off, and calls go through
other VMs until an endpoint accepts a connection again.
"""

import asyncio

from verbenagrade.events import Event, log_event
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.transport.gateway.core import GatewayCore
from verbenagrade.transport.response_ends import try_connection

__all__ = [
    "accepts_connection",
    "connection_error",
    "is_cut_off",
    "open_and_close",
    "watch_reach",
]

SURVEYED_ENDPOINTS = 3
"""Number of other endpoints that are asked for a connection after one has failed."""

RECHECK_S = 0.5
"""Time between two tries of a VM that is cut off, in seconds."""


async def accepts_connection(
    core: GatewayCore, entry: EndpointEntry, timeout_s: float
) -> bool:
    """Returns whether an endpoint accepts a connection, which is closed again.

    If it does not, placement avoids the endpoint for some time.
    """
    return await connection_error(core, entry, timeout_s) is None


async def connection_error(
    core: GatewayCore, entry: EndpointEntry, timeout_s: float
) -> Exception | None:
    """Returns why an endpoint accepts no connection, ``None`` if it accepts one.

    The connection is closed again. If there is none, placement avoids the endpoint for
    some time.
    """
    started_at = core.clock()
    error = await open_and_close(entry.address, timeout_s)
    if error is None:
        core.reach.record_connected(started_at)
        return None
    core.placement.unreachable(entry, core.clock())
    log_event(Event.ENDPOINT_UNREACHABLE, endpoint=entry.name, reason=repr(error))
    return error


async def is_cut_off(core: GatewayCore, failed: EndpointEntry, since: float) -> bool:
    """Returns whether this VM reaches no endpoint.

    ``failed`` has accepted no connection from a time ``since`` on, in seconds. Calls
    that fail at the same time share one survey of other endpoints.
    """
    reach = core.reach
    if reach.cut_off or reach.connected_at > since:
        return reach.cut_off
    if reach.survey is None:
        reach.survey = asyncio.create_task(_survey(core, failed))
        reach.survey.add_done_callback(_end_survey(core))
    await asyncio.shield(reach.survey)
    return reach.cut_off


def _end_survey(core: GatewayCore):
    """Returns a callback that forgets a survey which has ended."""

    def end(_task: asyncio.Task[None]) -> None:
        """Lets the next failure begin a new survey."""
        core.reach.survey = None

    return end


async def _survey(core: GatewayCore, failed: EndpointEntry) -> None:
    """Sets ``cut_off`` if no other endpoint accepts a connection."""
    others = [e for e in core.directory.usable() if e.name != failed.name]
    sample = core.random.sample(others, min(SURVEYED_ENDPOINTS, len(others)))
    if not await _reaches_any(core, sample):
        _enter(core, [failed.name, *(entry.name for entry in sample)])


async def _reaches_any(core: GatewayCore, entries: list[EndpointEntry]) -> bool:
    timeout_s = core.settings.tuning.connect_s
    started_at = core.clock()
    errors = await asyncio.gather(
        *(open_and_close(entry.address, timeout_s) for entry in entries)
    )
    reached = None in errors
    if reached:
        core.reach.record_connected(started_at)
    return reached or core.reach.connected_at > started_at


def _enter(core: GatewayCore, endpoints: list[str]) -> None:
    core.reach.cut_off = True
    core.placement.forget_failed_connections()
    log_event(Event.WAY_LOST, endpoints=endpoints, peers=len(core.fleet.peers.peers))


async def watch_reach(core: GatewayCore) -> None:
    """Looks for the way back to endpoints while this VM is cut off."""
    while True:
        await asyncio.sleep(RECHECK_S * core.random.uniform(0.8, 1.2))
        if not core.reach.cut_off:
            continue
        usable = core.directory.usable()
        sample = core.random.sample(usable, min(SURVEYED_ENDPOINTS, len(usable)))
        if await _reaches_any(core, sample):
            core.reach.cut_off = False
            core.placement.forget_failed_connections()
            log_event(Event.WAY_REGAINED, endpoints=[entry.name for entry in sample])


async def open_and_close(address: str, timeout_s: float) -> Exception | None:
    """Tries to connect to an address ``HOST:PORT``; returns the error."""
    host, _, port = address.rpartition(":")
    return await try_connection(host, int(port), timeout_s)
