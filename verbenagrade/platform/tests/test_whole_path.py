"""The whole path of a call: caller, gateway, endpoint and store."""

import asyncio
import base64

import aiohttp
import msgspec
import pytest

from verbenagrade.platform.tests.conftest import configuration, route
from verbenagrade.platform.tests.replica_standin import (
    SEAL,
    event,
    plain,
    refusal,
    reset,
    silent,
    stream,
    unframed,
)

CALLS_UNTIL_BOTH_ARE_CHOSEN = 40


async def test_plain_call_is_relayed_untouched(world):
    replica = await world.replica(plain(b"\x00bytes"))
    await world.start(configuration())
    await world.until_ready()
    status, body, headers = await world.call("/safe/a%2Fb?x=1", Pin_Ms="5", Hold="h")
    assert (status, body, headers["Server-Seal"]) == (200, b"\x00bytes", SEAL)
    seen = replica.seen[0]
    assert (seen.method, seen.path, seen.body) == ("POST", "/safe/a%2Fb?x=1", b"hello")
    assert seen.headers["expect-instance"] == replica.name
    assert seen.headers["tenant"] == "hotel"
    assert 0 < int(seen.headers["deadline-ms"]) <= 3000
    assert not {"authorization", "pin-ms", "hold"} & set(seen.headers)


async def test_caller_without_key_or_route_is_refused(world):
    replica = await world.replica(plain())
    await world.start(configuration())
    await world.until_ready()
    assert (await world.call("/safe/", key="other"))[0] == 401
    assert (await world.call("/nowhere/"))[0] == 404
    assert (await world.call("/safe/public/", key=""))[0] == 200
    assert len(replica.seen) == 1


async def test_without_configuration_calls_are_refused_as_not_run(world):
    await world.start()
    status, _, headers = await world.call("/safe/")
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    async with world.session.get(world.url(1)) as ready:
        assert ready.status == 503


async def test_call_that_did_not_run_goes_to_another_endpoint(world):
    full = await world.replica(refusal())
    other = await world.replica(refusal(), refusal())
    await world.start(configuration())
    await world.until_ready()
    full.behaviours[:] = [plain(b"ran")]
    other.behaviours[:] = [refusal()]
    for _ in range(4):
        status, body, _ = await world.call("/once/")
        assert (status, body) == (200, b"ran")


async def test_call_that_may_have_run_is_not_refused_nor_repeated(world):
    replicas = [await world.replica(reset()) for _ in range(2)]
    await world.start(configuration())
    await world.until_ready()
    status, _, headers = await world.call("/once/")
    assert status == 502
    assert "Retry-After" not in headers
    assert sum(len(replica.seen) for replica in replicas) == 1


async def test_idempotent_call_is_repeated_elsewhere(world):
    for behaviours in ((plain(b"", "500 Internal Server Error"),), (plain(b"ran"),)):
        await world.replica(*behaviours)
    await world.start(configuration())
    await world.until_ready()
    answers = [await world.call("/safe/") for _ in range(3)]
    assert {answer[:2] for answer in answers} == {(200, b"ran")}


async def test_last_failure_of_an_endpoint_is_relayed_with_its_seal(world):
    await world.replica(plain(b"broken", "500 Internal Server Error"))
    await world.start(configuration())
    await world.until_ready()
    status, body, headers = await world.call("/once/")
    assert (status, body, headers["Server-Seal"]) == (500, b"broken", SEAL)


async def test_answer_that_ends_with_its_connection_is_whole(world):
    await world.replica(unframed(b"all of it"))
    await world.start(configuration())
    await world.until_ready()
    assert (await world.call("/once/"))[:2] == (200, b"all of it")


async def test_answer_without_length_that_is_reset_is_not_whole(world):
    await world.replica(reset(after=b"half"))
    await world.start(configuration())
    await world.until_ready()
    assert (await world.call("/once/"))[0] == 502


async def test_large_answer_that_breaks_off_is_not_joined_with_another(world):
    for _ in range(2):
        await world.replica(reset(after=b"x" * 3_000_000))
    await world.start(configuration())
    await world.until_ready()
    with pytest.raises(aiohttp.ClientPayloadError):
        await world.call("/safe/")
    assert sum(len(replica.seen) for replica in world.replicas) == 1


async def test_failure_of_a_stream_is_relayed_as_it_is(world):
    await world.replica(plain(b"no such model", "404 Not Found"))
    await world.start(configuration())
    await world.until_ready()
    status, body, headers = await world.call("/stream/")
    assert (status, body, headers["Server-Seal"]) == (404, b"no such model", SEAL)


