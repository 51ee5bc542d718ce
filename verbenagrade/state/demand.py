"""Estimates the rate at which a budget is spent, and how many tokens to hold."""

import math
from dataclasses import dataclass

__all__ = [
    "DEMAND_TIME_CONSTANT_S",
    "DemandEstimate",
    "GrantPolicy",
    "target_unspent_tokens",
]

DEMAND_TIME_CONSTANT_S = 1800.0


@dataclass(frozen=True, slots=True)
class GrantPolicy:
    """How many tokens of a budget a holder may keep in advance.

    A holder keeps the tokens for ``hold_s`` seconds of the recent demand. A larger
    value means fewer refusals while the platform is unavailable, but more tokens
    that can't be used elsewhere. A grant is at most the fraction ``share`` of the
    holder's own and the available tokens. While there is demand, the holder
    requests at least ``minimum`` tokens.
    """

    hold_s: float = 7200.0
    share: float = 0.25
    minimum: int = 2000


class DemandEstimate:
    """An exponentially decayed rate of tokens per second."""

    def __init__(self) -> None:
        self.decayed_tokens = 0.0
        self.updated_at = 0.0
        self.since: float | None = None

    def add(self, tokens: int, now: float) -> None:
        """Adds tokens that were used at ``now``, in seconds."""
        if self.since is None:
            self.since = now
        self.decayed_tokens = self._decayed_to(now) + tokens
        self.updated_at = now

    def rate(self, now: float) -> float:
        """Returns the estimated demand in tokens per second.

        >>> demand = DemandEstimate()
        >>> for second in range(9000):
        ...     demand.add(10, float(second))
        >>> round(demand.rate(9000.0))
        10
        """
        if self.since is None:
            return 0.0
        observed_s = max(1.0, now - self.since)
        effective_window_s = DEMAND_TIME_CONSTANT_S * -math.expm1(
            -observed_s / DEMAND_TIME_CONSTANT_S
        )
        return self._decayed_to(now) / max(1.0, effective_window_s)

    def _decayed_to(self, now: float) -> float:
        return self.decayed_tokens * math.exp(
            -max(0.0, now - self.updated_at) / DEMAND_TIME_CONSTANT_S
        )


def target_unspent_tokens(rate: float, policy: GrantPolicy) -> int:
    """Returns how many unspent tokens a holder should keep.

    ``rate`` is the demand in tokens per second.

    >>> target_unspent_tokens(10.0, GrantPolicy(hold_s=600.0, minimum=500))
    6000
    >>> target_unspent_tokens(0.0, GrantPolicy())
    0
    """
    if rate * policy.hold_s < 1.0:
        return 0
    return max(policy.minimum, math.ceil(rate * policy.hold_s))
