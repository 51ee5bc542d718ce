"""Splits a stream of server-sent events at event boundaries.

Only complete events are passed on, so that a stream that breaks off in the middle of an
event can be resumed at another endpoint. An endpoint that breaks off may also send
bytes that are no events, such as another response: these are not passed on either, nor
is an event that the caller already has.
"""

import re
from dataclasses import dataclass

__all__ = ["CompleteEvents", "EventCounter", "EventSplitter"]

END_OF_EVENT = b"\n\n"
COMMENTS = re.compile(rb"\n*(?::[^\n]*\n)*")
COMMENT_START = re.compile(rb"[\r\n]*(?::[^\n]*\n)*(?::[^\n]*)?")
LINES = re.compile(rb"\n*(?:[A-Za-z_-]*:[^\n]*\n)+")
ID_LINE = re.compile(rb"^id:[ \t]*([0-9]{1,18})[ \t]*$", re.MULTILINE)
"""Ids are numbers that increase from event to event, and fit into 64 bits."""

MAX_SHOWN_BYTES = 40


@dataclass(frozen=True, slots=True)
class CompleteEvents:
    """The bytes of complete events, their number, and the last event id in them.

    ``fault`` tells why the bytes after them are no event, empty if they may be one.
    Comments between events are passed on with them and not counted.
    """

    data: bytes
    count: int
    last_id: str
    fault: str = ""


class EventSplitter:
    """Returns complete events and keeps the start of the next in ``incomplete``.

    ``last_id`` is the id of the last event that the caller has, empty if there is none.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    CompleteEvents(data=b'id: 1\\ndata: a\\n\\n', count=1, last_id='1', fault='')
    >>> splitter.incomplete
    b'id: 2\\nda'
    >>> splitter.feed(b"ta: b\\n\\noops\\n\\n").fault
    "no event: b'oops\\\\n'"
    """

    def __init__(self, last_id: str = "") -> None:
        self.incomplete = b""
        self.last_id = int(last_id) if _is_number(last_id) else -1

    @property
    def inside_event(self) -> bool:
        """Whether an event has begun and is not complete."""
        return COMMENT_START.fullmatch(self.incomplete) is None

    def feed(self, data: bytes) -> CompleteEvents:
        """Adds data and returns the events that are now complete."""
        data = self.incomplete + data if self.incomplete else data
        *blocks, self.incomplete = data.split(END_OF_EVENT)
        passed: list[bytes] = []
        count, fault = 0, ""
        for block in blocks:
            counts, fault = self._check(block + b"\n")
            if fault:
                break
            count += counts
            passed.append(block + END_OF_EVENT)
        last_id = str(self.last_id) if count else ""
        return CompleteEvents(b"".join(passed), count, last_id, fault)

    def _check(self, block: bytes) -> tuple[bool, str]:
        """Returns whether the lines of a block count as an event, and their fault."""
        if COMMENTS.fullmatch(block):
            return False, ""
        ids = ID_LINE.findall(block)
        if len(ids) != 1 or not LINES.fullmatch(block):
            return False, f"no event: {block[:MAX_SHOWN_BYTES]!r}"
        number = int(ids[0])
        if number <= self.last_id:
            return False, f"event {number} after event {self.last_id}"
        self.last_id = number
        return True, ""


class EventCounter:
    """Counts the ends of events and keeps none of their bytes.

    >>> counter = EventCounter()
    >>> counter.feed(b"id: 1\\ndata: a\\n")
    >>> counter.feed(b"\\nid: 2\\n")
    >>> counter.count
    1
    """

    def __init__(self) -> None:
        self.count = 0
        self.last_byte = b""

    def feed(self, data: bytes) -> None:
        """Adds data."""
        data = self.last_byte + data
        self.count += data.count(END_OF_EVENT)
        self.last_byte = b"" if data.endswith(END_OF_EVENT) else data[-1:]


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) <= 18
