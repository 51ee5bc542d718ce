"""Measures whole router processes: idle, and under a steady load."""

import asyncio
import re
from collections.abc import Iterator

from benchmarks.capacity.fits import Line, measure
from verbenagrade.tests.fleet import Fleet, Layout

__all__ = ["report", "request_line"]

IDLE_S = 10.0
LOAD_REQUESTS = 200
CONCURRENCY = 8
MS_PER_S = 1000
BYTES_PER_MB = 1_000_000
METRIC = re.compile(r"^verbenagrade_(\w+)(?:{})? (\S+)$", re.MULTILINE)


def report() -> Iterator[str]:
    """Yields lines on idle processes of two fleet sizes, and on a request."""
    for routers in (2, 4, 8):
        yield asyncio.run(_idle(routers))
    line = request_line()
    yield (
        f"streamed request: {line.base * MS_PER_S:.2f} ms and"
        f" {line.slope * MS_PER_S:.4f} ms a token (least"
        f" {line.lowest * MS_PER_S:.4f}, most {line.highest * MS_PER_S:.4f})"
    )


async def _idle(routers: int) -> str:
    layout = Layout(data_centres=("one",), routers=routers)
    async with Fleet(layout) as fleet:
        await asyncio.sleep(2.0)
        before = await _totals(fleet)
        counts = (await fleet.ask("platform", "GET", "/counts")).json()
        await asyncio.sleep(IDLE_S)
        after = await _totals(fleet)
        now = (await fleet.ask("platform", "GET", "/counts")).json()
        spent = (after["processor_s"] - before["processor_s"]) / routers / IDLE_S
        reads = (now["reads"] - counts["reads"]) / routers / IDLE_S
        writes = (now["writes"] - counts["writes"]) / routers / IDLE_S
        memory = after["memory_bytes"] / routers / BYTES_PER_MB
        return (
            f"idle, {routers} routers in one data centre: {spent * MS_PER_S:.1f} ms/s,"
            f" {memory:.0f} MB, {reads:.2f} table reads/s, {writes:.2f} writes/s each"
        )


def request_line() -> Line:
    """Returns processor seconds of a streamed request by the tokens of its answer."""
    return measure((20, 100, 300), 2, lambda words: asyncio.run(_loaded(words)))


async def _loaded(words: int) -> float:
    async with Fleet(Layout(data_centres=("one",), routers=3)) as fleet:
        before = await _totals(fleet)
        slots = asyncio.Semaphore(CONCURRENCY)

        async def one(number: int) -> None:
            """Sends one streamed request."""
            async with slots:
                vm = fleet.routers()[number % 3]
                await fleet.chat(vm, stream=True, answer_words=words)

        await asyncio.gather(*map(one, range(LOAD_REQUESTS)))
        after = await _totals(fleet)
        return (after["processor_s"] - before["processor_s"]) / LOAD_REQUESTS


async def _totals(fleet: Fleet) -> dict[str, float]:
    totals: dict[str, float] = {}
    for vm in fleet.routers():
        text = (await fleet.ask(vm, "GET", "/metrics")).body.decode()
        for name, value in METRIC.findall(text):
            totals[name] = totals.get(name, 0.0) + float(value)
    return totals
