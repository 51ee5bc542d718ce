"""A router process: its components, periodic tasks and graceful shutdown."""

import asyncio
import time

from verbenagrade.coordination.admission_controller import AdmissionController
from verbenagrade.coordination.heartbeats import Heartbeats
from verbenagrade.coordination.instance import FleetInstance
from verbenagrade.coordination.orphans import ClosedAttempt, end_orphans
from verbenagrade.coordination.recovery import Recovery
from verbenagrade.coordination.refresh import refresh_catalogue, refresh_members
from verbenagrade.coordination.registry import Registration, deregister, register
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import PlatformError
from verbenagrade.protocol.chat import EngineState
from verbenagrade.settings import RouterSettings
from verbenagrade.state.catalogue import Catalogue
from verbenagrade.state.identity import Instance
from verbenagrade.state.membership import Members, MemberVm
from verbenagrade.state.routing import EndpointTable
from verbenagrade.transport.background import BackgroundTasks
from verbenagrade.transport.caller_api import CallerApi, RouterStatus
from verbenagrade.transport.chat import ChatService
from verbenagrade.transport.clients.listeners import (
    ClientAppRunner,
    client_limits,
    start_server,
)
from verbenagrade.transport.clients.shared import Clients
from verbenagrade.transport.connections import Connections
from verbenagrade.transport.peer_server import PeerServer
from verbenagrade.transport.services import ServiceProxy

__all__ = ["Router"]

MS_PER_S = 1000
DRAIN_POLL_S = 0.1
STOP_TIMEOUT_S = 0.5
DRAIN_LOG_INTERVAL_S = 5.0


