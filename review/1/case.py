"""An unreadable entry of another writer, planned replacements and a restart of all."""

import asyncio
import random

from review.common.callers import call, session
from review.common.case import TROUBLE, run_case
from review.common.configurations import configuration, read_headers, read_route
from review.common.replicas import Replica

SERVICE = "mesquita-app"
DRAIN_S, GRACE_AFTER_DRAIN_S = 2.5, 3.0
STABLE_S, RECOVERY_S = 4.0, 12.0
INTERVAL_S = 0.05
DOWN_S, JUDGED_S = 1.0, 8.0
ENTRY_DEPTH = 2_000
"""The entry is shorter than ``row_bytes``, 65,536, which the store accepts."""


def make_replicas(store, record):
    """Returns three replicas, and three that replace them."""
    old = [Replica(f"i-old{n}", SERVICE, store, record) for n in range(3)]
    new = [Replica(f"i-new{n}", SERVICE, store, record) for n in range(3)]
    for replica in new:
        replica.starts_later = True
    return (*old, *new)


class Traffic:
    """Sends safe requests all the time.

    ``outcomes`` has for each one when it was sent and whether it was served, and
    ``sent_at`` the time by its id.
    """

    def __init__(self, setting, client):
        self.setting, self.client = setting, client
        self.outcomes = []
        self.sent_at = {}
        self.calls = set()

    async def run(self, rng):
        """Sends requests until cancelled."""
        clock = asyncio.get_running_loop().time
        while True:
            address = self.setting.fleet.address(self.setting.fleet.choose(rng))
            work = asyncio.create_task(self._send(address, clock()))
            self.calls.add(work)
            work.add_done_callback(self.calls.discard)
            await asyncio.sleep(INTERVAL_S)

    async def _send(self, address, now):
        headers = read_headers()
        request = headers["Request-Id"]
        self.sent_at[request] = now
        self.setting.record.write("sends", request=request, to=address)
        answer = await call(self.client, address, "GET", f"/records/{request}", headers)
        self.outcomes.append((now, answer.status == 200 and answer.complete))
        self.setting.record.write("answered", request=request, status=answer.status)

    def share_served(self, begin, end):
        """Returns the share of the requests sent in a span that were served."""
        judged = [served for at, served in self.outcomes if begin <= at < end]
        return sum(judged) / max(1, len(judged))


async def play(setting):
    """Returns whether DRAIN or RECOVER was broken."""
    store, record, fleet = setting.store, setting.record, setting.fleet
    old, new = setting.replicas[:3], setting.replicas[3:]
    clock = asyncio.get_running_loop().time
    async with session() as client:
        traffic = Traffic(setting, client)
        sending = asyncio.create_task(traffic.run(random.Random(1)))
        begun_at = clock()
        await asyncio.sleep(STABLE_S)
        if TROUBLE:
            store.put("servers", "i-other", b'{"notes":' + b"[" * ENTRY_DEPTH)
            record.write("entry of another writer", bytes=ENTRY_DEPTH + 9)
        await asyncio.sleep(STABLE_S)
        before = traffic.share_served(begun_at, clock() - 1.0)

        for replica in new:
            await replica.start()
        await asyncio.sleep(1.0)
        for replica in old:
            replica.state = "draining"
            replica.register()
        drained_at = clock()
        record.write("replicas are draining")
        await asyncio.sleep(DRAIN_S + GRACE_AFTER_DRAIN_S)
        late = [
            request
            for replica in old
            for request in replica.runs
            if traffic.sent_at.get(request, 0.0) > drained_at + DRAIN_S
        ]
        for replica in old:
            replica.leave()
        record.write("replicas have left")
        left_at = clock()
        await asyncio.sleep(STABLE_S)
        after = traffic.share_served(left_at + 1.0, clock() - 1.0)

        record.write("all processes are killed")
        fleet.kill_all()
        await asyncio.sleep(DOWN_S)
        fleet.restart_all()
        back_at = clock()
        await asyncio.sleep(RECOVERY_S + JUDGED_S)
        sending.cancel()
        recovered = traffic.share_served(back_at + RECOVERY_S, clock() - 1.0)
        summary = {
            "served_before": round(before, 3),
            "runs_after_drain": len(late),
            "served_after_replacement": round(after, 3),
            "served_after_recovery": round(recovered, 3),
        }
        record.write("result", **summary)
        print(summary)
        return bool(late) or (before >= 0.25 and recovered < 0.25)


run_case(
    __file__,
    configuration(1, read_route(SERVICE), services=(SERVICE,)),
    make_replicas,
    play,
)
