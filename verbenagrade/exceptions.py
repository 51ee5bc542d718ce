"""The exception hierarchy. Each error message states the remedy."""

__all__ = [
    "BudgetExhaustedError",
    "ContendedError",
    "EraChangedError",
    "FencedError",
    "HistoryLostError",
    "InvalidRequestError",
    "InvalidResourceError",
    "NotFoundError",
    "OverloadedError",
    "PeerError",
    "PeerNoReplyError",
    "PeerUnreachableError",
    "PlatformError",
    "PoisonRequestError",
    "ResponseDeclinedError",
    "RevisionConflictError",
    "SettingsError",
    "UnavailableError",
    "UndecodableError",
    "UnreadableRowError",
    "UpstreamAttemptLostError",
    "UpstreamFailedError",
    "UpstreamTimeoutError",
    "UpstreamUnreachableError",
    "VerbenagradeError",
]


class VerbenagradeError(Exception):
    """Base class of all errors that this package raises deliberately."""


class SettingsError(VerbenagradeError):
    """The settings file is invalid; the message has one line for each error."""


class InvalidRequestError(VerbenagradeError):
    """The request is invalid and did not run; a retry would fail as well."""


class NotFoundError(InvalidRequestError):
    """The request names a resource that does not exist or is not known yet."""


class InvalidResourceError(VerbenagradeError):
    """An operator declared a resource whose specification is invalid."""


class RevisionConflictError(VerbenagradeError):
    """The resource has changed since it was read; read it and apply again."""


class PoisonRequestError(InvalidRequestError):
    """The request crashed two endpoints and is not run again."""


class OverloadedError(VerbenagradeError):
    """A limit on requests or queued bills is reached; the request did not run."""


class BudgetExhaustedError(VerbenagradeError):
    """The budget has too few tokens left; the request did not run."""


class UnavailableError(VerbenagradeError):
    """A required service or instance is unavailable; the request did not run."""


class ContendedError(UnavailableError):
    """Other VMs changed the same rows too often; the request did not run. Retry it."""


class PlatformError(VerbenagradeError):
    """A platform service did not respond; a write may or may not have taken effect."""


class HistoryLostError(PlatformError):
    """The store no longer has the requested changes; read the whole table."""


class EraChangedError(PlatformError):
    """The store came back from an older copy during the call; read again."""


class ResponseDeclinedError(PlatformError):
    """The caller declined a response because of its size; ask for less."""


class UnreadableRowError(PlatformError):
    """A row of the store can't be decoded; correct or remove it."""


class UndecodableError(VerbenagradeError, ValueError):
    """Data of another writer can't be decoded; correct or remove it."""


class FencedError(VerbenagradeError):
    """Another instance sealed this instance's journal; restart the process."""


class PeerError(VerbenagradeError):
    """Base class of errors in requests to another instance."""


class PeerUnreachableError(PeerError):
    """The connection failed; the message was not sent."""


class PeerNoReplyError(PeerError):
    """The message was sent, but no reply arrived; it may have taken effect."""


class UpstreamUnreachableError(VerbenagradeError):
    """The connection to the endpoint failed; the request was not sent."""


class UpstreamFailedError(VerbenagradeError):
    """The endpoint failed after data was sent to it; the outcome is unknown."""


class UpstreamAttemptLostError(UpstreamFailedError):
    """The endpoint has no record of an earlier attempt of the request."""


class UpstreamTimeoutError(UpstreamFailedError):
    """The endpoint sent no data within the timeout; the outcome is unknown."""
