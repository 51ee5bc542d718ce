"""JSON bodies of the resource API for operators."""

import msgspec

from verbenagrade.exceptions import InvalidRequestError, UndecodableError
from verbenagrade.state.bills import Bill
from verbenagrade.state.budgets import BudgetRow
from verbenagrade.state.decoding import decode_json
from verbenagrade.state.resources import Resource

__all__ = [
    "ApplyBody",
    "BudgetReply",
    "ExplainReply",
    "ListReply",
    "ResourceReply",
    "StatusReply",
    "decode_apply",
    "resource_reply",
]


class ApplyBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``PUT /resources/{kind}/{name}``."""

    spec: msgspec.Raw
    generation: int = 0
    operation: str = ""


class ResourceReply(msgspec.Struct, frozen=True):
    """A resource, as returned to operators."""

    kind: str
    name: str
    generation: int
    revision: int
    spec: msgspec.Raw


class ListReply(msgspec.Struct, frozen=True):
    """Resources of one kind or of all kinds."""

    resources: tuple[ResourceReply, ...]


class PendingVm(msgspec.Struct, frozen=True):
    """A VM that has not confirmed a revision yet."""

    vm: str
    data_centre: str


class StatusReply(msgspec.Struct, frozen=True):
    """Whether a resource is in force on all VMs, and on which it is pending."""

    kind: str
    name: str
    revision: int
    in_force: bool
    waits_for: tuple[PendingVm, ...]


class BudgetReply(msgspec.Struct, frozen=True):
    """A budget's row and its available tokens."""

    name: str
    row: BudgetRow
    available: int


class ExplainReply(msgspec.Struct, frozen=True):
    """All bills of a workspace and their sum in tokens."""

    workspace: str
    tokens: int
    bills: tuple[Bill, ...]


def decode_apply(body: bytes) -> ApplyBody:
    """Decodes the body of an apply request.

    Raises ``InvalidRequestError``, which names the field and the expected value.
    """
    try:
        return decode_json(body, ApplyBody)
    except UndecodableError as error:
        raise InvalidRequestError(f"request body: {error}") from error


def resource_reply(resource: Resource) -> ResourceReply:
    """Returns a resource in the form that is sent to operators."""
    return ResourceReply(
        kind=resource.kind,
        name=resource.name,
        generation=resource.generation,
        revision=resource.revision,
        spec=msgspec.Raw(msgspec.json.encode(resource.spec)),
    )
