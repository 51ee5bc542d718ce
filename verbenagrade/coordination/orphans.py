"""Ends the reservations of lost spenders, as their endpoints report them."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from verbenagrade.coordination.holder import Holder
from verbenagrade.events import Event, log_event
from verbenagrade.state.bills import Bill
from verbenagrade.state.held_grant import HeldGrant, Reservation
from verbenagrade.state.membership import Members
from verbenagrade.state.messages import Release

__all__ = ["CloseAttempt", "ClosedAttempt", "end_orphans"]


@dataclass(frozen=True, slots=True)
class ClosedAttempt:
    """What an endpoint reports about an attempt that it was asked to end.

    ``ran`` is false if the attempt never started and cannot start any more.
    ``tokens`` counts prompt and completion.
    """

    ran: bool
    tokens: int = 0
    prompt_tokens: int = 0


CloseAttempt = Callable[[str, str], Awaitable[ClosedAttempt | None]]


async def end_orphans(
    holder: Holder, members: Members, close: CloseAttempt, billed_at: float
) -> None:
    """Bills or releases each reservation whose spender is proved lost.

    ``close`` takes the name of an endpoint and an attempt and ends the attempt there.
    It returns ``None`` while the endpoint cannot report on the attempt; the reservation
    is then kept. ``billed_at`` is the time of the bills, in seconds since the epoch. A
    spender that merely does not reply keeps its reservations.
    """
    for held_grant in list(holder.grants.held_grants.values()):
        for reservation in list(held_grant.open.values()):
            if members.is_lost(reservation.order.spender):
                await _end_reservation(
                    holder, held_grant, reservation, close, billed_at
                )


async def _end_reservation(
    holder: Holder,
    held_grant: HeldGrant,
    reservation: Reservation,
    close: CloseAttempt,
    billed_at: float,
) -> None:
    order = reservation.order
    result = await close(order.endpoint, order.attempt)
    log_event(
        Event.RESERVATION_ORPHANED,
        attempt=order.attempt,
        endpoint=order.endpoint,
        told=result is not None,
    )
    if result is None:
        return
    if not result.ran:
        holder.release(Release(order.attempt, order.budget))
        return
    bill = Bill(
        attempt=order.attempt,
        request=order.request,
        workspace=order.workspace,
        grant=held_grant.grant,
        endpoint=order.endpoint,
        tokens=result.tokens,
        prompt_tokens=result.prompt_tokens,
        outcome="orphaned",
        at=billed_at,
        journal_from=reservation.journal_from,
    )
    holder.settle_bill(bill, holder.clock())
