"""Rows that tell other gateways of crashes, and the times of the crashes."""

import msgspec

from verbenagrade.coordination.ports import Row
from verbenagrade.events import Event, log_event

__all__ = ["decode_crash_time", "encode_crash", "split_key"]


class CrashRow(msgspec.Struct, frozen=True):
    """The value of a row of a crash: its time on the store's clock, in seconds.

    It is ``None`` in rows of builds that did not write it.
    """

    at_s: float | None = None


def encode_crash(at: float | None, store_time_offset_s: float | None) -> bytes:
    """Returns the value of the row of a crash.

    ``at`` is in seconds on the clock of this process, and ``store_time_offset_s`` what
    has to be added for the store's; either may be unknown.
    """
    if at is None or store_time_offset_s is None:
        return msgspec.json.encode(CrashRow())
    return msgspec.json.encode(CrashRow(at + store_time_offset_s))


def decode_crash_time(row: Row, store_time_offset_s: float | None, now: float) -> float:
    """Returns the time of a crash on the clock of this process, in seconds.

    A crash whose time is not known counts as one that happened ``now``.
    """
    try:
        at_s = msgspec.json.decode(row.value, type=CrashRow).at_s
    except msgspec.DecodeError as error:
        log_event(Event.ENTRY_IGNORED, endpoint=row.key, reason=str(error))
        at_s = None
    if at_s is None or store_time_offset_s is None:
        return now
    return min(now, at_s - store_time_offset_s)


def split_key(key: str, table: str) -> list[str]:
    """Splits the key of a row of the table, without its empty partition.

    >>> split_key("fleet//suspect/5c1e07a2/i-7@1000", "fleet")
    ['suspect', '5c1e07a2', 'i-7@1000']
    """
    return key.removeprefix(f"{table}//").split("/")
