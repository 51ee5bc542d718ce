"""HTTP clients for the platform's services."""

from typing import TypeVar
from urllib.parse import quote

import aiohttp
import msgspec

from verbenagrade.coordination.ports import (
    Check,
    ObjectStore,
    Row,
    Table,
    VmEntry,
    VmList,
    Write,
)
from verbenagrade.exceptions import PlatformError, UndecodableError
from verbenagrade.protocol.platform import (
    ReadReply,
    ReadRequest,
    ScanReply,
    ScanRequest,
    TransactReply,
    TransactRequest,
    VmListReply,
)
from verbenagrade.settings import PlatformSettings
from verbenagrade.state.decoding import decode_json
from verbenagrade.transport.checked_responses import read_body

__all__ = ["object_store_port", "table_port", "vm_list_port"]

Reply = TypeVar("Reply")

MAX_RESPONSE_BYTES = 8_388_608
"""Largest size of a page of rows or of an object, in bytes."""

HTTP_NOT_FOUND = 404
HTTP_PRECONDITION_FAILED = 412


def table_port(session: aiohttp.ClientSession, settings: PlatformSettings) -> Table:
    """Returns a client for the table service.

    Its functions raise ``PlatformError`` if the service fails or times out.
    """
    base = settings.table_url
    timeout = aiohttp.ClientTimeout(total=settings.timeout_s)

    async def post(path: str, body: object, response_type: type[Reply]) -> Reply:
        """Posts a JSON body and decodes the response."""
        encoded = msgspec.json.encode(body)
        data = await _send(session, "POST", f"{base}{path}", encoded, timeout)
        return _decode(data, response_type)

    async def read(keys: tuple[str, ...]) -> tuple[Row | None, ...]:
        """Reads rows by key, ``None`` for absent ones."""
        response = await post("/read", ReadRequest(keys), ReadReply)
        return response.rows

    async def scan(prefix: str, after: str, limit: int) -> tuple[Row, ...]:
        """Reads up to ``limit`` rows by key prefix, after a key."""
        response = await post("/scan", ScanRequest(prefix, after, limit), ScanReply)
        return response.rows

    async def transact(checks: tuple[Check, ...], writes: tuple[Write, ...]) -> bool:
        """Commits a transaction; returns whether its checks held."""
        body = TransactRequest(checks, writes)
        response = await post("/transact", body, TransactReply)
        return response.committed

    return Table(read, scan, transact)


def object_store_port(
    session: aiohttp.ClientSession, settings: PlatformSettings
) -> ObjectStore:
    """Returns a client whose functions raise ``PlatformError`` on failure."""
    base = settings.objects_url
    timeout = aiohttp.ClientTimeout(total=settings.timeout_s)

    async def create(name: str, data: bytes) -> bool:
        """Creates an object; returns false if the name exists."""
        headers = {"If-None-Match": "*"}
        url = f"{base}/{quote(name)}"
        try:
            async with session.put(
                url, data=data, headers=headers, timeout=timeout
            ) as response:
                if response.status == HTTP_PRECONDITION_FAILED:
                    return False
                await _read_success(response)
                return True
        except (aiohttp.ClientError, TimeoutError) as error:
            raise _platform_error(url, error) from error

    async def get(name: str) -> bytes | None:
        """Returns an object's content, ``None`` if it does not exist."""
        url = f"{base}/{quote(name)}"
        try:
            async with session.get(url, timeout=timeout) as response:
                if response.status == HTTP_NOT_FOUND:
                    return None
                return await _read_success(response)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise _platform_error(url, error) from error

    async def names(prefix: str, after: str) -> tuple[str, ...]:
        """Lists object names with a prefix, after a name."""
        url = f"{base}/?prefix={quote(prefix)}&after={quote(after)}"
        data = await _send(session, "GET", url, None, timeout)
        return _decode(data, tuple[str, ...])

    return ObjectStore(create, get, names)


def vm_list_port(session: aiohttp.ClientSession, settings: PlatformSettings) -> VmList:
    """Returns a client for the VM list.

    Its function raises ``PlatformError`` if the service fails or times out.
    """
    timeout = aiohttp.ClientTimeout(total=settings.timeout_s)

    async def fetch() -> tuple[VmEntry, ...]:
        """Returns the entries of the VM list."""
        url = f"{settings.vm_list_url}/vms"
        data = await _send(session, "GET", url, None, timeout)
        return _decode(data, VmListReply).vms

    return VmList(fetch)


async def _send(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    body: bytes | None,
    timeout: aiohttp.ClientTimeout,
) -> bytes:
    try:
        async with session.request(method, url, data=body, timeout=timeout) as response:
            return await _read_success(response)
    except (aiohttp.ClientError, TimeoutError) as error:
        raise _platform_error(url, error) from error


async def _read_success(response: aiohttp.ClientResponse) -> bytes:
    data = await read_body(response, MAX_RESPONSE_BYTES)
    if not response.ok:
        raise PlatformError(
            f"{response.url}: status {response.status}; wait until it recovers"
        )
    return data


def _platform_error(url: str, error: Exception) -> PlatformError:
    reason = str(error) or type(error).__name__
    return PlatformError(f"{url}: {reason}; wait until the platform recovers")


def _decode(data: bytes, response_type: type[Reply]) -> Reply:
    try:
        return decode_json(data, response_type)
    except UndecodableError as error:
        raise PlatformError(f"invalid response from the platform: {error}") from error
