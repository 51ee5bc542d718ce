"""A machine that started after a drill takes streams up at another version."""

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
from review.common.fleet import BOUNDS, RESTART_S
from review.common.replicas import Replica

STREAMS, SPREAD_S = 60, 0.9
PROMPT_TOKENS, EVENTS, EVENT_S = 60, 45, 0.15
TRIES, TRY_AGAIN_S = 8, 0.8
NEW_VERSION_AFTER_S, STOP_AFTER_S, STREAMS_AFTER_S = 1.0, 5.0, 2.0
LOST_S, AWAY_S = 4.0, 1.0
LEAVES_AFTER_S, STAYS_AFTER_DRAINING_S = 0.5, 0.5
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


async def restart(setting: Setting, name: str) -> None:
    """Starts a machine again that was told to stop."""
    await setting.fleet.exited(name)
    await asyncio.sleep(RESTART_S)
    setting.fleet.start_gateway(name)


async def drill(setting: Setting) -> None:
    """Lets the store be away, and come back from a copy."""
    setting.store.go_away()
    setting.record.write("store away")
    await asyncio.sleep(AWAY_S)
    age_s = setting.store.come_back_from_copy(LOST_S + AWAY_S)
    setting.record.write("store back", copy_age_s=round(age_s, 2))


async def play(setting: Setting) -> bool:
    """Takes a new version into service and out again; counts joined streams."""
    rng, record = random.Random(1), setting.record
    new = [replica for replica in setting.replicas if replica.starts_later]
    await asyncio.sleep(NEW_VERSION_AFTER_S)
    for replica in new:
        await replica.start()
    await asyncio.sleep(STOP_AFTER_S)
    setting.fleet.terminate("front-1")
    restarted = asyncio.create_task(restart(setting, "front-1"))
    await asyncio.sleep(STREAMS_AFTER_S)
    async with session() as client:
        tasks = []
        for _ in range(STREAMS):
            work = read_stream(client, setting, rng)
            tasks.append(asyncio.create_task(work))
            await asyncio.sleep(SPREAD_S / STREAMS)
        if TROUBLE:
            await drill(setting)
        await asyncio.sleep(LEAVES_AFTER_S)
        for replica in new:
            replica.state = "draining"
            replica.register()
            record.write("draining", replica=replica.name)
        await asyncio.sleep(BOUNDS["drain_ms"] / 1000 + STAYS_AFTER_DRAINING_S)
        for replica in new:
            replica.leave()
            record.write("left", replica=replica.name)
        streams = await asyncio.gather(*tasks)
    await restarted
    joined = sum(len(set(versions)) > 1 for versions in streams)
    whole = sum(len(versions) == EVENTS for versions in streams)
    record.write("streams", sent=STREAMS, whole=whole, joined=joined)
    print(f"{joined} of {STREAMS} streams joined two versions; {whole} were whole")
    return joined > MOST_JOINED


if __name__ == "__main__":
    start = configuration(4, stream_route("pool"), engines=("pool",))
    run_case(__file__, start, make_replicas, play)
