"""Creates the parts of a gateway that work with the store."""

import random
from collections.abc import Callable, Iterable

from verbenagrade.coordination.allowances import AllowanceManager
from verbenagrade.coordination.budget_holder import BudgetHolder
from verbenagrade.coordination.default_versions import ServiceView
from verbenagrade.coordination.fleet_budgets import FleetBudgets, HolderLinks
from verbenagrade.coordination.peer_restorations import PeerRestorations
from verbenagrade.coordination.permits import StoreTime
from verbenagrade.coordination.ports import Clock, PlatformStore
from verbenagrade.coordination.spending_reports import SpendingReports, VmIdentity
from verbenagrade.coordination.store_eras import StoreEras
from verbenagrade.coordination.stream_records import StreamRecords
from verbenagrade.coordination.stream_versions import StreamVersions
from verbenagrade.settings.gateway import GatewaySettings
from verbenagrade.state.holders import HolderRanking, HolderVm
from verbenagrade.state.relay_peers import RelayPeer
from verbenagrade.transport.clients.shared import Clients
from verbenagrade.transport.gateway.core import GatewayCore
from verbenagrade.transport.gateway.holder_connection import SpenderIdentity
from verbenagrade.transport.gateway.holder_links import HolderLinkTable
from verbenagrade.transport.gateway.holder_server import HolderServer

__all__ = ["GatewayBudgets", "make_versions", "missing_endpoint_hold_s"]

MISSING_ENDPOINT_HOLD_FRACTION = 0.5
"""Fraction of the drain time for which an endpoint whose entry is missing is kept."""

MS_PER_S = 1000


class GatewayBudgets:
    """The budgets of a gateway: own grants, and those of other VMs in the fleet.

    ``fleet`` reserves for the calls of this VM, ``holder`` for those of other VMs.
    ``links`` and ``server`` are the connections for both. ``restorations`` learns what
    other VMs hold after the store came back from an older copy.
    """

    def __init__(
        self,
        table: PlatformStore,
        settings: GatewaySettings,
        incarnation: str,
        clock: Clock,
        eras: StoreEras,
        keys: Callable[[], list[bytes]],
        clients: Clients,
    ) -> None:
        own = HolderVm(settings.vm, "", settings.data_centre)
        manager = _make_allowance_manager(table, settings, incarnation, clock, eras)
        self.manager = manager
        self.ranking = HolderRanking(own)
        identity = SpenderIdentity(settings.vm, incarnation, keys)
        self.links = HolderLinkTable(identity)
        links = HolderLinks(self.links.reserve, self.links.free, self.links.settle)
        self.fleet = FleetBudgets(manager, self.ranking, links, clock)
        self.restorations = PeerRestorations(
            manager, self.ranking, self.links.known_states, clock
        )
        self.holder = BudgetHolder(manager)
        self.server = HolderServer(self.holder, incarnation, keys, clients)

    def update_vms(self, peers: Iterable[RelayPeer], vm_count: int) -> None:
        """Applies a change of the VMs in the fleet."""
        holders = [peer for peer in peers if peer.reservation_address]
        self.ranking.update(
            HolderVm(peer.vm, peer.reservation_address, peer.data_centre)
            for peer in holders
        )
        self.restorations.update({peer.vm: peer.restored_in for peer in holders})
        self.manager.vm_count = vm_count
        self.manager.planner.holder_count = len(self.ranking.data_centres)

    def stop_accepting(self) -> None:
        """Makes no further reservations for other VMs."""
        self.holder.accepting = False

    def close(self) -> None:
        """Ends all connections for reservations."""
        self.server.stop()
        self.links.close()


def _make_allowance_manager(
    table: PlatformStore,
    settings: GatewaySettings,
    incarnation: str,
    clock: Clock,
    eras: StoreEras,
) -> AllowanceManager:
    """Returns the manager of this VM's grants, which reports what is spent."""
    vm = settings.vm
    identity = VmIdentity(vm, settings.listen.callers, incarnation)
    reports = SpendingReports(table, identity, clock, eras)
    return AllowanceManager(
        table, vm, incarnation, settings.tuning, clock, eras, reports
    )


def make_versions(
    table: PlatformStore,
    settings: GatewaySettings,
    eras: StoreEras,
    seed: int,
    clock: Clock,
    core: Callable[[], GatewayCore],
) -> StreamVersions:
    """Returns what this VM knows of the software versions of streams.

    ``core`` returns the state of the gateway, once it exists.
    """

    def vm_count() -> int:
        """Returns the number of VMs in the fleet."""
        return len(core().fleet.vms)

    time = StoreTime(
        lambda: core().fleet.store_time_offset_s,
        lambda time_s: core().fleet.learn_store_time(time_s),
    )
    view = ServiceView(
        entries=lambda service: core().directory.all(service),
        ready=lambda service: core().directory.ready(service),
        stream_life_s=lambda: core().stream_life_s,
        directory_age_s=lambda: core().directory_freshness.staleness_s(clock()),
        vm_count=vm_count,
        store_returned_at=lambda: core().directory.outage_ended,
    )
    rng = random.Random(seed)
    records = StreamRecords(table, clock, time, eras, rng, vm_count)
    writes_per_s = settings.store.writes_per_s
    return StreamVersions(
        table, records, clock, time, eras, view, writes_per_s, settings.vm, rng
    )


def missing_endpoint_hold_s(settings: GatewaySettings) -> float:
    """Returns how long an endpoint whose entry is missing is kept, in seconds."""
    return MISSING_ENDPOINT_HOLD_FRACTION * settings.bounds.drain_ms / MS_PER_S
