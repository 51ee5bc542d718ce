"""Records which attempt each idempotency key was used for."""

from collections import OrderedDict

from verbenagrade.state.held_grant import Earlier

__all__ = ["KnownAttempts"]

MAX_KEYS = 20_000


class KnownAttempts:
    """The latest attempt of each idempotency key that this instance has handled.

    Both the spender and the holder record an attempt, so that a retry finds it at
    either of them. ``forgotten`` has the attempts that were removed with
    ``forget``; they are not recorded again.
    """

    def __init__(self) -> None:
        self.by_key: OrderedDict[tuple[str, str], Earlier] = OrderedDict()
        self.forgotten: OrderedDict[str, None] = OrderedDict()

    def record(self, workspace: str, key: str, attempt: Earlier) -> None:
        """Records the attempt of a key.

        Does nothing if the key is empty or the attempt was forgotten.
        """
        if not key or attempt.attempt in self.forgotten:
            return
        self.by_key[workspace, key] = attempt
        self.by_key.move_to_end((workspace, key))
        if len(self.by_key) > MAX_KEYS:
            self.by_key.popitem(last=False)

    def find(self, workspace: str, key: str) -> Earlier | None:
        """Returns the attempt of a key, or ``None`` if none is recorded."""
        return self.by_key.get((workspace, key)) if key else None

    def forget(self, workspace: str, key: str, attempt: str) -> None:
        """Removes an attempt of which nothing ran and marks it as forgotten."""
        self.forgotten[attempt] = None
        if len(self.forgotten) > MAX_KEYS:
            self.forgotten.popitem(last=False)
        known = self.by_key.get((workspace, key))
        if known is not None and known.attempt == attempt:
            del self.by_key[workspace, key]
