"""The connection over which a VM reserves tokens with one holder."""

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from verbenagrade.exceptions import (
    PeerNoReplyError,
    PeerUnreachableError,
    UndecodableError,
)
from verbenagrade.protocol.reservations import (
    HOLDER,
    NONCE_BYTES,
    SPENDER,
    Challenge,
    FrameSeal,
    Hello,
    Orders,
    Results,
    Welcome,
    connection_key,
    prove_side,
    verify_side,
)
from verbenagrade.state.decoding import decode_msgpack, make_decoder
from verbenagrade.state.holders import HolderVm
from verbenagrade.transport.frames import read_frame, write_frame

__all__ = [
    "MAX_RESERVATION_FRAME_BYTES",
    "HolderConnection",
    "SpenderIdentity",
    "connect_to_holder",
]

MAX_RESERVATION_FRAME_BYTES = 65_536
"""Largest frame with orders or results, in bytes."""

CONNECT_S = 0.3
"""Timeout for a connection to a holder and the proofs of both sides, in seconds."""

_encoder = msgspec.msgpack.Encoder()
_decode_results = make_decoder(Results)


@dataclass(frozen=True, slots=True)
class SpenderIdentity:
    """The spender's VM, its process, and the keys of the fleet, the newest first."""

    vm: str
    incarnation: str
    keys: Callable[[], list[bytes]]


class HolderConnection:
    """An open connection to a holder, and the task that reads its results.

    ``incarnation`` is that of the holder's process. ``on_results`` is called with each
    frame, and ``on_end`` once, when the connection has ended.
    """

    def __init__(
        self,
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        incarnation: str,
        key: bytes,
        on_results: Callable[[Results], None],
        on_end: Callable[["HolderConnection", str], None],
    ) -> None:
        self.reader, self.writer = streams
        self.incarnation = incarnation
        self.sent_seal = FrameSeal(key, SPENDER)
        self.received_seal = FrameSeal(key, HOLDER)
        self.on_results = on_results
        self.on_end = on_end
        self.ended = False
        self.task = asyncio.create_task(self._read())

    def send(self, orders: Orders) -> None:
        """Sends orders without waiting for them to leave."""
        write_frame(self.writer, self.sent_seal.seal(_encoder.encode(orders)))

    def close(self) -> None:
        """Ends the connection at once."""
        self.task.cancel()
        self._end("closed here")

    async def _read(self) -> None:
        reason = "the connection has ended"
        try:
            while (frame := await self._next_frame()) is not None:
                payload = self.received_seal.open(frame)
                self.on_results(_decode_results(payload))
        except ValueError as error:
            reason = f"invalid frame: {error}"
        finally:
            self._end(reason)

    def _end(self, reason: str) -> None:
        if not self.ended:
            self.ended = True
            self.writer.close()
            self.on_end(self, reason)

    async def _next_frame(self) -> bytes | None:
        return await read_frame(self.reader, MAX_RESERVATION_FRAME_BYTES)


async def connect_to_holder(
    holder: HolderVm,
    identity: SpenderIdentity,
    on_results: Callable[[Results], None],
    on_end: Callable[[HolderConnection, str], None],
) -> HolderConnection:
    """Connects to a holder, and proves to each other that both are of the fleet.

    Raises ``PeerUnreachableError`` if that fails.
    """
    keys = identity.keys()
    if not keys:
        raise PeerUnreachableError("the key of the fleet is not known yet; retry")
    try:
        async with asyncio.timeout(CONNECT_S):
            return await _connect(holder, identity, keys[0], on_results, on_end)
    except (OSError, TimeoutError, PeerNoReplyError, UndecodableError) as error:
        raise PeerUnreachableError(
            f"{holder.vm} at {holder.address} is not reached ({error!r}); check the VM"
        ) from error


async def _connect(
    holder: HolderVm,
    identity: SpenderIdentity,
    key: bytes,
    on_results: Callable[[Results], None],
    on_end: Callable[[HolderConnection, str], None],
) -> HolderConnection:
    host, _, port = holder.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        challenge = await _read_message(reader, Challenge)
        hello = Hello(
            secrets.token_bytes(NONCE_BYTES), identity.vm, identity.incarnation, b""
        )
        proof = prove_side(key, SPENDER, challenge, hello)
        hello = msgspec.structs.replace(hello, proof=proof)
        write_frame(writer, _encoder.encode(hello))
        welcome = await _read_message(reader, Welcome)
        if not verify_side(key, HOLDER, challenge, hello, welcome.proof):
            raise PeerNoReplyError("the other side does not know the key of the fleet")
    except BaseException:
        writer.close()
        raise
    session_key = connection_key(key, challenge, hello)
    streams = (reader, writer)
    return HolderConnection(
        streams, challenge.incarnation, session_key, on_results, on_end
    )


async def _read_message(reader: asyncio.StreamReader, kind: type) -> object:
    frame = await read_frame(reader, MAX_RESERVATION_FRAME_BYTES)
    if frame is None:
        raise PeerNoReplyError("the connection was closed during the proofs")
    return decode_msgpack(frame, kind)
