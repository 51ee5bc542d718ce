"""A drill of the store during planned restarts; callers take their streams up."""

import asyncio

from review.common.callers import session
from review.common.case import TROUBLE, run_case
from review.common.configurations import configuration, stream_route
from review.common.replicas import Replica
from review.common.streams import Streams

SERVICE = "verbena-pool"
OLD, NEW = 2, 4
EVENTS, EVENT_S = 44, 0.26
STREAMS = 24
STABLE_S = 4.0
AWAY_AFTER_S, AWAY_S, COPY_AGE_S = 2.0, 1.0, 3.0
BEGIN_AFTER_S, RESTART_S, GAP_S = 1.6, 1.0, 1.0
MAX_JOINED = 2
STOPPED_FIRST, STOPPED_NEXT = "front-2", "front-1"


def make_replicas(store, record):
    """Returns the replicas of the old version and those of the new one."""
    old = [Replica(f"i-a{n}", SERVICE, store, record, version="v1") for n in range(OLD)]
    new = [Replica(f"i-b{n}", SERVICE, store, record, version="v2") for n in range(NEW)]
    for replica in (*old, *new):
        replica.events, replica.event_s = EVENTS, EVENT_S
    for replica in new:
        replica.starts_later = True
    return (*old, *new)


async def restart(fleet, name):
    """Stops a machine as planned, and starts it again."""
    fleet.terminate(name)
    await fleet.exited(name)
    await asyncio.sleep(RESTART_S)
    fleet.start_gateway(name)


async def drill(store, record):
    """Has the store go away and come back from a copy."""
    await asyncio.sleep(AWAY_AFTER_S)
    if not TROUBLE:
        return
    store.go_away()
    record.write("store away")
    await asyncio.sleep(AWAY_S)
    age_s = store.come_back_from_copy(COPY_AGE_S)
    record.write("store back", copy_age_s=round(age_s, 2))


async def play(setting):
    """Returns whether ORDER was broken."""
    store, record, fleet = setting.store, setting.record, setting.fleet
    await asyncio.sleep(STABLE_S)
    for replica in setting.replicas[OLD:]:
        await replica.start()
    record.write("replicas of the next version serve")
    await asyncio.sleep(STABLE_S)
    async with session() as client:
        streams = Streams(setting, client, EVENTS)
        drilling = asyncio.create_task(drill(store, record))
        restarting = asyncio.create_task(restart(fleet, STOPPED_FIRST))
        await asyncio.sleep(BEGIN_AFTER_S)
        work = [
            asyncio.create_task(streams.stream(STOPPED_NEXT)) for _ in range(STREAMS)
        ]
        await asyncio.gather(restarting, drilling)
        await asyncio.sleep(GAP_S)
        await asyncio.gather(restart(fleet, STOPPED_NEXT), *work)
    summary = {
        "streams": STREAMS,
        "taken_up": streams.taken_up,
        "went_on": streams.went_on,
        "joined_from_two_versions": streams.joined,
    }
    record.write("result", **summary)
    print(summary)
    return streams.joined > MAX_JOINED


run_case(
    __file__,
    configuration(1, stream_route(SERVICE), engines=(SERVICE,)),
    make_replicas,
    play,
)
