"""What is known of crashed endpoints, by the rows with which VMs tell each other.

The name of a row has a kind, a name and an endpoint: ``crash/DIGEST/ENDPOINT`` for a
call that an endpoint ran when it crashed, ``suspect/PART/ENDPOINT`` for a part of the
prompts that it had, and ``trial/NAME/NUMBER`` for a call that tries either.
"""

from collections.abc import Iterable

from verbenagrade.state.crash_suspects import CrashSuspects
from verbenagrade.state.poison_calls import PoisonCalls

__all__ = ["CrashMemory"]


class CrashMemory:
    """The crashes that count against calls, and against parts of prompts."""

    def __init__(self) -> None:
        self.poison_calls = PoisonCalls()
        self.suspects = CrashSuspects()

    def record(self, kind: str, name: str, endpoint: str, at: float) -> bool:
        """Records a crash, ``crash`` or ``suspect``, ``at`` a time in seconds.

        Returns false if the crash is known, or no longer counts.
        """
        if kind == "crash":
            return self.poison_calls.record_crash(name, endpoint, at)
        return self.suspects.record_crash(name, endpoint, at)

    def forget(self, kind: str, name: str, endpoint: str) -> None:
        """Forgets what a row said that was removed."""
        if kind == "crash":
            self.poison_calls.forget(name, endpoint)
        elif kind == "suspect":
            self.suspects.forget(name, endpoint)
        elif kind == "trial":
            self.of(name).trials.pop(name, None)

    def of(self, name: str) -> PoisonCalls | CrashSuspects:
        """Returns what keeps the crashes of a digest, or of a part."""
        return self.poison_calls if name in self.poison_calls.crashes else self.suspects

    def record_survival(self, parts: Iterable[str], sent_at: float) -> tuple[str, ...]:
        """Records that a call sent at ``sent_at`` shows its parts to be sound.

        Returns the names of the rows that no longer hold.
        """
        trials = {part: self.suspects.trials.get(part, 0) for part in parts}
        cleared = self.suspects.record_survival(trials, sent_at)
        names = {part for part, _ in cleared}
        for part in names:
            self.suspects.trials.pop(part, None)
        return (
            *(f"trial/{part}/{n}" for part in names for n in range(trials[part])),
            *(f"suspect/{part}/{endpoint}" for part, endpoint in cleared),
        )

    def record_completion(self, digest: str, sent_at: float) -> tuple[str, ...]:
        """Records a complete response to a call that was sent at ``sent_at``.

        Returns the names of the rows that no longer hold.
        """
        trials = self.poison_calls.trials.get(digest, 0)
        cleared = self.poison_calls.record_completion(digest, sent_at)
        if not cleared:
            return ()
        self.poison_calls.trials.pop(digest, None)
        return (
            *(f"trial/{digest}/{number}" for number in range(trials)),
            *(f"crash/{digest}/{endpoint}" for endpoint in cleared),
        )
