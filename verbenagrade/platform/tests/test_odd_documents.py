"""Tests that any bytes of documents, rows and headers give a value or one error."""

import socket

import hypothesis.strategies as st
import msgspec
import pytest
from hypothesis import given
from yarl import URL

from verbenagrade.exceptions import PlatformError
from verbenagrade.platform import CALL_FORMAT, DOCUMENT_FORMAT
from verbenagrade.platform.store import StoreClient
from verbenagrade.platform.store_format import (
    Page,
    decode_era,
    decode_row,
    decode_rows,
)
from verbenagrade.protocol.calls import EndpointCall
from verbenagrade.state.brittle_endpoints import BrittleEndpoints
from verbenagrade.state.directory import EndpointDirectory
from verbenagrade.state.documents import DocumentError
from verbenagrade.state.endpoint_stats import CallShape
from verbenagrade.state.placement import PlacementTable, VmLocation
from verbenagrade.state.routes import RouteIndex
from verbenagrade.tests.odd_values import EXTREMES, FUZZ, NESTED, any_bytes

ENTRY = {
    "service": b'"pool"',
    "address": b'"127.0.0.1:8080"',
    "zone": b'"muscat-a"',
    "slots": b"8",
    "state": b'"ready"',
    "born": b"1000",
    "version": b'"v1"',
}
ROUTE = {
    "name": b'"r"',
    "host": b'"site.example"',
    "prefix": b'"/a/"',
    "kind": b'"safe"',
    "timeout_ms": b"3000",
    "target_latency_ms": b"400",
    "priority": b"1",
    "traffic_split": b'[{"service":"a","weight":1},{"service":"b","weight":2}]',
    "max_attempts": b"2",
    "gap_aim_ms": b"300",
}
SERVICE = {
    "name": b'"pool"',
    "max_connections": b"10",
    "engine": b'{"stride":7,"kv_capacity_tokens":1000}',
}
ENGINE = {"stride": b"7", "kv_capacity_tokens": b"1000"}
WORKSPACE = {
    "name": b'"hotel"',
    "api_keys": b'["key"]',
    "priority": b"1",
    "prepaid": b"1000",
}
ROW = {
    "table": b'"servers"',
    "part": b'""',
    "key": b'"i-1"',
    "value": b'"YWJj"',
    "ver": b"3",
    "removed": b"false",
}
MAX_TIME_S = 1e12


def entry_with(**fields) -> bytes:
    """Returns an entry with the given bytes in place of some fields."""
    content = {**ENTRY, **fields}
    pairs = (b'"%s":%s' % (name.encode(), value) for name, value in content.items())
    return b"{" + b",".join(pairs) + b"}"


def use_entry(entry) -> None:
    """Does with an entry what a gateway does before it sends a call."""
    host, _, port = entry.address.rpartition(":")
    assert URL(f"http://{entry.address}/x", encoded=True).port == int(port)
    numeric = socket.AI_NUMERICHOST | socket.AI_NUMERICSERV
    assert socket.getaddrinfo(host, port, flags=numeric)
    with socket.socket(type=socket.SOCK_DGRAM) as sender:
        sender.connect_ex((host, int(port)))
    directory = EndpointDirectory(1.0)
    directory.put(entry)
    brittle = BrittleEndpoints(lambda: 9)
    brittle.record_response(entry.incarnation, 4.0, rejected=False, now=0.0)
    brittle.has_room(entry, 1, now=0.0)
    table = PlacementTable(VmLocation("muscat-a", {"muscat-a": "muscat"}), 1)
    assert table.choose([entry], (), CallShape(), 1.0).endpoint is entry
    call = EndpointCall(entry.name, 1.0, "", "", None)
    assert "\n" not in CALL_FORMAT.endpoint_headers((), call)["Expect-Instance"]
    assert 0 < entry.slots < 1e6
    assert len(entry.incarnation) + len(entry.software_version) < 1000
    assert entry.service and len(entry.service) < 1000


