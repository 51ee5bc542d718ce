"""The numbered log events, which ``docs/events/catalogue.md`` explains."""

from enum import Enum

import logbook

__all__ = ["Event"]


class Event(Enum):
    """The number, log level and message of each event."""

    PROCESS_STARTED = (100, logbook.INFO, "process started")
    PROCESS_STOPPING = (101, logbook.INFO, "graceful shutdown started")
    PROCESS_STOPPED = (102, logbook.INFO, "process stopped")
    SHUTDOWN_WAITING = (103, logbook.INFO, "graceful shutdown waiting for pending work")
    LINES_LEFT_OUT = (106, logbook.WARNING, "log lines dropped")
    SHUTDOWN_FORCED = (
        104,
        logbook.WARNING,
        "second signal received; shutting down immediately",
    )
    GRANTS_NOT_RETURNED = (
        107,
        logbook.WARNING,
        "grants not returned in time at the shutdown",
    )
    PROCESS_FAILED = (105, logbook.ERROR, "background task failed")
    ENDPOINT_CHOSEN = (200, logbook.INFO, "endpoint chosen")
    ENDPOINT_UNREACHABLE = (201, logbook.WARNING, "endpoint unreachable")
    REQUEST_FINISHED = (202, logbook.INFO, "request finished")
    REQUEST_REFUSED = (203, logbook.INFO, "request refused")
    REQUEST_BROKEN = (204, logbook.WARNING, "request interrupted")
    REQUEST_RESUMED = (205, logbook.INFO, "earlier attempt resumed")
    ENDPOINT_CRASHED = (206, logbook.ERROR, "endpoint crashed while running a request")
    CALL_REFUSED = (210, logbook.INFO, "call refused")
    CALL_PLACED = (211, logbook.INFO, "endpoint chosen for call")
    CALL_REPEATED = (212, logbook.INFO, "call retried on another endpoint")
    CALL_ENDED = (213, logbook.INFO, "call ended")
    CALL_LEFT = (214, logbook.INFO, "caller disconnected")
    REPEAT_DENIED = (215, logbook.INFO, "retry denied by the retry budget")
    CALL_CONVICTED = (216, logbook.WARNING, "call refused because it crashes endpoints")
    CRASH_NOT_REPORTED = (217, logbook.WARNING, "crash not reported to other VMs")
    CALL_KEPT = (219, logbook.INFO, "call stays at its slow endpoint")
    CALL_FAILED = (218, logbook.ERROR, "call failed unexpectedly")
    CALL_BROKEN_OFF = (220, logbook.INFO, "endpoint broke off while it had a call")
    ENDPOINT_CRASH_FOUND = (221, logbook.WARNING, "endpoint crashed; calls suspected")
    CAUSE_TRIED = (222, logbook.INFO, "call sent to try what crashed endpoints")
    ENDPOINT_LIMITED = (223, logbook.INFO, "endpoint named another limit, or none")
    PERMITS_TAKEN = (224, logbook.INFO, "permits for a limited endpoint requested")
    STREAM_VERSION_UNREAD = (
        225,
        logbook.WARNING,
        "record of a stream's software version not read",
    )
    STREAM_VERSION_FOUND = (
        226,
        logbook.INFO,
        "software version at which a resumed stream began",
    )
    DEFAULT_VERSION_CHANGED = (
        227,
        logbook.INFO,
        "default software version of a service changed",
    )
    STREAMS_RECORDED = (
        238,
        logbook.INFO,
        "versions of running streams recorded",
    )
    WAY_LOST = (
        228,
        logbook.WARNING,
        "no endpoint can be reached; calls go through other VMs",
    )
    WAY_REGAINED = (229, logbook.INFO, "endpoints can be reached directly again")
    CALL_SENT_THROUGH_VM = (230, logbook.INFO, "call sent through another VM")
    CALL_PASSED_ON = (231, logbook.INFO, "call of another VM passed on")
    RELAY_REJECTED = (232, logbook.WARNING, "request that no VM of the fleet sent")
    RELAY_BROKEN = (
        233,
        logbook.WARNING,
        "endpoint broke off a call of another VM",
    )
    ENDPOINT_LEAVING = (234, logbook.INFO, "endpoint says that it leaves")
    ENDPOINT_PAUSED = (235, logbook.INFO, "endpoint wants no calls for some time")
    HEAD_INCOMPLETE = (236, logbook.INFO, "head of a request did not arrive in time")
    RESPONSE_ABORTED = (237, logbook.INFO, "response to a caller broken off")
    CLIENT_GIVEN_UP = (239, logbook.INFO, "client given up to keep within the limits")
    CONNECTION_FAILED = (240, logbook.INFO, "connection of a client failed")
    RESPONSE_INVALID = (241, logbook.WARNING, "endpoint sent no valid response")
    DEFAULT_VERSION_WRITTEN = (
        242,
        logbook.INFO,
        "default software version of a service written",
    )
    DEFAULT_UNCONFIRMED = (
        243,
        logbook.WARNING,
        "VMs have not confirmed a default software version",
    )
    DEFAULT_VERSION_KEPT = (
        244,
        logbook.INFO,
        "default software version kept though no endpoint of it is listed",
    )
    HOLDER_CHOSEN = (300, logbook.DEBUG, "holder chosen")
    GRANT_ADJUSTED = (301, logbook.INFO, "grant adjusted")
    GRANT_DELAYED = (302, logbook.WARNING, "grant not adjusted; platform unavailable")
    BILL_CAPPED = (303, logbook.ERROR, "endpoint used more than its limit")
    RESERVATION_ORPHANED = (
        304,
        logbook.WARNING,
        "orphaned reservation examined",
    )
    GRANT_LOST = (305, logbook.WARNING, "grant of an earlier incarnation found")
    SPENDING_BOUNDED = (
        306,
        logbook.INFO,
        "spending of an earlier incarnation bounded",
    )
    SPENDING_IGNORED = (307, logbook.WARNING, "report of spending can't be read")
    SPENDING_SUPERSEDED = (
        308,
        logbook.ERROR,
        "another process reports the spending of this VM",
    )
    SPENDING_DELAYED = (309, logbook.WARNING, "spending not reported yet")
    JOURNAL_WRITTEN = (310, logbook.DEBUG, "journal batch written")
    JOURNAL_DELAYED = (311, logbook.WARNING, "journal batch not written yet")
    JOURNAL_SEALED = (312, logbook.ERROR, "journal sealed by another instance")
    RECOVERY_STARTED = (320, logbook.WARNING, "recovery of a lost holder started")
    RECOVERY_WAITING = (321, logbook.WARNING, "recovery of a lost holder waiting")
    RECOVERY_FINISHED = (322, logbook.INFO, "recovery of a lost holder finished")
    TOKENS_COLLECTED = (330, logbook.INFO, "tokens reserved with holders of the fleet")
    TOKENS_SHORT = (331, logbook.INFO, "too few tokens found for a call")
    HOLDER_UNREACHABLE = (332, logbook.WARNING, "holder of budgets not reached")
    RESERVATION_REJECTED = (333, logbook.WARNING, "invalid reservation rejected")
    RESERVATIONS_CHARGED = (
        334,
        logbook.WARNING,
        "reservations of a replaced process charged in full",
    )
    SETTLEMENTS_DROPPED = (335, logbook.WARNING, "settlements dropped")
    PEER_UNREACHABLE = (400, logbook.WARNING, "instance unreachable")
    PEER_REPLACED = (401, logbook.INFO, "newer incarnation of an instance detected")
    PEER_FRAME_INVALID = (404, logbook.WARNING, "undecodable frame from an instance")
    VM_LISTED = (402, logbook.INFO, "VM added to the list")
    VM_DELISTED = (403, logbook.INFO, "VM removed from the list")
    CONFIGURATION_APPLIED = (500, logbook.INFO, "configuration revision applied")
    PLATFORM_AWAY = (501, logbook.WARNING, "platform not responding")
    PLATFORM_BACK = (503, logbook.INFO, "platform responding again")
    HISTORY_LOST = (
        504,
        logbook.WARNING,
        "store history unavailable; reading the whole table",
    )
    ENDPOINT_SEEN = (505, logbook.INFO, "endpoint registered or changed")
    ENDPOINT_GONE = (506, logbook.INFO, "endpoint removed")
    ENTRY_IGNORED = (507, logbook.WARNING, "malformed entry ignored")
    DOCUMENT_IGNORED = (508, logbook.ERROR, "malformed configuration ignored")
    SETTINGS_RELOADED = (509, logbook.INFO, "settings reloaded")
    SETTINGS_REJECTED = (510, logbook.ERROR, "changed settings rejected")
    TABLE_RECEIVED = (511, logbook.INFO, "rows of a table received")
    REPLAY_DECLINED = (
        512,
        logbook.INFO,
        "feed replays outdated rows; reading the whole table",
    )
    STORE_ERA_CHANGED = (
        513,
        logbook.WARNING,
        "store came back from an older copy; reading all tables",
    )
    STORE_ERA_INVALID = (514, logbook.WARNING, "era of the store missing or invalid")
    BUDGET_RESTORED = (515, logbook.INFO, "rows of a budget restored in a new era")
    STORE_ERA_DATED = (516, logbook.INFO, "start of the era of the store known")
    PEER_STATES_LEARNED = (
        517,
        logbook.INFO,
        "another VM told which grants it has not restored",
    )
    PEER_SILENT = (
        518,
        logbook.WARNING,
        "tokens granted again although VMs did not tell what they were granted",
    )
    RESOURCE_ACCEPTED = (502, logbook.INFO, "resource accepted")

    @property
    def number(self) -> int:
        """The number of the event, whose meaning never changes."""
        return self.value[0]

    @property
    def level(self) -> int:
        """The ``logbook`` level of the event."""
        return self.value[1]

    @property
    def message(self) -> str:
        """The message of the event."""
        return self.value[2]
