"""Ends the wait of one call if it can't end any more before its process stops."""

import asyncio
from collections.abc import Callable
from math import inf

__all__ = ["LatestStart", "SendLimit"]

LatestStart = Callable[[float], float]
"""Returns the last time at which a call may be sent if the process ends at a time, both
in seconds on the clock of the process."""


class SendLimit:
    """The time until which a call may wait for its body, its budget or an endpoint.

    ``latest_start`` is set once it is known what the call needs. ``timeout`` ends the
    wait, unless ``sent`` is set: what has been sent may run.
    """

    def __init__(self) -> None:
        self.timeout = asyncio.timeout(None)
        self.sent = False
        self.latest_start: LatestStart = lambda _ends_at: inf

    def apply(self, now: float, ends_at: float | None) -> None:
        """Sets the timeout, if the process ends at a time in seconds."""
        if ends_at is None or self.sent or self.timeout.expired():
            return
        left_s = self.latest_start(ends_at) - now
        if left_s != inf:
            loop = asyncio.get_running_loop()
            self.timeout.reschedule(loop.time() + max(0.0, left_s))

    async def end(self) -> None:
        """Ends the limit, because the call is sent now.

        A timeout that has expired in the meantime is raised here, and not while the
        request is on its way.
        """
        if self.timeout.expired():
            await asyncio.sleep(0)
        self.sent = True
        self.timeout.reschedule(None)
