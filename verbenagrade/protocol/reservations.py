"""The messages by which VMs reserve tokens with the holders of budgets.

The spender opens a connection to the holder. Each side first proves that it knows the
key of the fleet. Each later frame has a code, by a key of this connection and a number,
so that a frame which was changed, repeated or left out is noticed.
"""

import hmac
from hashlib import sha256

import msgspec

from verbenagrade.state.reservation_orders import (
    FreeTokens,
    FreeTokensOrder,
    KnownStates,
    ReserveOrder,
    ReserveResult,
    SettleOrder,
    StatesOrder,
)

__all__ = [
    "HOLDER",
    "NONCE_BYTES",
    "SPENDER",
    "Challenge",
    "FrameSeal",
    "Hello",
    "Orders",
    "Results",
    "Welcome",
    "connection_key",
    "prove_side",
    "verify_side",
]

NONCE_BYTES = 16
CODE_BYTES = 16
"""Length of the authentication code of a frame, in bytes."""

SPENDER, HOLDER = b"spender", b"holder"


class Challenge(msgspec.Struct, frozen=True, array_like=True):
    """The first message of a holder; ``incarnation`` is that of its process."""

    nonce: bytes
    incarnation: str


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """The response of a spender, with its name, its process and its proof."""

    nonce: bytes
    vm: str
    incarnation: str
    proof: bytes


class Welcome(msgspec.Struct, frozen=True, array_like=True):
    """The proof of a holder."""

    proof: bytes


class Orders(msgspec.Struct, frozen=True, array_like=True):
    """The orders that a spender sends in one frame."""

    reserve: tuple[ReserveOrder, ...] = ()
    settle: tuple[SettleOrder, ...] = ()
    free: tuple[FreeTokensOrder, ...] = ()
    states: tuple[StatesOrder, ...] = ()


class Results(msgspec.Struct, frozen=True, array_like=True):
    """The results that a holder sends in one frame.

    ``settled`` are the numbers of reservations that need not be settled again.
    """

    reserved: tuple[ReserveResult, ...] = ()
    settled: tuple[int, ...] = ()
    free: tuple[FreeTokens, ...] = ()
    states: tuple[KnownStates, ...] = ()


def prove_side(key: bytes, side: bytes, challenge: Challenge, hello: Hello) -> bytes:
    """Returns the proof of one side of a connection, ``SPENDER`` or ``HOLDER``."""
    parts = (
        side,
        challenge.nonce,
        challenge.incarnation.encode(),
        hello.nonce,
        hello.vm.encode(),
        hello.incarnation.encode(),
    )
    # Lengths keep a part from continuing in the next one.
    content = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
    return hmac.digest(key, content, sha256)


def verify_side(
    key: bytes, side: bytes, challenge: Challenge, hello: Hello, proof: bytes
) -> bool:
    """Returns whether the other side knows the key."""
    return hmac.compare_digest(prove_side(key, side, challenge, hello), proof)


def connection_key(key: bytes, challenge: Challenge, hello: Hello) -> bytes:
    """Returns the key of one connection."""
    return prove_side(key, b"connection", challenge, hello)


class FrameSeal:
    """Adds authentication codes to the frames of one direction, or checks them.

    >>> sent, received = FrameSeal(b"key", b"spender"), FrameSeal(b"key", b"spender")
    >>> frame = sent.seal(b"orders")
    >>> received.open(frame)
    b'orders'
    >>> received.open(frame)
    Traceback (most recent call last):
        ...
    ValueError: a frame was changed, repeated or left out
    """

    def __init__(self, key: bytes, direction: bytes) -> None:
        self.key = hmac.digest(key, direction, sha256)
        self.number = 0

    def seal(self, payload: bytes) -> bytes:
        """Returns a frame with the payload and its code."""
        return payload + self._next_code(payload)

    def open(self, frame: bytes) -> bytes:
        """Returns the payload; raises ``ValueError`` if the code is not right."""
        payload, code = frame[:-CODE_BYTES], frame[-CODE_BYTES:]
        if not hmac.compare_digest(self._next_code(payload), code):
            raise ValueError("a frame was changed, repeated or left out")
        return payload

    def _next_code(self, payload: bytes) -> bytes:
        self.number += 1
        content = self.number.to_bytes(8, "big") + payload
        return hmac.digest(self.key, content, sha256)[:CODE_BYTES]
