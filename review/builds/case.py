"""VMs of an earlier build pass calls of this build on, and the other way round."""

import asyncio
import os
from pathlib import Path

from review.common.callers import call, session
from review.common.case import GATEWAYS, run_case
from review.common.configurations import configuration, stream_headers, stream_route
from review.common.fleet import wait_until
from review.common.replicas import TOKENS_PER_EVENT, Replica, head

SERVICE = "verbena-pool"
REPLICAS, STREAMS, EVENTS = 4, 60, 20
PROMPT_TOKENS = 800
CUT_OFF, *OTHERS = GATEWAYS
OLD_BUILD = Path(os.environ["OLD_BUILD"])
OLD_IS_CUT_OFF = os.environ["CUT_OFF"] == "old"
FIRST_CALLS = 3
SETTLE_S = 3.0


class UnframedReplica(Replica):
    """A replica whose streams end with their channel."""

    async def _stream(self, request, writer):
        first = int(request.headers.get("last-event-id") or 0) + 1
        writer.write(head(request, "200 OK", None, "Content-Type: text/event-stream"))
        for number in range(first, self.events + 1):
            data = f"{self.version} {TOKENS_PER_EVENT}"
            writer.write(f"id: {number}\ndata: {data}\n\n".encode())
            await writer.drain()
            await asyncio.sleep(self.event_s)


def make_replicas(store, record):
    """Returns replicas that answer in chunks, and ones that answer without a length."""
    kinds = [Replica, UnframedReplica] * (REPLICAS // 2)
    replicas = [
        kind(f"i-a{number}", SERVICE, store, record)
        for number, kind in enumerate(kinds)
    ]
    for replica in replicas:
        replica.events, replica.event_s = EVENTS, 0.02
    return tuple(replicas)


async def restart_with_builds(setting):
    """Starts all VMs anew, each with its build, and cuts one off from the replicas."""
    fleet, store = setting.fleet, setting.store
    fleet.roots = {
        name: OLD_BUILD for name in GATEWAYS if (name == CUT_OFF) == OLD_IS_CUT_OFF
    }
    port = int(fleet.store_addresses[CUT_OFF].rpartition(":")[2])
    store.cut_off_ports.add(port)
    fleet.kill_all()
    fleet.in_rotation.clear()
    fleet.restart_all()
    if not await wait_until(lambda: fleet.in_rotation == set(GATEWAYS), 20.0):
        raise TimeoutError("the gateways did not get ready")
    await asyncio.sleep(SETTLE_S)


async def play(setting):
    """Returns whether a stream ended wrongly, or fewer than half of them were whole."""
    await restart_with_builds(setting)
    address = setting.fleet.address(CUT_OFF)
    ends = {"whole": 0, "visibly_broken": 0, "ended_early": 0, "refused": 0}

    async def stream(client, number):
        """Asks the VM that is cut off for a stream, and counts how it ended."""
        headers = stream_headers(PROMPT_TOKENS, EVENTS)
        path = f"/drafts/{number}"
        answer = await call(client, address, "POST", path, headers)
        whole = answer.complete and len(answer.events) == EVENTS
        end = "whole" if whole else "visibly_broken"
        if answer.status not in (0, 200):
            end = "refused"
        elif answer.complete and not whole:
            end = "ended_early"
        ends[end] += 1
        setting.record.write("stream", request=headers["Request-Id"], end=end)

    async with session() as client:
        for number in range(FIRST_CALLS):
            await stream(client, f"first-{number}")
        await asyncio.gather(*(stream(client, number) for number in range(STREAMS)))
    print("cut off:", "old build" if OLD_IS_CUT_OFF else "new build", ends)
    setting.record.write("result", **ends)
    return bool(ends["ended_early"]) or ends["whole"] < STREAMS / 2


run_case(
    __file__,
    configuration(1, stream_route(SERVICE), engines=(SERVICE,)),
    make_replicas,
    play,
)
