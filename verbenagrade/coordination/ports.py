"""The interfaces through which the coordination layer uses the platform.

Each port is a frozen dataclass of functions, so that it can be implemented with
another protocol, and a test can pass closures over a dictionary.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

__all__ = [
    "AcceptResponse",
    "Changes",
    "Check",
    "Clock",
    "CommitResult",
    "EraMark",
    "EraObserver",
    "ObjectStore",
    "PlatformStore",
    "Row",
    "Table",
    "VmEntry",
    "VmList",
    "Write",
]

Clock = Callable[[], float]
AcceptResponse = Callable[[int], bool]


@dataclass(frozen=True, slots=True)
class Row:
    """A table row. No version is used twice; an absent row has version 0."""

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class Check:
    """A condition of a transaction: the row must have this version."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """Stores a row, or deletes it if ``value`` is ``None``."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Table:
    """The transactional table service that routers use.

    ``read`` returns the rows of the given keys in their order, ``None`` for each
    absent row. ``scan`` takes a prefix, a key and a limit, and returns up to that
    number of rows whose keys start with the prefix and follow the key. ``transact``
    returns whether the transaction was committed. All raise ``PlatformError`` if no
    response arrives; the transaction may have been committed even so.
    """

    read: Callable[[tuple[str, ...]], Awaitable[tuple[Row | None, ...]]]
    scan: Callable[[str, str, int], Awaitable[tuple[Row, ...]]]
    transact: Callable[[tuple[Check, ...], tuple[Write, ...]], Awaitable[bool]]


@dataclass(frozen=True, slots=True)
class ObjectStore:
    """The object store.

    ``create`` returns false if an object with the name exists. ``get`` returns
    ``None`` if there is no such object. ``names`` takes a prefix and a name, and
    returns in order names that start with the prefix and follow the name; the
    result is empty after the last one. All raise ``PlatformError`` if no response
    arrives.
    """

    create: Callable[[str, bytes], Awaitable[bool]]
    get: Callable[[str], Awaitable[bytes | None]]
    names: Callable[[str, str], Awaitable[tuple[str, ...]]]


@dataclass(frozen=True, slots=True)
class VmEntry:
    """An entry of the platform's list of VMs."""

    vm: str
    data_centre: str
    address: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class VmList:
    """The platform's list of VMs, which may be out of date."""

    fetch: Callable[[], Awaitable[tuple[VmEntry, ...]]]


@dataclass(frozen=True, slots=True)
class EraMark:
    """What a response of the store tells about its era.

    The era rises by one each time that the store comes back from an older copy.
    ``era`` is ``None`` if ``text``, the received value, is missing or not a number.
    """

    era: int | None
    text: str = ""


@dataclass(frozen=True, slots=True)
class EraObserver:
    """Takes notice of the era of each response of the store.

    ``current`` returns the newest era known, which a client asks when it sends a
    request. ``observe`` takes what the response tells and that era. It raises
    ``PlatformError`` if the response must not be used.
    """

    current: Callable[[], int | None]
    observe: Callable[[EraMark, int | None], None]


@dataclass(frozen=True, slots=True)
class CommitResult:
    """The result of a transaction.

    ``version`` is the version of the written rows. If the transaction was not
    committed, ``rows`` contains those of the checked rows that exist.
    ``store_time_s`` is the time of the store's steady clock at the transaction, in
    seconds, ``None`` if the response does not tell it.
    """

    committed: bool
    version: int
    rows: tuple[Row, ...] = ()
    store_time_s: float | None = None


@dataclass(frozen=True, slots=True)
class Changes:
    """Rows that changed up to ``version``, and the keys of removed rows.

    If ``complete`` is true, ``rows`` contains all rows of the table, not only the
    changed ones. If ``restored`` is true too, the store has come back from an older
    copy, and rows may be older than those seen before. ``received_bytes`` is the size
    of the response, and ``superseded`` the number of its rows that a later row of the
    same response replaces. ``store_time_s`` is the time of the store's steady clock at
    the response, in seconds, ``None`` if it does not tell it.
    """

    version: int
    rows: tuple[Row, ...]
    removed: tuple[str, ...] = ()
    complete: bool = False
    restored: bool = False
    received_bytes: int = 0
    superseded: int = 0
    store_time_s: float | None = None


@dataclass(frozen=True, slots=True)
class PlatformStore:
    """The platform's store that gateways use.

    Keys have the form ``table/part/key``, where ``part`` names a partition of the
    table. ``read`` returns the rows of the given keys, ``None`` for each absent
    row. ``scan`` returns a consistent snapshot of the rows of one partition whose
    keys start with a prefix. ``commit`` writes rows of one partition if all checks
    hold. ``load`` reads a whole table. ``follow`` takes a table, a version, a time
    in seconds and a callback. It waits up to that time for changes after the
    version, and raises ``HistoryLostError`` if the store no longer has these
    changes. Both call the callback when a response begins to arrive and while it
    arrives, with its announced size or with what has arrived if that is more, in
    bytes. If the callback returns false, the rest is not read and
    ``ResponseDeclinedError`` is raised. All functions
    raise ``PlatformError`` if no response arrives. A transaction may then have been
    committed, or may still be committed later if its checks hold at that time.
    """

    read: Callable[[tuple[str, ...]], Awaitable[tuple[Row | None, ...]]]
    scan: Callable[[str], Awaitable[tuple[Row, ...]]]
    commit: Callable[[tuple[Check, ...], tuple[Write, ...]], Awaitable[CommitResult]]
    load: Callable[[str, AcceptResponse], Awaitable[Changes]]
    follow: Callable[[str, int, float, AcceptResponse], Awaitable[Changes]]
