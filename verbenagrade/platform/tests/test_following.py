"""Tests of a gateway while configuration, endpoints and the store change."""

import asyncio
import socket

import logbook

from verbenagrade.events import Event
from verbenagrade.platform.tests.conftest import API_KEY, configuration_document, route
from verbenagrade.platform.tests.endpoint_standin import plain


async def test_newer_configuration_is_applied_and_older_is_ignored(testbed):
    await testbed.add_endpoint(plain())
    await testbed.start(configuration_document(5))
    await testbed.wait_until_ready()
    testbed.store.put(
        "op", "config", configuration_document(9, routes=[route("/new/", "safe")])
    )
    await testbed.wait_until(
        lambda: testbed.core.route_index.configuration.version == 9
    )
    assert (await testbed.call("/new/"))[0] == 200
    assert (await testbed.call("/safe/"))[0] == 404
    testbed.store.put("op", "config", configuration_document(7))
    await asyncio.sleep(0.2)
    assert testbed.core.route_index.configuration.version == 9


async def test_malformed_configuration_is_ignored(testbed):
    await testbed.add_endpoint(plain())
    await testbed.start(configuration_document(5, unknown_field={"a": 1}))
    await testbed.wait_until_ready()
    testbed.store.put("op", "config", b"{not json")
    testbed.store.put("op", "config", {"version": 8, "routes": "none"})
    await asyncio.sleep(0.2)
    assert testbed.core.route_index.configuration.version == 5
    assert (await testbed.call("/safe/"))[0] == 200


async def test_revoked_key_is_refused_on_an_open_connection(testbed):
    await testbed.add_endpoint(plain())
    await testbed.start(configuration_document(1))
    await testbed.wait_until_ready()
    assert (await testbed.call("/safe/"))[0] == 200
    testbed.store.put("op", "config", configuration_document(2, tenants=[]))
    await testbed.wait_until(
        lambda: testbed.core.route_index.configuration.version == 2
    )
    assert (await testbed.call("/safe/"))[0] == 401


async def test_malformed_endpoint_entries_are_ignored(testbed):
    good = await testbed.add_endpoint(plain())
    await testbed.start(configuration_document())
    await testbed.wait_until_ready()
    testbed.store.put("servers", "i-bytes", b"\xff\x00")
    testbed.store.put("servers", "i-type", good.entry("pool", slots="many"))
    testbed.store.put("servers", "i-state", good.entry("pool", state="resting"))
    testbed.store.put("servers", "i-address", good.entry("pool", address="nowhere"))
    await asyncio.sleep(0.2)
    assert list(testbed.core.directory.entries) == [good.name]


async def test_leaving_endpoint_gets_no_new_call(testbed):
    leaving = await testbed.add_endpoint(plain())
    staying = await testbed.add_endpoint(plain())
    await testbed.start(configuration_document())
    await testbed.wait_until_ready()
    entry = leaving.entry("pool", state="draining", sequence=2)
    testbed.store.put("servers", leaving.name, entry)
    await testbed.wait_until(
        lambda: testbed.core.directory.entries[leaving.name].leaving
    )
    before = len(leaving.requests)
    for _ in range(5):
        assert (await testbed.call("/safe/"))[0] == 200
    assert (len(leaving.requests), len(staying.requests) >= 5) == (before, True)


async def test_endpoint_removed_during_an_outage_still_serves(testbed):
    endpoint = await testbed.add_endpoint(plain())
    await testbed.start(configuration_document())
    await testbed.wait_until_ready()
    testbed.store.status = 503
    await testbed.wait_until(lambda: testbed.core.directory_freshness.unavailable)
    testbed.store.remove("servers", endpoint.name)
    assert (await testbed.call("/safe/"))[0] == 200
    testbed.store.status = 0
    await testbed.wait_until(lambda: not testbed.core.directory_freshness.unavailable)
    await testbed.wait_until(
        lambda: endpoint.name in testbed.core.directory.missing_until
    )
    assert (await testbed.call("/safe/"))[0] == 200
    testbed.store.put("servers", endpoint.name, endpoint.entry("pool"))
    await testbed.wait_until(lambda: not testbed.core.directory.missing_until)


async def test_entry_removed_and_restored_in_one_response_is_kept(testbed):
    endpoint = await testbed.add_endpoint(plain())
    await testbed.start(configuration_document())
    await testbed.wait_until_ready()
    testbed.store.status = 503
    await testbed.wait_until(lambda: testbed.core.directory_freshness.unavailable)
    testbed.store.remove("servers", endpoint.name)
    testbed.store.put("servers", endpoint.name, endpoint.entry("pool"))
    testbed.store.status = 0
    await testbed.wait_until(lambda: not testbed.core.directory_freshness.unavailable)
    assert endpoint.name not in testbed.core.directory.missing_until
    await asyncio.sleep(2.5)
    assert (await testbed.call("/safe/"))[0] == 200


async def test_lost_history_causes_a_full_read(testbed):
    await testbed.add_endpoint(plain())
    await testbed.start(configuration_document(1))
    await testbed.wait_until_ready()
    testbed.store.status = 503
    await testbed.wait_until(lambda: testbed.core.configuration_freshness.unavailable)
    testbed.store.put("op", "config", configuration_document(2))
    testbed.store.forget_history()
    testbed.store.status = 0
    await testbed.wait_until(
        lambda: testbed.core.route_index.configuration.version == 2
    )


