"""Asks other instances for the attempt of an idempotency key.

The attempt is known to the spender that ran it, and to the holder or the witness
of its reservation. Which VMs these were depends on which were reachable at the
time, so a retry asks every VM that may be one of them.
"""

import asyncio

from verbenagrade.coordination.settlement import PeerCall
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import PeerError
from verbenagrade.state.attempts import KnownAttempts
from verbenagrade.state.held_grant import Earlier, ReserveOrder
from verbenagrade.state.membership import Members, MemberVm, rendezvous_order
from verbenagrade.state.messages import FindAttempt, Reply

__all__ = ["find_attempt_on_peers"]


async def find_attempt_on_peers(
    order: ReserveOrder,
    members: Members,
    call: PeerCall,
    now: float,
    attempts: KnownAttempts,
) -> Earlier | None:
    """Returns an attempt with the order's idempotency key from another instance.

    An attempt that ``attempts`` lists as forgotten did not run and is not returned.
    An instance that does not reply counts as knowing none. ``now`` is in seconds.
    """

    async def query(member: MemberVm) -> Reply | None:
        """Asks one instance; suspects its VM if it does not reply."""
        try:
            return await call(member, FindAttempt(order.workspace, order.key))
        except PeerError as error:
            members.suspect(member.vm, now)
            log_event(Event.PEER_UNREACHABLE, vm=member.vm, reason=str(error))
            return None

    replies = await asyncio.gather(*map(query, _candidates(order, members, now)))
    found = (reply for reply in replies if isinstance(reply, Earlier))
    return next((e for e in found if e.attempt not in attempts.forgotten), None)


def _candidates(
    order: ReserveOrder, members: Members, now: float
) -> tuple[MemberVm, ...]:
    """Returns the VMs of this data centre and the first candidate of each other."""
    local = members.usable(members.own.data_centre, now)
    remote = [
        member
        for data_centre in members.other_data_centres()
        for member in rendezvous_order(order.budget, members.usable(data_centre, now))[
            :1
        ]
    ]
    return (*local, *remote)
