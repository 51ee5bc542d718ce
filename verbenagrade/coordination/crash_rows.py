"""Rows that tell other gateways of crashes, and the times of the crashes."""

import msgspec

from verbenagrade.coordination.codec import decode_or_ignore, log_ignored
from verbenagrade.coordination.ports import Row
from verbenagrade.state.crash_suspects import TRIAL_NUMBERS
from verbenagrade.state.decoding import Seconds

__all__ = ["decode_crash_time", "decode_trial", "encode_crash", "split_key"]


class CrashRow(msgspec.Struct, frozen=True):
    """The value of a row of a crash: its time on the store's clock, in seconds.

    It is ``None`` in rows of builds that did not write it.
    """

    at_s: Seconds | None = None


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
    content = decode_or_ignore(row, CrashRow)
    if content is None or content.at_s is None or store_time_offset_s is None:
        return now
    return min(now, content.at_s - store_time_offset_s)


def decode_trial(key: str, text: str) -> int | None:
    """Returns the number of a trial from its row's key, ``None`` if it is none.

    The latter is logged.
    """
    if text not in TRIAL_NUMBERS:
        log_ignored(key, "no VM makes a trial of this number")
        return None
    return TRIAL_NUMBERS.index(text)


def split_key(key: str, table: str) -> list[str]:
    """Splits the key of a row of the table, without its empty partition.

    >>> split_key("fleet//suspect/5c1e07a2/i-7@1000", "fleet")
    ['suspect', '5c1e07a2', 'i-7@1000']
    """
    return key.removeprefix(f"{table}//").split("/")
