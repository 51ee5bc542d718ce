"""Reserves tokens with the holders of budgets on other VMs; one link for each."""

import asyncio
import itertools
from collections.abc import Callable
from typing import TypeVar

from verbenagrade.coordination.fleet_budgets import HolderReply, ReservationRequest
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import (
    PeerError,
    PeerNoReplyError,
    PeerUnreachableError,
)
from verbenagrade.protocol.reservations import Orders, Results
from verbenagrade.state.holders import HolderVm
from verbenagrade.state.reservation_orders import (
    FreeTokensOrder,
    KnownStates,
    ReserveOrder,
    ReserveResult,
    ReserveStatus,
    SettleOrder,
    StatesOrder,
)
from verbenagrade.state.reservations import HeldTokens, ReservedPart
from verbenagrade.transport.gateway.holder_connection import (
    HolderConnection,
    SpenderIdentity,
    connect_to_holder,
)

__all__ = ["HolderLink", "HolderLinkTable"]

REPLY_S = 0.25
"""Time for the first reply to an order, in seconds, after which the connection is taken
for dead."""

STORE_REPLY_S = 0.7
"""Time for a holder to get tokens from the store, in seconds."""

SETTLE_DELAY_S = 0.02
"""Time for which a settlement waits for others, to be sent in one frame, in seconds."""

MAX_ORDERS_PER_FRAME = 500
"""Largest number of orders of each kind in a frame."""

MAX_UNSETTLED = 20_000
"""Largest number of settlements that are kept for one holder, about 100 bytes each."""

Value = TypeVar("Value")


