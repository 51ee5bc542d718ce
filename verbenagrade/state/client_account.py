"""Counts what clients make a process hold, and chooses which connections give way.

A process has one account for all its listeners. Each connection counts with the memory
that it needs at least, and with what it holds beyond: bytes that were received and not
parsed yet, the head and the body of a request, and a response that its client has not
taken. Each listener has limits of its own, so that the clients of one leave room for
those of the others.

At a limit, connections whose client is expected to send or to take something give way:
first those that hold much and have made no progress for long. Connections whose request
is being served stay.

>>> account = ClientAccount({"callers": ListenerLimits(1, 1_000_000, 20_000)})
>>> given_up = []
>>> old = ClientRecord("callers", 0.0, given_up.append)
>>> new = ClientRecord("callers", 5.0, lambda reason: None)
>>> account.open(old, 0.0), account.open(new, 5.0)
(True, True)
>>> given_up
[<GiveUpReason.CONNECTIONS: 'connections'>]
"""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum

__all__ = [
    "Activity",
    "ClientAccount",
    "ClientRecord",
    "GiveUpReason",
    "ListenerLimits",
]

STALLED_S = 2.0
"""Time in seconds after which a client that takes nothing of a response may have to
give way."""

MIN_AGE_S = 0.1
"""Time without progress, in seconds, with which each connection counts at least when
the largest holders are compared."""

SPARE_FRACTION = 0.5
"""Fraction of the memory that may be held for what may also be done without."""

FREED_FRACTION = 0.1
"""Fraction of the memory that is freed at once when it is used up, so that the search
for connections that give way is rare."""


class Activity(Enum):
    """What a connection is doing.

    ``RECEIVING_CALL`` is for the body of a request that counts as one in flight,
    ``RECEIVING`` for a head or the rest of a refused body.
    """

    IDLE = "idle"
    RECEIVING = "receiving"
    RECEIVING_CALL = "receiving_call"
    SERVED = "served"
    UNREAD = "unread"
    LEAVING = "leaving"


WAITING = (Activity.IDLE, Activity.RECEIVING, Activity.RECEIVING_CALL)
"""What connections do whose client is expected to send something."""

IN_FLIGHT = (Activity.RECEIVING_CALL, Activity.UNREAD)
"""What connections do that have a request in flight and may give way."""


class GiveUpReason(Enum):
    """Why a connection is closed, or its request refused."""

    CONNECTIONS = "connections"
    MEMORY = "memory"
    CALLS = "calls"
    HEAD_SIZE = "head_size"
    HEAD_TIMEOUT = "head_timeout"
    BODY_OVERHEAD = "body_overhead"
    UNREAD = "unread"


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """What the connections of one listener may hold.

    ``memory_bytes`` is for all of them together, and ``connection_bytes`` is what each
    needs at least.
    """

    connections: int
    memory_bytes: int
    connection_bytes: int


class ClientRecord:
    """What one connection holds, in bytes, and since when it makes no progress.

    ``give_up`` closes the connection, or refuses the request that it receives.
    ``served`` is set once a request of it was served.
    """

    __slots__ = (
        "activity",
        "give_up",
        "held_bytes",
        "listener",
        "progress_at",
        "served",
    )

    def __init__(
        self, listener: str, now: float, give_up: Callable[[GiveUpReason], None]
    ) -> None:
        self.listener = listener
        self.give_up = give_up
        self.progress_at = now
        self.activity = Activity.IDLE
        self.held_bytes = 0
        self.served = False

    def may_give_way(self, now: float) -> bool:
        """Returns whether the next step is the client's."""
        if self.activity is Activity.UNREAD:
            return now - self.progress_at >= STALLED_S
        return self.activity in WAITING

    def weight(self, now: float) -> float:
        """Returns the memory held times the time without progress."""
        return self.held_bytes * max(MIN_AGE_S, now - self.progress_at)


class ListenerAccount:
    """The connections of one listener, and the sum of what they hold.

    ``waiting`` are those that close first if there are too many, each group ordered by
    the time without progress: those that were given up and still close, those whose
    client is expected to send something and has had no request served, and the others
    whose client is expected to.
    """

    def __init__(self, limits: ListenerLimits) -> None:
        self.limits = limits
        self.records: dict[ClientRecord, None] = {}
        self.waiting: tuple[dict[ClientRecord, None], ...] = ({}, {}, {})
        self.held_bytes = 0

    def add(self, record: ClientRecord) -> None:
        """Counts a connection."""
        self.records[record] = None
        self.set_held(record, 0)
        self.place(record)

    def remove(self, record: ClientRecord) -> None:
        """Counts a connection no more."""
        if record in self.records:
            del self.records[record]
            self.take_out(record)
            self.held_bytes -= record.held_bytes

    def set_held(self, record: ClientRecord, beyond_bytes: int) -> None:
        """Sets what a connection holds beyond what it needs at least."""
        held_bytes = self.limits.connection_bytes + beyond_bytes
        self.held_bytes += held_bytes - record.held_bytes
        record.held_bytes = held_bytes

    def take_out(self, record: ClientRecord) -> None:
        """Removes a connection from those whose client is expected to send."""
        for waiting in self.waiting:
            waiting.pop(record, None)

    def place(self, record: ClientRecord) -> None:
        """Puts a connection in its place among those that wait, as the last one."""
        self.take_out(record)
        if record.activity is Activity.LEAVING:
            self.waiting[0][record] = None
        elif record.activity in WAITING:
            self.waiting[2 if record.served else 1][record] = None

    def candidates(self, now: float) -> Iterator[ClientRecord]:
        """Yields the connections that may give way, the heaviest first."""
        found = [record for record in self.records if record.may_give_way(now)]
        found.sort(key=lambda record: record.weight(now), reverse=True)
        return iter(found)


