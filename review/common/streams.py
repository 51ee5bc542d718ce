"""Streams of two software versions, which requesters take up where they broke off."""

import asyncio
import random
from dataclasses import dataclass

from review.common.callers import call, session
from review.common.case import Setting
from review.common.configurations import STREAM_LIMIT_MS, stream_headers
from review.common.fleet import BOUNDS
from review.common.replicas import Replica

__all__ = ["StreamPlan", "begin_and_break", "make_replicas", "too_many_joined"]

PROMPT_TOKENS = 60
MOST_JOINED = 2
"""Number of joined streams that the rule allows."""


@dataclass(frozen=True)
class StreamPlan:
    """``streams`` that begin within ``spread_s``, each of ``events``.

    Requesters try ``tries`` times, each ``try_again_s`` after the last. Replicas of the
    new version leave ``leaves_after_s`` after the streams began, and stay
    ``stays_s`` longer than they have to.
    """

    streams: int
    spread_s: float
    events: int
    event_s: float
    tries: int
    try_again_s: float
    leaves_after_s: float
    stays_s: float = 0.5


def make_replicas(plan: StreamPlan, store, record) -> tuple[Replica, ...]:
    """Returns two replicas of an old version and two of a new one, that come later."""
    replicas = tuple(
        Replica(f"i-{number}", "pool", store, record, version=version)
        for number, version in enumerate(("v1", "v1", "v2", "v2"))
    )
    for replica in replicas:
        replica.events, replica.event_s = plan.events, plan.event_s
        replica.starts_later = replica.version == "v2"
    return replicas


def new_replicas(setting: Setting) -> list[Replica]:
    """Returns the replicas of the new version."""
    return [replica for replica in setting.replicas if replica.starts_later]


async def begin_and_break(setting: Setting, plan: StreamPlan, disrupt) -> list:
    """Begins streams, and lets the replicas of the new version leave meanwhile.

    The coroutine function ``disrupt`` is called when all streams have begun. Returns
    the versions of the events of each stream.
    """
    rng, record = random.Random(1), setting.record
    async with session() as client:
        tasks = []
        for _ in range(plan.streams):
            work = _read_stream(client, setting, plan, rng)
            tasks.append(asyncio.create_task(work))
            await asyncio.sleep(plan.spread_s / plan.streams)
        await disrupt()
        await asyncio.sleep(plan.leaves_after_s)
        for replica in new_replicas(setting):
            replica.state = "draining"
            replica.register()
            record.write("draining", replica=replica.name)
        await asyncio.sleep(BOUNDS["drain_ms"] / 1000 + plan.stays_s)
        for replica in new_replicas(setting):
            replica.leave()
            record.write("left", replica=replica.name)
        return await asyncio.gather(*tasks)


def too_many_joined(setting: Setting, plan: StreamPlan, streams: list) -> bool:
    """Returns whether more streams joined two versions than the rule allows."""
    joined = sum(len(set(versions)) > 1 for versions in streams)
    whole = sum(len(versions) == plan.events for versions in streams)
    sent = len(streams)
    setting.record.write("streams", sent=sent, whole=whole, joined=joined)
    print(f"{joined} of {sent} streams joined two versions; {whole} were whole")
    return joined > MOST_JOINED


async def _read_stream(client, setting: Setting, plan: StreamPlan, rng) -> list[str]:
    """Reads a stream in one try or several; returns the versions of its events."""
    fleet, record = setting.fleet, setting.record
    clock = asyncio.get_running_loop().time
    ends_at, begun_by = clock() + STREAM_LIMIT_MS / 1000, ""
    versions = []
    for _ in range(plan.tries):
        name = fleet.choose(rng)
        headers = stream_headers(PROMPT_TOKENS, plan.events, ends_at - clock())
        request = headers["Request-Id"]
        if versions:
            headers |= {"Last-Event-Id": str(len(versions)), "Resumes": begun_by}
        record.write("sent", request=request, machine=name, after=len(versions))
        answer = await call(client, fleet.address(name), "POST", "/drafts/2f", headers)
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
        whole = answer.status == 200 and answer.complete
        if whole or clock() + plan.try_again_s >= ends_at:
            break
        await asyncio.sleep(plan.try_again_s)
    return versions
