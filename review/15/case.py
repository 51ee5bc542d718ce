"""Streams of a killed gateway, taken up after entries had lapsed and come back."""

import asyncio
import itertools
import os
import signal
import sys
from collections.abc import Iterable
from pathlib import Path
from time import monotonic

from review.common3.client import Answer, call
from review.common3.deployment import BOUNDS, Deployment, Gateway
from review.common3.record import Record
from review.common3.replica import Replica

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIME_LIMIT_S = 12.0
BEGIN_S, OUTAGE_S, LAPSE_S = 1.5, 4.5, 3.6
"""When the long streams begin, when the store is back, and when entries lapse, in
seconds after the outage began; three heartbeats are 3.6 s."""

BACK_S = {"i-3": 0.3, "i-1": 1.9, "i-2": 1.9}
"""When each entry is back, in seconds after the store is."""

KILL_S = OUTAGE_S + 4.5
STREAMS, EVENTS, PAUSE_MS = 30, 55, 190
RETRIES, RETRY_AFTER_FRACTION = 3, 1 / 3
VERSION = "v1"
"""The software version that two replicas serve; streams of others don't count."""

MIN_TAKEN_UP = 12
"""LOST: of so many streams or more that are taken up, the share that goes on may not be
under half of the share of new streams that begin."""

NEW_STREAM_INTERVAL_S, COUNTED_S = 0.15, 4.0
"""Time between two new streams, and for which they still count after the others."""

FIRST_SECONDS_S = 28.0
"""Time after which a fleet no longer treats its first start as a loss of rows."""

ROUTE = {
    "name": "drafts",
    "host": "site.example",
    "prefix": "/drafts/",
    "kind": "streaming",
    "service": "pool",
    "timeout_ms": 12_000,
    "target_latency_ms": 1_000,
    "gap_aim_ms": 400,
    "max_attempts": 2,
    "stream_resume": True,
}
CONFIGURATION = {
    "version": 1,
    "routes": [ROUTE],
    "services": [{"name": "pool", "engine": {"stride": 7}}],
    "tenants": [{"name": "hotel", "api_keys": ["key-1"], "prepaid": 9_000_000}],
}
numbers = itertools.count(1)


async def stream(
    gateway: Gateway, events: int, left_s: float, **headers: str
) -> tuple[str, Answer]:
    """Sends one request for a stream; returns its id and the answer."""
    request_id = f"r{next(numbers):05}"
    fields = {
        "Host": "site.example",
        "Request-Id": request_id,
        "Deadline-Ms": str(int(left_s * 1000)),
        "Authorization": "Bearer key-1",
        "Model": "m",
        "Token-Count": "100,420",
        "X-Events": str(events),
        "X-Pause-Ms": str(PAUSE_MS),
    }
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    return request_id, await call(gateway.front, "POST", "/drafts/1", fields, b"text")