class HolderLink:
    """The link to one holder.

    ``unsettled`` maps the numbers of reservations that ended to the tokens used, until
    the holder has confirmed them. They are meant for the process ``incarnation``; once
    another one is found at the holder's address they mean nothing.
    """

    def __init__(
        self,
        holder: HolderVm,
        identity: SpenderIdentity,
        numbers: "itertools.count[int]",
    ) -> None:
        self.holder = holder
        self.identity = identity
        self.numbers = numbers
        self.connection: HolderConnection | None = None
        self.connecting = asyncio.Lock()
        self.incarnation = ""
        self.unsettled: dict[int, int] = {}
        self.unsent: list[SettleOrder] = []
        self.reserve_orders: list[ReserveOrder] = []
        self.free_orders: list[FreeTokensOrder] = []
        self.states_orders: list[StatesOrder] = []
        self.first_replies: dict[int, asyncio.Future[ReserveResult]] = {}
        self.last_replies: dict[int, asyncio.Future[ReserveResult]] = {}
        self.free_replies: dict[int, asyncio.Future[HeldTokens]] = {}
        self.states_replies: dict[int, asyncio.Future[KnownStates]] = {}
        self.flush_scheduled = False

    async def reserve(self, request: ReservationRequest) -> HolderReply:
        """Reserves tokens; raises ``PeerError`` if the holder does not reply.

        What may then be reserved there is released as soon as the holder is reached.
        """
        return await self._on_fresh_connection(lambda: self._reserve(request))

    async def free(self, workspace: str) -> HeldTokens:
        """Returns the free tokens of a workspace; raises ``PeerError`` likewise."""
        return await self._on_fresh_connection(lambda: self._free(workspace))

    async def known_states(self, era: int, workspaces: tuple[str, ...]) -> KnownStates:
        """Returns what the holder knows of budgets; raises ``PeerError`` likewise."""
        return await self._on_fresh_connection(lambda: self._states(era, workspaces))

    def settle(self, number: int, used: int, incarnation: str) -> None:
        """Ends a reservation that a process of the holder has made."""
        if incarnation != self.incarnation:
            return
        if len(self.unsettled) >= MAX_UNSETTLED:
            self._drop_unsettled("too many settlements wait")
        self.unsettled[number] = used
        self.unsent.append(SettleOrder(number, used))
        self._schedule_flush(SETTLE_DELAY_S)

    async def resend(self) -> None:
        """Connects again if settlements wait for the holder."""
        if self.unsettled and self.connection is None:
            await self._connected()

    def close(self) -> None:
        """Ends the connection."""
        if self.connection is not None:
            self.connection.close()

    async def _on_fresh_connection(
        self, ask: Callable[[], "asyncio.Future[Value]"]
    ) -> Value:
        """Asks, and once more if a connection that was open before has died."""
        was_open = self.connection is not None
        try:
            return await ask()
        except PeerNoReplyError:
            if not was_open:
                raise
            return await ask()

    async def _reserve(self, request: ReservationRequest) -> HolderReply:
        connection = await self._connected()
        loop = asyncio.get_running_loop()
        number = next(self.numbers)
        first = self.first_replies[number] = loop.create_future()
        last = self.last_replies[number] = loop.create_future()
        self.reserve_orders.append(
            ReserveOrder(
                number,
                request.workspace,
                request.tokens,
                request.prepaid,
            )
        )
        self._schedule_flush(0.0)
        result: ReserveResult | None = None
        try:
            await self._await_reply(first, connection)
            async with asyncio.timeout(STORE_REPLY_S):
                result = await last
        except TimeoutError:
            reason = f"{self.holder.vm} waits for the store"
            return HolderReply(ReserveStatus.UNAVAILABLE, reason=reason)
        finally:
            del self.first_replies[number], self.last_replies[number]
            if result is None:
                self.settle(number, 0, connection.incarnation)
        if result.status is ReserveStatus.DECLINED:
            raise PeerUnreachableError(f"{self.holder.vm} declined: {result.reason}")
        if result.status is not ReserveStatus.GRANTED:
            return HolderReply(result.status, reason=result.reason)
        part = ReservedPart(
            self.holder.vm, request.tokens, connection.incarnation, number
        )
        return HolderReply(result.status, part)

    async def _free(self, workspace: str) -> HeldTokens:
        connection = await self._connected()
        number = next(self.numbers)
        reply = asyncio.get_running_loop().create_future()
        self.free_replies[number] = reply
        self.free_orders.append(FreeTokensOrder(number, workspace))
        self._schedule_flush(0.0)
        try:
            return await self._await_reply(reply, connection)
        finally:
            del self.free_replies[number]

    async def _states(self, era: int, workspaces: tuple[str, ...]) -> KnownStates:
        connection = await self._connected()
        number = next(self.numbers)
        reply = asyncio.get_running_loop().create_future()
        self.states_replies[number] = reply
        self.states_orders.append(StatesOrder(number, era, workspaces))
        self._schedule_flush(0.0)
        try:
            return await self._await_reply(reply, connection)
        finally:
            del self.states_replies[number]

    async def _await_reply(
        self, reply: "asyncio.Future[Value]", connection: HolderConnection
    ) -> Value:
        """Returns a reply; a connection that brings none in time is closed."""
        try:
            async with asyncio.timeout(REPLY_S):
                return await reply
        except TimeoutError as error:
            connection.close()
            raise PeerNoReplyError(f"{self.holder.vm} did not reply; retry") from error

    async def _connected(self) -> HolderConnection:
        async with self.connecting:
            if self.connection is None:
                connection = await connect_to_holder(
                    self.holder, self.identity, self._apply, self._ended
                )
                if connection.incarnation != self.incarnation:
                    self._drop_unsettled("its process was replaced")
                    self.incarnation = connection.incarnation
                self.connection = connection
                self.unsent = list(
                    itertools.starmap(SettleOrder, self.unsettled.items())
                )
                self._schedule_flush(0.0)
            return self.connection

    def _ended(self, connection: HolderConnection, reason: str) -> None:
        if self.connection is not connection:
            return
        self.connection = None
        self.reserve_orders.clear()
        self.free_orders.clear()
        self.states_orders.clear()
        waiting = (*self.first_replies.values(), *self.last_replies.values())
        others = (*self.free_replies.values(), *self.states_replies.values())
        for future in (*waiting, *others):
            if not future.done():
                future.set_exception(
                    PeerNoReplyError(f"{self.holder.vm} did not reply: {reason}")
                )
                future.exception()

    def _apply(self, results: Results) -> None:
        for result in results.reserved:
            _complete(self.first_replies.get(result.number), result)
            if result.status is not ReserveStatus.PENDING:
                _complete(self.last_replies.get(result.number), result)
        for number in results.settled:
            self.unsettled.pop(number, None)
        for reply in results.free:
            held = HeldTokens(reply.at_once, reply.free)
            _complete(self.free_replies.get(reply.number), held)
        for known in results.states:
            _complete(self.states_replies.get(known.number), known)

    def _schedule_flush(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        if delay_s == 0.0:
            loop.call_soon(self._flush)
        elif not self.flush_scheduled:
            self.flush_scheduled = True
            loop.call_later(delay_s, self._flush_delayed)

    def _flush_delayed(self) -> None:
        self.flush_scheduled = False
        self._flush()

    def _flush(self) -> None:
        """Sends all orders that wait, in one frame or few."""
        if self.connection is None:
            return
        waiting = (self.reserve_orders, self.unsent, self.free_orders)
        while any(waiting):
            first = (tuple(orders[:MAX_ORDERS_PER_FRAME]) for orders in waiting)
            self.connection.send(Orders(*first))
            for orders in waiting:
                del orders[:MAX_ORDERS_PER_FRAME]
        while self.states_orders:
            self.connection.send(Orders(states=(self.states_orders.pop(0),)))

    def _drop_unsettled(self, reason: str) -> None:
        if self.unsettled:
            log_event(
                Event.SETTLEMENTS_DROPPED,
                vm=self.holder.vm,
                reservations=len(self.unsettled),
                reason=reason,
            )
        self.unsettled.clear()
        self.unsent.clear()


def _complete(future: "asyncio.Future[Value] | None", value: Value) -> None:
    if future is not None and not future.done():
        future.set_result(value)


class HolderLinkTable:
    """The links of a process to all holders."""

    def __init__(self, identity: SpenderIdentity) -> None:
        self.identity = identity
        self.numbers = itertools.count(1)
        self.links: dict[str, HolderLink] = {}

    @property
    def unsettled_count(self) -> int:
        """The number of settlements that holders have not confirmed."""
        return sum(len(link.unsettled) for link in self.links.values())

    async def reserve(
        self, holder: HolderVm, request: ReservationRequest
    ) -> HolderReply:
        """Reserves tokens with a holder; raises ``PeerError`` without a reply."""
        return await self._link(holder).reserve(request)

    async def free(self, holder: HolderVm, workspace: str) -> HeldTokens:
        """Returns the free tokens at a holder; raises ``PeerError`` without a reply."""
        return await self._link(holder).free(workspace)

    async def known_states(
        self, holder: HolderVm, era: int, workspaces: tuple[str, ...]
    ) -> KnownStates:
        """Returns what a VM knows of budgets; raises ``PeerError`` without a reply."""
        return await self._link(holder).known_states(era, workspaces)

    def settle(self, part: ReservedPart, used: int) -> None:
        """Ends a reservation with a holder."""
        link = self.links.get(part.vm)
        if link is not None:
            link.settle(part.number, used, part.incarnation)

    async def resend(self) -> None:
        """Connects again to holders for which settlements wait."""
        for link in tuple(self.links.values()):
            try:
                await link.resend()
            except PeerError as error:
                log_event(
                    Event.HOLDER_UNREACHABLE, vm=link.holder.vm, reason=str(error)
                )

    def close(self) -> None:
        """Ends all connections."""
        for link in self.links.values():
            link.close()

    def _link(self, holder: HolderVm) -> HolderLink:
        link = self.links.get(holder.vm)
        if link is None:
            link = HolderLink(holder, self.identity, self.numbers)
            self.links[holder.vm] = link
        elif link.holder != holder:
            link.close()
            link.holder = holder
        return link
