"""A machine that the store turns away takes streams up at another version."""

import asyncio
from functools import partial

from review.common.case import TROUBLE, Setting, run_case
from review.common.configurations import configuration, stream_route
from review.common.streams import (
    StreamPlan,
    begin_and_break,
    make_replicas,
    new_replicas,
    too_many_joined,
)

PLAN = StreamPlan(
    streams=60,
    spread_s=2.0,
    events=45,
    event_s=0.15,
    tries=4,
    try_again_s=0.8,
    leaves_after_s=0.0,
)
TURNED_AWAY = "front-3"
OLD_VERSION_ALONE_S = 27.0
TURNED_AWAY_S, NEW_VERSION_AFTER_S, STREAMS_AFTER_S = 9.0, 0.5, 0.5


async def nothing() -> None:
    """Does nothing: the disruption has begun before."""


async def play(setting: Setting) -> bool:
    """Takes a new version into service and out again; counts joined streams."""
    store = setting.store
    address = setting.fleet.store_addresses[TURNED_AWAY]
    await asyncio.sleep(OLD_VERSION_ALONE_S)
    if TROUBLE:
        store.turn_away(address)
        setting.record.write("store turns away", machine=TURNED_AWAY)
    loop = asyncio.get_running_loop()
    served = loop.call_later(TURNED_AWAY_S, store.serve_again, address)
    await asyncio.sleep(NEW_VERSION_AFTER_S)
    for replica in new_replicas(setting):
        await replica.start()
    await asyncio.sleep(STREAMS_AFTER_S)
    streams = await begin_and_break(setting, PLAN, nothing)
    served.cancel()
    return too_many_joined(setting, PLAN, streams)


if __name__ == "__main__":
    start = configuration(4, stream_route("pool"), engines=("pool",))
    run_case(__file__, start, partial(make_replicas, PLAN), play)
