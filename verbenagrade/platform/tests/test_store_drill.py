"""Tests of a gateway whose store comes back from an older copy of itself."""

import asyncio

import msgspec
import pytest

from verbenagrade.coordination.grant_planning import MAX_PREPARED_BUDGETS
from verbenagrade.platform.tests.conftest import (
    API_KEY,
    configuration_document,
    route,
)
from verbenagrade.platform.tests.crashing_endpoints import CrashingEndpoints
from verbenagrade.platform.tests.endpoint_standin import plain

FLEET_ROWS = {"vm", "crash", "software", "relay", "store"}
"""Kinds of rows that a gateway writes to the table ``fleet`` after a crash."""


@pytest.fixture
async def drilled(testbed):
    """Returns a testbed with one endpoint, whose store tells its era."""
    testbed.store.era = 1
    await testbed.add_endpoint(plain())
    await testbed.start(configuration_document(1))
    await testbed.wait_until_ready()
    return testbed


async def come_back(testbed) -> None:
    """Lets the store come back from its copy after a short outage."""
    era = testbed.store.era
    testbed.store.status = 503
    await testbed.wait_until(lambda: testbed.core.configuration_freshness.unavailable)
    testbed.store.come_back_from_copy()
    testbed.store.status = 0
    await testbed.wait_until(lambda: testbed.core.eras.current == era + 1)
    await testbed.wait_until(
        lambda: not testbed.core.configuration_freshness.unavailable
    )


def version(testbed) -> int:
    return testbed.core.route_index.configuration.version


# Guards against a feed that goes on after a version that the store gives out again, and
# so misses what was written under the same versions.
async def test_endpoints_that_register_under_reused_versions_are_seen(drilled):
    drilled.store.take_copy()
    for _ in range(3):
        drilled.store.put("servers", "i-bytes", b"\xff")
    await drilled.wait_until(lambda: drilled.core.directory_loaded)
    await asyncio.sleep(0.1)
    drilled.store.status = 503
    await drilled.wait_until(lambda: drilled.core.directory_freshness.unavailable)
    drilled.store.come_back_from_copy()
    added = await drilled.add_endpoint(plain())
    for _ in range(3):
        drilled.store.put("op", "other", b"{}")
    drilled.store.status = 0
    await drilled.wait_until(lambda: added.name in drilled.core.directory.entries)


# Guards against a gateway that goes back to a configuration which the store restored.
async def test_older_configuration_of_the_copy_is_not_applied(drilled):
    drilled.store.take_copy()
    drilled.store.put("op", "config", configuration_document(2, tenants=[]))
    await drilled.wait_until(lambda: version(drilled) == 2)
    await come_back(drilled)
    await asyncio.sleep(0.3)
    assert version(drilled) == 2
    assert (await drilled.call("/safe/"))[0] == 401
    drilled.store.put("op", "config", configuration_document(3))
    await drilled.wait_until(lambda: version(drilled) == 3)
    assert (await drilled.call("/safe/"))[0] == 200


# Guards against a lost configuration that is kept although its version was given out
# again with another content.
async def test_same_version_with_another_content_is_applied_in_a_new_era(drilled):
    drilled.store.take_copy()
    drilled.store.put("op", "config", configuration_document(2, tenants=[]))
    await drilled.wait_until(lambda: version(drilled) == 2)
    await come_back(drilled)
    routes = [route("/new/", "safe")]
    drilled.store.put("op", "config", configuration_document(2, routes=routes))
    await drilled.wait_until(lambda: "/new/" in str(drilled.core.route_index.routes))
    assert (await drilled.call("/new/", key=API_KEY))[0] == 200


# Guards against new calls to an endpoint that was leaving before its entry went back.
async def test_endpoint_that_was_leaving_gets_no_call_after_its_entry_went_back(
    drilled,
):
    leaving = drilled.endpoints[0]
    staying = await drilled.add_endpoint(plain())
    await drilled.wait_until_ready()
    drilled.store.take_copy()
    entry = leaving.entry("pool", state="draining", sequence=2)
    drilled.store.put("servers", leaving.name, entry)
    await drilled.wait_until(
        lambda: drilled.core.directory.entries[leaving.name].leaving
    )
    await come_back(drilled)
    await asyncio.sleep(0.3)
    before = len(leaving.requests)
    assert [(await drilled.call("/safe/"))[0] for _ in range(6)] == [200] * 6
    assert (len(leaving.requests), len(staying.requests) >= 6) == (before, True)


