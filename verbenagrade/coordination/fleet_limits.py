"""What a gateway keeps of the limits of endpoints, together with all VMs."""

import random
from dataclasses import dataclass

from verbenagrade.coordination.gateway_fleet import GatewayFleet
from verbenagrade.coordination.permits import PermitManager, StoreTime
from verbenagrade.coordination.ports import Changes, Clock, PlatformStore
from verbenagrade.coordination.shared_limits import FleetView, SharedLimits
from verbenagrade.state.directory import EndpointDirectory
from verbenagrade.state.endpoint_limits import EndpointLimits

__all__ = ["FleetLimits"]


@dataclass(frozen=True, slots=True)
class FleetLimits:
    """The limits that are known, how they are shared, and the permits for calls."""

    known: EndpointLimits
    shared: SharedLimits
    permits: PermitManager

    @classmethod
    def create(
        cls,
        table: PlatformStore,
        fleet: GatewayFleet,
        directory: EndpointDirectory,
        clock: Clock,
        rng: random.Random,
    ) -> "FleetLimits":
        """Returns the limits of a process that has heard of none yet."""
        time = StoreTime(lambda: fleet.store_time_offset_s, fleet.learn_store_time)
        known = EndpointLimits()
        view = FleetView(lambda: len(fleet.vms), directory.has)
        shared = SharedLimits(table, known, clock, time, rng, view)
        return cls(known, shared, PermitManager(table, clock, time, rng))

    def apply(self, changes: Changes, vm_count: int) -> None:
        """Applies changes of the fleet's table, which has rows of ``vm_count`` VMs."""
        self.shared.apply(changes)
        self.permits.vm_count = vm_count

    async def write(self) -> None:
        """Writes what the table does not have, and forgets limits that have ended.

        Raises ``PlatformError`` if the store does not respond.
        """
        await self.shared.write()
        self.permits.keep(self.known.limited())
