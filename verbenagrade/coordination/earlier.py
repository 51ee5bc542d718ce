"""Asks other instances for the attempt of an idempotency key.

The attempt is known to the instance that ran it and to the one that gave the
tokens or witnessed them. Which these were depends on who could be reached then,
so a retry asks every VM that either of them may be.
"""

import asyncio

from verbenagrade.coordination.settlement import Call
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import PeerError
from verbenagrade.state.attempts import KnownAttempts
from verbenagrade.state.holding import Earlier, ReserveOrder
from verbenagrade.state.membership import Members, MemberVm, rank
from verbenagrade.state.messages import Answer, FindAttempt

__all__ = ["find_elsewhere"]


async def find_elsewhere(
    order: ReserveOrder,
    members: Members,
    call: Call,
    now: float,
    attempts: KnownAttempts,
) -> Earlier | None:
    """Returns an attempt of the order's key that another instance knows.

    An attempt that ``attempts`` has forgotten did not run and is not returned.
    An instance that does not answer is taken to know none; ``now`` is in seconds.
    """

    async def ask(member: MemberVm) -> Answer | None:
        """Asks one instance; an error makes it suspect."""
        try:
            return await call(member, FindAttempt(order.workspace, order.key))
        except PeerError as error:
            members.suspect(member.vm, now)
            log_event(Event.PEER_UNREACHABLE, vm=member.vm, reason=str(error))
            return None

    answers = await asyncio.gather(*map(ask, _who_may_know(order, members, now)))
    found = (answer for answer in answers if isinstance(answer, Earlier))
    return next((e for e in found if e.attempt not in attempts.forgotten), None)


def _who_may_know(
    order: ReserveOrder, members: Members, now: float
) -> tuple[MemberVm, ...]:
    """Returns the data centre's VMs and those that stand in from other ones."""
    near = members.usable(members.own.data_centre, now)
    far = [
        member
        for data_centre in members.other_data_centres()
        for member in rank(order.budget, members.usable(data_centre, now))[:1]
    ]
    return (*near, *far)
