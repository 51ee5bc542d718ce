"""The store turns a machine away while replicas of the next version begin to serve."""

import asyncio

from review.common.callers import session
from review.common.case import TROUBLE, run_case
from review.common.configurations import configuration, stream_route
from review.common.replicas import Replica
from review.common.streams import Streams

SERVICE = "verbena-pool"
OLD, NEW = 4, 4
EVENTS, EVENT_S = 44, 0.26
STREAMS = 48
WATCHED_S = 26.0
TURNED_AWAY_S, RELEASE_AFTER_S, BEGIN_AFTER_S, STOP_AFTER_S = 9.0, 0.3, 0.7, 0.2
MAX_JOINED = 2
TURNED_AWAY, STOPPED = "front-2", "front-1"


def make_replicas(store, record):
    """Returns the replicas of the old version and those of the new one."""
    old = [Replica(f"i-a{n}", SERVICE, store, record, version="v1") for n in range(OLD)]
    new = [Replica(f"i-b{n}", SERVICE, store, record, version="v2") for n in range(NEW)]
    for replica in (*old, *new):
        replica.events, replica.event_s = EVENTS, EVENT_S
    for replica in new:
        replica.starts_later = True
    return (*old, *new)


async def turn_away(store, fleet, record):
    """Has the store turn one machine away for a while, and serve the others."""
    if not TROUBLE:
        return
    address = fleet.store_addresses[TURNED_AWAY]
    store.turn_away(address)
    record.write("store turns away", name=TURNED_AWAY)
    await asyncio.sleep(TURNED_AWAY_S)
    store.serve_again(address)
    record.write("store serves again", name=TURNED_AWAY)


async def play(setting):
    """Returns whether ORDER was broken."""
    store, record, fleet = setting.store, setting.record, setting.fleet
    await asyncio.sleep(WATCHED_S)
    async with session() as client:
        streams = Streams(setting, client, EVENTS)
        turning = asyncio.create_task(turn_away(store, fleet, record))
        await asyncio.sleep(RELEASE_AFTER_S)
        for replica in setting.replicas[OLD:]:
            await replica.start()
        record.write("replicas of the next version serve")
        await asyncio.sleep(BEGIN_AFTER_S)
        work = [asyncio.create_task(streams.stream(STOPPED)) for _ in range(STREAMS)]
        await asyncio.sleep(STOP_AFTER_S)
        fleet.terminate(STOPPED)
        await asyncio.gather(fleet.exited(STOPPED), turning, *work)
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
