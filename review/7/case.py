"""A workspace gets more than it prepaid as its holder restores its grants too late."""

import asyncio
import itertools
import json
import os
import random
import sys
from base64 import b64decode
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common2"))

import aiohttp  # noqa: E402
from harness import Deployment, configuration, run_case  # noqa: E402
from servers import Request, Server, end_head  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))

GATEWAYS, SERVERS, SLOTS = 4, 3, 64
CALLS_PER_S = 20.0
PROMPT_TOKENS, EVENTS, EVENT_TOKENS, EVENT_S = 1_000, 3, 7, 0.0216
"""A call of ``msg-tag``: a prompt of usual length and three events."""

CALL_TOKENS = PROMPT_TOKENS + EVENTS * EVENT_TOKENS
PREPAID = int(40 * CALLS_PER_S * CALL_TOKENS)
"""What the calls use up in 40 s."""

COPY_AT_S, AWAY_AT_S, BACK_AT_S = 35.0, 40.0, 40.5
"""The copy is 5.5 s old when the store comes back from it, after 0.5 s away."""

TURNED_AWAY_S = 9.0
"""How long the store turns the holder away, from when it went away for all."""

LENGTH_S = 60.0
DEADLINE_MS = 3_000
TENANT, KEY = "hule930", "n2ctnfzs989anu6wsjnb"


async def stream(server: Server, request: Request, writer: asyncio.StreamWriter):
    """Streams the events of an answer."""
    name = server.name
    await server.take_slot(request, queue=192)
    try:
        lines = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        writer.write(end_head(request, "200 OK", *lines))
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            event = f"id: {number}\ndata: {request.call_id} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
    finally:
        server.free_slot(name)


class Callers:
    """Sends calls of one workspace, and counts what it gets.

    ``served`` counts the calls whose whole stream has reached the caller.
    """

    def __init__(self, deployment: Deployment, session: aiohttp.ClientSession) -> None:
        self.deployment = deployment
        self.session = session
        self.rng = random.Random(SEED)
        self.numbers = itertools.count(1)
        self.ends: Counter[str] = Counter()
        self.served = 0

    async def call(self) -> None:
        """Sends one call and waits for its end."""
        number = next(self.numbers)
        sent_at = self.deployment.now()
        headers = {
            "Host": "ficu95.example",
            "Request-Id": f"{number:016x}",
            "Deadline-Ms": str(DEADLINE_MS),
            "Authorization": f"Bearer {KEY}",
            "Model": "m",
            "Token-Count": f"{PROMPT_TOKENS},{EVENTS * EVENT_TOKENS}",
        }
        url = self.deployment.url(self.rng.randrange(GATEWAYS)) + "/tag/2f"
        timeout = aiohttp.ClientTimeout(total=DEADLINE_MS / 1000 + 0.5)
        body = b""
        try:
            async with self.session.post(
                url, headers=headers, data=b"%d" % number, timeout=timeout
            ) as response:
                body = await response.read()
                end = str(response.status)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            end = type(error).__name__
        self.ends[end] += 1
        whole = end == "200" and body.count(b"data: ") == EVENTS
        self.served += whole
        self.deployment.note(
            f"call {number:016x} sent at {sent_at:.3f}: {end} whole={whole}"
        )

    async def load(self, until_s: float) -> None:
        """Sends calls at random times, and waits for their ends."""
        async with asyncio.TaskGroup() as calls:
            at_s = self.deployment.now()
            while at_s < until_s:
                await asyncio.sleep(at_s - self.deployment.now())
                calls.create_task(self.call())
                at_s += self.rng.expovariate(CALLS_PER_S)


def granted(deployment: Deployment) -> dict[str, int]:
    """Returns the tokens that each VM was granted, as the store has them."""
    rows = deployment.store.rows.items()
    return {
        key.rpartition("/")[2]: json.loads(b64decode(value))["tokens"]
        for (table, part, key), (value, _) in rows
        if table == "grants" and part == TENANT and "vm/" in key
    }


async def drill(deployment: Deployment, begun_at: float) -> None:
    """Lets the store come back from a copy, and turn the holder away for some time."""

    async def wait_until(at_s: float) -> None:
        """Waits until a time of the case."""
        await asyncio.sleep(begun_at + at_s - deployment.now())

    store = deployment.store
    await wait_until(COPY_AT_S)
    store.take_copy()
    deployment.note(f"copy of the store: granted {granted(deployment)}")
    await wait_until(AWAY_AT_S)
    store.status = 503
    known = granted(deployment)
    deployment.note(f"the store is away: granted {known}")
    holder = int(max(known, key=known.get).rpartition("-")[2]) - 1
    store.turned_away.add(deployment.store_addresses[holder])
    await wait_until(BACK_AT_S)
    lost = store.come_back_from_copy()
    store.status = 0
    deployment.note(
        f"the store is back in era {store.era}, turns front-{holder + 1} away"
    )
    store.write_again(lost, ("op", "servers"))
    await wait_until(AWAY_AT_S + TURNED_AWAY_S)
    store.turned_away.clear()
    deployment.note(f"the store serves front-{holder + 1}: {granted(deployment)}")


async def play(deployment: Deployment) -> bool:
    """Plays the case; returns whether the rule held."""
    route = {
        "name": "tag",
        "host": "ficu95.example",
        "prefix": "/tag/",
        "kind": "streaming",
        "service": "pool",
        "timeout_ms": DEADLINE_MS,
        "target_latency_ms": 500,
        "gap_aim_ms": 400,
        "max_attempts": 1,
        "priority": 2,
        "session_affinity": True,
    }
    service = {
        "name": "pool",
        "health_path": "/health",
        "max_connections": 370,
        "engine": {"stride": EVENT_TOKENS, "kv_capacity_tokens": 408_411},
    }
    tenants = [{"name": TENANT, "api_keys": [KEY], "prepaid": PREPAID}]
    deployment.store.put("op", "config", configuration([route], [service], tenants))
    servers = [Server(deployment, "pool", SLOTS, stream) for _ in range(SERVERS)]
    for server in servers:
        await server.start()
    await deployment.start()
    begun_at = deployment.now()
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with (
        aiohttp.ClientSession(connector=connector) as session,
        asyncio.TaskGroup() as tasks,
    ):
        callers = Callers(deployment, session)
        tasks.create_task(callers.load(begun_at + LENGTH_S))
        if TROUBLE:
            tasks.create_task(drill(deployment, begun_at))
    return judge(deployment, callers)


def judge(deployment: Deployment, callers: Callers) -> bool:
    """Returns whether BUDGET held: the workspace got no more than it prepaid."""
    used = callers.served * CALL_TOKENS
    deployment.say(
        f"ends {dict(callers.ends)}; whole streams {callers.served}: {used} tokens of"
        f" {PREPAID} prepaid ({used / PREPAID:.1%})"
    )
    return used <= PREPAID


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, GATEWAYS, play))
