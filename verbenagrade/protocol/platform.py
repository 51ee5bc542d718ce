"""JSON bodies of the platform's table service and VM list."""

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
    """The response to ``ReadRequest``: rows in the order of the requested keys.

    Absent rows are ``None``.
    """

    rows: tuple[Row | None, ...]


@dataclass(frozen=True, slots=True)
class ScanRequest:
    """Body of ``POST /scan``: up to ``limit`` rows after the key ``after``."""

    prefix: str
    after: str
    limit: int


@dataclass(frozen=True, slots=True)
class ScanReply:
    """The response to ``ScanRequest``: rows with the prefix, in key order."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class TransactRequest:
    """Body of ``POST /transact``: writes that apply only if all checks hold."""

    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class TransactReply:
    """The response to ``TransactRequest``: whether the transaction was committed."""

    committed: bool


@dataclass(frozen=True, slots=True)
class VmListReply:
    """The response to ``GET /vms``."""

    vms: tuple[VmEntry, ...]
