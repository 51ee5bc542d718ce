"""Environment of a soak run: gateway processes, store, endpoints and proxies."""

import asyncio
import contextlib
import json
import os
import random
import resource
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import aiohttp

from soak.checks import InvariantChecker
from soak.clients import API_KEY, TOKENS_PER_EVENT
from soak.endpoints import BEHAVIOUR_WEIGHTS, random_behaviour
from soak.proxy import Proxy
from verbenagrade.platform.tests.conftest import configuration_document
from verbenagrade.platform.tests.endpoint_standin import EndpointStandIn
from verbenagrade.platform.tests.store_standin import StoreStandIn

__all__ = ["MEMORY_MB", "SOFTWARE_VERSIONS", "SoakEnvironment"]

GATEWAYS = 3
ENDPOINTS = 3
SMALL_BUDGET_TOKENS, LARGE_BUDGET_TOKENS = 15_000, 10_000_000
"""Prepaid tokens of odd and even seeds, so that some runs use up their budget."""

MEMORY_MB = 150
"""Memory of a gateway, in MB."""

STARTUP_S = 20.0
POLL_S = 0.05
SOFTWARE_VERSIONS = ("v1", "v2")
CALLER_PORT, READY_PORT, METRICS_PORT, RELAY_PORT = 18100, 18101, 18102, 18103
RESERVATION_PORT = 18104
"""Ports of every gateway; each gateway has its own loopback address."""


