"""Tests that one odd row or message among good ones stops nothing but itself."""

import asyncio

import pytest

from verbenagrade.coordination.grant_transactions import GrantTransactions
from verbenagrade.platform.tests.conftest import API_KEY, configuration_document, route
from verbenagrade.platform.tests.endpoint_standin import plain
from verbenagrade.platform.tests.test_relayed_calls import (
    RELAY_LISTENER,
    start_cut_off,
)
from verbenagrade.tests.odd_values import CLOSED_NESTED, NESTED
from verbenagrade.transport.gateway import relay_client

TENANTS = [
    {"name": "hotel", "api_keys": [API_KEY], "prepaid": 100_000},
    {"name": "clinic", "api_keys": ["key-of-clinic"], "prepaid": 100_000},
]
BUDGETED = {"Token_Count": "100,10"}
HUGE = b"9" * 400
ODD_VALUES = (NESTED, CLOSED_NESTED, b"", b"\xff\xfe", HUGE, b"9" * 5000, b"{}", b"[]")
ENTRY = (
    b'{"service":"pool","address":"%s","zone":"muscat-a","slots":%s,'
    b'"state":"ready","born":%s}'
)
ODD_ENTRIES = (
    b'{"notes":' + NESTED,
    ENTRY % (b"127.0.0.1:99999", b"8", b"1"),
    ENTRY % (b"127.0.0.1:0", b"8", b"1"),
    ENTRY % (b"127.0.0.1:\xd9\xa3", b"8", b"1"),
    ENTRY % (b"999.0.0.1:80", b"8", b"1"),
    ENTRY % (b"127.0.0.1:80", HUGE, b"1"),
    ENTRY % (b"127.0.0.1:80", b"8", b"1e308"),
    ENTRY % (b"127.0.0.1:80", b"8", HUGE),
)
FLEET_ROWS = {
    "vm/front-9": b'{"incarnation":"a","relay_address":"127.0.0.1:99999"}',
    "relay/key": b'""',
    "trial/5c1e/" + "9" * 5000: b"{}",
    "trial/5c1e/x": b"{}",
    "limit/i-0@1000": b'{"limit_per_s":1.0,"at_s":1e308}',
    "software/pool": NESTED,
    "crash/a/i-0@1000": NESTED,
    "suspect/a/i-0@1000": CLOSED_NESTED,
    "x": NESTED,
}


async def start(testbed, endpoints=1) -> None:
    for _ in range(endpoints):
        await testbed.add_endpoint(plain())
    await testbed.start(configuration_document(tenants=TENANTS))
    await testbed.wait_until_ready()


@pytest.fixture
def failures(testbed):
    """Returns a function that counts the errors of the gateway's background work."""

    def count() -> int:
        """Returns the number of tasks that have ended."""
        return len([task for task in testbed.gateway.tasks if task.done()])

    return count


async def names(testbed) -> set[str]:
    return set(testbed.core.directory.entries)


# Guards against the entry of another writer after which no machine learned of any
# endpoint, neither while it ran nor after a restart.
@pytest.mark.parametrize("value", ODD_ENTRIES, ids=lambda value: str(value[:50]))
async def test_odd_entry_leaves_the_other_endpoints(testbed, value):
    testbed.store.put("servers", "i-odd", value)
    await start(testbed)
    for number in range(3):
        testbed.store.put("servers", f"i-odd{number}", value)
    added = await testbed.add_endpoint(plain())
    await testbed.wait_until(lambda: added.name in testbed.core.directory.entries)
    assert await names(testbed) == {"i-0", "i-1"}
    testbed.store.remove("servers", added.name)
    testbed.store.forget_history()
    await testbed.wait_until(
        lambda: added.name not in testbed.core.directory.entries, timeout_s=4.0
    )
    statuses = [(await testbed.call("/once/x"))[0] for _ in range(5)]
    assert statuses == [200] * 5


async def test_entry_that_another_writer_replaced_names_no_endpoint(testbed):
    await start(testbed, endpoints=2)
    testbed.store.put("servers", "i-0", b'{"notes":' + NESTED)
    await testbed.wait_until(
        lambda: "i-0" in testbed.core.directory.missing_until, timeout_s=1.0
    )
    for _ in range(5):
        assert (await testbed.call("/once/x"))[0] == 200
    assert testbed.endpoints[0].requests == []
    testbed.store.put("servers", "i-0", testbed.endpoints[0].entry("pool"))
    await testbed.wait_until(lambda: not testbed.core.directory.missing_until)


async def test_entry_of_another_partition_replaces_none(testbed):
    await start(testbed)
    entry = testbed.endpoints[0].entry("other")
    testbed.store.put("servers", "i-0", entry, part="elsewhere")
    testbed.store.remove("servers", "i-0", part="elsewhere")
    await testbed.add_endpoint(plain())
    await testbed.wait_until_ready()
    assert testbed.core.directory.entries["i-0"].service == "pool"
    assert not testbed.core.directory.missing_until


