"""Recognises responses of a feed that replay outdated states of rows."""

from collections.abc import Iterable, Mapping

__all__ = ["ReplayDetector"]

ENCODING_FACTOR = 1.5
"""Size of a response over the size of the values in it, at most. Text encodings of
binary values add a third; names and versions of rows add to that."""

SMALL_RESPONSE_BYTES = 65_536
"""Size up to which a response is read whatever it contains, in bytes. It arrives
within 0.11 s on the slowest links, of 5 Mbit/s; another request takes about as long."""

PENDING_CHANGE_S = 0.3
"""Time in seconds within which a response begins if the change was made before the
request. It covers several round trips to the store in the farthest region."""

SLOW_TRANSFER_S = 0.3
"""Transfer time in seconds from which further changes during a transfer are likely.
Configurations change as often as every 0.2 to 0.3 s."""


class ReplayDetector:
    """Decides whether a feed's response is worth reading, from its size and timing.

    A feed returns every state of a row since a version, but only the newest counts.
    A response that is larger than the whole table contains outdated states, unless
    the table has grown. One that begins at once, after a slow transfer, may contain
    only the first of several changes that were made meanwhile. A read of the whole
    table returns the newest states in both cases.

    >>> detector = ReplayDetector()
    >>> detector.record_table({"a": 400_000}, transfer_s=0.1)
    >>> detector.is_replay(560_000, wait_s=0.04)
    False
    >>> detector.is_replay(1_120_000, wait_s=0.04)
    True
    """

    def __init__(self) -> None:
        self.row_bytes: dict[str, int] = {}
        self.last_transfer_s = 0.0

    def record_table(self, row_bytes: Mapping[str, int], transfer_s: float) -> None:
        """Records the sizes of all rows, in bytes, and how long they took."""
        self.row_bytes = dict(row_bytes)
        self.last_transfer_s = transfer_s

    def record_changes(
        self, row_bytes: Mapping[str, int], removed: Iterable[str], transfer_s: float
    ) -> None:
        """Records the sizes of changed rows, in bytes, and how long they took."""
        self.row_bytes.update(row_bytes)
        for key in removed:
            self.row_bytes.pop(key, None)
        self.last_transfer_s = transfer_s

    def is_replay(self, response_bytes: int, wait_s: float) -> bool:
        """Returns whether a response may contain outdated states of rows.

        ``response_bytes`` is its size, as far as known, and ``wait_s`` the time from
        the request to its beginning, in seconds.
        """
        if response_bytes <= SMALL_RESPONSE_BYTES:
            return False
        table_bytes = sum(self.row_bytes.values()) * ENCODING_FACTOR
        came_late = self.last_transfer_s >= SLOW_TRANSFER_S
        return response_bytes > table_bytes or (came_late and wait_s < PENDING_CHANGE_S)
