"""How many calls a VM expects of a workspace, and how large they are.

A VM of many sees few calls of each workspace, and sizes have a long tail. So what
it saw of one workspace is weighed against what it saw of all, divided by what the
workspaces have prepaid.
"""

import math

__all__ = ["CallTraffic", "expected_demand"]

WINDOW_S = 10.0
"""Time constant of the rate of calls, in seconds: short, since prepaid days last
from seconds to minutes."""

YOUNGEST_S = 4.0
"""Least time over which calls are averaged, so that one call is no trend."""

SIZES_KEPT = 200.0
"""Calls over which their size is averaged."""

USUAL_WEIGHT = 10.0
"""Calls of a workspace that count as much as all others' in its calls' size."""

EXPECTED_WEIGHT = 1.0
"""Calls of a workspace that count as much as what is expected by its part."""


class CallTraffic:
    """The recent calls of a workspace, or of all workspaces of a VM."""

    def __init__(self) -> None:
        self.mean_tokens = 0.0
        self.sizes = 0.0
        self.calls = 0.0
        self.noted = 0.0
        self.first: float | None = None

    def note_size(self, tokens: int) -> None:
        """Counts what a call used; the newest ``SIZES_KEPT`` count most."""
        self.sizes = min(SIZES_KEPT, self.sizes + 1.0)
        self.mean_tokens += (tokens - self.mean_tokens) / self.sizes

    def note_call(self, weight: float, now: float) -> None:
        """Counts a call that asks for tokens, or a part of one."""
        self.calls = self.calls_at(now) + weight
        self.noted = now
        if self.first is None:
            self.first = now

    def calls_at(self, now: float) -> float:
        """Returns the calls of the window, older ones counted less."""
        elapsed = max(0.0, now - self.noted)
        return self.calls * math.exp(-elapsed / WINDOW_S)

    def seen_s(self, now: float) -> float:
        """Returns the time to divide calls by: less than the window at first."""
        age = YOUNGEST_S if self.first is None else now - self.first
        return WINDOW_S * (1.0 - math.exp(-max(YOUNGEST_S, age) / WINDOW_S))


def expected_demand(
    own: CallTraffic, every: CallTraffic, part: float, now: float
) -> float:
    """Returns the demand of a workspace at a VM, in tokens a second.

    ``own`` are its calls, ``every`` those of all workspaces at the VM, and
    ``part`` is its part of what all have prepaid, 0 to 1.

    >>> own, every = CallTraffic(), CallTraffic()
    >>> every.note_call(10.0, now=0.0)
    >>> every.note_size(1000)
    >>> round(expected_demand(own, every, part=0.1, now=4.0))
    122
    """
    expected = part * every.calls_at(now)
    if expected <= 0.0:
        return 0.0
    rate = (EXPECTED_WEIGHT + own.calls_at(now)) / (
        (EXPECTED_WEIGHT / expected + 1.0) * every.seen_s(now)
    )
    weight = own.sizes + USUAL_WEIGHT
    tokens = own.mean_tokens * own.sizes + every.mean_tokens * USUAL_WEIGHT
    return rate * tokens / weight
