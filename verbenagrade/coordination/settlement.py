"""Keeps the reservations and bills of a spender until their bills are durable."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

from verbenagrade.coordination.holder import Holder
from verbenagrade.coordination.ports import Clock
from verbenagrade.coordination.registry import is_registered
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import PeerError, PlatformError
from verbenagrade.state.bills import Bill
from verbenagrade.state.held_grant import Reservation
from verbenagrade.state.identity import Instance
from verbenagrade.state.membership import Members, MemberVm
from verbenagrade.state.messages import (
    Claims,
    ClaimsReply,
    Message,
    Release,
    Replaced,
    Reply,
    Settle,
    SettleReply,
)

__all__ = ["HolderAccount", "PeerCall", "Settlements"]

PeerCall = Callable[[MemberVm, Message], Awaitable[Reply]]

BILLS_PER_MESSAGE = 500

DURABILITY_POLL_S = 2.0
"""Interval between queries whether accepted bills are durable, in seconds."""


class HolderAccount:
    """The attempts whose bill or release one holder has yet to confirm.

    ``attempts`` names all attempts of the account, ``open`` has the reservations
    of those that run, and ``bills`` the bills that are not known to be durable.
    ``unsent`` has the bills that the holder has not accepted, and ``accepted`` the
    accepted ones, in order, with their places in the holder's journal.
    """

    def __init__(self, holder: Instance) -> None:
        self.holder = holder
        self.sent_at = 0.0
        self.attempts: set[str] = set()
        self.open: dict[str, Reservation] = {}
        self.bills: dict[str, Bill] = {}
        self.unsent: dict[str, Bill] = {}
        self.accepted: deque[tuple[int, str]] = deque()
        self.releases: dict[str, Release] = {}

    def add_bill(self, bill: Bill) -> None:
        """Adds the bill of an attempt that ran."""
        self.open.pop(bill.attempt, None)
        self.bills[bill.attempt] = bill
        self.unsent[bill.attempt] = bill

    def is_due(self, now: float) -> bool:
        """Returns whether a message to the holder is due at ``now``, in seconds.

        One is due if a bill or release is unsent, or if it is time to ask whether
        accepted bills are durable.
        """
        if self.unsent or self.releases:
            return True
        return bool(self.accepted) and now - self.sent_at >= DURABILITY_POLL_S

    def is_empty(self) -> bool:
        """Returns whether no attempt is left, so that the account can be removed."""
        return not self.attempts

    def next_message(self) -> Settle:
        """Returns the next message to the holder."""
        bills = tuple(self.unsent.values())[:BILLS_PER_MESSAGE]
        return Settle(self.holder, bills, tuple(self.releases.values()))

    def apply_reply(self, reply: SettleReply) -> tuple[str, ...]:
        """Applies the holder's reply.

        Returns the attempts that were released or whose bills are durable.
        """
        for accepted in reply.accepted:
            if self.unsent.pop(accepted.attempt, None) is not None:
                self.accepted.append((accepted.place, accepted.attempt))
        done = [a for a in reply.released if self.releases.pop(a, None)]
        while self.accepted and self.accepted[0][0] < reply.durable_below:
            _, attempt = self.accepted.popleft()
            self.bills.pop(attempt, None)
            done.append(attempt)
        self.attempts.difference_update(done)
        return tuple(done)

    def merge(self, other: "HolderAccount") -> None:
        """Adds the account of a lost holder; its bills are all sent again."""
        self.attempts.update(other.attempts)
        self.open.update(other.open)
        self.bills.update(other.bills)
        self.unsent.update(other.bills)
        self.releases.update(other.releases)


class Settlements:
    """One account for each holder that gave tokens to this instance."""

    def __init__(
        self,
        instance: Instance,
        members: Members,
        holder: Holder,
        call: PeerCall,
        clock: Clock,
    ) -> None:
        self.instance = instance
        self.members = members
        self.holder = holder
        self.call = call
        self.clock = clock
        self.accounts: dict[Instance, HolderAccount] = {}
        self.account_of: dict[str, HolderAccount] = {}
        self.lost_holder_of: dict[str, Instance] = {}

    def unsettled(self) -> int:
        """Returns the number of attempts that run or are not durably billed."""
        return len(self.account_of)

    def record_reservation(self, reservation: Reservation, holder: Instance) -> None:
        """Records an attempt for which ``holder`` reserved tokens."""
        attempt = reservation.order.attempt
        self.record_joined(attempt, holder)
        self.account_of[attempt].open[attempt] = reservation

    def record_joined(self, attempt: str, holder: Instance) -> None:
        """Records an attempt that this instance resumes and did not start."""
        if attempt not in self.account_of:
            account = self._account(holder)
            account.attempts.add(attempt)
            self.account_of[attempt] = account

    def forget_joined(self, attempt: str) -> None:
        """Forgets an attempt that was only resumed and that its starter settles."""
        account = self.account_of.get(attempt)
        if account is None or attempt in account.open or attempt in account.bills:
            return
        account.attempts.discard(attempt)
        del self.account_of[attempt]

    def record_bill(self, bill: Bill) -> None:
        """Records the bill of an attempt that ended."""
        self.account_of[bill.attempt].add_bill(bill)

    def record_release(self, release: Release, holder: Instance | None = None) -> None:
        """Records that an attempt did not run, so that its reservation is released."""
        if holder is not None:
            self.record_joined(release.attempt, holder)
        account = self.account_of[release.attempt]
        account.open.pop(release.attempt, None)
        account.releases[release.attempt] = release

    def reservation(self, attempt: str) -> Reservation | None:
        """Returns the open reservation of an attempt that was started here, if any."""
        account = self.account_of.get(attempt)
        return account.open.get(attempt) if account else None

    async def settle(self) -> bool:
        """Sends due messages; returns whether no bill or release is left."""
        now = self.clock()
        due = [account for account in self.accounts.values() if account.is_due(now)]
        await asyncio.gather(*map(self._settle_with, due))
        empty = [h for h, account in self.accounts.items() if account.is_empty()]
        for holder in empty:
            del self.accounts[holder]
        return not any(a.bills or a.releases for a in self.accounts.values())

    def transfer_claims(self, message: Claims) -> ClaimsReply:
        """Moves the account of a lost holder to its recoverer and returns its content.

        A retried message gets the same reply, less what was settled in between.
        """
        lost = self.accounts.pop(message.lost, None)
        if lost is not None:
            account = self._account(message.recoverer)
            account.merge(lost)
            for attempt in lost.attempts:
                self.account_of[attempt] = account
                self.lost_holder_of[attempt] = message.lost
        held = [a for a, h in self.lost_holder_of.items() if h == message.lost]
        accounts = [(a, self.account_of[a]) for a in held if a in self.account_of]
        return ClaimsReply(
            tuple(account.open[a] for a, account in accounts if a in account.open),
            tuple(account.bills[a] for a, account in accounts if a in account.bills),
        )

    def _account(self, holder: Instance) -> HolderAccount:
        return self.accounts.setdefault(holder, HolderAccount(holder))

    async def _settle_with(self, account: HolderAccount) -> None:
        reply = await self._send(account)
        if isinstance(reply, SettleReply):
            for attempt in account.apply_reply(reply):
                self.account_of.pop(attempt, None)
                self.lost_holder_of.pop(attempt, None)
            return
        if isinstance(reply, Replaced):
            self.members.record_instance(reply.current)
        if await self._is_deregistered(account.holder):
            self._remove_account(account)

    async def _is_deregistered(self, holder: Instance) -> bool:
        """Returns whether a holder has deregistered.

        A holder deregisters only when all its bills are durable. Returns false if
        the platform is unavailable.
        """
        try:
            return not await is_registered(self.holder.grants.table, holder)
        except PlatformError:
            return False

    def _remove_account(self, account: HolderAccount) -> None:
        for attempt in account.attempts:
            self.account_of.pop(attempt, None)
            self.lost_holder_of.pop(attempt, None)
        self.accounts.pop(account.holder, None)

    async def _send(self, account: HolderAccount) -> Reply | None:
        message = account.next_message()
        account.sent_at = self.clock()
        if account.holder == self.instance:
            return self.holder.settle(message)
        member = self.members.vms.get(account.holder.vm)
        if member is None:
            return None
        try:
            return await self.call(member, message)
        except PeerError as error:
            log_event(Event.PEER_UNREACHABLE, vm=member.vm, reason=str(error))
            return None
