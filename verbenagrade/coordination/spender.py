"""The spender's side: reserves before a run and settles after it.

A spender that is the holder itself has another instance witness the reservation.
So every reservation is known on two VMs until its bill is durable, and the loss
of one loses nothing.
"""

import asyncio
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from verbenagrade.coordination.holder import Holder
from verbenagrade.coordination.ports import Clock
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import (
    BudgetExhaustedError,
    NotFoundError,
    OverloadedError,
    PeerError,
    PeerSilentError,
    UnavailableError,
)
from verbenagrade.state.bills import Bill
from verbenagrade.state.holding import (
    Earlier,
    Reservation,
    Reserved,
    ReserveOrder,
    earlier_of,
)
from verbenagrade.state.identity import Instance
from verbenagrade.state.membership import Members, MemberVm, rank
from verbenagrade.state.messages import (
    Answer,
    Claims,
    ClaimsReply,
    Denial,
    Denied,
    Message,
    Release,
    Replaced,
    Reserve,
    Settle,
    SettleReply,
    Witness,
    Witnessed,
)

__all__ = ["Call", "Spender", "SpenderLimits"]

Call = Callable[[MemberVm, Message], Awaitable[Answer]]

CANDIDATES_PER_DATA_CENTRE = 2
RETRY_AFTER_S = 2.0


@dataclass(frozen=True, slots=True)
class SpenderLimits:
    """Bounds on the memory that a spender uses, as numbers of attempts."""

    unsettled_attempts: int = 20_000


