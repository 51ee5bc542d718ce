"""Tests of how a fleet of gateways keeps the limit that an endpoint names.

Gateways share a store in memory that delays changes, loses commits, comes back from
older copies, and can't be reached by all. All calls would go to one endpoint, whose
responses name its limit some time after the call.
"""

import asyncio
import heapq
import itertools
import random
from contextlib import suppress

import pytest

from verbenagrade.coordination.permits import PermitManager, StoreTime
from verbenagrade.coordination.ports import (
    Changes,
    CommitResult,
    PlatformStore,
    Row,
)
from verbenagrade.coordination.shared_limits import FleetView, SharedLimits
from verbenagrade.exceptions import PlatformError
from verbenagrade.state.endpoint_limits import EndpointLimits
from verbenagrade.state.permits import HORIZON_S, VALIDITY_S

ENDPOINT = "i-1@1000"
STEP_S = 0.02
FEED_DELAY_S = (0.05, 0.2)
RESPONSE_DELAY_S = (0.05, 1.5)
WINDOW_S = 4.0
STABLE_S = 4.0
TOLD_S = 0.5
EXCESS_FACTOR = 1.5
EXCESS_CALLS = 5
STORE_CLOCK_S = 5000.0
MAINTENANCE_S = 1.0
MAX_TRANSACTIONS_PER_S = 0.05 * 800
"""A twentieth of the writes that the platform's store takes from all VMs."""
FLEET_TABLE = "fleet"


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class Store:
    """Rows and the log of their changes; ``down`` cuts all VMs off."""

    def __init__(self, clock, rng) -> None:
        self.clock, self.random = clock, rng
        self.rows: dict[str, Row] = {}
        self.log: list[tuple[float, int, str, bytes | None]] = []
        self.version = 0
        self.down = False
        self.lost_fraction = 0.0
        self.commits = 0
        self.copy = None

    def take_copy(self) -> None:
        self.copy = (dict(self.rows), list(self.log), self.version)

    def come_back_from_copy(self) -> None:
        rows, log, self.version = self.copy
        self.rows, self.log = dict(rows), list(log)

    def port(self, vm) -> PlatformStore:
        async def read(keys):
            self._check(vm)
            return tuple(self.rows.get(key) for key in keys)

        async def commit(checks, writes):
            self._check(vm)
            self.commits += 1
            now = self.clock() + STORE_CLOCK_S
            if self.random.random() < self.lost_fraction / 2:
                raise PlatformError("the request was lost")
            present = [self.rows[c.key] for c in checks if c.key in self.rows]
            versions = {row.key: row.version for row in present}
            if any(versions.get(c.key, 0) != c.version for c in checks):
                return CommitResult(False, self.version, tuple(present), now)
            self.version += 1
            for write in writes:
                self._write(write)
            if self.random.random() < self.lost_fraction / 2:
                raise PlatformError("the response was lost")
            return CommitResult(True, self.version, (), now)

        return PlatformStore(read, None, commit, None, None)

    def _check(self, vm) -> None:
        if self.down or vm.cut:
            raise PlatformError("no response")

    def _write(self, write) -> None:
        if write.value is None:
            self.rows.pop(write.key, None)
        else:
            self.rows[write.key] = Row(write.key, self.version, write.value)
        self.log.append((self.clock(), self.version, write.key, write.value))


class Vm:
    """A gateway's view, which follows the store with a delay."""

    def __init__(self, fleet, rate) -> None:
        self.fleet, self.rate = fleet, rate
        self.clock, self.store = fleet.clock, fleet.store
        self.cut = False
        self.offset_s: float | None = None
        self.version: int | None = None
        self.told_at: float | None = None
        self.limits = EndpointLimits()
        time = StoreTime(lambda: self.offset_s, self.learn_time)
        rng = random.Random(fleet.random.random())
        table = self.store.port(self)
        self.permits = PermitManager(table, self.clock, time, rng)
        view = FleetView(lambda: len(fleet.vms), lambda incarnation: True)
        self.shared = SharedLimits(table, self.limits, self.clock, time, rng, view)
        self.next_maintenance = self.clock()

    def learn_time(self, store_time_s) -> None:
        if store_time_s is not None:
            self.offset_s = store_time_s - self.clock()

    def follow(self) -> None:
        if self.store.down or self.cut:
            return
        self.permits.vm_count = len(self.fleet.vms)
        now = self.clock()
        self.learn_time(now + STORE_CLOCK_S)
        if self.version is None:
            rows = tuple(
                row
                for row in self.store.rows.values()
                if row.key.startswith(FLEET_TABLE)
            )
            self.version = self.store.version
            self.shared.apply(Changes(self.version, rows, complete=True))
            return
        delay_s = self.fleet.random.uniform(*FEED_DELAY_S)
        new = [
            entry
            for entry in self.store.log
            if entry[1] > self.version and entry[0] + delay_s < now
        ]
        if new:
            self.version = max(entry[1] for entry in new)
            fleet = [entry for entry in new if entry[2].startswith(FLEET_TABLE)]
            rows = tuple(Row(k, v, x) for _, v, k, x in fleet if x is not None)
            removed = tuple(k for _, _, k, x in fleet if x is None)
            self.shared.apply(Changes(self.version, rows, removed))

    def enter_era(self) -> None:
        self.version = None
        self.permits.enter_era()

    async def write(self) -> None:
        with suppress(PlatformError):
            await self.shared.write()

    async def maintain(self) -> None:
        if self.clock() >= self.next_maintenance:
            self.next_maintenance = self.clock() + MAINTENANCE_S
            await self.write()

    async def may_send(self) -> bool:
        limit_per_s = self.limits.limit_of(ENDPOINT)
        if limit_per_s is None:
            return True
        return await self.permits.take(ENDPOINT, limit_per_s, 1.0)


