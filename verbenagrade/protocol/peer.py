"""Frames between instances: MessagePack with a correlation number."""

import msgspec

from verbenagrade.exceptions import PeerSilentError
from verbenagrade.state.holding import Earlier, Reserved
from verbenagrade.state.identity import Instance
from verbenagrade.state.messages import (
    Answer,
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
    """The first frame of each side: which instance it is."""

    instance: Instance
    data_centre: str


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """A message or its answer; both carry the same correlation number."""

    correlation: int
    kind: str
    body: msgspec.Raw


_encoder = msgspec.msgpack.Encoder()
_frame_decoder = msgspec.msgpack.Decoder(Frame)


def encode_frame(correlation: int, body: Message | Answer) -> bytes:
    """Returns the encoded frame of a message."""
    raw = msgspec.Raw(_encoder.encode(body))
    return _encoder.encode(Frame(correlation, type(body).__name__, raw))


def decode_frame(data: bytes) -> Frame:
    """Reads a frame; its body is decoded later, once its kind is known."""
    return _frame_decoder.decode(data)


def decode_body(frame: Frame) -> Message | Answer:
    """Returns the typed message of a frame.

    Raises ``PeerSilentError`` for a kind that this version does not know.
    """
    body_type = BODY_TYPES.get(frame.kind)
    if body_type is None:
        raise PeerSilentError(f"{frame.kind} is not known here; upgrade this VM")
    return msgspec.msgpack.decode(frame.body, type=body_type)
