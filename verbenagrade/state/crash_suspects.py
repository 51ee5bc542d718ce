"""Identifies parts of prompts that crash the endpoints which begin to respond to them.

Calls that share such a part may differ in everything else, and a crash breaks off all
calls at an endpoint. Suspected are the parts of those that had brought no response yet.
Two things tell the part at fault from the others: a call with it never gets beyond its
first events, and it explains more crashes than any part that was there by chance.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping

__all__ = [
    "MIN_SURVIVED_EVENTS",
    "SEPARATE_CRASHES_S",
    "TRIAL_AFTER_S",
    "TRIAL_NUMBERS",
    "CrashSuspects",
]

MIN_CRASHES = 3
"""Number of separate crashes after which a part is convicted if it alone has most."""

MIN_CRASHES_IF_UNSURE = 5
"""The same if several parts have equally many, all of which are then convicted, if the
part explains too few of the crashes, or if the reports of other VMs are missing: the
call at fault was mostly at another VM."""

MIN_EXPLAINED_FRACTION = 0.5
"""Fraction of all crashes since the first one with a part that are with it too.
Endpoints that crash for reasons of their own have different parts each time."""

SEPARATE_CRASHES_S = 0.3
"""Crashes within this time of each other, in seconds, count as one: a fault of several
endpoints at once says little about the calls that they had in common."""

EVIDENCE_DELAY_S = 0.3
"""Time from a crash until it counts, in seconds. Within it the reports of other VMs
arrive: further suspects, and calls that show a part to be sound."""

MIN_SURVIVED_EVENTS = 3
"""Number of events after which a call shows that its parts don't crash an endpoint. The
first one may still be sent before a crash."""

TRIAL_AFTER_S = (3.0, 60.0)
"""Times after a conviction, in seconds, at each of which the fleet sends one more call
with the part. If it brings a response, the part was convicted wrongly."""

TRIAL_NUMBERS = tuple(str(number) for number in range(len(TRIAL_AFTER_S)))
"""The numbers of these calls, as they stand in the keys of rows."""

SUSPICION_S = 600.0
"""Time after a crash until it no longer counts against any part, in seconds."""

MAX_SUSPECTS = 5_000
MAX_SURVIVORS = 5_000
"""Largest numbers of suspected parts, and of parts known to be sound; of each, the one
that was seen longest ago is dropped. Both together take about 3 MB."""


class CrashSuspects:
    """The crashes that may be due to each part, and the parts that were convicted.

    ``crashes`` maps a part to the endpoint incarnations that crashed and the times of
    the crashes. ``survived`` maps a part to the time at which the latest call was sent
    that showed it to be sound. ``convicted`` maps a part to the time of its conviction,
    and ``trials`` to the number of calls that were sent since to try it. Times are in
    seconds on the clock of the process.
    """

    def __init__(self) -> None:
        self.crashes: OrderedDict[str, dict[str, float]] = OrderedDict()
        self.survived: OrderedDict[str, float] = OrderedDict()
        self.convicted: dict[str, float] = {}
        self.trials: dict[str, int] = {}
        self.evaluate_at = float("inf")

    def record_crash(self, part: str, incarnation: str, at: float) -> bool:
        """Records a crash while an endpoint had a call with the part.

        Returns whether this is new. A crash from before a call that showed the part to
        be sound is not recorded.
        """
        known = self.crashes.get(part, {})
        if incarnation in known or self.survived.get(part, float("-inf")) > at:
            return False
        known[incarnation] = at
        self.crashes[part] = known
        self.crashes.move_to_end(part)
        if len(self.crashes) > MAX_SUSPECTS:
            dropped, _ = self.crashes.popitem(last=False)
            self._acquit(dropped)
        self.evaluate_at = min(self.evaluate_at, at + EVIDENCE_DELAY_S)
        return True

    def record_survival(
        self, parts: Iterable[str], sent_at: float
    ) -> tuple[tuple[str, str], ...]:
        """Records that a call sent at ``sent_at`` got beyond its first events.

        Returns the crashes that are no longer held against its parts, as pairs of part
        and incarnation.
        """
        cleared = []
        for part in parts:
            self.survived[part] = max(sent_at, self.survived.get(part, sent_at))
            self.survived.move_to_end(part)
            for incarnation, at in tuple(self.crashes.get(part, {}).items()):
                if at < sent_at:
                    self.forget(part, incarnation)
                    cleared.append((part, incarnation))
        while len(self.survived) > MAX_SURVIVORS:
            self.survived.popitem(last=False)
        return tuple(cleared)

    def forget(self, part: str, incarnation: str) -> None:
        """Forgets a crash, which other VMs no longer hold against the part either."""
        known = self.crashes.get(part, {})
        if known.pop(incarnation, None) is None:
            return
        if not known:
            del self.crashes[part]
        self._acquit(part)

    def find_convicted(
        self, parts: Iterable[str], now: float, others_known: bool
    ) -> str:
        """Returns the first of the parts that is convicted, empty if none is.

        ``others_known`` is false if the reports of other VMs may be missing.

        >>> suspects = CrashSuspects()
        >>> for second, name in enumerate(("a", "b", "c")):
        ...     _ = suspects.record_crash("bad", name, at=float(second))
        >>> suspects.find_convicted(("sound", "bad"), 2.1, others_known=True)
        ''
        >>> suspects.find_convicted(("sound", "bad"), 2.5, others_known=True)
        'bad'
        """
        if now >= self.evaluate_at:
            self._convict(now, others_known)
        return next((part for part in parts if part in self.convicted), "")

    def next_trial(self, part: str, now: float) -> int | None:
        """Returns the number of the trial that is due for a convicted part, from 0.

        It is ``None`` if none is due. ``record_trial`` tells that it was made.
        """
        number = self.trials.get(part, 0)
        if part not in self.convicted or number >= len(TRIAL_AFTER_S):
            return None
        due = now - self.convicted[part] >= TRIAL_AFTER_S[number]
        return number if due else None

    def record_trial(self, part: str, number: int) -> None:
        """Records that a VM sends a call to try a part."""
        self.trials[part] = max(self.trials.get(part, 0), number + 1)

    def _acquit(self, part: str) -> None:
        self.convicted.pop(part, None)
        if part not in self.crashes:
            self.trials.pop(part, None)

    def _convict(self, now: float, others_known: bool) -> None:
        """Convicts the parts that explain most crashes, one after the other.

        The crashes that a convicted part explains say nothing about other parts.
        """
        pending = [
            at + EVIDENCE_DELAY_S
            for known in self.crashes.values()
            for at in known.values()
            if at + EVIDENCE_DELAY_S > now
        ]
        self.evaluate_at = min(pending, default=float("inf"))
        if not others_known:
            self.evaluate_at = min(self.evaluate_at, now + EVIDENCE_DELAY_S)
        while True:
            explained = frozenset().union(*map(self.crashes.get, self.convicted))
            counts = {
                part: _count_separate(known, explained, now - EVIDENCE_DELAY_S)
                for part, known in self.crashes.items()
                if part not in self.convicted and len(known) >= MIN_CRASHES
            }
            most = max(counts.values(), default=0)
            leading = [part for part, count in counts.items() if count == most]
            sure = (
                others_known
                and len(leading) == 1
                and self._explained_fraction(leading[0]) >= MIN_EXPLAINED_FRACTION
            )
            if most < (MIN_CRASHES if sure else MIN_CRASHES_IF_UNSURE):
                return
            self.convicted.update(dict.fromkeys(leading, now))

    def _explained_fraction(self, part: str) -> float:
        """Returns the fraction of the crashes since the first with a part."""
        own = self.crashes[part]
        first = min(own.values())
        since = {
            incarnation
            for known in self.crashes.values()
            for incarnation, at in known.items()
            if at >= first
        }
        return len(own) / len(since)


def _count_separate(
    known: Mapping[str, float], explained: frozenset[str], until: float
) -> int:
    """Counts crashes up to ``until`` that are unexplained and apart in time."""
    count, last = 0, float("-inf")
    for at in sorted(at for name, at in known.items() if name not in explained):
        if at <= until and at - last >= SEPARATE_CRASHES_S:
            count, last = count + 1, at
    return count
