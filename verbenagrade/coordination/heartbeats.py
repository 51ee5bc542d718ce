"""Sends heartbeats to other instances.

Each instance sends one heartbeat per period, whatever the size of the fleet.
"""

import random

from verbenagrade.coordination.confirmations import (
    Confirmation,
    report_confirmations,
    reporter_of,
)
from verbenagrade.coordination.instance import FleetInstance
from verbenagrade.coordination.ports import Table
from verbenagrade.coordination.settlement import PeerCall
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import PeerError
from verbenagrade.state.membership import MemberVm
from verbenagrade.state.messages import Heartbeat, HeartbeatReply

__all__ = ["Heartbeats"]


class Heartbeats:
    """Sends one heartbeat per period to another instance of the data centre.

    Every second heartbeat goes to the reporter. The others, and all heartbeats of
    the reporter itself, go to instances chosen at random. ``seed`` initialises the
    random choice.
    """

    def __init__(
        self, fleet: FleetInstance, table: Table, call: PeerCall, seed: int
    ) -> None:
        self.fleet = fleet
        self.table = table
        self.call = call
        self.random = random.Random(seed)
        self.heartbeat_count = 0
        self.last_report: tuple[Confirmation, ...] = ()

    async def send_heartbeat(self) -> None:
        """Sends one heartbeat; as the reporter, also stores new confirmations.

        Raises ``PlatformError`` if the confirmations could not be stored.
        """
        self.heartbeat_count += 1
        target = self._choose_target()
        if target is not None:
            await self._send(target)
        reporter = reporter_of(self.fleet.members, self.fleet.clock())
        if reporter.vm == self.fleet.instance.vm:
            await self._report_if_changed()

    def _choose_target(self) -> MemberVm | None:
        members = self.fleet.members
        now = self.fleet.clock()
        reporter = reporter_of(members, now)
        if self.heartbeat_count % 2 and reporter.vm != members.own.vm:
            return reporter
        others = [vm for vm in members.vms.values() if vm.vm != members.own.vm]
        peers = [vm for vm in others if vm.data_centre == members.own.data_centre]
        return self.random.choice(peers) if peers else None

    async def _send(self, target: MemberVm) -> None:
        fleet = self.fleet
        message = Heartbeat(
            sender=fleet.instance,
            data_centre=fleet.members.own.data_centre,
            revision=fleet.revision,
            leaving=fleet.holder.grants.stopping,
        )
        try:
            reply = await self.call(target, message)
        except PeerError as error:
            fleet.members.suspect(target.vm, fleet.clock())
            log_event(Event.PEER_UNREACHABLE, vm=target.vm, reason=str(error))
            return
        if isinstance(reply, HeartbeatReply):
            fleet.members.record_heartbeat(reply.sender, reply.revision)

    async def _report_if_changed(self) -> None:
        fleet = self.fleet
        revisions = dict(fleet.members.revisions)
        revisions[fleet.instance.vm] = fleet.revision
        data_centre = fleet.members.own.data_centre
        confirmations = tuple(
            Confirmation(vm, revisions[vm])
            for vm, member in sorted(fleet.members.vms.items())
            if member.data_centre == data_centre and vm in revisions
        )
        if confirmations != self.last_report:
            await report_confirmations(self.table, data_centre, confirmations)
            self.last_report = confirmations
