"""What a gateway believes while configuration, endpoints and store change."""

import asyncio

from verbenagrade.platform.tests.conftest import KEY, configuration, route
from verbenagrade.platform.tests.replica_standin import plain


async def test_newer_configuration_takes_over_and_older_never_does(world):
    await world.replica(plain())
    await world.start(configuration(5))
    await world.until_ready()
    world.store.put("op", "config", configuration(9, routes=[route("/new/", "safe")]))
    await world.until(lambda: world.core.index.configuration.version == 9)
    assert (await world.call("/new/"))[0] == 200
    assert (await world.call("/safe/"))[0] == 404
    world.store.put("op", "config", configuration(7))
    await asyncio.sleep(0.2)
    assert world.core.index.configuration.version == 9


async def test_malformed_configuration_is_ignored(world):
    await world.replica(plain())
    await world.start(configuration(5, unknown_field={"a": 1}))
    await world.until_ready()
    world.store.put("op", "config", b"{not json")
    world.store.put("op", "config", {"version": 8, "routes": "none"})
    await asyncio.sleep(0.2)
    assert world.core.index.configuration.version == 5
    assert (await world.call("/safe/"))[0] == 200


async def test_revoked_key_is_refused_on_an_open_connection(world):
    await world.replica(plain())
    await world.start(configuration(1))
    await world.until_ready()
    assert (await world.call("/safe/"))[0] == 200
    world.store.put("op", "config", configuration(2, tenants=[]))
    await world.until(lambda: world.core.index.configuration.version == 2)
    assert (await world.call("/safe/"))[0] == 401


async def test_entries_of_other_writers_name_no_endpoint(world):
    good = await world.replica(plain())
    await world.start(configuration())
    await world.until_ready()
    world.store.put("servers", "i-bytes", b"\xff\x00")
    world.store.put("servers", "i-type", good.entry("pool", slots="many"))
    world.store.put("servers", "i-state", good.entry("pool", state="resting"))
    world.store.put("servers", "i-address", good.entry("pool", address="nowhere"))
    await asyncio.sleep(0.2)
    assert list(world.core.directory.entries) == [good.name]


async def test_leaving_endpoint_gets_no_new_call(world):
    leaving = await world.replica(plain())
    staying = await world.replica(plain())
    await world.start(configuration())
    await world.until_ready()
    entry = leaving.entry("pool", state="draining", sequence=2)
    world.store.put("servers", leaving.name, entry)
    await world.until(lambda: world.core.directory.entries[leaving.name].leaving)
    before = len(leaving.seen)
    for _ in range(5):
        assert (await world.call("/safe/"))[0] == 200
    assert (len(leaving.seen), len(staying.seen) >= 5) == (before, True)


async def test_entries_that_lapse_in_an_outage_still_serve(world):
    replica = await world.replica(plain())
    await world.start(configuration())
    await world.until_ready()
    world.store.status = 503
    await world.until(lambda: world.core.directory_contact.away)
    world.store.remove("servers", replica.name)
    assert (await world.call("/safe/"))[0] == 200
    world.store.status = 0
    await world.until(lambda: not world.core.directory_contact.away)
    await world.until(lambda: replica.name in world.core.directory.missing)
    assert (await world.call("/safe/"))[0] == 200
    world.store.put("servers", replica.name, replica.entry("pool"))
    await world.until(lambda: not world.core.directory.missing)


async def test_entry_that_lapsed_and_came_back_in_one_answer_is_there(world):
    replica = await world.replica(plain())
    await world.start(configuration())
    await world.until_ready()
    world.store.status = 503
    await world.until(lambda: world.core.directory_contact.away)
    world.store.remove("servers", replica.name)
    world.store.put("servers", replica.name, replica.entry("pool"))
    world.store.status = 0
    await world.until(lambda: not world.core.directory_contact.away)
    assert replica.name not in world.core.directory.missing
    await asyncio.sleep(2.5)
    assert (await world.call("/safe/"))[0] == 200


async def test_lost_history_is_answered_by_a_full_read(world):
    await world.replica(plain())
    await world.start(configuration(1))
    await world.until_ready()
    world.store.status = 503
    await world.until(lambda: world.core.contact.away)
    world.store.put("op", "config", configuration(2))
    world.store.forget_history()
    world.store.status = 0
    await world.until(lambda: world.core.index.configuration.version == 2)


async def test_unknown_route_without_contact_is_not_called_unknown(world):
    await world.replica(plain())
    await world.start(configuration(1))
    await world.until_ready()
    world.store.status = 503
    await world.until(lambda: world.core.contact.stale_s(world.core.clock()) > 1.0)
    assert (await world.call("/nowhere/"))[0] == 503
    assert (await world.call("/safe/", key="unknown"))[0] == 503
    assert (await world.call("/safe/", key=KEY))[0] == 200


async def test_route_is_not_called_unknown_while_a_large_change_arrives(world):
    """A configuration of 1,800 routes took 2.4 s on a link of 5 Mbit/s."""
    await world.replica(plain())
    await world.start(configuration(1))
    await world.until_ready()
    await asyncio.sleep(0.5)
    assert (await world.call("/unheard-of/"))[0] == 404
    world.store.body_s = 1.8
    world.store.put("op", "config", configuration(2, routes=[route("/new/", "safe")]))
    await asyncio.sleep(1.3)
    assert (await world.call("/new/"))[0] == 503
    await world.until(lambda: world.core.index.configuration.version == 2)
    assert (await world.call("/new/"))[0] == 200


async def test_large_configuration_is_read_although_it_takes_long(world):
    """A gateway that starts on a slow link must not give up while bytes arrive."""
    world.store.body_s = 2.0
    await world.replica(plain())
    await world.start(configuration(1))
    await world.until_ready()
    assert (await world.call("/safe/"))[0] == 200
