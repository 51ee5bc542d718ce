"""Records on a second VM the reservations that a holder makes for itself."""

from collections import defaultdict
from collections.abc import Callable

from verbenagrade.coordination.ports import Clock
from verbenagrade.coordination.settlement import PeerCall
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import PeerError
from verbenagrade.state.attempts import KnownAttempts
from verbenagrade.state.held_grant import Reservation, earlier_attempt
from verbenagrade.state.identity import Instance
from verbenagrade.state.membership import Members, MemberVm, rendezvous_order
from verbenagrade.state.messages import Witness, Witnessed

__all__ = ["Witnesses"]

LOCAL_WITNESSES = 2
"""Number of VMs to ask in this instance's data centre; others have one each."""


class Witnesses:
    """Reservations that this instance witnesses, and the witnesses of its own.

    ``witnessed`` has the reservations witnessed for others, by attempt.
    ``witnesses_of`` has the VMs that may know of an own attempt.
    """

    def __init__(
        self, members: Members, attempts: KnownAttempts, call: PeerCall, clock: Clock
    ) -> None:
        self.members = members
        self.attempts = attempts
        self.call = call
        self.clock = clock
        self.witnessed: dict[str, Reservation] = {}
        self.witnesses_of: dict[str, tuple[MemberVm, ...]] = {}

    def witness(self, message: Witness) -> Witnessed:
        """Records reservations that another holder made for itself, and ended ones."""
        for reservation in message.reservations:
            order, owner = reservation.order, reservation.grant.owner
            self.witnessed[order.attempt] = reservation
            earlier = earlier_attempt(order, reservation, owner)
            self.attempts.record(order.workspace, order.key, earlier)
        for attempt in message.ended:
            ended = self.witnessed.pop(attempt, None)
            if ended is not None and attempt in message.never_ran:
                order = ended.order
                self.attempts.forget(order.workspace, order.key, attempt)
        return Witnessed()

    def reservations_of(self, lost: Instance) -> tuple[Reservation, ...]:
        """Returns the witnessed reservations that a lost holder made for itself."""
        return tuple(
            reservation
            for reservation in self.witnessed.values()
            if reservation.order.spender == lost and reservation.grant.owner == lost
        )

    async def request_witness(self, reservation: Reservation) -> bool:
        """Has another instance witness a reservation; false if none replies.

        All instances asked are recorded, as one that did not reply may know the
        reservation too. They are recorded only after the last call: until then the
        settlements do not have the attempt, and ``release_settled`` would take it for
        settled.
        """
        asked: list[MemberVm] = []
        is_witnessed = False
        for member in self._candidates(reservation.order.budget):
            asked.append(member)
            if is_witnessed := await self._send_reservation(member, reservation):
                break
        self.witnesses_of[reservation.order.attempt] = tuple(asked)
        return is_witnessed

    async def _send_reservation(
        self, member: MemberVm, reservation: Reservation
    ) -> bool:
        """Sends a reservation to a VM; false if it did not reply."""
        try:
            await self.call(member, Witness((reservation,)))
        except PeerError as error:
            self.members.suspect(member.vm, self.clock())
            log_event(Event.PEER_UNREACHABLE, vm=member.vm, reason=str(error))
            return False
        return True

    async def release_settled(self, is_settled: Callable[[str], bool]) -> None:
        """Tells witnesses which attempts are settled.

        A witness that does not reply is notified again while its VM is listed.
        """
        ended: dict[MemberVm, list[str]] = defaultdict(list)
        for attempt, members in self.witnesses_of.items():
            if is_settled(attempt):
                for member in members:
                    ended[member].append(attempt)
        for member, attempts in ended.items():
            try:
                await self.call(member, self._end_message(attempts))
            except PeerError:
                if member.vm in self.members.vms:
                    continue
            for attempt in attempts:
                self._remove_witness(attempt, member)

    def _remove_witness(self, attempt: str, member: MemberVm) -> None:
        """Removes a VM from the witnesses of an attempt."""
        known = self.witnesses_of.get(attempt, ())
        left = tuple(m for m in known if m != member)
        if left:
            self.witnesses_of[attempt] = left
        else:
            self.witnesses_of.pop(attempt, None)

    def _end_message(self, attempts: list[str]) -> Witness:
        """Returns the message that attempts are settled."""
        never_ran = (a for a in attempts if a in self.attempts.forgotten)
        return Witness(ended=tuple(attempts), never_ran=tuple(never_ran))

    def _candidates(self, budget: str) -> tuple[MemberVm, ...]:
        """Returns the VMs to ask, those of this data centre first."""
        now = self.clock()
        local = rendezvous_order(
            budget, self.members.usable(self.members.own.data_centre, now)
        )
        remote = [
            member
            for data_centre in self.members.other_data_centres()
            for member in rendezvous_order(
                budget, self.members.usable(data_centre, now)
            )[:1]
        ]
        return (*local[:LOCAL_WITNESSES], *remote)
