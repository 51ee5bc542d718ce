"""Decides whose received bytes are parsed next, and how many in a turn.

Parsing costs time and memory that the bytes don't show: a body in chunks of a byte
costs a hundred times what it costs in one piece. Bytes are parsed in small pieces. When
there is more than fits into one turn of the event loop, connections wait, and the one
that has had the least work since its request began goes first.

>>> turns = InputTurns()
>>> turns.add("heavy", 0.5)
>>> turns.add("light", 0.01)
>>> turns.take(), turns.take(), turns.take()
('light', 'heavy', None)
"""

import heapq
import itertools
from typing import Generic, TypeVar

__all__ = ["InputTurns", "TurnBudget"]

Connection = TypeVar("Connection")


class InputTurns(Generic[Connection]):
    """The connections that wait for their bytes to be parsed, the least work first."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Connection]] = []
        self.numbers = itertools.count()

    def __len__(self) -> int:
        return len(self.heap)

    def add(self, connection: Connection, work_s: float) -> None:
        """Lets a connection wait that has had so many seconds of work."""
        heapq.heappush(self.heap, (work_s, next(self.numbers), connection))

    def take(self) -> Connection | None:
        """Removes and returns the next connection, ``None`` if none waits."""
        return heapq.heappop(self.heap)[2] if self.heap else None


class TurnBudget:
    """The time in seconds, and the memory in bytes, left for parsing in a turn."""

    def __init__(self, turn_s: float, turn_bytes: int) -> None:
        self.turn_s = turn_s
        self.turn_bytes = turn_bytes
        self.used_s = 0.0
        self.used_bytes = 0

    @property
    def is_used_up(self) -> bool:
        """Whether the rest has to wait for the next turn."""
        return self.used_s >= self.turn_s or self.used_bytes >= self.turn_bytes

    def use(self, seconds: float, size_bytes: int) -> None:
        """Counts what the bytes of one connection took."""
        self.used_s += seconds
        self.used_bytes += size_bytes

    def renew(self) -> None:
        """Begins the next turn."""
        self.used_s = 0.0
        self.used_bytes = 0
