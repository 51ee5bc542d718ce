"""The numbered events. ``docs/events/catalogue.md`` explains each."""

from enum import Enum

import logbook

__all__ = ["Event"]


class Event(Enum):
    """An event's number, level and message."""

    PROCESS_STARTED = (100, logbook.INFO, "process started")
    PROCESS_STOPPING = (101, logbook.INFO, "graceful shutdown started")
    PROCESS_STOPPED = (102, logbook.INFO, "process stopped")
    SHUTDOWN_WAITING = (103, logbook.INFO, "graceful shutdown waits")
    SHUTDOWN_FORCED = (104, logbook.WARNING, "second signal; stopping at once")
    PROCESS_FAILED = (105, logbook.ERROR, "a part of the process failed")
    ENDPOINT_CHOSEN = (200, logbook.INFO, "endpoint chosen")
    ENDPOINT_UNREACHABLE = (201, logbook.WARNING, "endpoint unreachable")
    REQUEST_FINISHED = (202, logbook.INFO, "request finished")
    REQUEST_REFUSED = (203, logbook.INFO, "request refused")
    REQUEST_BROKEN = (204, logbook.WARNING, "request broke off")
    REQUEST_RESUMED = (205, logbook.INFO, "earlier attempt resumed")
    ENDPOINT_CRASHED = (206, logbook.ERROR, "endpoint crashed under a request")
    HOLDER_CHOSEN = (300, logbook.DEBUG, "holder chosen")
    GRANT_ADJUSTED = (301, logbook.INFO, "grant adjusted")
    GRANT_DELAYED = (302, logbook.WARNING, "grant not adjusted; platform away")
    BILL_CAPPED = (303, logbook.ERROR, "endpoint used more than its limit")
    RESERVATION_ORPHANED = (304, logbook.WARNING, "orphaned reservation examined")
    JOURNAL_WRITTEN = (310, logbook.DEBUG, "journal batch written")
    JOURNAL_DELAYED = (311, logbook.WARNING, "journal batch not written yet")
    JOURNAL_SEALED = (312, logbook.ERROR, "journal sealed by another instance")
    RECOVERY_STARTED = (320, logbook.WARNING, "recovery of a lost holder started")
    RECOVERY_WAITING = (321, logbook.WARNING, "recovery of a lost holder waits")
    RECOVERY_FINISHED = (322, logbook.INFO, "recovery of a lost holder finished")
    PEER_UNREACHABLE = (400, logbook.WARNING, "instance unreachable")
    PEER_REPLACED = (401, logbook.INFO, "newer incarnation seen")
    VM_LISTED = (402, logbook.INFO, "VM listed")
    VM_DELISTED = (403, logbook.INFO, "VM gone from the list")
    CONFIGURATION_APPLIED = (500, logbook.INFO, "configuration revision in use")
    PLATFORM_AWAY = (501, logbook.WARNING, "platform does not answer")
    RESOURCE_ACCEPTED = (502, logbook.INFO, "resource accepted")

    @property
    def number(self) -> int:
        """The event's number, which never changes its meaning."""
        return self.value[0]

    @property
    def level(self) -> int:
        """The event's ``logbook`` level."""
        return self.value[1]

    @property
    def text(self) -> str:
        """The event's message."""
        return self.value[2]
