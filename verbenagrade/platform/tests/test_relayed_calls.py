"""Tests that calls which another VM passes on keep all promises."""

import asyncio

import aiohttp
import pytest

from verbenagrade.platform.tests.conftest import configuration_document
from verbenagrade.platform.tests.crashing_endpoints import CrashingEndpoints
from verbenagrade.platform.tests.endpoint_standin import (
    EndpointStandIn,
    close_delimited,
    delayed,
    plain,
    reset,
    silent,
    stream,
)
from verbenagrade.protocol.relay import (
    ORDER_HEADER,
    PROOF_HEADER,
    RESULT_HEADER,
    RelayOrder,
    encode_order,
    prove_order,
    request_digest,
)
from verbenagrade.state.calls import CallHead, PromptPart
from verbenagrade.state.relay_peers import RelayPeer
from verbenagrade.transport.gateway.crashes import record_break

RELAY_LISTENER = 3
ORDER_VALIDITY_S = 2.0
NOT_VALID = ("late", "another VM", "body", "path")


async def start_cut_off(testbed, *handlers, endpoints=2, others=1) -> None:
    """Starts gateways of which the first one knows that it is cut off."""
    for _ in range(endpoints):
        await testbed.add_endpoint(*handlers)
    await testbed.start(configuration_document())
    await testbed.wait_until_ready()
    for _ in range(others):
        await testbed.start_another()
    await testbed.cut_off(testbed.gateway)
    testbed.core.reach.cut_off = True
    await testbed.wait_until(lambda: len(testbed.core.fleet.peers.peers) == others)
    await testbed.wait_until(lambda: testbed.core.relay_keys.keys)


def received(testbed) -> list:
    return [r for endpoint in testbed.endpoints for r in endpoint.requests]


async def test_endpoint_gets_the_request_as_from_the_first_vm(testbed):
    await start_cut_off(testbed, plain())
    status, body, headers = await testbed.call(
        "/safe/x?q=1", body=b"text", Deadline_Ms="2000", Model="m"
    )
    assert (status, body) == (200, b"done")
    assert not [name for name in headers if name.startswith("Verbenagrade")]
    (request,) = received(testbed)
    assert (request.method, request.path, request.body) == (
        "POST",
        "/safe/x?q=1",
        b"text",
    )
    assert 0 < int(request.headers["deadline-ms"]) <= 2000
    assert request.headers["tenant"] == "hotel"
    assert request.headers["model"] == "m"
    assert request.headers["expect-instance"] in ("i-0", "i-1")
    assert "authorization" not in request.headers
    assert not [name for name in request.headers if name.startswith("verbenagrade")]


# Guards against a second run after the endpoint of a relayed call broke off.
@pytest.mark.parametrize("method", ["POST", "PUT", "GET"])
async def test_call_that_may_have_run_is_not_sent_again(testbed, method):
    await start_cut_off(testbed, reset())
    status, _, _ = await testbed.call("/once/x", method=method)
    assert status == 502
    assert len(received(testbed)) == 1


async def test_call_whose_endpoints_are_unreachable_is_refused_as_not_run(testbed):
    await start_cut_off(testbed, plain())
    for endpoint in testbed.endpoints:
        await endpoint.stop()
    assert (await testbed.call("/once/x"))[0] == 503
    assert not received(testbed)


async def test_call_is_refused_if_the_other_vm_is_cut_off_too(testbed):
    await start_cut_off(testbed, plain())
    await testbed.cut_off(testbed.others[0])
    assert (await testbed.call("/once/x"))[0] == 503
    assert not received(testbed)


async def test_caller_who_leaves_ends_the_work_of_the_endpoint(testbed):
    await start_cut_off(testbed, silent(), endpoints=1)
    call = asyncio.create_task(testbed.call("/once/x"))
    await testbed.wait_until(lambda: testbed.endpoints[0].open_requests == 1)
    call.cancel()
    await testbed.wait_until(
        lambda: testbed.endpoints[0].early_disconnects == 1, timeout_s=0.5
    )


async def test_call_ends_at_its_deadline(testbed):
    await start_cut_off(testbed, silent(), endpoints=1)
    started_at = asyncio.get_running_loop().time()
    status, _, _ = await testbed.call("/once/x", Deadline_Ms="700")
    assert status == 504
    assert asyncio.get_running_loop().time() - started_at < 1.2
    await testbed.wait_until(lambda: testbed.endpoints[0].early_disconnects == 1)


async def test_idempotent_call_is_retried_through_another_vm(testbed):
    await start_cut_off(testbed, plain())
    handlers = [reset(), plain()]
    for endpoint in testbed.endpoints:
        endpoint.handlers = handlers
    assert (await testbed.call("/safe/x"))[0] == 200
    assert len(received(testbed)) == 2


# Guards against an incomplete response that looks complete after another VM passed
# it on.
@pytest.mark.parametrize("handler", [reset(b"part"), stream(9, cut=2)])
async def test_response_that_broke_off_is_not_complete(testbed, handler):
    await start_cut_off(testbed, handler, endpoints=1)
    with pytest.raises(aiohttp.ClientError):
        status, body, _ = await testbed.call("/stream/x")
        raise aiohttp.ClientError if status >= 500 else AssertionError(body)


