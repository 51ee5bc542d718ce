"""Tracks the era of the platform's store, which rises when it lost recent writes.

A store that comes back from an older copy has lost what was written since, and gives
out the versions of those writes a second time. The same version may then stand for two
contents. Nothing that was learned in one era may therefore be used as a condition, or
as a position in a feed, in another.
"""

from collections.abc import Callable

from verbenagrade.coordination.ports import (
    Clock,
    EraMark,
    EraObserver,
    PlatformStore,
)
from verbenagrade.coordination.store_calls import Arguments, Call, Result, wrap_calls
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import EraChangedError

__all__ = ["StoreEras", "guard_eras"]


class StoreEras:
    """The newest era that a response of the store has shown.

    ``current`` is ``None`` as long as no response tells an era. ``since`` is the time
    at which it was first seen, in seconds on ``clock``. ``on_change`` is called after a
    change.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.current: int | None = None
        self.since = clock()
        self.on_change: Callable[[], None] = _no_action
        self.logged_texts: set[str] = set()

    @property
    def number(self) -> int:
        """The newest era, 0 if the store tells none."""
        return self.current or 0

    def observer(self) -> EraObserver:
        """Returns the port that a client of the store uses."""
        return EraObserver(lambda: self.current, self.observe)

    def observe(self, mark: EraMark, requested_in: int | None) -> None:
        """Takes notice of the era of a response to a request of an era.

        Raises ``EraChangedError`` for a late response of an earlier era, which must
        not be used. A response that tells no era, an invalid one, or one that is lower
        although the request was sent later, is taken as one that tells nothing.
        """
        current = self.current
        if mark.era is None or (current is not None and mark.era < current):
            if mark.era is not None and requested_in != current:
                raise EraChangedError(
                    f"response of era {mark.era} arrived in era {current}; read again"
                )
            self._log_invalid(mark.text)
            return
        if current == mark.era:
            return
        self._enter(mark.era, told_by="")

    def learn(self, era: int, vm: str) -> None:
        """Takes notice of a newer era, of which another VM tells.

        The store may serve that VM and turn this one away. A response of an earlier era
        that still arrives is dropped.
        """
        if era > self.number:
            self._enter(era, told_by=vm)

    def _enter(self, era: int, told_by: str) -> None:
        previous, self.current = self.current, era
        self.since = self.clock()
        if previous is not None:
            log_event(
                Event.STORE_ERA_CHANGED, previous=previous, era=era, told_by=told_by
            )
            self.on_change()

    def _log_invalid(self, text: str) -> None:
        """Logs an invalid or missing era, once for each text."""
        missing_from_the_start = not text and self.current is None
        if missing_from_the_start or text in self.logged_texts:
            return
        self.logged_texts.add(text)
        log_event(Event.STORE_ERA_INVALID, text=text)


def guard_eras(store: PlatformStore, eras: StoreEras) -> PlatformStore:
    """Returns a port to the store whose calls fail if the era changes meanwhile.

    They then raise ``EraChangedError``: what was read may be outdated, and whether a
    transaction was committed is unknown.
    """

    def guard(call: Call) -> Call:
        """Returns the call with a check of the era after it."""

        async def guarded(*args: Arguments.args, **kwargs: Arguments.kwargs) -> Result:
            """Performs the call in a single era."""
            era = eras.current
            result = await call(*args, **kwargs)
            if era is not None and era != eras.current:
                raise EraChangedError(
                    f"the store went from era {era} to {eras.current}; read again"
                )
            return result

        return guarded

    return wrap_calls(store, guard)


def _no_action() -> None:
    """Does nothing when the era changes."""
