"""Measures router processes, idle and under a constant load."""

import asyncio
import re
from collections.abc import Iterator

from benchmarks.capacity.linear_fit import LinearFit, measure
from verbenagrade.tests.fleet import Fleet, Layout

__all__ = ["report", "request_fit"]

IDLE_S = 10.0
REQUESTS_PER_RUN = 200
MAX_CONCURRENT_REQUESTS = 8
MS_PER_S = 1000
BYTES_PER_MB = 1_000_000
METRIC = re.compile(r"^verbenagrade_(\w+)(?:{})? (\S+)$", re.MULTILINE)


def report() -> Iterator[str]:
    """Yields a line for each size of an idle fleet, and one for streamed requests."""
    for routers in (2, 4, 8):
        yield asyncio.run(_measure_idle(routers))
    fit = request_fit()
    yield (
        f"streamed request: {fit.base * MS_PER_S:.2f} ms and"
        f" {fit.slope * MS_PER_S:.4f} ms per token (min"
        f" {fit.min_slope * MS_PER_S:.4f}, max {fit.max_slope * MS_PER_S:.4f})"
    )


async def _measure_idle(routers: int) -> str:
    layout = Layout(data_centres=("one",), routers=routers)
    async with Fleet(layout) as fleet:
        await asyncio.sleep(2.0)
        before = await _metric_totals(fleet)
        counts_before = (await fleet.send_request("platform", "GET", "/counts")).json()
        await asyncio.sleep(IDLE_S)
        after = await _metric_totals(fleet)
        counts_after = (await fleet.send_request("platform", "GET", "/counts")).json()
        cpu = (after["processor_s"] - before["processor_s"]) / routers / IDLE_S
        reads = (counts_after["reads"] - counts_before["reads"]) / routers / IDLE_S
        writes = (counts_after["writes"] - counts_before["writes"]) / routers / IDLE_S
        memory = after["memory_bytes"] / routers / BYTES_PER_MB
        return (
            f"idle, each of {routers} routers in one data centre:"
            f" {cpu * MS_PER_S:.1f} ms/s of processor time, {memory:.0f} MB,"
            f" {reads:.2f} table reads/s, {writes:.2f} table writes/s"
        )


def request_fit() -> LinearFit:
    """Returns the processor seconds of a streamed request, fitted over its tokens."""
    return measure((20, 100, 300), 2, lambda words: asyncio.run(_request_cpu_s(words)))


async def _request_cpu_s(words: int) -> float:
    async with Fleet(Layout(data_centres=("one",), routers=3)) as fleet:
        before = await _metric_totals(fleet)
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

        async def send(number: int) -> None:
            """Sends one streamed request to a router chosen by its number."""
            async with semaphore:
                vm = fleet.router_vms()[number % 3]
                await fleet.chat(vm, stream=True, answer_words=words)

        await asyncio.gather(*map(send, range(REQUESTS_PER_RUN)))
        after = await _metric_totals(fleet)
        return (after["processor_s"] - before["processor_s"]) / REQUESTS_PER_RUN


async def _metric_totals(fleet: Fleet) -> dict[str, float]:
    totals: dict[str, float] = {}
    for vm in fleet.router_vms():
        text = (await fleet.send_request(vm, "GET", "/metrics")).body.decode()
        for name, value in METRIC.findall(text):
            totals[name] = totals.get(name, 0.0) + float(value)
    return totals
