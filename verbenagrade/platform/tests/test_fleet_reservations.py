"""Tests of tokens that gateways reserve with each other over real connections."""

import asyncio
import secrets
import time

import msgspec
import pytest

from verbenagrade.events import Event
from verbenagrade.platform.tests.conftest import configuration_document
from verbenagrade.platform.tests.endpoint_standin import stream
from verbenagrade.protocol.reservations import (
    HOLDER,
    SPENDER,
    Challenge,
    FrameSeal,
    Hello,
    Orders,
    Results,
    connection_key,
    prove_side,
)
from verbenagrade.state.holders import HolderVm
from verbenagrade.state.reservation_orders import ReserveOrder, ReserveStatus
from verbenagrade.transport.frames import read_frame, write_frame

WORKSPACE = "hotel"
CALL = {"Token_Count": "100,100"}
CALL_TOKENS, USED_TOKENS = 200, 121
CALLS = 3


@pytest.fixture
async def fleet(testbed):
    """Returns a testbed with two gateways that know each other."""
    await testbed.add_endpoint(stream(3))
    await testbed.start(configuration_document())
    await testbed.start_another()
    await testbed.wait_until_ready()
    for gateway in gateways(testbed):
        await testbed.wait_until(
            lambda g=gateway: len(g.budgets.ranking.vms) == 2 and g.core.relay_keys.keys
        )
    return testbed


def gateways(testbed):
    return (testbed.gateway, *testbed.others)


def holder_and_spender(testbed):
    """Returns the gateway that holds the workspace's tokens, and the other one."""
    first, second = gateways(testbed)
    if first.core.budgets.is_holder(WORKSPACE):
        return first, second
    return second, first


def allowance(gateway):
    return gateway.core.allowance_manager.accounts[WORKSPACE].allowance


async def test_call_is_charged_to_the_grant_of_the_holder(fleet):
    holder, spender = holder_and_spender(fleet)
    status, _, _ = await fleet.call("/stream/", gateway=spender, **CALL)
    assert status == 200
    await fleet.wait_until(lambda: spender.budgets.links.unsettled_count == 0)
    assert allowance(holder).spent > 100
    assert allowance(holder).reserved == 0
    assert allowance(spender).granted == 0


async def test_calls_without_the_store_are_served_from_the_tokens_of_the_holder(fleet):
    holder, spender = holder_and_spender(fleet)
    for _ in range(5):
        await fleet.call("/stream/", gateway=holder, **CALL)
    # Without the store, a holder spends no more than its last report covers.
    needed = (CALLS - 1) * USED_TOKENS + CALL_TOKENS
    held = holder.core.allowance_manager.held_tokens
    await fleet.wait_until(lambda: held(WORKSPACE).at_once >= needed)
    fleet.store.unresponsive = True
    statuses = [
        (await fleet.call("/stream/", gateway=spender, **CALL))[0] for _ in range(CALLS)
    ]
    assert statuses == [200] * CALLS


async def test_call_is_served_at_once_after_the_holder_has_ended(fleet):
    first, second = gateways(fleet)
    names = (f"w{n}" for n in range(50))
    workspace = next(n for n in names if second.core.budgets.is_holder(n))
    tenants = [{"name": workspace, "api_keys": ["k"], "prepaid": 10_000}]
    fleet.store.put("op", "config", configuration_document(2, tenants=tenants))
    for gateway in (first, second):
        await fleet.wait_until(
            lambda g=gateway: g.core.route_index.configuration.version == 2
        )
    assert (await fleet.call("/stream/", key="k", **CALL))[0] == 200
    second.budgets.close()
    await fleet.end(second)
    begun_at = time.monotonic()
    assert (await fleet.call("/stream/", key="k", **CALL))[0] == 200
    assert time.monotonic() - begun_at < 2.0
    assert first.core.budgets.first_holder(workspace).vm == first.core.settings.vm


# Guards against calls that wait for a VM which accepts connections and does not reply.
async def test_silent_holder_delays_a_call_only_once(fleet):
    holder, spender = holder_and_spender(fleet)
    writers = []
    server = await asyncio.start_server(
        lambda _reader, writer: writers.append(writer), "127.0.0.1", 0
    )
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    silent = HolderVm(holder.core.settings.vm, address, "muscat-a")
    spender.budgets.ranking.update([silent])
    durations = []
    for _ in range(2):
        begun_at = time.monotonic()
        status, _, _ = await fleet.call("/stream/", gateway=spender, **CALL)
        durations.append(time.monotonic() - begun_at)
        assert status == 200
    server.close()
    for writer in writers:
        writer.close()
    assert durations[0] < 2.0
    assert spender.core.budgets.avoided.is_avoided(silent.vm, time.monotonic())


