"""What the coordination layer needs of the platform, as plain functions.

Each port is a frozen set of functions, so that another protocol can be put
behind it and a test can pass closures over a dictionary.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

__all__ = [
    "Check",
    "Clock",
    "ObjectStore",
    "Row",
    "Table",
    "VmEntry",
    "VmList",
    "Write",
]

Clock = Callable[[], float]


@dataclass(frozen=True, slots=True)
class Row:
    """A table row. A version is never used twice; absent rows have version 0."""

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class Check:
    """Holds a transaction back unless the row has this version."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """Puts a row, or deletes it where the value is ``None``."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Table:
    """The transactional table service.

    ``read`` gives the rows of the keys in their order, ``None`` for each absent
    one. ``scan`` gives rows whose keys start with a prefix and follow a key.
    ``transact`` returns whether it was committed. All raise ``PlatformError``
    when no answer came; then a transaction may still have been committed.
    """

    read: Callable[[tuple[str, ...]], Awaitable[tuple[Row | None, ...]]]
    scan: Callable[[str, str, int], Awaitable[tuple[Row, ...]]]
    transact: Callable[[tuple[Check, ...], tuple[Write, ...]], Awaitable[bool]]


@dataclass(frozen=True, slots=True)
class ObjectStore:
    """The object store.

    ``create`` returns false if the name is taken. ``get`` gives ``None`` for an
    absent name. ``names`` lists names with a prefix that follow a name, in
    order. All raise ``PlatformError`` when no answer came.
    """

    create: Callable[[str, bytes], Awaitable[bool]]
    get: Callable[[str], Awaitable[bytes | None]]
    names: Callable[[str, str], Awaitable[tuple[str, ...]]]


@dataclass(frozen=True, slots=True)
class VmEntry:
    """A VM as the platform lists it."""

    vm: str
    data_centre: str
    address: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class VmList:
    """The platform's list of VMs, which lags."""

    fetch: Callable[[], Awaitable[tuple[VmEntry, ...]]]
