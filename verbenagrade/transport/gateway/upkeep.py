"""The periodic work of a gateway; each function runs until it is cancelled."""

import asyncio
from contextlib import suppress

from verbenagrade.coordination.gateway_fleet import FLEET_TABLE
from verbenagrade.coordination.peer_restorations import PeerRestorations
from verbenagrade.coordination.restorations import restored_era
from verbenagrade.coordination.spending_reports import report_interval_s
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import PlatformError
from verbenagrade.state.calls import CallKind
from verbenagrade.transport.gateway.core import GatewayCore
from verbenagrade.transport.gateway.holder_links import HolderLinkTable

__all__ = [
    "ask_peers",
    "expire_endpoints",
    "maintain_grants",
    "record_streams",
    "report_spending",
    "resend_settlements",
    "restore_budgets",
]

MAINTENANCE_INTERVAL_S = 1.0
EXPIRY_INTERVAL_S = 0.2
RESTORATION_INTERVAL_S = 0.25
RESEND_INTERVAL_S = 0.5
RECORD_INTERVAL_S = 0.25
RECORD_DELAY_S = 0.01
"""Longest time between two looks at the running streams, and time between the beginning
of a stream and its record, in seconds."""
PREFETCH_DELAY_S = 3.0
"""Time after the start before which no grants are obtained without demand, in seconds.
By then the other VMs of a fleet that starts have announced themselves, and this VM
knows which budgets it holds."""


async def expire_endpoints(core: GatewayCore) -> None:
    """Removes endpoints whose entries did not reappear in time.

    Takes notice of which software versions have endpoints, too.
    """
    while True:
        await asyncio.sleep(EXPIRY_INTERVAL_S)
        core.versions.look(_services_with_resumable_streams(core))
        change = core.directory.expire(core.clock())
        core.placement.forget(change.ended)
        for name in change.ended:
            log_event(Event.ENDPOINT_GONE, endpoint=name)


async def maintain_grants(core: GatewayCore) -> None:
    """Announces this VM, if not yet done, and maintains its reports and grants."""
    while True:
        await asyncio.sleep(MAINTENANCE_INTERVAL_S * core.random.uniform(0.8, 1.2))
        try:
            heard = core.versions.defaults.to_tell()
            await core.fleet.announce(_restored_era(core), heard)
            await core.fleet.write_reports()
            await core.limits.write()
            await core.relay_keys.write()
            await core.versions.maintain(_services_with_resumable_streams(core))
        except PlatformError as error:
            log_event(Event.PLATFORM_AWAY, table=FLEET_TABLE, reason=str(error))
            continue
        if core.clock() - core.started_at > PREFETCH_DELAY_S:
            await core.allowance_manager.prefetch_grants()
        await core.allowance_manager.rebalance()


async def resend_settlements(links: HolderLinkTable) -> None:
    """Connects again to holders that have not confirmed settlements."""
    while True:
        await asyncio.sleep(RESEND_INTERVAL_S)
        await links.resend()


async def restore_budgets(core: GatewayCore) -> None:
    """Restores budgets soon after the store came back from an older copy."""
    while True:
        await asyncio.sleep(RESTORATION_INTERVAL_S * core.random.uniform(0.8, 1.2))
        await core.allowance_manager.restore_budgets()


async def ask_peers(restorations: PeerRestorations) -> None:
    """Asks other VMs for what they have not restored in the store's present era."""
    while True:
        await asyncio.sleep(RESTORATION_INTERVAL_S)
        await restorations.ask_peers()


async def record_streams(core: GatewayCore) -> None:
    """Records running streams while the store may have lost records.

    Those that begin soon after each other share transactions.
    """
    while True:
        with suppress(TimeoutError):
            async with asyncio.timeout(RECORD_INTERVAL_S):
                await core.versions.to_record.wait()
        await asyncio.sleep(RECORD_DELAY_S)
        core.metrics.stream_records.add({}, await core.versions.record_running())


async def report_spending(core: GatewayCore) -> None:
    """Reports to the store what this VM spends."""
    manager = core.allowance_manager
    delayed = False
    while True:
        try:
            await manager.report_spending()
            delayed = False
        except PlatformError as error:
            if not delayed:
                log_event(Event.SPENDING_DELAYED, reason=str(error))
            delayed = True
        interval_s = report_interval_s(manager.vm_count)
        await asyncio.sleep(interval_s * core.random.uniform(0.8, 1.2))


def _restored_era(core: GatewayCore) -> int:
    """Returns the last era of the store that contains all that this VM knows."""
    return restored_era(core.allowance_manager.accounts.values(), core.eras.number)


def _services_with_resumable_streams(core: GatewayCore) -> frozenset[str]:
    """Returns the services whose streams may go on at another endpoint."""
    if core.route_index is None:
        return frozenset()
    return frozenset(
        share.service
        for route in core.route_index.configuration.routes
        if route.kind is CallKind.RESUMABLE_STREAM
        for share in route.shares
    )