async def test_unknown_route_without_store_contact_gets_503(testbed):
    await testbed.add_endpoint(plain())
    await testbed.start(configuration_document(1))
    await testbed.wait_until_ready()
    testbed.store.status = 503
    await testbed.wait_until(
        lambda: (
            testbed.core.configuration_freshness.staleness_s(testbed.core.clock()) > 1.0
        )
    )
    assert (await testbed.call("/nowhere/"))[0] == 503
    assert (await testbed.call("/safe/", key="unknown"))[0] == 503
    assert (await testbed.call("/safe/", key=API_KEY))[0] == 200


async def test_unknown_route_gets_503_while_a_large_change_arrives(testbed):
    """The gateway must not refuse a new route with 404 while the change is arriving.

    A configuration of 1,800 routes takes 2.4 s on a link of 5 Mbit/s.
    """
    await testbed.add_endpoint(plain())
    await testbed.start(configuration_document(1))
    await testbed.wait_until_ready()
    await asyncio.sleep(0.5)
    assert (await testbed.call("/unheard-of/"))[0] == 404
    testbed.store.transfer_s = 1.8
    testbed.store.put(
        "op", "config", configuration_document(2, routes=[route("/new/", "safe")])
    )
    await asyncio.sleep(1.3)
    assert (await testbed.call("/new/"))[0] == 503
    await testbed.wait_until(
        lambda: testbed.core.route_index.configuration.version == 2
    )
    assert (await testbed.call("/new/"))[0] == 200


async def test_large_configuration_is_read_over_a_slow_link(testbed):
    """A gateway on a slow link must not time out while it is receiving data."""
    testbed.store.transfer_s = 2.0
    await testbed.add_endpoint(plain())
    await testbed.start(configuration_document(1))
    await testbed.wait_until_ready()
    assert (await testbed.call("/safe/"))[0] == 200


async def test_response_with_outdated_rows_is_logged_and_counted(testbed):
    """On-call must see how much of a response was outdated on arrival."""
    await testbed.add_endpoint(plain())
    await testbed.start(configuration_document(1))
    await testbed.wait_until_ready()
    testbed.store.status = 503
    await testbed.wait_until(lambda: testbed.core.configuration_freshness.unavailable)
    testbed.store.put("op", "config", configuration_document(2))
    testbed.store.put("op", "config", configuration_document(3))
    with logbook.TestHandler().applicationbound() as logs:
        testbed.store.status = 0
        await testbed.wait_until(
            lambda: testbed.core.route_index.configuration.version == 3
        )
    received = [
        record.extra["fields"]
        for record in logs.records
        if record.extra["event"] is Event.TABLE_RECEIVED
        and record.extra["fields"]["table"] == "op"
    ]
    assert [(fields["rows"], fields["superseded"]) for fields in received] == [(1, 1)]
    assert testbed.core.metrics.superseded_rows.get({"table": "op"}) == 1


# Guards against a long poll on a connection that silently went dead, which looks like
# a table that does not change, for as long as the poll lasts.
async def test_connections_to_the_store_end_within_4_s_of_going_silent(testbed):
    await testbed.start(configuration_document(1))
    testbed.store.transfer_s = 0.5
    async with testbed.gateway.store_session.get(
        f"http://{testbed.store.address}/rows-feed",
        params={"table": "op", "after_revision": 0, "wait_ms": 100},
    ) as response:
        sock = response.connection.transport.get_extra_info("socket")
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
        idle, interval, probes, unacknowledged_ms = (
            sock.getsockopt(socket.IPPROTO_TCP, option)
            for option in (
                socket.TCP_KEEPIDLE,
                socket.TCP_KEEPINTVL,
                socket.TCP_KEEPCNT,
                socket.TCP_USER_TIMEOUT,
            )
        )
    assert 0 < idle + interval * probes < 4
    assert 0 < unacknowledged_ms < 4000


# Guards against a counter that stays 0 while the store does not respond.
async def test_failed_requests_to_the_store_are_counted(testbed):
    await testbed.start(configuration_document(1))
    metrics = testbed.core.metrics
    await testbed.wait_until(lambda: testbed.core.ready)
    testbed.store.status = 503
    await testbed.wait_until(lambda: testbed.core.configuration_freshness.unavailable)
    assert metrics.store_away.get({}) >= 1


# Guards against a new process that passes on calls which are known to crash endpoints,
# and against one that never gets ready because only a part of the store responds.
async def test_process_is_ready_2_s_after_its_start_if_the_fleet_is_not_known(testbed):
    testbed.store.silent_table = "fleet"
    await testbed.add_endpoint(plain())
    await testbed.start(configuration_document())
    await testbed.wait_until(lambda: testbed.core.directory_loaded)
    assert not testbed.core.ready
    await testbed.wait_until_ready()
    assert not testbed.core.fleet.loaded
    assert testbed.core.clock() - testbed.core.started_at >= 2.0
