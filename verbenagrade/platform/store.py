"""HTTP client of the platform's store, which implements the port ``PlatformStore``."""

import asyncio
from collections.abc import Mapping

import aiohttp
import msgspec

from verbenagrade.coordination.ports import (
    AcceptResponse,
    Changes,
    Check,
    CommitResult,
    EraObserver,
    PlatformStore,
    Row,
    Write,
)
from verbenagrade.exceptions import (
    HistoryLostError,
    PlatformError,
    ResponseDeclinedError,
)
from verbenagrade.platform.store_format import (
    Page,
    WireRow,
    WireRows,
    decode_address,
    decode_era,
    decode_row,
    decode_rows,
    encode_transaction,
)
from verbenagrade.settings.gateway import GatewaySettings
from verbenagrade.transport.checked_responses import read_body, read_parts

__all__ = ["store_port"]

HTTP_PRECONDITION_FAILED = 412
HTTP_GONE = 410
ROWS_PER_PAGE = 500
MAX_SCAN_PAGES = 40
"""Largest number of pages that a scan reads: 20,000 rows."""

TRANSFER_TIMEOUT_S = 12.0
"""Time allowed for receiving a response once its transfer has started, in seconds.
A configuration of 4 MB in base64 takes 9 s on a link of 5 Mbit/s."""

MAX_RESPONSE_BYTES = 8_388_608
"""Largest size of a response, in bytes: more than a page of rows has, and what a link
of 5 Mbit/s transfers in that time."""

MAX_CHANGES_BYTES = 6_291_456
"""Largest size of a response with changes, in bytes. The whole table is read if there
are more."""

ERA_HEADER = "Store-Era"
"""Header of all responses, which counts how often the store lost recent writes."""

LAST_CODE_POINT = "\U0010ffff"
MS_PER_S = 1000

Query = Mapping[str, str | int]


class WireResponse(msgspec.Struct, frozen=True):
    """The HTTP status and body of a response of the store."""

    status: int
    body: bytes


