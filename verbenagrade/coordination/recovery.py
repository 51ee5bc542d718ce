"""Takes over the grants of a holder that is proved lost.

The recoverer seals the lost journal, settles each grant with what the journal
holds, and asks every listed instance for what it still has from the lost one.
An instance that answers takes nothing more from it. Only when all have answered
is the rest of a grant returned to its budget.
"""

from collections.abc import Iterable

from verbenagrade.coordination.codec import decode_row, encode_row
from verbenagrade.coordination.confirmations import reporter_of
from verbenagrade.coordination.holder import Holder
from verbenagrade.coordination.ledger import journal_batches
from verbenagrade.coordination.ports import ObjectStore, Row, Table
from verbenagrade.coordination.registry import (
    Registration,
    deregister,
    list_registrations,
    lost_registrations,
    mark_spender_done,
    take_recovery,
)
from verbenagrade.coordination.settlement import Call
from verbenagrade.coordination.spender import Spender
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import PeerError
from verbenagrade.state.bills import Bill, JournalBatch, batch_key
from verbenagrade.state.budgets import GrantRow
from verbenagrade.state.holding import Reservation, ReserveOrder
from verbenagrade.state.identity import GrantId, Instance, grants_prefix
from verbenagrade.state.membership import Members, MemberVm, rank
from verbenagrade.state.messages import Claims, ClaimsReply

__all__ = ["Recovery"]

PAGE_ROWS = 500


