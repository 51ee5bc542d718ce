"""Shares the presence of gateways and the crashes of endpoints through the store.

The table ``fleet`` has a row ``vm/NAME`` for each VM that runs a gateway, and a row
``crash/DIGEST/ENDPOINT`` for each endpoint incarnation that broke the connection
while it ran a call. The row of a lost VM stays until a new VM with the same name
overwrites it. The number of VMs is then too high, which only makes the other
gateways more conservative.
"""

import msgspec

from verbenagrade.coordination.ports import Changes, Check, PlatformStore, Write
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import PlatformError
from verbenagrade.state.poison_calls import PoisonCalls

__all__ = ["FLEET_TABLE", "GatewayFleet"]

FLEET_TABLE = "fleet"
CRASH_KEY_PARTS = 3


class GatewayFleet:
    """The VMs that run gateways, and the calls that crashed endpoints.

    ``vms`` contains the names of all VMs, this one included.
    """

    def __init__(self, table: PlatformStore, vm: str, incarnation: str) -> None:
        self.table = table
        self.vm = vm
        self.incarnation = incarnation
        self.vms: set[str] = {vm}
        self.poison_calls = PoisonCalls()
        self.announced = False

    def apply(self, changes: Changes) -> None:
        """Applies changes of the table to the local state."""
        if changes.complete:
            self.vms = {self.vm}
        for row in changes.rows:
            self._apply_row(row.key)
        for key in changes.removed:
            kind, _, name = key.removeprefix(f"{FLEET_TABLE}//").partition("/")
            if kind == "vm" and name != self.vm:
                self.vms.discard(name)

    async def announce(self) -> None:
        """Writes this VM's row, once for each incarnation.

        Raises ``PlatformError`` if the store does not respond.
        """
        if not self.announced:
            key = f"{FLEET_TABLE}//vm/{self.vm}"
            value = msgspec.json.encode(self.incarnation)
            await self.table.commit((), (Write(key, value),))
            self.announced = True

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
        is logged, and only this gateway knows of the crash.
        """
        if not self.poison_calls.record_crash(digest, endpoint):
            return
        key = f"{FLEET_TABLE}//crash/{digest}/{endpoint}"
        checks = (Check(key, 0),)
        try:
            await self.table.commit(checks, (Write(key, b"{}"),))
        except PlatformError as error:
            log_event(Event.CRASH_NOT_REPORTED, digest=digest, reason=str(error))

    def _apply_row(self, key: str) -> None:
        parts = key.removeprefix(f"{FLEET_TABLE}//").split("/")
        if parts[0] == "vm":
            self.vms.add("/".join(parts[1:]))
        elif parts[0] == "crash" and len(parts) == CRASH_KEY_PARTS:
            self.poison_calls.record_crash(parts[1], parts[2])