async def test_response_that_ends_with_its_connection_is_complete(testbed):
    await start_cut_off(testbed, close_delimited(b"whole"))
    status, body, _ = await testbed.call("/safe/x")
    assert (status, body) == (200, b"whole")


async def test_stream_without_events_that_ends_with_its_connection_is_broken(testbed):
    await start_cut_off(testbed, close_delimited(b""))
    assert (await testbed.call("/stream/x"))[0] == 502


async def test_response_of_a_lost_vm_is_not_complete(testbed):
    await start_cut_off(testbed, stream(50, pause=0.05), endpoints=1)
    with pytest.raises(aiohttp.ClientError):
        async with testbed.open("/stream/x") as response:
            await response.content.readuntil(b"\n\n")
            relay = testbed.others[0].runners[RELAY_LISTENER]
            for connection in relay.server.connections:
                connection.transport.close()
            await response.read()


async def test_leaving_endpoint_gets_no_relayed_call(testbed):
    await start_cut_off(testbed, plain(), endpoints=1)
    entry = testbed.core.directory.entries["i-0"]
    peer = testbed.others[0].core
    testbed.store.put(
        "servers", "i-0", testbed.endpoints[0].entry("pool", state="draining")
    )
    await testbed.wait_until(lambda: peer.directory.entries["i-0"].leaving)
    testbed.core.directory.put(entry)
    assert (await testbed.call("/safe/x"))[0] == 503
    assert not received(testbed)


async def test_crash_is_reported_by_the_vm_that_saw_it(testbed):
    crashing = CrashingEndpoints(testbed, lambda _: True, plain())
    await start_cut_off(testbed, plain())
    for endpoint in testbed.endpoints:
        endpoint.handlers = [crashing.handler(endpoint)]
    await testbed.call("/once/x", Prompt_Prefix="aa:10,bb:10")
    peer = testbed.others[0].core
    await testbed.wait_until(lambda: len(peer.fleet.own_reports) == 2)
    kinds = [key.split("/")[2] for key in peer.fleet.own_reports]
    assert sorted(kinds) == ["crash", "suspect"]
    assert not testbed.core.fleet.own_reports


async def test_vm_that_reaches_endpoints_again_sends_directly(testbed):
    await start_cut_off(testbed, plain())
    await testbed.reconnect(testbed.gateway)
    await testbed.wait_until(lambda: not testbed.core.reach.cut_off)
    await testbed.end(testbed.others[0])
    assert (await testbed.call("/once/x"))[0] == 200


# Guards against a crash of an endpoint that is taken for the loss of all ways.
async def test_vm_whose_endpoint_crashed_is_not_cut_off(testbed):
    await testbed.add_endpoint(plain())
    await testbed.add_endpoint(plain())
    await testbed.start(configuration_document())
    await testbed.wait_until_ready()
    await testbed.endpoints[0].stop()
    for _ in range(8):
        assert (await testbed.call("/safe/x"))[0] == 200
    assert not testbed.core.reach.cut_off


async def test_slow_response_through_another_vm_is_waited_for(testbed):
    await start_cut_off(testbed, delayed(1.2, plain()), endpoints=1)
    assert (await testbed.call("/once/x"))[0] == 200


class Outsider:
    """Sends requests to the address at which a gateway takes calls of other VMs."""

    def __init__(self, testbed) -> None:
        self.testbed = testbed
        self.peer = testbed.others[0]
        self.store_now_s = self.peer.core.clock() + (
            self.peer.core.fleet.store_time_offset_s
        )

    def order(self, valid_s=ORDER_VALIDITY_S, recipient=None) -> RelayOrder:
        incarnation = self.peer.core.directory.entries["i-0"].incarnation
        until_s = self.store_now_s + valid_s
        return RelayOrder(
            nonce="n-1",
            recipient=recipient or self.peer.core.fleet.presence.incarnation,
            valid_until_s=until_s,
            incarnation=incarnation,
            request_digest=request_digest("POST", "/x", b"hello"),
            call_digest="",
            endpoint="i-0",
            remaining_s=3.0,
            workspace="",
            resume_after="",
            priority=None,
            headers=(("Request-Id", "call-1"),),
        )

    async def send(self, order, key, body=b"hello", path="/x"):
        text = encode_order(order)
        proof = prove_order(key, text)
        async with self.testbed.session.post(
            self.testbed.url(RELAY_LISTENER, self.peer) + path,
            data=body,
            headers={ORDER_HEADER: text, PROOF_HEADER: proof},
        ) as response:
            return response.status, response.headers.get(RESULT_HEADER)


@pytest.fixture
async def outsider(testbed):
    await start_cut_off(testbed, plain())
    await testbed.wait_until(lambda: testbed.others[0].core.relay_keys.keys)
    return Outsider(testbed)


async def test_order_with_a_valid_proof_is_carried_out_once(testbed, outsider):
    key = testbed.core.relay_keys.keys[0]
    order = outsider.order()
    assert await outsider.send(order, key) == (200, "sent")
    assert await outsider.send(order, key) == (403, None)
    assert len(received(testbed)) == 1


