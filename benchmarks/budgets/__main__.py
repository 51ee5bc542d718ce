"""Runs each strategy in each scenario and prints one table row for each run."""

import asyncio
import heapq
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

import typer

from benchmarks.budgets.load import Arrival, Scenario, arrivals, scenarios
from benchmarks.budgets.simulated_platform import PrepaidBudget, SimulatedPlatform
from benchmarks.budgets.strategies import Strategy, escrow, split, transaction_each
from verbenagrade.events import set_up_logging
from verbenagrade.state import GrantPolicy

__all__ = ["main"]

SEED = 20
DEFAULT_HOLD = GrantPolicy()
MAINTENANCE_PERIOD_S = 2.0
US_PER_S = 1e6
PERCENT = 100.0


@dataclass(frozen=True, slots=True)
class Figures:
    """Results of one strategy in one scenario.

    ``overspend`` is in tokens; a refusal is false if the prepaid tokens would have
    covered the request's actual use. ``reads`` and ``writes`` are table operations per
    request. The idle percentages relate tokens that are held in advance but not
    reserved to all prepaid tokens, as the mean over the run and at its end.
    ``decision_us`` is processor time per request, in microseconds.
    """

    scenario: str
    strategy: str
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


class Simulation:
    """Runs one strategy in one scenario, at virtual time in seconds."""

    def __init__(
        self, scenario: Scenario, strategy: Strategy, platform: SimulatedPlatform
    ) -> None:
        self.scenario = scenario
        self.strategy = strategy
        self.platform = platform
        self.used_tokens: dict[str, int] = defaultdict(int)
        self.running: list[tuple[float, int, Arrival]] = []
        self.refused = self.false_refusals = self.requests = 0
        self.idle_samples: list[int] = []
        self.decision_s = 0.0
        self.next_maintenance_at = MAINTENANCE_PERIOD_S

    async def run(self, seed: int) -> None:
        """Handles all arrivals, then runs on until the last requests have ended."""
        for arrival in arrivals(self.scenario, seed):
            await self._advance_to(arrival.at)
            await self._handle_arrival(arrival)
        await self._advance_to(self.scenario.duration_s + 120.0)

    async def _advance_to(self, at: float) -> None:
        while True:
            next_end = self.running[0][0] if self.running else float("inf")
            due = min(next_end, self.next_maintenance_at)
            if due > at:
                break
            self.platform.now = due
            self.platform.top_up_if_due()
            if due == next_end:
                await self._timed(self.strategy.settle, heapq.heappop(self.running)[2])
            else:
                await self.strategy.maintain()
                self.idle_samples.append(self.strategy.idle_tokens())
                self.next_maintenance_at += MAINTENANCE_PERIOD_S
        self.platform.now = at

    async def _handle_arrival(self, arrival: Arrival) -> None:
        self.requests += 1
        if await self._timed(self.strategy.reserve, arrival):
            self.used_tokens[arrival.budget] += arrival.used
            heapq.heappush(self.running, (arrival.ends_at, arrival.number, arrival))
            return
        self.refused += 1
        prepaid = self.platform.prepaid_tokens(arrival.budget, arrival.data_centre)
        self.false_refusals += (
            self.used_tokens[arrival.budget] + arrival.used <= prepaid
        )

    async def _timed(self, action: Callable, arrival: Arrival):
        started = time.process_time()
        result = await action(arrival)
        self.decision_s += time.process_time() - started
        return result

    def figures(self) -> Figures:
        """Returns the results of the run."""
        prepaid = {
            b: self.platform.prepaid_tokens(b, "") for b in self.platform.prepaid
        }
        total = sum(prepaid.values())
        counts = self.platform.fake.rows.counts
        overspend = sum(
            max(0, self.used_tokens[b] - tokens) for b, tokens in prepaid.items()
        )
        return Figures(
            scenario=self.scenario.name,
            strategy=self.strategy.name,
            requests=self.requests,
            served_percent=PERCENT * sum(self.used_tokens.values()) / total,
            overspend=overspend,
            false_refusals=self.false_refusals,
            refusals=self.refused,
            reads=counts.reads / self.requests,
            writes=counts.writes / self.requests,
            idle_mean_percent=PERCENT
            * sum(self.idle_samples)
            / len(self.idle_samples)
            / total,
            idle_end_percent=PERCENT * self.idle_samples[-1] / total,
            decision_us=US_PER_S * self.decision_s / self.requests,
        )


def main(
    only: str = "",
    way: str = "",
    hold_s: float = DEFAULT_HOLD.hold_s,
    share: float = DEFAULT_HOLD.share,
    seed: int = SEED,
) -> None:
    """Prints the results of all scenarios and strategies.

    ``only`` and ``way`` select scenarios and strategies whose names contain them.
    All results but the processor times are the same for the same seed.
    """
    set_up_logging("error", "benchmark")
    hold = GrantPolicy(hold_s=hold_s, share=share)
    typer.echo(_format_heading())
    for scenario in scenarios():
        if only not in scenario.name:
            continue
        for create in (transaction_each, split, escrow):
            if way in create.__name__:
                typer.echo(
                    _format_row(asyncio.run(_simulate(scenario, create, hold, seed)))
                )


async def _simulate(
    scenario: Scenario,
    create: Callable[[SimulatedPlatform], Strategy],
    hold: GrantPolicy,
    seed: int,
) -> Figures:
    platform = SimulatedPlatform(scenario, _budgets(scenario, seed))
    platform.write_budgets(hold)
    simulation = Simulation(scenario, create(platform), platform)
    await simulation.run(seed)
    return simulation.figures()


def _budgets(scenario: Scenario, seed: int) -> tuple[PrepaidBudget, ...]:
    """Returns budgets sized to last for the scenario's ``budget_lifetime_s``."""
    demand: dict[str, int] = defaultdict(int)
    for arrival in arrivals(scenario, seed):
        demand[arrival.budget] += arrival.used
    factor = scenario.budget_lifetime_s / scenario.duration_s
    return tuple(PrepaidBudget(b, int(demand[b] * factor)) for b in sorted(demand))


def _format_heading() -> str:
    return (
        f"{'scenario':<26}{'strategy':<22}{'requests':>9}{'served%':>9}{'over':>6}"
        f"{'false':>7}{'false%':>8}{'refused':>9}{'reads':>8}{'writes':>8}"
        f"{'idle%':>7}{'end%':>7}{'us':>7}"
    )


def _format_row(figures: Figures) -> str:
    share = PERCENT * figures.false_refusals / figures.requests
    return (
        f"{figures.scenario:<26}{figures.strategy:<22}{figures.requests:>9}"
        f"{figures.served_percent:>9.2f}{figures.overspend:>6}"
        f"{figures.false_refusals:>7}{share:>8.3f}{figures.refusals:>9}"
        f"{figures.reads:>8.3f}{figures.writes:>8.4f}"
        f"{figures.idle_mean_percent:>7.1f}{figures.idle_end_percent:>7.1f}"
        f"{figures.decision_us:>7.0f}"
    )


if __name__ == "__main__":
    typer.run(main)
