"""Reserves tokens for the calls of this VM with the holders of budgets in the fleet.

A call is reserved with the first holder of its data centre. If that one has too few
tokens and the store can't provide them, the free tokens of the holders of all data
centres are used, in several parts if need be.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from itertools import islice

from verbenagrade.coordination.allowances import AllowanceManager
from verbenagrade.coordination.ports import Clock
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import (
    BudgetExhaustedError,
    PeerError,
    UnavailableError,
)
from verbenagrade.state.avoided_vms import AvoidedVms
from verbenagrade.state.holders import HolderRanking, HolderVm
from verbenagrade.state.reservation_orders import ReserveStatus
from verbenagrade.state.reservations import (
    HeldTokens,
    Reservation,
    ReservedPart,
    choose_held_parts,
    split_usage,
)

__all__ = ["FleetBudgets", "HolderLinks", "HolderReply", "ReservationRequest"]

NEAR_HOLDERS = 2
"""Number of VMs of a data centre that may hold a workspace's tokens: the first one, and
the next one while the first can't be reached."""

MAX_COLLECTIONS = 2
"""How often free tokens are looked for in the fleet for one call. Other calls may
reserve them in the meantime. The second time, VMs that stood in for the holders of
other data centres are asked as well."""

MAX_FAILURES_OF_LIVING = 3
"""Failures in a row after which a VM counts as gone, which takes some 7 s. Until then
no budget of which it is the first holder counts as used up."""

SHORTAGE_S = 0.25
"""Time in seconds for which it counts as known that the fleet has too few tokens."""


@dataclass(frozen=True, slots=True)
class ReservationRequest:
    """Tokens that are wanted of a workspace.

    ``prepaid`` is what this VM takes for the prepaid tokens.
    """

    workspace: str
    tokens: int
    prepaid: int


@dataclass(frozen=True, slots=True)
class HolderReply:
    """The reply of a holder: a part if it reserved one, or why it did not."""

    status: ReserveStatus
    part: ReservedPart | None = None
    reason: str = ""


@dataclass(frozen=True, slots=True)
class HolderLinks:
    """The connections to other holders.

    ``reserve`` and ``free`` raise ``PeerError`` if the holder can't be reached; then
    nothing stays reserved there. ``free`` returns the free tokens. ``settle`` ends a
    part of which so many tokens were used, as soon as its holder is reached.
    """

    reserve: Callable[[HolderVm, ReservationRequest], Awaitable[HolderReply]]
    free: Callable[[HolderVm, str], Awaitable[HeldTokens]]
    settle: Callable[[ReservedPart, int], None]


@dataclass(frozen=True, slots=True)
class Shortage:
    """That all free tokens of a workspace were ``tokens`` at a time in seconds."""

    tokens: int
    at: float
    is_exhausted: bool
    reason: str


