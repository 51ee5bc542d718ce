"""A call that the gateway serves, its progress and its result."""

import asyncio
from dataclasses import dataclass

import xxhash

from verbenagrade.state.calls import CallHead, CallKind
from verbenagrade.state.endpoint_stats import CallShape
from verbenagrade.state.outcome import RequestOutcome
from verbenagrade.state.placement import Placement
from verbenagrade.state.response_end import Framing
from verbenagrade.state.routes import RouteEntry, WorkspaceEntry
from verbenagrade.transport.gateway.send_limits import SendLimit
from verbenagrade.transport.sends import SentRequest

__all__ = ["Call", "CallProgress", "CallResult", "shared_parts"]


MAX_PART_NAME_LENGTH = 64


@dataclass(frozen=True, slots=True)
class Call:
    """An admitted call: its complete request, its route and its target service.

    ``started_at`` and ``deadline`` are times on the clock of the process, in
    seconds. ``deadline`` is the earlier of the caller's timeout and the route's.
    ``headers`` are those of the caller, except the hop-by-hop headers that
    ``Connection`` lists. ``tokens_per_event`` is the most tokens that one event of the
    service contains, ``None`` if that is not known. Later configurations change
    nothing of this.
    """

    head: CallHead
    method: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    route: RouteEntry
    service: str
    tokens_per_event: int | None
    workspace: WorkspaceEntry | None
    shape: CallShape
    started_at: float
    deadline: float

    @property
    def kind(self) -> CallKind:
        """The retry semantics of the call, as set by its route."""
        return self.route.kind

    @property
    def digest(self) -> str:
        """A hash of path, key and body, which is the same when a caller retries."""
        hasher = xxhash.xxh3_128()
        for part in (self.head.path, "\0", self.head.key, "\0"):
            hasher.update(part.encode("utf-8", "surrogateescape"))
        hasher.update(self.body)
        return hasher.hexdigest()

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Names of the parts of the prompt that other calls may share."""
        return shared_parts(self.head)

    @property
    def budgeted(self) -> bool:
        """Whether the call is charged to a prepaid budget."""
        workspace = self.workspace
        charged = workspace is not None and workspace.prepaid is not None
        return charged and self.head.tokens.total > 0

    def event_tokens(self, events: int) -> int:
        """Returns the most tokens that so many events of the call contain.

        It is the largest possible output if the tokens in an event are not known.
        """
        if self.tokens_per_event is None:
            return self.head.tokens.output if events else 0
        return events * self.tokens_per_event


def shared_parts(head: CallHead) -> tuple[str, ...]:
    """Returns the names of the parts of a prompt that other calls may share.

    The last part is the call's own. A name that does not fit into the key of a row is
    replaced by its hash.
    """
    names = (part.name for part in head.prompt[:-1])
    return tuple(
        name
        if name.isalnum() and len(name) <= MAX_PART_NAME_LENGTH
        else xxhash.xxh3_128_hexdigest(name.encode())
        for name in names
    )


class CallProgress:
    """The progress of a call over all endpoints that it was sent to.

    ``send_limit`` ends the wait of the call before it is first sent.
    ``limited_endpoints`` are the incarnations whose limits left no call for this VM
    when an endpoint was last chosen. ``placements`` counts the endpoints chosen.
    ``possible_runs`` counts the attempts after which the call may have run.
    ``successor`` is the endpoint that takes over next, for which a retry was taken.
    ``kept_logged`` is set once it was logged that the call stays at a slow endpoint.
    ``stream_version`` is the software version at which the stream has to go on, and
    ``None`` before its first event. ``version_record`` is the task that records the
    version of the present attempt, ``records`` counts such tasks, and
    ``version_required`` is set if no event may be delivered before it is done.
    ``sent_at`` is when the present attempt began, ``sent`` has its connections,
    ``through_vm`` tells whether another VM passes it on, and ``events_before_attempt``
    counts the events delivered until then. ``framing`` is that of the last response,
    ``None`` if the present attempt has none. ``holders`` are the VMs with which the
    call's tokens are reserved. Times are in seconds, on the clock of the process.
    """

    def __init__(self, resume_after: str, send_limit: SendLimit | None = None) -> None:
        self.send_limit = send_limit
        self.outcome = RequestOutcome()
        self.outcome.advance("reserve")
        self.placements = 0
        self.limited_endpoints: frozenset[str] = frozenset()
        self.possible_runs = 0
        self.excluded_endpoints: set[str] = set()
        self.successor: Placement | None = None
        self.kept_logged = False
        self.stream_version: str | None = None
        self.version_record: asyncio.Task[int] | None = None
        self.version_required = False
        self.records = 0
        self.last_event_id = resume_after
        self.delivered_events = 0
        self.sent_at = 0.0
        self.sent = SentRequest()
        self.through_vm = False
        self.framing: Framing | None = None
        self.events_before_attempt = 0
        self.granted_at = 0.0
        self.holders: tuple[str, ...] = ()
        self.last_event_at = 0.0
        self.longest_event_gap_s = 0.0
        self.first_response_at: float | None = None

    @property
    def attempt_events(self) -> int:
        """The number of events that the present attempt has brought."""
        return self.delivered_events - self.events_before_attempt


@dataclass(frozen=True, slots=True)
class CallResult:
    """The result of a call, for its log line and the metrics."""

    status: int
    reason: str = ""
