"""Bodies of the platform's table service and VM list, as JSON."""

from dataclasses import dataclass

from verbenagrade.coordination.ports import Check, Row, VmEntry, Write

__all__ = [
    "ReadReply",
    "ReadRequest",
    "ScanReply",
    "ScanRequest",
    "TransactReply",
    "TransactRequest",
    "VmListReply",
]


@dataclass(frozen=True, slots=True)
class ReadRequest:
    """Body of ``POST /read``."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReadReply:
    """The rows in the order of their keys, null for absent ones."""

    rows: tuple[Row | None, ...]


@dataclass(frozen=True, slots=True)
class ScanRequest:
    """Body of ``POST /scan``."""

    prefix: str
    after: str
    limit: int


@dataclass(frozen=True, slots=True)
class ScanReply:
    """Rows whose keys start with the prefix, in order."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class TransactRequest:
    """Body of ``POST /transact``."""

    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class TransactReply:
    """Whether the transaction was committed."""

    committed: bool


@dataclass(frozen=True, slots=True)
class VmListReply:
    """Answer of ``GET /vms``."""

    vms: tuple[VmEntry, ...]
