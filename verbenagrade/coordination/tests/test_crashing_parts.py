"""Tests of how a fleet of gateways finds a part of prompts that crashes endpoints.

Gateways share a store in memory that delays changes and loses commits. Endpoints crash
when they begin to respond to a call with the part, and break off all their calls.
"""

import random
from dataclasses import dataclass, field

import pytest

from verbenagrade.coordination.gateway_fleet import GatewayFleet
from verbenagrade.coordination.ports import (
    Changes,
    CommitResult,
    EraMark,
    PlatformStore,
    Row,
)
from verbenagrade.coordination.store_eras import StoreEras
from verbenagrade.exceptions import PlatformError

VMS = 8
ENDPOINTS = 8
STEP_S = 0.05
RETURN_S = 3.0
SOUND_CALLS_PER_S = 25
BAD_CALLS_PER_S = 3
FIRST_PARTS = 4
SECOND_PARTS = 40
STABLE_S = 4.0
STALE_REPORTS_S = 1.0
CRASHES_BEFORE_BOUND = 5
MAX_LATE_CALLS = 3


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@dataclass(eq=False)
class Endpoint:
    name: str
    calls: list = field(default_factory=list)
    up_at: float = 0.0


@dataclass(eq=False)
class RunningCall:
    vm: "Vm"
    parts: tuple[str, ...]
    sent_at: float
    begins_at: float
    survived: bool = False


class Store:
    """Rows and the log of their changes; ``away`` VMs and all if ``down`` are cut."""

    def __init__(self, clock, rng) -> None:
        self.clock, self.random = clock, rng
        self.rows: dict[str, Row] = {}
        self.log: list[tuple[float, int, str, bytes | None]] = []
        self.version = 0
        self.down = False
        self.lost_fraction = 0.0

    def port(self, vm) -> PlatformStore:
        async def commit(checks, writes):
            if self.down or vm.cut:
                raise PlatformError("no response")
            if self.random.random() < self.lost_fraction / 2:
                raise PlatformError("the request was lost")
            if any(check.key in self.rows for check in checks):
                return CommitResult(False, self.version, (), self.clock())
            self.version += 1
            for write in writes:
                if write.value is None:
                    self.rows.pop(write.key, None)
                else:
                    self.rows[write.key] = Row(write.key, self.version, write.value)
                entry = (self.clock(), self.version, write.key, write.value)
                self.log.append(entry)
            if self.random.random() < self.lost_fraction / 2:
                raise PlatformError("the response was lost")
            return CommitResult(True, self.version, (), self.clock())

        return PlatformStore(None, None, commit, None, None)


class Vm:
    """A gateway's view of the fleet, which follows the store with a delay."""

    def __init__(self, store, clock, name, incarnation) -> None:
        self.store, self.clock, self.name = store, clock, name
        self.cut = False
        eras = StoreEras(clock)
        eras.observe(EraMark(1), None)
        self.fleet = GatewayFleet(store.port(self), name, incarnation, eras, clock)
        self.version: int | None = None
        self.followed_at = clock()
        self.in_touch_at = clock() + STABLE_S
        self.next_maintenance = clock()

    def follow(self) -> None:
        """Applies the changes that are old enough to have arrived."""
        if self.store.down or self.cut:
            return
        now = self.followed_at = self.clock()
        if self.version is None:
            rows = tuple(self.store.rows.values())
            self.version = self.store.version
            change = Changes(self.version, rows, complete=True, store_time_s=now)
            self.fleet.apply(change)
            return
        delay_s = self.store.random.uniform(0.05, 0.2)
        new = [
            e for e in self.store.log if e[1] > self.version and e[0] + delay_s < now
        ]
        if new:
            self.version = max(entry[1] for entry in new)
            rows = tuple(Row(k, v, x) for _, v, k, x in new if x is not None)
            removed = tuple(k for _, _, k, x in new if x is None)
            change = Changes(self.version, rows, removed, store_time_s=now)
            self.fleet.apply(change)

    async def maintain(self) -> None:
        if self.clock() < self.next_maintenance:
            return
        self.next_maintenance = self.clock() + 1.0
        try:
            await self.fleet.announce(0)
            await self.fleet.write_reports()
        except PlatformError:
            pass


