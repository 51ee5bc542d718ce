"""Shares the presence of gateways and the crashes of endpoints through the store.

The table ``fleet`` has a row ``vm/NAME`` for each VM that runs a gateway. A row
``crash/DIGEST/ENDPOINT`` stands for an endpoint incarnation that crashed while it ran a
call, and a row ``suspect/PART/ENDPOINT`` for one that had a call with this part of a
prompt. A row ``trial/NAME/NUMBER`` tells that a VM sends a call to try a convicted part
or digest. The row of a lost VM stays until a new VM with the same name overwrites it.
The number of VMs is then too high, which only makes the other gateways more
conservative. Rows of crashes are removed when they no longer count.
"""

import random
from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from verbenagrade.coordination.crash_rows import (
    decode_crash_time,
    decode_trial,
    encode_crash,
    split_key,
)
from verbenagrade.coordination.ports import (
    Changes,
    Check,
    Clock,
    PlatformStore,
    Row,
    Write,
)
from verbenagrade.coordination.presence_rows import PresenceRow, decode_peer
from verbenagrade.coordination.store_eras import StoreEras
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import PlatformError
from verbenagrade.state.crash_memory import CrashMemory
from verbenagrade.state.crash_suspects import SUSPICION_S
from verbenagrade.state.relay_peers import RelayPeers
from verbenagrade.state.stream_versions import HeardDefaults

__all__ = ["FLEET_TABLE", "GatewayFleet"]

FLEET_TABLE = "fleet"
NO_ERA = -1
"""Stands for the era of a row that is not written yet."""

MAX_OWN_REPORTS = 1_000
"""Largest number of crashes that a VM keeps to write them again, about 150 bytes
each; the one seen longest ago is dropped."""

MAX_REMOVALS = 1_000
"""Largest number of rows that a VM keeps in order to remove them from the store."""

MAX_CRASHES = 20_000
"""Largest number of crashes whose times are known, about 250 bytes each; the rows of
others stay until a full read of the table finds that they have expired."""

EXPECTED_REMOVERS = 2.0
"""Expected number of VMs that remove an expired row. If none does, the next full read
of the table finds it again."""

MAX_ROWS_PER_COMMIT = 50
CRASH_NAMES = 2


