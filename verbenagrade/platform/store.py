"""The platform's store as the port ``SharedTable``, over HTTP."""

import asyncio
import base64
from collections.abc import Callable, Mapping

import aiohttp
import msgspec

from verbenagrade.coordination.ports import (
    Changes,
    Check,
    Commit,
    Row,
    SharedTable,
    Write,
)
from verbenagrade.exceptions import HistoryLostError, PlatformError
from verbenagrade.settings.gateway import GatewaySettings

__all__ = ["store_port"]

HTTP_CONFLICT = 412
HTTP_GONE = 410
PAGE_ROWS = 500
TRANSFER_S = 12.0
"""Longest time for an answer to arrive once it has begun, in seconds: a
configuration of 4 MB in base64 takes 9 s on a link of 5 Mbit/s."""

LAST_CHARACTER = "\U0010ffff"
MS_PER_S = 1000

Query = Mapping[str, str | int]


class WireRow(msgspec.Struct, frozen=True):
    """A row as the store sends it; ``value`` is base64."""

    table: str = ""
    part: str = ""
    key: str = ""
    value: str = ""
    ver: int = 0
    removed: bool = False

    def path(self) -> str:
        """Returns the row's key as the port spells it."""
        return f"{self.table}/{self.part}/{self.key}"


class WireRows(msgspec.Struct, frozen=True):
    """An answer about rows. ``ver`` is the store's newest version."""

    rows: tuple[WireRow, ...] = ()
    truncated: bool = False
    ver: int = 0


class WireAddress(msgspec.Struct, frozen=True, omit_defaults=False):
    """A row to check, write or remove, by its three names."""

    table: str
    part: str
    key: str


class WireCheck(WireAddress, frozen=True):
    """A row and the version that it must have; 0 means that there is none."""

    ver: int


class WireWrite(WireAddress, frozen=True):
    """A row and its new value in base64."""

    value: str


class WireTransaction(msgspec.Struct, frozen=True):
    """A transaction. ``expected_revision`` lists the rows to check."""

    expected_revision: tuple[WireCheck, ...]
    writes: tuple[WireWrite, ...]
    remove: tuple[WireAddress, ...]


class WireReply(msgspec.Struct, frozen=True):
    """A status and body of the store."""

    status: int
    body: bytes


