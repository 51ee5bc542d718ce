"""Replicas that answer without a length end while they write their streams."""

import asyncio
import random

from review.common.callers import call, session
from review.common.case import TROUBLE, run_case
from review.common.configurations import configuration, stream_headers, stream_route
from review.common.replicas import TOKENS_PER_EVENT, Replica, head

SERVICE = "verbena-pool"
REPLICAS = 6
EVENTS, EVENT_S = 44, 0.05
PROMPT_TOKENS = 800
STREAMS, STREAM_EVERY_S = 120, 0.1
CRASH_EVERY_S, BACK_AFTER_S = 1.2, 2.0
EMPTY_SHARE = 0.3
MAX_EARLY_ENDS = 0


class UnframedReplica(Replica):
    """A replica whose streams end with their channel.

    While ``troubled``, it closes the channel of some that it is to go on with before
    their first event.
    """

    troubled = TROUBLE

    async def _stream(self, request, writer):
        first = int(request.headers.get("last-event-id") or 0) + 1
        await asyncio.sleep(self.work_s)
        writer.write(head(request, "200 OK", None, "Content-Type: text/event-stream"))
        await writer.drain()
        if self.troubled and first > 1 and random.random() < EMPTY_SHARE:
            return
        for number in range(first, self.events + 1):
            data = f"{self.version} {TOKENS_PER_EVENT}"
            writer.write(f"id: {number}\ndata: {data}\n\n".encode())
            await writer.drain()
            await asyncio.sleep(self.event_s)

    async def crash(self):
        """Ends the process: its listener and channels close; it is back later."""
        port = int(self.address.rpartition(":")[2])
        self.heartbeat.cancel()
        self.server.close()
        for work in tuple(self.work):
            work.cancel()
        for writer in tuple(self.writers):
            writer.close()
        await asyncio.sleep(BACK_AFTER_S)
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.heartbeat = asyncio.create_task(self._beat())


def make_replicas(store, record):
    """Returns the replicas."""
    names = [f"i-a{number}" for number in range(REPLICAS)]
    replicas = [UnframedReplica(name, SERVICE, store, record) for name in names]
    for replica in replicas:
        replica.events, replica.event_s = EVENTS, EVENT_S
    return tuple(replicas)


async def crash_replicas(replicas, record):
    """Crashes one replica after the other, for as long as the case goes on."""
    while TROUBLE:
        for replica in replicas:
            await asyncio.sleep(CRASH_EVERY_S)
            record.write("replica crashes", name=replica.name)
            await replica.crash()


async def play(setting):
    """Returns whether ORDER was broken."""
    record, fleet = setting.record, setting.fleet
    ends = {"whole": 0, "visibly_broken": 0, "ended_early": 0, "refused": 0}

    async def stream(client, number):
        """Asks for a stream of its own and counts how it ended."""
        headers = stream_headers(PROMPT_TOKENS, EVENTS)
        address = fleet.address(fleet.choose(random))
        answer = await call(client, address, "POST", f"/drafts/{number}", headers)
        end = "visibly_broken"
        if answer.status not in (0, 200):
            end = "refused"
        elif answer.complete:
            end = "whole" if len(answer.events) == EVENTS else "ended_early"
        ends[end] += 1
        request = headers["Request-Id"]
        record.write("stream", request=request, end=end, events=len(answer.events))

    crashes = asyncio.create_task(crash_replicas(setting.replicas, record))
    async with session() as client:
        work = []
        for number in range(STREAMS):
            work.append(asyncio.create_task(stream(client, number)))
            await asyncio.sleep(STREAM_EVERY_S)
        await asyncio.gather(*work)
    crashes.cancel()
    record.write("result", **ends)
    print(ends)
    return ends["ended_early"] > MAX_EARLY_ENDS


run_case(
    __file__,
    configuration(1, stream_route(SERVICE), engines=(SERVICE,)),
    make_replicas,
    play,
)
