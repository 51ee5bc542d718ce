"""Sends a call to its endpoint through another VM, if this one can't reach it.

All that decides about a call stays here: its budget, its deadline, its retries and its
cancellation, which closes the connection to the other VM. That VM sends the call to the
endpoint named in the order and to no further VM.
"""

import secrets

import aiohttp
from yarl import URL

from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import UpstreamFailedError, UpstreamUnreachableError
from verbenagrade.protocol.calls import EndpointCall
from verbenagrade.protocol.relay import (
    ORDER_HEADER,
    PROOF_HEADER,
    RESULT_HEADER,
    RelayOrder,
    RelayResult,
    encode_order,
    prove_order,
    request_digest,
    verify_response,
)
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.state.relay_peers import RelayPeer
from verbenagrade.transport.gateway.calls import Call, CallProgress
from verbenagrade.transport.gateway.core import GatewayCore
from verbenagrade.transport.gateway.send import SKIPPED_HEADERS
from verbenagrade.transport.response_ends import fail_body_at_close
from verbenagrade.transport.sends import SentRequest, send_once

__all__ = ["request_through_peer"]

MAX_PEERS = 4
"""Largest number of VMs that are asked to pass one attempt of a call on."""

ORDER_VALIDITY_S = 10.0
"""Time in seconds within which an order has to arrive: what a VM knows of the store's
clock is some seconds old after it was suspended, or if the store is slow."""

NONCE_BYTES = 16


async def request_through_peer(
    core: GatewayCore,
    call: Call,
    progress: CallProgress,
    entry: EndpointEntry,
    endpoint_call: EndpointCall,
) -> aiohttp.ClientResponse:
    """Returns the endpoint's response to a call that another VM passes on.

    Raises ``UpstreamUnreachableError`` if the call certainly was not sent to the
    endpoint, and ``UpstreamFailedError`` if the outcome is unknown.
    """
    asked: set[str] = set()
    while len(asked) < MAX_PEERS:
        peer = core.fleet.peers.choose(
            (entry.data_centre, core.settings.data_centre),
            asked,
            core.clock(),
            core.random,
        )
        if peer is None or not core.relay_keys.keys:
            break
        asked.add(peer.vm)
        response = await _ask(core, call, progress, entry, endpoint_call, peer)
        if response is not None:
            return response
    raise UpstreamUnreachableError("no other VM passes the call on")


async def _ask(
    core: GatewayCore,
    call: Call,
    progress: CallProgress,
    entry: EndpointEntry,
    endpoint_call: EndpointCall,
    peer: RelayPeer,
) -> aiohttp.ClientResponse | None:
    """Asks one VM; returns ``None`` if it does not pass calls on.

    Raises the same errors as ``request_through_peer``.
    """
    order = _new_order(core, call, entry, endpoint_call, peer)
    progress.sent = SentRequest()
    try:
        response = await _send(core, call, progress, order, peer)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        core.fleet.peers.avoid(peer.vm, core.clock())
        log_event(Event.PEER_UNREACHABLE, vm=peer.vm, reason=repr(error))
        return None
    return _read_result(core, call, entry, order, peer, response)


def _read_result(
    core: GatewayCore,
    call: Call,
    entry: EndpointEntry,
    order: RelayOrder,
    peer: RelayPeer,
    response: aiohttp.ClientResponse,
) -> aiohttp.ClientResponse | None:
    """Returns the response if it is the endpoint's, ``None`` if the VM sent nothing.

    Raises the same errors as ``request_through_peer``.
    """
    result = response.headers.get(RESULT_HEADER, "")
    proof = response.headers.get(PROOF_HEADER, "")
    proven = verify_response(core.relay_keys.keys, order.nonce, result, proof)
    log_event(
        Event.CALL_SENT_THROUGH_VM,
        call=call.head.call_id,
        vm=peer.vm,
        endpoint=entry.name,
        result=result,
        proven=proven,
    )
    core.metrics.calls_through_vms.inc({"result": result if proven else "unproven"})
    if proven and result == RelayResult.SENT:
        core.fleet.peers.succeeded(peer.vm)
        return response
    response.close()
    if not proven or result == RelayResult.LOST:
        raise UpstreamFailedError(f"VM {peer.vm} lost the call: {result!r}")
    if result == RelayResult.UNREACHABLE:
        raise UpstreamUnreachableError(f"VM {peer.vm} does not reach the endpoint")
    core.fleet.peers.avoid(peer.vm, core.clock())
    return None


def _new_order(
    core: GatewayCore,
    call: Call,
    entry: EndpointEntry,
    endpoint_call: EndpointCall,
    peer: RelayPeer,
) -> RelayOrder:
    headers = core.call_format.endpoint_headers(call.headers, endpoint_call)
    offset_s = core.fleet.store_time_offset_s or 0.0
    return RelayOrder(
        nonce=secrets.token_hex(NONCE_BYTES),
        recipient=peer.incarnation,
        valid_until_s=core.clock() + offset_s + ORDER_VALIDITY_S,
        incarnation=entry.incarnation,
        request_digest=request_digest(call.method, call.head.path, call.body),
        call_digest=call.digest,
        endpoint=endpoint_call.endpoint,
        remaining_s=endpoint_call.remaining_s,
        workspace=endpoint_call.workspace,
        resume_after=endpoint_call.resume_after,
        priority=endpoint_call.priority,
        headers=tuple(headers.items()),
    )


async def _send(
    core: GatewayCore,
    call: Call,
    progress: CallProgress,
    order: RelayOrder,
    peer: RelayPeer,
) -> aiohttp.ClientResponse:
    text = encode_order(order)
    proof = prove_order(core.relay_keys.keys[0], text)
    with send_once(progress.sent):
        response = await core.session.request(
            call.method,
            URL(f"http://{peer.address}{call.head.path}", encoded=True),
            headers={ORDER_HEADER: text, PROOF_HEADER: proof},
            data=call.body or None,
            allow_redirects=False,
            skip_auto_headers=SKIPPED_HEADERS,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=core.settings.tuning.connect_s
            ),
        )
        fail_body_at_close(response, progress.sent.closed)
        return response