class NewStreams:
    """Short streams that begin all the while, and how many do from a time on."""

    def __init__(self, gateways: Iterable[Gateway]) -> None:
        self.gateways = itertools.cycle(gateways)
        self.asked = self.begun = 0
        self.counts = False
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Begins streams until it is cancelled."""
        while True:
            task = asyncio.create_task(self._begin(next(self.gateways)))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(NEW_STREAM_INTERVAL_S)

    async def _begin(self, gateway: Gateway) -> None:
        counts = self.counts
        _, answer = await stream(gateway, 3, 3.0)
        self.asked += counts
        self.begun += counts and bool(answer.events)


async def long_stream(
    first: Gateway, others: list[Gateway], record: Record
) -> bool | None:
    """Reads a stream, and takes it up if it breaks off.

    Returns whether it went on, ``None`` if it doesn't count.
    """
    began_at = monotonic()
    request_id, answer = await stream(first, EVENTS, TIME_LIMIT_S)
    record.write("stream", request=request_id, events=len(answer.events))
    if answer.complete or not answer.events:
        return None
    last = answer.events[-1].split(b"\n")[0].removeprefix(b"id: ").decode()
    version = answer.events[-1].split(b"data: ")[1].decode()
    if version != VERSION:
        return None
    resumed = {"Last_Event_Id": last, "Resumes": request_id}
    for number in range(RETRIES):
        left_s = TIME_LIMIT_S - (monotonic() - began_at)
        gateway = others[number % len(others)]
        name, answer = await stream(gateway, EVENTS, left_s, **resumed)
        record.write(
            "taken up",
            request=name,
            resumes=request_id,
            version=version,
            gateway=gateway.name,
            status=answer.status,
            events=len(answer.events),
        )
        if answer.events:
            return True
        pause_s = float(answer.headers.get("retry-after", 0.1))
        await asyncio.sleep(min(pause_s, left_s * RETRY_AFTER_FRACTION))
    return False


async def outage(deployment: Deployment, record: Record) -> None:
    """Lets the store be away, and entries lapse and come back."""
    store = deployment.store
    store.status = 503
    record.write("store away")
    await asyncio.sleep(LAPSE_S)
    for replica in deployment.replicas:
        store.remove("servers", replica.name)
    record.write("entries lapsed")
    await asyncio.sleep(OUTAGE_S - LAPSE_S)
    store.status = 0
    record.write("store back")
    back_at = monotonic()
    for replica in sorted(deployment.replicas, key=lambda it: BACK_S[it.name]):
        await asyncio.sleep(max(0.0, back_at + BACK_S[replica.name] - monotonic()))
        store.put("servers", replica.name, replica.entry())
        record.write("entry back", replica=replica.name, version=replica.version)


async def play(record: Record) -> bool:
    """Plays the case; returns whether the rule was broken."""
    zones = {"muscat-a": "muscat", "dhofar-a": "dhofar", "batinah-a": "batinah"}
    async with Deployment(zones, BOUNDS) as deployment:
        deployment.store.put("op", "config", CONFIGURATION)
        for name, zone in zip(("i-1", "i-2"), zones, strict=False):
            await deployment.add_replica(Replica(name, "pool", zone, VERSION))
        gateways = [await deployment.add_gateway(zone) for zone in zones]
        for gateway in gateways:
            deployment.start(gateway)
            await gateway.wait_ready()
        await asyncio.sleep(3.0)
        await deployment.add_replica(Replica("i-3", "pool", "batinah-a", "v2"))
        await asyncio.sleep(FIRST_SECONDS_S)
        killed, *others = gateways
        new_streams = NewStreams(others)
        running = asyncio.create_task(new_streams.run())
        await asyncio.sleep(2.0)
        began_at = monotonic()
        trouble = asyncio.create_task(
            outage(deployment, record) if TROUBLE else asyncio.sleep(0)
        )
        await asyncio.sleep(BEGIN_S)
        streams = [
            asyncio.create_task(long_stream(killed, others, record))
            for _ in range(STREAMS)
        ]
        await asyncio.sleep(began_at + KILL_S - monotonic())
        record.write("kill", gateway=killed.name)
        killed.signal(signal.SIGKILL)
        new_streams.counts = True
        ends = await asyncio.gather(*streams)
        taken_up = [went_on for went_on in ends if went_on is not None]
        await asyncio.sleep(COUNTED_S)
        running.cancel()
        await trouble
        record.write_runs(deployment.replicas)
    share = sum(taken_up) / max(1, len(taken_up))
    new_share = new_streams.begun / max(1, new_streams.asked)
    record.write(
        "result",
        taken_up=len(taken_up),
        share_that_went_on=round(share, 2),
        new_streams=new_streams.asked,
        share_that_began=round(new_share, 2),
    )
    return len(taken_up) >= MIN_TAKEN_UP and share < new_share / 2


def main() -> int:
    """Returns 1 if the rule was broken, 0 if it held, 2 if the case did not run."""
    with Record(Path(__file__).parent / "record.txt") as record:
        try:
            return int(asyncio.run(play(record)))
        except Exception as error:
            record.write("could not run", reason=repr(error))
            return 2


if __name__ == "__main__":
    sys.exit(main())
