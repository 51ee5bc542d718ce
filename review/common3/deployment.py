"""Runs gateways as processes beside stand-ins for the platform and the replicas.

Gateways are started with the command of the deploy file, and with settings that are
rendered from its template. Each has a loopback address of its own.
"""

import asyncio
import contextlib
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

from review.common3.replica import Replica
from review.common3.store import Store

ROOT = Path(__file__).resolve().parents[2]
COMMAND = [sys.executable, "-m", "verbenagrade.commands.gateway"]
PLACEHOLDER = re.compile(r"\{\{([a-z_.0-9]+)\|json\}\}")
READY_S = 20.0
TIME_LIMIT_S = 100.0
"""Time after which a case is given up, and ends what it has started, in seconds."""

BOUNDS = {
    "drain_ms": 2500,
    "grace_s": 8,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 56,
    "revoke_ms": 5000,
    "strict_revoke": False,
}
"""Bounds of a small deployment, as in the settings of a process."""


class Gateway:
    """One gateway process, and the addresses that it serves at."""

    def __init__(self, folder: Path, name: str, zone: str, ip: str) -> None:
        self.folder, self.name, self.zone, self.ip = folder, name, zone, ip
        self.front, self.ready = f"{ip}:{free_port(ip)}", f"{ip}:{free_port(ip)}"
        self.ports = free_range(ip, 6)
        self.store_address = ""
        self.process: subprocess.Popen | None = None

    def write_settings(self, zones: dict[str, str], bounds: dict[str, object]) -> Path:
        """Renders the template of the deploy file; returns the path of the result."""
        fields = {
            "node": self.name,
            "zone": self.zone,
            "zones": zones,
            "ip": self.ip,
            "listen": {"front": self.front, "ready": self.ready},
            "internal_ports": self.ports,
            "platform": {"address": self.store_address, "writes_per_s": 800},
            "bounds": bounds,
            "limits": {"memory_mb": 150},
        }

        def value(match: re.Match) -> str:
            """Returns the JSON text of a field."""
            found: object = fields
            for part in match[1].split("."):
                found = found[int(part)] if isinstance(found, list) else found[part]
            return json.dumps(found)

        template = (ROOT / "deploy/gateway.json5.template").read_text()
        path = self.folder / f"{self.name}.json5"
        path.write_text(PLACEHOLDER.sub(value, template))
        return path

    def start(self, settings: Path) -> None:
        """Starts the process."""
        environment = {name: os.environ[name] for name in ("PATH", "HOME")}
        environment |= {
            "PYTHONPATH": f"{ROOT / 'target/deps'}",
            "PYTHONDONTWRITEBYTECODE": "1",
            "SSL_CERT_FILE": "/dev/null",
            "VERBENAGRADE_SETTINGS": str(settings),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def end(self, timeout_s: float = 3.0) -> None:
        """Kills the process and waits until it is gone."""
        if self.process is None:
            return
        with contextlib.suppress(ProcessLookupError):
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
        await asyncio.to_thread(self.process.wait, timeout_s)

    async def wait_ready(self) -> None:
        """Waits until the readiness check succeeds."""
        host, _, port = self.ready.partition(":")
        request = b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        async with asyncio.timeout(READY_S):
            while True:
                with contextlib.suppress(OSError):
                    reader, writer = await asyncio.open_connection(host, int(port))
                    writer.write(request)
                    line = await reader.readline()
                    writer.close()
                    if b" 200 " in line:
                        return
                await asyncio.sleep(0.1)


class Deployment:
    """The store, the replicas and the gateways of a case."""

    def __init__(self, zones: dict[str, str], bounds: dict[str, object]) -> None:
        self.zones, self.bounds = zones, bounds
        self.folder = Path(tempfile.mkdtemp(prefix="verbenagrade-review-"))
        self.store = Store()
        self.store.era = 1
        self.replicas: list[Replica] = []
        self.gateways: list[Gateway] = []
        number = os.getpid()
        self.network = f"127.{50 + number // 250 % 150}.{number % 250}"

    async def __aenter__(self) -> "Deployment":
        self.limit = asyncio.timeout(TIME_LIMIT_S)
        await self.limit.__aenter__()
        await self.store.start()
        return self

    async def __aexit__(self, *exception: object) -> None:
        try:
            for gateway in self.gateways:
                await gateway.end()
            for replica in self.replicas:
                replica.stop()
            await self.store.stop()
            shutil.rmtree(self.folder)
        finally:
            await self.limit.__aexit__(*exception)

    async def add_replica(self, replica: Replica) -> Replica:
        """Starts a replica and writes its entry."""
        await replica.start()
        self.replicas.append(replica)
        self.store.put("servers", replica.name, replica.entry())
        return replica

    async def add_gateway(self, zone: str) -> Gateway:
        """Adds a gateway without starting it."""
        number = len(self.gateways) + 1
        ip = f"{self.network}.{number}"
        gateway = Gateway(self.folder, f"front-{zone}-{number}", zone, ip)
        gateway.store_address = await self.store.open_address()
        self.gateways.append(gateway)
        return gateway

    def start(self, gateway: Gateway) -> None:
        """Starts the process of a gateway."""
        gateway.start(gateway.write_settings(self.zones, self.bounds))


def free_port(ip: str) -> int:
    """Returns a port that is free at an address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def free_range(ip: str, size: int) -> list[int]:
    """Returns the first and the last of some free ports in a row."""
    for first in range(20_000, 32_000, size):
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for port in range(first, first + size):
                stack.enter_context(socket.socket()).bind((ip, port))
            return [first, first + size - 1]
    raise OSError("no free ports")
