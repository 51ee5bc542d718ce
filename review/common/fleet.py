"""Starts gateways as the deploy file says, and stands in for the platform."""

import asyncio
import contextlib
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

import aiohttp

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {
    "drain_ms": 2500,
    "grace_s": 8,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 56,
    "revoke_ms": 5000,
    "strict_revoke": False,
}
FIRST_PORT, LAST_PORT, INTERNAL_PORTS = 20_000, 32_000, 16
START_S = 20.0
POLL_S = 0.05
RESTART_S = 1.5
MISSES = 2


async def wait_until(condition, timeout_s):
    """Waits until a condition holds, or for ``timeout_s`` seconds if it does not.

    Returns whether it holds.
    """
    clock = asyncio.get_running_loop().time
    ends_at = clock() + timeout_s
    for _ in range(int(timeout_s / POLL_S) + 1):
        if condition() or clock() >= ends_at:
            break
        await asyncio.sleep(POLL_S)
    return condition()


def find_ports(ips):
    """Returns the first port of a range that is free at all addresses."""
    for first in range(FIRST_PORT, LAST_PORT, INTERNAL_PORTS + 2):
        with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
            for ip in ips:
                for port in range(first, first + INTERNAL_PORTS + 2):
                    listener = stack.enter_context(socket.socket())
                    listener.bind((ip, port))
            return first
    raise OSError("no free ports")


class Record:
    """What was sent, answered and run, for ``record.txt``."""

    def __init__(self, path):
        self.started_at = time.monotonic()
        self.file = path.open("w")

    def write(self, what, **values):
        """Writes one line."""
        fields = " ".join(f"{name}={value}" for name, value in values.items())
        at_s = time.monotonic() - self.started_at
        self.file.write(f"{at_s:9.4f} {what} {fields}\n")

    def close(self):
        """Ends the record."""
        self.file.close()


class Fleet:
    """The gateways of a small deployment in one zone, each at its own address.

    ``processes`` maps the name of each machine to its process, ``store_addresses`` the
    names of machines to addresses of the store, and ``roots`` those that run another
    build to its folder.
    """

    def __init__(self, names, store_addresses, record, zone="norte-a"):
        self.record = record
        self.store_addresses = store_addresses
        self.zone = zone
        self.folder = Path(tempfile.mkdtemp(prefix="verbenagrade-review-"))
        number = os.getpid()
        prefix = f"127.{64 + number // 250 % 64}.{number % 250}"
        self.ips = {name: f"{prefix}.{n}" for n, name in enumerate(names, 1)}
        self.port = find_ports(self.ips.values())
        self.processes = {}
        self.roots = {}
        self.in_rotation = set()
        self.checker = None
        self.role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]

    async def start(self):
        """Starts all gateways and waits until the platform sends them callers."""
        for name in self.ips:
            self.start_gateway(name)
        self.checker = asyncio.create_task(self._check_readiness())
        if not await wait_until(lambda: self.in_rotation == set(self.ips), START_S):
            raise TimeoutError("the gateways did not get ready")

    def start_gateway(self, name):
        """Starts the process of a machine."""
        (role,) = self.role.values()
        root = self.roots.get(name, ROOT)
        settings = self.folder / f"{name}.json5"
        settings.write_text(self._fill_in(root / role["template"], name))
        names = ("PATH", "HOME", "LANG")
        env = {key: os.environ[key] for key in names if key in os.environ}
        env |= role.get("env", {})
        env["PYTHONPATH"] = str(root / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["VERBENAGRADE_SETTINGS"] = str(settings)
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                role["run"].split(), cwd=root, env=env, stdout=log, stderr=log
            )
        self.record.write("machine started", name=name)

    def terminate(self, name):
        """Stops a machine as planned: SIGTERM, which leaves it the grace period."""
        self.processes[name].send_signal(signal.SIGTERM)
        self.record.write("machine stopped", name=name)

    async def exited(self, name):
        """Waits until the process of a machine has ended."""
        process = self.processes[name]
        if not await wait_until(lambda: process.poll() is not None, BOUNDS["grace_s"]):
            process.kill()
            process.wait()
        self.record.write("machine ended", name=name)

    def kill(self, name):
        """Kills the process of a machine."""
        self.processes[name].kill()
        self.processes[name].wait()

    def kill_all(self):
        """Kills the processes of all machines."""
        for name in self.processes:
            self.kill(name)

    def restart_all(self):
        """Starts the processes of all machines again."""
        for name in self.ips:
            self.start_gateway(name)

    def choose(self, rng):
        """Returns a machine that the platform may send a new channel to."""
        return rng.choice(sorted(self.in_rotation) or sorted(self.ips))

    def address(self, name):
        """Returns the address of a machine for callers."""
        return f"{self.ips[name]}:{self.port}"

    async def stop(self):
        """Ends all processes."""
        if self.checker is not None:
            self.checker.cancel()
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            process.wait()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def _check_readiness(self):
        """Takes machines into rotation and out of it, as the platform does."""
        missed = dict.fromkeys(self.ips, MISSES)
        timeout = aiohttp.ClientTimeout(total=0.9)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                for name, ip in self.ips.items():
                    ready = await _is_ready(
                        session, f"http://{ip}:{self.port + 1}/ready"
                    )
                    missed[name] = 0 if ready else missed[name] + 1
                    if missed[name] >= MISSES:
                        self.in_rotation.discard(name)
                    elif ready:
                        self.in_rotation.add(name)
                await asyncio.sleep(1.0 if self.in_rotation == set(self.ips) else 0.2)

    def _fill_in(self, template, name):
        ip = self.ips[name]
        fields = {
            "node": name,
            "zone": self.zone,
            "zones": {self.zone: "norte"},
            "listen": {
                "front": f"{ip}:{self.port}",
                "ready": f"{ip}:{self.port + 1}",
            },
            "ip": ip,
            "internal_ports": [self.port + 2, self.port + 1 + INTERNAL_PORTS],
            "platform": {"address": self.store_addresses[name], "writes_per_s": 800},
            "bounds": BOUNDS,
            "limits": {"memory_mb": 150},
        }

        def value(match):
            """Returns the value of a placeholder as JSON."""
            found = fields
            for part in match.group(1).split("."):
                found = found[int(part)] if isinstance(found, list) else found[part]
            return json.dumps(found)

        return re.sub(r"\{\{([\w.]+)\|json\}\}", value, template.read_text())


async def _is_ready(session, url):
    try:
        async with session.get(url) as response:
            return response.status == 200
    except (aiohttp.ClientError, TimeoutError, OSError):
        return False
