"""Decodes data of other writers: whatever it is, the result is a value or one error.

The store, other VMs, endpoints and callers can send any bytes. Decoding can then fail
in many ways, for example by deep nesting, which exhausts the stack even in a field that
nobody reads. All of them are raised as ``UndecodableError`` here.
"""

import ipaddress
from collections.abc import Callable
from typing import Annotated, TypeVar

import msgspec

from verbenagrade.exceptions import UndecodableError

__all__ = [
    "MAX_COUNT",
    "Count",
    "Number",
    "Seconds",
    "decode_json",
    "decode_msgpack",
    "is_address",
    "is_text",
    "make_decoder",
    "parse_count",
]

MAX_COUNT = 2**53
"""Largest count; each integer up to it can be a float without a rounding error."""

MAX_COUNT_DIGITS = 15
"""Number of digits of a count in a text, so that it is below ``MAX_COUNT``."""

MAX_SECONDS = 1e11
"""Largest time, in seconds, some 3,000 years; clocks of both kinds stay below it."""

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
MAX_REASON_LENGTH = 200
"""Largest length of what an error says of its cause, in characters."""

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Number = Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
Seconds = Annotated[float, msgspec.Meta(ge=-MAX_SECONDS, le=MAX_SECONDS)]

Value = TypeVar("Value")

# Errors of msgspec and of UTF-8 are a ValueError.
_FAILURES = (ValueError, ArithmeticError, RecursionError, MemoryError)


def decode_json(data: bytes, kind: type[Value]) -> Value:
    """Decodes JSON into a type; raises ``UndecodableError`` if that fails."""
    return _decode(lambda: msgspec.json.decode(data, type=kind))


def decode_msgpack(data: bytes, kind: type[Value]) -> Value:
    """Decodes MessagePack into a type; raises ``UndecodableError`` if that fails."""
    return _decode(lambda: msgspec.msgpack.decode(data, type=kind))


def make_decoder(kind: type[Value]) -> Callable[[bytes], Value]:
    """Returns a function like ``decode_msgpack`` for one type, which is faster."""
    decoder = msgspec.msgpack.Decoder(kind)

    def decode(data: bytes) -> Value:
        """Decodes MessagePack."""
        return _decode(lambda: decoder.decode(data))

    return decode


def parse_count(text: str) -> int:
    """Returns the count that ASCII digits stand for.

    Raises ``UndecodableError`` for any other text, and for more than 15 digits.

    >>> parse_count("0800")
    800
    """
    if not (text.isascii() and text.isdecimal() and len(text) <= MAX_COUNT_DIGITS):
        raise UndecodableError(
            f"{text[:MAX_COUNT_DIGITS]!a} is no count; write at most"
            f" {MAX_COUNT_DIGITS} digits"
        )
    return int(text)


def is_address(text: str) -> bool:
    """Returns whether a text is an IPv4 address and a port, to which one can connect.

    >>> [is_address(text) for text in ("10.0.0.1:80", "10.0.0.1:0", "a.b.c.d:80")]
    [True, False, False]
    """
    host, _, port = text.partition(":")
    if not (port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS):
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return 0 < int(port) <= MAX_PORT


def is_text(text: str) -> bool:
    """Returns whether a text can be encoded, logged and stored as UTF-8."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _decode(decode: Callable[[], Value]) -> Value:
    try:
        return decode()
    except _FAILURES as error:
        reason = str(error) or type(error).__name__
        raise UndecodableError(reason[:MAX_REASON_LENGTH]) from error
