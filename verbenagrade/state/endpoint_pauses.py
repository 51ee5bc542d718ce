"""The endpoints that want no calls of this VM for some time."""

from collections import OrderedDict

__all__ = ["EndpointPauses"]

MAX_PAUSES = 4_096
"""Largest number of endpoint incarnations whose pauses are remembered."""


class EndpointPauses:
    """Until when each endpoint incarnation wants no calls, in seconds.

    >>> pauses = EndpointPauses()
    >>> pauses.record("i-1@0", pause_s=2.0, now=10.0)
    >>> pauses.is_paused("i-1@0", now=11.0), pauses.is_paused("i-1@0", now=12.5)
    (True, False)
    """

    def __init__(self) -> None:
        self.until: OrderedDict[str, float] = OrderedDict()

    def record(self, incarnation: str, pause_s: float, now: float) -> None:
        """Records that an incarnation wants no calls for ``pause_s`` seconds."""
        self.until[incarnation] = max(self.until.get(incarnation, now), now + pause_s)
        self.until.move_to_end(incarnation)
        if len(self.until) > MAX_PAUSES:
            self.until.popitem(last=False)

    def is_paused(self, incarnation: str, now: float) -> bool:
        """Returns whether an incarnation wants no calls at a time in seconds."""
        until = self.until.get(incarnation)
        return until is not None and now < until
