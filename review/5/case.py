"""Answers to reads are lost; later reads of the same record are denied for good."""

import asyncio
import random
from collections import Counter

from review.common.callers import call, session
from review.common.case import TROUBLE, Setting, run_case
from review.common.configurations import configuration, read_headers, read_route
from review.common.replicas import Replica

REPLICAS, WORK_S = 5, 0.06
LOSING_SHARE, LOST_SHARE, LOSING_S = 0.6, 0.3, 6.0
HOT_SHARE, RECORDS = 0.28, 139
CALLERS, PAUSE_S = 12, 0.2
TROUBLE_AT_S, LENGTH_S = (4.0, 12.0, 20.0, 28.0), 60.0
ALLOWED, ALLOWED_SHARE = 5, 1 / 500


def make_replicas(store, record) -> tuple[Replica, ...]:
    """Returns the replicas of a plain service."""
    replicas = tuple(
        Replica(f"i-{n}", "booking", store, record) for n in range(REPLICAS)
    )
    for replica in replicas:
        replica.work_s = WORK_S
    return replicas


async def send_reads(client, setting: Setting, rng, counts: Counter) -> None:
    """Reads one record after the other, one of them more often than the others."""
    fleet, record = setting.fleet, setting.record
    while True:
        name, headers = fleet.choose(rng), read_headers()
        hot = rng.random() < HOT_SHARE
        path = f"/records/{0 if hot else rng.randrange(1, RECORDS):x}"
        request = headers["Request-Id"]
        record.write("sent", request=request, machine=name, path=path)
        answer = await call(client, fleet.address(name), "GET", path, headers)
        record.write(
            "answered",
            request=request,
            status=answer.status,
            denied=answer.is_denial,
        )
        counts["sent"] += 1
        counts["denied"] += answer.is_denial
        counts[answer.status] += 1
        await asyncio.sleep(rng.uniform(0.5, 1.5) * PAUSE_S)


async def sleep_until(at: float) -> None:
    """Sleeps until a time of the event loop."""
    await asyncio.sleep(max(0.0, at - asyncio.get_running_loop().time()))


async def play(setting: Setting) -> bool:
    """Lets replicas lose answers; returns whether too many requests are denied."""
    rng, record, counts = random.Random(1), setting.record, Counter()
    begun_at = asyncio.get_running_loop().time()
    losing_count = int(LOSING_SHARE * REPLICAS)
    async with session() as client:
        tasks = [
            asyncio.create_task(send_reads(client, setting, rng, counts))
            for _ in range(CALLERS)
        ]
        for at_s in TROUBLE_AT_S:
            await sleep_until(begun_at + at_s)
            losing = rng.sample(setting.replicas, losing_count if TROUBLE else 0)
            for replica in losing:
                replica.loses_answer = lambda _request: rng.random() < LOST_SHARE
                record.write("loses answers", replica=replica.name)
            await asyncio.sleep(LOSING_S)
            for replica in losing:
                replica.loses_answer = lambda _request: False
                record.write("loses no answers", replica=replica.name)
        await sleep_until(begun_at + LENGTH_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    allowed = ALLOWED + ALLOWED_SHARE * counts["sent"]
    record.write("denied", requests=counts["denied"], allowed=allowed)
    print(f"{counts['denied']} denied, {allowed:.1f} allowed; {dict(counts)}")
    return counts["denied"] > allowed


if __name__ == "__main__":
    start = configuration(4, read_route("booking"), services=("booking",))
    run_case(__file__, start, make_replicas, play)
