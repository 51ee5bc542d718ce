"""Combines the parts of a router instance that communicate with other instances."""

from dataclasses import replace

from verbenagrade.coordination.holder import Holder, HolderLimits
from verbenagrade.coordination.ports import Clock, ObjectStore, Table
from verbenagrade.coordination.quarantine import Quarantine
from verbenagrade.coordination.settlement import PeerCall
from verbenagrade.coordination.spender import Spender, SpenderLimits
from verbenagrade.exceptions import PeerNoReplyError
from verbenagrade.settings import LimitSettings
from verbenagrade.state.identity import Instance
from verbenagrade.state.membership import Members
from verbenagrade.state.messages import (
    AttemptUnknown,
    Claims,
    CrashReport,
    FindAttempt,
    Heartbeat,
    HeartbeatReply,
    Message,
    QuarantineEnd,
    QuarantineRequest,
    Replaced,
    Reply,
    Reserve,
    Settle,
    Witness,
)

__all__ = ["FleetInstance"]


class FleetInstance:
    """Handles the messages of other instances for one router instance.

    It creates the holder, which manages grants, the spender, which reserves tokens
    from holders, and the quarantine for requests that crash endpoints. ``revision``
    is the configuration revision that the instance uses. ``clock`` returns the time
    in seconds.
    """

    def __init__(
        self,
        instance: Instance,
        members: Members,
        table: Table,
        objects: ObjectStore,
        call: PeerCall,
        limits: LimitSettings,
        clock: Clock,
    ) -> None:
        self.instance = instance
        self.members = members
        self.clock = clock
        holder_limits = HolderLimits(limits.unwritten_bills)
        self.holder = Holder(instance, table, objects, holder_limits, clock)
        spender_limits = SpenderLimits(limits.unsettled_attempts)
        self.spender = Spender(
            instance, members, self.holder, call, spender_limits, clock
        )
        self.quarantine = Quarantine(members, call, clock)
        self.revision = 0

    async def handle(self, message: Message) -> Reply:
        """Returns the reply to a message of another instance.

        Raises ``PeerNoReplyError`` for a message type that this version does not
        support.
        """
        match message:
            case Reserve():
                return await self.holder.reserve(message.order)
            case Settle():
                if message.holder != self.instance:
                    return Replaced(self.instance)
                return self.holder.settle(message)
            case Witness():
                return self.spender.witnesses.witness(message)
            case FindAttempt():
                earlier = self.holder.attempts.find(message.workspace, message.key)
                return earlier or AttemptUnknown()
            case Claims():
                reply = self.spender.handle_claims(message)
                return replace(
                    reply, orphans=self.holder.count_reservations(message.lost)
                )
            case CrashReport() | QuarantineRequest() | QuarantineEnd():
                return self._handle_quarantine(message)
            case Heartbeat():
                self.members.record_heartbeat(message.sender, message.revision)
                return HeartbeatReply(self.instance, self.revision)
        raise PeerNoReplyError(
            "this version does not support the message type; upgrade this VM"
        )

    def _handle_quarantine(
        self, message: CrashReport | QuarantineRequest | QuarantineEnd
    ) -> Reply:
        match message:
            case CrashReport():
                return self.quarantine.record_crash_report(message)
            case QuarantineRequest():
                return self.quarantine.assign_slot(message)
            case QuarantineEnd():
                return self.quarantine.record_run_end(message)