class Router:
    """A router process."""

    def __init__(self, settings: RouterSettings) -> None:
        self.settings = settings
        self.clock = time.monotonic
        self.time_of_day = time.time
        self.instance = Instance(settings.vm, int(self.time_of_day() * MS_PER_S))
        own = MemberVm(settings.vm, settings.data_centre, settings.address)
        self.members = Members(own)
        self.catalogue = Catalogue()
        self.background = BackgroundTasks(self.instance.incarnation)
        self.connections = Connections(settings, self.instance, self.members)
        self.table = self.connections.table
        self.objects = self.connections.objects
        self.peers = self.connections.peers
        self.endpoint_client = self.connections.endpoints
        self.fleet = FleetInstance(
            instance=self.instance,
            members=self.members,
            table=self.table,
            objects=self.objects,
            call=self.peers.call,
            limits=settings.limits,
            clock=self.clock,
        )
        self.recovery = Recovery(
            table=self.table,
            objects=self.objects,
            members=self.members,
            holder=self.fleet.holder,
            spender=self.fleet.spender,
            call=self.peers.call,
        )
        self.heartbeats = Heartbeats(
            self.fleet, self.table, self.peers.call, self.instance.incarnation
        )
        self.clients = Clients(
            client_limits(settings.limits.client_memory_mb), self.clock
        )
        self.peer_server = PeerServer(
            self.instance, self.members, self.fleet.handle, self.clients
        )
        self.registration: Registration | None = None
        self.callers = self._create_caller_api()
        self.runner = ClientAppRunner(
            self.callers.application(),
            self.clients,
            shutdown_timeout=STOP_TIMEOUT_S,
        )

    async def run(self, stop: asyncio.Event, force: asyncio.Event) -> None:
        """Serves until ``stop`` is set, then shuts down gracefully.

        ``force`` ends the graceful shutdown early. If a periodic task fails, the
        router also shuts down and raises its error, such as ``FencedError``.
        """
        await self._start()
        log_event(Event.PROCESS_STARTED, instance=self.instance.name)
        stopping = asyncio.create_task(stop.wait())
        await asyncio.wait(
            {stopping, self.background.failure}, return_when=asyncio.FIRST_COMPLETED
        )
        failed = self.background.failure.done()
        if failed:
            reason = repr(self.background.failure.exception())
            log_event(Event.PROCESS_FAILED, reason=reason)
        await self._shut_down(force)
        log_event(Event.PROCESS_STOPPED, instance=self.instance.name)
        if failed:
            self.background.failure.result()

    def status(self) -> RouterStatus:
        """Returns the status for operators."""
        held_grants = self.fleet.holder.grants.held_grants.values()
        spender = self.fleet.spender
        now = self.clock()
        suspects = self.members.suspect_until.items()
        return RouterStatus(
            instance=self.instance.name,
            data_centre=self.settings.data_centre,
            revision=self.catalogue.revision,
            stopping=self.callers.stopping,
            waits_for=self._waits_for(),
            in_flight=self.callers.in_flight,
            unsettled_attempts=spender.settlements.unsettled(),
            unwritten_bills=self.fleet.holder.journal.state.depth(),
            grants=sum(1 for held_grant in held_grants if held_grant.amount),
            granted_tokens=sum(held_grant.amount for held_grant in held_grants),
            reserved_tokens=sum(held_grant.reserved for held_grant in held_grants),
            table_operations=self.fleet.holder.grants.table_operations,
            undecodable_frames=self.peers.undecodable_frames,
            suspected_vms=tuple(vm for vm, until in suspects if until > now),
        )

    def _create_caller_api(self) -> CallerApi:
        timing = self.settings.timing
        endpoints = EndpointTable(self.settings.data_centre, self.instance.incarnation)
        admission_controller = AdmissionController(
            self.fleet.spender,
            endpoints,
            timing.patience_s,
            self.clock,
            self.time_of_day,
        )
        endpoint_client = self.endpoint_client
        chat = ChatService(
            admission_controller,
            endpoint_client,
            self.catalogue,
            self.fleet.quarantine,
            timing.progress_s,
        )
        services = ServiceProxy(
            admission_controller,
            endpoint_client,
            self.catalogue,
            self.table,
            self.background,
            timing.progress_s,
        )
        return CallerApi(
            chat,
            services,
            self.catalogue,
            self.settings.limits,
            self.status,
            lambda: self.fleet.holder.grants.registered,
            self.clients,
        )

    async def _start(self) -> None:
        settings = self.settings
        await self.peer_server.start(settings.address, settings.peer_port)
        await self.runner.setup()
        await start_server(self.runner, settings.address, settings.caller_port)
        timing = settings.timing
        run_periodically = self.background.run_periodically
        run_periodically(timing.vm_list_s, self._refresh_members)
        run_periodically(timing.recovery_s, self._recover)
        run_periodically(timing.configuration_s, self._refresh_catalogue)
        run_periodically(timing.heartbeat_s, self.heartbeats.send_heartbeat)
        run_periodically(timing.heartbeat_s, self.fleet.quarantine.deliver_reports)
        run_periodically(timing.settle_s, self.fleet.spender.settle)
        run_periodically(timing.journal_s, self.fleet.holder.journal.flush)
        run_periodically(timing.tend_s, self.fleet.holder.grants.rebalance)
        await self._first_refresh()

    async def _first_refresh(self) -> None:
        """Reads members and configuration once, if the platform is available."""
        try:
            await self._refresh_members()
            await self._refresh_catalogue()
        except PlatformError as error:
            log_event(Event.PLATFORM_AWAY, reason=str(error))

    async def _refresh_members(self) -> None:
        await refresh_members(self.connections.vm_list, self.members)
        await self._register()

    async def _register(self) -> None:
        """Registers this instance, and again when its VM appears in the VM list."""
        own = Registration(
            instance=self.instance,
            data_centre=self.settings.data_centre,
            address=self.settings.address,
            listed=self.members.own_listed,
        )
        if own != self.registration:
            await register(self.table, own)
            self.registration = own
            self.fleet.holder.grants.registered = True

    async def _recover(self) -> None:
        """Ends reservations of lost spenders, then starts recovery of lost holders."""
        await end_orphans(
            self.fleet.holder, self.members, self._close_attempt, self.time_of_day()
        )
        await self.recovery.recover_lost_instances(self.clock())

    async def _close_attempt(self, endpoint: str, attempt: str) -> ClosedAttempt | None:
        """Closes an attempt at its endpoint and returns its token counts.

        Plain services keep no counts. Returns ``None`` if the endpoint is not
        known or does not respond.
        """
        found = self.catalogue.find_endpoint(endpoint)
        if found is None:
            return None
        address, is_engine = found
        if not is_engine:
            return ClosedAttempt(ran=True)
        record = await self.endpoint_client.close(address.url, attempt)
        if record is None:
            return None
        ran = record.state != EngineState.NEVER_RAN
        return ClosedAttempt(ran, record.total, record.prompt_tokens)

    async def _refresh_catalogue(self) -> None:
        await refresh_catalogue(self.table, self.catalogue)
        self.fleet.revision = self.catalogue.revision

    def _waits_for(self) -> tuple[str, ...]:
        """Lists what a graceful shutdown is still waiting for, with counts."""
        fleet = self.fleet
        counts = {
            "requests in flight": self.callers.in_flight,
            "requests not yet settled": fleet.spender.settlements.unsettled(),
            "bills not yet written": fleet.holder.journal.state.depth(),
            "reservations of other instances": sum(
                len(held_grant.open)
                for held_grant in fleet.holder.grants.held_grants.values()
            ),
            "table writes": len(self.background.retrying),
        }
        return tuple(f"{count} {what}" for what, count in counts.items() if count)

    async def _shut_down(self, force: asyncio.Event) -> None:
        log_event(Event.PROCESS_STOPPING, instance=self.instance.name)
        self.callers.stopping = True
        self.fleet.holder.grants.stopping = True
        draining = asyncio.create_task(self._drain())
        forced = asyncio.create_task(force.wait())
        await asyncio.wait({draining, forced}, return_when=asyncio.FIRST_COMPLETED)
        if not draining.done():
            log_event(Event.SHUTDOWN_FORCED, waits_for=self._waits_for())
            draining.cancel()
        forced.cancel()
        await self._close()

    async def _drain(self) -> None:
        """Waits until no request, unwritten bill or grant is left on this instance."""
        next_log = 0.0
        while True:
            waits_for = self._waits_for()
            if not waits_for and await self._release_all():
                return
            if waits_for and self.clock() >= next_log:
                log_event(Event.SHUTDOWN_WAITING, waits_for=waits_for)
                next_log = self.clock() + DRAIN_LOG_INTERVAL_S
            await self.fleet.spender.settle()
            await self.fleet.holder.journal.flush()
            await asyncio.sleep(DRAIN_POLL_S)

    async def _release_all(self) -> bool:
        """Returns all grants and deregisters; returns false if a retry is needed."""
        if not await self.fleet.holder.return_all():
            return False
        try:
            await deregister(self.table, self.instance)
        except PlatformError as error:
            log_event(Event.PLATFORM_AWAY, reason=str(error))
            return False
        return True

    async def _close(self) -> None:
        self.background.stop()
        await self.runner.cleanup()
        await self.peer_server.stop()
        await self.connections.close()