class FleetBudgets:
    """Reserves and settles the tokens of this VM's calls.

    ``manager`` has this VM's own grants. ``ranking`` tells who holds a workspace's
    tokens. ``avoided`` are the VMs that could not be reached a short time ago.
    """

    def __init__(
        self,
        manager: AllowanceManager,
        ranking: HolderRanking,
        links: HolderLinks,
        clock: Clock,
    ) -> None:
        self.manager = manager
        self.ranking = ranking
        self.links = links
        self.clock = clock
        self.avoided = AvoidedVms()
        self.shortages: dict[str, Shortage] = {}
        manager.planner.is_holder = self.is_holder

    def is_holder(self, workspace: str) -> bool:
        """Returns whether this VM is the first holder of its data centre."""
        own = self.ranking.own
        return self.ranking.ranked(workspace, own.data_centre)[0].vm == own.vm

    def first_holder(self, workspace: str) -> HolderVm:
        """Returns the VM of this data centre that is asked first."""
        return self._usable(workspace, self.ranking.own.data_centre)[0]

    async def reserve(self, workspace: str, bound: int) -> Reservation:
        """Reserves ``bound`` tokens, the upper bound of a call.

        Raises ``BudgetExhaustedError`` if the budget has too few tokens left, and
        ``UnavailableError`` if tokens can't be reached now.
        """
        self._refuse_if_short(workspace, bound)
        near = self._near_holders(workspace)
        prepaid = self.manager.prepaid(workspace)
        request = ReservationRequest(workspace, bound, prepaid)
        reply, rest = await self._ask_first(near, request)
        if reply.part is not None:
            return Reservation(workspace, (reply.part,))
        unreachable = 0
        for depth in range(1, MAX_COLLECTIONS + 1):
            free, failed = await self._free_tokens(workspace, depth)
            unreachable += failed
            chosen = choose_held_parts(free, bound)
            parts = await self._reserve_parts(workspace, chosen)
            if parts:
                return self._collected(workspace, parts)
        if reply.status is ReserveStatus.UNAVAILABLE:
            # The first holder may be the only one that does not reach the store, and
            # one that did not reply in time may only have been slow.
            avoided = tuple(filter(self._may_return, self._first_ranked(workspace)))
            for holders in (rest, avoided):
                reply, _ = await self._ask_first(holders, request, reply)
                if reply.part is not None:
                    return Reservation(workspace, (reply.part,))
        raise self._refusal(workspace, bound, free, unreachable, reply)

    def settle(self, reservation: Reservation, used: int) -> None:
        """Ends a reservation, of which ``used`` tokens were spent."""
        charges = split_usage(reservation.parts, used)
        for part, charge in zip(reservation.parts, charges, strict=True):
            if part.number:
                self.links.settle(part, charge)
            else:
                self.manager.settle(reservation.workspace, part.tokens, charge)

    def _usable(self, workspace: str, data_centre: str) -> tuple[HolderVm, ...]:
        """Returns the first holders of a data centre that are not avoided."""
        ranked = self.ranking.ranked(workspace, data_centre)
        now = self.clock()
        usable = (it for it in ranked if not self.avoided.is_avoided(it.vm, now))
        return tuple(islice(usable, NEAR_HOLDERS))

    def _near_holders(self, workspace: str) -> tuple[HolderVm, ...]:
        """Returns the VMs to ask in turn; this VM is the last one if not earlier."""
        own = self.ranking.own
        near = self._usable(workspace, own.data_centre)
        return near if own in near else (*near, own)

    async def _ask_first(
        self,
        holders: tuple[HolderVm, ...],
        request: ReservationRequest,
        otherwise: HolderReply | None = None,
    ) -> tuple[HolderReply, tuple[HolderVm, ...]]:
        """Returns the reply of the first holder that is reached, and those after it."""
        for position, holder in enumerate(holders):
            reply = await self._ask(holder, request)
            if reply is not None:
                return reply, holders[position + 1 :]
        unavailable = HolderReply(ReserveStatus.UNAVAILABLE, reason="no holder reached")
        return otherwise or unavailable, ()

    async def _ask(
        self, holder: HolderVm, request: ReservationRequest
    ) -> HolderReply | None:
        """Asks a holder; returns ``None`` if it can't be reached."""
        if holder.vm == self.ranking.own.vm:
            return await self._ask_own(request)
        try:
            reply = await self.links.reserve(holder, request)
        except PeerError as error:
            self._avoid(holder, error)
            return None
        self.avoided.succeeded(holder.vm)
        return reply

    async def _ask_own(self, request: ReservationRequest) -> HolderReply:
        try:
            await self.manager.reserve(request.workspace, request.tokens)
        except BudgetExhaustedError as error:
            return HolderReply(ReserveStatus.EXHAUSTED, reason=str(error))
        except UnavailableError as error:
            return HolderReply(ReserveStatus.UNAVAILABLE, reason=str(error))
        part = ReservedPart(self.ranking.own.vm, request.tokens)
        return HolderReply(ReserveStatus.GRANTED, part)

    async def _free_tokens(
        self, workspace: str, depth: int
    ) -> tuple[dict[str, HeldTokens], int]:
        """Returns the free tokens of each holder, the nearest first.

        ``depth`` VMs of each other data centre are asked. The second value counts the
        holders that could not be reached, now or a short time ago.
        """
        own = self.ranking.own
        unreachable = sum(map(self._may_return, self._first_ranked(workspace)))
        others = [h for h in self._near_holders(workspace) if h.vm != own.vm]
        for data_centre in self.ranking.data_centres[1:]:
            others += self._usable(workspace, data_centre)[:depth]
        counts = await asyncio.gather(*(self._free_at(h, workspace) for h in others))
        free = {own.vm: self.manager.held_tokens(workspace)}
        free |= {
            holder.vm: tokens
            for holder, tokens in zip(others, counts, strict=True)
            if tokens is not None
        }
        return free, unreachable + counts.count(None)

    def _first_ranked(self, workspace: str) -> tuple[HolderVm, ...]:
        """Returns the first holder of each data centre, also one that is avoided."""
        centres = self.ranking.data_centres
        return tuple(self.ranking.ranked(workspace, centre)[0] for centre in centres)

    def _may_return(self, holder: HolderVm) -> bool:
        """Returns whether a VM is not reached and does not yet count as gone."""
        failures = self.avoided.failures.get(holder.vm, 0)
        is_avoided = self.avoided.is_avoided(holder.vm, self.clock())
        return is_avoided and failures <= MAX_FAILURES_OF_LIVING

    async def _free_at(self, holder: HolderVm, workspace: str) -> HeldTokens | None:
        try:
            return await self.links.free(holder, workspace)
        except PeerError as error:
            self._avoid(holder, error)
            return None

    async def _reserve_parts(
        self, workspace: str, chosen: tuple[tuple[str, int], ...]
    ) -> tuple[ReservedPart, ...]:
        """Reserves all chosen parts, or none."""
        parts: list[ReservedPart] = []
        prepaid = self.manager.prepaid(workspace)
        complete = False
        try:
            for vm, tokens in chosen:
                holder = self.ranking.vms.get(vm)
                if holder is None:  # It has left since it was asked.
                    return ()
                request = ReservationRequest(workspace, tokens, prepaid)
                reply = await self._ask(holder, request)
                if reply is None or reply.part is None:
                    return ()
                parts.append(reply.part)
            complete = True
        finally:
            if not complete and parts:
                self.settle(Reservation(workspace, tuple(parts)), 0)
        return tuple(parts)

    def _collected(
        self, workspace: str, parts: tuple[ReservedPart, ...]
    ) -> Reservation:
        log_event(
            Event.TOKENS_COLLECTED,
            workspace=workspace,
            tokens={part.vm: part.tokens for part in parts},
        )
        return Reservation(workspace, parts)

    def _avoid(self, holder: HolderVm, error: PeerError) -> None:
        now = self.clock()
        if not self.avoided.is_avoided(holder.vm, now):
            log_event(Event.HOLDER_UNREACHABLE, vm=holder.vm, reason=str(error))
        self.avoided.failed(holder.vm, now)

    def _refuse_if_short(self, workspace: str, bound: int) -> None:
        """Raises an error if a call that needed no more tokens was just refused."""
        shortage = self.shortages.get(workspace)
        if shortage is None:
            return
        if self.clock() - shortage.at > SHORTAGE_S:
            del self.shortages[workspace]
        elif bound > max(shortage.tokens, self.manager.held_tokens(workspace).free):
            raise _shortage_error(workspace, bound, shortage)

    def _refusal(
        self,
        workspace: str,
        bound: int,
        free: dict[str, HeldTokens],
        unreachable: int,
        reply: HolderReply,
    ) -> BudgetExhaustedError | UnavailableError:
        """Returns the error for a call for which the fleet has too few tokens.

        The budget is exhausted only if the store has too few tokens left and every
        first holder that does not count as gone was asked.
        """
        exhausted = reply.status is ReserveStatus.EXHAUSTED and not unreachable
        total = sum(held.free for held in free.values())
        shortage = Shortage(total, self.clock(), exhausted, reply.reason)
        self.shortages[workspace] = shortage
        log_event(
            Event.TOKENS_SHORT,
            workspace=workspace,
            needed=bound,
            free={vm: held.free for vm, held in free.items() if held.free},
            unreachable=unreachable,
            exhausted=exhausted,
            reason=reply.reason,
        )
        return _shortage_error(workspace, bound, shortage)


def _shortage_error(
    workspace: str, bound: int, shortage: Shortage
) -> BudgetExhaustedError | UnavailableError:
    message = (
        f"{workspace} has {shortage.tokens} free tokens in the fleet, {bound} are"
        f" needed ({shortage.reason})"
    )
    if shortage.is_exhausted:
        return BudgetExhaustedError(f"{message}; top up")
    return UnavailableError(f"{message}; retry later")
