"""Gateways that reserve and settle calls, with outages and losses of all VMs."""

import asyncio
import random
from dataclasses import dataclass

from benchmarks.grants.load import Arrival, Fleet, arrivals
from benchmarks.grants.store import ModelStore, StoreShape
from verbenagrade.coordination.allowances import AllowanceKeeper
from verbenagrade.exceptions import BudgetExhaustedError, UnavailableError
from verbenagrade.settings.gateway import TuningSettings

__all__ = ["Figures", "Scenario", "play"]

LEAD_S = 12.0
"""Time between the start of the VMs and of the traffic, in seconds."""

CALL_S = 0.8
"""Time that a call runs, in seconds."""

RETRY_S = (0.05, 0.5)
"""Time after which a refused call comes again, once, at another VM, in seconds."""

RESTART_S = 2.0
"""Time in which lost VMs are back, in seconds."""

TEND_S = 1.0
"""Period in which a gateway looks at its grants, in seconds."""


@dataclass(frozen=True, slots=True)
class Scenario:
    """What happens: outages of the store, and times at which all VMs are lost,
    in seconds since the traffic began, and how much longer than a day it lasts."""

    name: str
    outages: tuple[tuple[float, float], ...] = ()
    losses: tuple[float, ...] = ()
    longer_s: float = 0.0


class Figures:
    """What became of the calls, and what it cost."""

    def __init__(self) -> None:
        self.calls = 0
        self.served = 0
        self.served_tokens = 0
        self.asked_tokens = 0
        self.away = 0
        self.contended = 0
        self.exhausted = 0
        self.falsely_exhausted = 0
        self.overspent = 0
        self.spent: dict[int, int] = {}


class World:
    """One play of a scenario."""

    def __init__(self, fleet: Fleet, scenario: Scenario, seed: int) -> None:
        self.fleet = fleet
        self.scenario = scenario
        self.random = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        outages = tuple((a + LEAD_S, b + LEAD_S) for a, b in scenario.outages)
        self.store = ModelStore(StoreShape(outages=outages), self.loop.time)
        self.figures = Figures()
        self.incarnation = 0
        self.keepers: list[AllowanceKeeper] = []
        self.tenders: list[asyncio.Task[None]] = []
        self.calls: set[asyncio.Task[None]] = set()
        self.day = list(
            arrivals(fleet, self.random, fleet.length_s + scenario.longer_s)
        )
        self.prepaid: dict[int, int] = {}
        for call in self.day:
            if call.at > fleet.length_s:
                break
            tokens = int(fleet.prepaid_factor * call.used)
            before = self.prepaid.get(call.workspace, 0)
            self.prepaid[call.workspace] = before + tokens

    async def run(self) -> Figures:
        """Plays the day and returns its figures."""
        self._start_all()
        losses = list(self.scenario.losses)
        for call in self.day:
            if losses and call.at >= losses[0]:
                losses.pop(0)
                self._lose_all()
            await asyncio.sleep(max(0.0, LEAD_S + call.at - self.loop.time()))
            self.figures.calls += 1
            self.figures.asked_tokens += call.used
            task = asyncio.create_task(self._call(call))
            self.calls.add(task)
            task.add_done_callback(self.calls.discard)
        await asyncio.gather(*self.calls, return_exceptions=True)
        for task in self.tenders:
            task.cancel()
        return self.figures

    def _start_all(self) -> None:
        self.incarnation += 1
        self.keepers = [self._keeper(vm) for vm in range(self.fleet.vms)]
        self.tenders = [asyncio.create_task(self._tend(k)) for k in self.keepers]

    def _lose_all(self) -> None:
        for task in (*self.tenders, *self.calls):
            task.cancel()
        self.keepers = []
        self.restart = asyncio.create_task(self._restart())

    async def _restart(self) -> None:
        """Starts all VMs again; until then calls find none."""
        await asyncio.sleep(RESTART_S)
        self._start_all()

    def _keeper(self, vm: int) -> AllowanceKeeper:
        keeper = AllowanceKeeper(
            self.store.table(self.random.choice((0.1, 0.1, 1.0))),
            f"vm-{vm}",
            f"vm-{vm}-{self.incarnation}",
            TuningSettings(),
            self.loop.time,
        )
        keeper.vms = self.fleet.vms
        for workspace, tokens in self.prepaid.items():
            keeper.set_prepaid(f"w{workspace}", tokens)
        return keeper

    async def _tend(self, keeper: AllowanceKeeper) -> None:
        while True:
            await asyncio.sleep(TEND_S * self.random.uniform(0.8, 1.2))
            await keeper.prepare()
            await keeper.tend()

    async def _call(self, call: Arrival) -> None:
        if await self._try(call, call.vm):
            return
        await asyncio.sleep(self.random.uniform(*RETRY_S))
        await self._try(call, self.random.randrange(self.fleet.vms))

    async def _try(self, call: Arrival, vm: int) -> bool:
        if not self.keepers:
            return False
        keeper, figures = self.keepers[vm], self.figures
        name = f"w{call.workspace}"
        try:
            await keeper.reserve(name, call.bound)
        except BudgetExhaustedError:
            figures.exhausted += 1
            spent = figures.spent.get(call.workspace, 0)
            if spent + call.bound <= self.prepaid[call.workspace]:
                figures.falsely_exhausted += 1
            return False
        except UnavailableError as error:
            if "too often" in str(error):
                figures.contended += 1
            else:
                figures.away += 1
            return False
        spent = figures.spent.get(call.workspace, 0) + call.used
        figures.spent[call.workspace] = spent
        figures.overspent += spent > self.prepaid[call.workspace]
        figures.served += 1
        figures.served_tokens += call.used
        await asyncio.sleep(CALL_S)
        keeper.settle(name, call.bound, call.used)
        return True


async def play(fleet: Fleet, scenario: Scenario, seed: int) -> tuple[Figures, World]:
    """Plays a scenario; the same seed gives the same figures."""
    world = World(fleet, scenario, seed)
    return await world.run(), world
