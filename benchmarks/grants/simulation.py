"""Simulates gateways that reserve and settle calls, with outages and VM losses."""

import asyncio
import random
from contextlib import suppress
from dataclasses import dataclass

from benchmarks.grants.load import Arrival, Fleet, arrivals
from benchmarks.grants.network import SimulatedNetwork, SimulatedVm
from benchmarks.grants.store import SimulatedStore, StoreParameters
from verbenagrade.coordination.allowances import AllowanceManager
from verbenagrade.coordination.budget_holder import BudgetHolder
from verbenagrade.coordination.fleet_budgets import FleetBudgets
from verbenagrade.coordination.spending_reports import (
    SpendingReports,
    VmIdentity,
    report_interval_s,
)
from verbenagrade.coordination.store_eras import StoreEras
from verbenagrade.exceptions import (
    BudgetExhaustedError,
    ContendedError,
    PlatformError,
    UnavailableError,
)
from verbenagrade.settings.gateway import TuningSettings
from verbenagrade.state.holders import HolderRanking, HolderVm

__all__ = ["Figures", "Restoration", "Scenario", "simulate"]

WARM_UP_S = 12.0
"""Time between the start of the VMs and the start of the load, in seconds."""

CALL_DURATION_S = 0.8
"""Duration of a call, in seconds."""

OWED_FRACTION = 0.97
"""Part of the prepaid tokens up to which a refusal counts as false. The users' rules do
not count calls beyond it."""

RETRY_DELAY_RANGE_S = (0.05, 0.5)
"""Least and longest delay before the only retry of a refused call, at a random VM, in
seconds."""

RESTART_DELAY_S = 2.0
"""Time from the loss of all VMs to their restart, in seconds."""

MAINTENANCE_PERIOD_S = 1.0
RESTORATION_PERIOD_S = 0.25
"""Mean intervals at which a gateway adjusts its grants, and at which it looks whether
there is something to restore, in seconds."""


@dataclass(frozen=True, slots=True)
class Restoration:
    """The store comes back at ``back_at`` from a copy of ``copied_at``.

    Both are in seconds since the start of the load.
    """

    copied_at: float
    back_at: float


@dataclass(frozen=True, slots=True)
class Scenario:
    """Faults during a run, in seconds since the start of the load.

    ``outages`` are (start, end) intervals in which no VM reaches the store, ``cuts``
    those in which one data centre reaches neither the store nor the others, and
    ``losses`` the times at which all VMs are lost. At each of ``holder_losses`` the VM
    that holds most tokens is lost for good. ``restoration`` is a return of the store
    from an older copy. The run lasts ``extra_duration_s`` longer than the
    fleet's ``duration_s``.
    """

    name: str
    outages: tuple[tuple[float, float], ...] = ()
    losses: tuple[float, ...] = ()
    cuts: tuple[tuple[float, float], ...] = ()
    holder_losses: tuple[float, ...] = ()
    extra_duration_s: float = 0.0
    restoration: Restoration | None = None


class Figures:
    """Counts of calls and tokens by result.

    Each refused attempt counts as ``store_unavailable`` if the store did not respond,
    as ``contended`` if other VMs changed the budget too often, or as ``exhausted``.
    ``falsely_exhausted`` counts exhausted attempts whose bound was within the tokens
    that were neither spent nor reserved, ``falsely_refused`` the calls that were not
    served although that was so at each attempt, and ``overspent`` the calls after which
    more was spent than prepaid. ``spent`` has the tokens used by each workspace, and
    ``reserved`` those of the calls in progress. After a return of the store from an
    older copy, ``restored_after_s`` is the time until all VMs have written what they
    know, and ``settled_after_s`` that until all VMs grant from all
    their budgets again, which each VM checks about once a second.
    """

    def __init__(self) -> None:
        self.calls = 0
        self.served = 0
        self.served_tokens = 0
        self.requested_tokens = 0
        self.store_unavailable = 0
        self.contended = 0
        self.exhausted = 0
        self.falsely_exhausted = 0
        self.falsely_refused = 0
        self.overspent = 0
        self.spent: dict[int, int] = {}
        self.reserved: dict[int, int] = {}
        self.restored_after_s = 0.0
        self.settled_after_s = 0.0