class GatewayFleet:
    """The VMs that run gateways, and the calls that crashed endpoints.

    ``vms`` contains the names of all VMs, this one included. ``eras`` tells when the
    store has lost recent rows; this VM then writes again what it wrote before.
    ``own_reports`` are the keys of the crashes that this VM saw, each with the era in
    which its row was written, or ``NO_ERA``. ``crash_times`` has the time of each
    crash that counts, by the key of its row, in seconds on ``clock``. ``removals`` are
    the keys of rows to remove, and ``claims`` the parts and digests that this VM is
    about to try. ``loaded`` is true once the table was read. ``presence`` is what this
    VM's row says, and ``peers`` are the VMs that pass calls on.
    """

    def __init__(
        self,
        table: PlatformStore,
        vm: str,
        incarnation: str,
        eras: StoreEras,
        clock: Clock,
    ) -> None:
        self.table = table
        self.vm = vm
        self.own_key = f"{FLEET_TABLE}//vm/{vm}"
        self.presence = PresenceRow(incarnation)
        self.peers = RelayPeers()
        self.eras = eras
        self.clock = clock
        self.vms: set[str] = {vm}
        self.memory = CrashMemory()
        self.poison_calls = self.memory.poison_calls
        self.suspects = self.memory.suspects
        self.announced: tuple[int, PresenceRow] | None = None
        self.own_reports: dict[str, int] = {}
        self.crash_times: OrderedDict[str, float] = OrderedDict()
        self.removals: OrderedDict[str, None] = OrderedDict()
        self.claims: set[str] = set()
        self.random = random.Random(incarnation)
        self.store_time_offset_s: float | None = None
        self.loaded = False

    def apply(self, changes: Changes) -> None:
        """Applies changes of the table to the local state."""
        self.learn_store_time(changes.store_time_s)
        if changes.complete and not changes.restored:
            self.vms = {self.vm}
            present = {row.key for row in changes.rows}
            self.peers.retain(lambda vm: f"{FLEET_TABLE}//vm/{vm}" in present)
            self._forget_absent(present)
            if self.own_key not in present:
                self.announced = None
        for row in changes.rows:
            self._apply_row(row)
        for key in changes.removed:
            kind, _, name = key.removeprefix(f"{FLEET_TABLE}//").partition("/")
            if key == self.own_key:
                self.announced = None
            elif kind == "vm":
                self.vms.discard(name)
                self.peers.remove(name)
            else:
                self.forget_crash(key)
        self.loaded = True

    async def announce(
        self, restored_in: int, heard: HeardDefaults | None = None
    ) -> None:
        """Writes this VM's row, again in each era, if it has changed or was lost.

        ``restored_in`` is what it tells of its budgets, and ``heard`` of the default
        software versions. Raises ``PlatformError`` if the store does not respond.
        """
        presence = msgspec.structs.replace(
            self.presence, restored_in=restored_in, heard=heard
        )
        if self.announced != (announced := (self.eras.number, presence)):
            value = msgspec.json.encode(presence)
            await self._commit((Write(self.own_key, value),))
            self.announced = announced

    async def withdraw(self) -> None:
        """Removes this VM's row, or logs that the store does not respond."""
        try:
            await self._commit((Write(self.own_key, None),))
        except PlatformError as error:
            log_event(Event.PLATFORM_AWAY, table=FLEET_TABLE, reason=str(error))

    async def report_crashes(
        self, digests: Iterable[str], endpoint: str, at: float
    ) -> None:
        """Records that an endpoint incarnation crashed while it ran calls.

        ``digests`` identify the calls, and ``at`` is the time of the crash, in seconds.
        If the store does not respond, the failure is logged, and ``write_reports``
        tries again.
        """
        await self._report("crash", digests, endpoint, at)

    async def report_suspects(
        self, parts: Iterable[str], endpoint: str, at: float
    ) -> None:
        """Records that an endpoint incarnation crashed while it had calls with parts.

        ``at`` is the time of the crash, in seconds. If the store does not respond, the
        failure is logged, and ``write_reports`` tries again.
        """
        await self._report("suspect", parts, endpoint, at)

    def record_survival(self, parts: tuple[str, ...], sent_at: float) -> bool:
        """Records that a call shows its parts to be sound; it was sent at ``sent_at``.

        Returns whether rows held crashes against them, which ``write_removals``
        removes.
        """
        return self._remove_rows(self.memory.record_survival(parts, sent_at))

    def record_completion(self, digest: str, sent_at: float) -> bool:
        """Records a complete response to a call that was sent at ``sent_at``.

        Returns whether rows held crashes against its digest, which ``write_removals``
        removes.
        """
        return self._remove_rows(self.memory.record_completion(digest, sent_at))

    async def try_cause(self, cause: str) -> bool:
        """Returns whether this VM may now send a call to try a part or a digest.

        Only one VM gets each trial. It is false if the store does not respond.
        """
        memory = self.memory.of(cause)
        number = memory.next_trial(cause, self.clock())
        if number is None or cause in self.claims:
            return False
        key = f"{FLEET_TABLE}//trial/{cause}/{number}"
        self.crash_times[key] = self.clock()
        self.claims.add(cause)
        try:
            commit = await self.table.commit(
                (Check(key, 0),), (Write(key, self._value(key)),)
            )
        except PlatformError as error:
            self.crash_times.pop(key, None)
            log_event(Event.CRASH_NOT_REPORTED, rows=1, reason=str(error))
            return False
        finally:
            self.claims.discard(cause)
        memory.record_trial(cause, number)
        return commit.committed

    async def write_removals(self) -> None:
        """Removes the rows of crashes that no longer count.

        If the store does not respond, the failure is logged, and ``write_reports``
        tries again.
        """
        try:
            await self._write_removals()
        except PlatformError as error:
            log_event(
                Event.CRASH_NOT_REPORTED, rows=len(self.removals), reason=str(error)
            )

    async def write_reports(self) -> None:
        """Writes and removes the rows of crashes that the store does not have so.

        These are crashes whose row could not be written, all of them after the store
        has lost recent rows, and crashes that no longer count. Raises ``PlatformError``
        if the store does not respond.
        """
        for key, at in tuple(self.crash_times.items()):
            if self._is_expired(at):
                self.forget_crash(key)
                self._remove_expired(key)
        await self._write_removals()
        era = self.eras.number
        await self._write_rows(
            tuple(key for key, written in self.own_reports.items() if written != era)
        )

    def forget_crash(self, key: str) -> None:
        """Forgets a crash whose row has the key."""
        self.own_reports.pop(key, None)
        self.removals.pop(key, None)
        self.crash_times.pop(key, None)
        kind, *names = split_key(key, FLEET_TABLE)
        if len(names) != CRASH_NAMES:
            return
        self.memory.forget(kind, *names)

    def _remove_rows(self, names: tuple[str, ...]) -> bool:
        """Has rows removed that no longer hold; returns whether there are any."""
        for name in names:
            key = f"{FLEET_TABLE}//{name}"
            self.crash_times.pop(key, None)
            self._remove_row(key)
        return bool(names)

    async def _write_removals(self) -> None:
        keys = tuple(self.removals)[:MAX_ROWS_PER_COMMIT]
        if keys:
            await self._commit(tuple(Write(key, None) for key in keys))
        for key in keys:
            self.removals.pop(key, None)

    async def _report(
        self, kind: str, names: Iterable[str], endpoint: str, at: float
    ) -> None:
        """Writes the rows of crashes, or logs that they are to be written later."""
        keys = tuple(
            f"{FLEET_TABLE}//{kind}/{name}/{endpoint}"
            for name in names
            if self.memory.record(kind, name, endpoint, at)
        )
        for key in keys:
            self.crash_times[key] = at
            self.own_reports[key] = NO_ERA
        while len(self.own_reports) > MAX_OWN_REPORTS:
            self.own_reports.pop(next(iter(self.own_reports)))
        try:
            await self._write_rows(keys)
        except PlatformError as error:
            log_event(Event.CRASH_NOT_REPORTED, rows=len(keys), reason=str(error))

    async def _write_rows(self, keys: tuple[str, ...]) -> None:
        era = self.eras.number
        for start in range(0, len(keys), MAX_ROWS_PER_COMMIT):
            chunk = keys[start : start + MAX_ROWS_PER_COMMIT]
            await self._commit(tuple(Write(key, self._value(key)) for key in chunk))
            for key in chunk:
                if key in self.own_reports:
                    self.own_reports[key] = era

    def _value(self, key: str) -> bytes:
        """Returns the value of the row of a crash."""
        return encode_crash(self.crash_times.get(key), self.store_time_offset_s)

    async def _commit(self, writes: tuple[Write, ...]) -> None:
        commit = await self.table.commit((), writes)
        self.learn_store_time(commit.store_time_s)

    def learn_store_time(self, store_time_s: float | None) -> None:
        """Learns the store's clock from the time in a response, in seconds."""
        if store_time_s is not None:
            self.store_time_offset_s = store_time_s - self.clock()

    def _remove_row(self, key: str) -> None:
        """Has a row removed from the store; the oldest such order may be dropped."""
        self.own_reports.pop(key, None)
        self.removals[key] = None
        if len(self.removals) > MAX_REMOVALS:
            self.removals.popitem(last=False)

    def _remove_expired(self, key: str) -> None:
        """Has an expired row removed, by about two of all VMs."""
        if self.random.random() * len(self.vms) < EXPECTED_REMOVERS:
            self._remove_row(key)

    def _is_expired(self, at: float) -> bool:
        return self.clock() - at > SUSPICION_S

    def _forget_absent(self, present: set[str]) -> None:
        """Forgets crashes whose rows were removed while no changes arrived."""
        for key in tuple(self.crash_times):
            if key not in present and key not in self.own_reports:
                self.forget_crash(key)

    def _apply_row(self, row: Row) -> None:
        kind, *names = split_key(row.key, FLEET_TABLE)
        if kind == "vm":
            self._apply_presence("/".join(names), row)
        elif kind in ("crash", "suspect", "trial") and len(names) == CRASH_NAMES:
            self._apply_crash(row, kind, *names)

    def _apply_presence(self, vm: str, row: Row) -> None:
        self.vms.add(vm)
        if vm != self.vm:
            self.peers.replace(vm, decode_peer(vm, row))

    def _apply_crash(self, row: Row, kind: str, name: str, endpoint: str) -> None:
        if row.key in self.removals:
            return
        at = decode_crash_time(row, self.store_time_offset_s, self.clock())
        if self._is_expired(at):
            return self._remove_expired(row.key)
        if kind == "trial":
            if (number := decode_trial(row.key, endpoint)) is not None:
                self.memory.of(name).record_trial(name, number)
        elif not self.memory.record(kind, name, endpoint, at):
            if row.key not in self.crash_times:
                self._remove_row(row.key)
            return
        self.crash_times.setdefault(row.key, at)
        if len(self.crash_times) > MAX_CRASHES:
            self.crash_times.popitem(last=False)