class Recovery:
    """The recoveries that one instance is in charge of."""

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        members: Members,
        holder: Holder,
        spender: Spender,
        call: Call,
    ) -> None:
        self.table = table
        self.objects = objects
        self.members = members
        self.holder = holder
        self.spender = spender
        self.call = call
        self.in_charge: set[Instance] = set()

    async def look(self, now: float) -> None:
        """Works on the lost instances that fall to this one.

        ``now`` is in seconds. Raises ``PlatformError`` if the platform is away;
        what has been done stands, and the next look goes on from there.
        """
        reports = reporter_of(self.members, now).vm == self.members.own.vm
        if not reports and not self.in_charge:
            return
        registrations = await list_registrations(self.table)
        lost = lost_registrations(registrations, self.members.vms)
        self.members.lost.update(item.instance for item in lost)
        for registration in lost:
            known = registration.instance in self.in_charge
            if known or (reports and self._falls_to_own_centre(registration, now)):
                await self._recover(registration, registrations, lost)

    def _falls_to_own_centre(self, lost: Registration, now: float) -> bool:
        """Returns whether this data centre looks after a lost instance."""
        members = self.members
        centres = {lost.data_centre, members.own.data_centre}
        centres.update(members.other_data_centres())
        reachable = [c for c in sorted(centres) if self._is_reachable(c, now)]
        if lost.data_centre in reachable:
            return lost.data_centre == members.own.data_centre
        stands_for = [MemberVm(centre, centre, "") for centre in reachable]
        return rank(lost.instance.name, stands_for)[0].vm == members.own.data_centre

    def _is_reachable(self, data_centre: str, now: float) -> bool:
        if data_centre == self.members.own.data_centre:
            return True
        return bool(self.members.usable(data_centre, now))

    async def _recover(
        self,
        registration: Registration,
        registrations: tuple[Registration, ...],
        lost: tuple[Registration, ...],
    ) -> None:
        gone = {item.instance for item in lost}
        living = [r for r in registrations if r.instance not in gone]
        taken = await take_recovery(
            self.table,
            registration,
            self.holder.instance,
            [item.instance for item in living],
            _doubtful(registration, lost),
        )
        if taken is None:
            return
        if taken.instance not in self.in_charge:
            log_event(Event.RECOVERY_STARTED, lost=taken.instance.name)
            self.in_charge.add(taken.instance)
        for writer in (taken.instance, *taken.recoverers[:-1]):
            await self._seal(writer)
        await self._adopt_all(await self._grant_rows(taken.instance))
        if await self._claim_all(taken, living):
            await mark_spender_done(self.table, taken.instance)
            await self._finish(taken)

    async def _seal(self, writer: Instance) -> None:
        """Ends a journal, so that its writer can add nothing more."""
        last = -1
        async for batch in journal_batches(self.objects, writer):
            last = batch.sequence
            if batch.sealed_by is not None:
                return
        while True:
            last += 1
            seal = JournalBatch(writer, last, sealed_by=self.holder.instance)
            if await self.objects.create(batch_key(writer, last), encode_row(seal)):
                return

    async def _grant_rows(self, lost: Instance) -> tuple[Row, ...]:
        found: list[Row] = []
        after = ""
        while page := await self.table.scan(grants_prefix(lost), after, PAGE_ROWS):
            found.extend(page)
            after = page[-1].key
        return tuple(found)

    async def _adopt_all(self, rows: tuple[Row, ...]) -> None:
        """Settles grants with their journals and holds them from then on."""
        stored = {
            GrantId.parse(row.key): decode_row(row.value, GrantRow) for row in rows
        }
        own = self.holder.instance.name
        writers = {row.journal for row in stored.values()} - {own}
        for writer in sorted(writers):
            grants = {g: row for g, row in stored.items() if row.journal == writer}
            bills = await self._journaled(Instance.parse(writer), grants)
            for grant, row in grants.items():
                holding = self.holder.grants.holding(grant)
                holding.take_over(row, bills[grant])
                await self.holder.settle_adopted(holding)

    async def _journaled(
        self, writer: Instance, grants: dict[GrantId, GrantRow]
    ) -> dict[GrantId, list[Bill]]:
        """Reads a journal once, for all bills that are missing from the rows."""
        first = min(row.journal_from for row in grants.values())
        found: dict[GrantId, list[Bill]] = {grant: [] for grant in grants}
        async for batch in journal_batches(self.objects, writer, first):
            for bill in batch.bills:
                row = grants.get(bill.grant)
                if row is not None and batch.sequence >= row.journal_from:
                    found[bill.grant].append(bill)
        return found

    async def _claim_all(
        self, lost: Registration, living: Iterable[Registration]
    ) -> bool:
        """Asks every living instance for its claims; false if any is missing."""
        missing = [
            f"{registration.instance.name}"
            for registration in living
            for writer in (lost.instance, *lost.recoverers[:-1])
            if not await self._claim(lost, registration, writer)
        ]
        if missing:
            self._log_waiting(lost, missing)
        return not missing

    async def _claim(
        self, lost: Registration, registration: Registration, writer: Instance
    ) -> bool:
        """Takes the claims of one instance; false if it has not answered."""
        message = Claims(writer, self.holder.instance)
        if registration.instance == self.holder.instance:
            await self._take_claims(lost, self.spender.claims(message))
            return self.holder.orphans_of(writer) == 0
        member = MemberVm(
            registration.instance.vm, registration.data_centre, registration.address
        )
        try:
            answer = await self.call(member, message)
        except PeerError:
            return False
        if not isinstance(answer, ClaimsReply):
            return False
        await self._take_claims(lost, answer)
        return answer.orphans == 0

    def _log_waiting(self, lost: Registration, waits_for: Iterable[str]) -> None:
        names = tuple(waits_for)
        log_event(Event.RECOVERY_WAITING, lost=lost.instance.name, waits_for=names)

    async def _take_claims(self, lost: Registration, claims: ClaimsReply) -> None:
        """Adopts what is claimed, except for what is in a journal already."""
        claimed = (*claims.reservations, *claims.bills)
        if not claimed:
            return
        first = min(item.journal_from for item in claimed)
        attempts = {reservation.order.attempt for reservation in claims.reservations}
        attempts.update(bill.attempt for bill in claims.bills)
        await self._mark_journaled(lost.instance, first, attempts)
        for recoverer in lost.recoverers[:-1]:
            await self._mark_journaled(recoverer, 0, attempts)
        for reservation in claims.reservations:
            self._adopt_reservation(reservation)
        for bill in claims.bills:
            self._adopt_reservation(_reservation_for(bill))
            self.holder.take_bill(bill, bill.at)

    async def _mark_journaled(
        self, writer: Instance, first: int, claimed: set[str]
    ) -> None:
        async for batch in journal_batches(self.objects, writer, first):
            for bill in batch.bills:
                holding = self.holder.grants.holdings.get(bill.grant)
                if holding is not None and bill.attempt in claimed:
                    holding.mark_ended(bill.attempt)

    def _adopt_reservation(self, reservation: Reservation) -> None:
        holding = self.holder.grants.holdings.get(reservation.grant)
        if holding is not None:
            holding.adopt(reservation)

    async def _finish(self, lost: Registration) -> None:
        """Lets go of what nobody claims, and of the record once all is settled."""
        if lost.doubtful:
            self._log_waiting(lost, [instance.name for instance in lost.doubtful])
            return
        held = [
            holding
            for grant, holding in self.holder.grants.holdings.items()
            if grant.owner == lost.instance
        ]
        for holding in held:
            holding.claimed = True
        if any(holding.amount or holding.pending for holding in held):
            return
        await deregister(self.table, lost.instance)
        self.in_charge.discard(lost.instance)
        log_event(Event.RECOVERY_FINISHED, lost=lost.instance.name)


def _doubtful(
    lost: Registration, all_lost: Iterable[Registration]
) -> tuple[Instance, ...]:
    """Returns the other lost instances that may have tokens of this one."""
    return tuple(
        other.instance
        for other in all_lost
        if other.instance != lost.instance and not other.spender_done
    )


def _reservation_for(bill: Bill) -> Reservation:
    """Returns a reservation that exactly covers a bill."""
    order = ReserveOrder(
        attempt=bill.attempt,
        request=bill.request,
        workspace=bill.workspace,
        budget=bill.grant.budget,
        spender=bill.grant.owner,
        endpoint=bill.endpoint,
        tokens=bill.tokens,
        minimum=bill.tokens,
    )
    return Reservation(order, bill.tokens, bill.at, bill.grant, bill.journal_from)
