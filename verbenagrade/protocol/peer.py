"""Frames between instances, encoded as MessagePack."""

import msgspec

from verbenagrade.exceptions import PeerNoReplyError
from verbenagrade.state.decoding import decode_msgpack, make_decoder
from verbenagrade.state.held_grant import Earlier, Reserved
from verbenagrade.state.identity import Instance
from verbenagrade.state.messages import (
    AttemptUnknown,
    Claims,
    ClaimsReply,
    CrashReport,
    Denied,
    FindAttempt,
    Heartbeat,
    HeartbeatReply,
    Message,
    QuarantineEnd,
    QuarantineReply,
    QuarantineRequest,
    Recorded,
    Replaced,
    Reply,
    Reserve,
    Settle,
    SettleReply,
    Witness,
    Witnessed,
)

__all__ = ["Frame", "Hello", "decode_body", "decode_frame", "encode_frame"]

BODY_TYPES = {
    body.__name__: body
    for body in (
        Reserve,
        Settle,
        Claims,
        Heartbeat,
        Reserved,
        Denied,
        Earlier,
        SettleReply,
        Witness,
        Witnessed,
        FindAttempt,
        AttemptUnknown,
        ClaimsReply,
        HeartbeatReply,
        CrashReport,
        QuarantineRequest,
        QuarantineReply,
        QuarantineEnd,
        Recorded,
        Replaced,
    )
}


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """The first frame of each side, which identifies the sender."""

    instance: Instance
    data_centre: str


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """A message or its reply, which has the same correlation number.

    ``kind`` is the class name of the body.
    """

    correlation: int
    kind: str
    body: msgspec.Raw


_encoder = msgspec.msgpack.Encoder()
_decode_frame = make_decoder(Frame)


def encode_frame(correlation: int, body: Message | Reply) -> bytes:
    """Encodes a message or a reply as a frame."""
    raw = msgspec.Raw(_encoder.encode(body))
    return _encoder.encode(Frame(correlation, type(body).__name__, raw))


def decode_frame(data: bytes) -> Frame:
    """Decodes a frame but not its body, whose type depends on ``kind``.

    Raises ``UndecodableError`` if it is none.
    """
    return _decode_frame(data)


def decode_body(frame: Frame) -> Message | Reply:
    """Decodes the body of a frame.

    Raises ``PeerNoReplyError`` for a kind that is unknown to this version, and
    ``UndecodableError`` for a body that is not of its kind.
    """
    body_type = BODY_TYPES.get(frame.kind)
    if body_type is None:
        raise PeerNoReplyError(f"unknown message kind {frame.kind}; upgrade this VM")
    return decode_msgpack(frame.body, body_type)
