"""Simulates the platform and the network, with faults at given times."""

from dataclasses import dataclass

from benchmarks.budgets.load import Fault, Scenario
from verbenagrade.coordination.budget_table import budget_key
from verbenagrade.coordination.codec import decode_row, encode_row
from verbenagrade.coordination.ports import ObjectStore, Table
from verbenagrade.coordination.registry import Registration
from verbenagrade.exceptions import PlatformError
from verbenagrade.state import BudgetRow, GrantPolicy, Instance, retarget
from verbenagrade.tests.fakes import FakePlatform

__all__ = ["PrepaidBudget", "SimulatedPlatform"]


@dataclass(frozen=True, slots=True)
class PrepaidBudget:
    """A budget's name and the tokens prepaid at the start."""

    budget: str
    tokens: int


class SimulatedPlatform:
    """The platform's table and object store as each data centre reaches them.

    ``now`` is the virtual time in seconds. Calls raise ``PlatformError`` while a
    fault separates the data centre from the platform.
    """

    def __init__(self, scenario: Scenario, budgets: tuple[PrepaidBudget, ...]) -> None:
        self.scenario = scenario
        self.now = 0.0
        self.fake = FakePlatform()
        self.prepaid = {item.budget: item.tokens for item in budgets}
        self.topped_up = False

    def write_budgets(self, hold: GrantPolicy) -> None:
        """Writes a row for each budget to the table."""
        for budget, tokens in self.prepaid.items():
            self._put_budget(
                budget, BudgetRow(tokens, tokens, workspace="w", hold=hold)
            )

    def register(self, instance: Instance, data_centre: str) -> None:
        """Adds an instance to the registry, as a router does when it starts."""
        row = Registration(instance, data_centre, "")
        self.fake.rows.put(f"instance/{instance.name}", encode_row(row))

    def clock(self) -> float:
        """Returns the virtual time in seconds."""
        return self.now

    def is_partitioned(self, data_centre: str) -> bool:
        """Returns whether a network partition isolates a data centre."""
        return any(
            fault.data_centre == data_centre for fault in self._active_faults("cut")
        )

    def is_instance_lost(self) -> bool:
        """Returns whether the router that the scenario loses is unreachable now."""
        return bool(self._active_faults("lost"))

    def reaches_platform(self, data_centre: str) -> bool:
        """Returns whether calls from a data centre reach the platform."""
        return not self._active_faults("away") and not self.is_partitioned(data_centre)

    def top_up_if_due(self) -> None:
        """Applies the scenario's top-up to every budget once it is due."""
        due = [f for f in self.scenario.faults if f.kind == "top_up"]
        if self.topped_up or not due or self.now < due[0].starts_at:
            return
        self.topped_up = True
        for budget in self.prepaid:
            row = self.budget_row(budget)
            self._put_budget(budget, retarget(row, row.target + due[0].tokens))

    def prepaid_tokens(self, budget: str, data_centre: str) -> int:
        """Returns the prepaid tokens of a budget that a data centre can know of.

        A top-up is left out while a partition isolates the data centre.
        """
        tokens = self.prepaid[budget]
        if self.topped_up and not self.is_partitioned(data_centre):
            tokens += sum(f.tokens for f in self.scenario.faults)
        return tokens

    def budget_row(self, budget: str) -> BudgetRow:
        """Returns a budget's row in the table."""
        return decode_row(self.fake.rows.rows[budget_key(budget)].value, BudgetRow)

    def table(self, data_centre: str) -> Table:
        """Returns the table as seen from one data centre."""
        inner = self.fake.table()

        async def read(keys):
            """Reads rows if the platform is reachable."""
            self._check_reachable(data_centre)
            return await inner.read(keys)

        async def scan(prefix, after, limit):
            """Scans rows if the platform is reachable."""
            self._check_reachable(data_centre)
            return await inner.scan(prefix, after, limit)

        async def transact(checks, writes):
            """Runs a transaction if the platform is reachable."""
            self._check_reachable(data_centre)
            return await inner.transact(checks, writes)

        return Table(read, scan, transact)

    def objects(self, data_centre: str) -> ObjectStore:
        """Returns the object store as seen from one data centre."""
        inner = self.fake.objects()

        async def create(name, data):
            """Succeeds if the platform is reachable; the benchmark stores no bills."""
            self._check_reachable(data_centre)
            return True

        return ObjectStore(create, inner.get, inner.names)

    def _put_budget(self, budget: str, row: BudgetRow) -> None:
        self.fake.rows.put(budget_key(budget), encode_row(row))

    def _check_reachable(self, data_centre: str) -> None:
        if not self.reaches_platform(data_centre):
            raise PlatformError("the platform is unreachable")

    def _active_faults(self, kind: str) -> list[Fault]:
        return [
            fault
            for fault in self.scenario.faults
            if fault.kind == kind and fault.starts_at <= self.now < fault.ends_at
        ]