# Guards against an entry of another writer that ends the work on all entries.
@FUZZ
@given(any_bytes(ENTRY))
def test_any_entry_is_usable_or_a_document_error(data):
    try:
        entry = DOCUMENT_FORMAT.decode_endpoint("i-1", data)
    except DocumentError:
        return
    use_entry(entry)


# Guards against the entry of another writer that ended the feed of all machines.
@pytest.mark.parametrize(
    "data",
    [
        b'{"notes":' + NESTED,
        entry_with(address=b'"1.2.3.4:99999"'),
        entry_with(address=b'"1.2.3.4:0"'),
        entry_with(address=b'"1.2.3.4:\xd9\xa3"'),
        entry_with(address=b'"a.b.c.d:80"'),
        entry_with(address=b'"999.1.1.1:80"'),
        entry_with(slots=b"9" * 400),
        entry_with(slots=b"-1"),
        entry_with(born=b"1e308"),
        entry_with(version=b'"%s"' % (b"v" * 70_000)),
    ],
    ids=lambda data: data[:60].decode("utf-8", "replace"),
)
def test_entry_that_cannot_be_used_is_a_document_error(data):
    with pytest.raises(DocumentError):
        DOCUMENT_FORMAT.decode_endpoint("i-1", data)


@pytest.mark.parametrize("name", ["", "a\nb", "a\x00b", "x" * 2000])
def test_endpoint_whose_name_fits_in_no_header_is_a_document_error(name):
    with pytest.raises(DocumentError):
        DOCUMENT_FORMAT.decode_endpoint(name, entry_with())


def configurations(draw) -> bytes:
    """Draws a configuration in which one object is odd."""
    kind = draw(st.sampled_from(["route", "service", "engine", "tenant", "limits"]))
    route, service, tenant, limits = b"{}", b"{}", b"{}", b"{}"
    route = draw(any_bytes(ROUTE)) if kind == "route" else _object(ROUTE)
    service = draw(any_bytes(SERVICE)) if kind == "service" else _object(SERVICE)
    if kind == "engine":
        engine = draw(any_bytes(ENGINE))
        service = _object({**SERVICE, "engine": engine})
    tenant = draw(any_bytes(WORKSPACE)) if kind == "tenant" else _object(WORKSPACE)
    if kind == "limits":
        times = {"header_timeout_ms": b"10", "max_body_bytes": b"10"}
        limits = draw(any_bytes(times))
    return b'{"version":1,"routes":[%s],"services":[%s],"tenants":[%s],"limits":%s}' % (
        route,
        service,
        tenant,
        limits,
    )


def _object(fields) -> bytes:
    return (
        b"{"
        + b",".join(b'"%s":%s' % (n.encode(), v) for n, v in fields.items())
        + (b"}")
    )


# Guards against a configuration that can't be read and ends the work on newer ones.
@FUZZ
@given(st.composite(configurations)())
def test_any_configuration_is_usable_or_a_document_error(data):
    try:
        configuration = DOCUMENT_FORMAT.decode_configuration(data)
    except DocumentError:
        return
    RouteIndex(configuration).find("site.example", "/a/b")
    for route in configuration.routes:
        assert 0.0 <= route.timeout_s < MAX_TIME_S
        assert 0.0 <= route.target_latency_s < MAX_TIME_S
        assert 0.0 <= route.target_gap_s < MAX_TIME_S
        assert sum(share.weight for share in route.shares) < 1e300
        assert all(share.weight >= 0.0 for share in route.shares)
    for service in configuration.services:
        assert service.tokens_per_event >= 0
        assert service.memory_tokens / 12.0 >= 0.0
    for workspace in configuration.workspaces:
        assert (workspace.prepaid or 0) / 400 >= 0.0


def test_prepaid_tokens_below_0_leave_a_budget_without_any():
    tenant = _object({**WORKSPACE, "prepaid": b"-5"})
    data = b'{"version":1,"routes":[],"services":[],"tenants":[%s]}' % tenant
    (workspace,) = DOCUMENT_FORMAT.decode_configuration(data).workspaces
    assert workspace.prepaid == 0


