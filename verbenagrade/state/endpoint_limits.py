"""The limits on calls that endpoints name in their responses.

An endpoint in need says how many calls a second it takes from all VMs together, for as
long as its responses say so.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["EndpointLimits", "LimitNotice"]

MAX_NOTICES = 4_096
"""Largest number of endpoint incarnations whose last notice is remembered."""


@dataclass(frozen=True, slots=True)
class LimitNotice:
    """What an endpoint said of its limit ``at`` a time in seconds.

    ``limit_per_s`` is the number of calls per second, ``None`` if it has no limit.
    """

    limit_per_s: float | None
    at: float


class EndpointLimits:
    """The last notice of each endpoint incarnation that has named a limit."""

    def __init__(self) -> None:
        self.notices: OrderedDict[str, LimitNotice] = OrderedDict()

    def limit_of(self, incarnation: str) -> float | None:
        """Returns an endpoint's limit in calls per second, ``None`` if it has none."""
        notice = self.notices.get(incarnation)
        return notice.limit_per_s if notice else None

    def record_response(
        self, incarnation: str, limit_per_s: float | None, sent_at: float, now: float
    ) -> bool:
        """Records what a response says; returns whether the limit has changed.

        ``sent_at`` is when its call was sent. Responses overtake each other: one
        without a limit ends the limit only if its call was sent after the last notice.

        >>> limits = EndpointLimits()
        >>> limits.record_response("i-1@0", 2.5, sent_at=1.0, now=2.0)
        True
        >>> limits.record_response("i-1@0", None, sent_at=1.5, now=2.1)
        False
        >>> limits.record_response("i-1@0", None, sent_at=2.2, now=2.3)
        True
        """
        known = self.notices.get(incarnation)
        if limit_per_s is None and (known is None or sent_at <= known.at):
            return False
        return self._record(incarnation, LimitNotice(limit_per_s, now))

    def learn(self, incarnation: str, notice: LimitNotice) -> bool:
        """Records the notice that another VM got, unless a newer one is known.

        Returns whether the limit has changed.
        """
        known = self.notices.get(incarnation)
        if known is not None and known.at >= notice.at:
            return False
        return self._record(incarnation, notice)

    def drop(self, incarnations: Iterable[str]) -> None:
        """Forgets the notices of endpoint incarnations."""
        for incarnation in incarnations:
            self.notices.pop(incarnation, None)

    def limited(self) -> frozenset[str]:
        """Returns the incarnations that have a limit."""
        return frozenset(
            i for i, n in self.notices.items() if n.limit_per_s is not None
        )

    def _record(self, incarnation: str, notice: LimitNotice) -> bool:
        changed = self.limit_of(incarnation) != notice.limit_per_s
        self.notices[incarnation] = notice
        self.notices.move_to_end(incarnation)
        if len(self.notices) > MAX_NOTICES:
            self.notices.popitem(last=False)
        return changed
