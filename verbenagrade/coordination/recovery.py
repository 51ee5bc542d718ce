"""Recovers the grants of instances that are proved lost.

The recoverer seals the journal of the lost instance and settles each grant with the
bills in the journal. It then asks every registered instance for its claims: the
reservations and bills that it still has from the lost one. An instance that replies
accepts no more tokens from the lost one. The rest of a grant is returned to its budget
only when all instances have replied.
"""

from collections.abc import Iterable

from verbenagrade.coordination.codec import decode_row, encode_row
from verbenagrade.coordination.confirmations import reporter_of
from verbenagrade.coordination.holder import Holder
from verbenagrade.coordination.journal_reader import journal_batches
from verbenagrade.coordination.ports import ObjectStore, Row, Table
from verbenagrade.coordination.registry import (
    Registration,
    acquire_recovery,
    deregister,
    list_registrations,
    lost_registrations,
    mark_spender_done,
)
from verbenagrade.coordination.settlement import PeerCall
from verbenagrade.coordination.spender import Spender
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import PeerError
from verbenagrade.state.bills import Bill, JournalBatch, batch_key
from verbenagrade.state.budgets import GrantRow
from verbenagrade.state.held_grant import Reservation, ReserveOrder
from verbenagrade.state.identity import GrantId, Instance, grants_prefix
from verbenagrade.state.membership import Members, MemberVm, rendezvous_order
from verbenagrade.state.messages import Claims, ClaimsReply

__all__ = ["Recovery"]

PAGE_ROWS = 500


