"""Tells which VMs know the default software versions of services.

A VM that does not know that a default was replaced begins streams at the earlier one
without a record, for as long as it can't reach the store. Its row in the fleet's table
tells up to which version of that table it has read, and is written again after each
change of a default. Until all VMs have confirmed a default in this way, no stream
without a record is taken for one of it.
"""

import random

from verbenagrade.coordination.crash_rows import split_key
from verbenagrade.coordination.gateway_fleet import FLEET_TABLE
from verbenagrade.coordination.ports import Changes, Row
from verbenagrade.coordination.presence_rows import PresenceRow
from verbenagrade.coordination.store_eras import StoreEras
from verbenagrade.exceptions import UndecodableError
from verbenagrade.state.decoding import decode_json
from verbenagrade.state.stream_versions import HeardDefaults

__all__ = ["DefaultConfirmations"]

CONFIRMATIONS_PER_S = 50.0
"""Largest mean rate at which all VMs together confirm a default, a quarter of the
transactions that one partition of the store takes."""

ROUND_S = 1.0
"""Time in seconds over which the rounds of the VMs are spread in any case."""

NOTHING_HEARD = HeardDefaults(era=0, version=0)


class DefaultConfirmations:
    """Up to where each VM knows the defaults.

    ``heard`` has what the rows of the VMs tell, ``None`` for builds that don't tell;
    those are not waited for. ``followed`` is what this VM has read of the table, and
    ``told`` what its row tells, ``None`` before it has one. ``tell_at`` is when the row
    has to tell of a newer default, in seconds, ``None`` if it need not.
    """

    def __init__(self, vm: str, eras: StoreEras, rng: random.Random) -> None:
        self.vm = vm
        self.eras = eras
        self.random = rng
        self.heard: dict[str, HeardDefaults | None] = {}
        self.followed = NOTHING_HEARD
        self.told: HeardDefaults | None = None
        self.tell_at: float | None = None

    def apply(self, changes: Changes) -> None:
        """Applies changes of the fleet's table.

        A VM whose row the store has lost may still run, and stays known.
        """
        if changes.complete and not changes.restored:
            self.heard = {}
        for row in changes.rows:
            if vm := _vm(row.key):
                self.heard[vm] = _decode(row)
        for vm in filter(None, map(_vm, changes.removed)):
            self.heard.pop(vm, None)
        self.followed = HeardDefaults(self.eras.number, changes.version)

    def is_listed(self) -> bool:
        """Returns whether this VM knows that the others can see its row."""
        return self.heard.get(self.vm) is not None

    def missing(self, row_version: int) -> tuple[str, ...]:
        """Returns the VMs that may not know what a row has at a version.

        This VM is one of them as long as it may not know the rows of all others.
        """
        era = self.eras.number
        if not self.followed.covers(era, row_version):
            return (self.vm,)
        return tuple(
            vm
            for vm, heard in sorted(self.heard.items())
            if vm != self.vm
            and heard is not None
            and not heard.covers(era, row_version)
        )

    def to_tell(self, newest_row: int, vm_count: int, now: float) -> HeardDefaults:
        """Returns what the row of this VM has to tell at a time in seconds.

        ``newest_row`` is the newest version of the row of a default that is not
        confirmed yet. VMs of a large fleet do not tell of it at the same time.
        """
        if self.told is None or self.told.era != self.followed.era:
            return self._tell()
        if self.told.version >= newest_row or self.followed.version < newest_row:
            return self.told
        if self.tell_at is None:
            spread_s = max(0.0, vm_count / CONFIRMATIONS_PER_S - ROUND_S)
            self.tell_at = now + self.random.uniform(0.0, spread_s)
        return self._tell() if now >= self.tell_at else self.told

    def _tell(self) -> HeardDefaults:
        self.told, self.tell_at = self.followed, None
        return self.told


def _vm(key: str) -> str:
    """Returns the VM that the row of a key belongs to, empty if none."""
    kind, *names = split_key(key, FLEET_TABLE)
    return "/".join(names) if kind == "vm" else ""


def _decode(row: Row) -> HeardDefaults | None:
    """Returns what the row of a VM tells, ``None`` if its build does not tell.

    A row that can't be read, which is logged where its addresses are read, confirms
    nothing.
    """
    try:
        content = decode_json(row.value, PresenceRow | str)
    except UndecodableError:
        return NOTHING_HEARD
    return content.heard if isinstance(content, PresenceRow) else None