@pytest.mark.parametrize(
    "case",
    ["key", "body", "path", "late", "another VM", "no order", "not an order"],
)
async def test_request_that_no_vm_has_sent_is_rejected(testbed, outsider, case):
    key = testbed.core.relay_keys.keys[0]
    order = outsider.order(
        valid_s=-0.5 if case == "late" else ORDER_VALIDITY_S,
        recipient="front-9" if case == "another VM" else None,
    )
    if case in ("no order", "not an order"):
        headers = {ORDER_HEADER: "AAAA"} if case == "not an order" else {}
        url = testbed.url(RELAY_LISTENER, outsider.peer) + "/safe/x"
        async with testbed.session.post(url, headers=headers) as response:
            assert response.status == 403
    else:
        sent = await outsider.send(
            order,
            b"another key" if case == "key" else key,
            body=b"changed" if case == "body" else b"hello",
            path="/other" if case == "path" else "/x",
        )
        assert sent == ((503, "rejected") if case in NOT_VALID else (403, None))
    assert not received(testbed)


# Guards against a caller's request that is taken for one of another VM at the address
# for callers.
async def test_order_at_the_address_for_callers_has_no_effect(testbed, outsider):
    key = testbed.core.relay_keys.keys[0]
    text = encode_order(outsider.order())
    proof = prove_order(key, text)
    headers = {ORDER_HEADER: text, PROOF_HEADER: proof}
    url = testbed.url(0, outsider.peer) + "/x"
    async with testbed.session.post(url, headers=headers) as response:
        assert response.status == 404
    assert not received(testbed)


async def test_both_vms_notice_that_an_endpoint_leaves(testbed):
    await start_cut_off(testbed, plain(Server_Leaving=1), endpoints=1)
    assert (await testbed.call("/safe/x"))[0] == 200
    for core in (testbed.core, testbed.others[0].core):
        assert core.directory.entries["i-0"].leaving


# Guards against calls that are taken for ones which crash endpoints, because they took
# longer than their deadline.
async def test_call_that_ends_at_its_deadline_reports_no_crash(testbed):
    await start_cut_off(testbed, stream(90, pause=0.05), endpoints=1)
    with pytest.raises(aiohttp.ClientError):
        await testbed.call("/stream/x", Deadline_Ms="600", Prompt_Prefix="aa:10,bb:10")
    await asyncio.sleep(0.3)
    for gateway in (testbed.gateway, testbed.others[0]):
        assert not gateway.core.fleet.own_reports


# Guards against a VM without memory for a call whose rejection counts as a run.
async def test_call_is_refused_as_not_run_if_the_other_vm_has_no_memory(testbed):
    await start_cut_off(testbed, plain())
    testbed.others[0].core.in_flight = 100_000
    assert (await testbed.call("/once/x"))[0] == 503
    assert not received(testbed)


# Guards against a response of somebody who has the address of a VM that is gone.
async def test_response_without_a_proof_is_not_passed_on(testbed):
    async def answer(_request, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign")
        await writer.drain()

    await start_cut_off(testbed, plain())
    stranger = EndpointStandIn("stranger", [answer])
    await stranger.start()
    peer = RelayPeer("front-2", "front-2-1", stranger.address, "muscat-a")
    testbed.core.fleet.peers.put(peer)
    assert (await testbed.call("/once/x"))[0] == 502
    assert len(stranger.requests) == 1
    assert not received(testbed)
    await stranger.stop()


async def test_endpoint_gets_the_time_that_is_left_after_a_slow_body(testbed, outsider):
    async def slow_body():
        yield b"he"
        await asyncio.sleep(0.6)
        yield b"llo"

    key = testbed.core.relay_keys.keys[0]
    assert await outsider.send(outsider.order(), key, body=slow_body()) == (200, "sent")
    (request,) = received(testbed)
    assert int(request.headers["deadline-ms"]) <= 2500


# Guards against sound parts of prompts that are suspected because a VM lost its links.
async def test_vm_that_is_cut_off_takes_no_endpoint_for_crashed(testbed):
    await start_cut_off(testbed, plain())
    core = testbed.core
    core.reach.cut_off = False
    parts = (PromptPart("aa", 10), PromptPart("bb", 10))
    head = CallHead("call-1", "site.example", "/safe/x", 3.0, prompt=parts)
    record_break(core, head, "digest", core.directory.entries["i-0"], events=0)
    await testbed.wait_until(lambda: not core.crash_checks)
    suspects = [key for key in core.fleet.own_reports if "//suspect/" in key]
    assert not suspects


async def test_endpoint_that_wants_no_calls_of_the_other_vm_gets_none(testbed):
    await start_cut_off(testbed, plain(), endpoints=1)
    peer = testbed.others[0].core
    incarnation = peer.directory.entries["i-0"].incarnation
    peer.pauses.record(incarnation, 5.0, peer.clock())
    assert (await testbed.call("/safe/x"))[0] == 503
    assert not received(testbed)
