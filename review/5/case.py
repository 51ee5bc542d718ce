"""A machine that started after a drill takes streams up at another version."""

import asyncio
from functools import partial

from review.common.case import TROUBLE, Setting, run_case
from review.common.configurations import configuration, stream_route
from review.common.fleet import RESTART_S
from review.common.streams import (
    StreamPlan,
    begin_and_break,
    make_replicas,
    new_replicas,
    too_many_joined,
)

PLAN = StreamPlan(
    streams=60,
    spread_s=0.9,
    events=45,
    event_s=0.15,
    tries=8,
    try_again_s=0.8,
    leaves_after_s=0.5,
)
STOPPED = "front-1"
NEW_VERSION_AFTER_S, STOP_AFTER_S, STREAMS_AFTER_S = 1.0, 5.0, 2.0
LOST_S, AWAY_S = 4.0, 1.0


async def restart(setting: Setting) -> None:
    """Starts a machine again that was told to stop."""
    await setting.fleet.exited(STOPPED)
    await asyncio.sleep(RESTART_S)
    setting.fleet.start_gateway(STOPPED)


async def drill(setting: Setting) -> None:
    """Lets the store be away, and come back from a copy."""
    if not TROUBLE:
        return
    setting.store.go_away()
    setting.record.write("store away")
    await asyncio.sleep(AWAY_S)
    age_s = setting.store.come_back_from_copy(LOST_S + AWAY_S)
    setting.record.write("store back", copy_age_s=round(age_s, 2))


async def play(setting: Setting) -> bool:
    """Takes a new version into service and out again; counts joined streams."""
    await asyncio.sleep(NEW_VERSION_AFTER_S)
    for replica in new_replicas(setting):
        await replica.start()
    await asyncio.sleep(STOP_AFTER_S)
    setting.fleet.terminate(STOPPED)
    restarted = asyncio.create_task(restart(setting))
    await asyncio.sleep(STREAMS_AFTER_S)
    streams = await begin_and_break(setting, PLAN, partial(drill, setting))
    await restarted
    return too_many_joined(setting, PLAN, streams)


if __name__ == "__main__":
    start = configuration(4, stream_route("pool"), engines=("pool",))
    run_case(__file__, start, partial(make_replicas, PLAN), play)
