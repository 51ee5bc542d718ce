"""Random releases, cuts, pauses, drills and kills; streams must keep their versions."""

import asyncio
from types import SimpleNamespace

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from verbenagrade.coordination.tests.version_fleet import (
    SERVICE,
    STREAM_LIFE_S,
    Fleet,
    Vm,
)
from verbenagrade.exceptions import UpstreamTimeoutError
from verbenagrade.metrics.gateway import GatewayMetrics
from verbenagrade.state.calls import CallKind
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.tests.virtual_time import VirtualTimeLoop
from verbenagrade.transport.gateway.calls import CallProgress
from verbenagrade.transport.gateway.versions import (
    begin_record,
    candidates,
    confirm_version,
    end_record,
    find_version,
)

VMS = st.integers(min_value=0, max_value=2)
VERSIONS = st.sampled_from(("v1", "v2", "v3"))
CALL_TIMEOUT_S = STREAM_LIFE_S / 2
"""Longest timeout of a call in seconds; callers take streams up within it."""

PREFILL_S = 0.5
STREAM_S = 6.0
MAX_TAKEN_UP = 8
"""Number of streams that are taken up at each VM after each step, the last ones."""


class Caller:
    """A stream that has begun: its version, its VM and when its caller asked."""

    def __init__(self, call, version: str, vm: Vm, asked_at: float) -> None:
        self.call = call
        self.version = version
        self.vm = vm
        self.asked_at = asked_at


