"""Some VMs and a store with virtual time, to test how streams keep their versions."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress

from verbenagrade.coordination.default_versions import ServiceView
from verbenagrade.coordination.gateway_fleet import GatewayFleet
from verbenagrade.coordination.permits import StoreTime
from verbenagrade.coordination.ports import (
    Changes,
    CommitResult,
    EraMark,
    PlatformStore,
    Row,
)
from verbenagrade.coordination.store_eras import StoreEras, guard_eras
from verbenagrade.coordination.stream_records import StreamRecords
from verbenagrade.coordination.stream_versions import StreamVersions
from verbenagrade.exceptions import PlatformError
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.state.stream_versions import BegunStream, RecordNeed
from verbenagrade.tests.virtual_time import VirtualTimeLoop

STREAM_LIFE_S = 24.0
STORE_CLOCK_S = 5000.0
REPLACED_S = 5.0
"""Time in seconds in which VMs replace a default whose endpoints are gone: that which
proves it, and the rounds before and after."""

SETTLING_S = 3.0
"""Time in seconds in which all VMs confirm a default, a round each and one to tell."""

SERVICE = "pool"
DEFAULT_KEY = f"fleet//software/{SERVICE}"


class Store:
    """Rows in memory.

    While ``down``, all calls fail, and those of a VM while it is cut off. If ``late``
    is a list, transactions without a response are added to it, and can be committed
    later with ``write``. ``before_read`` is called before each read of rows. ``era`` is
    told in all responses, and rises when the store comes back from ``copy``.
    """

    def __init__(self, clock) -> None:
        self.clock = clock
        self.rows: dict[str, Row] = {}
        self.version = 0
        self.down_at: float | None = None
        self.late: list | None = None
        self.commits = 0
        self.time_offset_s = STORE_CLOCK_S
        self.reads = 0
        self.before_read: Callable[[], None] = lambda: None
        self.era = 1
        self.copy: tuple[dict[str, Row], int] = ({}, 0)

    @property
    def down(self) -> bool:
        return self.down_at is not None

    @down.setter
    def down(self, down: bool) -> None:
        self.down_at = self.clock() if down else None

    def take_copy(self) -> None:
        self.copy = (dict(self.rows), self.version)

    def come_back_from_copy(self) -> None:
        """Loses what was written since the copy; its versions are given out again."""
        rows, self.version = self.copy
        self.rows = dict(rows)
        self.era += 1

    def port_with_eras(
        self, cut_off: Callable[[], bool], eras: StoreEras
    ) -> PlatformStore:
        """Returns a port that tells the era in each response."""
        plain = self.port(cut_off)

        async def read(keys):
            rows, requested_in = await plain.read(keys), eras.current
            eras.observe(EraMark(self.era), requested_in)
            return rows

        async def scan(prefix):
            rows, requested_in = await plain.scan(prefix), eras.current
            eras.observe(EraMark(self.era), requested_in)
            return rows

        async def commit(checks, writes):
            result, requested_in = await plain.commit(checks, writes), eras.current
            eras.observe(EraMark(self.era), requested_in)
            return result

        return guard_eras(PlatformStore(read, scan, commit, None, None), eras)

    def port(self, cut_off: Callable[[], bool]) -> PlatformStore:
        def check() -> None:
            if self.down or cut_off():
                raise PlatformError("no response")

        async def read(keys):
            check()
            self.reads += 1
            self.before_read()
            return tuple(self.rows.get(key) for key in keys)

        async def scan(prefix):
            check()
            self.reads += 1
            keys = sorted(key for key in self.rows if key.startswith(prefix))
            return tuple(self.rows[key] for key in keys)

        async def commit(checks, writes):
            if self.late is not None:
                self.late.append(writes)
                raise PlatformError("no response")
            check()
            self.commits += 1
            present = [self.rows[c.key] for c in checks if c.key in self.rows]
            versions = {row.key: row.version for row in present}
            now_s = self.clock() + self.time_offset_s
            if any(versions.get(c.key, 0) != c.version for c in checks):
                return CommitResult(False, self.version, tuple(present), now_s)
            self.write(writes)
            return CommitResult(True, self.version, (), now_s)

        return PlatformStore(read, scan, commit, None, None)

    def write(self, writes) -> None:
        self.version += 1
        for write in writes:
            if write.value is None:
                self.rows.pop(write.key, None)
            else:
                self.rows[write.key] = Row(write.key, self.version, write.value)


class Vm:
    """One VM's view; ``follow`` brings it up to date with the store.

    ``cut_off_at`` is since when the store turns the VM away, ``None`` if it does not.
    Until it serves it again, the VM knows the endpoints of that time. While it stands
    still, it reaches the store, but does not know that it missed changes.
    """

    def __init__(self, fleet, name, number) -> None:
        self.fleet = fleet
        self.name = name
        self.cut_off_at: float | None = None
        self.still = False
        self.known_entries: list[EndpointEntry] = []
        self.returned_at = float("-inf")
        self.away = False
        self.eras = StoreEras(fleet.clock)
        self.store_time_offset_s: float | None = STORE_CLOCK_S
        time = StoreTime(lambda: self.store_time_offset_s, lambda _time_s: None)
        rng = random.Random(number)
        self.eras.on_change = lambda: self.versions.enter_era()
        table = fleet.store.port_with_eras(
            lambda: self.cut_off_at is not None, self.eras
        )
        self.records = StreamRecords(
            table, fleet.clock, time, self.eras, rng, lambda: len(fleet.vms)
        )
        view = ServiceView(
            entries=lambda _service: self.entries(),
            ready=lambda _service: [e for e in self.entries() if not e.leaving],
            stream_life_s=lambda: fleet.stream_life_s,
            directory_age_s=self.age_s,
            vm_count=lambda: 1,
            store_returned_at=lambda: self.returned_at,
        )
        self.versions = StreamVersions(
            table, self.records, fleet.clock, time, self.eras, view, 800, self.name, rng
        )
        self.presence = GatewayFleet(
            table, self.name, f"{self.name}-{number}", self.eras, fleet.clock
        )

    def cut_off(self) -> None:
        self.cut_off_at = self.fleet.clock()
        self.known_entries = self.fleet.entries

    def stand_still(self) -> None:
        self.still = True
        self.known_entries = self.fleet.entries

    def recover(self) -> None:
        """Ends that the VM is cut off or stands still."""
        self.cut_off_at, self.still = None, False
        self.follow()

    @property
    def outdated(self) -> bool:
        return self.still or self.cut_off_at is not None

    def entries(self) -> list[EndpointEntry]:
        return self.known_entries if self.outdated else self.fleet.entries

    def age_s(self) -> float:
        """Returns how outdated what the VM knows may be, in seconds."""
        since = [
            t for t in (self.cut_off_at, self.fleet.store.down_at) if t is not None
        ]
        return self.fleet.clock() - min(since, default=self.fleet.clock())

    def follow(self, complete=False, removed=()) -> None:
        store = self.fleet.store
        if self.cut_off_at is not None or store.down:
            self.away = True
        if self.outdated or store.down:
            return
        if self.away:
            self.away, self.returned_at = False, self.fleet.clock()
        earlier = self.eras.current
        restored = earlier not in (None, store.era)
        self.eras.observe(EraMark(store.era), earlier)
        rows = tuple(r for k, r in store.rows.items() if k.startswith("fleet//"))
        changes = Changes(store.version, rows, removed, complete or restored, restored)
        self.presence.apply(changes)
        self.versions.apply(changes)

    async def begin(self, call, version, number=1) -> None:
        """Begins a stream as a gateway does: recorded before its first event."""
        need = self.versions.need(SERVICE, version)
        era = None
        if need is not RecordNeed.NONE:
            era = await self.versions.record(call, number, version)
        begun = BegunStream(SERVICE, version, number, self.fleet.clock(), era)
        self.versions.begun.record(call, begun)

    async def find(self, call) -> str | None:
        """Returns the version at which a stream that is taken up now goes on."""
        asked_at = self.fleet.clock()
        return (await self.versions.find(SERVICE, call, asked_at)).version

    async def maintain(self) -> None:
        with suppress(PlatformError):
            await self.presence.announce(0, self.versions.defaults.to_tell())
            await self.versions.maintain((SERVICE,))
        await self.versions.record_running()


class Fleet:
    def __init__(self, clock) -> None:
        self.clock = clock
        self.store = Store(clock)
        self.stream_life_s = STREAM_LIFE_S
        self.entries: list[EndpointEntry] = []
        self.vms: list[Vm] = []
        self.started = 0

    def serve(self, *versions) -> None:
        """Replaces all endpoints."""
        self.entries = [
            EndpointEntry(f"i-{n}", SERVICE, "10.0.0.1:1", "a", 8, software_version=v)
            for n, v in enumerate(versions)
        ]

    async def add(self) -> Vm:
        vm = self.start_vm()
        vm.follow()
        return vm

    def start_vm(self, name="") -> Vm:
        """Starts a VM that has read nothing from the store yet.

        Without a name it is a further VM, otherwise a new process of that VM.
        """
        self.started += 1
        vm = Vm(self, name or f"front-{self.started}", self.started)
        self.vms.append(vm)
        return vm

    async def maintain(self) -> None:
        for vm in self.vms:
            if not vm.still:
                await vm.maintain()
        self.follow()

    def follow(self) -> None:
        for vm in self.vms:
            vm.follow()

    async def pass_time(self, seconds: float) -> None:
        """Waits while the VMs follow the store."""
        await asyncio.sleep(seconds)
        self.follow()

    async def run(self, seconds: float) -> None:
        """Waits while the VMs do their work of each second."""
        for _ in range(round(seconds)):
            await asyncio.sleep(1.0)
            await self.maintain()


def play(scenario: Callable[..., Awaitable[None]]) -> None:
    """Runs a scenario with a fleet of two VMs, whose endpoints ran v1 for long."""

    async def run() -> None:
        fleet = Fleet(asyncio.get_running_loop().time)
        fleet.serve("v1", "v1")
        for _ in range(2):
            await fleet.add()
        await fleet.maintain()
        await fleet.pass_time(2 * STREAM_LIFE_S)
        await scenario(fleet, *fleet.vms)

    run_at_virtual_time(run())


def run_at_virtual_time(work: Coroutine[None, None, None]) -> None:
    loop = VirtualTimeLoop()
    try:
        loop.run_until_complete(work)
    finally:
        loop.close()
