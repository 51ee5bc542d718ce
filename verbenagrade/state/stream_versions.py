"""The software versions at which streams began, and which version stands for none.

What two versions of an endpoint's software write does not fit together, so a stream may
go on only at the version that began it. One version of each service is its default: a
stream of which no record says otherwise began at it. Only the store can tell that there
is no record: what a VM has not heard of is no proof.
"""

from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum

from verbenagrade.state.decoding import Count
from verbenagrade.state.directory import EndpointEntry

__all__ = [
    "MAX_ENDPOINTS_AGE_S",
    "BegunStream",
    "BegunStreams",
    "DefaultVersion",
    "HeardDefaults",
    "Knowledge",
    "RecordNeed",
    "RowLoss",
    "StreamOrigin",
    "StreamRecord",
    "find_origin",
    "most_common_version",
    "record_need",
]

MAX_BEGUN_STREAMS = 20_000
"""Largest number of streams whose versions a VM remembers, about 300 bytes each."""

MAX_ENDPOINTS_AGE_S = 1.0
"""Age of the known endpoints, in seconds, above which they prove nothing. While the
store responds, they are some 0.3 s old at most."""

MAX_DEFAULTS_AGE_FRACTION = 0.5
"""Age of a known default above which it proves nothing, as a fraction of the longest
time in which callers take streams up. That is twice the longest timeout of a route, so
that a default which replaced it later is not settled when callers come back."""


class RecordNeed(Enum):
    """Whether the version of a stream has to be recorded before its first event.

    ``OPTIONAL``: without a record, the stream can't go on elsewhere for some time, but
    as far as the VM can know, neither can it go on at a wrong version.
    """

    NONE = "none"
    OPTIONAL = "optional"
    REQUIRED = "required"


@dataclass(frozen=True, slots=True)
class DefaultVersion:
    """The version of streams without a record, since a time in seconds.

    ``confirmed_at`` is when all VMs knew it, in seconds, ``None`` if some may not. A VM
    that does not know it may begin streams at the one before, without a record.
    """

    version: str
    since: float
    confirmed_at: float | None

    def is_settled(self, now: float, stream_life_s: float) -> bool:
        """Returns whether no stream that began at an earlier default can still go on.

        ``stream_life_s`` is the longest time in which callers take a stream up.

        >>> DefaultVersion("v1", 0.0, confirmed_at=5.0).is_settled(30.0, 24.0)
        True
        >>> DefaultVersion("v1", 0.0, confirmed_at=None).is_settled(900.0, 24.0)
        False
        """
        confirmed_at = self.confirmed_at
        return confirmed_at is not None and now - confirmed_at >= stream_life_s


@dataclass(frozen=True, slots=True)
class HeardDefaults:
    """Up to which version of the fleet's table, in an era, a VM knows the defaults."""

    era: Count
    version: Count

    def covers(self, era: int, version: int) -> bool:
        """Returns whether the VM knows what a row had at a version in an era.

        >>> HeardDefaults(era=1, version=7).covers(era=1, version=7)
        True
        >>> HeardDefaults(era=1, version=9).covers(era=2, version=7)
        False
        """
        return self.era == era and self.version >= version


@dataclass(frozen=True, slots=True)
class Knowledge:
    """What a VM knows of a service when a stream begins.

    ``default`` is ``None`` if no default is known. ``defaults_age_s`` is how long ago
    the feed of the defaults brought a response, in seconds, infinite if it never did.
    ``ready_versions`` are those of the endpoints that take new calls, of which changes
    may have been missed for ``endpoints_age_s``. ``store_away`` tells that the store
    takes no records now. ``vm_listed`` tells that the other VMs know of this one, so
    that they wait for it before a default that replaces this one counts.
    """

    default: DefaultVersion | None
    defaults_age_s: float
    ready_versions: frozenset[str]
    endpoints_age_s: float
    store_away: bool = False
    vm_listed: bool = True


def record_need(
    known: Knowledge, version: str, now: float, stream_life_s: float
) -> RecordNeed:
    """Returns whether a stream that begins at a version has to be recorded.

    ``stream_life_s`` is the longest time in which callers take a stream up.

    >>> default = DefaultVersion("v1", since=0.0, confirmed_at=0.0)
    >>> both = Knowledge(default, 0.0, frozenset({"v1", "v2"}), endpoints_age_s=0.0)
    >>> record_need(both, "v1", now=60.0, stream_life_s=24.0)
    <RecordNeed.NONE: 'none'>
    >>> record_need(both, "v2", now=60.0, stream_life_s=24.0)
    <RecordNeed.REQUIRED: 'required'>
    >>> new = Knowledge(default, 0.0, frozenset({"v2"}), endpoints_age_s=0.0)
    >>> record_need(new, "v2", now=60.0, stream_life_s=24.0)
    <RecordNeed.OPTIONAL: 'optional'>
    >>> outdated = Knowledge(default, 0.0, frozenset({"v2"}), endpoints_age_s=5.0)
    >>> record_need(outdated, "v2", now=60.0, stream_life_s=24.0)
    <RecordNeed.REQUIRED: 'required'>
    """
    default = known.default
    heard = known.defaults_age_s <= MAX_DEFAULTS_AGE_FRACTION * stream_life_s
    if default is None:
        alone = heard and len(known.ready_versions) == 1
        return RecordNeed.OPTIONAL if alone else RecordNeed.REQUIRED
    if version == default.version:
        settled = known.vm_listed and default.is_settled(now, stream_life_s)
        certain = settled and (heard or known.store_away)
        return RecordNeed.NONE if certain else RecordNeed.OPTIONAL
    gone = default.version not in known.ready_versions
    in_touch = known.endpoints_age_s <= MAX_ENDPOINTS_AGE_S and not known.store_away
    return RecordNeed.OPTIONAL if gone and in_touch else RecordNeed.REQUIRED