class SoakEnvironment:
    """Runs gateways as processes, with store and endpoints behind loopback proxies.

    ``versions`` are those of the endpoints, in turn, and ``passes_resets`` is that of
    their proxies. ``routes`` replaces the usual routes unless it is empty. Every second
    gateway runs the build in the folder ``other_build``, if there is one. There are so
    many ``gateways``, each with a limit on its ``descriptors`` unless that is 0.
    """

    def __init__(
        self,
        seed: int,
        versions: tuple[str, ...] = SOFTWARE_VERSIONS,
        passes_resets: bool = False,
        other_build: Path | None = None,
        gateways: int = GATEWAYS,
        descriptors: int = 0,
    ) -> None:
        self.gateways = gateways
        self.descriptors = descriptors
        self.other_build = other_build
        self.versions = versions
        self.passes_resets = passes_resets
        self.rng = random.Random(seed)
        self.prepaid_tokens = SMALL_BUDGET_TOKENS if seed % 2 else LARGE_BUDGET_TOKENS
        self.checker = InvariantChecker(self.prepaid_tokens, TOKENS_PER_EVENT)
        self.faults_enabled = [True]
        self.store = StoreStandIn()
        self.endpoints: list[EndpointStandIn] = []
        self.store_proxies: list[Proxy] = []
        self.endpoint_proxies: list[Proxy] = []
        self.processes: list[subprocess.Popen | None] = [None] * gateways
        self.addresses: list[str] = []
        self.log_directory = Path(tempfile.mkdtemp(prefix="verbenagrade-soak-"))
        self.configuration_version = 1
        self.routes: list[dict[str, object]] = []
        self.network_prefix = (
            f"127.{100 + os.getpid() // 250 % 100}.{os.getpid() % 250}"
        )

    async def start(self) -> None:
        """Starts all components and waits until the gateways are ready.

        Raises ``TimeoutError`` if that takes longer than ``STARTUP_S``.
        """
        await self.store.start()
        self.write_configuration()
        for number in range(ENDPOINTS):
            version = self.versions[number % len(self.versions)]
            await self.add_endpoint(version, self.faults_enabled)
        for number in range(self.gateways):
            proxy = Proxy(self.store.address)
            await proxy.start()
            self.store_proxies.append(proxy)
            host = f"{self.network_prefix}.{number + 1}"
            self.addresses.append(f"{host}:{CALLER_PORT}")
            self._write_settings(number, host)
            self.start_gateway(number)
        async with asyncio.timeout(STARTUP_S), aiohttp.ClientSession() as session:
            for number in range(self.gateways):
                url = f"http://{self.network_prefix}.{number + 1}:{READY_PORT}/"
                await _wait_until_ready(session, url)

    def write_configuration(self) -> None:
        """Writes a new version of the configuration."""
        tenant = {
            "name": "hotel",
            "api_keys": [API_KEY],
            "prepaid": self.prepaid_tokens,
        }
        routes = {"routes": self.routes} if self.routes else {}
        document = configuration_document(
            self.configuration_version, tenants=[tenant], **routes
        )
        self.store.put("op", "config", document)
        self.configuration_version += 1

    def start_gateway(self, number: int) -> None:
        """Starts a gateway unless its process is running.

        When two faults have ended the same gateway, both call this method; only
        the first call starts it.
        """
        previous = self.processes[number]
        if previous is not None and previous.poll() is None:
            return
        other = self.other_build if number % 2 else None
        environment = {"PYTHONPATH": str(other)} if other else {}
        log = (self.log_directory / f"front-{number}.log").open("ab")
        self.processes[number] = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "verbenagrade.commands.gateway",
                str(self._settings_path(number)),
            ],
            cwd=other,
            env={**os.environ, **environment},
            stdout=log,
            stderr=log,
        )
        log.close()
        if self.descriptors:
            limits = (self.descriptors, self.descriptors)
            pid = self.processes[number].pid
            resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)

    def signal_gateway(self, number: int, signum: signal.Signals) -> None:
        """Sends a signal to a gateway if its process is running."""
        process = self.processes[number]
        if process is not None and process.poll() is None:
            process.send_signal(signum)

    async def wait_for_exit(self, number: int, timeout_s: float) -> None:
        """Waits for a gateway to exit; kills it after ``timeout_s``."""
        process = self.processes[number]
        for _ in range(int(timeout_s / 0.05)):
            if process.poll() is not None:
                return
            await asyncio.sleep(0.05)
        process.kill()
        process.wait()

    async def stop(self) -> None:
        """Kills all gateway processes and stops proxies, endpoints and store."""
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for proxy in (*self.store_proxies, *self.endpoint_proxies):
            proxy.stop()
        for endpoint in self.endpoints:
            await endpoint.stop()
        await self.store.stop()

    async def add_endpoint(
        self,
        version: str,
        faults_enabled: list[bool],
        behaviour_weights: tuple[tuple[str, int], ...] = BEHAVIOUR_WEIGHTS,
    ) -> int:
        """Starts an endpoint, writes its entry and returns its number."""
        behave = random_behaviour(
            self.rng, self.checker, faults_enabled, version, behaviour_weights
        )
        number = len(self.endpoints)
        endpoint = EndpointStandIn(f"i-{number}", [behave], software_version=version)
        await endpoint.start()
        proxy = Proxy(endpoint.address, self.passes_resets)
        await proxy.start()
        self.endpoints.append(endpoint)
        self.endpoint_proxies.append(proxy)
        self.register_endpoint(number)
        return number

    async def bring_back_endpoint(self, number: int, born: int) -> None:
        """Brings an endpoint back at another port, as another incarnation."""
        proxy = Proxy(self.endpoints[number].address, self.passes_resets)
        await proxy.start()
        self.endpoint_proxies[number] = proxy
        self.register_endpoint(number, born=born)

    def register_endpoint(self, number: int, **changes: object) -> None:
        """Writes the store entry of an endpoint, with the address of its proxy.

        ``changes`` replaces further fields of the entry.
        """
        entry = self.endpoints[number].entry(
            "pool", address=self.endpoint_proxies[number].address, **changes
        )
        self.store.put("servers", self.endpoints[number].name, entry)

    def _settings_path(self, number: int) -> Path:
        return self.log_directory / f"front-{number}.json5"

    def _write_settings(self, number: int, host: str) -> None:
        settings = {
            "vm": f"front-{number}",
            "data_centre": "muscat-a",
            "regions": {"muscat-a": "muscat"},
            "listen": {
                "callers": f"{host}:{CALLER_PORT}",
                "ready": f"{host}:{READY_PORT}",
                "metrics_ip": host,
                "metrics_port": METRICS_PORT,
                "relay_ip": host,
                "relay_port": RELAY_PORT,
                "reservation_ports": [RESERVATION_PORT, RESERVATION_PORT],
            },
            "store": {"address": self.store_proxies[number].address},
            "bounds": {
                "drain_ms": 2500,
                "grace_s": 8,
                "retry_ratio": 0.2,
                "retry_window_s": 10,
                "retry_slack": 56,
                "revoke_ms": 5000,
            },
            "memory_mb": MEMORY_MB,
        }
        self._settings_path(number).write_text(json.dumps(settings))


async def _wait_until_ready(session: aiohttp.ClientSession, url: str) -> None:
    """Waits until the readiness check at a URL succeeds."""
    for _ in range(int(STARTUP_S / POLL_S)):
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with session.get(url) as response:
                if response.status == 200:
                    return
        await asyncio.sleep(POLL_S)
    raise TimeoutError(f"{url} is not ready")