class Spender:
    """All attempts of this instance that are open or not durably billed."""

    def __init__(
        self,
        instance: Instance,
        members: Members,
        holder: Holder,
        call: Call,
        limits: SpenderLimits,
        clock: Clock,
    ) -> None:
        self.instance = instance
        self.members = members
        self.holder = holder
        self.call = call
        self.limits = limits
        self.clock = clock
        self.open: dict[str, Reservation] = {}
        self.holder_of: dict[str, Instance] = {}
        self.bills: dict[str, Bill] = {}
        self.releases: dict[str, Release] = {}
        self.taken_from: dict[str, Instance] = {}
        self.witnessed: dict[str, Reservation] = {}
        self.witness_of: dict[str, MemberVm] = {}
        self.fenced: set[Instance] = set()

    async def reserve(self, order: ReserveOrder) -> Reserved | Earlier:
        """Gets tokens for an attempt from the first holder that has them.

        Raises ``BudgetExhaustedError`` only if every holder that was asked knows
        the budget to be spent, and ``UnavailableError`` if one could not tell.
        """
        if len(self.open) + len(self.bills) >= self.limits.unsettled_attempts:
            raise OverloadedError("too many unsettled requests; retry in a second")
        earlier = self.holder.attempts.find(order.workspace, order.key)
        if earlier is not None:
            self.holder_of.setdefault(earlier.attempt, earlier.holder)
            return earlier
        denials: list[Denied] = []
        failures = 0
        for attempt_no, member in enumerate(self._candidates(order.budget)):
            numbered = replace(order, attempt=f"{order.attempt}.{attempt_no}")
            if denials:
                numbered = replace(numbered, patience_s=0.0)
            answer = await self._ask(member, numbered)
            if isinstance(answer, Denied):
                denials.append(answer)
            elif isinstance(answer, Reserved | Earlier):
                return answer
            else:
                failures += 1
        raise _refusal(order.budget, denials, failures)

    def finish(self, bill: Bill) -> None:
        """Hands over the bill of an attempt that ran."""
        self.open.pop(bill.attempt, None)
        self.bills[bill.attempt] = bill

    def cancel(self, attempt: str, budget: str) -> None:
        """Gives back the tokens of an attempt of which nothing ran."""
        reservation = self.open.pop(attempt, None)
        if reservation is not None:
            order = reservation.order
            self.holder.attempts.forget(order.workspace, order.key, attempt)
        self.releases[attempt] = Release(attempt, budget)

    async def settle(self) -> bool:
        """Sends bills and releases to their holders; true when none are left."""
        messages = map(self._settle_message, set(self.holder_of.values()))
        due = [m for m in messages if m.bills or m.releases]
        await asyncio.gather(*map(self._send_settle, due))
        await self._end_witnessing()
        return not self.bills and not self.releases

    def claims(self, message: Claims) -> ClaimsReply:
        """Gives up a lost holder and names all that is held from it."""
        self.fenced.add(message.lost)
        for attempt, holder in self.holder_of.items():
            if holder == message.lost:
                self.holder_of[attempt] = message.recoverer
                self.taken_from[attempt] = message.lost
        attempts = [
            attempt
            for attempt, lost in self.taken_from.items()
            if lost == message.lost and attempt in self.holder_of
        ]
        reservations = [self.open[a] for a in attempts if a in self.open]
        reservations += [
            reservation
            for reservation in self.witnessed.values()
            if reservation.order.spender == message.lost
            and reservation.grant.owner == message.lost
        ]
        bills = tuple(self.bills[a] for a in attempts if a in self.bills)
        return ClaimsReply(tuple(reservations), bills)

    def witness(self, message: Witness) -> Witnessed:
        """Knows of reservations that another instance gave itself."""
        for reservation in message.reservations:
            self.witnessed[reservation.order.attempt] = reservation
        for attempt in message.ended:
            self.witnessed.pop(attempt, None)
        return Witnessed()

    def _candidates(self, budget: str) -> tuple[MemberVm, ...]:
        """Orders the holders to ask: two of this data centre, one of each other."""
        now = self.clock()
        own = self.members.own
        near = rank(budget, (own, *self.members.usable(own.data_centre, now)))
        chosen = list(near[:CANDIDATES_PER_DATA_CENTRE])
        for data_centre in self.members.other_data_centres():
            chosen.extend(rank(budget, self.members.usable(data_centre, now))[:1])
        return tuple(chosen)

    async def _ask(
        self, member: MemberVm, order: ReserveOrder
    ) -> Reserved | Earlier | Denied | None:
        if member.vm == self.instance.vm:
            return await self._ask_own(order)
        try:
            answer = await self.call(member, Reserve(order))
        except PeerError as error:
            self._failed(member, order, error)
            return None
        return self._accept(order, answer)

    async def _ask_own(self, order: ReserveOrder) -> Reserved | Earlier | Denied | None:
        """Reserves with the own holder, which another instance has to witness."""
        answer = await self.holder.reserve(order)
        if not isinstance(answer, Reserved):
            return self._accept(order, answer)
        reservation = self.holder.reservation(answer)
        if await self._find_witness(reservation):
            return self._accept(order, answer)
        if await self.holder.make_solo(order.budget):
            return self._accept(order, answer)
        self.holder.release(Release(answer.attempt, order.budget))
        return None

    async def _find_witness(self, reservation: Reservation) -> bool:
        """Tells another instance of a reservation; false if none can be told."""
        attempt = reservation.order.attempt
        for member in self._witnesses(reservation.order.budget):
            self.witness_of[attempt] = member
            try:
                await self.call(member, Witness((reservation,)))
            except PeerError as error:
                self.members.suspect(member.vm, self.clock())
                log_event(Event.PEER_UNREACHABLE, vm=member.vm, reason=str(error))
                continue
            return True
        self.witness_of.pop(attempt, None)
        return False

    def _witnesses(self, budget: str) -> tuple[MemberVm, ...]:
        now = self.clock()
        near = rank(budget, self.members.usable(self.members.own.data_centre, now))
        far = [
            member
            for data_centre in self.members.other_data_centres()
            for member in rank(budget, self.members.usable(data_centre, now))[:1]
        ]
        return (*near[:CANDIDATES_PER_DATA_CENTRE], *far)

    async def _end_witnessing(self) -> None:
        """Lets witnesses forget attempts that are settled for good."""
        ended: dict[MemberVm, list[str]] = defaultdict(list)
        for attempt, member in self.witness_of.items():
            if attempt not in self.holder_of:
                ended[member].append(attempt)
        for member, attempts in ended.items():
            try:
                await self.call(member, Witness(ended=tuple(attempts)))
            except PeerError:
                continue
            for attempt in attempts:
                self.witness_of.pop(attempt, None)

    def _failed(self, member: MemberVm, order: ReserveOrder, error: PeerError) -> None:
        self.members.suspect(member.vm, self.clock())
        log_event(Event.PEER_UNREACHABLE, vm=member.vm, reason=str(error))
        silent = isinstance(error, PeerSilentError)
        holder = self.members.instances.get(member.vm)
        if silent and holder is not None:
            self.holder_of[order.attempt] = holder
            self.releases[order.attempt] = Release(order.attempt, order.budget)

    def _accept(
        self, order: ReserveOrder, answer: Answer
    ) -> Reserved | Earlier | Denied | None:
        if isinstance(answer, Reserved):
            owner = answer.grant.owner
            if owner in self.fenced:
                return None
            self.holder_of[answer.attempt] = owner
            self.open[answer.attempt] = Reservation(
                order,
                answer.tokens,
                self.clock(),
                answer.grant,
                answer.journal_from,
            )
            log_event(Event.HOLDER_CHOSEN, attempt=answer.attempt, holder=owner.name)
            earlier = earlier_of(order, answer, owner)
            self.holder.attempts.note(order.workspace, order.key, earlier)
        if isinstance(answer, Earlier):
            self.holder_of.setdefault(answer.attempt, answer.holder)
        if isinstance(answer, Reserved | Earlier | Denied):
            return answer
        return None

    def _settle_message(self, holder: Instance) -> Settle:
        attempts = [a for a, h in self.holder_of.items() if h == holder]
        bills = tuple(self.bills[a] for a in attempts if a in self.bills)
        releases = tuple(self.releases[a] for a in attempts if a in self.releases)
        return Settle(holder, bills, releases)

    async def _send_settle(self, message: Settle) -> None:
        holder = message.holder
        if holder == self.instance:
            self._settled(self.holder.settle(message))
            return
        member = self.members.vms.get(holder.vm)
        if member is None:
            return
        try:
            answer = await self.call(member, message)
        except PeerError as error:
            log_event(Event.PEER_UNREACHABLE, vm=holder.vm, reason=str(error))
            return
        if isinstance(answer, SettleReply):
            self._settled(answer)
        if isinstance(answer, Replaced):
            self.members.saw(answer.current)

    def _settled(self, reply: SettleReply) -> None:
        for attempt in reply.durable:
            self.bills.pop(attempt, None)
            self._forget(attempt)
        for attempt in reply.released:
            self.releases.pop(attempt, None)
            self._forget(attempt)

    def _forget(self, attempt: str) -> None:
        self.holder_of.pop(attempt, None)
        self.taken_from.pop(attempt, None)


def _refusal(
    budget: str, denials: list[Denied], failures: int
) -> BudgetExhaustedError | NotFoundError | OverloadedError | UnavailableError:
    reasons = {denial.reason for denial in denials}
    if Denial.UNKNOWN_BUDGET in reasons:
        return NotFoundError(
            f"budget {budget} does not exist in this workspace; use one that does"
        )
    if reasons == {Denial.EXHAUSTED} and not failures:
        return BudgetExhaustedError(
            f"budget {budget} has too few tokens left; top it up, or ask for a"
            " shorter answer"
        )
    if reasons == {Denial.FULL} and not failures:
        return OverloadedError("bills wait for the platform; retry later")
    return UnavailableError(
        f"no instance could prove that budget {budget} has tokens left; retry in"
        f" {RETRY_AFTER_S:g} s"
    )