class Simulation:
    """Runs one scenario, at the event loop's virtual time."""

    def __init__(self, fleet: Fleet, scenario: Scenario, seed: int) -> None:
        self.fleet = fleet
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.restoration_rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        outages = tuple((a + WARM_UP_S, b + WARM_UP_S) for a, b in scenario.outages)
        self.store = SimulatedStore(StoreParameters(outages=outages), self.loop.time)
        self.figures = Figures()
        cuts = tuple((a + WARM_UP_S, b + WARM_UP_S) for a, b in scenario.cuts)
        self.network = SimulatedNetwork(cuts, self.loop.time)
        self.incarnation = 0
        self.budgets: list[FleetBudgets] = []
        self.gateways: list[AllowanceManager] = []
        self.maintenance_tasks: list[asyncio.Task[None]] = []
        self.unrestored: set[AllowanceManager] = set()
        self.unsettled: set[AllowanceManager] = set()
        self.back_at = 0.0
        self.calls: set[asyncio.Task[None]] = set()
        self.arrivals = list(
            arrivals(fleet, self.rng, fleet.duration_s + scenario.extra_duration_s)
        )
        self.prepaid: dict[int, int] = {}
        for call in self.arrivals:
            if call.at > fleet.duration_s:
                break
            tokens = int(fleet.prepaid_factor * call.used)
            before = self.prepaid.get(call.workspace, 0)
            self.prepaid[call.workspace] = before + tokens

    async def run(self) -> Figures:
        """Runs the scenario and returns its results."""
        self._start_all()
        if self.scenario.restoration is not None:
            self.maintenance_tasks.append(
                asyncio.create_task(self._restore_store(self.scenario.restoration))
            )
        losses = list(self.scenario.losses)
        holder_losses = list(self.scenario.holder_losses)
        for call in self.arrivals:
            if losses and call.at >= losses[0]:
                losses.pop(0)
                self._crash_all()
            if holder_losses and call.at >= holder_losses[0]:
                holder_losses.pop(0)
                self._lose_largest_holder()
            await asyncio.sleep(max(0.0, WARM_UP_S + call.at - self.loop.time()))
            self.figures.calls += 1
            self.figures.requested_tokens += call.used
            task = asyncio.create_task(self._run_call(call))
            self.calls.add(task)
            task.add_done_callback(self.calls.discard)
        await asyncio.gather(*self.calls, return_exceptions=True)
        for task in self.maintenance_tasks:
            task.cancel()
        return self.figures

    def _start_all(self) -> None:
        self.incarnation += 1
        self.budgets = [self._new_gateway(vm) for vm in range(self.fleet.vms)]
        self.gateways = [budgets.manager for budgets in self.budgets]
        self.maintenance_tasks = [
            asyncio.create_task(work(gateway))
            for gateway in self.gateways
            for work in (self._maintain, self._restore_budgets, self._report)
        ]

    def _lose_largest_holder(self) -> None:
        """Loses the VM with most free tokens for good."""
        free = [
            sum(account.allowance.free for account in gateway.accounts.values())
            for gateway in self.gateways
        ]
        self.network.lost.add(free.index(max(free)))

    async def _restore_store(self, restoration: Restoration) -> None:
        """Lets the store come back from an older copy, and waits for all budgets."""
        await asyncio.sleep(WARM_UP_S + restoration.copied_at - self.loop.time())
        self.store.take_copy()
        self.back_at = WARM_UP_S + restoration.back_at
        await asyncio.sleep(self.back_at - self.loop.time())
        self.unrestored = set(self.gateways)
        self.unsettled = set(self.gateways)
        self.store.restore_copy()

    def _check_settled(self, gateway: AllowanceManager) -> None:
        """Records when the last gateway has restored and when it has settled."""
        if gateway.eras.current != self.store.era:
            return
        since_s = self.loop.time() - self.back_at
        accounts = gateway.accounts.values()
        if gateway in self.unrestored and not any(a.known_states for a in accounts):
            self.unrestored.remove(gateway)
            self.figures.restored_after_s = since_s
        if gateway in self.unsettled and not gateway.settling_budgets():
            self.unsettled.remove(gateway)
            self.figures.settled_after_s = since_s

    def _crash_all(self) -> None:
        for task in (*self.maintenance_tasks, *self.calls):
            task.cancel()
        self.gateways = []
        self.budgets = []
        self.figures.reserved = {}
        self.restart = asyncio.create_task(self._restart())

    async def _restart(self) -> None:
        """Restarts all VMs after a delay; until then, calls are not served."""
        await asyncio.sleep(RESTART_DELAY_S)
        self._start_all()

    def _new_gateway(self, vm: int) -> FleetBudgets:
        eras = StoreEras(self.loop.time)
        name, incarnation = f"vm-{vm}", f"vm-{vm}-{self.incarnation}"
        table = self.store.table(
            self.rng.choice((0.1, 0.1, 1.0)), eras, lambda: self.network.is_cut_off(vm)
        )
        reports = SpendingReports(
            table, VmIdentity(name, name, incarnation), self.loop.time, eras
        )
        gateway = AllowanceManager(
            table, name, incarnation, TuningSettings(), self.loop.time, eras, reports
        )
        eras.on_change = gateway.enter_era
        gateway.vm_count = self.fleet.vms
        gateway.planner.holder_count = self.fleet.data_centres
        for workspace, tokens in self.prepaid.items():
            gateway.set_prepaid(f"w{workspace}", tokens)
        ranking = HolderRanking(self._holder(vm))
        ranking.update(self._holder(other) for other in range(self.fleet.vms))
        self.network.vms[vm] = SimulatedVm(
            incarnation, self.fleet.data_centre(vm), BudgetHolder(gateway)
        )
        return FleetBudgets(gateway, ranking, self.network.links(vm), self.loop.time)

    def _holder(self, vm: int) -> HolderVm:
        return HolderVm(f"vm-{vm}", f"{vm}:0", f"dc-{self.fleet.data_centre(vm)}")

    async def _report(self, gateway: AllowanceManager) -> None:
        """Reports what a gateway spends, as often as a process does."""
        while True:
            with suppress(PlatformError):
                await gateway.report_spending()
            interval_s = report_interval_s(gateway.vm_count)
            await asyncio.sleep(interval_s * self.restoration_rng.uniform(0.8, 1.2))

    async def _maintain(self, gateway: AllowanceManager) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_PERIOD_S * self.rng.uniform(0.8, 1.2))
            await gateway.prefetch_grants()
            await gateway.rebalance()

    async def _restore_budgets(self, gateway: AllowanceManager) -> None:
        while True:
            await asyncio.sleep(
                RESTORATION_PERIOD_S * self.restoration_rng.uniform(0.8, 1.2)
            )
            self.store.tell_era(gateway.eras)
            await gateway.restore_budgets()
            self._check_settled(gateway)

    async def _run_call(self, call: Arrival) -> None:
        first, fitted = await self._attempt(call, call.vm)
        if first:
            return
        await asyncio.sleep(self.rng.uniform(*RETRY_DELAY_RANGE_S))
        second, fitted_again = await self._attempt(
            call, self.rng.randrange(self.fleet.vms)
        )
        self.figures.falsely_refused += not second and fitted and fitted_again

    def _fits(self, call: Arrival) -> bool:
        """Returns whether the budget has enough tokens that nobody uses."""
        figures, workspace = self.figures, call.workspace
        used = figures.spent.get(workspace, 0) + figures.reserved.get(workspace, 0)
        return used + call.bound <= OWED_FRACTION * self.prepaid.get(workspace, 0)

    async def _attempt(self, call: Arrival, vm: int) -> tuple[bool, bool]:
        """Returns whether a call was served, and whether its budget had enough."""
        if not self.gateways or vm in self.network.lost:
            return False, False
        budgets, figures = self.budgets[vm], self.figures
        name = f"w{call.workspace}"
        fitted = self._fits(call)
        try:
            reservation = await budgets.reserve(name, call.bound)
        except BudgetExhaustedError:
            figures.exhausted += 1
            figures.falsely_exhausted += fitted
            return False, fitted
        except ContendedError:
            figures.contended += 1
            return False, fitted
        except UnavailableError:
            figures.store_unavailable += 1
            return False, fitted
        self._count(figures.reserved, call, call.bound)
        spent = figures.spent.get(call.workspace, 0) + call.used
        figures.overspent += spent > self.prepaid.get(call.workspace, 0)
        figures.served += 1
        figures.served_tokens += call.used
        await asyncio.sleep(CALL_DURATION_S)
        self._count(figures.reserved, call, -call.bound)
        self._count(figures.spent, call, call.used)
        budgets.settle(reservation, call.used)
        return True, True

    def _count(self, sums: dict[int, int], call: Arrival, tokens: int) -> None:
        sums[call.workspace] = sums.get(call.workspace, 0) + tokens


async def simulate(
    fleet: Fleet, scenario: Scenario, seed: int
) -> tuple[Figures, Simulation]:
    """Runs a scenario; the same seed gives the same results."""
    simulation = Simulation(fleet, scenario, seed)
    return await simulation.run(), simulation
