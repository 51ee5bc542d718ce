"""Limits retries to a budget that all VMs share without communication.

Within a window, a VM sends at most ``ratio`` retries for each first send, plus its
share of the fleet's slack. The sum over all VMs stays within the fleet's budget,
even if the VMs can't reach each other.
"""

from collections import deque
from dataclasses import dataclass

__all__ = ["RetryBudget", "RetryPolicy"]

SLACK_FRACTION = 0.5
"""Fraction of the slack that is used. The remainder covers the retries that a VM
sent before a restart, which it no longer knows of."""

MAX_SENDS = 20_000
"""Largest number of sends remembered for one service, to limit memory."""


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How many retries a service may get in a window of ``window_s`` seconds.

    ``ratio`` is the number of retries for each first send. ``slack`` is the number
    of further retries for the whole fleet.
    """

    ratio: float
    window_s: float
    slack: float


class RetryBudget:
    """First sends and retries of one service within the last window.

    At most ``MAX_SENDS`` of each are remembered. If there are more first sends in
    a window, fewer retries are allowed than the policy permits.
    """

    def __init__(self) -> None:
        self.first_sends: deque[float] = deque(maxlen=MAX_SENDS)
        self.retries: deque[float] = deque(maxlen=MAX_SENDS)

    def record_first_send(self, now: float) -> None:
        """Records the first send of a call; ``now`` is in seconds."""
        self.first_sends.append(now)

    def take_retry(self, policy: RetryPolicy, vms: int, now: float) -> bool:
        """Takes one retry from the budget; returns ``False`` if none is left.

        ``vms`` is the number of VMs that share the budget.

        >>> budget = RetryBudget()
        >>> policy = RetryPolicy(ratio=0.2, window_s=10.0, slack=16.0)
        >>> [budget.take_retry(policy, 8, 1.0) for _ in range(2)]
        [True, False]
        """
        allowed = self.has_retry(policy, vms, now)
        if allowed:
            self.retries.append(now)
        return allowed

    def has_retry(self, policy: RetryPolicy, vms: int, now: float) -> bool:
        """Returns whether a retry is left, without taking it."""
        window_start = now - policy.window_s
        for sends in (self.first_sends, self.retries):
            while sends and sends[0] < window_start:
                sends.popleft()
        slack = policy.slack * SLACK_FRACTION / max(1, vms)
        return len(self.retries) + 1 <= policy.ratio * len(self.first_sends) + slack