class Site:
    """VMs and endpoints under a load of sound calls and calls with a bad part."""

    def __init__(self, seed: int, bad_part: str) -> None:
        self.random = random.Random(seed)
        self.clock = Clock()
        self.store = Store(self.clock, self.random)
        self.bad_part = bad_part
        self.vms = [self.start(n) for n in range(VMS)]
        self.endpoints = [Endpoint(f"i-{n}@0") for n in range(ENDPOINTS)]
        self.crash_times: list[float] = []
        self.late_calls = 0
        self.sound_refused: list[float] = []
        self.sound_calls = 0
        self.starts = 0
        self.stable_at = 0.0

    def start(self, number: int) -> Vm:
        name = f"vm-{number}"
        return Vm(self.store, self.clock, name, f"{name}-{self.clock():.2f}")

    async def play(self, seconds: float, bad_calls_per_s=BAD_CALLS_PER_S) -> None:
        for _ in range(int(seconds / STEP_S)):
            self.clock.now += STEP_S
            for vm in self.vms:
                vm.follow()
                await vm.maintain()
            await self._run_endpoints()
            for rate, bad in ((SOUND_CALLS_PER_S, False), (bad_calls_per_s, True)):
                if self.random.random() < rate * STEP_S:
                    await self._send(bad)

    def restart(self, number: int) -> None:
        self.vms[number] = self.start(number)

    def cut(self, numbers, cut: bool) -> None:
        for number in numbers:
            self.vms[number].cut = cut
            self.vms[number].in_touch_at = self.clock() + STABLE_S

    def set_store_down(self, down: bool) -> None:
        self.store.down = down
        self.stable_at = self.clock() + STABLE_S

    def bound_since(self) -> float:
        """Returns the time from which few calls with the bad part may be sent.

        It is counted from the fifth crash, or the last one if there were fewer.
        """
        if not self.crash_times:
            return float("inf")
        return self.crash_times[:CRASHES_BEFORE_BOUND][-1] + STABLE_S

    async def _send(self, bad: bool) -> None:
        first = f"f{self.random.randrange(FIRST_PARTS)}"
        second = f"s{self.random.randrange(SECOND_PARTS)}"
        if bad and self.bad_part.startswith("f"):
            first = self.bad_part
        elif bad:
            second = self.bad_part
        vm, now = self.random.choice(self.vms), self.clock()
        self.sound_calls += not bad
        others_known = now - vm.followed_at < STALE_REPORTS_S
        suspects = vm.fleet.suspects
        cause = suspects.find_convicted((first, second), now, others_known)
        if cause and not await vm.fleet.try_cause(cause):
            if not bad:
                self.sound_refused.append(now)
            return
        self._run(vm, (first, second))

    def _run(self, vm, parts) -> None:
        now = self.clock()
        up = [e for e in self.endpoints if e.up_at <= now]
        if not up:
            return
        in_touch = not (vm.cut or self.store.down) and now >= max(
            vm.in_touch_at, self.stable_at
        )
        if self.bad_part in parts and in_touch and now > self.bound_since():
            self.late_calls += 1
        begins_at = now + self.random.uniform(0.05, 0.4)
        self.random.choice(up).calls.append(RunningCall(vm, parts, now, begins_at))

    async def _run_endpoints(self) -> None:
        now = self.clock()
        for endpoint in self.endpoints:
            bad = [
                call
                for call in endpoint.calls
                if self.bad_part in call.parts and call.begins_at <= now
            ]
            if bad:
                await self._crash(endpoint)
                continue
            for call in tuple(endpoint.calls):
                if not call.survived and now >= call.begins_at + 0.1:
                    call.survived = True
                    if call.vm.fleet.record_survival(call.parts, call.sent_at):
                        await call.vm.fleet.write_removals()
                if now >= call.begins_at + 1.0:
                    endpoint.calls.remove(call)

    async def crash_half(self) -> None:
        """Lets half of the endpoints crash at the same time, whatever they run."""
        for endpoint in self.endpoints[: ENDPOINTS // 2]:
            await self._crash(endpoint)

    async def _crash(self, endpoint) -> None:
        now = self.clock()
        self.crash_times.append(now)
        broken, endpoint.calls = endpoint.calls, []
        incarnation = endpoint.name
        endpoint.name = f"{incarnation.partition('@')[0]}@{now:.2f}"
        endpoint.up_at = now + RETURN_S
        suspected: dict[Vm, set[str]] = {}
        for call in broken:
            if not call.survived:
                suspected.setdefault(call.vm, set()).update(call.parts)
        for vm, parts in suspected.items():
            at = now + self.random.uniform(0.0, 0.05)
            await vm.fleet.report_suspects(parts, incarnation, at)


async def play_calm(site: Site) -> None:
    await site.play(20)


async def play_lost_commits(site: Site) -> None:
    site.store.lost_fraction = 0.4
    await site.play(20)


async def play_cuts(site: Site) -> None:
    for numbers in ((0, 1, 2), (2, 3, 4, 5), (0, 6, 7)):
        site.cut(numbers, cut=True)
        await site.play(3.5)
        site.cut(numbers, cut=False)
        await site.play(4.5)


async def play_restarts(site: Site) -> None:
    for number in range(12):
        await site.play(1.5)
        site.restart(number % VMS)
    for number in range(VMS):
        site.restart(number)
    await site.play(8)


async def play_store_away(site: Site) -> None:
    await site.play(1)
    site.set_store_down(True)
    await site.play(6)
    site.set_store_down(False)
    await site.play(12)


PLAYS = (play_calm, play_lost_commits, play_cuts, play_restarts, play_store_away)


# Guards against a part of prompts that crashes one endpoint after the other because
# calls are told apart by what differs in them.
@pytest.mark.parametrize("bad_part", ["fbad", "sbad"])
@pytest.mark.parametrize("play", PLAYS)
@pytest.mark.parametrize("seed", range(5))
async def test_calls_with_a_crashing_part_are_stopped_on_all_vms(play, bad_part, seed):
    site = Site(seed, bad_part)
    await play(site)
    assert len(site.crash_times) >= 3
    assert site.late_calls <= MAX_LATE_CALLS


# Guards against sound calls that are refused for parts they share with crashing ones.
@pytest.mark.parametrize("bad_part", ["fbad", "sbad"])
@pytest.mark.parametrize("play", PLAYS)
@pytest.mark.parametrize("seed", range(5))
async def test_sound_calls_go_on_while_crashing_ones_come(play, bad_part, seed):
    site = Site(seed, bad_part)
    await play(site)
    settled_at = site.bound_since() + STABLE_S
    assert site.sound_calls > 300
    assert [at for at in site.sound_refused if at > settled_at] == []
    assert len(site.sound_refused) <= 0.01 * site.sound_calls


# Guards against parts that are convicted because several endpoints fail at once.
@pytest.mark.parametrize("seed", range(5))
async def test_endpoints_that_crash_together_convict_no_part(seed):
    site = Site(seed, "none")
    for _ in range(8):
        await site.play(1.5, bad_calls_per_s=0)
        await site.crash_half()
    assert site.sound_refused == []


# Guards against sound parts that stay convicted because endpoints crashed for other
# reasons too, and their calls, once refused, can't show them to be sound.
@pytest.mark.parametrize("bad_part", ["fbad", "sbad"])
@pytest.mark.parametrize("seed", range(3))
async def test_wrong_convictions_end_after_other_crashes(bad_part, seed):
    site = Site(seed, bad_part)
    for _ in range(6):
        await site.play(1.5)
        await site.crash_half()
    await site.play(2 * STABLE_S)
    refused_before = len(site.sound_refused)
    await site.play(10)
    assert len(site.sound_refused) - refused_before <= 2
    assert site.late_calls <= MAX_LATE_CALLS


async def test_wrong_suspicion_ends():
    site = Site(0, "none")
    fleet = site.vms[0].fleet
    await fleet.announce(0)
    for number in range(3):
        site.clock.now += 1.0
        await fleet.report_suspects(("p",), f"i-{number}@0", site.clock())
    site.clock.now += 1.0
    assert fleet.suspects.find_convicted(("p",), site.clock(), True) == "p"
    site.clock.now += 601.0
    await fleet.write_reports()
    assert fleet.suspects.find_convicted(("p",), site.clock(), True) == ""
    await fleet.write_reports()
    assert not [key for key in site.store.rows if "suspect" in key]


# Guards against a part that is convicted wrongly for a second time and not tried soon,
# because the rows of its first trial are still there.
async def test_part_is_tried_again_soon_after_a_second_conviction():
    site = Site(0, "none")
    fleet = site.vms[0].fleet
    await fleet.announce(0)
    for round_number in range(2):
        for number in range(3):
            site.clock.now += 1.0
            incarnation = f"i-{number}@{round_number}"
            await fleet.report_suspects(("p",), incarnation, site.clock())
        site.clock.now += 1.0
        assert fleet.suspects.find_convicted(("p",), site.clock(), True) == "p"
        assert not await fleet.try_cause("p")
        site.clock.now += 3.0
        assert await fleet.try_cause("p")
        assert not await fleet.try_cause("p")
        assert fleet.record_survival(("p",), site.clock())
        await fleet.write_removals()
        assert fleet.suspects.find_convicted(("p",), site.clock(), True) == ""
        assert not [key for key in site.store.rows if "/vm/" not in key]


def test_number_of_suspects_is_bounded():
    fleet = Site(0, "none").vms[0].fleet
    for number in range(20_000):
        fleet.suspects.record_crash(f"p{number}", "i-0@0", at=float(number))
        fleet.suspects.record_survival((f"q{number}",), sent_at=float(number))
    assert len(fleet.suspects.crashes) <= 5_000
    assert len(fleet.suspects.survived) <= 5_000