class VersionMachine(RuleBasedStateMachine):
    """Three VMs, which are cut off, stand still or are replaced, as endpoints are.

    In a drill the store goes away and comes back from the last copy. The entries of
    endpoints also lapse while they serve; ``lapsed`` has those endpoints, which are
    reached by the VMs that have not heard of it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.fleet = Fleet(self.loop.time)
        self.fleet.serve("v1", "v1")
        self.started = len(self.fleet.entries)
        self.calls = 0
        self.callers: list[Caller] = []
        self.lapsed: list[EndpointEntry] = []
        self.streams: set[asyncio.Task[None]] = set()
        self.run(self.start())

    def run(self, work) -> None:
        self.loop.run_until_complete(work)

    async def start(self) -> None:
        for _ in range(3):
            await self.fleet.add()
        await self.fleet.maintain()
        await self.fleet.pass_time(2 * STREAM_LIFE_S)
        self.fleet.store.take_copy()

    def teardown(self) -> None:
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.run(asyncio.sleep(0))
        self.loop.close()

    def core(self, vm: Vm) -> SimpleNamespace:
        """Returns as much of the state of a gateway as its versions need."""
        return SimpleNamespace(
            versions=vm.versions,
            clock=self.fleet.clock,
            metrics=GatewayMetrics(),
            endpoints=lambda _service: tuple(vm.entries()),
        )

    def new_call(self, resumed_call="", asked_at=None) -> SimpleNamespace:
        self.calls += 1
        now = self.fleet.clock()
        head = SimpleNamespace(
            call_id=f"call{self.calls}",
            resumed_call=resumed_call,
            resume_after="1" if resumed_call else "",
        )
        return SimpleNamespace(
            head=head,
            kind=CallKind.RESUMABLE_STREAM,
            service=SERVICE,
            started_at=now if asked_at is None else asked_at,
            deadline=now + CALL_TIMEOUT_S,
        )

    @rule(version=VERSIONS)
    def add_endpoint(self, version) -> None:
        self.started += 1
        name = f"i-{self.started}"
        entry = EndpointEntry(name, SERVICE, "", "a", 8, software_version=version)
        self.fleet.entries = [*self.fleet.entries, entry]

    @rule(version=VERSIONS)
    def remove_version(self, version) -> None:
        self.fleet.entries = [
            e for e in self.fleet.entries if e.software_version != version
        ]

    @rule(version=VERSIONS)
    def lapse(self, version) -> None:
        """Removes the entries of endpoints that go on serving."""
        entries = self.fleet.entries
        self.lapsed += [e for e in entries if e.software_version == version]
        self.fleet.entries = [e for e in entries if e.software_version != version]

    @rule()
    def come_back_to_the_store(self) -> None:
        """Has the endpoints whose entries have lapsed register again."""
        self.fleet.entries = [*self.fleet.entries, *self.lapsed]
        self.lapsed = []

    def serves(self, entry: EndpointEntry) -> bool:
        return entry in self.fleet.entries or entry in self.lapsed

    @rule(number=VMS)
    def cut_off(self, number) -> None:
        vm = self.fleet.vms[number]
        if not vm.outdated:
            vm.cut_off()

    @rule(number=VMS)
    def stand_still(self, number) -> None:
        vm = self.fleet.vms[number]
        if not vm.outdated:
            vm.stand_still()

    @rule(number=VMS)
    def recover(self, number) -> None:
        self.fleet.vms[number].recover()

    @rule()
    def take_copy(self) -> None:
        self.fleet.store.take_copy()

    @rule(seconds=st.sampled_from((0.0, 0.5, 3.0)))
    def go_away(self, seconds) -> None:
        if not self.fleet.store.down:
            self.fleet.store.down = True
            self.run(self._pass_time(seconds))

    @rule(lost=st.booleans())
    def come_back(self, lost) -> None:
        if self.fleet.store.down:
            self.fleet.store.down = False
            if lost:
                self.fleet.store.come_back_from_copy()

    @rule(numbers=st.sets(VMS, min_size=1), ready=st.booleans())
    def replace_vms(self, numbers, ready) -> None:
        """Kills VMs and starts others, which serve before or after they have read."""
        for number in numbers:
            vm = self.fleet.start_vm(self.fleet.vms[number].name)
            self.fleet.vms.remove(vm)
            self.fleet.vms[number] = vm
            if ready:
                vm.follow()

    @rule(seconds=st.sampled_from((0.2, 1.0, 3.0, 10.0, 30.0, 60.0)))
    def pass_time(self, seconds) -> None:
        self.run(self._pass_time(seconds))

    async def _pass_time(self, seconds: float) -> None:
        ends_at = self.fleet.clock() + seconds
        while (now := self.fleet.clock()) < ends_at:
            await self.fleet.maintain()
            await asyncio.sleep(min(1.0, ends_at - now))

    @rule(number=VMS, cut_meanwhile=st.booleans())
    def begin(self, number, cut_meanwhile) -> None:
        """Begins a stream at each version that the VM knows of, at the same time."""
        vm = self.fleet.vms[number]
        core, call, progress = self.core(vm), self.new_call(), CallProgress("")
        served = {
            entry.software_version: entry
            for entry in candidates(core, call, progress)
            if self.serves(entry)
        }
        self.run(self._begin_all(vm, served.values(), cut_meanwhile))

    async def _begin_all(self, vm, entries, cut_meanwhile) -> None:
        begun = [
            asyncio.create_task(self._begin(vm, entry, cut_meanwhile))
            for entry in entries
        ]
        for stream in begun:
            await stream

    async def _begin(self, vm, entry, cut_meanwhile) -> None:
        core, call, progress = self.core(vm), self.new_call(), CallProgress("")
        begin_record(core, call, progress, entry)
        if cut_meanwhile:
            self.cut_off(self.fleet.vms.index(vm))
        await asyncio.sleep(PREFILL_S)
        try:
            await confirm_version(core, call, progress, entry)
        except UpstreamTimeoutError:
            end_record(progress)
            return
        self.callers.append(Caller(call, entry.software_version, vm, call.started_at))
        stream = asyncio.create_task(self._stream(progress))
        self.streams.add(stream)
        stream.add_done_callback(self.streams.discard)

    async def _stream(self, progress) -> None:
        await asyncio.sleep(STREAM_S)
        end_record(progress)

    @rule(number=VMS, version=VERSIONS, seconds=st.sampled_from((3.0, 30.0, 60.0)))
    def release_beside_a_cut(self, number, version, seconds) -> None:
        """Has a VM begin streams that does not hear that only this version is left."""
        self.cut_off(number)
        for earlier in {entry.software_version for entry in self.fleet.entries}:
            self.lapse(earlier)
        self.add_endpoint(version)
        self.pass_time(seconds)
        self.begin(number, cut_meanwhile=False)

    @rule()
    def take_up_standing_still(self) -> None:
        self.take_up_all(stands_still=True)

    @invariant()
    def streams_keep_their_versions(self) -> None:
        self.take_up_all(stands_still=False)

    def take_up_all(self, stands_still: bool) -> None:
        """Takes the last streams up, at each VM."""
        for caller in self.callers[-MAX_TAKEN_UP:]:
            for vm in self.fleet.vms:
                if self.fleet.clock() - caller.asked_at < CALL_TIMEOUT_S:
                    self.run(self._take_up(vm, caller, stands_still))

    async def _take_up(self, vm: Vm, caller: Caller, stands_still: bool) -> None:
        core, progress = self.core(vm), CallProgress("1")
        call = self.new_call(resumed_call=caller.call.head.call_id)
        if stands_still:
            self.fleet.store.before_read = self._skip_time
        found = await find_version(core, call, progress)
        self.fleet.store.before_read = lambda: None
        if not found:
            assert vm is not caller.vm
            return
        chosen = {
            entry.software_version
            for entry in candidates(core, call, progress)
            if self.serves(entry)
        }
        assert chosen <= {caller.version}

    def _skip_time(self) -> None:
        self.fleet.store.before_read = lambda: None
        self.loop.virtual_selector.now += STREAM_LIFE_S


TestVersions = VersionMachine.TestCase
TestVersions.settings = settings(
    max_examples=100, stateful_step_count=30, deadline=None, derandomize=True
)