async def test_stream_goes_on_at_another_endpoint(world):
    first = await world.replica(stream(6, cut=3, half=True))
    await world.start(configuration())
    await world.until_ready()
    second = await world.replica(stream(6))
    await world.until_ready()
    for number in range(CALLS_UNTIL_BOTH_ARE_CHOSEN):
        status, body, _ = await world.call("/resume/")
        assert status == 200
        assert body == b"".join(event(n) for n in range(1, 7))
        if first.seen and number >= 2:
            break
    resumed = [s for s in second.seen if s.headers.get("last-event-id") == "3"]
    assert len(resumed) == len(first.seen) > 0


async def test_failure_after_a_resume_does_not_end_the_stream_as_whole(world):
    async def fail_resumes(request, writer):
        resumed = "last-event-id" in request.headers
        failure = plain(b"", "500 Internal Server Error")
        await (failure if resumed else stream(6, cut=3))(request, writer)

    for _ in range(2):
        await world.replica(fail_resumes)
    await world.start(configuration())
    await world.until_ready()
    with pytest.raises(aiohttp.ClientPayloadError):
        await world.call("/resume/")


async def test_stream_that_may_not_be_resumed_breaks_off_visibly(world):
    await world.replica(stream(6, cut=3))
    await world.start(configuration())
    await world.until_ready()
    with pytest.raises(aiohttp.ClientPayloadError):
        await world.call("/stream/")


async def test_events_are_passed_on_as_they_arrive(world):
    await world.replica(stream(3, pause=0.3))
    await world.start(configuration())
    await world.until_ready()
    async with world.open("/stream/") as response:
        loop = asyncio.get_running_loop()
        began = loop.time()
        assert await response.content.readany() == event(1)
        assert loop.time() - began < 0.25


async def test_work_stops_when_the_caller_leaves(world):
    replica = await world.replica(silent())
    await world.start(configuration())
    await world.until_ready()
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.3):
            await world.call("/once/")
    await world.until(lambda: replica.left == 1, within=1.0)
    assert world.core.in_flight == 0


async def test_route_timeout_ends_a_call(world):
    await world.replica(silent())
    document = configuration(routes=[route("/once/", "unsafe", timeout_ms=300)])
    await world.start(document)
    await world.until_ready()
    assert (await world.call("/once/"))[0] == 504


async def test_silent_endpoint_is_left_in_time_for_another(world):
    quiet = await world.replica(silent())
    await world.start(configuration())
    await world.until_ready()
    await world.replica(plain(b"ran"))
    await world.until_ready()
    statuses = [(await world.call("/safe/"))[0] for _ in range(3)]
    assert statuses == [200, 200, 200]
    assert len(quiet.seen) <= 2


async def test_oversize_body_is_refused_before_it_is_sent(world):
    replica = await world.replica(plain())
    limits = {"max_body_bytes": 100}
    await world.start(configuration(limits=limits))
    await world.until_ready()
    assert (await world.call("/safe/", body=b"x" * 101))[0] == 413
    assert (await world.call("/safe/", Token_Count="many"))[0] == 400
    assert replica.seen == []


async def test_call_long_after_the_stop_signal_is_refused_not_cut(world):
    replica = await world.replica(stream(40, pause=0.1))
    await world.start(configuration())
    await world.until_ready()
    early = asyncio.create_task(world.call("/stream/", Deadline_Ms="9000"))
    await world.until(lambda: world.core.in_flight == 1)
    world.stop.set()
    await asyncio.sleep(3.0)
    status, _, headers = await world.call("/stream/")
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    assert len(replica.seen) == 1
    early.cancel()


async def test_shutdown_finishes_what_callers_wait_for(world):
    await world.replica(stream(4, pause=0.2))
    await world.start(configuration())
    await world.until_ready()
    calling = asyncio.create_task(world.call("/stream/", Token_Count="10,100"))
    await world.until(lambda: world.core.in_flight == 1)
    world.stop.set()
    await world.until(lambda: world.core.stopping)
    async with world.session.get(world.url(1)) as ready:
        assert ready.status == 503
    status, body, _ = await calling
    assert (status, body) == (200, b"".join(event(n) for n in range(1, 5)))
    await asyncio.wait_for(world.running, 6.0)
    assert ("fleet", "", "vm/front-1") not in world.store.rows
    pots = [
        msgspec.json.decode(base64.b64decode(value))
        for (table, part, key), (value, _) in world.store.rows.items()
        if (table, part) == ("grants", "hotel") and key.startswith("pot/")
    ]
    assert sum(pot["tokens"] for pot in pots) == 10 + 4 * 7
    assert sum(pot["spent"] for pot in pots) == 10 + 4 * 7
