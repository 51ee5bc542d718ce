"""The spender's side of budgets: reserves tokens before an attempt runs.

If the spender is itself the holder, another instance witnesses the reservation.
So every reservation is known on two VMs until its bill is durable, and the loss
of one VM loses no reservation.
"""

from dataclasses import dataclass, replace

from verbenagrade.coordination.attempt_lookup import find_attempt_on_peers
from verbenagrade.coordination.holder import Holder
from verbenagrade.coordination.ports import Clock
from verbenagrade.coordination.settlement import PeerCall, Settlements
from verbenagrade.coordination.witnesses import Witnesses
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import (
    BudgetExhaustedError,
    NotFoundError,
    OverloadedError,
    PeerError,
    PeerNoReplyError,
    UnavailableError,
)
from verbenagrade.state.bills import Bill
from verbenagrade.state.held_grant import (
    Earlier,
    Reservation,
    Reserved,
    ReserveOrder,
    earlier_attempt,
)
from verbenagrade.state.identity import Instance
from verbenagrade.state.membership import Members, MemberVm, rendezvous_order
from verbenagrade.state.messages import (
    Claims,
    ClaimsReply,
    Denial,
    Denied,
    Release,
    Reply,
    Reserve,
)

__all__ = ["Spender", "SpenderLimits"]

LOCAL_CANDIDATES = 2
"""Number of holders to ask in this instance's data centre; others have one each."""

RETRY_AFTER_S = 2.0
"""Time after which an error message suggests a retry, in seconds."""


@dataclass(frozen=True, slots=True)
class SpenderLimits:
    """Limits on the memory that a spender uses, in numbers of attempts."""

    unsettled_attempts: int = 30_000