# Guards against the last good configuration being lost with one that can't be read.
@pytest.mark.parametrize("value", ODD_VALUES, ids=lambda value: str(value[:20]))
async def test_odd_configuration_leaves_the_last_one_in_force(testbed, value):
    await start(testbed)
    testbed.store.put("op", "config", value)
    testbed.store.put("op", "x", value)
    await asyncio.sleep(0.2)
    testbed.store.forget_history()
    await asyncio.sleep(0.4)
    assert testbed.core.route_index.configuration.version == 1
    assert (await testbed.call("/safe/", **BUDGETED))[0] == 200
    newer = configuration_document(2, routes=[route("/new/", "safe")], tenants=TENANTS)
    testbed.store.put("op", "config", newer)
    await testbed.wait_until(
        lambda: testbed.core.route_index.configuration.version == 2
    )
    assert (await testbed.call("/new/", **BUDGETED))[0] == 200


# Guards against a row of the fleet's table that ends the work on all others.
@pytest.mark.parametrize("key", FLEET_ROWS, ids=lambda key: key[:20])
async def test_odd_row_of_the_fleet_leaves_the_others(testbed, key, failures):
    testbed.store.put("fleet", key, FLEET_ROWS[key])
    await start(testbed)
    testbed.store.put("fleet", key, FLEET_ROWS[key])
    await testbed.start_another()
    other = testbed.others[0].core
    await testbed.wait_until(lambda: "front-2" in testbed.core.fleet.peers.peers)
    await testbed.wait_until(lambda: testbed.core.relay_keys.keys)
    await testbed.wait_until(
        lambda: other.relay_keys.keys[:1] == testbed.core.relay_keys.keys[:1]
    )
    assert len(testbed.core.relay_keys.keys[0]) == 32
    assert "front-9" not in testbed.core.fleet.peers.peers
    assert (await testbed.call("/safe/", **BUDGETED))[0] == 200
    assert not failures()


@pytest.mark.parametrize("table", ["spending", "permits", "streams"])
@pytest.mark.parametrize("value", ODD_VALUES, ids=lambda value: str(value[:20]))
async def test_odd_row_of_another_table_refuses_no_call(
    testbed, table, value, failures
):
    rows = {
        "spending": [("front-1", "e0"), ("front-9", "e0")],
        "permits": [("i-0@1000", "slots")],
        "streams": [(str(part), "call-1/001") for part in range(16)],
    }
    for part, key in rows[table]:
        testbed.store.put(table, key, value, part=part)
    await testbed.add_endpoint(plain(limit_per_s=50))
    await testbed.start(configuration_document(tenants=TENANTS))
    await testbed.wait_until_ready()
    for _ in range(3):
        assert (await testbed.call("/safe/", **BUDGETED))[0] == 200
        await asyncio.sleep(0.1)
    assert not failures()


# Guards against a row of a grant that can't be read and is taken for absent, so that
# its tokens are granted a second time.
@pytest.mark.parametrize("value", ODD_VALUES, ids=lambda value: str(value[:20]))
async def test_odd_row_of_a_grant_stops_only_its_budget(testbed, value, failures):
    testbed.store.put("grants", "pot/3", value, part="hotel")
    await start(testbed)
    status, _, headers = await testbed.call("/safe/", **BUDGETED)
    assert (status, "Retry-After" in headers) == (503, True)
    assert (await testbed.call("/safe/", key="key-of-clinic", **BUDGETED))[0] == 200
    rows = [name for name in testbed.store.rows if name[:2] == ("grants", "hotel")]
    assert rows == [("grants", "hotel", "pot/3")]
    assert not failures()


@pytest.mark.parametrize("key", ["pot/x", "pot/99", "pot/٣", "pot/", "vm/front-9/x"])
async def test_odd_key_among_the_rows_of_a_budget_grants_nothing(testbed, key):
    testbed.store.put("grants", key, {"tokens": 99_999}, part="hotel")
    await start(testbed)
    assert (await testbed.call("/safe/", **BUDGETED))[0] == 200
    account = testbed.core.allowance_manager.accounts["hotel"]
    assert 0 < account.granted <= 100_000
    restore = GrantTransactions(testbed.gateway.table, "x", testbed.core.clock)
    account.enter_era(1)
    await restore.restore(account)
    assert 0 < account.granted <= 100_000


# Guards against a request of another writer that gets a 500 from the machine that
# passes calls on.
@pytest.mark.parametrize(
    "order", [b"\xff", b"!!", b"gaRoZWFkZXJzkJCQ", b"kZGR" * 1500, b""]
)
async def test_odd_order_of_another_vm_is_rejected(testbed, order):
    await start(testbed)
    host, _, port = testbed.url(RELAY_LISTENER).removeprefix("http://").partition(":")
    for proof in (b"", b"\xff", b"00"):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"POST /safe/x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n"
            b"Verbenagrade-Relay-Order: %s\r\nVerbenagrade-Relay-Proof: %s\r\n\r\n"
            % (order, proof)
        )
        response = await asyncio.wait_for(reader.read(4096), 3.0)
        writer.close()
        assert response.split()[1] == b"403"


# Guards against a response at a VM's address, which may be somebody else's by now, that
# gets the caller a 500.
async def test_odd_result_of_another_vm_is_a_failed_attempt(testbed, monkeypatch):
    await start_cut_off(testbed, plain())

    async def send(core, call, progress, order, peer):
        response = await core.session.get(testbed.url(2) + "/metrics")
        response._headers = {
            relay_client.RESULT_HEADER: "\udcff",
            relay_client.PROOF_HEADER: "\udcff",
        }
        return response

    monkeypatch.setattr(relay_client, "_send", send)
    assert (await testbed.call("/once/x"))[0] == 502
