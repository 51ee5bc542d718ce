"""Remembers whether the platform's store has responded to this VM lately."""

from collections.abc import Callable

from verbenagrade.exceptions import PlatformError, UnreadableRowError

__all__ = ["StoreAvailability"]

STORE_UNAVAILABLE_S = 2.0
"""Time in seconds after a failed store call during which no caller waits for the
store. It ends early when a background call succeeds."""

PROBE_INTERVAL_S = 0.25
"""Minimum interval between background calls since a failed one, in seconds."""

NEVER = float("-inf")


class StoreAvailability:
    """The last failed call, and the last background call; ``clock`` returns seconds.

    >>> store = StoreAvailability(lambda: 10.0)
    >>> store.record_failure(PlatformError("no response"))
    >>> store.is_unavailable(), store.may_probe(), store.may_probe()
    (True, True, False)
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.failed_at = NEVER
        self.probed_at = NEVER

    def record_failure(self, error: PlatformError) -> None:
        """Records a failed call; a row that can't be read is none."""
        if not isinstance(error, UnreadableRowError):
            self.failed_at = self.clock()

    def record_response(self) -> None:
        """Records that the store has responded."""
        self.failed_at = NEVER

    def is_unavailable(self) -> bool:
        """Returns whether a call failed too recently for a caller to wait."""
        return self.clock() - self.failed_at < STORE_UNAVAILABLE_S

    def may_probe(self) -> bool:
        """Returns whether a background call may begin now, and counts it if so."""
        recent = self.clock() - self.probed_at < PROBE_INTERVAL_S
        if self.failed_at > NEVER and recent:
            return False
        self.probed_at = self.clock()
        return True
