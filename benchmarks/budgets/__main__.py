"""Runs every scenario with every way and prints a table."""

import asyncio
import heapq
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

import typer

from benchmarks.budgets.load import Arrival, Scenario, arrivals, scenarios
from benchmarks.budgets.ways import Way, escrow, split, transaction_each
from benchmarks.budgets.world import Prepaid, World
from verbenagrade.events import set_up_logging
from verbenagrade.state import HoldPolicy

__all__ = ["main"]

SEED = 20
DEFAULT_HOLD = HoldPolicy()
TICK_S = 2.0
US_PER_S = 1e6
PERCENT = 100.0


@dataclass(frozen=True, slots=True)
class Figures:
    """What one way did in one scenario."""

    scenario: str
    way: str
    requests: int
    served_percent: float
    overspend: int
    false_refusals: int
    refusals: int
    reads: float
    writes: float
    idle_mean_percent: float
    idle_end_percent: float
    decision_us: float


class Run:
    """One way in one scenario, at virtual time."""

    def __init__(self, scenario: Scenario, way: Way, world: World) -> None:
        self.scenario = scenario
        self.way = way
        self.world = world
        self.used: dict[str, int] = defaultdict(int)
        self.running: list[tuple[float, int, Arrival]] = []
        self.refused = self.falsely = self.requests = 0
        self.idle: list[int] = []
        self.decided_s = 0.0
        self.next_tick = TICK_S

    async def go(self, seed: int) -> None:
        """Plays all arrivals, then waits for what still runs."""
        for arrival in arrivals(self.scenario, seed):
            await self._until(arrival.at)
            await self._arrive(arrival)
        await self._until(self.scenario.duration_s + 120.0)

    async def _until(self, at: float) -> None:
        while True:
            ends = self.running[0][0] if self.running else float("inf")
            due = min(ends, self.next_tick)
            if due > at:
                break
            self.world.now = due
            self.world.top_up_if_due()
            if due == ends:
                await self._timed(self.way.settle, heapq.heappop(self.running)[2])
            else:
                await self.way.tick()
                self.idle.append(self.way.idle())
                self.next_tick += TICK_S
        self.world.now = at

    async def _arrive(self, arrival: Arrival) -> None:
        self.requests += 1
        if await self._timed(self.way.reserve, arrival):
            self.used[arrival.budget] += arrival.used
            heapq.heappush(self.running, (arrival.ends, arrival.number, arrival))
            return
        self.refused += 1
        limit = self.world.limit(arrival.budget, arrival.data_centre)
        self.falsely += self.used[arrival.budget] + arrival.used <= limit

    async def _timed(self, action: Callable, arrival: Arrival):
        began = time.process_time()
        result = await action(arrival)
        self.decided_s += time.process_time() - began
        return result

    def figures(self) -> Figures:
        """Returns what was counted."""
        prepaid = {b: self.world.limit(b, "") for b in self.world.prepaid}
        total = sum(prepaid.values())
        counts = self.world.platform.rows.counts
        over = sum(max(0, self.used[b] - tokens) for b, tokens in prepaid.items())
        return Figures(
            scenario=self.scenario.name,
            way=self.way.name,
            requests=self.requests,
            served_percent=PERCENT * sum(self.used.values()) / total,
            overspend=over,
            false_refusals=self.falsely,
            refusals=self.refused,
            reads=counts.reads / self.requests,
            writes=counts.writes / self.requests,
            idle_mean_percent=PERCENT * sum(self.idle) / len(self.idle) / total,
            idle_end_percent=PERCENT * self.idle[-1] / total,
            decision_us=US_PER_S * self.decided_s / self.requests,
        )


def main(
    only: str = "",
    way: str = "",
    hold_s: float = DEFAULT_HOLD.hold_s,
    share: float = DEFAULT_HOLD.share,
    seed: int = SEED,
) -> None:
    """Prints the figures; the same seed gives the same, but for the times."""
    set_up_logging("error", "benchmark")
    hold = HoldPolicy(hold_s=hold_s, share=share)
    typer.echo(_heading())
    for scenario in scenarios():
        if only not in scenario.name:
            continue
        for make in (transaction_each, split, escrow):
            if way in make.__name__:
                typer.echo(_line(asyncio.run(_run(scenario, make, hold, seed))))


async def _run(
    scenario: Scenario, make: Callable[[World], Way], hold: HoldPolicy, seed: int
) -> Figures:
    world = World(scenario, _budgets(scenario, seed))
    world.declare(hold)
    run = Run(scenario, make(world), world)
    await run.go(seed)
    return run.figures()


def _budgets(scenario: Scenario, seed: int) -> tuple[Prepaid, ...]:
    """Gives each budget what covers its demand for the scenario's time."""
    demand: dict[str, int] = defaultdict(int)
    for arrival in arrivals(scenario, seed):
        demand[arrival.budget] += arrival.used
    factor = scenario.lasts_s / scenario.duration_s
    return tuple(Prepaid(b, int(demand[b] * factor)) for b in sorted(demand))


def _heading() -> str:
    return (
        f"{'scenario':<26}{'way':<22}{'requests':>9}{'served%':>9}{'over':>6}"
        f"{'false':>7}{'false%':>8}{'refused':>9}{'reads':>8}{'writes':>8}"
        f"{'idle%':>7}{'end%':>7}{'us':>7}"
    )


def _line(figures: Figures) -> str:
    share = PERCENT * figures.false_refusals / figures.requests
    return (
        f"{figures.scenario:<26}{figures.way:<22}{figures.requests:>9}"
        f"{figures.served_percent:>9.2f}{figures.overspend:>6}"
        f"{figures.false_refusals:>7}{share:>8.3f}{figures.refusals:>9}"
        f"{figures.reads:>8.3f}{figures.writes:>8.4f}"
        f"{figures.idle_mean_percent:>7.1f}{figures.idle_end_percent:>7.1f}"
        f"{figures.decision_us:>7.0f}"
    )


if __name__ == "__main__":
    typer.run(main)
