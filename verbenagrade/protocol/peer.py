"""Frames between instances, encoded as MessagePack."""

import msgspec

from verbenagrade.exceptions import PeerNoReplyError
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
_frame_decoder = msgspec.msgpack.Decoder(Frame)


def encode_frame(correlation: int, body: Message | Reply) -> bytes:
    """Encodes a message or a reply as a frame."""
    raw = msgspec.Raw(_encoder.encode(body))
    return _encoder.encode(Frame(correlation, type(body).__name__, raw))


def decode_frame(data: bytes) -> Frame:
    """Decodes a frame but not its body, whose type depends on ``kind``."""
    return _frame_decoder.decode(data)


def decode_body(frame: Frame) -> Message | Reply:
    """Decodes the body of a frame.

    Raises ``PeerNoReplyError`` for a kind that is unknown to this version.
    """
    body_type = BODY_TYPES.get(frame.kind)
    if body_type is None:
        raise PeerNoReplyError(f"unknown message kind {frame.kind}; upgrade this VM")
    return msgspec.msgpack.decode(frame.body, type=body_type)
