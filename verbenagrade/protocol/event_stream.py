"""Splits a stream of server-sent events at event boundaries.

Only complete events are passed on, so that a stream that breaks off in the
middle of an event can be resumed at another endpoint.
"""

from dataclasses import dataclass

__all__ = ["CompleteEvents", "EventSplitter"]

END_OF_EVENT = b"\n\n"
ID_FIELD = b"id:"


@dataclass(frozen=True, slots=True)
class CompleteEvents:
    """The bytes of complete events, their number, and the last event id in them."""

    data: bytes
    count: int
    last_id: str


class EventSplitter:
    """Returns complete events and keeps the start of the next in ``incomplete``.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    CompleteEvents(data=b'id: 1\\ndata: a\\n\\n', count=1, last_id='1')
    >>> splitter.incomplete
    b'id: 2\\nda'
    """

    def __init__(self) -> None:
        self.incomplete = b""

    def feed(self, data: bytes) -> CompleteEvents:
        """Adds data and returns the events that are now complete."""
        data = self.incomplete + data if self.incomplete else data
        end = data.rfind(END_OF_EVENT)
        if end < 0:
            self.incomplete = data
            return CompleteEvents(b"", 0, "")
        end += len(END_OF_EVENT)
        complete, self.incomplete = data[:end], data[end:]
        return CompleteEvents(
            complete, complete.count(END_OF_EVENT), _last_id(complete)
        )


def _last_id(data: bytes) -> str:
    """Returns the last event id in the data, empty if there is none."""
    start = data.rfind(b"\n" + ID_FIELD)
    if start >= 0:
        start += 1
    elif data.startswith(ID_FIELD):
        start = 0
    else:
        return ""
    line = data[start : data.find(b"\n", start)]
    return line[len(ID_FIELD) :].strip().decode("ascii", "replace")
