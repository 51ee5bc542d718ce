"""Parses what clients have sent, a little in each turn of the event loop."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Protocol

from verbenagrade.events import Event, log_event
from verbenagrade.metrics import ProcessMetrics
from verbenagrade.state.client_account import ClientAccount, ListenerLimits
from verbenagrade.state.input_turns import InputTurns, TurnBudget

__all__ = ["READ_BYTES", "Clients", "InputConnection"]

READ_BYTES = 16_384
"""What is read from a connection at once, in bytes. All connections share the buffer,
since what was read is taken out of it at once."""

TURN_S = 0.005
TURN_BYTES = 4_000_000
"""Time for parsing in one turn of the event loop, in seconds, and memory that the
parsed requests may take, in bytes."""


LINES_PER_S = 20
"""Most log lines a second about clients that were given up or failed."""


class InputConnection(Protocol):
    """A connection with bytes to parse; ``work_s`` is what its request took so far."""

    work_s: float
    is_queued: bool

    def parse_next(self) -> int:
        """Parses one piece, and returns the memory in bytes that it may take."""


class Clients:
    """What the connections of all clients of a process share.

    ``clock`` returns the present time in seconds.
    """

    def __init__(
        self, limits: Mapping[str, ListenerLimits], clock: Callable[[], float]
    ) -> None:
        self.account = ClientAccount(limits)
        self.clock = clock
        self.buffer = memoryview(bytearray(READ_BYTES))
        self.turns: InputTurns[InputConnection] = InputTurns()
        self.budget = TurnBudget(TURN_S, TURN_BYTES)
        self.is_scheduled = False
        self.logged_second = self.logged_lines = 0

    def record(self, metrics: ProcessMetrics) -> None:
        """Sets the metrics of what clients hold."""
        for listener, own in self.account.listeners.items():
            labels = {"listener": listener}
            metrics.client_connections.set(labels, len(own.records))
            metrics.client_memory.set(labels, own.held_bytes)
        for (listener, reason), count in self.account.given_up.items():
            labels = {"listener": listener, "reason": reason.value}
            metrics.clients_given_up.set(labels, count)

    def log(self, event: Event, **fields: object) -> None:
        """Logs an event about a client, unless there were many within the second.

        The metrics count all of them. Lines about calls keep their room in the log.
        """
        second = int(self.clock())
        if second != self.logged_second:
            self.logged_second, self.logged_lines = second, 0
        if self.logged_lines < LINES_PER_S:
            self.logged_lines += 1
            log_event(event, **fields)

    def submit(self, connection: InputConnection) -> None:
        """Parses a piece of a connection now, or in a later turn."""
        if connection.is_queued:
            return
        if self.turns or self.budget.is_used_up:
            connection.is_queued = True
            self.turns.add(connection, connection.work_s)
        else:
            self._parse(connection)
        self._schedule()

    def _parse(self, connection: InputConnection) -> None:
        begun_at = self.clock()
        size_bytes = connection.parse_next()
        elapsed_s = self.clock() - begun_at
        connection.work_s += elapsed_s
        self.budget.use(elapsed_s, size_bytes)

    def _schedule(self) -> None:
        if not self.is_scheduled:
            self.is_scheduled = True
            asyncio.get_running_loop().call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self.is_scheduled = False
        self.budget.renew()
        while not self.budget.is_used_up:
            connection = self.turns.take()
            if connection is None:
                return
            connection.is_queued = False
            self._parse(connection)
        self._schedule()
