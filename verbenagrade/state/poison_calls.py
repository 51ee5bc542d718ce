"""Identifies calls that crash the endpoints that run them, across all VMs.

If an endpoint breaks the connection during a call, the VM reports the endpoint's
incarnation under a digest of the call's path, key and body. Calls with a digest that is
reported for ``MIN_POISON_CRASHES`` incarnations are not sent again.
"""

from collections import OrderedDict

__all__ = ["MIN_POISON_CRASHES", "PoisonCalls"]

MIN_POISON_CRASHES = 3
"""Number of endpoint incarnations that must have broken the connection during a call.
It is one more than a call with a single retry can reach through lost responses
alone."""

MAX_DIGESTS = 10_000
"""Largest number of digests remembered; the one reported longest ago is dropped."""


class PoisonCalls:
    """The endpoint incarnations that broke the connection, for each digest."""

    def __init__(self) -> None:
        self.endpoints_by_digest: OrderedDict[str, frozenset[str]] = OrderedDict()

    def record_crash(self, digest: str, endpoint: str) -> bool:
        """Records that an endpoint incarnation broke the connection during a call.

        Returns whether this was not recorded before.

        >>> poison_calls = PoisonCalls()
        >>> [poison_calls.record_crash("d", name) for name in ("a", "a", "b", "c")]
        [True, False, True, True]
        >>> poison_calls.is_poison("d")
        True
        """
        known = self.endpoints_by_digest.get(digest, frozenset())
        self.endpoints_by_digest[digest] = known | {endpoint}
        self.endpoints_by_digest.move_to_end(digest)
        if len(self.endpoints_by_digest) > MAX_DIGESTS:
            self.endpoints_by_digest.popitem(last=False)
        return endpoint not in known

    def forget(self, digest: str, endpoint: str) -> None:
        """Forgets that an endpoint incarnation broke the connection."""
        known = self.endpoints_by_digest.get(digest, frozenset()) - {endpoint}
        if known:
            self.endpoints_by_digest[digest] = known
        else:
            self.endpoints_by_digest.pop(digest, None)

    def is_poison(self, digest: str) -> bool:
        """Returns whether calls with a digest must not be sent again."""
        return len(self.endpoints_by_digest.get(digest, ())) >= MIN_POISON_CRASHES
