"""Strategies for enforcing budgets.

Compared are table transactions for each request, an equal split of the budget among
routers, and escrow: grants that routers hold in advance.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from benchmarks.budgets.load import DATA_CENTRES, Arrival
from benchmarks.budgets.simulated_platform import SimulatedPlatform
from verbenagrade.coordination import FleetInstance
from verbenagrade.coordination.budget_table import budget_key
from verbenagrade.coordination.codec import decode_row, encode_row
from verbenagrade.coordination.commits import Decision, commit
from verbenagrade.coordination.ports import Row, Write
from verbenagrade.exceptions import (
    PeerUnreachableError,
    PlatformError,
    VerbenagradeError,
)
from verbenagrade.settings import LimitSettings
from verbenagrade.state import (
    Bill,
    BudgetRow,
    Instance,
    Members,
    MemberVm,
    Reserved,
    ReserveOrder,
)

__all__ = ["ROUTERS_PER_DATA_CENTRE", "Strategy", "escrow", "split", "transaction_each"]

ROUTERS_PER_DATA_CENTRE = 3


@dataclass(frozen=True, slots=True)
class Strategy:
    """A strategy for enforcing budgets; all amounts are tokens.

    ``reserve`` returns whether a request may run, ``settle`` records the actual use
    of a request that ended, ``maintain`` does periodic work, and ``idle_tokens``
    returns the tokens held in advance that no request has reserved.
    """

    name: str
    reserve: Callable[[Arrival], Awaitable[bool]]
    settle: Callable[[Arrival], Awaitable[None]]
    maintain: Callable[[], Awaitable[None]]
    idle_tokens: Callable[[], int]


async def no_maintenance() -> None:
    """Does nothing, for strategies without periodic work."""


def transaction_each(platform: SimulatedPlatform) -> Strategy:
    """Returns the strategy that runs two table transactions per request."""
    unsettled: list[Arrival] = []

    async def reserve(arrival: Arrival) -> bool:
        """Commits the token bound of the request in the budget row."""
        try:
            return await _update_budget(platform, arrival, arrival.bound, 0)
        except PlatformError:
            return False

    async def settle(arrival: Arrival) -> None:
        """Replaces the committed bound by the tokens used; retries later on errors."""
        try:
            await _update_budget(platform, arrival, -arrival.bound, arrival.used)
        except PlatformError:
            unsettled.append(arrival)

    async def maintain() -> None:
        """Retries the settlements that failed."""
        retried, unsettled[:] = list(unsettled), []
        for arrival in retried:
            await settle(arrival)

    return Strategy("a: transaction each", reserve, settle, maintain, lambda: 0)


async def _update_budget(
    platform: SimulatedPlatform, arrival: Arrival, committed: int, spent: int
) -> bool:
    """Adds to a budget's committed and spent tokens.

    Returns false, without a change, if ``committed`` exceeds the available tokens.
    """
    key = budget_key(arrival.budget)

    def update(rows: tuple[Row | None, ...]) -> Decision[bool]:
        """Returns the changed row if enough tokens are available."""
        row = decode_row(rows[0].value, BudgetRow)
        if committed > row.available:
            return Decision(False)
        changed = replace(
            row, committed=row.committed + committed, spent=row.spent + spent
        )
        return Decision(True, (Write(key, encode_row(changed)),))

    return await commit(platform.table(arrival.data_centre), (key,), update)


def split(platform: SimulatedPlatform) -> Strategy:
    """Returns the strategy that divides each budget equally among all routers."""
    portions = len(DATA_CENTRES) * ROUTERS_PER_DATA_CENTRE
    remaining = {
        (budget, centre, router): tokens // portions
        for budget, tokens in platform.prepaid.items()
        for centre in DATA_CENTRES
        for router in range(ROUTERS_PER_DATA_CENTRE)
    }

    def portion_key(arrival: Arrival) -> tuple[str, str, int]:
        """Returns the key of the portion that covers a request."""
        return (
            arrival.budget,
            arrival.data_centre,
            arrival.number % ROUTERS_PER_DATA_CENTRE,
        )

    async def reserve(arrival: Arrival) -> bool:
        """Takes the token bound from the router's portion."""
        if remaining[portion_key(arrival)] < arrival.bound:
            return False
        remaining[portion_key(arrival)] -= arrival.bound
        return True

    async def settle(arrival: Arrival) -> None:
        """Returns the unused part of the bound to the portion."""
        remaining[portion_key(arrival)] += arrival.bound - arrival.used

    return Strategy(
        "b: equal split",
        reserve,
        settle,
        no_maintenance,
        lambda: sum(remaining.values()),
    )


