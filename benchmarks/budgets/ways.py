"""The ways that are compared: a transaction a request, a split, and escrow."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from benchmarks.budgets.load import DATA_CENTRES, Arrival
from benchmarks.budgets.world import World
from verbenagrade.coordination import FleetInstance
from verbenagrade.coordination.codec import decode_row, encode_row
from verbenagrade.coordination.commits import Step, commit
from verbenagrade.coordination.ports import Row, Write
from verbenagrade.coordination.treasury import budget_key
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

__all__ = ["ROUTERS", "Way", "escrow", "split", "transaction_each"]

ROUTERS = 3


@dataclass(frozen=True, slots=True)
class Way:
    """One way to decide; all amounts are tokens.

    ``reserve`` says whether a request may run, ``settle`` ends one that ran,
    ``tick`` does periodic work and ``idle`` gives what is held and unused.
    """

    name: str
    reserve: Callable[[Arrival], Awaitable[bool]]
    settle: Callable[[Arrival], Awaitable[None]]
    tick: Callable[[], Awaitable[None]]
    idle: Callable[[], int]


async def no_tick() -> None:
    """Does nothing."""


def transaction_each(world: World) -> Way:
    """Returns the way of two table transactions a request."""
    late: list[Arrival] = []

    async def reserve(arrival: Arrival) -> bool:
        """Commits the bound to the request."""
        try:
            return await _change(world, arrival, arrival.bound, 0)
        except PlatformError:
            return False

    async def settle(arrival: Arrival) -> None:
        """Turns the commitment into what was used."""
        try:
            await _change(world, arrival, -arrival.bound, arrival.used)
        except PlatformError:
            late.append(arrival)

    async def tick() -> None:
        """Settles what could not be settled in time."""
        waiting, late[:] = list(late), []
        for arrival in waiting:
            await settle(arrival)

    return Way("a: transaction each", reserve, settle, tick, lambda: 0)


async def _change(world: World, arrival: Arrival, committed: int, spent: int) -> bool:
    """Changes a budget's row; false if the row has no room."""
    key = budget_key(arrival.budget)

    def decide(rows: tuple[Row | None, ...]) -> Step[bool]:
        """Writes the changed row if it fits."""
        row = decode_row(rows[0].value, BudgetRow)
        if committed > row.available:
            return Step(False)
        changed = replace(
            row, committed=row.committed + committed, spent=row.spent + spent
        )
        return Step(True, (Write(key, encode_row(changed)),))

    return await commit(world.table(arrival.data_centre), (key,), decide)


def split(world: World) -> Way:
    """Returns the way of an equal part of each budget for each router."""
    parts = len(DATA_CENTRES) * ROUTERS
    left = {
        (budget, centre, router): tokens // parts
        for budget, tokens in world.prepaid.items()
        for centre in DATA_CENTRES
        for router in range(ROUTERS)
    }

    def part(arrival: Arrival) -> tuple[str, str, int]:
        """Returns the part that a request draws on."""
        return (arrival.budget, arrival.data_centre, arrival.number % ROUTERS)

    async def reserve(arrival: Arrival) -> bool:
        """Takes the bound from the router's part."""
        if left[part(arrival)] < arrival.bound:
            return False
        left[part(arrival)] -= arrival.bound
        return True

    async def settle(arrival: Arrival) -> None:
        """Puts back what was not used."""
        left[part(arrival)] += arrival.bound - arrival.used

    return Way("b: equal split", reserve, settle, no_tick, lambda: sum(left.values()))


def escrow(world: World) -> Way:
    """Returns the product's own way: its holders and spenders, without sockets."""
    fleet = _Fleet(world)
    return Way("c: escrow", fleet.reserve, fleet.settle, fleet.tick, fleet.idle)


class _Fleet:
    """The real instances of all data centres, joined by plain calls."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.vms = {
            f"{centre}-{n}": MemberVm(f"{centre}-{n}", centre, "")
            for centre in DATA_CENTRES
            for n in range(ROUTERS)
        }
        self.instances = {vm: self._instance(vm) for vm in self.vms}
        self.running: dict[int, Reserved] = {}

    async def reserve(self, arrival: Arrival) -> bool:
        """Reserves at the holder that the router's spender chooses."""
        order = ReserveOrder(
            attempt=str(arrival.number),
            request=str(arrival.number),
            workspace="w",
            budget=arrival.budget,
            spender=self._router(arrival).instance,
            endpoint="e",
            tokens=arrival.bound,
            minimum=arrival.bound,
        )
        try:
            answer = await self._router(arrival).spender.reserve(order)
        except VerbenagradeError:
            return False
        self.running[arrival.number] = answer
        return True

    async def settle(self, arrival: Arrival) -> None:
        """Bills what was used."""
        reserved = self.running.pop(arrival.number)
        bill = Bill(
            attempt=reserved.attempt,
            request=str(arrival.number),
            workspace="w",
            grant=reserved.grant,
            endpoint="e",
            tokens=arrival.used,
            prompt_tokens=0,
            outcome="answered",
            at=arrival.ends,
        )
        spender = self._router(arrival).spender
        spender.finish(bill)
        await spender.settle()

    async def tick(self) -> None:
        """Does what instances do periodically."""
        for instance in self.instances.values():
            await instance.spender.settle()
            await instance.holder.journal.flush()
            await instance.holder.grants.tend()

    def idle(self) -> int:
        """Returns what holders have and no request has reserved."""
        return sum(
            holding.unreserved
            for instance in self.instances.values()
            for holding in instance.holder.grants.holdings.values()
        )

    def _router(self, arrival: Arrival) -> FleetInstance:
        return self.instances[f"{arrival.data_centre}-{arrival.number % ROUTERS}"]

    def _instance(self, vm: str) -> FleetInstance:
        own = self.vms[vm]
        members = Members(own)
        members.update(self.vms.values())
        for other in self.vms:
            members.saw(Instance(other, 1))

        async def call(member: MemberVm, message):
            """Calls another instance if there is a path."""
            self._check_path(own, member)
            return await self.instances[member.vm].handle(message)

        instance = FleetInstance(
            instance=Instance(vm, 1),
            members=members,
            table=self.world.table(own.data_centre),
            objects=self.world.objects(own.data_centre),
            call=call,
            limits=LimitSettings(),
            clock=self.world.clock,
        )
        instance.holder.grants.registered = True
        self.world.register(instance.instance, own.data_centre)
        return instance

    def _check_path(self, own: MemberVm, member: MemberVm) -> None:
        crosses = own.data_centre != member.data_centre
        cut = self.world.is_cut(own.data_centre) or self.world.is_cut(
            member.data_centre
        )
        if (crosses and cut) or (member.vm == "one-0" and self.world.is_lost()):
            raise PeerUnreachableError("no path")
