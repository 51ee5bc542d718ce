"""The messages that instances send each other, and their answers."""

from dataclasses import dataclass
from enum import StrEnum

from verbenagrade.state.bills import Bill
from verbenagrade.state.holding import Earlier, Reservation, Reserved, ReserveOrder
from verbenagrade.state.identity import Instance

__all__ = [
    "Accepted",
    "Answer",
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
    "Reserve",
    "Settle",
    "SettleReply",
    "Witness",
    "Witnessed",
]


class Denial(StrEnum):
    """Why a holder gives no tokens."""

    EXHAUSTED = "exhausted"
    PLATFORM_AWAY = "platform_away"
    FULL = "full"
    STOPPING = "stopping"
    UNKNOWN_BUDGET = "unknown_budget"


@dataclass(frozen=True, slots=True)
class Reserve:
    """Asks a holder for tokens."""

    order: ReserveOrder


@dataclass(frozen=True, slots=True)
class Denied:
    """The holder gives no tokens; ``retry_after_s`` is when to ask again."""

    reason: Denial
    left: int
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Release:
    """Ends the reservation of an attempt of which nothing ran.

    Its idempotency key, if any, is free again.
    """

    attempt: str
    budget: str
    workspace: str = ""
    key: str = ""


@dataclass(frozen=True, slots=True)
class Settle:
    """Hands bills to a holder and releases attempts of which nothing ran.

    Each bill is sent until it is accepted. A message without any asks which of
    the accepted ones are durable.
    """

    holder: Instance
    bills: tuple[Bill, ...] = ()
    releases: tuple[Release, ...] = ()


@dataclass(frozen=True, slots=True)
class Accepted:
    """A bill that the holder has, with its place in the holder's journal."""

    attempt: str
    place: int


@dataclass(frozen=True, slots=True)
class SettleReply:
    """Says what need not be sent again.

    Accepted bills whose place is below ``durable_below`` are durable.
    """

    accepted: tuple[Accepted, ...]
    released: tuple[str, ...]
    durable_below: int


@dataclass(frozen=True, slots=True)
class Witness:
    """Asks another instance to know of reservations that a holder gave itself.

    Those in ``ended`` need not be known any more. Of those in ``never_ran``
    nothing ran, so their idempotency keys are free.
    """

    reservations: tuple[Reservation, ...] = ()
    ended: tuple[str, ...] = ()
    never_ran: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Witnessed:
    """The reservations are known, and the ended ones forgotten."""


@dataclass(frozen=True, slots=True)
class FindAttempt:
    """Asks which attempt an idempotency key of a workspace was used for."""

    workspace: str
    key: str


@dataclass(frozen=True, slots=True)
class AttemptUnknown:
    """No attempt of the key is known here."""


@dataclass(frozen=True, slots=True)
class Claims:
    """Asks for all that a spender holds from a lost holder.

    The spender takes nothing more from ``lost`` and settles with
    ``recoverer`` from then on.
    """

    lost: Instance
    recoverer: Instance


@dataclass(frozen=True, slots=True)
class ClaimsReply:
    """Reservations still in use, and bills that were not known to be durable.

    ``orphans`` counts the reservations that the lost instance, as a spender,
    still has with the one that answers.
    """

    reservations: tuple[Reservation, ...]
    bills: tuple[Bill, ...]
    orphans: int = 0


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Says that an endpoint crashed while it ran a request's content."""

    digest: str
    quarantined: bool


@dataclass(frozen=True, slots=True)
class QuarantineRequest:
    """Asks for one of the endpoints to run a suspected request alone."""

    digest: str
    endpoints: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class QuarantineReply:
    """Names the endpoint, or nothing if none is free."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class QuarantineEnd:
    """Says that a quarantine run is over."""

    digest: str
    endpoint: str
    succeeded: bool


@dataclass(frozen=True, slots=True)
class Recorded:
    """The report is recorded."""


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Says that the sender runs, and which configuration it uses."""

    sender: Instance
    data_centre: str
    revision: int
    leaving: bool


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """The answer to a heartbeat."""

    sender: Instance
    revision: int


@dataclass(frozen=True, slots=True)
class Replaced:
    """The instance that was meant is gone; ``current`` runs at its address."""

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
Answer = (
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
