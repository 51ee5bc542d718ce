"""Reserves tokens of this VM's grants for calls that other VMs serve."""

from dataclasses import dataclass

from verbenagrade.coordination.allowances import AllowanceManager
from verbenagrade.coordination.restorations import unrestored_states
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import BudgetExhaustedError, UnavailableError
from verbenagrade.state.reservation_orders import (
    FreeTokens,
    FreeTokensOrder,
    KnownStates,
    ReserveOrder,
    ReserveResult,
    ReserveStatus,
    SettleOrder,
    StatesOrder,
)
from verbenagrade.state.reservations import SpenderAccount

__all__ = ["BudgetHolder", "SpenderProcess"]

MAX_RESERVATIONS = 50_000
"""Largest number of reservations that are held for other VMs, about 200 bytes each."""


@dataclass(frozen=True, slots=True)
class SpenderProcess:
    """The VM and the process that reserves."""

    vm: str
    incarnation: str


class BudgetHolder:
    """The reservations of other VMs in the grants of this one.

    While ``accepting`` is not set, nothing new is reserved, as before a shutdown.
    """

    def __init__(self, manager: AllowanceManager) -> None:
        self.manager = manager
        self.accepting = True
        self.spenders: dict[SpenderProcess, SpenderAccount] = {}

    @property
    def held_count(self) -> int:
        """The number of reservations that were not settled yet."""
        return sum(len(account.held) for account in self.spenders.values())

    def reserve(self, spender: SpenderProcess, order: ReserveOrder) -> ReserveResult:
        """Reserves free tokens; ``PENDING`` tells that ``finish`` is to be called.

        An order that is not valid moves nothing, and is logged.
        """
        account = self.spenders.setdefault(spender, SpenderAccount())
        if order.tokens <= 0 or not account.begin(order.number):
            return self._reject(spender, order)
        if not self.accepting or self.held_count >= MAX_RESERVATIONS:
            account.fail(order.number)
            return _declined(order, "no further reservations here")
        if not self.manager.prepaid(order.workspace):
            account.fail(order.number)
            return _declined(order, "the workspace is not known here yet")
        if self.manager.reserve_free(order.workspace, order.tokens):
            account.complete(order.number, order.workspace, order.tokens)
            return ReserveResult(order.number, ReserveStatus.GRANTED)
        return ReserveResult(order.number, ReserveStatus.PENDING)

    async def finish(
        self, spender: SpenderProcess, order: ReserveOrder
    ) -> ReserveResult:
        """Reserves tokens with the help of the store, after ``PENDING``."""
        account = self.spenders.setdefault(spender, SpenderAccount())
        workspace, tokens = order.workspace, order.tokens
        reserved = False
        try:
            await self.manager.reserve(workspace, tokens)
            reserved = True
        except BudgetExhaustedError as error:
            if order.prepaid > self.manager.prepaid(workspace):
                return _unavailable(order, "a top-up has not arrived here yet")
            return ReserveResult(order.number, ReserveStatus.EXHAUSTED, str(error))
        except UnavailableError as error:
            return _unavailable(order, str(error))
        finally:
            if not reserved:
                account.fail(order.number)
        if not account.complete(order.number, workspace, tokens):
            self.manager.settle(workspace, tokens, 0)
        return ReserveResult(order.number, ReserveStatus.GRANTED)

    def settle(self, spender: SpenderProcess, order: SettleOrder) -> None:
        """Ends a reservation; one that is not known was settled before."""
        account = self.spenders.setdefault(spender, SpenderAccount())
        try:
            settled = account.settle(order.number, order.used)
        except ValueError as error:
            log_event(Event.RESERVATION_REJECTED, vm=spender.vm, reason=str(error))
            return
        if settled is not None:
            workspace, tokens = settled
            self.manager.settle(workspace, tokens, order.used)

    def free(self, order: FreeTokensOrder) -> FreeTokens:
        """Returns how many tokens can be reserved from what this VM holds."""
        if not self.accepting:
            return FreeTokens(order.number, 0, 0)
        held = self.manager.held_tokens(order.workspace)
        return FreeTokens(order.number, held.at_once, held.free)

    def known_states(self, spender: SpenderProcess, order: StatesOrder) -> KnownStates:
        """Returns what this VM knows of budgets and has not restored in the era.

        From then on it obtains no tokens from rows of an earlier era, so that the
        states contain all that it was granted there.
        """
        self.manager.eras.learn(order.era, spender.vm)
        states = unrestored_states(self.manager.accounts, order.workspaces)
        return KnownStates(order.number, self.manager.eras.number, states)

    def charge_replaced(self, vm: str, incarnation: str) -> None:
        """Charges in full what earlier processes of a VM have not settled.

        ``incarnation`` is that of its present process. The earlier ones have ended, and
        nobody knows how much they used.
        """
        for spender in tuple(self.spenders):
            if spender.vm != vm or spender.incarnation == incarnation:
                continue
            account = self.spenders.pop(spender)
            charged = 0
            for workspace, tokens in account.held.values():
                self.manager.settle(workspace, tokens, tokens)
                charged += tokens
            if charged:
                log_event(
                    Event.RESERVATIONS_CHARGED,
                    vm=vm,
                    reservations=len(account.held),
                    tokens=charged,
                )

    def _reject(self, spender: SpenderProcess, order: ReserveOrder) -> ReserveResult:
        reason = f"reservation {order.number} of {order.tokens} tokens is not valid"
        log_event(Event.RESERVATION_REJECTED, vm=spender.vm, reason=reason)
        return _unavailable(order, reason)


def _unavailable(order: ReserveOrder, reason: str) -> ReserveResult:
    return ReserveResult(order.number, ReserveStatus.UNAVAILABLE, reason)


def _declined(order: ReserveOrder, reason: str) -> ReserveResult:
    return ReserveResult(order.number, ReserveStatus.DECLINED, reason)
