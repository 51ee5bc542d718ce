"""A drill of the store, then a planned stop; its callers take their streams up."""

import asyncio

from review.common.callers import session
from review.common.case import TROUBLE, run_case
from review.common.configurations import configuration, stream_route
from review.common.replicas import Replica
from review.common.streams import Streams

SERVICE = "verbena-pool"
OLD, NEW = 4, 2
EVENTS, EVENT_S = 40, 0.27
STREAMS = 24
AWAY_S, COPY_AGE_S, STABLE_S = 1.0, 3.0, 4.0
MIN_TAKEN_UP = 12


def make_replicas(store, record):
    """Returns the replicas of the old version and those of the new one."""
    old = [Replica(f"i-a{n}", SERVICE, store, record, version="v1") for n in range(OLD)]
    new = [Replica(f"i-b{n}", SERVICE, store, record, version="v2") for n in range(NEW)]
    for replica in (*old, *new):
        replica.events, replica.event_s = EVENTS, EVENT_S
    for replica in new:
        replica.starts_later = True
    return (*old, *new)


async def play(setting):
    """Returns whether LOST was broken."""
    store, record, fleet = setting.store, setting.record, setting.fleet
    await asyncio.sleep(STABLE_S)
    for replica in setting.replicas[OLD:]:
        await replica.start()
    record.write("replicas of the next version serve")
    await asyncio.sleep(STABLE_S)
    if TROUBLE:
        store.go_away()
        record.write("store away")
        await asyncio.sleep(AWAY_S)
        age_s = store.come_back_from_copy(COPY_AGE_S)
        record.write("store back", copy_age_s=round(age_s, 2))
    await asyncio.sleep(STABLE_S + 1.0)
    stopped = "front-1"
    async with session() as client:
        streams = Streams(setting, client, EVENTS)
        work = [asyncio.create_task(streams.stream(stopped)) for _ in range(STREAMS)]
        await asyncio.sleep(1.0)
        fleet.terminate(stopped)
        await fleet.exited(stopped)
        await asyncio.sleep(0.2)
        new = [
            asyncio.create_task(streams.stream(name))
            for name in ("front-2", "front-3") * 8
        ]
        await asyncio.gather(*work, *new)
    begun = streams.begun / streams.asked
    went_on = streams.went_on / max(1, streams.taken_up)
    summary = {
        "new_streams": streams.asked,
        "begun": round(begun, 3),
        "taken_up": streams.taken_up,
        "went_on": round(went_on, 3),
    }
    record.write("result", **summary)
    print(summary)
    return streams.taken_up >= MIN_TAKEN_UP and went_on < begun / 2


run_case(
    __file__,
    configuration(1, stream_route(SERVICE), engines=(SERVICE,)),
    make_replicas,
    play,
)
