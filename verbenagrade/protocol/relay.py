"""The messages by which a VM has another one pass a call on to an endpoint.

The request is an HTTP request with the caller's method, path and body. Two headers hold
the order, which has the headers of the call and a digest of the rest, and a proof, by a
key that only VMs of the fleet know, that one of them has sent it. The proof holds until
a time on the store's clock, and is accepted once. The response proves the same in turn.
Its body has a length or is sent in chunks, so that its end is never in doubt.
"""

import base64
import hmac
from collections import OrderedDict
from collections.abc import Iterable
from enum import StrEnum
from hashlib import sha256
from typing import Protocol

import msgspec

from verbenagrade.protocol.calls import EndpointCall
from verbenagrade.state.decoding import Number, Seconds, decode_msgpack

__all__ = [
    "ORDER_HEADER",
    "PROOF_HEADER",
    "RESULT_HEADER",
    "UNFRAMED_END_CHECKED",
    "UNFRAMED_HEADER",
    "NonceMemory",
    "RelayOrder",
    "RelayResult",
    "decode_order",
    "encode_order",
    "is_relay_header",
    "prove_order",
    "prove_response",
    "request_digest",
    "verify_order",
    "verify_response",
]

HEADER_PREFIX = "verbenagrade-relay-"
ORDER_HEADER = "Verbenagrade-Relay-Order"
PROOF_HEADER = "Verbenagrade-Relay-Proof"
RESULT_HEADER = "Verbenagrade-Relay-Result"
UNFRAMED_HEADER = "Verbenagrade-Relay-Unframed"
"""Is there if only the end of the endpoint's connection showed the end of the body."""

UNFRAMED_END_CHECKED = "checked"
"""Value of that header if the VM breaks its response off unless the endpoint lived
after the end. A VM of an earlier build sends another value and does not check that."""

MAX_NONCES = 100_000
"""Largest number of orders that are remembered, about 150 bytes each."""


class RelayResult(StrEnum):
    """Values of the header that tells what became of a call.

    Only ``SENT`` comes with the response of the endpoint. In all other cases, nothing
    was sent to it. ``LOST`` means that the outcome is unknown.
    """

    SENT = "sent"
    LOST = "lost"
    UNREACHABLE = "unreachable"
    CUT_OFF = "cut-off"
    REJECTED = "rejected"


class RelayOrder(msgspec.Struct, frozen=True):
    """What a VM is to do with a call.

    ``nonce`` is unique. ``recipient`` is the process that is to carry it out, so that
    no other one does. ``valid_until_s`` is a time on the store's clock, in seconds.
    ``headers`` are those of the call, ``request_digest`` covers the rest of the
    request, and ``call_digest`` is the same when a caller retries it. The other fields
    are those of ``EndpointCall`` and the endpoint's incarnation.
    """

    nonce: str
    recipient: str
    valid_until_s: Seconds
    incarnation: str
    request_digest: str
    call_digest: str
    endpoint: str
    remaining_s: Seconds
    workspace: str
    resume_after: str
    priority: Number | None
    headers: tuple[tuple[str, str], ...] = ()

    def endpoint_call(self, elapsed_s: float) -> EndpointCall:
        """Returns what the endpoint is told, ``elapsed_s`` seconds after arrival."""
        return EndpointCall(
            endpoint=self.endpoint,
            remaining_s=self.remaining_s - elapsed_s,
            workspace=self.workspace,
            resume_after=self.resume_after,
            priority=self.priority,
        )


class WireOrder(RelayOrder, frozen=True):
    """An order as it is sent, with the values of its headers as bytes."""

    headers: tuple[tuple[str, bytes], ...] = ()


class Digest(Protocol):
    """A digest of the standard library, with a key or without."""

    def update(self, data: bytes, /) -> None:
        """Adds data."""

    def hexdigest(self) -> str:
        """Returns the digest of all data."""


class NonceMemory:
    """The orders that a VM has taken, until they are no longer valid."""

    def __init__(self) -> None:
        self.valid_until_s: OrderedDict[str, float] = OrderedDict()

    def has(self, order: RelayOrder) -> bool:
        """Returns whether an order was taken and may still be valid."""
        return order.nonce in self.valid_until_s

    def take(self, order: RelayOrder, store_now_s: float) -> bool:
        """Returns whether an order is valid and was not taken before.

        >>> text = ("i-1@0", "", "", "i-1")
        >>> order = RelayOrder("n", "b-1", 10.0, *text, 3.0, "", "", None)
        >>> memory = NonceMemory()
        >>> memory.take(order, 9.0), memory.take(order, 9.0), memory.take(order, 11.0)
        (True, False, False)
        """
        while self.valid_until_s:
            nonce, until_s = next(iter(self.valid_until_s.items()))
            if until_s >= store_now_s:
                break
            del self.valid_until_s[nonce]
        full = len(self.valid_until_s) >= MAX_NONCES
        if full or self.has(order) or order.valid_until_s < store_now_s:
            return False
        self.valid_until_s[order.nonce] = order.valid_until_s
        return True


def is_relay_header(name: str) -> bool:
    """Returns whether a header belongs to this protocol."""
    return name.lower().startswith(HEADER_PREFIX)


def encode_order(order: RelayOrder) -> str:
    """Returns the value of the header with an order.

    Values of HTTP headers may hold any bytes, which are kept.
    """
    headers = tuple((str(name), _as_bytes(value)) for name, value in order.headers)
    content = msgspec.structs.asdict(order) | {"headers": headers}
    return base64.b64encode(msgspec.msgpack.encode(content)).decode()


def decode_order(text: str) -> RelayOrder:
    """Returns the order of a header; raises ``ValueError`` if it is none."""
    wire = decode_msgpack(base64.b64decode(text, validate=True), WireOrder)
    headers = tuple((name, _as_text(value)) for name, value in wire.headers)
    content = msgspec.structs.asdict(wire) | {"headers": headers}
    return RelayOrder(**content)


def _as_bytes(value: str) -> bytes:
    return value.encode("utf-8", "surrogateescape")


def _as_text(value: bytes) -> str:
    return value.decode("utf-8", "surrogateescape")


def request_digest(method: str, path: str, body: bytes) -> str:
    """Returns a digest of the parts of a request that are not in its order."""
    return _digest(sha256(), (method.encode(), _as_bytes(path), body))


def prove_order(key: bytes, text: str) -> str:
    """Returns the proof of an encoded order."""
    return _digest(hmac.new(key, b"order", sha256), (_as_bytes(text),))


def verify_order(key: bytes, text: str, proof: str) -> bool:
    """Returns whether the sender of an order has the key."""
    return _equal(prove_order(key, text), proof)


def prove_response(key: bytes, nonce: str, result: str) -> str:
    """Returns the proof of the response to an order."""
    algorithm = hmac.new(key, b"response", sha256)
    return _digest(algorithm, (nonce.encode(), _as_bytes(result)))


def verify_response(keys: Iterable[bytes], nonce: str, result: str, proof: str) -> bool:
    """Returns whether the sender of a response has one of the keys."""
    return any(_equal(prove_response(key, nonce, result), proof) for key in keys)


def _digest(algorithm: Digest, parts: Iterable[bytes]) -> str:
    """Returns a digest of the parts, each with its length."""
    for part in parts:
        algorithm.update(len(part).to_bytes(8, "big"))
        algorithm.update(part)
    return algorithm.hexdigest()


def _equal(expected: str, received: str) -> bool:
    return hmac.compare_digest(expected.encode(), _as_bytes(received))
