"""Keeps a local copy of a table up to date, also across outages of the store.

Failed requests are repeated with exponential backoff and random jitter.
"""

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
"""Bounds of the delay before a failed request is repeated, in seconds. The maximum
is a quarter of the time within which a configuration has to be in force."""


UNCHANGED_S = 0.3
"""Time in seconds after which a pending request for changes shows that there are
none. It covers several round trips to the store in the farthest region."""


class Contact:
    """Tracks how outdated the local copy of a table may be.

    A response shows the table as it was when the response began to arrive. On a
    slow link a large response takes seconds to arrive, and the table may change
    again in that time. All times are in seconds.
    """

    def __init__(self, now: float) -> None:
        self.heard = now
        self.asked = now
        self.begun: float | None = None
        self.away = False

    def ask(self, now: float) -> None:
        """Records that a request for changes is sent to the store."""
        self.asked = now

    def begin(self, now: float) -> None:
        """Records that a response begins to arrive."""
        self.begun = now

    def hear(self) -> None:
        """Records that a response was read in full."""
        self.heard = self.asked if self.begun is None else self.begun
        self.begun = None

    def lose(self) -> None:
        """Records that the store did not respond."""
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
    """A table to follow, and the functions to call for its changes.

    ``wait_s`` is the longest time for which the store holds a request for changes
    open. ``apply`` is called with each set of changes. ``returned`` is called when
    the store responds again after an outage, before the changes since then are
    applied.
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
    """Applies all rows of a table and then every change to it, until cancelled."""
    pauses = random.Random(seed)
    pause_s = FIRST_PAUSE_S
    version: int | None = None

    def begun() -> None:
        """Records that a response begins to arrive."""
        contact.begin(clock())

    async def next_changes() -> Changes:
        """Reads the table in full, or waits for changes since ``version``."""
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
    """Logs the exception that ended a task which should run until cancelled."""
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
