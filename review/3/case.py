"""An entry of another writer can't be read; machines follow no replica any more."""

import asyncio
import random

from review.common.callers import call, session
from review.common.case import TROUBLE, Setting, run_case
from review.common.configurations import configuration, read_headers, read_route
from review.common.fleet import BOUNDS
from review.common.replicas import Replica

NESTING = 4000
UNREADABLE = b'{"note": ' + b"[" * NESTING + b"]" * NESTING + b"}"
CALLERS, PAUSE_S = 12, 0.2
ENTRY_AFTER_S, DRAINING_AFTER_S, WATCH_S = 2.0, 5.0, 8.0


def make_replicas(store, record) -> tuple[Replica, ...]:
    """Returns the replicas of a plain service."""
    return tuple(Replica(f"i-{n}", "booking", store, record) for n in range(3))


async def send_reads(client, setting: Setting, rng) -> None:
    """Reads one record after the other."""
    fleet, record = setting.fleet, setting.record
    while True:
        name, headers = fleet.choose(rng), read_headers()
        request = headers["Request-Id"]
        record.write("sent", request=request, machine=name)
        path = f"/records/{request}"
        answer = await call(client, fleet.address(name), "GET", path, headers)
        record.write("answered", request=request, status=answer.status)
        await asyncio.sleep(rng.uniform(0.5, 1.5) * PAUSE_S)


async def play(setting: Setting) -> bool:
    """Lets a replica leave; returns whether requests reach it too late."""
    rng, record = random.Random(1), setting.record
    leaving = setting.replicas[0]
    async with session() as client:
        tasks = [
            asyncio.create_task(send_reads(client, setting, rng))
            for _ in range(CALLERS)
        ]
        await asyncio.sleep(ENTRY_AFTER_S)
        if TROUBLE:
            setting.store.put("servers", "other", UNREADABLE)
            record.write("entry of another writer", bytes=len(UNREADABLE))
        await asyncio.sleep(DRAINING_AFTER_S)
        leaving.state = "draining"
        leaving.register()
        record.write("draining", replica=leaving.name)
        await asyncio.sleep(BOUNDS["drain_ms"] / 1000)
        in_time = len(leaving.runs)
        record.write("drain_ms is over", replica=leaving.name)
        await asyncio.sleep(WATCH_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    late = len(leaving.runs) - in_time
    record.write("late", requests=late)
    print(f"{late} requests reached a draining replica after drain_ms")
    return late > 0


if __name__ == "__main__":
    start = configuration(4, read_route("booking"), services=("booking",))
    run_case(__file__, start, make_replicas, play)
