"""Simulates the ways between VMs, over which they reserve tokens with each other."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from verbenagrade.coordination.budget_holder import BudgetHolder, SpenderProcess
from verbenagrade.coordination.fleet_budgets import (
    HolderLinks,
    HolderReply,
    ReservationRequest,
)
from verbenagrade.exceptions import PeerNoReplyError, PeerUnreachableError
from verbenagrade.state.holders import HolderVm
from verbenagrade.state.reservation_orders import (
    FreeTokensOrder,
    ReserveOrder,
    ReserveStatus,
    SettleOrder,
)
from verbenagrade.state.reservations import HeldTokens, ReservedPart

__all__ = ["SimulatedNetwork", "SimulatedVm"]

NEAR_ONE_WAY_S = 0.0005
FAR_ONE_WAY_S = 0.02
"""Time of a message within a data centre and between two, in seconds."""

REPLY_S = 0.25
STORE_REPLY_S = 0.7
"""Timeouts of a spender, in seconds, as in the real one."""

CUT_DATA_CENTRE = 0


@dataclass(frozen=True, slots=True)
class SimulatedVm:
    """A VM's present process: its reservations and its data centre."""

    incarnation: str
    data_centre: int
    holder: BudgetHolder


class SimulatedNetwork:
    """The VMs by number, and which of them can't reach which others.

    In the intervals ``cuts`` the first data centre is cut off. ``lost`` VMs are gone.
    """

    def __init__(
        self, cuts: tuple[tuple[float, float], ...], clock: Callable[[], float]
    ) -> None:
        self.cuts = cuts
        self.clock = clock
        self.vms: dict[int, SimulatedVm] = {}
        self.lost: set[int] = set()
        self.numbers = itertools.count(1)

    def is_cut_off(self, vm: int) -> bool:
        """Returns whether a VM reaches no other data centre and no store."""
        now = self.clock()
        is_cut = any(start <= now < end for start, end in self.cuts)
        of_centre = self.vms[vm].data_centre == CUT_DATA_CENTRE
        return vm in self.lost or (is_cut and of_centre)

    def links(self, vm: int) -> HolderLinks:
        """Returns the links of a VM to all holders."""

        async def free(holder: HolderVm, workspace: str) -> HeldTokens:
            """Returns the free tokens of a holder."""
            other = await self._reach(vm, holder)
            await self._reach(vm, holder)
            reply = other.holder.free(FreeTokensOrder(0, workspace))
            return HeldTokens(reply.at_once, reply.free)

        def settle(part: ReservedPart, used: int) -> None:
            """Settles with a holder whose process is still the same."""
            other = self.vms[_number(part.vm)]
            if other.incarnation == part.incarnation:
                other.holder.settle(self._spender(vm), SettleOrder(part.number, used))

        return HolderLinks(partial(self._reserve, vm), free, settle)

    def _spender(self, vm: int) -> SpenderProcess:
        """Returns the present process of a VM."""
        return SpenderProcess(f"vm-{vm}", self.vms[vm].incarnation)

    async def _reserve(
        self, vm: int, holder: HolderVm, request: ReservationRequest
    ) -> HolderReply:
        """Reserves with a holder, which replies within the timeouts or never."""
        other, spender = await self._reach(vm, holder), self._spender(vm)
        order = ReserveOrder(
            next(self.numbers),
            request.workspace,
            request.tokens,
            request.prepaid,
        )
        result = other.holder.reserve(spender, order)
        if result.status is ReserveStatus.PENDING:
            finish = asyncio.ensure_future(other.holder.finish(spender, order))
            done, _ = await asyncio.wait({finish}, timeout=STORE_REPLY_S)
            if not done:
                other.holder.settle(spender, SettleOrder(order.number, 0))
                return HolderReply(ReserveStatus.UNAVAILABLE, reason="no reply")
            result = finish.result()
        await self._reach(vm, holder)
        if result.status is ReserveStatus.DECLINED:
            raise PeerUnreachableError(result.reason)
        if result.status is not ReserveStatus.GRANTED:
            return HolderReply(result.status, reason=result.reason)
        part = ReservedPart(holder.vm, request.tokens, other.incarnation, order.number)
        return HolderReply(result.status, part)

    async def _reach(self, vm: int, holder: HolderVm) -> SimulatedVm:
        """Returns the holder after the time of a message to it.

        Raises ``PeerNoReplyError`` after a timeout if there is no way.
        """
        number = _number(holder.vm)
        near = self.vms[vm].data_centre == self.vms[number].data_centre
        apart = self.is_cut_off(vm) != self.is_cut_off(number)
        if number in self.lost or (apart and not near):
            await asyncio.sleep(REPLY_S)
            raise PeerNoReplyError(f"{holder.vm} does not reply")
        await asyncio.sleep(NEAR_ONE_WAY_S if near else FAR_ONE_WAY_S)
        return self.vms[number]


def _number(vm: str) -> int:
    return int(vm.removeprefix("vm-"))