# Guards against calls to an endpoint that was gone before its entry came back.
async def test_endpoint_that_was_gone_is_not_listed_again(drilled):
    gone = drilled.endpoints[0]
    await drilled.add_endpoint(plain())
    await drilled.wait_until_ready()
    drilled.store.take_copy()
    drilled.store.remove("servers", gone.name)
    await drilled.wait_until(lambda: gone.name not in drilled.core.directory.entries)
    await come_back(drilled)
    await asyncio.sleep(0.3)
    assert gone.name not in drilled.core.directory.entries
    drilled.store.put("servers", gone.name, gone.entry("pool", born=2000))
    await drilled.wait_until(lambda: gone.name in drilled.core.directory.entries)


# Guards against a VM and its reports of crashes that the store has lost.
async def test_presence_and_crash_reports_are_written_again(testbed):
    testbed.store.era = 1
    await CrashingEndpoints(testbed, lambda _: True, plain()).add(2)
    await testbed.start(configuration_document(1))
    await testbed.wait_until_ready()
    testbed.store.take_copy()
    assert (await testbed.call("/once/"))[0] == 502

    def fleet_keys():
        """Returns the kinds of rows in the table ``fleet``."""
        rows = [key for table, _, key in testbed.store.rows if table == "fleet"]
        return {key.split("/")[0] for key in rows}

    await testbed.wait_until(lambda: fleet_keys() == FLEET_ROWS)
    await come_back(testbed)
    await testbed.wait_until(lambda: fleet_keys() == FLEET_ROWS)


# Guards against refusals of calls for which this VM holds tokens, and against tokens
# that are spent twice.
async def test_budget_is_kept_over_a_drill(drilled):
    assert (await drilled.call("/safe/", Token_Count="100,100"))[0] == 200
    drilled.store.take_copy()
    assert (await drilled.call("/safe/", Token_Count="4000,100"))[0] == 200
    await come_back(drilled)
    account = drilled.core.allowance_manager.accounts["hotel"]
    await drilled.wait_until(lambda: not account.must_restore)
    shards = [msgspec.json.decode(row.value) for row in await restored_rows(drilled, 2)]
    assert sum(shard["tokens"] for shard in shards) >= 4100
    assert (await drilled.call("/safe/", Token_Count="10,10"))[0] == 200
    assert (await drilled.call("/safe/", Token_Count="9000,10"))[0] == 503


async def restored_rows(testbed, era):
    return await testbed.core.allowance_manager.table.scan(f"grants/hotel/e{era}/pot/")


# Guards against a store whose responses tell eras that can't be right.
@pytest.mark.parametrize("era", ["", "three", "0", "-1"])
async def test_invalid_era_changes_nothing(drilled, era):
    drilled.store.era = era
    drilled.store.put("op", "config", configuration_document(2))
    await drilled.wait_until(lambda: version(drilled) == 2)
    assert drilled.core.eras.current == 1
    assert (await drilled.call("/safe/", Token_Count="10,10"))[0] == 200


# Guards against a poison call that other VMs go on sending because the one report of
# its crash fell into an outage of the store.
async def test_crash_during_an_outage_is_reported_after_it(testbed):
    await CrashingEndpoints(testbed, lambda _: True, plain()).add(3)
    await testbed.start(configuration_document(1))
    await testbed.wait_until_ready()
    assert (await testbed.call("/once/", Token_Count="10,10"))[0] == 502
    testbed.store.status = 503
    assert (await testbed.call("/once/", body=b"another", Token_Count="1,1"))[0] == 502
    await asyncio.sleep(0.2)
    testbed.store.status = 0

    def crash_rows():
        """Returns the number of reported crashes."""
        keys = [key for table, _, key in testbed.store.rows if table == "fleet"]
        return sum(key.startswith("crash/") for key in keys)

    await testbed.wait_until(lambda: crash_rows() == 2)


# Guards against grants that are restored only with the next call, when others may have
# granted their tokens again. Larger budgets have grants before any call.
async def test_budget_is_restored_without_a_call(drilled):
    larger = [
        {"name": f"larger-{n}", "api_keys": [f"key-{n}"], "prepaid": 20_000}
        for n in range(MAX_PREPARED_BUDGETS)
    ]
    tenants = [*configuration_document()["tenants"], *larger]
    drilled.store.put("op", "config", configuration_document(2, tenants=tenants))
    await drilled.wait_until(lambda: version(drilled) == 2)
    assert (await drilled.call("/safe/", Token_Count="10,10"))[0] == 200
    account = drilled.core.allowance_manager.accounts["hotel"]
    drilled.store.take_copy()
    await come_back(drilled)
    await drilled.wait_until(lambda: account.era == drilled.store.era)
    await drilled.wait_until(lambda: not account.must_restore, timeout_s=2.0)