class StoreClient:
    """Calls of the store over one session."""

    def __init__(
        self, session: aiohttp.ClientSession, settings: GatewaySettings
    ) -> None:
        self.session = session
        self.base = f"http://{settings.store.address}"
        self.patience_s = settings.tuning.store_timeout_s

    async def read(self, paths: tuple[str, ...]) -> tuple[Row | None, ...]:
        """Reads rows side by side."""
        return tuple(await asyncio.gather(*map(self._read_one, paths)))

    async def scan(self, prefix: str) -> tuple[Row, ...]:
        """Reads the first page of the rows of a part whose keys begin so."""
        address = _address(prefix)
        query = {
            "table": address.table,
            "part": address.part,
            "from": address.key,
            "to": address.key + LAST_CHARACTER,
            "limit": PAGE_ROWS,
        }
        found = await self._rows("rows-get", query, self.patience_s)
        return tuple(_row(row) for row in found.rows)

    async def commit(
        self, checks: tuple[Check, ...], writes: tuple[Write, ...]
    ) -> Commit:
        """Sends a transaction."""
        body = msgspec.json.encode(_transaction(checks, writes))
        reply = await self._ask("POST", "rows-tx", {}, body, self.patience_s)
        committed = reply.status != HTTP_CONFLICT
        if committed:
            _check_status("rows-tx", reply)
        answer = _decode(reply)
        present = tuple(_row(row) for row in answer.rows if row.ver)
        return Commit(committed, answer.ver, present)

    async def load(self, table: str) -> Changes:
        """Reads all pages of a table; changes meanwhile follow the first page."""
        query = {"table": table, "part": "", "limit": PAGE_ROWS}
        page = await self._rows("rows-get", query, self.patience_s)
        version = page.ver
        found = list(page.rows)
        while page.truncated and page.rows:
            start = page.rows[-1].key
            query = {**query, "from": start}
            page = await self._rows("rows-get", query, self.patience_s)
            found += [row for row in page.rows if row.key != start]
        return Changes(version, tuple(_row(row) for row in found), complete=True)

    async def follow(
        self, table: str, after: int, wait_s: float, begun: Callable[[], None]
    ) -> Changes:
        """Waits for changes of a table; calls ``begun`` when an answer arrives."""
        query = {
            "table": table,
            "after_revision": after,
            "wait_ms": int(wait_s * MS_PER_S),
        }
        page = await self._rows("rows-feed", query, wait_s + self.patience_s, begun)
        # A row may be removed and written again in one answer; the last one holds.
        newest = {row.path(): row for row in page.rows}.values()
        return Changes(
            max(after, page.ver),
            tuple(_row(row) for row in newest if not row.removed),
            tuple(row.path() for row in newest if row.removed),
        )

    async def _read_one(self, path: str) -> Row | None:
        address = _address(path)
        query = {
            "table": address.table,
            "part": address.part,
            "from": address.key,
            "limit": 1,
        }
        found = await self._rows("rows-get", query, self.patience_s)
        return next((_row(row) for row in found.rows if row.path() == path), None)

    async def _rows(
        self,
        call: str,
        query: Query,
        wait_s: float,
        begun: Callable[[], None] | None = None,
    ) -> WireRows:
        """Reads rows; raises ``HistoryLostError`` where history is missing."""
        reply = await self._ask("GET", call, query, None, wait_s, begun)
        if reply.status == HTTP_GONE:
            raise HistoryLostError(f"{call}: history is gone; read the table in full")
        _check_status(call, reply)
        return _decode(reply)

    async def _ask(
        self,
        method: str,
        call: str,
        query: Query,
        body: bytes | None,
        wait_s: float,
        begun: Callable[[], None] | None = None,
    ) -> WireReply:
        """Makes one call and returns its answer.

        ``wait_s`` is the longest time without a byte of it, in seconds.
        """
        try:
            async with self.session.request(
                method,
                f"{self.base}/{call}",
                params=query,
                data=body,
                headers={"Content-Type": "application/json"} if body else {},
                timeout=aiohttp.ClientTimeout(
                    total=wait_s + TRANSFER_S,
                    sock_connect=self.patience_s,
                    sock_read=wait_s,
                ),
            ) as response:
                if begun is not None:
                    begun()
                return WireReply(response.status, await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            reason = str(error) or type(error).__name__
            raise PlatformError(f"{call}: {reason}; wait for the store") from error


def store_port(
    session: aiohttp.ClientSession, settings: GatewaySettings
) -> SharedTable:
    """Returns the platform's store as plain functions."""
    client = StoreClient(session, settings)
    return SharedTable(
        client.read, client.scan, client.commit, client.load, client.follow
    )


def _transaction(
    checks: tuple[Check, ...], writes: tuple[Write, ...]
) -> WireTransaction:
    return WireTransaction(
        tuple(
            WireCheck(a.table, a.part, a.key, check.version)
            for check in checks
            for a in (_address(check.key),)
        ),
        tuple(
            WireWrite(a.table, a.part, a.key, base64.b64encode(write.value).decode())
            for write in writes
            for a in (_address(write.key),)
            if write.value is not None
        ),
        tuple(_address(write.key) for write in writes if write.value is None),
    )


def _address(path: str) -> WireAddress:
    table, part, key = path.split("/", 2)
    return WireAddress(table, part, key)


def _row(row: WireRow) -> Row:
    try:
        value = base64.b64decode(row.value)
    except ValueError:
        # Another writer's bytes; the reader of the row finds and logs them.
        value = b""
    return Row(row.path(), row.ver, value)


def _check_status(call: str, reply: WireReply) -> None:
    if reply.status != 200:
        raise PlatformError(f"{call}: status {reply.status}; wait for the store")


def _decode(reply: WireReply) -> WireRows:
    try:
        return msgspec.json.decode(reply.body, type=WireRows)
    except msgspec.DecodeError as error:
        raise PlatformError(f"not an answer of the store: {error}") from error
