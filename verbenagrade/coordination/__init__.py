"""How instances act together through the platform and with each other."""

from verbenagrade.coordination.claims import (
    Claim,
    ClaimState,
    claim_key,
    finish_claim,
    take_claim,
    withdraw_claim,
)
from verbenagrade.coordination.codec import (
    decode_row,
    encode_row,
)
from verbenagrade.coordination.commits import (
    Step,
    commit,
)
from verbenagrade.coordination.configuration import (
    Declaration,
    Head,
    apply_resource,
    changes_after,
    decode_spec,
    list_resources,
    read_head,
    read_resource,
)
from verbenagrade.coordination.confirmations import (
    Confirmation,
    ConfirmationRow,
    missing_confirmations,
    read_confirmations,
    report_confirmations,
    reporter_of,
)
from verbenagrade.coordination.desk import (
    Admission,
    Ask,
    Desk,
    Used,
)
from verbenagrade.coordination.grants import (
    PLATFORM_RETRY_S,
    Grants,
)
from verbenagrade.coordination.heartbeats import (
    Heartbeats,
)
from verbenagrade.coordination.holder import (
    Holder,
    HolderLimits,
)
from verbenagrade.coordination.instance import (
    FleetInstance,
)
from verbenagrade.coordination.journal import (
    Journal,
)
from verbenagrade.coordination.ledger import (
    bills_of_workspace,
    journal_batches,
    total_tokens,
)
from verbenagrade.coordination.orphans import (
    AttemptCount,
    CloseAttempt,
    end_orphans,
)
from verbenagrade.coordination.ports import (
    Check,
    Clock,
    ObjectStore,
    Row,
    Table,
    VmEntry,
    VmList,
    Write,
)
from verbenagrade.coordination.quarantine import (
    Quarantine,
)
from verbenagrade.coordination.recovery import (
    Recovery,
)
from verbenagrade.coordination.refresh import (
    refresh_catalogue,
    refresh_members,
)
from verbenagrade.coordination.registry import (
    Registration,
    deregister,
    is_registered,
    list_registrations,
    lost_registrations,
    mark_spender_done,
    register,
    take_recovery,
)
from verbenagrade.coordination.settlement import (
    Account,
    Call,
    Settlements,
)
from verbenagrade.coordination.spender import (
    Spender,
    SpenderLimits,
)
from verbenagrade.coordination.treasury import (
    adjust_grant,
    budget_key,
    read_budget,
)
from verbenagrade.coordination.witnesses import (
    Witnesses,
)

__all__ = [
    "PLATFORM_RETRY_S",
    "Account",
    "Admission",
    "Ask",
    "AttemptCount",
    "Call",
    "Check",
    "Claim",
    "ClaimState",
    "Clock",
    "CloseAttempt",
    "Confirmation",
    "ConfirmationRow",
    "Declaration",
    "Desk",
    "FleetInstance",
    "Grants",
    "Head",
    "Heartbeats",
    "Holder",
    "HolderLimits",
    "Journal",
    "ObjectStore",
    "Quarantine",
    "Recovery",
    "Registration",
    "Row",
    "Settlements",
    "Spender",
    "SpenderLimits",
    "Step",
    "Table",
    "Used",
    "VmEntry",
    "VmList",
    "Witnesses",
    "Write",
    "adjust_grant",
    "apply_resource",
    "bills_of_workspace",
    "budget_key",
    "changes_after",
    "claim_key",
    "commit",
    "decode_row",
    "decode_spec",
    "deregister",
    "encode_row",
    "end_orphans",
    "finish_claim",
    "is_registered",
    "journal_batches",
    "list_registrations",
    "list_resources",
    "lost_registrations",
    "mark_spender_done",
    "missing_confirmations",
    "read_budget",
    "read_confirmations",
    "read_head",
    "read_resource",
    "refresh_catalogue",
    "refresh_members",
    "register",
    "report_confirmations",
    "reporter_of",
    "take_claim",
    "take_recovery",
    "total_tokens",
    "withdraw_claim",
]