class Spender:
    """Reserves, settles and releases the tokens of the attempts of this instance.

    ``fenced`` has the lost holders whose reservations are no longer accepted.
    ``clock`` returns seconds and never jumps.
    """

    def __init__(
        self,
        instance: Instance,
        members: Members,
        holder: Holder,
        call: PeerCall,
        limits: SpenderLimits,
        clock: Clock,
    ) -> None:
        self.instance = instance
        self.members = members
        self.holder = holder
        self.call = call
        self.limits = limits
        self.clock = clock
        self.settlements = Settlements(instance, members, holder, call, clock)
        self.witnesses = Witnesses(members, holder.attempts, call, clock)
        self.fenced: set[Instance] = set()

    async def reserve(self, order: ReserveOrder) -> Reserved | Earlier:
        """Reserves tokens for an attempt with the first holder that has enough.

        Returns an earlier attempt with the same idempotency key if there was one.
        Raises ``BudgetExhaustedError`` only if all holders asked report the budget
        as exhausted, ``UnavailableError`` if one of them could not tell,
        ``NotFoundError`` if the workspace has no such budget, and
        ``OverloadedError`` if too many attempts or bills are unsettled.
        """
        if self.settlements.unsettled() >= self.limits.unsettled_attempts:
            raise OverloadedError("too many unsettled requests; retry in a second")
        earlier = await self._find_earlier(order)
        if earlier is not None:
            self.settlements.record_joined(earlier.attempt, earlier.holder)
            return earlier
        denials: list[Denied] = []
        failures = 0
        for candidate_number, member in enumerate(self._candidates(order.budget)):
            numbered = replace(order, attempt=f"{order.attempt}.{candidate_number}")
            if denials:
                numbered = replace(numbered, patience_s=0.0)
            reply = await self._request_tokens(member, numbered)
            if isinstance(reply, Denied):
                denials.append(reply)
            elif isinstance(reply, Reserved | Earlier):
                return reply
            else:
                failures += 1
        raise _refusal_error(order.budget, denials, failures)

    def finish(self, bill: Bill) -> None:
        """Queues the bill of an attempt that ran, to be sent to its holder."""
        self.settlements.record_bill(bill)

    def cancel(self, attempt: str, budget: str) -> None:
        """Releases the tokens of an attempt that did not run."""
        reservation = self.settlements.reservation(attempt)
        if reservation is not None:
            order = reservation.order
            self.holder.attempts.forget(order.workspace, order.key, attempt)
        self.settlements.record_release(Release(attempt, budget))

    async def release_unknown(self, release: Release) -> None:
        """Releases an attempt unknown to its endpoint, and its idempotency key."""
        self.holder.attempts.forget(release.workspace, release.key, release.attempt)
        self.settlements.record_release(release)
        await self.settle()

    async def settle(self) -> bool:
        """Sends bills and releases to holders; returns whether none are left."""
        is_done = await self.settlements.settle()
        account_of = self.settlements.account_of
        await self.witnesses.release_settled(lambda attempt: attempt not in account_of)
        return is_done

    def handle_claims(self, message: Claims) -> ClaimsReply:
        """Fences a lost holder and returns all that is known of its reservations.

        From then on this instance accepts no tokens from that holder.
        """
        self.fenced.add(message.lost)
        claimed = self.settlements.transfer_claims(message)
        witnessed = self.witnesses.reservations_of(message.lost)
        return replace(claimed, reservations=(*claimed.reservations, *witnessed))

    async def _find_earlier(self, order: ReserveOrder) -> Earlier | None:
        """Returns the earlier attempt with the order's idempotency key, if any."""
        if not order.key:
            return None
        attempts = self.holder.attempts
        known = attempts.find(order.workspace, order.key)
        return known or await find_attempt_on_peers(
            order, self.members, self.call, self.clock(), attempts
        )

    def _candidates(self, budget: str) -> tuple[MemberVm, ...]:
        """Returns the holders to ask, those of this data centre first."""
        now = self.clock()
        own = self.members.own
        local = rendezvous_order(
            budget, (own, *self.members.usable(own.data_centre, now))
        )
        chosen = list(local[:LOCAL_CANDIDATES])
        for data_centre in self.members.other_data_centres():
            chosen.extend(
                rendezvous_order(budget, self.members.usable(data_centre, now))[:1]
            )
        return tuple(chosen)

    async def _request_tokens(
        self, member: MemberVm, order: ReserveOrder
    ) -> Reserved | Earlier | Denied | None:
        """Requests tokens from a holder; ``None`` if it gave no usable reply."""
        if member.vm == self.instance.vm:
            return await self._reserve_locally(order)
        try:
            reply = await self.call(member, Reserve(order))
        except PeerError as error:
            self._handle_failure(member, order, error)
            return None
        return self._record_reply(order, reply)

    async def _reserve_locally(
        self, order: ReserveOrder
    ) -> Reserved | Earlier | Denied | None:
        """Reserves with this instance's holder.

        Needs another instance as a witness, or else the solo mark in the table.
        """
        reply = await self.holder.reserve(order)
        if not isinstance(reply, Reserved):
            return self._record_reply(order, reply)
        if await self.witnesses.request_witness(self.holder.reservation(reply)):
            return self._record_reply(order, reply)
        if await self.holder.grants.mark_solo(order.budget):
            return self._record_reply(order, reply)
        self.holder.release(Release(reply.attempt, order.budget))
        return None

    def _handle_failure(
        self, member: MemberVm, order: ReserveOrder, error: PeerError
    ) -> None:
        """Suspects a VM after a failed call.

        A holder that did not reply may have reserved tokens, so they are released.
        """
        self.members.suspect(member.vm, self.clock())
        log_event(Event.PEER_UNREACHABLE, vm=member.vm, reason=str(error))
        holder = self.members.instances.get(member.vm)
        if isinstance(error, PeerNoReplyError) and holder is not None:
            release = Release(order.attempt, order.budget)
            self.settlements.record_release(release, holder)

    def _record_reply(
        self, order: ReserveOrder, reply: Reply
    ) -> Reserved | Earlier | Denied | None:
        """Records a reply; ``None`` if its holder is fenced or it is unusable."""
        if isinstance(reply, Reserved):
            owner = reply.grant.owner
            if owner in self.fenced:
                return None
            reservation = Reservation(
                order,
                reply.tokens,
                self.clock(),
                reply.grant,
                reply.journal_from,
            )
            self.settlements.record_reservation(reservation, owner)
            log_event(Event.HOLDER_CHOSEN, attempt=reply.attempt, holder=owner.name)
            earlier = earlier_attempt(order, reply, owner)
            self.holder.attempts.record(order.workspace, order.key, earlier)
        if isinstance(reply, Earlier):
            self.settlements.record_joined(reply.attempt, reply.holder)
        if isinstance(reply, Reserved | Earlier | Denied):
            return reply
        return None


def _refusal_error(
    budget: str, denials: list[Denied], failures: int
) -> BudgetExhaustedError | NotFoundError | OverloadedError | UnavailableError:
    """Returns the error to raise after no holder reserved tokens."""
    reasons = {denial.reason for denial in denials}
    if Denial.UNKNOWN_BUDGET in reasons:
        return NotFoundError(
            f"budget {budget} does not exist in this workspace; use one that does"
        )
    if reasons == {Denial.EXHAUSTED} and not failures:
        return BudgetExhaustedError(
            f"budget {budget} has too few tokens left; top it up, or ask for a"
            " shorter completion"
        )
    if reasons == {Denial.FULL} and not failures:
        return OverloadedError(
            "too many bills wait to be written to the platform; retry later"
        )
    return UnavailableError(
        f"no instance could confirm that budget {budget} has tokens left; retry in"
        f" {RETRY_AFTER_S:g} s"
    )
