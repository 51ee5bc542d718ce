"""A faulty server's bytes reach callers as a success without the server's seal."""

import asyncio
import itertools
import os
import random
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common2"))

import aiohttp  # noqa: E402
from harness import Deployment, configuration, run_case  # noqa: E402
from servers import Request, Server, end_head  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))

GATEWAYS, SERVERS, SLOTS = 3, 3, 6
WORK_S = 0.09
CALLS_PER_S = {"/confirm/": 8.81, "/read/": 4.0}
"""``shift-confirm`` and ``worker-read`` of sahil-dispatch."""

SPOILED_ONE_IN = 34
"""One in so many answers of the faulty server is spoiled: ``garble`` with x 0.03."""

FAULTY_FROM_S, FAULTY_TO_S = 4.0, 37.0
"""Six times ``garble``, 5.5 s each."""

LENGTH_S = 40.0
DEADLINE_MS = 2_000
KEY = "n2ctnfzs989anu6wsjnb"
NO_ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 9\r\n\r\nIt works!"
)
"""Bytes that are no answer in the protocol: no ``Request-Id``, no ``Server-Seal``."""


class Service:
    """The servers of the service, one of which is faulty for some time.

    ``ran`` are the requests that a server ran.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.begun_at = 0.0
        self.servers = [
            Server(deployment, "booking", SLOTS, self.serve) for _ in range(SERVERS)
        ]
        self.answers = 0
        self.ran: set[str] = set()

    def is_faulty(self, server: Server) -> bool:
        """Returns whether a server hands out wrong bytes now."""
        elapsed_s = self.deployment.now() - self.begun_at
        in_time = FAULTY_FROM_S < elapsed_s < FAULTY_TO_S
        return TROUBLE and in_time and server is self.servers[0]

    async def serve(
        self, server: Server, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Runs a request and answers it, or sends bytes that are no answer."""
        if self.is_faulty(server):
            self.answers += 1
            if self.answers % SPOILED_ONE_IN == 0:
                self.deployment.note(f"{request.call_id} is not run: {NO_ANSWER!r}")
                writer.write(NO_ANSWER)
                return
        name = server.name
        await server.take_slot(request, queue=24)
        try:
            self.ran.add(request.call_id)
            await asyncio.sleep(WORK_S)
            writer.write(end_head(request, "200 OK", "Content-Length: 4") + b"done")
        finally:
            server.free_slot(name)


class Callers:
    """Sends calls and counts their answers.

    ``unsealed`` counts successes without a seal, by path, and ``not_run`` those of them
    that no server ran.
    """

    def __init__(self, service: Service, session: aiohttp.ClientSession) -> None:
        self.service = service
        self.deployment = service.deployment
        self.session = session
        self.rng = random.Random(SEED)
        self.numbers = itertools.count(1)
        self.ends: Counter[str] = Counter()
        self.unsealed: Counter[str] = Counter()
        self.not_run = 0

    async def call(self, path: str) -> None:
        """Sends one call and waits for its end."""
        call_id = f"{next(self.numbers):016x}"
        sent_at = self.deployment.now()
        headers = {
            "Host": "ficu95.example",
            "Request-Id": call_id,
            "Deadline-Ms": str(DEADLINE_MS),
            "Authorization": f"Bearer {KEY}",
        }
        method = "POST" if path == "/confirm/" else "GET"
        url = self.deployment.url(self.rng.randrange(GATEWAYS))
        timeout = aiohttp.ClientTimeout(total=DEADLINE_MS / 1000 + 0.5)
        try:
            async with self.session.request(
                method, f"{url}{path}{call_id}", headers=headers, timeout=timeout
            ) as response:
                body = await response.read()
                self.judge(path, call_id, response, body)
                end = str(response.status)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            end = type(error).__name__
        self.ends[end] += 1
        self.deployment.note(f"{path}{call_id} sent at {sent_at:.3f}: {end}")

    def judge(
        self, path: str, call_id: str, response: aiohttp.ClientResponse, body: bytes
    ) -> None:
        """Notes a success without a seal."""
        if not 200 <= response.status < 300 or "Server-Seal" in response.headers:
            return
        ran = call_id in self.service.ran
        self.unsealed[path] += 1
        self.not_run += not ran
        self.deployment.note(
            f"{path}{call_id}: {response.status} without a seal, {body!r}, ran={ran}"
        )

    async def load(self, path: str, until_s: float) -> None:
        """Sends calls at random times, and waits for their ends."""
        async with asyncio.TaskGroup() as calls:
            while self.deployment.now() < until_s:
                await asyncio.sleep(self.rng.expovariate(CALLS_PER_S[path]))
                calls.create_task(self.call(path))


def route(prefix: str, kind: str, max_attempts: int) -> dict[str, object]:
    """Returns a route of the desired state."""
    return {
        "name": prefix.strip("/"),
        "host": "ficu95.example",
        "prefix": prefix,
        "kind": kind,
        "service": "booking",
        "timeout_ms": DEADLINE_MS,
        "target_latency_ms": 500,
        "max_attempts": max_attempts,
        "priority": 2,
    }


async def play(deployment: Deployment) -> bool:
    """Plays the case; returns whether the rule held."""
    routes = [route("/confirm/", "unsafe", 1), route("/read/", "safe", 2)]
    entry = {"name": "booking", "health_path": "/health", "max_connections": 110}
    tenants = [{"name": "hule930", "api_keys": [KEY]}]
    deployment.store.put("op", "config", configuration(routes, [entry], tenants))
    service = Service(deployment)
    for server in service.servers:
        await server.start()
    await deployment.start()
    service.begun_at = deployment.now()
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with (
        aiohttp.ClientSession(connector=connector) as session,
        asyncio.TaskGroup() as tasks,
    ):
        callers = Callers(service, session)
        for path in CALLS_PER_S:
            tasks.create_task(callers.load(path, service.begun_at + LENGTH_S))
    deployment.say(
        f"ends {dict(callers.ends)}; successes without a seal"
        f" {dict(callers.unsealed)}, of them not run by any server: {callers.not_run}"
    )
    return not callers.unsealed


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, GATEWAYS, play))
