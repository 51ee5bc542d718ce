"""Identifies calls that crash the endpoints that run them, across all VMs.

If an endpoint crashes during a call, the VM reports the endpoint's incarnation under a
digest of the call's path, key and body. Calls with a digest that is reported for
``MIN_POISON_CRASHES`` incarnations are not sent again. A broken connection alone is no
crash, and a complete response to a call clears its digest of the crashes before.
"""

from collections import OrderedDict

from verbenagrade.state.crash_suspects import SEPARATE_CRASHES_S, TRIAL_AFTER_S

__all__ = ["MIN_POISON_CRASHES", "PoisonCalls"]

MIN_POISON_CRASHES = 3
"""Number of endpoint incarnations that must have crashed during a call. It is one more
than a call with a single retry can reach through endpoints that crash for reasons of
their own."""

MAX_DIGESTS = 10_000
MAX_COMPLETED = 5_000
"""Largest numbers of digests with crashes, and of digests with complete responses; of
each, the one that was seen longest ago is dropped. The latter take about 1 MB."""


class PoisonCalls:
    """The endpoint incarnations that crashed during calls, for each digest.

    ``crashes`` maps a digest to the incarnations and the times at which they broke off
    the call, ``completed`` maps a digest to the time at which the latest call was sent
    that got a complete response here, both in seconds on the clock of the process.
    ``trials`` maps a digest to the number of calls that were sent to try it.
    """

    def __init__(self) -> None:
        self.crashes: OrderedDict[str, dict[str, float]] = OrderedDict()
        self.completed: OrderedDict[str, float] = OrderedDict()
        self.trials: dict[str, int] = {}

    def record_crash(self, digest: str, endpoint: str, at: float) -> bool:
        """Records that an endpoint incarnation crashed during a call.

        Returns whether this is new. A crash from before a call with a complete
        response is not recorded.

        >>> poison_calls = PoisonCalls()
        >>> crashes = (("a", 1.0), ("a", 1.1), ("b", 1.2), ("c", 2.0))
        >>> [poison_calls.record_crash("d", name, at) for name, at in crashes]
        [True, False, True, True]
        >>> poison_calls.is_poison("d")
        True
        """
        known = self.crashes.get(digest, {})
        if endpoint in known or self.completed.get(digest, float("-inf")) > at:
            return False
        known[endpoint] = at
        self.crashes[digest] = known
        self.crashes.move_to_end(digest)
        if len(self.crashes) > MAX_DIGESTS:
            dropped, _ = self.crashes.popitem(last=False)
            self.trials.pop(dropped, None)
        return True

    def record_completion(self, digest: str, sent_at: float) -> tuple[str, ...]:
        """Records a complete response to a call that was sent at ``sent_at``.

        Returns the incarnations whose crashes are no longer held against the digest.

        >>> poison_calls = PoisonCalls()
        >>> for name, at in (("a", 1.0), ("b", 2.0), ("c", 3.0)):
        ...     _ = poison_calls.record_crash("d", name, at)
        >>> poison_calls.record_completion("d", sent_at=2.5)
        ('a', 'b')
        >>> poison_calls.is_poison("d")
        False
        """
        self.completed[digest] = max(sent_at, self.completed.get(digest, sent_at))
        self.completed.move_to_end(digest)
        if len(self.completed) > MAX_COMPLETED:
            self.completed.popitem(last=False)
        known = self.crashes.get(digest, {})
        cleared = tuple(name for name, at in known.items() if at < sent_at)
        for endpoint in cleared:
            self.forget(digest, endpoint)
        return cleared

    def forget(self, digest: str, endpoint: str) -> None:
        """Forgets that an endpoint incarnation crashed."""
        known = self.crashes.get(digest, {})
        known.pop(endpoint, None)
        if not known:
            self.crashes.pop(digest, None)
            self.trials.pop(digest, None)

    def is_poison(self, digest: str) -> bool:
        """Returns whether calls with a digest must not be sent again."""
        return self._poison_since(digest) is not None

    def next_trial(self, digest: str, now: float) -> int | None:
        """Returns the number of the trial that is due for a digest, from 0.

        It is ``None`` if none is due. ``record_trial`` tells that it was made.
        """
        since, number = self._poison_since(digest), self.trials.get(digest, 0)
        if since is None or number >= len(TRIAL_AFTER_S):
            return None
        return number if now - since >= TRIAL_AFTER_S[number] else None

    def record_trial(self, digest: str, number: int) -> None:
        """Records that a VM sends a call to try a digest."""
        self.trials[digest] = max(self.trials.get(digest, 0), number + 1)

    def _poison_since(self, digest: str) -> float | None:
        """Returns the time of the crash that showed a digest to be poison.

        Calls that were responded to before are rather at endpoints that crash for
        reasons of their own. If these crash at the same time, that is a single fault.
        """
        apart_s = SEPARATE_CRASHES_S if digest in self.completed else 0.0
        times = sorted(self.crashes.get(digest, {}).values())
        decisive = times[MIN_POISON_CRASHES - 1 :]
        return next((at for at in decisive if at - times[0] >= apart_s), None)
