"""Serves the reservations of other VMs; one task for each connection."""

import asyncio
import secrets
import socket
from collections.abc import Callable

import msgspec

from verbenagrade.coordination.budget_holder import BudgetHolder, SpenderProcess
from verbenagrade.events import Event, log_event
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
from verbenagrade.state.client_limits import Listener
from verbenagrade.state.decoding import decode_msgpack, make_decoder
from verbenagrade.state.reservation_orders import (
    FreeTokens,
    ReserveOrder,
    ReserveResult,
    ReserveStatus,
)
from verbenagrade.transport.clients.listeners import open_listener
from verbenagrade.transport.clients.shared import Clients
from verbenagrade.transport.clients.streams import StreamClient, count_stream
from verbenagrade.transport.frames import read_frame, write_frame
from verbenagrade.transport.gateway.holder_connection import (
    MAX_RESERVATION_FRAME_BYTES,
)

__all__ = ["HolderServer"]

HANDSHAKE_S = 2.0
"""Time for a spender to prove that it is of the fleet, in seconds."""

MAX_HELLO_BYTES = 4_096
"""Longest first frame of a connection, in bytes."""

READ_LIMIT_BYTES = 16_384
"""What a connection reads ahead, in bytes."""

MAX_UNSENT_BYTES = 1_000_000
"""Results that a spender does not read, in bytes, above which its connection ends."""

KEEPALIVE = (("TCP_KEEPIDLE", 5), ("TCP_KEEPINTVL", 2), ("TCP_KEEPCNT", 3))
"""Idle time before the first probe of a connection, interval between probes, in
seconds, and the number of probes without a reply that end it."""

_encoder = msgspec.msgpack.Encoder()
_decode_orders = make_decoder(Orders)


class HolderServer:
    """Accepts connections of spenders and carries out their orders.

    ``keys`` returns the keys of the fleet.
    """

    def __init__(
        self,
        holder: BudgetHolder,
        incarnation: str,
        keys: Callable[[], list[bytes]],
        clients: Clients,
    ) -> None:
        self.clients = clients
        self.holder = holder
        self.incarnation = incarnation
        self.keys = keys
        self.server: asyncio.Server | None = None
        self.connections: dict[SpenderProcess, asyncio.Task[None]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self, ip: str, first_port: int, last_port: int) -> int:
        """Listens at the first port of a range that is free, and returns it.

        Raises ``OSError`` if none is.
        """
        for port in range(first_port, last_port + 1):
            try:
                listener = open_listener(ip, port)
                self.server = await asyncio.start_server(
                    self._serve, sock=listener, limit=READ_LIMIT_BYTES
                )
            except OSError:
                if port == last_port:
                    raise
                continue
            return self.server.sockets[0].getsockname()[1]
        raise OSError("the range of ports for reservations is empty; correct it")

    def stop(self) -> None:
        """Stops listening and ends all connections."""
        if self.server is not None:
            self.server.close()
        for task in tuple(self.tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with count_stream(self.clients, Listener.FLEET, writer) as client:
            if client is not None:
                await self._serve_client(reader, writer, client)

    async def _serve_client(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        client: StreamClient,
    ) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        spender: SpenderProcess | None = None
        try:
            _keep_alive(writer)
            async with asyncio.timeout(HANDSHAKE_S):
                accepted = await self._accept(reader, writer)
            if accepted is None:
                return
            spender, key = accepted
            client.trust()
            # Orders of an earlier connection that were not read yet count as lost.
            earlier = self.connections.get(spender)
            if earlier is not None:
                earlier.cancel()
            self.connections[spender] = task
            await self._carry_out(spender, key, reader, writer)
        except (TimeoutError, ValueError) as error:
            _log_rejected(spender, writer, repr(error))
        except asyncio.CancelledError:
            # Replaced by a newer connection, or the process stops.
            return
        finally:
            self.tasks.discard(task)
            if spender is not None and self.connections.get(spender) is task:
                del self.connections[spender]
            writer.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> tuple[SpenderProcess, bytes] | None:
        """Returns the spender and the key of the connection, if it is of the fleet."""
        challenge = Challenge(secrets.token_bytes(NONCE_BYTES), self.incarnation)
        write_frame(writer, _encoder.encode(challenge))
        frame = await read_frame(reader, MAX_HELLO_BYTES)
        if frame is None:
            return None
        hello = decode_msgpack(frame, Hello)
        keys = self.keys()
        if not keys:
            # This process has just started and has not read the key yet.
            return None
        for key in keys:
            if verify_side(key, SPENDER, challenge, hello, hello.proof):
                proof = prove_side(key, HOLDER, challenge, hello)
                write_frame(writer, _encoder.encode(Welcome(proof)))
                spender = SpenderProcess(hello.vm, hello.incarnation)
                self.holder.charge_replaced(hello.vm, hello.incarnation)
                return spender, connection_key(key, challenge, hello)
        raise ValueError("the spender does not know the key of the fleet")

    async def _carry_out(
        self,
        spender: SpenderProcess,
        key: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        received, sent = FrameSeal(key, SPENDER), FrameSeal(key, HOLDER)

        def reply(results: Results) -> None:
            """Sends results, unless the connection has ended."""
            if writer.is_closing():
                return
            write_frame(writer, sent.seal(_encoder.encode(results)))
            if writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
                writer.transport.abort()

        while (frame := await read_frame(reader, MAX_RESERVATION_FRAME_BYTES)) is not (
            None
        ):
            orders = _decode_orders(received.open(frame))
            reply(self._results(spender, orders, reply))

    def _results(
        self, spender: SpenderProcess, orders: Orders, reply: Callable[[Results], None]
    ) -> Results:
        """Carries orders out; what has to wait for the store is replied to later."""
        for settlement in orders.settle:
            self.holder.settle(spender, settlement)
        reserved: list[ReserveResult] = []
        for order in orders.reserve:
            result = self.holder.reserve(spender, order)
            reserved.append(result)
            if result.status is ReserveStatus.PENDING:
                task = asyncio.create_task(self._finish(spender, order, reply))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
        free: list[FreeTokens] = [self.holder.free(order) for order in orders.free]
        settled = tuple(settlement.number for settlement in orders.settle)
        states = tuple(self.holder.known_states(spender, it) for it in orders.states)
        return Results(tuple(reserved), settled, tuple(free), states)

    async def _finish(
        self,
        spender: SpenderProcess,
        order: ReserveOrder,
        reply: Callable[[Results], None],
    ) -> None:
        reply(Results((await self.holder.finish(spender, order),)))


def _keep_alive(writer: asyncio.StreamWriter) -> None:
    """Lets a connection end whose spender is gone without a word."""
    connected = writer.get_extra_info("socket")
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in KEEPALIVE:
        connected.setsockopt(socket.IPPROTO_TCP, getattr(socket, option), value)


def _log_rejected(
    spender: SpenderProcess | None, writer: asyncio.StreamWriter, reason: str
) -> None:
    peer = writer.get_extra_info("peername")
    name = spender.vm if spender is not None else str(peer and peer[0])
    log_event(Event.RESERVATION_REJECTED, vm=name, reason=reason)
