"""Identifies poison requests, which crash the endpoints that run them.

If an endpoint crashes, all requests that it was running are suspected. A suspected
request runs again only in quarantine: on an endpoint that runs no other suspected
request. If that endpoint crashes too, the request is the cause: it is a poison request,
and its verdict is ``CONVICTED``. If the request succeeds, it is cleared.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

__all__ = ["PoisonRecord", "QuarantineSlot", "Verdict"]

MAX_DIGESTS = 10_000
QUARANTINE_TIMEOUT_S = 120.0


class Verdict(StrEnum):
    """What is known about a request, identified by the digest of its content.

    ``SUSPECTED`` requests run only in quarantine. ``CONVICTED`` ones are poison
    requests and are not run again.
    """

    CLEAR = "clear"
    SUSPECTED = "suspected"
    CONVICTED = "convicted"


@dataclass(frozen=True, slots=True)
class QuarantineSlot:
    """A quarantine slot: the digest of the request that an endpoint runs, and the
    time in seconds when the slot expires."""

    digest: str
    expires_at: float


class PoisonRecord:
    """The verdicts that an instance knows, and the slots that it assigned."""

    def __init__(self) -> None:
        self.verdicts: OrderedDict[str, Verdict] = OrderedDict()
        self.slots: dict[str, QuarantineSlot] = {}

    def verdict(self, digest: str) -> Verdict:
        """Returns the verdict on a digest, which is ``CLEAR`` if none is known."""
        return self.verdicts.get(digest, Verdict.CLEAR)

    def record_crash(self, digest: str, quarantined: bool) -> Verdict:
        """Records that an endpoint crashed while it ran a request.

        Returns the new verdict on the request.

        >>> record = PoisonRecord()
        >>> record.record_crash("d", quarantined=False).value
        'suspected'
        >>> record.record_crash("d", quarantined=True).value
        'convicted'
        """
        known = self.verdict(digest)
        is_poison = quarantined or known is Verdict.CONVICTED
        verdict = Verdict.CONVICTED if is_poison else Verdict.SUSPECTED
        self.verdicts[digest] = verdict
        self.verdicts.move_to_end(digest)
        if len(self.verdicts) > MAX_DIGESTS:
            self.verdicts.popitem(last=False)
        return verdict

    def succeeded(self, digest: str) -> None:
        """Clears a suspected request that succeeded."""
        if self.verdict(digest) is Verdict.SUSPECTED:
            del self.verdicts[digest]

    def take_slot(
        self, digest: str, endpoints: Iterable[str], now: float
    ) -> str | None:
        """Assigns a slot on an endpoint that runs no other suspected request.

        Returns the endpoint, or ``None`` if there is none. ``now`` is in seconds.
        """
        for endpoint in endpoints:
            slot = self.slots.get(endpoint)
            if slot is None or slot.expires_at <= now or slot.digest == digest:
                self.slots[endpoint] = QuarantineSlot(
                    digest, now + QUARANTINE_TIMEOUT_S
                )
                return endpoint
        return None

    def free_slot(self, digest: str, endpoint: str) -> None:
        """Releases the slot of a request, if it still has it."""
        slot = self.slots.get(endpoint)
        if slot is not None and slot.digest == digest:
            del self.slots[endpoint]
