"""What the coordination layer needs of the platform, as plain functions.

Each port is a frozen set of functions, so that another protocol can be put
behind it and a test can pass closures over a dictionary.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

__all__ = [
    "Changes",
    "Check",
    "Clock",
    "Commit",
    "ObjectStore",
    "Row",
    "SharedTable",
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


@dataclass(frozen=True, slots=True)
class Commit:
    """What became of a transaction.

    ``version`` is that of the rows written. If it was not committed, ``rows``
    are the present rows among those that were checked.
    """

    committed: bool
    version: int
    rows: tuple[Row, ...] = ()


@dataclass(frozen=True, slots=True)
class Changes:
    """Rows that changed up to ``version``, and the keys that were removed.

    ``complete`` says that the rows are all there are, not only what changed.
    """

    version: int
    rows: tuple[Row, ...]
    removed: tuple[str, ...] = ()
    complete: bool = False


@dataclass(frozen=True, slots=True)
class SharedTable:
    """The platform's store as gateways use it; keys are ``table/part/key``.

    ``read`` gives the rows of the keys, ``None`` for each absent one. ``scan``
    gives the rows of one part whose keys begin with a prefix, as of one moment.
    ``commit`` writes rows of one part if all checks hold. ``load`` reads a table
    in full. ``follow`` waits up to a time in seconds for changes after a
    version, and raises ``HistoryLostError`` if they can't be told any more; it
    calls back as soon as an answer begins to arrive. All raise ``PlatformError``
    when no answer came; then a transaction may still have been committed, or may
    be later if its checks still hold.
    """

    read: Callable[[tuple[str, ...]], Awaitable[tuple[Row | None, ...]]]
    scan: Callable[[str], Awaitable[tuple[Row, ...]]]
    commit: Callable[[tuple[Check, ...], tuple[Write, ...]], Awaitable[Commit]]
    load: Callable[[str], Awaitable[Changes]]
    follow: Callable[[str, int, float, Callable[[], None]], Awaitable[Changes]]
