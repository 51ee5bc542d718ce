"""Odd rows among those of endpoints, and a release beside gateways out of step.

Another writer puts in rows that name no endpoint. Endpoints are replaced while such
rows come and go; those that left must get no more calls, and calls must be served on.
Then endpoints of a new software version join while gateways are cut off from the store
or stopped. Streams that break off at them are taken up there; none may hold
events of two versions.
"""

import asyncio
import json
import random
import signal
from collections import Counter

from soak.checks import Violation
from soak.clients import Client, ClientOptions
from soak.environment import ENDPOINTS, GATEWAYS, SoakEnvironment
from soak.proxy import LinkState

__all__ = ["FIRST_VERSION", "odd_row", "play_rows"]

CLIENTS, RELEASE_CLIENTS = 10, 20
RESUMPTIONS = 3
FIRST_VERSION, NEXT_VERSION = "v1", "v2"
NEW_ENDPOINTS, LEAVING_ENDPOINTS = 3, 2
SOUND, BREAKING = (("fine", 1),), (("fine", 3), ("half", 1))
MAX_VALUE_BYTES = 65_536
ROW_INTERVAL_S = (0.1, 0.6)
ROW_LIFE_S = (0.2, 6.0)
REPLACE_INTERVAL_S = 0.5
NOTICED_WITHIN_S = 1.0
DRAIN_S, DRAIN_SLACK_S = 2.5, 0.5
SERVED_ON_S = 1.0
MAX_FAILED_FRACTION = 1 / 500
MAX_FAILED_CALLS = 5
FAILED_STATUSES = ("422", "429", "500", "502", "503", "504", "lost")
JOIN_AFTER_S, KILL_AFTER_S, SETTLE_S = 0.3, 0.9, 2.5
FAR_S, BACK_AFTER_S = 0.1, 1.0
CUT_S = (3.0, 5.0)
STOP_S = (1.6, 2.5)
OVERSIZED_INTEGER = 10**400
BAD_TEXTS = (
    b"",
    b"\xff\xfe\x00",
    b"{",
    b"null",
    b"[]",
    b'"text"',
    b"NaN",
    b"\x00" * 99,
)
BAD_ADDRESSES = (
    "127.0.0.1:70000",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:99999999999999999999",
    "127.0.0.1:\u00b2",
    "127.0.0.1:\u0661\u0662",
    "127.0.0.1:8\r\n",
    "999.1.1.1:80",
    "127.0.0.1\x00:80",
)
BAD_NUMBERS = (
    ("slots", OVERSIZED_INTEGER),
    ("slots", -(2**63) - 1),
    ("born", OVERSIZED_INTEGER),
    ("born", -1e308),
    ("cold_remaining_ms", OVERSIZED_INTEGER),
    ("sequence", OVERSIZED_INTEGER),
)


