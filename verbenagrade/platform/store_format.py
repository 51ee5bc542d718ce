"""Rows, transactions and eras as the platform's store encodes them."""

import base64
import json
from typing import Annotated

import msgspec

from verbenagrade.coordination.ports import Check, EraMark, Row, Write
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import PlatformError, UndecodableError
from verbenagrade.state.decoding import (
    Count,
    decode_json,
    is_text,
    parse_count,
)

__all__ = [
    "Page",
    "WireRow",
    "WireRows",
    "decode_address",
    "decode_era",
    "decode_row",
    "decode_rows",
    "encode_transaction",
]

MS_PER_S = 1000
MAX_ERA_LENGTH = 40
"""Length of the text that is kept of an era that can't be read, in characters."""


MAX_TIME_MS = 1e14
"""Largest time of the store's clock, in milliseconds, also if it shows Unix time."""

Milliseconds = Annotated[float, msgspec.Meta(ge=-MAX_TIME_MS, le=MAX_TIME_MS)]


class WireRow(msgspec.Struct, frozen=True):
    """A row in a response of the store; ``value`` is encoded in base64."""

    table: str = ""
    part: str = ""
    key: str = ""
    value: str = ""
    ver: Count = 0
    removed: bool = False

    def path(self) -> str:
        """Returns the key of the row in the port, ``table/part/key``."""
        return f"{self.table}/{self.part}/{self.key}"


class WireRows(msgspec.Struct, frozen=True):
    """A response that contains rows.

    ``ver`` is the store's latest version, ``now_ms`` the time of its steady clock in
    milliseconds. ``left_out`` counts the rows whose keys can't be read.
    """

    rows: tuple[WireRow, ...] = ()
    truncated: bool = False
    left_out: int = 0
    ver: Count = 0
    now_ms: Milliseconds | None = None

    def store_time_s(self) -> float | None:
        """Returns the time of the store's clock in seconds, ``None`` if not told."""
        return None if self.now_ms is None else self.now_ms / MS_PER_S


class WireAddress(msgspec.Struct, frozen=True, omit_defaults=False):
    """The address of a row that a transaction checks, writes or removes."""

    table: str
    part: str
    key: str


class WireCheck(WireAddress, frozen=True):
    """A row and its expected version; 0 means that the row must not exist."""

    ver: int


class WireWrite(WireAddress, frozen=True):
    """A row and its new value, encoded in base64."""

    value: str


class WireTransaction(msgspec.Struct, frozen=True):
    """A transaction; it is committed if all of ``expected_revision`` match."""

    expected_revision: tuple[WireCheck, ...]
    writes: tuple[WireWrite, ...]
    remove: tuple[WireAddress, ...]


class Page(msgspec.Struct, frozen=True):
    """A decoded response that contains rows, and its size in bytes."""

    content: WireRows
    received_bytes: int


def decode_era(text: str) -> EraMark:
    """Decodes the era of a response.

    >>> decode_era("3"), decode_era("three")
    (EraMark(era=3, text='3'), EraMark(era=None, text='three'))
    """
    try:
        return EraMark(parse_count(text), text)
    except UndecodableError:
        return EraMark(None, text[:MAX_ERA_LENGTH])


def encode_transaction(
    checks: tuple[Check, ...], writes: tuple[Write, ...]
) -> WireTransaction:
    """Encodes the conditions and writes of a transaction."""
    return WireTransaction(
        tuple(
            WireCheck(a.table, a.part, a.key, check.version)
            for check in checks
            for a in (decode_address(check.key),)
        ),
        tuple(
            WireWrite(a.table, a.part, a.key, base64.b64encode(write.value).decode())
            for write in writes
            for a in (decode_address(write.key),)
            if write.value is not None
        ),
        tuple(decode_address(write.key) for write in writes if write.value is None),
    )


def decode_address(path: str) -> WireAddress:
    """Returns the address of a row from its key in the port."""
    table, part, key = path.split("/", 2)
    return WireAddress(table, part, key)


def decode_row(row: WireRow) -> Row:
    """Decodes a row."""
    try:
        value = base64.b64decode(row.value, validate=True)
    except ValueError:
        # Other processes can write invalid base64. The row is returned with an empty
        # value, which its consumer detects and logs.
        value = b""
    return Row(row.path(), row.ver, value)


def decode_rows(body: bytes) -> WireRows:
    """Decodes a response; raises ``PlatformError`` if it is not valid.

    Keys and values come from many writers. A row whose key can't be read is left out,
    and a value that can't be read is empty, which is not the same as an absent row.
    """
    try:
        return decode_json(body, WireRows)
    except UndecodableError:
        pass
    try:
        return _decode_each_row(body)
    except (ValueError, RecursionError, MemoryError) as error:
        raise PlatformError(
            f"invalid response from the store: {error}; retry when it is correct"
        ) from error


def _decode_each_row(body: bytes) -> WireRows:
    """Decodes a response of which some row can't be read.

    Unlike ``msgspec``, the standard library accepts incomplete surrogate pairs.
    """
    content = json.loads(body.decode("utf-8", "surrogateescape"))
    if not isinstance(content, dict) or not isinstance(content.get("rows", []), list):
        raise ValueError("it is no object with rows")
    listed = content.pop("rows", [])
    rows = tuple(row for item in listed for row in _decode_item(item))
    return msgspec.structs.replace(
        msgspec.convert(content, WireRows),
        rows=rows,
        left_out=len(listed) - len(rows),
    )


def _decode_item(item: object) -> tuple[WireRow, ...]:
    """Decodes one row, an empty tuple if its key can't be read.

    Raises ``ValueError`` if it has no valid version, which the store itself sets.
    """
    fields = item if isinstance(item, dict) else {}
    address = [fields.get(name, "") for name in ("table", "part", "key")]
    if not all(isinstance(name, str) and is_text(name) for name in address):
        log_event(Event.ENTRY_IGNORED, row=ascii(address)[:200], reason="invalid key")
        return ()
    value = fields.get("value", "")
    if not isinstance(value, str) or not value.isascii():
        value = ""
    return (msgspec.convert({**fields, "value": value}, WireRow),)