class Fleet:
    """VMs that send ``rates`` calls a second to an endpoint, which names ``limit``."""

    def __init__(self, seed, rates, limit) -> None:
        self.random = random.Random(seed)
        self.clock = Clock()
        self.store = Store(self.clock, self.random)
        self.limit = limit
        self.limits = [(self.clock(), limit)]
        self.vms: list[Vm] = []
        self.vms.extend(Vm(self, rate) for rate in rates)
        self.responses: list = []
        self.numbers = itertools.count()
        self.arrivals: list[tuple[float, bool]] = []
        self.refused = 0

    def name(self, limit) -> None:
        self.limit = limit
        self.limits.append((self.clock(), limit))

    async def play(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.clock.now += STEP_S
            await self._respond()
            for vm in self.vms:
                vm.follow()
                await vm.maintain()
            for vm in self.vms:
                if self.random.random() < vm.rate * STEP_S:
                    await self._send(vm)
            await asyncio.sleep(0)  # lets requests to the store go on

    async def _send(self, vm) -> None:
        if not await vm.may_send():
            self.refused += 1
            return
        now = self.clock()
        told = vm.told_at is not None and now - vm.told_at >= TOLD_S
        self.arrivals.append((now, told))
        due = now + self.random.uniform(*RESPONSE_DELAY_S)
        heapq.heappush(self.responses, (due, next(self.numbers), vm, now))

    async def _respond(self) -> None:
        now = self.clock()
        while self.responses and self.responses[0][0] <= now:
            _, _, vm, sent_at = heapq.heappop(self.responses)
            if vm.limits.record_response(ENDPOINT, self.limit, sent_at, now):
                await vm.write()
            if self.limit is not None and vm.told_at is None:
                vm.told_at = now

    def count(self, start: float, end: float) -> int:
        return sum(start <= at < end for at, _ in self.arrivals)

    def used(self, seconds: float) -> float:
        """Returns the calls per second in the last seconds."""
        return self.count(self.clock() - seconds, self.clock() + 1) / seconds

    def check_bound(self) -> None:
        """Checks the calls of VMs that were told, in each window of stable limits."""
        for end, told in self.arrivals:
            if not told or end < self.limits[0][0] + STABLE_S:
                continue
            limits = self._limits_in(end - WINDOW_S - STABLE_S, end)
            if None in limits:
                continue
            calls = sum(
                told and end - WINDOW_S < at <= end for at, told in self.arrivals
            )
            assert calls <= EXCESS_FACTOR * max(limits) * WINDOW_S + EXCESS_CALLS

    def _limits_in(self, start: float, end: float) -> set:
        """Returns the limits that were named in a time."""
        ends = [at for at, _ in self.limits[1:]] + [float("inf")]
        return {
            limit
            for (at, limit), until in zip(self.limits, ends, strict=True)
            if at <= end and until > start
        }


EVEN = (1.5,) * 9
SKEWED = (14.0, *(0.05,) * 8)
SEEDS = range(6)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("rates", [EVEN, SKEWED], ids=["even", "skewed"])
@pytest.mark.parametrize("limit", [0.7, 2.3, 8.0])
async def test_limit_is_kept_and_used(seed, rates, limit):
    fleet = Fleet(seed, rates, limit)
    await fleet.play(30.0)
    fleet.check_bound()
    assert fleet.used(20.0) >= 0.7 * limit


# Guards against permits that VMs with few calls hold and do not use.
@pytest.mark.parametrize("seed", SEEDS)
async def test_many_vms_with_few_calls_each_use_the_limit(seed):
    fleet = Fleet(seed, (0.1,) * 80, 3.0)
    await fleet.play(40.0)
    fleet.check_bound()
    assert fleet.used(20.0) >= 0.6 * 3.0


@pytest.mark.parametrize("seed", SEEDS)
async def test_limit_is_kept_while_vms_join_and_restart(seed):
    fleet = Fleet(seed, EVEN, 2.3)
    for number in range(8):
        await fleet.play(3.0)
        fleet.vms[number] = Vm(fleet, 1.5)
        fleet.vms.append(Vm(fleet, 1.5))
    fleet.check_bound()
    assert fleet.used(12.0) >= 0.6 * 2.3


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("cut", [1, 4, 8, 9])
async def test_limit_is_kept_while_vms_do_not_reach_the_store(seed, cut):
    fleet = Fleet(seed, EVEN, 2.3)
    await fleet.play(8.0)
    for vm in fleet.vms[:cut]:
        vm.cut = True
    await fleet.play(20.0)
    assert fleet.used(16.0) >= 0.1 * 2.3
    for vm in fleet.vms:
        vm.cut = False
    await fleet.play(12.0)
    fleet.check_bound()
    assert fleet.used(8.0) >= 0.7 * 2.3


# Guards against VMs that hear of a limit only by their own responses, because they
# were cut off when it was named.
@pytest.mark.parametrize("seed", SEEDS)
async def test_limit_is_kept_by_vms_that_were_cut_off_when_it_was_named(seed):
    fleet = Fleet(seed, EVEN, None)
    await fleet.play(2.0)
    for vm in fleet.vms[:5]:
        vm.cut = True
    fleet.name(2.3)
    await fleet.play(25.0)
    fleet.check_bound()


@pytest.mark.parametrize("seed", SEEDS)
async def test_store_that_fails_again_and_again_does_not_break_the_limit(seed):
    fleet = Fleet(seed, EVEN, 2.3)
    fleet.store.lost_fraction = 0.3
    for _ in range(6):
        await fleet.play(fleet.random.uniform(1.0, 5.0))
        fleet.store.down = not fleet.store.down
    fleet.check_bound()


@pytest.mark.parametrize("seed", SEEDS)
async def test_store_from_an_older_copy_does_not_break_the_limit(seed):
    fleet = Fleet(seed, EVEN, 4.0)
    await fleet.play(8.0)
    for _ in range(3):
        fleet.store.take_copy()
        await fleet.play(fleet.random.uniform(1.0, 4.0))
        fleet.store.come_back_from_copy()
        for vm in fleet.vms:
            vm.enter_era()
        await fleet.play(6.0)
    fleet.check_bound()
    assert fleet.used(4.0) >= 0.6 * 4.0


@pytest.mark.parametrize("seed", SEEDS)
async def test_limit_that_changes_is_kept(seed):
    fleet = Fleet(seed, EVEN, 8.0)
    for limit in (8.0, 1.5, 6.0, 2.0):
        fleet.name(limit)
        await fleet.play(12.0)
        assert fleet.used(6.0) >= 0.6 * limit
    fleet.check_bound()


@pytest.mark.parametrize("seed", SEEDS)
async def test_limit_ends_for_all_vms_with_the_first_response_without_it(seed):
    fleet = Fleet(seed, EVEN, 1.0)
    await fleet.play(10.0)
    fleet.name(None)
    await fleet.play(6.0)
    assert {vm.limits.limit_of(ENDPOINT) for vm in fleet.vms} == {None}
    refused = fleet.refused
    await fleet.play(5.0)
    assert fleet.refused == refused


@pytest.mark.parametrize("seed", SEEDS)
async def test_many_vms_that_lose_the_store_at_once_keep_the_limit(seed):
    fleet = Fleet(seed, (0.5,) * 60, 2.3)
    await fleet.play(12.0)
    fleet.store.down = True
    await fleet.play(12.0)
    fleet.check_bound()


# Guards against slots that seem free after the store has lost the newest rows.
async def test_no_slot_is_asked_for_until_those_of_the_era_before_have_passed():
    fleet = Fleet(1, (10.0,), 4.0)
    await fleet.play(8.0)
    (vm,) = fleet.vms
    vm.enter_era()
    now = fleet.clock()
    assert vm.permits.free_at(ENDPOINT, now) >= now + HORIZON_S + VALIDITY_S


@pytest.mark.parametrize("rate", [0.1, 2.0])
async def test_store_gets_few_transactions_for_a_limit(rate):
    fleet = Fleet(1, (rate,) * 80, 3.0)
    await fleet.play(20.0)
    before = fleet.store.commits
    await fleet.play(20.0)
    assert (fleet.store.commits - before) / 20.0 <= MAX_TRANSACTIONS_PER_S
