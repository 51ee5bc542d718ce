"""Runs a program as a process and reads its memory and descriptors from /proc."""

import asyncio
import contextlib
import itertools
import os
import resource
import signal
import socket
import subprocess
import sys
from pathlib import Path

POLL_S = 0.05
START_S = 30.0
BYTES_PER_MB = 1_000_000
BYTES_PER_KIB = 1024
LISTENING, REMOTE_END_CLOSED = "0A", "06"
PARSER_ENVIRONMENT = {"c": {}, "python": {"AIOHTTP_NO_EXTENSIONS": "1"}}
"""Environment variables that choose the HTTP parser, by the language it is written
in."""


_hosts = itertools.count(1)


def own_host() -> str:
    """Returns an address of this machine on which no other test opens ports.

    At 127.0.0.1 any outgoing connection may take a port that was free.
    """
    network = f"127.{60 + os.getpid() // 250 % 100}.{os.getpid() % 250}"
    return f"{network}.{next(_hosts) % 250 + 1}"


def free_ports(ip: str, count: int) -> list[int]:
    """Returns different ports on which nothing listens."""
    with contextlib.ExitStack() as stack:
        listeners = [stack.enter_context(socket.socket()) for _ in range(count)]
        for listener in listeners:
            listener.bind((ip, 0))
        return [listener.getsockname()[1] for listener in listeners]


def resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process."""
    status = Path(f"/proc/{pid}/status").read_text()
    fields = dict(line.split(":", 1) for line in status.splitlines())
    return int(fields["VmRSS"].split()[0]) * BYTES_PER_KIB


def descriptors(pid: int) -> int:
    """Returns the number of open descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def unread_bytes(pid: int) -> int:
    """Returns what the kernel has received for a process and it has not read."""
    own = _socket_inodes(pid)
    lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
    return sum(
        int(fields[4].split(":")[1], 16)
        for fields in map(str.split, lines)
        if fields[9] in own and fields[3] != LISTENING
    )


def _socket_inodes(pid: int) -> set[str]:
    inodes = set()
    folder = f"/proc/{pid}/fd"
    for name in os.listdir(folder):
        try:
            target = os.readlink(f"{folder}/{name}")
        except FileNotFoundError:
            continue
        if target.startswith("socket:["):
            inodes.add(target[len("socket:[") : -1])
    return inodes


class Process:
    """A program that runs as a process of its own, with a limit on descriptors."""

    def __init__(self, module: str, settings: Path, parser: str, descriptors: int):
        self.log = settings.with_suffix(".log")
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", module, str(settings)],
                env={**os.environ, **PARSER_ENVIRONMENT[parser]},
                stdout=log,
                stderr=log,
            )
        limits = (descriptors, descriptors)
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, limits)

    @property
    def lives(self) -> bool:
        return self.process.poll() is None

    def kill(self) -> None:
        if self.lives:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()

    async def wait_for_exit(self) -> int:
        return await asyncio.to_thread(self.process.wait)


class StartedProcess:
    """A process that a test has started by other means."""

    def __init__(self, process: subprocess.Popen) -> None:
        self.process = process

    @property
    def lives(self) -> bool:
        return self.process.poll() is None


class Observer:
    """Records the highest memory and number of descriptors of a process."""

    def __init__(self, process: "Process | StartedProcess") -> None:
        self.process = process
        self.memory_bytes = 0
        self.descriptors = 0
        self.task: asyncio.Task | None = None

    async def __aenter__(self) -> "Observer":
        self.task = asyncio.create_task(self._observe())
        return self

    async def __aexit__(self, *_exc) -> None:
        self.task.cancel()
        if self.process.lives:
            self.sample()

    def sample(self) -> None:
        pid = self.process.process.pid
        memory = resident_bytes(pid) + unread_bytes(pid)
        self.memory_bytes = max(self.memory_bytes, memory)
        self.descriptors = max(self.descriptors, descriptors(pid))

    async def _observe(self) -> None:
        while self.process.lives:
            try:
                self.sample()
            except (FileNotFoundError, KeyError, ProcessLookupError):
                return
            await asyncio.sleep(POLL_S)