@FUZZ
@given(any_bytes({"rows": b"[]", "truncated": b"false", "ver": b"4", "now_ms": b"9"}))
def test_any_response_of_the_store_is_usable_or_a_platform_error(body):
    try:
        content = decode_rows(body)
    except PlatformError:
        return
    assert 0 <= content.ver < 2**63
    assert abs(content.store_time_s() or 0.0) < MAX_TIME_S


# Guards against a row whose key or value can't be read and that hides all others.
@FUZZ
@given(any_bytes(ROW))
def test_any_row_of_a_response_hides_no_other(row):
    body = b'{"rows":[%s,{"table":"t","key":"k","value":"YWJj","ver":4}],"ver":5}'
    try:
        content = decode_rows(body % row)
    except PlatformError:
        return
    rows = [decode_row(row) for row in content.rows]
    assert rows[-1].value == b"abc"
    for row in rows:
        assert row.key.encode()
        assert 0 <= row.version < 2**63


@pytest.mark.parametrize(
    "row",
    [
        b'{"table":"t","key":"\\ud800","value":"YWJj","ver":3}',
        b'{"table":"t","key":"\xff","value":"YWJj","ver":3}',
        b'{"table":"t","key":"a","value":{"a":[]},"ver":3}',
        b'{"table":"t","key":"a","value":9,"ver":3}',
        b'{"table":"t","key":null,"value":"","ver":3}',
        b'{"table":"t","key":"a","value":"","ver":3,"notes":%s}' % (b"9" * 400),
    ],
)
def test_odd_row_of_a_response_leaves_the_others(row):
    body = b'{"rows":[%s,{"table":"t","key":"k","value":"YWJj","ver":4}],"ver":5}'
    rows = [decode_row(found) for found in decode_rows(body % row).rows]
    assert rows[-1].value == b"abc"
    assert all(row.value == b"" for row in rows[:-1])


def test_row_that_is_known_and_cannot_be_read_is_not_absent():
    body = b'{"rows":[{"table":"grants","part":"w","key":"pot/0","value":5,"ver":3}]}'
    (row,) = decode_rows(body).rows
    assert (decode_row(row).version, decode_row(row).value) == (3, b"")


# Guards against rows that are taken for absent because no key of the page before them
# can be read.
async def test_page_without_a_key_that_can_be_read_is_an_error(monkeypatch):
    odd = b'{"rows":[{"table":"servers","key":"\\ud800"}],"truncated":true}'

    async def fetch(*_args):
        return Page(decode_rows(odd), len(odd))

    monkeypatch.setattr(StoreClient, "_fetch_rows", fetch)
    client = object.__new__(StoreClient)
    client.timeout_s = 1.0
    with pytest.raises(PlatformError, match="no key"):
        await client.load("servers", lambda _size: True)


@pytest.mark.parametrize("value", ["a", "éé", "%%%% YWFh", "YWFh\n!"])
def test_value_that_is_not_base64_is_empty(value):
    body = msgspec.json.encode({"rows": [{"key": "a", "value": value, "ver": 3}]})
    (row,) = decode_rows(body).rows
    assert decode_row(row).value == b""


# Guards against an era of thousands of digits that ends the work on all tables.
@pytest.mark.parametrize("text", ["9" * 5000, "٣", "-1", "", "1.5", " 1"])
def test_odd_era_tells_nothing(text):
    assert decode_era(text).era is None


@pytest.mark.parametrize("value", EXTREMES, ids=lambda value: repr(value[:20]))
def test_odd_value_in_a_field_that_nobody_reads_ends_nothing(value):
    data = entry_with()[:-1] + b',"notes":' + value + b"}"
    try:
        DOCUMENT_FORMAT.decode_endpoint("i-1", data)
    except DocumentError:
        return
