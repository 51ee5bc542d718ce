"""Shares the presence of gateways and the crashes of endpoints through the store.

The table ``fleet`` has a row ``vm/NAME`` for each VM that runs a gateway, and a row
``crash/DIGEST/ENDPOINT`` for each endpoint incarnation that broke the connection
while it ran a call. The row of a lost VM stays until a new VM with the same name
overwrites it. The number of VMs is then too high, which only makes the other
gateways more conservative.
"""

import msgspec

from verbenagrade.coordination.ports import Changes, Check, PlatformStore, Write
from verbenagrade.coordination.store_eras import StoreEras
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import PlatformError
from verbenagrade.state.poison_calls import PoisonCalls

__all__ = ["FLEET_TABLE", "GatewayFleet"]

FLEET_TABLE = "fleet"
NO_ERA = -1
"""Stands for the era of a row that is not written yet."""

MAX_OWN_REPORTS = 1_000
"""Largest number of crashes that a VM keeps to write them again, about 150 bytes
each; the one seen longest ago is dropped."""

CRASH_KEY_PARTS = 3


class GatewayFleet:
    """The VMs that run gateways, and the calls that crashed endpoints.

    ``vms`` contains the names of all VMs, this one included. ``eras`` tells when the
    store has lost recent rows; this VM then writes again what it wrote before.
    ``own_reports`` are the keys of the crashes that this VM saw, each with the era in
    which its row was written, or ``NO_ERA``.
    """

    def __init__(
        self, table: PlatformStore, vm: str, incarnation: str, eras: StoreEras
    ) -> None:
        self.table = table
        self.vm = vm
        self.incarnation = incarnation
        self.eras = eras
        self.vms: set[str] = {vm}
        self.poison_calls = PoisonCalls()
        self.announced_in = NO_ERA
        self.own_reports: dict[str, int] = {}

    def apply(self, changes: Changes) -> None:
        """Applies changes of the table to the local state."""
        if changes.complete and not changes.restored:
            self.vms = {self.vm}
        for row in changes.rows:
            self._apply_row(row.key)
        for key in changes.removed:
            kind, _, name = key.removeprefix(f"{FLEET_TABLE}//").partition("/")
            if kind == "vm" and name != self.vm:
                self.vms.discard(name)

    async def announce(self) -> None:
        """Writes this VM's row, once for each incarnation and era of the store.

        Raises ``PlatformError`` if the store does not respond.
        """
        era = self.eras.number
        if self.announced_in != era:
            key = f"{FLEET_TABLE}//vm/{self.vm}"
            value = msgspec.json.encode(self.incarnation)
            await self.table.commit((), (Write(key, value),))
            self.announced_in = era

    async def withdraw(self) -> None:
        """Removes this VM's row at a graceful shutdown.

        If the store does not respond, the failure is logged and the row stays.
        """
        key = f"{FLEET_TABLE}//vm/{self.vm}"
        try:
            await self.table.commit((), (Write(key, None),))
        except PlatformError as error:
            log_event(Event.PLATFORM_AWAY, table=FLEET_TABLE, reason=str(error))

    async def report_crash(self, digest: str, endpoint: str) -> None:
        """Records that an endpoint incarnation broke the connection during a call.

        ``digest`` identifies the call. If the store does not respond, the failure
        is logged, and ``write_reports`` tries again.
        """
        if not self.poison_calls.record_crash(digest, endpoint):
            return
        key = f"{FLEET_TABLE}//crash/{digest}/{endpoint}"
        self.own_reports[key] = NO_ERA
        while len(self.own_reports) > MAX_OWN_REPORTS:
            self.own_reports.pop(next(iter(self.own_reports)))
        try:
            await self._write_report(key)
        except PlatformError as error:
            log_event(Event.CRASH_NOT_REPORTED, digest=digest, reason=str(error))

    async def write_reports(self) -> None:
        """Writes the crashes that this VM saw and the store does not have yet.

        These are crashes whose row could not be written, and all of them after the
        store has lost recent rows. Raises ``PlatformError`` if it does not respond.
        """
        for key, era in tuple(self.own_reports.items()):
            if era != self.eras.number:
                await self._write_report(key)

    async def _write_report(self, key: str) -> None:
        era = self.eras.number
        await self.table.commit((Check(key, 0),), (Write(key, b"{}"),))
        if key in self.own_reports:
            self.own_reports[key] = era

    def _apply_row(self, key: str) -> None:
        parts = key.removeprefix(f"{FLEET_TABLE}//").split("/")
        if parts[0] == "vm":
            self.vms.add("/".join(parts[1:]))
        elif parts[0] == "crash" and len(parts) == CRASH_KEY_PARTS:
            self.poison_calls.record_crash(parts[1], parts[2])