def odd_row(rng: random.Random, entry: dict[str, object]) -> bytes:
    """Returns the value of a row that names no endpoint; ``entry`` is a sound one."""
    kind = rng.choice(("nested", "number", "exponent", "address", "bytes", "cut off"))
    sound = json.dumps(entry).encode()
    if kind == "nested":
        depth = rng.choice((500, 1_000, 5_000, 30_000))
        start, end = rng.choice(((b"[", b"]"), (b'{"":', b"}")))
        depth = min(depth, (MAX_VALUE_BYTES - 1_000) // len(start + end))
        nested = start * depth + (b"1" if start != b"[" else b"") + end * depth
        unknown_state = json.dumps({**entry, "state": "odd"}).encode()
        inside = unknown_state[:-1] + b', "notes": ' + nested + b"}"
        return rng.choice((nested, inside))
    if kind == "number":
        name, number = rng.choice(BAD_NUMBERS)
        entry = {**entry, "address": rng.choice(BAD_ADDRESSES), name: number}
        return json.dumps(entry).encode()
    if kind == "exponent":
        return sound.replace(b'"born": 1000', b'"born": 1e999')
    if kind == "address":
        return json.dumps({**entry, "address": rng.choice(BAD_ADDRESSES)}).encode()
    if kind == "bytes":
        return rng.choice(BAD_TEXTS)
    return sound[: rng.randrange(1, len(sound))]


class RowsPlay:
    """The rows, replacements and release of one seed, and what was violated.

    ``serving`` has the numbers of the endpoints that serve, and ``resume_at`` the
    addresses of gateways that are out of step.
    """

    def __init__(self, environment: SoakEnvironment, rng: random.Random) -> None:
        self.environment = environment
        self.rng = rng
        self.violations: list[Violation] = []
        self.serving = list(range(ENDPOINTS))
        self.resume_at: list[str] = []
        self.row_count = 0

    async def write_rows(self, stop: asyncio.Event) -> None:
        """Writes and removes odd rows until ``stop`` is set."""
        store, clock = self.environment.store, asyncio.get_running_loop().time
        ends: dict[str, float] = {}
        entry = self.environment.endpoints[0].entry("pool")
        while not stop.is_set():
            key = f"odd-{self.row_count}"
            store.put("servers", key, odd_row(self.rng, entry))
            self.row_count += 1
            ends[key] = clock() + self.rng.uniform(*ROW_LIFE_S)
            await asyncio.sleep(self.rng.uniform(*ROW_INTERVAL_S))
            for key in [key for key, at in ends.items() if at <= clock()]:
                store.remove("servers", key)
                del ends[key]
        for key in ends:
            store.remove("servers", key)

    async def replace_endpoints(self, stop: asyncio.Event) -> None:
        """Replaces endpoints one after another until ``stop`` is set."""
        while not stop.is_set():
            await asyncio.sleep(REPLACE_INTERVAL_S)
            new = await self.environment.add_endpoint(FIRST_VERSION, [True], SOUND)
            await asyncio.sleep(NOTICED_WITHIN_S)
            old = self.serving.pop(0)
            self.serving.append(new)
            await self._retire(old)

    async def _retire(self, number: int) -> None:
        """Lets an endpoint leave, and checks that its calls end in time."""
        environment, endpoint = self.environment, self.environment.endpoints[number]
        environment.store.remove("servers", endpoint.name)
        await asyncio.sleep(DRAIN_S + DRAIN_SLACK_S)
        request_count = len(endpoint.requests)
        await asyncio.sleep(SERVED_ON_S)
        late = len(endpoint.requests) - request_count
        if late:
            detail = f"{late} at {endpoint.name} after {DRAIN_S + DRAIN_SLACK_S} s"
            self._violate("an endpoint that left gets no calls", detail)
        environment.endpoint_proxies[number].stop()

    def check_served(self) -> None:
        """Checks that hardly any call failed, none unexpectedly, and all gateways run.

        The endpoints are sound, so that a status 500 comes from a gateway.
        """
        counts = self.environment.checker.status_counts
        failed = sum(counts[status] for status in FAILED_STATUSES)
        most = MAX_FAILED_CALLS + MAX_FAILED_FRACTION * (failed + counts["200"])
        if failed > most:
            self._violate("calls are served on", str(dict(counts)))
        if counts["500"]:
            self._violate("no call fails unexpectedly", f"{counts['500']} with 500")
        for number, process in enumerate(self.environment.processes):
            if process.poll() is not None:
                self._violate("gateways run on", f"front-{number} ended by itself")

    async def release(self, cut: bool, clients: list[Client]) -> None:
        """Lets endpoints of the next version join beside gateways out of step.

        The gateway that is left is killed while ``clients`` have streams at it.
        """
        sound, *others = self.rng.sample(range(GATEWAYS), GATEWAYS)
        self.resume_at.extend(self.environment.addresses[n] for n in others)
        put_out_of_step = self._cut_off if cut else self._stop
        stop = asyncio.Event()
        async with asyncio.TaskGroup() as group:
            for number in others:
                group.create_task(put_out_of_step(number))
            await asyncio.sleep(JOIN_AFTER_S)
            for _ in range(NEW_ENDPOINTS):
                await self.environment.add_endpoint(NEXT_VERSION, [True], BREAKING)
            for number in self.serving[:LEAVING_ENDPOINTS]:
                self.environment.register_endpoint(number, state="draining")
            for client in clients:
                group.create_task(client.run(stop))
            await asyncio.sleep(KILL_AFTER_S)
            await self._restart(sound)
            await asyncio.sleep(SETTLE_S)
            stop.set()
        self.resume_at.clear()

    async def _restart(self, number: int) -> None:
        self.environment.signal_gateway(number, signal.SIGKILL)
        await self.environment.wait_for_exit(number, 2.0)
        self.environment.start_gateway(number)

    async def _cut_off(self, number: int) -> None:
        """Cuts a gateway off from the store for some seconds."""
        proxy = self.environment.store_proxies[number]
        states = (
            LinkState(forward=False, backward=False),
            LinkState(backward=False),
            LinkState(refuse=True),
        )
        proxy.set_link(self.rng.choice(states))
        if proxy.link.refuse:
            proxy.reset()
        await asyncio.sleep(self.rng.uniform(*CUT_S))
        proxy.set_link(LinkState())

    async def _stop(self, number: int) -> None:
        """Stops a gateway for some seconds; it may be cut off a little longer."""
        proxy = self.environment.store_proxies[number]
        states = (LinkState(), LinkState(delay_s=FAR_S), LinkState(backward=False))
        proxy.set_link(self.rng.choice(states))
        self.environment.signal_gateway(number, signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(*STOP_S))
        self.environment.signal_gateway(number, signal.SIGCONT)
        await asyncio.sleep(BACK_AFTER_S)
        proxy.set_link(LinkState())

    def _violate(self, invariant: str, detail: str) -> None:
        self.violations.append(Violation(invariant, "", detail))


async def play_rows(
    environment: SoakEnvironment, seed: int, seconds: float
) -> tuple[Counter[str], int, list[Violation]]:
    """Writes odd rows for ``seconds``, and then plays a release.

    With odd seeds, the gateways out of step are stopped, with even ones cut off from
    the store. Returns the statuses of the calls, the number of runs, and what was
    violated.
    """
    checker = environment.checker
    environment.faults_enabled[0] = False
    play = RowsPlay(environment, random.Random(seed * 100))
    stop, stop_rows = asyncio.Event(), asyncio.Event()
    clients = _new_clients(play, seed)
    async with asyncio.TaskGroup() as group:
        for client in clients[:CLIENTS]:
            group.create_task(client.run(stop))
        rows = group.create_task(play.write_rows(stop_rows))
        replacements = group.create_task(play.replace_endpoints(stop_rows))
        await asyncio.sleep(seconds)
        stop_rows.set()
        await asyncio.gather(rows, replacements)
        play.check_served()
        await play.release(seed % 2 == 0, clients[CLIENTS:])
        stop.set()
    checker.status_counts["rows"] = play.row_count
    return (
        checker.status_counts,
        checker.run_counts.total(),
        play.violations + checker.violations,
    )


def _new_clients(play: RowsPlay, seed: int) -> list[Client]:
    """Returns the clients of a seed; those of the release take up all streams."""
    environment = play.environment
    options = [ClientOptions(resumptions=RESUMPTIONS, exact=True)] * CLIENTS
    options += [
        ClientOptions(("/resume/x",), RESUMPTIONS, True, resume_at=play.resume_at)
    ] * RELEASE_CLIENTS
    return [
        Client(
            f"w{seed}-{n}",
            environment.addresses,
            environment.checker,
            random.Random(seed * 100 + n),
            option,
        )
        for n, option in enumerate(options)
    ]
