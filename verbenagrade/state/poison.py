"""Recognises requests that crash the endpoints that run them.

A request whose endpoint crashed is suspected, as are all that shared it. A
suspected one runs again only in quarantine: on an endpoint that runs no other
suspected request. If that endpoint crashes too, this request did it and is
convicted; if it succeeds, it is cleared.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

__all__ = ["PoisonRecord", "Slot", "Verdict"]

DIGESTS_KEPT = 10_000
QUARANTINE_S = 120.0


class Verdict(StrEnum):
    """What is known of a request's content."""

    CLEAR = "clear"
    SUSPECTED = "suspected"
    CONVICTED = "convicted"


@dataclass(frozen=True, slots=True)
class Slot:
    """A quarantine slot: which digest runs on an endpoint, until when."""

    digest: str
    until: float


class PoisonRecord:
    """The verdicts that an instance knows, and the slots that it gives out."""

    def __init__(self) -> None:
        self.verdicts: OrderedDict[str, Verdict] = OrderedDict()
        self.slots: dict[str, Slot] = {}

    def verdict(self, digest: str) -> Verdict:
        """Returns what is known of a digest."""
        return self.verdicts.get(digest, Verdict.CLEAR)

    def crashed(self, digest: str, quarantined: bool) -> Verdict:
        """Records that an endpoint crashed while it ran a request.

        >>> record = PoisonRecord()
        >>> record.crashed("d", quarantined=False).value
        'suspected'
        >>> record.crashed("d", quarantined=True).value
        'convicted'
        """
        known = self.verdict(digest)
        convicted = quarantined or known is Verdict.CONVICTED
        verdict = Verdict.CONVICTED if convicted else Verdict.SUSPECTED
        self.verdicts[digest] = verdict
        self.verdicts.move_to_end(digest)
        if len(self.verdicts) > DIGESTS_KEPT:
            self.verdicts.popitem(last=False)
        return verdict

    def succeeded(self, digest: str) -> None:
        """Clears a suspected request that was answered."""
        if self.verdict(digest) is Verdict.SUSPECTED:
            del self.verdicts[digest]

    def take_slot(
        self, digest: str, endpoints: Iterable[str], now: float
    ) -> str | None:
        """Returns an endpoint without another suspected request, if there is one."""
        for endpoint in endpoints:
            slot = self.slots.get(endpoint)
            if slot is None or slot.until <= now or slot.digest == digest:
                self.slots[endpoint] = Slot(digest, now + QUARANTINE_S)
                return endpoint
        return None

    def free_slot(self, digest: str, endpoint: str) -> None:
        """Ends a quarantine run."""
        slot = self.slots.get(endpoint)
        if slot is not None and slot.digest == digest:
            del self.slots[endpoint]