async def test_settlement_that_waits_for_a_broken_connection_arrives(fleet):
    holder, spender = holder_and_spender(fleet)
    reservation = await spender.core.budgets.reserve(WORKSPACE, 200)
    (link,) = spender.budgets.links.links.values()
    link.close()
    spender.core.budgets.settle(reservation, 150)
    await fleet.wait_until(lambda: allowance(holder).reserved == 0)
    assert allowance(holder).spent == 150


async def test_released_tokens_of_an_abandoned_reservation_are_free_again(fleet):
    holder, spender = holder_and_spender(fleet)
    await spender.core.budgets.reserve(WORKSPACE, 10)
    waiting = asyncio.create_task(spender.core.budgets.reserve(WORKSPACE, 9_000))
    await asyncio.sleep(0)
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    await fleet.wait_until(lambda: spender.budgets.links.unsettled_count == 0)
    assert allowance(holder).reserved == 10


@pytest.fixture
async def connect_as():
    """Returns a function that makes clients; their connections are closed later."""
    clients: list[Client] = []

    def make(*arguments) -> Client:
        clients.append(Client(*arguments))
        return clients[-1]

    yield make
    for client in clients:
        client.writer.close()


class Client:
    """A spender that speaks the protocol by hand, with the key of the fleet or not."""

    def __init__(self, gateway, key, incarnation="front-9-1") -> None:
        port = gateway.budgets.server.server.sockets[0].getsockname()[1]
        self.address = ("127.0.0.1", port)
        self.key = key
        self.incarnation = incarnation

    async def connect(self) -> bool:
        """Returns whether the holder accepts the proof."""
        self.reader, self.writer = await asyncio.open_connection(*self.address)
        challenge = msgspec.msgpack.decode(
            await read_frame(self.reader), type=Challenge
        )
        hello = Hello(secrets.token_bytes(16), "front-9", self.incarnation, b"")
        proof = prove_side(self.key, SPENDER, challenge, hello)
        hello = msgspec.structs.replace(hello, proof=proof)
        write_frame(self.writer, msgspec.msgpack.encode(hello))
        welcome = await read_frame(self.reader)
        session_key = connection_key(self.key, challenge, hello)
        self.sent = FrameSeal(session_key, SPENDER)
        self.received = FrameSeal(session_key, HOLDER)
        return welcome is not None

    def seal(self, orders) -> bytes:
        return self.sent.seal(msgspec.msgpack.encode(orders))

    async def results(self):
        frame = await read_frame(self.reader)
        if frame is None:
            return None
        return msgspec.msgpack.decode(self.received.open(frame), type=Results)


def reservation(number, tokens=50):
    return ReserveOrder(number, WORKSPACE, tokens, 10_000)


@pytest.fixture
def logged(monkeypatch):
    """Returns the list of events that the holder's server logs."""
    events: list = []
    monkeypatch.setattr(
        "verbenagrade.transport.gateway.holder_server.log_event",
        lambda event, **_fields: events.append(event),
    )
    return events


async def test_spender_without_the_key_is_rejected(fleet, logged, connect_as):
    holder, _ = holder_and_spender(fleet)
    client = connect_as(holder, b"another key")
    assert not await client.connect()
    assert logged == [Event.RESERVATION_REJECTED]
    assert allowance(holder).reserved == 0


@pytest.mark.parametrize("sent", ["garbage", "repeated", "of another connection"])
async def test_frame_that_is_not_the_next_one_moves_nothing(
    fleet, logged, sent, connect_as
):
    holder, _ = holder_and_spender(fleet)
    key = holder.core.relay_keys.keys[0]
    client = connect_as(holder, key)
    assert await client.connect()
    frame = client.seal(Orders((reservation(1),)))
    write_frame(client.writer, frame)
    while (await client.results()).reserved[0].status is ReserveStatus.PENDING:
        pass
    reserved = allowance(holder).reserved
    if sent == "of another connection":
        client = connect_as(holder, key)
        assert await client.connect()
    write_frame(client.writer, b"garbage" * 20 if sent == "garbage" else frame)
    assert await client.results() is None
    assert logged == [Event.RESERVATION_REJECTED]
    assert allowance(holder).reserved == reserved == 50


async def test_newer_connection_ends_the_earlier_one(fleet, connect_as):
    """Guards against orders that are read from it after newer settlements."""
    holder, _ = holder_and_spender(fleet)
    key = holder.core.relay_keys.keys[0]
    first, second = connect_as(holder, key), connect_as(holder, key)
    assert await first.connect()
    assert await second.connect()
    write_frame(first.writer, first.seal(Orders((reservation(1),))))
    assert await first.results() is None
    assert allowance(holder).reserved == 0


async def test_connection_survives_a_process_that_leaves_during_the_proofs(fleet):
    holder, spender = holder_and_spender(fleet)
    port = holder.budgets.server.server.sockets[0].getsockname()[1]
    for data in (b"", b"\x00\x00", b"\xff\xff\xff\xff"):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        writer.close()
    assert (await fleet.call("/stream/", gateway=spender, **CALL))[0] == 200
