"""Decisions and what they are made from; no clock, no input or output."""

from verbenagrade.state.attempts import (
    KnownAttempts,
)
from verbenagrade.state.bills import (
    Bill,
    JournalBatch,
    JournalState,
    batch_key,
    journal_prefix,
)
from verbenagrade.state.budgets import (
    Adjusted,
    Adjustment,
    BudgetRow,
    GrantRow,
    adjust,
    retarget,
)
from verbenagrade.state.catalogue import (
    Catalogue,
)
from verbenagrade.state.demand import (
    DEMAND_WINDOW_S,
    DemandEstimate,
    HoldPolicy,
    wished_holding,
)
from verbenagrade.state.holding import (
    Earlier,
    Holding,
    Insufficient,
    Reservation,
    Reserved,
    ReserveOrder,
    Settlement,
    earlier_of,
)
from verbenagrade.state.identity import (
    GrantId,
    Instance,
    grants_prefix,
)
from verbenagrade.state.membership import (
    Members,
    MemberVm,
    rank,
)
from verbenagrade.state.messages import (
    Accepted,
    Answer,
    Claims,
    ClaimsReply,
    Denial,
    Denied,
    Heartbeat,
    HeartbeatReply,
    Message,
    Release,
    Replaced,
    Reserve,
    Settle,
    SettleReply,
    Witness,
    Witnessed,
)
from verbenagrade.state.outcome import (
    RequestOutcome,
)
from verbenagrade.state.resources import (
    Budget,
    EndpointAddress,
    Pool,
    Resource,
    Route,
    Spec,
    Workspace,
)
from verbenagrade.state.routing import (
    EndpointTable,
    RoutingChoice,
)

__all__ = [
    "DEMAND_WINDOW_S",
    "Accepted",
    "Adjusted",
    "Adjustment",
    "Answer",
    "Bill",
    "Budget",
    "BudgetRow",
    "Catalogue",
    "Claims",
    "ClaimsReply",
    "DemandEstimate",
    "Denial",
    "Denied",
    "Earlier",
    "EndpointAddress",
    "EndpointTable",
    "GrantId",
    "GrantRow",
    "Heartbeat",
    "HeartbeatReply",
    "HoldPolicy",
    "Holding",
    "Instance",
    "Insufficient",
    "JournalBatch",
    "JournalState",
    "KnownAttempts",
    "MemberVm",
    "Members",
    "Message",
    "Pool",
    "Release",
    "Replaced",
    "RequestOutcome",
    "Reservation",
    "Reserve",
    "ReserveOrder",
    "Reserved",
    "Resource",
    "Route",
    "RoutingChoice",
    "Settle",
    "SettleReply",
    "Settlement",
    "Spec",
    "Witness",
    "Witnessed",
    "Workspace",
    "adjust",
    "batch_key",
    "earlier_of",
    "grants_prefix",
    "journal_prefix",
    "rank",
    "retarget",
    "wished_holding",
]
