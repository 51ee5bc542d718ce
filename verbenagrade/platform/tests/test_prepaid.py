"""Prepaid budgets over lost answers, outages, restarts and changes."""

import asyncio

import msgspec
import pytest

from verbenagrade.coordination.allowances import AllowanceKeeper
from verbenagrade.coordination.ports import Commit, Row, SharedTable
from verbenagrade.exceptions import (
    BudgetExhaustedError,
    PlatformError,
    UnavailableError,
)
from verbenagrade.platform.tests.conftest import configuration
from verbenagrade.platform.tests.replica_standin import plain, reset, stream
from verbenagrade.settings.gateway import TuningSettings
from verbenagrade.state.pots import POTS


class Rows:
    """A store in memory that can be away, or lose or delay its answers."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.version = 0
        self.away = False
        self.lose = 0
        self.late: list = []
        self.delay = 0
        self.conflicts = 0

    def port(self) -> SharedTable:
        async def read(keys):
            if self.away:
                raise PlatformError("away")
            return tuple(self.rows.get(key) for key in keys)

        async def commit(checks, writes):
            if self.away:
                raise PlatformError("away")
            if self.delay:
                self.delay -= 1
                self.late.append((checks, writes))
                raise PlatformError("no answer yet")
            answer = self.commit(checks, writes)
            if self.lose:
                self.lose -= 1
                raise PlatformError("the answer was lost")
            return answer

        async def scan(prefix):
            if self.away:
                raise PlatformError("away")
            return tuple(r for k, r in self.rows.items() if k.startswith(prefix))

        return SharedTable(read, scan, commit, None, None)

    def commit(self, checks, writes):
        present = tuple(self.rows[c.key] for c in checks if c.key in self.rows)
        for check in checks:
            row = self.rows.get(check.key)
            if (row.version if row else 0) != check.version:
                self.conflicts += 1
                return Commit(False, 0, present)
        self.version += 1
        for write in writes:
            self.rows[write.key] = Row(write.key, self.version, write.value)
        return Commit(True, self.version)

    def apply_late(self) -> None:
        for checks, writes in self.late:
            self.commit(checks, writes)
        self.late.clear()

    def granted(self) -> int:
        return self.summed("tokens")

    def summed(self, field) -> int:
        pots = (r for k, r in self.rows.items() if k.startswith("grants/hotel/pot/"))
        return sum(msgspec.json.decode(row.value)[field] for row in pots)


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def keeper_of(rows, clock, vm="vm-1", incarnation="one", prepaid=1000):
    keeper = AllowanceKeeper(rows.port(), vm, incarnation, TuningSettings(), clock)
    keeper.set_prepaid("hotel", prepaid)
    return keeper


async def spend_all(keeper, bound=10, clock=None):
    """Reserves and uses up bounds until none is granted; returns the tokens."""
    spent = 0
    while True:
        try:
            await keeper.reserve("hotel", bound)
        except (BudgetExhaustedError, UnavailableError):
            return spent
        keeper.settle("hotel", bound, bound)
        spent += bound
        if clock is not None:
            clock.now += 0.05


@pytest.mark.parametrize("lost", range(6))
async def test_lost_answers_never_lead_to_overspend(lost):
    rows, clock = Rows(), Clock()
    keepers = [keeper_of(rows, clock, f"vm-{n}") for n in range(3)]
    rows.lose = lost
    spent = 0
    for _ in range(4):
        for keeper in keepers:
            spent += await spend_all(keeper, clock=clock)
            clock.now += 5.0
            await keeper.tend()
    assert spent <= 1000
    assert rows.granted() <= 1000
    assert spent >= 900


async def test_grant_that_is_committed_late_is_not_spent_twice():
    rows, clock = Rows(), Clock()
    first, second = keeper_of(rows, clock, "a"), keeper_of(rows, clock, "b")
    rows.delay = 1
    with pytest.raises(UnavailableError):
        await first.reserve("hotel", 600)
    rows.apply_late()
    spent = await spend_all(second, 100)
    clock.now += 10.0
    spent += await spend_all(first, 100)
    assert spent <= 1000


async def test_return_that_is_committed_late_is_not_spent_before():
    rows, clock = Rows(), Clock()
    keeper = keeper_of(rows, clock)
    await keeper.reserve("hotel", 400)
    keeper.settle("hotel", 400, 100)
    rows.delay = 1
    await keeper.return_all()
    held = keeper.accounts["hotel"].allowance
    assert held.free == 0
    rows.apply_late()
    other = keeper_of(rows, clock, "other")
    spent = 100 + await spend_all(other, 50) + await spend_all(keeper, 50)
    assert spent <= 1000


async def test_late_return_to_one_pot_is_not_spent_after_a_conflict_on_another():
    """The conflict proves nothing about the return, which may still be committed."""
    rows, clock = Rows(), Clock()
    keeper = keeper_of(rows, clock, prepaid=POTS * 100)
    await keeper.reserve("hotel", 100)
    keeper.settle("hotel", 100, 0)
    account = keeper.accounts["hotel"]
    rows.delay = 1
    await keeper.return_all()
    assert account.allowance.free == 0
    await keeper.exchanges.look(account)
    first, second = account.pot_order[:2]
    assert account.pots[first].tokens == 100
    write_pot(rows, second, tokens=10)
    await keeper.exchanges.move(account, 0, 50)
    assert rows.conflicts == 1
    assert account.allowance.free == 0
    rows.apply_late()
    assert rows.summed("tokens") == 10


def write_pot(rows, pot, tokens):
    """Has another VM draw from a pot."""
    rows.version += 1
    key = f"grants/hotel/pot/{pot}"
    value = msgspec.json.encode({"tokens": tokens, "spent": 0, "incarnation": ""})
    rows.rows[key] = Row(key, rows.version, value)


async def test_call_larger_than_any_pot_is_served_from_several():
    rows, clock = Rows(), Clock()
    keeper = keeper_of(rows, clock, prepaid=1003)
    await keeper.reserve("hotel", 1003)
    assert rows.granted() == 1003
    with pytest.raises(BudgetExhaustedError):
        await keeper_of(rows, clock, "vm-2", prepaid=1003).reserve("hotel", 1)


async def test_grant_whose_answer_was_lost_is_not_followed_by_another():
    """Once it is read back it covers the call; the pots keep the rest."""
    rows, clock = Rows(), Clock()
    keeper = keeper_of(rows, clock, prepaid=80_000)
    rows.lose = 1
    with pytest.raises(UnavailableError):
        await keeper.reserve("hotel", 100)
    granted = rows.granted()
    clock.now += 5.0
    await keeper.reserve("hotel", 100)
    await asyncio.gather(*keeper.refills)
    assert rows.granted() == granted


async def test_lowered_budget_is_not_spent_from_old_grants():
    rows, clock = Rows(), Clock()
    keeper = keeper_of(rows, clock)
    await keeper.reserve("hotel", 100)
    keeper.settle("hotel", 100, 100)
    keeper.set_prepaid("hotel", 150)
    assert await spend_all(keeper, 10) <= 50
    await keeper.tend()
    assert rows.granted() <= 150


async def test_outage_is_served_from_grants_and_refused_at_once_after():
    rows, clock = Rows(), Clock()
    keeper = keeper_of(rows, clock, prepaid=100_000)
    for _ in range(20):
        clock.now += 0.5
        await keeper.reserve("hotel", 100)
        keeper.settle("hotel", 100, 100)
    await asyncio.gather(*keeper.refills)
    rows.away = True
    served = 0
    for _ in range(20):
        clock.now += 0.5
        await keeper.reserve("hotel", 100)
        served += 1
    assert served == 20


async def test_restarted_vm_counts_what_its_predecessor_held_as_spent():
    rows, clock = Rows(), Clock()
    first = keeper_of(rows, clock)
    await first.reserve("hotel", 200)
    held = rows.granted()
    second = keeper_of(rows, clock, incarnation="two")
    await second.reserve("hotel", 10)
    assert rows.granted() >= held
    assert rows.summed("spent") == held
    assert await spend_all(second) <= 1000 - held


async def test_predecessor_that_still_runs_can_spend_nothing_more():
    rows, clock = Rows(), Clock()
    first = keeper_of(rows, clock)
    await first.reserve("hotel", 200)
    first.settle("hotel", 200, 200)
    second = keeper_of(rows, clock, incarnation="two")
    spent = 200 + await spend_all(second, 10)
    spent += await spend_all(first, 10)
    assert spent <= 1000


async def test_idle_grants_come_back_as_others_spend():
    rows, clock = Rows(), Clock()
    idle, busy = keeper_of(rows, clock, "idle"), keeper_of(rows, clock, "busy")
    idle.vms = busy.vms = 2
    await idle.prepare()
    assert idle.accounts["hotel"].allowance.free > 0
    spent = 0
    for _ in range(60):
        spent += await spend_all(busy, 10)
        clock.now += 5.0
        await idle.tend()
    assert spent >= 980


async def test_calls_beyond_the_budget_are_refused(world):
    replica = await world.replica(stream(10))
    tenants = [{"name": "hotel", "api_keys": ["k"], "prepaid": 250}]
    await world.start(configuration(tenants=tenants))
    await world.until_ready()
    statuses = []
    for _ in range(4):
        answer = await world.call("/stream/", key="k", Token_Count="100,100")
        statuses.append(answer[0])
    assert statuses == [200, 402, 402, 402]
    assert len(replica.seen) == 1


async def test_call_that_did_not_reach_an_endpoint_costs_nothing(world):
    replica = await world.replica(plain())
    await world.start(configuration())
    await world.until_ready()
    await replica.stop()
    assert (await world.call("/once/", Token_Count="100,100"))[0] == 503
    allowance = world.core.keeper.accounts["hotel"].allowance
    assert (allowance.spent, allowance.reserved) == (0, 0)


async def test_call_whose_outcome_is_unknown_costs_its_prompt(world):
    await world.replica(reset())
    await world.start(configuration())
    await world.until_ready()
    assert (await world.call("/once/", Token_Count="100,50"))[0] == 502
    allowance = world.core.keeper.accounts["hotel"].allowance
    assert (allowance.spent, allowance.reserved) == (100, 0)
