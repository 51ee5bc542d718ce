"""Runs a fleet as separate processes on loopback, for end-to-end tests."""

import asyncio
import contextlib
import itertools
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import msgspec

CALLER_PORT = 18080
PEER_PORT = 17000
CONTROL_PORT = 18090
STANDIN_PORT = 19000
START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05

_fleets = itertools.count(1)


@dataclass(frozen=True)
class Response:
    """A received response; ``complete`` is false if the connection was lost."""

    status: int
    headers: dict
    body: bytes
    complete: bool = True

    def json(self):
        return json.loads(self.body)

    def events(self):
        lines = self.body.decode().split("\n\n")
        return [line.removeprefix("data: ") for line in lines if line]


@dataclass(frozen=True)
class Layout:
    """Data centres of a fleet, and the numbers of processes in each of them."""

    data_centres: tuple[str, ...] = ("muscat-a", "dhofar-a")
    routers: int = 2
    engines: int = 1
    services: int = 1
    timing: dict = field(default_factory=dict)
    limits: dict = field(default_factory=dict)


class Fleet:
    """The processes of a fleet; their settings and logs are in ``directory``."""

    def __init__(self, layout: Layout) -> None:
        self.layout = layout
        number = os.getpid() * 64 + next(_fleets)
        self.network_prefix = f"127.{10 + number // 250 % 240}.{number % 250}"
        self.host_numbers = itertools.count(1)
        self.processes: dict[str, subprocess.Popen] = {}
        self.urls: dict[str, str] = {}
        self.addresses: dict[str, str] = {}
        self.data_centre_of: dict[str, str] = {}
        self.directory = Path(tempfile.mkdtemp(prefix="verbenagrade-"))
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Fleet":
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        try:
            await self._start_all()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_exc) -> None:
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        await self.session.close()

    async def _start_all(self) -> None:
        self.start_standin("platform", "platform")
        for data_centre in self.layout.data_centres:
            for n in range(self.layout.engines):
                self.start_standin("engine", f"engine-{data_centre}-{n}", data_centre)
            for n in range(self.layout.services):
                self.start_standin("service", f"service-{data_centre}-{n}", data_centre)
            for n in range(self.layout.routers):
                vm = f"{data_centre}-{n}"
                self.addresses[vm] = self._next_address()
                self.data_centre_of[vm] = data_centre
        await self.wait_until_ready("platform", "/counts")
        await self.publish_vm_list()
        self.start_control()
        await self.wait_until_ready("control", "/healthz")
        await self.create_default_resources()
        for vm in self.router_vms():
            self.start_router(vm)
        await asyncio.gather(
            *(self.wait_until_ready(vm, "/readyz") for vm in self.router_vms())
        )

    def router_vms(self) -> list[str]:
        return sorted(self.addresses)

    def start_standin(self, kind: str, name: str, data_centre: str = "") -> None:
        address = self._next_address()
        self.urls[name] = f"http://{address}:{STANDIN_PORT}"
        self.data_centre_of[name] = data_centre
        module = f"verbenagrade.tests.standins.{kind}"
        self._spawn(name, module, address, str(STANDIN_PORT))

    def start_router(self, vm: str) -> None:
        settings = {
            "vm": vm,
            "data_centre": self.data_centre_of[vm],
            "address": self.addresses[vm],
            "caller_port": CALLER_PORT,
            "peer_port": PEER_PORT,
            "platform": self._platform_settings(),
            "timing": self.layout.timing,
            "limits": self.layout.limits,
            "log_level": "info",
        }
        self.urls[vm] = f"http://{self.addresses[vm]}:{CALLER_PORT}"
        self._spawn(
            vm, "verbenagrade.commands.router", self._write_settings(vm, settings)
        )

    def start_control(self) -> None:
        address = self._next_address()
        settings = {
            "vm": "control",
            "data_centre": self.layout.data_centres[0],
            "address": address,
            "port": CONTROL_PORT,
            "platform": self._platform_settings(),
        }
        self.urls["control"] = f"http://{address}:{CONTROL_PORT}"
        path = self._write_settings("control", settings)
        self._spawn("control", "verbenagrade.commands.control", path)

    async def wait_until_ready(self, name: str, path: str) -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            with contextlib.suppress(aiohttp.ClientError):
                async with self.session.get(self.urls[name] + path) as response:
                    if response.ok:
                        return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise AssertionError(f"{name} did not start: {self.log(name)[-2000:]}")

    async def wait_until(self, condition, timeout_s: float = 20.0):
        """Polls an async condition until its result is true, and returns the result."""
        deadline = time.monotonic() + timeout_s
        while not (result := await condition()):
            assert time.monotonic() < deadline, f"not within {timeout_s} s: {condition}"
            await asyncio.sleep(POLL_INTERVAL_S)
        return result

    async def send_request(
        self, name: str, method: str, path: str, body=None, first_chunk=None, **headers
    ):
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        data = None if body is None else data
        url = self.urls[name] + path
        fields = {key.replace("_", "-"): value for key, value in headers.items()}
        async with self.session.request(
            method, url, data=data, headers=fields
        ) as response:
            received = b""
            try:
                async for chunk in response.content.iter_any():
                    received += chunk
                    if first_chunk is not None:
                        first_chunk.set()
            except aiohttp.ClientError:
                return Response(
                    response.status, dict(response.headers), received, False
                )
            return Response(response.status, dict(response.headers), received)

    async def chat(self, vm: str, workspace: str = "crew", **options):
        headers = options.pop("headers", {})
        first_chunk = options.pop("first_chunk", None)
        body = {
            "model": "verbena",
            "messages": [{"role": "user", "content": "who cleans the ward"}],
            **options,
        }
        return await self.send_request(
            vm,
            "POST",
            "/v1/chat/completions",
            body,
            first_chunk,
            Authorization=f"Bearer key-{workspace}",
            **headers,
        )

    async def apply(self, kind: str, name: str, spec, generation: int = 0):
        body = {"spec": spec, "generation": generation}
        response = await self.send_request(
            "control", "PUT", f"/resources/{kind}/{name}", body
        )
        assert response.status == 200, response.body
        return response.json()

    async def set_switches(self, name: str, **switches) -> None:
        await self.send_request(name, "POST", "/switch", switches)

    async def publish_vm_list(self, *excluded: str) -> None:
        vms = [
            {"vm": vm, "data_centre": self.data_centre_of[vm], "address": address}
            for vm, address in self.addresses.items()
            if vm not in excluded
        ]
        await self.set_switches("platform", vms=vms)

    async def create_default_resources(self) -> None:
        pools = {"verbena-pool": "engine", "booking-pool": "service"}
        for pool, kind in pools.items():
            endpoints = [
                {"name": name, "url": url, "data_centre": self.data_centre_of[name]}
                for name, url in self.urls.items()
                if name.startswith(f"{kind}-")
            ]
            spec = {"endpoints": endpoints, "engine": kind == "engine"}
            await self.apply("pool", pool, spec)
        await self.apply("route", "verbena", {"pool": "verbena-pool"})
        booking = {"pool": "booking-pool", "tokens_per_call": 10}
        await self.apply("route", "booking", booking)
        await self.create_workspace("crew", 1_000_000)

    async def create_workspace(self, name: str, prepaid: int, **hold) -> None:
        budget = {"workspace": name, "prepaid": prepaid, "hold": hold}
        await self.apply("budget", name, budget)
        spec = {
            "budget": name,
            "api_keys": [f"key-{name}"],
            "routes": ["verbena", "booking"],
        }
        await self.apply("workspace", name, spec)

    async def budget_status(self, name: str = "crew"):
        return (await self.send_request("control", "GET", f"/budgets/{name}")).json()

    async def bills(self, workspace: str = "crew"):
        response = await self.send_request("control", "GET", f"/explain/{workspace}")
        return response.json()["bills"]

    async def served_tokens(self) -> dict[str, int]:
        """Returns the tokens of each attempt, as counted by the engines."""
        counts: dict[str, int] = {}
        for name in self.urls:
            if name.startswith("engine-"):
                counts.update((await self.send_request(name, "GET", "/served")).json())
        return counts

    async def service_calls(self) -> list[str]:
        """Returns the calls that the plain services ran."""
        calls = []
        for name in self.urls:
            if name.startswith("service-"):
                calls.extend((await self.send_request(name, "GET", "/calls")).json())
        return sorted(calls)

    async def is_settled(self) -> bool:
        """Tells if running routers have nothing reserved, unsettled or unwritten."""
        for vm in self.router_vms():
            if self.processes[vm].poll() is not None:
                continue
            status = (await self.send_request(vm, "GET", "/status")).json()
            pending = ("unsettled_attempts", "unwritten_bills", "reserved_tokens")
            if any(status[name] for name in pending):
                return False
        return True

    async def wait_for_bills(self, count: int, workspace: str = "crew"):
        """Waits until a workspace has at least ``count`` bills, and returns them."""

        async def enough_bills():
            bills = await self.bills(workspace)
            return bills if len(bills) >= count else None

        return await self.wait_until(enough_bills)

    async def start_stream(self, vm: str, workspace: str = "crew", **options):
        """Starts a streamed request; returns its task after the first chunk or 5 s."""
        first_chunk = asyncio.Event()
        task = asyncio.create_task(
            self.chat(vm, workspace, stream=True, first_chunk=first_chunk, **options)
        )
        await asyncio.wait(
            {task, asyncio.create_task(first_chunk.wait())},
            timeout=5,
            return_when=asyncio.FIRST_COMPLETED,
        )
        return task

    def signal(self, name: str, signum: signal.Signals) -> None:
        self.processes[name].send_signal(signum)

    def kill(self, name: str) -> None:
        self.processes[name].kill()
        self.processes[name].wait()

    def log(self, name: str) -> str:
        return (self.directory / f"{name}.log").read_text()

    def log_events(self, name: str, event_number: int) -> list[dict]:
        lines = [line for line in self.log(name).splitlines() if line.startswith("{")]
        return [e for e in map(json.loads, lines) if e["event"] == event_number]

    def _platform_settings(self) -> dict:
        base = self.urls["platform"]
        return {
            "table_url": f"{base}/table",
            "objects_url": f"{base}/objects",
            "vm_list_url": f"{base}/vmlist",
            "timeout_s": 1.0,
        }

    def _next_address(self) -> str:
        return f"{self.network_prefix}.{next(self.host_numbers)}"

    def _write_settings(self, name: str, settings: dict) -> str:
        path = self.directory / f"{name}.json5"
        path.write_text(json.dumps(settings))
        return str(path)

    def _spawn(self, name: str, module: str, *args: str) -> None:
        log = (self.directory / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", module, *args], stdout=log, stderr=log
        )
        log.close()
