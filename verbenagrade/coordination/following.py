"""Keeps a copy of a table of the platform's store, through all its outages."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from verbenagrade.coordination.ports import Changes, SharedTable
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import HistoryLostError, PlatformError

__all__ = ["Contact", "FollowedTable", "follow_table"]

FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.6
"""Pauses between failed calls, in seconds. The longest is a quarter of the time
in which a configuration has to be in force."""


UNCHANGED_S = 0.3
"""Time after which a question without an answer says that nothing has changed:
the way to the store in the farthest region and back, several times."""


class Contact:
    """How old what is known of a table may be.

    An answer tells what the table was when it began to arrive. A large one takes
    seconds on a slow link, in which the table may change again.
    """

    def __init__(self, now: float) -> None:
        self.heard = now
        self.asked = now
        self.begun: float | None = None
        self.away = False

    def ask(self, now: float) -> None:
        """Records that the store is asked for changes."""
        self.asked = now

    def begin(self, now: float) -> None:
        """Records that an answer begins to arrive."""
        self.begun = now

    def hear(self) -> None:
        """Records that an answer was read in full."""
        self.heard = self.asked if self.begun is None else self.begun
        self.begun = None

    def lose(self) -> None:
        """Records that the store gave no answer."""
        self.away = True
        self.begun = None

    def stale_s(self, now: float) -> float:
        """Returns for how many seconds a change may be unknown here.

        It is 0 while the store, asked for changes, has none to tell.

        >>> contact = Contact(now=0.0)
        >>> contact.begin(1.0), contact.hear(), contact.ask(4.0)
        (None, None, None)
        >>> contact.stale_s(4.25), contact.stale_s(4.5)
        (3.25, 0.0)
        """
        unsure = self.away or self.begun is not None
        if unsure or now - self.asked < UNCHANGED_S:
            return now - self.heard
        return 0.0


@dataclass(frozen=True, slots=True)
class FollowedTable:
    """A table to follow and what to do with it.

    ``returned`` is called when the store answers after an outage, before the
    changes since then are applied.
    """

    name: str
    wait_s: float
    apply: Callable[[Changes], None]
    returned: Callable[[], None]


async def follow_table(
    table: SharedTable,
    followed: FollowedTable,
    contact: Contact,
    clock: Callable[[], float],
    seed: int,
) -> None:
    """Applies a table's rows and then every change, until cancelled."""
    pauses = random.Random(seed)
    pause_s = FIRST_PAUSE_S
    version: int | None = None

    def begun() -> None:
        """Records that an answer begins to arrive."""
        contact.begin(clock())

    async def next_changes() -> Changes:
        """Reads the table in full, or waits for what has changed since."""
        contact.ask(clock())
        if version is None:
            return await table.load(followed.name)
        return await table.follow(followed.name, version, followed.wait_s, begun)

    while True:
        try:
            changes = await next_changes()
        except HistoryLostError as error:
            log_event(Event.HISTORY_LOST, table=followed.name, reason=str(error))
            version = None
            continue
        except PlatformError as error:
            _note_away(contact, followed, error)
            await asyncio.sleep(pause_s * pauses.uniform(0.5, 1.0))
            pause_s = min(LONGEST_PAUSE_S, pause_s * 2)
            continue
        _note_heard(contact, followed, clock())
        pause_s = FIRST_PAUSE_S
        version = changes.version
        followed.apply(changes)


def log_when_ended(task: asyncio.Task[None]) -> None:
    """Logs the failure of a task that should run for ever."""
    if not task.cancelled() and task.exception() is not None:
        log_event(Event.PROCESS_FAILED, reason=repr(task.exception()))


def _note_away(contact: Contact, followed: FollowedTable, error: Exception) -> None:
    was_away = contact.away
    contact.lose()
    if not was_away:
        log_event(Event.PLATFORM_AWAY, table=followed.name, reason=str(error))


def _note_heard(contact: Contact, followed: FollowedTable, now: float) -> None:
    if contact.away:
        contact.away = False
        followed.returned()
        log_event(
            Event.PLATFORM_BACK,
            table=followed.name,
            away_s=round(now - contact.heard, 3),
        )
    contact.hear()
