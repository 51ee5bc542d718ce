"""The endpoints that registered themselves, and which of them may get calls.

An entry is removed from the store when its endpoint leaves, but also when it
expires during an outage of the store. In the latter case, the endpoint registers
again within ``REREGISTRATION_S`` after the outage. An endpoint whose entry is
missing is therefore kept for some time, and used if its service has no other one.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace

__all__ = ["DirectoryChange", "EndpointDirectory", "EndpointEntry"]

MAX_ENDED = 4_096
"""Largest number of ended incarnations remembered, one for each name."""

REREGISTRATION_S = 2.0
"""Time after an outage of the store within which running endpoints register again,
in seconds. The platform guarantees this time."""


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """The entry with which an endpoint registers itself.

    ``slots`` is the number of calls that it can run at once. ``started_ms`` is its
    start in milliseconds of Unix time, which differs between its incarnations.
    ``software_version`` is the version of its software, empty if the entry has none.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool = False
    started_ms: int = 0
    software_version: str = ""

    @property
    def incarnation(self) -> str:
        """The name of this start of the endpoint."""
        return f"{self.name}@{self.started_ms}"


@dataclass(frozen=True, slots=True)
class DirectoryChange:
    """The names of endpoints whose previous incarnation has ended."""

    ended: tuple[str, ...]


class EndpointDirectory:
    """The endpoints of every service.

    An endpoint whose entry is missing is kept for ``hold_s`` seconds, at most
    ``REREGISTRATION_S``, or until ``REREGISTRATION_S`` after an outage if that is
    later.
    """

    def __init__(self, hold_s: float) -> None:
        self.hold_s = min(hold_s, REREGISTRATION_S)
        self.entries: dict[str, EndpointEntry] = {}
        self.missing_until: dict[str, float] = {}
        self.outage_ended = float("-inf")
        self.ended_starts_ms: dict[str, int] = {}
        self.left_incarnations: OrderedDict[str, None] = OrderedDict()

    def record_leaving(self, incarnation: str) -> bool:
        """Records that an incarnation said itself that it leaves, for good.

        Its entry may not say so. Returns whether this was not known.
        """
        known = incarnation in self.left_incarnations
        self.left_incarnations[incarnation] = None
        if len(self.left_incarnations) > MAX_ENDED:
            self.left_incarnations.popitem(last=False)
        entry = self.entries.get(incarnation.rpartition("@")[0])
        if entry is not None and entry.incarnation == incarnation:
            self.entries[entry.name] = replace(entry, leaving=True)
        return not known

    def put(self, entry: EndpointEntry) -> DirectoryChange:
        """Adds or replaces an endpoint's entry.

        The result names the endpoint if its incarnation has changed.
        """
        if entry.incarnation in self.left_incarnations:
            entry = replace(entry, leaving=True)
        previous = self.entries.get(entry.name)
        self.entries[entry.name] = entry
        self.missing_until.pop(entry.name, None)
        replaced = previous is not None and previous.started_ms != entry.started_ms
        return DirectoryChange((entry.name,) if replaced else ())

    def has(self, incarnation: str) -> bool:
        """Returns whether an endpoint incarnation is listed or may be again."""
        entry = self.entries.get(incarnation.rpartition("@")[0])
        return entry is not None and entry.incarnation == incarnation

    def has_restarted(self, entry: EndpointEntry) -> bool:
        """Returns whether the entries show that an incarnation has ended.

        Its endpoint has started again, or another one has at its address.
        """
        return any(
            other.started_ms > entry.started_ms
            and (other.name == entry.name or other.address == entry.address)
            for other in self.entries.values()
        )

    def is_missing(self, entry: EndpointEntry) -> bool:
        """Returns whether the entry of an incarnation is gone, perhaps for a while."""
        return entry.name in self.missing_until or not self.has(entry.incarnation)

    def remove(self, name: str, now: float) -> None:
        """Records that an endpoint's entry was removed at ``now``, in seconds.

        ``expire`` drops an endpoint that was leaving at once, any other after its
        time to register again.
        """
        entry = self.entries.get(name)
        if entry is None or name in self.missing_until:
            return
        due = max(now + self.hold_s, self.outage_ended + REREGISTRATION_S)
        self.missing_until[name] = now if entry.leaving else due

    def replace(self, entries: Iterable[EndpointEntry], now: float) -> DirectoryChange:
        """Applies a complete list, for example if changes were missed.

        Endpoints that are not listed are treated as in ``remove``.
        """
        listed = {entry.name: entry for entry in entries}
        ended: list[str] = []
        for entry in listed.values():
            ended.extend(self.put(entry).ended)
        for name in [name for name in self.entries if name not in listed]:
            self.remove(name, now)
        return DirectoryChange(tuple(ended))

    def restore(self, entries: Iterable[EndpointEntry], now: float) -> DirectoryChange:
        """Applies a complete list of a store that came back from an older copy.

        What is known to be newer stays: an incarnation that was leaving goes on
        leaving, and one that has ended is not listed again. Both change only when
        the endpoint writes its entry once more.
        """
        return self.replace(filter(None, map(self._newest_known, entries)), now)

    def _newest_known(self, entry: EndpointEntry) -> EndpointEntry | None:
        known = self.entries.get(entry.name)
        if known is None:
            ended = self.ended_starts_ms.get(entry.name) == entry.started_ms
            return None if ended else entry
        same_incarnation = known.started_ms == entry.started_ms
        return known if same_incarnation and known.leaving else entry

    def store_returned(self, now: float) -> None:
        """Records that the store is available again after an outage."""
        self.outage_ended = now

    def expire(self, now: float) -> DirectoryChange:
        """Drops the endpoints that did not register again in time."""
        due = [name for name, until in self.missing_until.items() if until <= now]
        return self._drop(due)

    def all(self, service: str) -> tuple[EndpointEntry, ...]:
        """Returns the known endpoints of a service, leaving and missing ones too."""
        return tuple(e for e in self.entries.values() if e.service == service)

    def usable(self) -> list[EndpointEntry]:
        """Returns the endpoints of all services that are not leaving."""
        return [entry for entry in self.entries.values() if not entry.leaving]

    def ready(self, service: str) -> tuple[EndpointEntry, ...]:
        """Returns the endpoints of a service that take new calls.

        Endpoints whose entry is missing are returned only if there are no others.
        """
        entries = [
            entry
            for entry in self.entries.values()
            if entry.service == service and not entry.leaving
        ]
        present = [entry for entry in entries if entry.name not in self.missing_until]
        return tuple(present or entries)

    def _drop(self, names: Iterable[str]) -> DirectoryChange:
        dropped = tuple(names)
        for name in dropped:
            entry = self.entries.pop(name, None)
            if entry is not None:
                self.ended_starts_ms.pop(name, None)
                self.ended_starts_ms[name] = entry.started_ms
        while len(self.ended_starts_ms) > MAX_ENDED:
            self.ended_starts_ms.pop(next(iter(self.ended_starts_ms)))
        for name in dropped:
            self.missing_until.pop(name, None)
        return DirectoryChange(dropped)