def escrow(platform: SimulatedPlatform) -> Strategy:
    """Returns verbenagrade's own strategy: grants held by routers, without sockets."""
    fleet = _InProcessFleet(platform)
    return Strategy(
        "c: escrow", fleet.reserve, fleet.settle, fleet.maintain, fleet.idle_tokens
    )


class _InProcessFleet:
    """The router instances of all data centres, which call each other in process.

    Their code is that of the product; only the network and the platform are
    simulated.
    """

    def __init__(self, platform: SimulatedPlatform) -> None:
        self.platform = platform
        self.vms = {
            f"{centre}-{n}": MemberVm(f"{centre}-{n}", centre, "")
            for centre in DATA_CENTRES
            for n in range(ROUTERS_PER_DATA_CENTRE)
        }
        self.instances = {vm: self._create_instance(vm) for vm in self.vms}
        self.reservations: dict[int, Reserved] = {}

    async def reserve(self, arrival: Arrival) -> bool:
        """Reserves at the grant holder that the router's spender chooses."""
        order = ReserveOrder(
            attempt=str(arrival.number),
            request=str(arrival.number),
            workspace="w",
            budget=arrival.budget,
            spender=self._router_for(arrival).instance,
            endpoint="e",
            tokens=arrival.bound,
            minimum=arrival.bound,
        )
        try:
            reply = await self._router_for(arrival).spender.reserve(order)
        except VerbenagradeError:
            return False
        self.reservations[arrival.number] = reply
        return True

    async def settle(self, arrival: Arrival) -> None:
        """Bills the tokens used."""
        reserved = self.reservations.pop(arrival.number)
        bill = Bill(
            attempt=reserved.attempt,
            request=str(arrival.number),
            workspace="w",
            grant=reserved.grant,
            endpoint="e",
            tokens=arrival.used,
            prompt_tokens=0,
            outcome="answered",
            at=arrival.ends_at,
        )
        spender = self._router_for(arrival).spender
        spender.finish(bill)
        await spender.settle()

    async def maintain(self) -> None:
        """Runs the periodic work of all instances."""
        for instance in self.instances.values():
            await instance.spender.settle()
            await instance.holder.journal.flush()
            await instance.holder.grants.rebalance()

    def idle_tokens(self) -> int:
        """Returns the granted tokens that no request has reserved."""
        return sum(
            held_grant.unreserved
            for instance in self.instances.values()
            for held_grant in instance.holder.grants.held_grants.values()
        )

    def _router_for(self, arrival: Arrival) -> FleetInstance:
        return self.instances[
            f"{arrival.data_centre}-{arrival.number % ROUTERS_PER_DATA_CENTRE}"
        ]

    def _create_instance(self, vm: str) -> FleetInstance:
        own = self.vms[vm]
        members = Members(own)
        members.update(self.vms.values())
        for other in self.vms:
            members.record_instance(Instance(other, 1))

        async def call(member: MemberVm, message):
            """Calls another instance if it is reachable."""
            self._check_reachable(own, member)
            return await self.instances[member.vm].handle(message)

        instance = FleetInstance(
            instance=Instance(vm, 1),
            members=members,
            table=self.platform.table(own.data_centre),
            objects=self.platform.objects(own.data_centre),
            call=call,
            limits=LimitSettings(),
            clock=self.platform.clock,
        )
        instance.holder.grants.registered = True
        self.platform.register(instance.instance, own.data_centre)
        return instance

    def _check_reachable(self, source: MemberVm, target: MemberVm) -> None:
        crosses_data_centres = source.data_centre != target.data_centre
        partitioned = self.platform.is_partitioned(
            source.data_centre
        ) or self.platform.is_partitioned(target.data_centre)
        if (crosses_data_centres and partitioned) or (
            target.vm == "one-0" and self.platform.is_instance_lost()
        ):
            raise PeerUnreachableError("the peer is unreachable")
