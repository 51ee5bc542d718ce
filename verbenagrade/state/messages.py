"""The messages between instances, and the replies to them."""

from dataclasses import dataclass
from enum import StrEnum

from verbenagrade.state.bills import Bill
from verbenagrade.state.held_grant import Earlier, Reservation, Reserved, ReserveOrder
from verbenagrade.state.identity import Instance

__all__ = [
    "Accepted",
    "AttemptUnknown",
    "Claims",
    "ClaimsReply",
    "CrashReport",
    "Denial",
    "Denied",
    "FindAttempt",
    "Heartbeat",
    "HeartbeatReply",
    "Message",
    "QuarantineEnd",
    "QuarantineReply",
    "QuarantineRequest",
    "Recorded",
    "Release",
    "Replaced",
    "Reply",
    "Reserve",
    "Settle",
    "SettleReply",
    "Witness",
    "Witnessed",
]


class Denial(StrEnum):
    """Why a holder reserves no tokens."""

    EXHAUSTED = "exhausted"
    PLATFORM_AWAY = "platform_away"
    FULL = "full"
    STOPPING = "stopping"
    UNKNOWN_BUDGET = "unknown_budget"


@dataclass(frozen=True, slots=True)
class Reserve:
    """Requests a reservation from a holder."""

    order: ReserveOrder


@dataclass(frozen=True, slots=True)
class Denied:
    """Says that the holder reserved no tokens.

    ``left`` is the number of tokens that it has left. The caller may retry after
    ``retry_after_s`` seconds.
    """

    reason: Denial
    left: int
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Release:
    """Ends the reservation of an attempt of which nothing ran.

    Its idempotency key, if any, can be used again.
    """

    attempt: str
    budget: str
    workspace: str = ""
    key: str = ""


@dataclass(frozen=True, slots=True)
class Settle:
    """Sends bills to a holder and releases attempts of which nothing ran.

    Each bill is sent again until it is accepted. A message without bills asks
    which of the accepted bills are durable.
    """

    holder: Instance
    bills: tuple[Bill, ...] = ()
    releases: tuple[Release, ...] = ()


@dataclass(frozen=True, slots=True)
class Accepted:
    """Identifies a bill that the holder has accepted.

    ``place`` is its position in the holder's journal.
    """

    attempt: str
    place: int


@dataclass(frozen=True, slots=True)
class SettleReply:
    """Names the bills and releases that need not be sent again.

    Accepted bills whose place is below ``durable_below`` are durable.
    """

    accepted: tuple[Accepted, ...]
    released: tuple[str, ...]
    durable_below: int


@dataclass(frozen=True, slots=True)
class Witness:
    """Asks another instance to record reservations that a holder made for itself.

    The attempts in ``ended`` can be removed from the record. Nothing ran of the
    attempts in ``never_ran``, so their idempotency keys can be used again.
    """

    reservations: tuple[Reservation, ...] = ()
    ended: tuple[str, ...] = ()
    never_ran: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Witnessed:
    """Says that the reservations are recorded and the ended ones removed."""


@dataclass(frozen=True, slots=True)
class FindAttempt:
    """Asks which attempt an idempotency key of a workspace was used for."""

    workspace: str
    key: str


@dataclass(frozen=True, slots=True)
class AttemptUnknown:
    """Says that the instance knows no attempt of the key."""


@dataclass(frozen=True, slots=True)
class Claims:
    """Asks a spender for all its reservations and bills at a lost holder.

    From then on, the spender accepts no reservations from ``lost`` and sends its
    bills to ``recoverer``.
    """

    lost: Instance
    recoverer: Instance


@dataclass(frozen=True, slots=True)
class ClaimsReply:
    """Lists the open reservations, and the bills that may not be durable.

    ``orphans`` counts the reservations that the lost instance, as a spender,
    still has at the replying instance.
    """

    reservations: tuple[Reservation, ...]
    bills: tuple[Bill, ...]
    orphans: int = 0


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Reports that an endpoint crashed while it ran a request.

    ``digest`` identifies the request's content. ``quarantined`` says whether it
    ran in quarantine.
    """

    digest: str
    quarantined: bool


@dataclass(frozen=True, slots=True)
class QuarantineRequest:
    """Requests one of the endpoints for the quarantine of a suspected request."""

    digest: str
    endpoints: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class QuarantineReply:
    """Names the assigned endpoint, empty if none is free."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class QuarantineEnd:
    """Reports the end of a quarantine run."""

    digest: str
    endpoint: str
    succeeded: bool


@dataclass(frozen=True, slots=True)
class Recorded:
    """Says that a report was recorded."""


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Reports that the sender is running, and its configuration revision.

    A sender that is ``leaving`` will stop soon.
    """

    sender: Instance
    data_centre: str
    revision: int
    leaving: bool


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """Reports the configuration revision of the instance that got a heartbeat."""

    sender: Instance
    revision: int


@dataclass(frozen=True, slots=True)
class Replaced:
    """Says that the addressed instance has ended; ``current`` runs at its address."""

    current: Instance


Message = (
    Reserve
    | Settle
    | Witness
    | FindAttempt
    | Claims
    | Heartbeat
    | CrashReport
    | QuarantineRequest
    | QuarantineEnd
)
Reply = (
    Reserved
    | Denied
    | Earlier
    | AttemptUnknown
    | SettleReply
    | Witnessed
    | ClaimsReply
    | HeartbeatReply
    | QuarantineReply
    | Recorded
    | Replaced
)