@dataclass(frozen=True, slots=True)
class RowLoss:
    """The last time at which the store may have lost rows, in seconds.

    ``at`` is ``None`` if it can't have lost any. ``era`` is the era of the store since
    then.
    """

    era: int
    at: float | None

    def may_concern(self, now: float, stream_life_s: float) -> bool:
        """Returns whether rows of a stream may be lost that a caller takes up now.

        ``stream_life_s`` is the longest time in which callers take a stream up.

        >>> RowLoss(era=2, at=50.0).may_concern(60.0, stream_life_s=24.0)
        True
        >>> RowLoss(era=1, at=None).may_concern(60.0, stream_life_s=24.0)
        False
        """
        return self.at is not None and now - self.at < stream_life_s


@dataclass(frozen=True, slots=True)
class StreamRecord:
    """The version recorded for a stream, by the last attempt that has a row.

    ``era`` is that of the store when it was written, ``None`` if the row doesn't tell.
    """

    version: str
    number: int
    era: int | None


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The version at which a stream began, ``None`` if it is not known, and why.

    ``number`` is that of the attempt whose record tells the version, 0 if none does,
    and ``recorded_in`` the era of the record.
    """

    version: str | None
    reason: str
    number: int = 0
    recorded_in: int | None = None


def find_origin(
    record: StreamRecord | None,
    default: DefaultVersion | None,
    asked_at: float,
    stream_life_s: float,
    loss: RowLoss,
) -> StreamOrigin:
    """Returns where a stream began, from what the store says.

    ``record`` and ``default`` are what the store had after ``asked_at``, the time at
    which the caller took the stream up. A record from before a loss of rows may be that
    of an earlier attempt, whose successor's record is lost.

    >>> default, no_loss = DefaultVersion("v1", 0.0, 0.0), RowLoss(1, None)
    >>> find_origin(None, default, 60.0, 24.0, no_loss)
    StreamOrigin(version='v1', reason='default', number=0, recorded_in=None)
    >>> find_origin(StreamRecord("v2", 1, era=1), default, 60.0, 24.0, no_loss)
    StreamOrigin(version='v2', reason='recorded', number=1, recorded_in=1)
    >>> find_origin(None, default, 10.0, 24.0, no_loss).version is None
    True
    >>> find_origin(None, default, 60.0, 24.0, RowLoss(2, at=50.0)).version is None
    True
    """
    lost = loss.may_concern(asked_at, stream_life_s)
    if record is not None and (record.era == loss.era or not lost):
        return StreamOrigin(record.version, "recorded", record.number, record.era)
    if lost:
        return StreamOrigin(None, "the store may have lost its record")
    if default is None:
        return StreamOrigin(None, "the store has no default that can be read")
    if default.confirmed_at is None:
        return StreamOrigin(None, "some VM may not know the default yet")
    if not default.is_settled(asked_at, stream_life_s):
        return StreamOrigin(None, "the default changed a short time ago")
    return StreamOrigin(default.version, "default")


def most_common_version(entries: Iterable[EndpointEntry]) -> str | None:
    """Returns the version of most endpoints, ``None`` if there are none."""
    counts = Counter(entry.software_version for entry in entries)
    return max(counts, key=lambda version: (counts[version], version), default=None)


@dataclass(frozen=True, slots=True)
class BegunStream:
    """A stream of which this VM knows at which version it began.

    ``number`` is that of the attempt that began it, for its record. ``at`` is when this
    VM learned of it, in seconds. ``recorded_in`` is the era in which the store took its
    record, ``None`` if it has none. A ``complete`` stream is not taken up any more.
    """

    service: str
    version: str
    number: int
    at: float
    recorded_in: int | None = None
    complete: bool = False


class BegunStreams:
    """The streams that this VM has served, by the call that began them."""

    def __init__(self) -> None:
        self.streams: OrderedDict[str, BegunStream] = OrderedDict()

    def record(self, call_id: str, stream: BegunStream) -> None:
        """Records a stream; the oldest one may be forgotten."""
        self.streams[call_id] = stream
        self.streams.move_to_end(call_id)
        if len(self.streams) > MAX_BEGUN_STREAMS:
            self.streams.popitem(last=False)

    def find(self, call_id: str) -> str | None:
        """Returns the version of a stream, ``None`` if it is not known."""
        stream = self.streams.get(call_id)
        return stream.version if stream is not None else None

    def end(self, call_id: str) -> None:
        """Records that the caller of a stream has got all of it."""
        if call_id in self.streams:
            self.streams[call_id] = replace(self.streams[call_id], complete=True)

    def record_written(self, call_id: str, era: int) -> None:
        """Records that the store took the record of a stream in an era."""
        if call_id in self.streams:
            self.streams[call_id] = replace(self.streams[call_id], recorded_in=era)

    def unrecorded(self, era: int, oldest_at: float) -> dict[str, BegunStream]:
        """Returns the streams without a record of an era that may be taken up.

        Those from before ``oldest_at``, a time in seconds, are left out.

        >>> begun = BegunStreams()
        >>> begun.record("a", BegunStream("pool", "v1", 1, at=50.0, recorded_in=1))
        >>> list(begun.unrecorded(era=1, oldest_at=40.0))
        []
        >>> list(begun.unrecorded(era=2, oldest_at=40.0))
        ['a']
        """
        found: dict[str, BegunStream] = {}
        for call_id, stream in reversed(self.streams.items()):
            if stream.at < oldest_at:
                break
            if stream.recorded_in != era and not stream.complete:
                found[call_id] = stream
        return found
