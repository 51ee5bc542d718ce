"""A log stream that never blocks and limits the rate of lines."""

import os
import time
from collections.abc import Callable

__all__ = ["RateLimitedStream"]


class RateLimitedStream:
    """Writes lines to a file descriptor, at most ``lines_per_s`` on average.

    The rate is limited by a token bucket that holds the lines of one second. A line
    that exceeds the rate, or that the descriptor does not accept at once, is dropped
    and counted. Before the next written line, ``format_summary`` formats the count as
    a line of its own.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_s: float,
        format_summary: Callable[[int], str],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.lines_per_s = lines_per_s
        self.format_summary = format_summary
        self.clock = clock
        self.tokens = lines_per_s
        self.refilled_at = clock()
        self.dropped_lines = 0
        self.remainder = b""

    def write(self, text: str) -> None:
        """Writes a line, or drops and counts it."""
        if not self._take_token():
            self.dropped_lines += 1
            return
        if self.dropped_lines:
            text = self.format_summary(self.dropped_lines) + "\n" + text
        if self._write_bytes(text.encode()):
            self.dropped_lines = 0
        else:
            self.dropped_lines += 1

    def flush(self) -> None:
        """Does nothing, as each line is written or dropped at once."""

    def _take_token(self) -> bool:
        now = self.clock()
        refill = (now - self.refilled_at) * self.lines_per_s
        self.refilled_at = now
        self.tokens = min(self.lines_per_s, self.tokens + refill) - 1.0
        if self.tokens < 0:
            self.tokens += 1.0
            return False
        return True

    def _write_bytes(self, data: bytes) -> bool:
        """Writes a line without blocking; returns false if it has to be dropped.

        If the descriptor accepts only the first part of a line, the remainder is
        written before the next line.
        """
        try:
            if self.remainder:
                self.remainder = self.remainder[
                    os.write(self.descriptor, self.remainder) :
                ]
            if self.remainder:
                return False
            self.remainder = data[os.write(self.descriptor, data) :]
        except OSError:
            # A full or closed pipe must not stop the process.
            return False
        return True
