"""Streams of a data centre that is cut off from the store, taken up elsewhere."""

import asyncio
import itertools
import os
import signal
import sys
from pathlib import Path
from time import monotonic

from review.common3.client import Answer, call
from review.common3.deployment import BOUNDS, Deployment, Gateway
from review.common3.record import Record
from review.common3.replica import Replica

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIME_LIMIT_S = 12.0
ENTRY_LAPSES_S = 3.6
"""Three heartbeats of 1.2 s."""

BEGIN_S, HEAL_S, KILL_S = 20.5, 21.5, 31.0
"""When the streams begin, the cut heals and their gateway is killed, in seconds after
the cut."""

STREAMS = 6
EVENTS, PAUSE_MS = 60, 190
MAX_JOINED = 2
"""ORDER: no more than two streams may hold events of two versions."""

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


async def steady(gateway: Gateway, until: float) -> None:
    """Sends short streams, as other clients do all the while."""
    while monotonic() < until:
        await stream(gateway, 3, 3.0)
        await asyncio.sleep(0.3)


async def long_stream(first: Gateway, other: Gateway, record: Record) -> set[str]:
    """Reads a stream, takes it up once if it breaks off; returns its versions."""
    began_at = monotonic()
    request_id, answer = await stream(first, EVENTS, TIME_LIMIT_S)
    parts = [answer]
    left_s = TIME_LIMIT_S - (monotonic() - began_at)
    if not answer.complete and answer.events and left_s > 0:
        last = answer.events[-1].split(b"\n")[0].removeprefix(b"id: ").decode()
        resumed = {"Last_Event_Id": last, "Resumes": request_id}
        _, answer = await stream(other, EVENTS, left_s, **resumed)
        parts.append(answer)
    versions: set[str] = set()
    for part in parts:
        found = [event.split(b"data: ")[1].decode() for event in part.events]
        record.write(
            "stream",
            began_by=request_id,
            status=part.status,
            events=len(found),
            versions=sorted(set(found)),
            complete=part.complete,
        )
        versions |= set(found)
    return versions


async def play(record: Record) -> int:
    """Plays the case; returns how many streams hold events of two versions."""
    zones = {"muscat-a": "muscat", "dhofar-a": "dhofar"}
    async with Deployment(zones, BOUNDS) as deployment:
        store = deployment.store
        store.put("op", "config", CONFIGURATION)
        old = await deployment.add_replica(Replica("i-1", "pool", "muscat-a", "v1"))
        cut, sound = [await deployment.add_gateway(zone) for zone in zones]
        for gateway in (cut, sound):
            deployment.start(gateway)
            await gateway.wait_ready()
        await asyncio.sleep(3.0)
        await deployment.add_replica(Replica("i-2", "pool", "dhofar-a", "v2"))
        await asyncio.sleep(1.0)
        began_at = monotonic()
        record.write("cut" if TROUBLE else "no cut", zone="muscat-a")
        others = [
            asyncio.create_task(steady(gateway, began_at + BEGIN_S - 4.0))
            for gateway in (cut, sound)
        ]
        if TROUBLE:
            store.silent_hosts.add(cut.store_address)
            await asyncio.sleep(ENTRY_LAPSES_S)
            store.remove("servers", old.name)
            record.write("entry lapsed", replica=old.name)
        await asyncio.gather(*others)
        await asyncio.sleep(began_at + BEGIN_S - monotonic())
        streams = [
            asyncio.create_task(long_stream(cut, sound, record)) for _ in range(STREAMS)
        ]
        await asyncio.sleep(began_at + HEAL_S - monotonic())
        if TROUBLE:
            store.silent_hosts.clear()
            store.put("servers", old.name, old.entry())
            record.write("cut healed", zone="muscat-a")
        await asyncio.sleep(began_at + KILL_S - monotonic())
        record.write("kill", gateway=cut.name)
        cut.signal(signal.SIGKILL)
        versions = await asyncio.gather(*streams)
        record.write_runs(deployment.replicas)
    return sum(len(found) > 1 for found in versions)


def main() -> int:
    """Returns 1 if the rule was broken, 0 if it held, 2 if the case did not run."""
    with Record(Path(__file__).parent / "record.txt") as record:
        try:
            joined = asyncio.run(play(record))
        except Exception as error:
            record.write("could not run", reason=repr(error))
            return 2
        record.write("result", joined_streams=joined, allowed=MAX_JOINED)
        return int(joined > MAX_JOINED)


if __name__ == "__main__":
    sys.exit(main())