class StoreClient:
    """Sends requests to the store over one HTTP session.

    ``eras`` observes the era of each response before its body is read. If it raises an
    exception, the response is dropped.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        settings: GatewaySettings,
        eras: EraObserver,
    ) -> None:
        self.session = session
        self.eras = eras
        self.base_url = f"http://{settings.store.address}"
        self.timeout_s = settings.tuning.store_timeout_s

    async def read(self, paths: tuple[str, ...]) -> tuple[Row | None, ...]:
        """Reads rows with concurrent requests; an absent row is ``None``."""
        return tuple(await asyncio.gather(*map(self._read_row, paths)))

    async def scan(self, prefix: str) -> tuple[Row, ...]:
        """Reads the rows of one part whose keys start with a prefix.

        ``prefix`` is ``table/part/key``. If there are several pages, changes since
        the first one are applied to the result, which thus shows a single moment.
        Raises ``PlatformError`` if there are more than ``MAX_SCAN_PAGES`` pages.
        """
        address = decode_address(prefix)
        query = {
            "table": address.table,
            "part": address.part,
            "from": address.key,
            "to": address.key + LAST_CODE_POINT,
            "limit": ROWS_PER_PAGE,
        }
        pages = await self._fetch_pages(query, None, MAX_SCAN_PAGES)
        found = {row.path(): row for page in pages for row in page.content.rows}
        if len(pages) > 1:
            after = pages[0].content.ver
            for row in await self._changed_rows(address.table, after):
                found.pop(row.path(), None)
                if row.path().startswith(prefix) and not row.removed:
                    found[row.path()] = row
        return tuple(decode_row(found[path]) for path in sorted(found))

    async def commit(
        self, checks: tuple[Check, ...], writes: tuple[Write, ...]
    ) -> CommitResult:
        """Commits a transaction if each checked row has the expected version.

        Otherwise the result contains the current state of the checked rows. Raises
        ``PlatformError`` if the store does not respond; the transaction may then
        have been committed or not.
        """
        body = msgspec.json.encode(encode_transaction(checks, writes))
        response = await self._request("POST", "rows-tx", {}, body, self.timeout_s)
        committed = response.status != HTTP_PRECONDITION_FAILED
        if committed:
            _check_status("rows-tx", response)
        result = decode_rows(response.body)
        present = tuple(decode_row(row) for row in result.rows if row.ver)
        return CommitResult(committed, result.ver, present, result.store_time_s())

    async def load(self, table: str, accept: AcceptResponse) -> Changes:
        """Reads all rows of a table, page by page.

        ``accept`` is called while the first page arrives. The result has the version
        of that page. Rows that change while later pages are read are reported again
        by ``follow`` after that version.
        """
        query = {"table": table, "part": "", "limit": ROWS_PER_PAGE}
        pages = await self._fetch_pages(query, accept)
        return Changes(
            pages[0].content.ver,
            tuple(decode_row(row) for page in pages for row in page.content.rows),
            complete=True,
            received_bytes=sum(page.received_bytes for page in pages),
            store_time_s=pages[0].content.store_time_s(),
        )

    async def follow(
        self, table: str, after: int, wait_s: float, accept: AcceptResponse
    ) -> Changes:
        """Waits up to ``wait_s`` seconds for changes of a table after a version.

        Raises ``HistoryLostError`` if the store no longer has the changes after
        ``after``, and ``ResponseDeclinedError`` if ``accept`` declines the response.
        """
        query = {
            "table": table,
            "after_revision": after,
            "wait_ms": int(wait_s * MS_PER_S),
        }
        page = await self._fetch_rows(
            "rows-feed",
            query,
            wait_s + self.timeout_s,
            lambda size_bytes: size_bytes <= MAX_CHANGES_BYTES and accept(size_bytes),
        )
        # One response can contain several changes of a row; the last one is current.
        rows = page.content.rows
        newest = {row.path(): row for row in rows}.values()
        return Changes(
            max(after, page.content.ver),
            tuple(decode_row(row) for row in newest if not row.removed),
            tuple(row.path() for row in newest if row.removed),
            received_bytes=page.received_bytes,
            superseded=len(rows) - len(newest),
            store_time_s=page.content.store_time_s(),
        )

    async def _fetch_pages(
        self,
        query: Query,
        accept: AcceptResponse | None,
        max_pages: int | None = None,
    ) -> list[Page]:
        """Fetches all pages of a range of rows; ``accept`` takes the first one."""
        pages = [await self._fetch_rows("rows-get", query, self.timeout_s, accept)]
        while pages[-1].content.truncated and _has_next(pages[-1].content):
            if len(pages) == max_pages:
                raise PlatformError(
                    f"rows-get: more than {max_pages} pages in {query['table']};"
                    " remove rows that are no longer needed"
                )
            last_key = pages[-1].content.rows[-1].key
            query = {**query, "from": last_key}
            page = await self._fetch_rows("rows-get", query, self.timeout_s)
            # A page begins with the row that it is asked from.
            rows = tuple(row for row in page.content.rows if row.key != last_key)
            content = msgspec.structs.replace(page.content, rows=rows)
            pages.append(Page(content, page.received_bytes))
        return pages

    async def _changed_rows(self, table: str, after: int) -> tuple[WireRow, ...]:
        """Fetches the changes of a table after a version, without waiting for any."""
        query = {"table": table, "after_revision": after, "wait_ms": 0}
        page = await self._fetch_rows("rows-feed", query, self.timeout_s)
        return page.content.rows

    async def _read_row(self, path: str) -> Row | None:
        address = decode_address(path)
        query = {
            "table": address.table,
            "part": address.part,
            "from": address.key,
            "limit": 1,
        }
        page = await self._fetch_rows("rows-get", query, self.timeout_s)
        found = (row for row in page.content.rows if row.path() == path)
        return next(map(decode_row, found), None)

    async def _fetch_rows(
        self,
        operation: str,
        query: Query,
        read_timeout_s: float,
        accept: AcceptResponse | None = None,
    ) -> Page:
        """Fetches rows.

        Raises ``HistoryLostError`` if the store no longer has the requested changes,
        and ``PlatformError`` for any other failure.
        """
        response = await self._request(
            "GET", operation, query, None, read_timeout_s, accept
        )
        if response.status == HTTP_GONE:
            raise HistoryLostError(
                f"{operation}: requested changes no longer available;"
                " read the whole table"
            )
        _check_status(operation, response)
        return Page(decode_rows(response.body), len(response.body))

    async def _request(
        self,
        method: str,
        operation: str,
        query: Query,
        body: bytes | None,
        read_timeout_s: float,
        accept: AcceptResponse | None = None,
    ) -> WireResponse:
        """Sends one HTTP request and returns the response.

        ``read_timeout_s`` is the maximum time between two reads, in seconds. Raises
        ``PlatformError`` if the request fails or times out.
        """
        era = self.eras.current()
        try:
            async with self.session.request(
                method,
                f"{self.base_url}/{operation}",
                params=query,
                data=body,
                headers={"Content-Type": "application/json"} if body else {},
                timeout=aiohttp.ClientTimeout(
                    total=read_timeout_s + TRANSFER_TIMEOUT_S,
                    sock_connect=self.timeout_s,
                    sock_read=read_timeout_s,
                ),
            ) as response:
                mark = decode_era(response.headers.get(ERA_HEADER, ""))
                self.eras.observe(mark, era)
                body = await _read_body(response, accept)
                return WireResponse(response.status, body)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            reason = str(error) or type(error).__name__
            raise PlatformError(
                f"{operation}: {reason}; retry when the store responds"
            ) from error


def store_port(
    session: aiohttp.ClientSession,
    settings: GatewaySettings,
    eras: EraObserver,
) -> PlatformStore:
    """Returns the port to the platform's store at the configured address."""
    client = StoreClient(session, settings, eras)
    return PlatformStore(
        client.read, client.scan, client.commit, client.load, client.follow
    )


async def _read_body(
    response: aiohttp.ClientResponse, accept: AcceptResponse | None
) -> bytes:
    """Reads the body of a response while ``accept`` takes its size.

    Raises ``ResponseDeclinedError`` as soon as it does not.
    """
    if accept is None:
        return await read_body(response, MAX_RESPONSE_BYTES)
    body = bytearray()
    _check_accepted(accept, response.content_length or 0)
    async for data in read_parts(response, MAX_RESPONSE_BYTES):
        body += data
        _check_accepted(accept, max(len(body), response.content_length or 0))
    return bytes(body)


def _check_accepted(accept: AcceptResponse, size_bytes: int) -> None:
    if not accept(size_bytes):
        raise ResponseDeclinedError(
            f"response of {size_bytes} bytes declined; read the whole table"
        )


def _has_next(content: WireRows) -> bool:
    """Returns whether a page tells the key of the next one.

    Raises ``PlatformError`` if it does not because its keys can't be read: the rows
    after it must not be taken for absent.
    """
    if not content.rows and content.left_out:
        raise PlatformError(
            f"no key of a page of {content.left_out} rows can be read; remove them"
        )
    return bool(content.rows)


def _check_status(operation: str, response: WireResponse) -> None:
    if response.status != 200:
        raise PlatformError(
            f"{operation}: HTTP status {response.status};"
            " retry when the store is available"
        )
