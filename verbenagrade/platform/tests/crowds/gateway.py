"""A gateway process between a crowd and stand-ins for the store and an endpoint."""

import asyncio
import contextlib
import json
import os
import re

import aiohttp

from verbenagrade.platform.tests.conftest import (
    API_KEY,
    configuration_document,
    route,
)
from verbenagrade.platform.tests.crowds.processes import (
    BYTES_PER_MB,
    POLL_S,
    START_S,
    Observer,
    Process,
    free_ports,
    own_host,
)
from verbenagrade.platform.tests.endpoint_standin import EndpointStandIn
from verbenagrade.platform.tests.store_standin import StoreStandIn

MEMORY_MB = 110
"""Memory of the process, which is near that of an idle one."""

DESCRIPTORS = 400
RESERVED_DESCRIPTORS = 100
"""Descriptors that a process keeps for the store, the fleet and endpoints."""

TIMEOUT_MS = 60_000
CALL_TIMEOUT_S = 90.0
RETRIES = 200
RETRY_S = 0.1
REFUSED = (429, 503)
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 30_000,
    "idle_timeout_ms": 30_000,
}


class GatewayUnderTest:
    """A gateway process, whose limits are those of the test."""

    def __init__(self, folder, parser="c", memory_mb=MEMORY_MB) -> None:
        self.folder = folder
        self.parser = parser
        self.memory_mb = memory_mb
        self.store = StoreStandIn()
        self.endpoint = EndpointStandIn("i-0")
        self.host = own_host()
        self.ports = {}
        self.process: Process | None = None
        self.observer: Observer | None = None
        self.session: aiohttp.ClientSession | None = None
        self.calls = 0

    async def start(self, handler, configured=True) -> None:
        """Starts all, with an endpoint that responds as ``handler`` does."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True)
        )
        self.endpoint.handlers.append(handler)
        await self.endpoint.start()
        await self.store.start()
        if configured:
            self.configure()
        names = ("callers", "ready", "metrics", "relay", "reservations")
        ports = free_ports(self.host, len(names))
        self.ports = dict(zip(names, ports, strict=True))
        settings = self.folder / "gateway.json5"
        settings.write_text(json.dumps(self._settings()))
        module = "verbenagrade.commands.gateway"
        self.process = Process(module, settings, self.parser, DESCRIPTORS)
        await self._wait_until_it_listens()
        if configured:
            await self.wait_until_ready()
        self.observer = Observer(self.process)
        await self.observer.__aenter__()

    def configure(self) -> None:
        """Writes the configuration and the endpoint to the store."""
        options = {"timeout_ms": TIMEOUT_MS}
        routes = [
            route("/safe/", "safe", **options),
            route("/once/", "unsafe", max_attempts=1, **options),
            route("/stream/", "streaming", max_attempts=1, **options),
        ]
        tenants = [{"name": "hotel", "api_keys": [API_KEY], "prepaid": 10**9}]
        document = configuration_document(routes=routes, limits=LIMITS, tenants=tenants)
        self.store.put("op", "config", document)
        self.store.put("servers", "i-0", self.endpoint.entry("pool", slots=1_000))

    async def stop(self) -> None:
        if self.observer is not None:
            await self.observer.__aexit__()
        if self.process is not None:
            self.process.kill()
        await self.session.close()
        await self.endpoint.stop()
        await self.store.stop()

    def address(self, listener="callers") -> tuple[str, int]:
        return self.host, self.ports[listener]

    async def call(self, path="/safe/x", body=b"hello", **headers) -> int:
        """Makes a call as an ordinary caller, which comes back after a refusal."""
        for _ in range(RETRIES):
            with contextlib.suppress(aiohttp.ClientError, ConnectionError):
                status = await self.call_once(path, body, **headers)
                if status not in REFUSED:
                    return status
            assert self.process.lives
            await asyncio.sleep(RETRY_S)
        raise AssertionError("the call was refused each time")

    async def call_once(self, path="/safe/x", body=b"hello", **headers) -> int:
        self.calls += 1
        own = {
            "Host": "site.example",
            "Request-Id": f"ordinary-{self.calls}",
            "Deadline-Ms": str(TIMEOUT_MS),
            "Authorization": f"Bearer {API_KEY}",
            **headers,
        }
        url = f"http://{self.host}:{self.ports['callers']}{path}"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with self.session.post(
            url, headers=own, data=body, timeout=timeout
        ) as response:
            await response.read()
            return response.status

    async def get(self, listener) -> int:
        """Asks the readiness check or for the metrics, as often as it takes."""
        url = f"http://{self.host}:{self.ports[listener]}/"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        for _ in range(RETRIES):
            with contextlib.suppress(aiohttp.ClientError, ConnectionError):
                async with self.session.get(url, timeout=timeout) as response:
                    await response.read()
                    return response.status
            assert self.process.lives
            await asyncio.sleep(RETRY_S)
        raise AssertionError(f"{listener}: no response")

    async def wait_until_given_back(self) -> None:
        """Waits until no client holds anything but the connection that asks.

        Fails if what clients hold does not change any more before that.
        """
        url = f"http://{self.host}:{self.ports['metrics']}/"
        unchanged, known = 0, None
        while unchanged < RETRIES:
            async with self.session.get(url) as response:
                text = await response.text()
            connections, memory = (
                re.findall(rf'client_{name}\{{listener="\w+"\}} (\d+)', text)
                for name in ("connections", "memory_bytes")
            )
            assert connections
            if sum(map(int, connections)) <= 1:
                return
            unchanged = unchanged + 1 if memory == known else 0
            known = memory
            await asyncio.sleep(RETRY_S)
        raise AssertionError(f"connections are left: {connections}")

    def assert_within_limits(self) -> None:
        """Checks that the process lives and has kept to its memory and descriptors."""
        assert self.process.lives
        self.observer.sample()
        memory_mb = self.observer.memory_bytes / BYTES_PER_MB
        descriptors = self.observer.descriptors
        assert memory_mb <= self.memory_mb, f"{memory_mb:.0f} MB"
        assert descriptors <= DESCRIPTORS - RESERVED_DESCRIPTORS, descriptors

    async def wait_until_ready(self) -> None:
        for _ in range(int(START_S / POLL_S)):
            if await self.get("ready") == 200:
                return
            await asyncio.sleep(POLL_S)
        raise AssertionError("the gateway is not ready")

    async def _wait_until_it_listens(self) -> None:
        async with asyncio.timeout(START_S):
            while True:
                try:
                    _, writer = await asyncio.open_connection(*self.address("ready"))
                except OSError:
                    assert self.process.lives, self.process.log.read_text()
                    await asyncio.sleep(POLL_S)
                    continue
                writer.close()
                return

    def _settings(self) -> dict:
        host, ports = self.host, self.ports
        return {
            "vm": f"front-{os.getpid()}",
            "data_centre": "muscat-a",
            "regions": {"muscat-a": "muscat"},
            "listen": {
                "callers": f"{host}:{ports['callers']}",
                "ready": f"{host}:{ports['ready']}",
                "metrics_ip": host,
                "metrics_port": ports["metrics"],
                "relay_ip": host,
                "relay_port": ports["relay"],
                "reservation_ports": [ports["reservations"]] * 2,
            },
            "store": {"address": self.store.address},
            "bounds": {
                "drain_ms": 2500,
                "grace_s": 8,
                "retry_ratio": 0.2,
                "retry_window_s": 10,
                "retry_slack": 56,
                "revoke_ms": 5000,
            },
            "memory_mb": self.memory_mb,
        }
