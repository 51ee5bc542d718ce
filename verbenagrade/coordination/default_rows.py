"""The rows ``software/SERVICE`` of the fleet's table, which tell default versions."""

from dataclasses import dataclass

import msgspec

from verbenagrade.coordination.crash_rows import split_key
from verbenagrade.coordination.gateway_fleet import FLEET_TABLE
from verbenagrade.state.decoding import Seconds
from verbenagrade.state.stream_versions import DefaultVersion

__all__ = [
    "DefaultRow",
    "DefaultUpdate",
    "LocalTimes",
    "decode_default",
    "default_key",
    "encode_default",
    "service_of",
]


class DefaultRow(msgspec.Struct, frozen=True):
    """A default version, and since when it is one on the store's clock, in seconds.

    ``confirmed_s`` is since when all VMs know it, ``None`` if some may not. Builds that
    don't wait for other VMs leave it out.
    """

    version: str
    since_s: Seconds
    confirmed_s: Seconds | msgspec.UnsetType | None = msgspec.UNSET


@dataclass(frozen=True, slots=True)
class DefaultUpdate:
    """A default whose row has to be written, and the reason for it."""

    default: DefaultVersion
    reason: str


@dataclass(frozen=True, slots=True)
class LocalTimes:
    """The time on a VM's clock, and how the store's clock differs, in seconds.

    ``offset_s`` is ``None`` if the store's time is not known yet. ``heard_at`` is when
    the VM last heard of the defaults.
    """

    now: float
    offset_s: float | None
    heard_at: float

    def local(self, store_s: float) -> float:
        """Returns a past time of the store's clock on the VM's clock."""
        if self.offset_s is None:
            return self.now
        return min(self.now, store_s - self.offset_s)


def default_key(service: str) -> str:
    """Returns the key of the row of a service."""
    return f"{FLEET_TABLE}//software/{service}"


def service_of(key: str) -> str:
    """Returns the service whose default the row of a key has, empty if none."""
    kind, *names = split_key(key, FLEET_TABLE)
    return "/".join(names) if kind == "software" else ""


def encode_default(default: DefaultVersion, offset_s: float) -> bytes:
    """Returns the value of the row of a default."""
    confirmed_at = default.confirmed_at
    confirmed_s = None if confirmed_at is None else confirmed_at + offset_s
    row = DefaultRow(default.version, default.since + offset_s, confirmed_s)
    return msgspec.json.encode(row)


def decode_default(
    row: DefaultRow, known: DefaultVersion | None, times: LocalTimes
) -> DefaultVersion:
    """Returns the default of a row, where ``known`` is the one known before.

    The clock of the VM that wrote the row may have gone behind. What this VM did not
    know when it last heard of the defaults is therefore dated no earlier than that.
    """
    since = times.local(row.since_s)
    same = known is not None and known.version == row.version
    if known is not None and not same and times.offset_s is not None:
        since = max(since, times.heard_at)
    if row.confirmed_s is msgspec.UNSET:
        return DefaultVersion(row.version, since, confirmed_at=since)
    if row.confirmed_s is None:
        return DefaultVersion(row.version, since, confirmed_at=None)
    confirmed_at = times.local(row.confirmed_s)
    if known is not None and not (same and known.confirmed_at is not None):
        confirmed_at = max(confirmed_at, times.heard_at)
    return DefaultVersion(row.version, since, confirmed_at)