class ClientAccount:
    """The connections of all clients of a process, by listener.

    All times are in seconds, on one clock. A connection that is given up counts with
    what it needs at least until it has closed.
    """

    def __init__(self, limits: Mapping[str, ListenerLimits]) -> None:
        self.listeners = {name: ListenerAccount(own) for name, own in limits.items()}
        self.given_up: dict[tuple[str, GiveUpReason], int] = {}

    @property
    def held_bytes(self) -> int:
        """What all connections hold."""
        return sum(own.held_bytes for own in self.listeners.values())

    def connections(self, listener: str) -> int:
        """Returns the number of connections of a listener."""
        return len(self.listeners[listener].records)

    def open(self, record: ClientRecord, now: float) -> bool:
        """Counts a new connection, for which others may have to give way.

        Returns false if none can; the new connection is then to be closed unread.
        """
        own = self.listeners[record.listener]
        while len(own.records) >= own.limits.connections:
            oldest = self._longest_waiting(own, now)
            if oldest is None:
                self.count(record.listener, GiveUpReason.CONNECTIONS)
                return False
            self._give_up(oldest, GiveUpReason.CONNECTIONS)
        own.add(record)
        if self._make_room(own, record, now):
            return True
        own.remove(record)
        self.count(record.listener, GiveUpReason.MEMORY)
        return False

    def hold(self, record: ClientRecord, beyond_bytes: int, now: float) -> bool:
        """Sets what a connection holds beyond what it needs at least.

        If all hold too much, others give way. Returns false if they hold too little, or
        the connection itself weighs most; it must not go on then, even if it holds no
        more than before: ``note`` counts what has arrived without asking.
        """
        own = self.listeners[record.listener]
        if record not in own.records or record.activity is Activity.LEAVING:
            return False
        known_bytes = record.held_bytes - own.limits.connection_bytes
        own.set_held(record, beyond_bytes)
        if self._make_room(own, record, now):
            return True
        own.set_held(record, min(known_bytes, beyond_bytes))
        return False

    def note(self, record: ClientRecord, beyond_bytes: int, now: float) -> None:
        """Sets what a connection holds whether there is room or not.

        If that is too much for all, others give way.
        """
        own = self.listeners[record.listener]
        if record in own.records and record.activity is not Activity.LEAVING:
            own.set_held(record, beyond_bytes)
            self._make_room(own, record, now)

    def has_spare(self, listener: str, size_bytes: int) -> bool:
        """Returns whether there is room for what may also be done without.

        That is as long as half of the memory is left.
        """
        own = self.listeners[listener]
        return own.held_bytes + size_bytes <= own.limits.memory_bytes * SPARE_FRACTION

    def progress(self, record: ClientRecord, activity: Activity, now: float) -> None:
        """Records that a connection has made progress, and what it does now."""
        if record.activity is Activity.LEAVING:
            return
        record.activity = activity
        record.progress_at = now
        record.served = record.served or activity is Activity.SERVED
        own = self.listeners[record.listener]
        if record in own.records:
            own.place(record)

    def close(self, record: ClientRecord) -> None:
        """Counts a connection no more, which has closed."""
        self.listeners[record.listener].remove(record)

    def make_way_for_call(self, listener: str, now: float) -> bool:
        """Gives one call up whose client sends or takes nothing; false without one."""
        for record in self.listeners[listener].candidates(now):
            if record.activity in IN_FLIGHT:
                self._give_up(record, GiveUpReason.CALLS)
                return True
        return False

    def count(self, listener: str, reason: GiveUpReason) -> None:
        """Counts a connection that was given up."""
        key = (listener, reason)
        self.given_up[key] = self.given_up.get(key, 0) + 1

    def _make_room(self, own: ListenerAccount, grown: ClientRecord, now: float) -> bool:
        """Gives connections up until the limit on memory holds."""
        limit_bytes = own.limits.memory_bytes
        if own.held_bytes <= limit_bytes:
            return True
        target_bytes = limit_bytes * (1 - FREED_FRACTION)
        for record in own.candidates(now):
            if record is grown:
                break
            self._give_up(record, GiveUpReason.MEMORY)
            if own.held_bytes <= target_bytes:
                break
        return own.held_bytes <= limit_bytes

    def _longest_waiting(self, own: ListenerAccount, now: float) -> ClientRecord | None:
        for waiting in own.waiting:
            if waiting:
                return next(iter(waiting))
        return next(own.candidates(now), None)

    def leave(self, record: ClientRecord, reason: GiveUpReason) -> None:
        """Counts a connection as given up; it closes as soon as that is possible."""
        own = self.listeners[record.listener]
        self.count(record.listener, reason)
        if record not in own.records:
            return
        if reason is GiveUpReason.CONNECTIONS:
            own.remove(record)
            return
        record.activity = Activity.LEAVING
        own.set_held(record, 0)
        own.place(record)

    def _give_up(self, record: ClientRecord, reason: GiveUpReason) -> None:
        self.leave(record, reason)
        record.give_up(reason)
