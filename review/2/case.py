"""A machine that the store turns away takes streams up at another version."""

import asyncio
import random

from review.common.callers import call, session
from review.common.case import TROUBLE, Setting, run_case
from review.common.configurations import (
    STREAM_LIMIT_MS,
    configuration,
    stream_headers,
    stream_route,
)
from review.common.fleet import BOUNDS
from review.common.replicas import Replica

STREAMS, SPREAD_S = 60, 2.0
PROMPT_TOKENS, EVENTS, EVENT_S = 60, 45, 0.15
TRIES, TRY_AGAIN_S = 4, 0.8
OLD_VERSION_ALONE_S = 27.0
TURNED_AWAY_S, NEW_VERSION_AFTER_S, STREAMS_AFTER_S = 9.0, 0.5, 0.5
STAYS_AFTER_DRAINING_S = 0.5
MOST_JOINED = 2


def make_replicas(store, record) -> tuple[Replica, ...]:
    """Returns two replicas of an old version and two of a new one, that come later."""
    replicas = tuple(
        Replica(f"i-{number}", "pool", store, record, version=version)
        for number, version in enumerate(("v1", "v1", "v2", "v2"))
    )
    for replica in replicas:
        replica.events, replica.event_s = EVENTS, EVENT_S
        replica.starts_later = replica.version == "v2"
    return replicas


async def read_stream(client, setting: Setting, rng) -> list[str]:
    """Reads a stream in one try or several; returns the versions of its events."""
    fleet, record = setting.fleet, setting.record
    clock = asyncio.get_running_loop().time
    ends_at, begun_by = clock() + STREAM_LIMIT_MS / 1000, ""
    versions = []
    for _ in range(TRIES):
        name = fleet.choose(rng)
        headers = stream_headers(PROMPT_TOKENS, EVENTS, ends_at - clock())
        request = headers["Request-Id"]
        if versions:
            headers |= {"Last-Event-Id": str(len(versions)), "Resumes": begun_by}
        record.write("sent", request=request, machine=name, after=len(versions))
        answer = await call(client, fleet.address(name), "POST", "/drafts/2f", headers)
        whole = answer.status == 200 and answer.complete
        if answer.status == 200 and answer.events:
            begun_by = begun_by or request
            versions += [event.split()[3].decode() for event in answer.events]
        record.write(
            "answered",
            request=request,
            status=answer.status,
            complete=answer.complete,
            events=len(versions),
            versions="+".join(sorted(set(versions))),
        )
        if whole or clock() + TRY_AGAIN_S >= ends_at:
            break
        await asyncio.sleep(TRY_AGAIN_S)
    return versions


async def play(setting: Setting) -> bool:
    """Takes a new version into service and out again; counts joined streams."""
    rng, store, record = random.Random(1), setting.store, setting.record
    turned_away = setting.fleet.store_addresses["front-3"]
    new = [replica for replica in setting.replicas if replica.starts_later]
    await asyncio.sleep(OLD_VERSION_ALONE_S)
    if TROUBLE:
        store.turn_away(turned_away)
        record.write("store turns away", machine="front-3")
    back = asyncio.get_running_loop().call_later(
        TURNED_AWAY_S, store.serve_again, turned_away
    )
    await asyncio.sleep(NEW_VERSION_AFTER_S)
    for replica in new:
        await replica.start()
    await asyncio.sleep(STREAMS_AFTER_S)
    async with session() as client:
        tasks = []
        for _ in range(STREAMS):
            work = read_stream(client, setting, rng)
            tasks.append(asyncio.create_task(work))
            await asyncio.sleep(SPREAD_S / STREAMS)
        for replica in new:
            replica.state = "draining"
            replica.register()
            record.write("draining", replica=replica.name)
        await asyncio.sleep(BOUNDS["drain_ms"] / 1000 + STAYS_AFTER_DRAINING_S)
        for replica in new:
            replica.leave()
            record.write("left", replica=replica.name)
        streams = await asyncio.gather(*tasks)
    back.cancel()
    joined = sum(len(set(versions)) > 1 for versions in streams)
    whole = sum(len(versions) == EVENTS for versions in streams)
    record.write("streams", sent=STREAMS, whole=whole, joined=joined)
    print(f"{joined} of {STREAMS} streams joined two versions; {whole} were whole")
    return joined > MOST_JOINED


if __name__ == "__main__":
    start = configuration(4, stream_route("pool"), engines=("pool",))
    run_case(__file__, start, make_replicas, play)
