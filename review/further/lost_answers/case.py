"""Answers of some replicas are lost for a while; many reads are of one record."""

import asyncio
import random
import socket
import struct
import uuid

from review.common.callers import call, session
from review.common.case import TROUBLE, run_case
from review.common.configurations import configuration, read_headers, read_route
from review.common.replicas import Replica

SERVICE = "mesquita-app"
REPLICAS, LOSSY_SHARE, LOST_SHARE, LOSS_S = 6, 0.6, 0.4, 4.0
STABLE_S, JUDGED_S = 4.0, 20.0
PERIODS = 4
HOT_SHARE, INTERVAL_S = 0.3, 0.025
WORK_S = 0.06
MAX_DENIED, MAX_DENIED_SHARE = 5, 1 / 500
NO_RETRY_S, MAX_RETRY_S = 0.05, 0.6


class LossyReplica(Replica):
    """A replica that, while ``loses`` is set, loses the answers of some runs."""

    loses = False
    random = random.Random(7)

    async def _answer(self, request, writer):
        self.work_s = WORK_S * self.random.lognormvariate(0.0, 0.5)
        lost = self.loses and self.random.random() < LOST_SHARE
        if not lost or request.headers.get("expect-instance") != self.name:
            await super()._answer(request, writer)
            return
        self.runs.append(request.id)
        await asyncio.sleep(self.work_s)
        self.record.write("loses answer", request=request.id, replica=self.name)
        raw = writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()


def make_replicas(store, record):
    """Returns the replicas of the service."""
    return tuple(
        LossyReplica(f"i-{number}", SERVICE, store, record)
        for number in range(REPLICAS)
    )


async def read(setting, client, rng, statuses):
    """Reads a record; tries once more after a failure."""
    record = "hot" if rng.random() < HOT_SHARE else uuid.uuid4().hex
    path = f"/records/{record}"
    for _ in range(2):
        headers = read_headers()
        name = setting.fleet.choose(rng)
        setting.record.write("sends", request=headers["Request-Id"], path=path)
        answer = await call(client, setting.fleet.address(name), "GET", path, headers)
        statuses.append(answer.status)
        setting.record.write(
            "answered", request=headers["Request-Id"], status=answer.status
        )
        if answer.status in (200, 400, 401, 404):
            return
        await asyncio.sleep(min(MAX_RETRY_S, answer.retry_after_s) or NO_RETRY_S)


async def send(setting, client, rng, statuses, duration_s):
    """Reads records for some time."""
    reads = []
    for _ in range(int(duration_s / INTERVAL_S)):
        reads.append(asyncio.create_task(read(setting, client, rng, statuses)))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*reads)


async def play(setting):
    """Returns whether DENIED was broken."""
    rng = random.Random()
    statuses = []
    async with session() as client:
        await send(setting, client, rng, statuses, STABLE_S)
        for _ in range(PERIODS):
            lossy = rng.sample(setting.replicas, int(LOSSY_SHARE * REPLICAS))
            for replica in lossy:
                replica.loses = TROUBLE
            setting.record.write("loss begins", replicas=len(lossy) * TROUBLE)
            await send(setting, client, rng, statuses, LOSS_S)
            for replica in lossy:
                replica.loses = False
            setting.record.write("loss ends")
            await send(setting, client, rng, statuses, STABLE_S)
        later = []
        await send(setting, client, rng, later, JUDGED_S)
    statuses += later
    denied = sum(status == 422 for status in statuses)
    summary = {
        "requests": len(statuses),
        "denied": denied,
        "allowed": round(MAX_DENIED + len(statuses) * MAX_DENIED_SHARE, 1),
        "denied_when_stable": sum(status == 422 for status in later),
        "requests_when_stable": len(later),
    }
    setting.record.write("result", **summary)
    print(summary)
    return denied > MAX_DENIED + len(statuses) * MAX_DENIED_SHARE


run_case(
    __file__,
    configuration(1, read_route(SERVICE), services=(SERVICE,)),
    make_replicas,
    play,
)
