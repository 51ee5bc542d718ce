"""Shares information about requests that crash endpoints in a data centre."""

import asyncio
from collections import Counter
from collections.abc import Iterable

from verbenagrade.coordination.ports import Clock
from verbenagrade.coordination.settlement import PeerCall
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import (
    PeerError,
    PoisonRequestError,
    UnavailableError,
)
from verbenagrade.state.membership import Members, MemberVm, rendezvous_order
from verbenagrade.state.messages import (
    CrashReport,
    QuarantineEnd,
    QuarantineReply,
    QuarantineRequest,
    Recorded,
)
from verbenagrade.state.poison import PoisonRecord, Verdict
from verbenagrade.state.report_log import ReportLog

__all__ = ["Quarantine"]


class Quarantine:
    """Admits suspected requests to quarantine runs, and refuses poison requests.

    A request is suspected after an endpoint crashed while running it. It then runs in
    quarantine, on an endpoint that runs no other suspected request. It is a poison
    request if that endpoint crashes too. One instance of the data centre, chosen by
    rendezvous hashing, assigns the endpoints for quarantine runs. Crashes and the
    results of quarantine runs are sent to all instances of the data centre, again
    by ``deliver_reports`` to those that did not receive them. ``clock`` returns the
    time in seconds.
    """

    def __init__(self, members: Members, call: PeerCall, clock: Clock) -> None:
        self.members = members
        self.call = call
        self.clock = clock
        self.record = PoisonRecord()
        self.reports: ReportLog[CrashReport | QuarantineEnd] = ReportLog()
        self.sending: dict[str, asyncio.Lock] = {}
        self.failed_calls: Counter[str] = Counter()

    async def admit(self, digest: str, endpoints: Iterable[str]) -> str:
        """Returns the endpoint that has to run a suspected request.

        The result is empty for a request that is not suspected. Raises
        ``PoisonRequestError`` for a poison request, and ``UnavailableError`` for a
        suspected one if none of ``endpoints`` can be reserved for it.
        """
        verdict = self.record.verdict(digest)
        if verdict is Verdict.CONVICTED:
            raise PoisonRequestError(
                "this request crashed two endpoints and is not run again; change the"
                " request"
            )
        if verdict is Verdict.CLEAR:
            return ""
        reply = await self._request_slot(QuarantineRequest(digest, tuple(endpoints)))
        if not isinstance(reply, QuarantineReply) or not reply.endpoint:
            raise UnavailableError(
                "this request ran on an endpoint that crashed, and no endpoint is free"
                " to run it in quarantine; retry in 2 s"
            )
        return reply.endpoint

    def assign_slot(self, message: QuarantineRequest) -> QuarantineReply:
        """Assigns an endpoint to a suspected request, or none if all are in use."""
        endpoint = self.record.take_slot(
            message.digest, message.endpoints, self.clock()
        )
        return QuarantineReply(endpoint or "")

    def record_crash_report(self, message: CrashReport) -> Recorded:
        """Records a crash that another instance observed."""
        self.record.record_crash(message.digest, message.quarantined)
        return Recorded()

    def record_run_end(self, message: QuarantineEnd) -> Recorded:
        """Records the end of a quarantine run, and clears a request that succeeded."""
        self.record.free_slot(message.digest, message.endpoint)
        if message.succeeded:
            self.record.succeeded(message.digest)
        return Recorded()

    async def report_crash(self, digest: str, endpoint: str, quarantined: bool) -> None:
        """Records a crash and reports it to the data centre.

        ``quarantined`` tells whether the request ran in quarantine.
        """
        verdict = self.record.record_crash(digest, quarantined)
        log_event(
            Event.ENDPOINT_CRASHED, digest=digest, endpoint=endpoint, verdict=verdict
        )
        self.reports.append(CrashReport(digest, quarantined))
        await self.deliver_reports()

    async def report_run_end(self, digest: str, endpoint: str, succeeded: bool) -> None:
        """Records the end of a quarantine run and reports it to the data centre."""
        message = QuarantineEnd(digest, endpoint, succeeded)
        self.record_run_end(message)
        self.reports.append(message)
        await self.deliver_reports()

    async def deliver_reports(self) -> None:
        """Sends each VM of the data centre the reports that it has not received.

        This includes VMs that other messages avoid, as a VM that misses a report
        runs a request that others refuse.
        """
        members = self.members
        peers = [
            member
            for member in members.vms.values()
            if member.vm != members.own.vm
            and member.data_centre == members.own.data_centre
        ]
        self.reports.retain({member.vm for member in peers})
        await asyncio.gather(*(self._deliver(member) for member in peers))

    async def _request_slot(self, message: QuarantineRequest) -> object:
        now = self.clock()
        own = self.members.own
        candidates = (own, *self.members.usable(own.data_centre, now))
        coordinator = rendezvous_order("quarantine", candidates)[0]
        if coordinator.vm == own.vm:
            return self.assign_slot(message)
        try:
            return await self.call(coordinator, message)
        except PeerError:
            self.members.suspect(coordinator.vm, now)
            return None

    async def _deliver(self, member: MemberVm) -> None:
        """Sends a VM its reports in their order, until one call fails.

        Callers that waited for such a call do not repeat it.
        """
        instances = self.members.instances
        failed_calls = self.failed_calls[member.vm]
        async with self.sending.setdefault(member.vm, asyncio.Lock()):
            while self.failed_calls[member.vm] == failed_calls:
                before = instances.get(member.vm)
                pending = self.reports.next_for(member.vm, before)
                if pending is None:
                    return
                try:
                    await self.call(member, pending.report)
                except PeerError as error:
                    self.failed_calls[member.vm] += 1
                    self.members.suspect(member.vm, self.clock())
                    log_event(Event.PEER_UNREACHABLE, vm=member.vm, reason=str(error))
                    return
                after = instances.get(member.vm)
                self.reports.record_received(member.vm, pending, before, after)