class Recovery:
    """Finds lost instances and runs the recoveries of those assigned to this one.

    ``active_recoveries`` has the lost instances that this instance is recovering.
    """

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        members: Members,
        holder: Holder,
        spender: Spender,
        call: PeerCall,
    ) -> None:
        self.table = table
        self.objects = objects
        self.members = members
        self.holder = holder
        self.spender = spender
        self.call = call
        self.active_recoveries: set[Instance] = set()

    async def recover_lost_instances(self, now: float) -> None:
        """Starts or continues the recovery of each lost instance assigned here.

        ``now`` is in seconds. Raises ``PlatformError`` if the platform is unavailable.
        Completed steps are kept, and the next call continues from there.
        """
        is_reporter = reporter_of(self.members, now).vm == self.members.own.vm
        if not is_reporter and not self.active_recoveries:
            return
        registrations = await list_registrations(self.table)
        lost = lost_registrations(registrations, self.members.vms)
        self.members.lost.update(item.instance for item in lost)
        for registration in lost:
            is_active = registration.instance in self.active_recoveries
            if is_active or (is_reporter and self._is_assigned_here(registration, now)):
                await self._recover(registration, registrations, lost)

    def _is_assigned_here(self, lost: Registration, now: float) -> bool:
        """Returns whether this data centre is to recover a lost instance.

        That is the instance's own data centre if it is reachable, and otherwise
        one of the reachable ones, chosen by rendezvous hashing.
        """
        members = self.members
        data_centres = {lost.data_centre, members.own.data_centre}
        data_centres.update(members.other_data_centres())
        reachable = [n for n in sorted(data_centres) if self._is_reachable(n, now)]
        if lost.data_centre in reachable:
            return lost.data_centre == members.own.data_centre
        candidates = [MemberVm(name, name, "") for name in reachable]
        return (
            rendezvous_order(lost.instance.name, candidates)[0].vm
            == members.own.data_centre
        )

    def _is_reachable(self, data_centre: str, now: float) -> bool:
        """Returns whether a VM of the data centre is usable."""
        if data_centre == self.members.own.data_centre:
            return True
        return bool(self.members.usable(data_centre, now))

    async def _recover(
        self,
        registration: Registration,
        registrations: tuple[Registration, ...],
        lost: tuple[Registration, ...],
    ) -> None:
        lost_instances = {item.instance for item in lost}
        living = [r for r in registrations if r.instance not in lost_instances]
        acquired = await acquire_recovery(
            self.table,
            registration,
            self.holder.instance,
            [item.instance for item in living],
            _doubtful_instances(registration, lost),
        )
        if acquired is None:
            return
        if acquired.instance not in self.active_recoveries:
            log_event(Event.RECOVERY_STARTED, lost=acquired.instance.name)
            self.active_recoveries.add(acquired.instance)
        for writer in (acquired.instance, *acquired.recoverers[:-1]):
            await self._seal(writer)
        await self._adopt_all(await self._read_grant_rows(acquired.instance))
        if await self._collect_all_claims(acquired, living):
            await mark_spender_done(self.table, acquired.instance)
            await self._finish(acquired)

    async def _seal(self, writer: Instance) -> None:
        """Seals a journal, so that its writer cannot append to it any more."""
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

    async def _read_grant_rows(self, lost: Instance) -> tuple[Row, ...]:
        """Reads the rows of all grants of a lost instance."""
        found: list[Row] = []
        after = ""
        while page := await self.table.scan(grants_prefix(lost), after, PAGE_ROWS):
            found.extend(page)
            after = page[-1].key
        return tuple(found)

    async def _adopt_all(self, rows: tuple[Row, ...]) -> None:
        """Takes over grants and settles them with the bills in their journals."""
        stored = {
            GrantId.parse(row.key): decode_row(row.value, GrantRow) for row in rows
        }
        own = self.holder.instance.name
        writers = {row.journal for row in stored.values()} - {own}
        for writer in sorted(writers):
            grants = {g: row for g, row in stored.items() if row.journal == writer}
            bills = await self._read_bills(Instance.parse(writer), grants)
            for grant, row in grants.items():
                held_grant = self.holder.grants.held_grant(grant)
                held_grant.take_over(row, bills[grant])
                await self.holder.settle_recovered(held_grant)

    async def _read_bills(
        self, writer: Instance, grants: dict[GrantId, GrantRow]
    ) -> dict[GrantId, list[Bill]]:
        """Reads a journal once and returns the bills that the rows do not include."""
        first = min(row.journal_from for row in grants.values())
        found: dict[GrantId, list[Bill]] = {grant: [] for grant in grants}
        async for batch in journal_batches(self.objects, writer, first):
            for bill in batch.bills:
                row = grants.get(bill.grant)
                if row is not None and batch.sequence >= row.journal_from:
                    found[bill.grant].append(bill)
        return found

    async def _collect_all_claims(
        self, lost: Registration, living: Iterable[Registration]
    ) -> bool:
        """Collects the claims of all living instances; false if any are missing."""
        missing = [
            f"{registration.instance.name}"
            for registration in living
            for writer in (lost.instance, *lost.recoverers[:-1])
            if not await self._collect_claims(lost, registration, writer)
        ]
        if missing:
            self._log_waiting(lost, missing)
        return not missing

    async def _collect_claims(
        self, lost: Registration, registration: Registration, writer: Instance
    ) -> bool:
        """Collects the claims of one instance.

        Returns false if it did not reply, or if it still holds reservations that
        the lost instance made as a spender.
        """
        message = Claims(writer, self.holder.instance)
        if registration.instance == self.holder.instance:
            await self._adopt_claims(lost, self.spender.handle_claims(message))
            return self.holder.count_reservations(writer) == 0
        member = MemberVm(
            registration.instance.vm, registration.data_centre, registration.address
        )
        try:
            reply = await self.call(member, message)
        except PeerError:
            return False
        if not isinstance(reply, ClaimsReply):
            return False
        await self._adopt_claims(lost, reply)
        return reply.orphans == 0

    def _log_waiting(self, lost: Registration, waits_for: Iterable[str]) -> None:
        names = tuple(waits_for)
        log_event(Event.RECOVERY_WAITING, lost=lost.instance.name, waits_for=names)

    async def _adopt_claims(self, lost: Registration, claims: ClaimsReply) -> None:
        """Adopts the claimed reservations and bills that are in no journal yet."""
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
            self.holder.settle_bill(bill, self.holder.clock())

    async def _mark_journaled(
        self, writer: Instance, first: int, claimed: set[str]
    ) -> None:
        """Marks the claimed attempts that are billed in a journal as ended."""
        async for batch in journal_batches(self.objects, writer, first):
            for bill in batch.bills:
                held_grant = self.holder.grants.held_grants.get(bill.grant)
                if held_grant is not None and bill.attempt in claimed:
                    held_grant.mark_ended(bill.attempt)

    def _adopt_reservation(self, reservation: Reservation) -> None:
        held_grant = self.holder.grants.held_grants.get(reservation.grant)
        if held_grant is not None:
            held_grant.adopt(reservation)

    async def _finish(self, lost: Registration) -> None:
        """Allows unclaimed tokens to be returned, and deregisters at the end.

        The lost instance is deregistered once none of its grants has tokens left.
        While other lost instances may have claims on it, nothing is returned.
        """
        if lost.doubtful:
            self._log_waiting(lost, [instance.name for instance in lost.doubtful])
            return
        held = [
            held_grant
            for grant, held_grant in self.holder.grants.held_grants.items()
            if grant.owner == lost.instance
        ]
        for held_grant in held:
            held_grant.claimed = True
        if any(held_grant.amount or held_grant.pending for held_grant in held):
            return
        await deregister(self.table, lost.instance)
        self.active_recoveries.discard(lost.instance)
        log_event(Event.RECOVERY_FINISHED, lost=lost.instance.name)


def _doubtful_instances(
    lost: Registration, all_lost: Iterable[Registration]
) -> tuple[Instance, ...]:
    """Returns the other lost instances that may have reservations from ``lost``."""
    return tuple(
        other.instance
        for other in all_lost
        if other.instance != lost.instance and not other.spender_done
    )


def _reservation_for(bill: Bill) -> Reservation:
    """Returns a reservation of exactly the tokens of a bill."""
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
