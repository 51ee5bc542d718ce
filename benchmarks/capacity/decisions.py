"""Measures processor time and memory of decisions and state, without sockets."""

import asyncio
import time
import tracemalloc
from collections.abc import Awaitable, Callable

from verbenagrade.coordination import Holder, HolderLimits
from verbenagrade.coordination.budget_table import budget_key
from verbenagrade.coordination.codec import encode_row
from verbenagrade.state import (
    Bill,
    BudgetRow,
    Catalogue,
    EndpointAddress,
    GrantId,
    Instance,
    JournalBatch,
    MemberVm,
    Pool,
    Reserved,
    ReserveOrder,
    Resource,
    Settle,
    Workspace,
    rendezvous_order,
)
from verbenagrade.state.routing import EndpointTable
from verbenagrade.tests.fakes import FakePlatform

__all__ = [
    "catalogue_memory_bytes",
    "choice_cpu_s",
    "grant_memory_bytes",
    "journal_bytes",
    "maintenance_cpu_s",
    "rank_cpu_s",
    "reserve_cpu_s",
    "unwritten_bill_memory_bytes",
]

INSTANCE = Instance("vm-0", 1)
CALL_TOKENS = 1000
BUDGET_TOKENS = 10**12


def reserve_cpu_s(requests: int) -> float:
    """Returns the processor seconds to reserve and settle a number of requests."""
    return asyncio.run(_cpu_s(requests, _reserve_and_settle))


def maintenance_cpu_s(grants: int) -> float:
    """Returns the processor seconds of one maintenance pass over idle grants."""
    return asyncio.run(_cpu_s(grants, _maintain_once))


def grant_memory_bytes(grants: int) -> float:
    """Returns the memory of a holder with a number of grants, in bytes."""
    return asyncio.run(_allocated_bytes(lambda: _holder_with(grants)))


def unwritten_bill_memory_bytes(bills: int) -> float:
    """Returns the memory of bills that wait for the object store, in bytes."""

    async def create() -> Holder:
        """Returns a holder whose journal has the bills queued."""
        holder = _new_holder(1)
        for number in range(bills):
            holder.journal.append(_bill(f"attempt-{number}"))
        return holder

    return asyncio.run(_allocated_bytes(create))


def catalogue_memory_bytes(workspaces: int) -> float:
    """Returns the memory of a catalogue with a number of workspaces, in bytes."""

    async def create() -> Catalogue:
        """Returns a catalogue with the workspaces loaded."""
        catalogue = Catalogue()
        catalogue.preload(_workspace(number) for number in range(workspaces))
        return catalogue

    return asyncio.run(_allocated_bytes(create))


def rank_cpu_s(members: int) -> float:
    """Returns the mean processor seconds to rank a number of VMs for a budget."""
    vms = [MemberVm(f"vm-{n}", "a", "") for n in range(members)]
    started = time.process_time()
    for number in range(100):
        rendezvous_order(f"budget-{number}", vms)
    return (time.process_time() - started) / 100


def choice_cpu_s(endpoints: int) -> float:
    """Returns the mean processor seconds to choose among a number of endpoints."""
    addresses = tuple(EndpointAddress(f"e-{n}", "", "a") for n in range(endpoints))
    table = EndpointTable("a", 1)
    pool = Pool(addresses)
    started = time.process_time()
    for _ in range(200):
        table.choose(pool, (), 0.0)
    return (time.process_time() - started) / 200


def journal_bytes(bills: int) -> float:
    """Returns the size of a journal object with a number of bills, in bytes."""
    batch = JournalBatch(
        INSTANCE, 0, tuple(_bill(f"attempt-{n}") for n in range(bills))
    )
    return len(encode_row(batch))


async def _cpu_s(size: int, action: Callable[[Holder, int], Awaitable[None]]) -> float:
    holder = await _holder_with(size if action is _maintain_once else 1)
    await holder.grants.rebalance()
    started = time.process_time()
    await action(holder, size)
    return time.process_time() - started


async def _allocated_bytes(create: Callable[[], Awaitable[object]]) -> float:
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    retained = await create()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    return after - before


async def _reserve_and_settle(holder: Holder, requests: int) -> None:
    for number in range(requests):
        reserved = await holder.reserve(_order(number + 1, "budget-0"))
        bill = _bill(reserved.attempt, reserved)
        holder.settle(Settle(INSTANCE, (bill,)))


async def _maintain_once(holder: Holder, _size: int) -> None:
    """Runs one maintenance pass as if no grant had been used since the last one."""
    holder.grants.recently_used.clear()
    await holder.grants.rebalance()


async def _holder_with(grants: int) -> Holder:
    holder = _new_holder(grants)
    for number in range(grants):
        reserved = await holder.reserve(_order(number, f"budget-{number}"))
        holder.settle(Settle(INSTANCE, (_bill(reserved.attempt, reserved),)))
    await holder.journal.flush()
    return holder


def _new_holder(budgets: int) -> Holder:
    platform = FakePlatform()
    for number in range(budgets):
        row = BudgetRow(BUDGET_TOKENS, BUDGET_TOKENS, workspace="w")
        platform.rows.put(budget_key(f"budget-{number}"), encode_row(row))
    holder = Holder(
        INSTANCE, platform.table(), platform.objects(), HolderLimits(), time.monotonic
    )
    holder.grants.registered = True
    return holder


def _order(number: int, budget: str) -> ReserveOrder:
    return ReserveOrder(
        attempt=f"muscat-a-0.1796337348179-{number}.0.0",
        request=f"muscat-a-0.1796337348179-{number}",
        workspace="w",
        budget=budget,
        spender=Instance("vm-1", 1),
        endpoint="verbena-pool-3",
        tokens=CALL_TOKENS,
        minimum=CALL_TOKENS,
    )


def _bill(attempt: str, reserved: Reserved | None = None) -> Bill:
    return Bill(
        attempt=attempt,
        request=attempt,
        workspace="w",
        grant=reserved.grant if reserved else GrantId("budget-0", INSTANCE),
        endpoint="verbena-pool-3",
        tokens=CALL_TOKENS // 2,
        prompt_tokens=100,
        outcome="answered",
        at=1796337348.179,
    )


def _workspace(number: int) -> Resource:
    spec = Workspace(f"budget-{number}", (f"key-{number}",), ("verbena", "booking"))
    return Resource("workspace", f"workspace-{number}", 1, number, spec)
