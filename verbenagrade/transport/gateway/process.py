"""A gateway process: HTTP servers, followed tables, background tasks, shutdown."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

import aiohttp
from aiohttp import web
from msgspec.structs import replace

from verbenagrade.coordination.fleet_limits import FleetLimits
from verbenagrade.coordination.gateway_fleet import FLEET_TABLE, GatewayFleet
from verbenagrade.coordination.gateway_updates import (
    apply_configuration,
    apply_endpoints,
)
from verbenagrade.coordination.ports import Changes, EraObserver, PlatformStore
from verbenagrade.coordination.relay_keys import RelayKeys
from verbenagrade.coordination.store_calls import count_failures
from verbenagrade.coordination.store_eras import StoreEras, guard_eras
from verbenagrade.coordination.table_feed import (
    FollowedTable,
    TableResponse,
    follow_table,
)
from verbenagrade.events import Event, log_event
from verbenagrade.protocol.calls import CallFormat
from verbenagrade.settings.gateway import GatewaySettings
from verbenagrade.state.directory import EndpointDirectory
from verbenagrade.state.documents import DocumentFormat
from verbenagrade.state.placement import PlacementTable, VmLocation
from verbenagrade.state.routes import CallerLimits
from verbenagrade.transport.clients.parsing import MAX_LINE_BYTES
from verbenagrade.transport.clients.shared import Clients
from verbenagrade.transport.gateway.assembly import (
    GatewayBudgets,
    make_versions,
    missing_endpoint_hold_s,
)
from verbenagrade.transport.gateway.background import keep_running
from verbenagrade.transport.gateway.call_handler import handle_call
from verbenagrade.transport.gateway.core import GatewayCore
from verbenagrade.transport.gateway.listeners import (
    listen_for_callers,
    listen_for_health_checks,
    listen_for_vms,
)
from verbenagrade.transport.gateway.memory import client_limits
from verbenagrade.transport.gateway.reach import watch_reach
from verbenagrade.transport.gateway.relay_server import handle_relayed_call
from verbenagrade.transport.gateway.store_connections import store_session
from verbenagrade.transport.gateway.upkeep import (
    ask_peers,
    expire_endpoints,
    maintain_grants,
    record_streams,
    report_spending,
    resend_settlements,
    restore_budgets,
)
from verbenagrade.transport.gateway.upstream import endpoint_session

__all__ = ["Gateway", "PlatformAdapter"]

READINESS_PROPAGATION_S = 2.8
"""Time after SIGTERM during which calls are still accepted, in seconds. The load
balancer checks readiness once a second and needs two failed checks. Calls that are
accepted later might not end before SIGKILL."""

SIGKILL_MARGIN_S = 0.7
"""Time before SIGKILL at which the process exits in any case, in seconds."""

GRANT_RETURN_TIMEOUT_S = 0.8
"""Timeout for the return of grants during shutdown, in seconds."""

LAST_ANSWERS_S = 0.2
"""Time to answer the calls that are broken off at the end, in seconds."""

IDLE_POLL_S = 0.05
FLEET_LONG_POLL_S = 8.0
"""How long the store may hold a long poll of the fleet table, in seconds. A long
value does not delay changes, which arrive within a second; only a lost connection
is detected later."""


@dataclass(frozen=True, slots=True)
class PlatformAdapter:
    """The formats and the store client of a deployment's platform."""

    calls: CallFormat
    documents: DocumentFormat
    store: Callable[
        [aiohttp.ClientSession, GatewaySettings, EraObserver], PlatformStore
    ]


class Gateway:
    """One gateway process."""

    def __init__(self, settings: GatewaySettings, adapter: PlatformAdapter) -> None:
        self.clock = time.monotonic
        self.adapter = adapter
        seed = self.seed = time.time_ns()
        incarnation = f"{settings.vm}-{seed:x}"
        self.store_session = store_session()
        self.endpoint_session = endpoint_session()
        eras = StoreEras(self.clock)
        eras.on_change = self._enter_era
        store = adapter.store(self.store_session, settings, eras.observer())
        self.table = guard_eras(count_failures(store, self._count_failure), eras)
        fleet = GatewayFleet(self.table, settings.vm, incarnation, eras, self.clock)
        directory = EndpointDirectory(missing_endpoint_hold_s(settings))
        keys = RelayKeys(self.table)
        clients = Clients(client_limits(settings), self.clock)
        self.budgets = GatewayBudgets(
            self.table,
            settings,
            incarnation,
            self.clock,
            eras,
            lambda: keys.keys,
            clients,
        )
        location = VmLocation(settings.data_centre, settings.regions)
        rng = random.Random(seed)
        self.core = GatewayCore(
            settings=settings,
            call_format=adapter.calls,
            session=self.endpoint_session,
            allowance_manager=self.budgets.manager,
            fleet=fleet,
            placement=PlacementTable(location, seed),
            directory=directory,
            clock=self.clock,
            seed=seed,
            eras=eras,
            limits=FleetLimits.create(self.table, fleet, directory, self.clock, rng),
            versions=make_versions(
                self.table, settings, eras, seed, self.clock, lambda: self.core
            ),
            relay_keys=keys,
            budgets=self.budgets.fleet,
            clients=clients,
        )
        era_start = self.core.versions.era_start
        self.budgets.restorations.era_began_at = lambda: era_start.loss().at
        self.runners: list[web.ServerRunner] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until ``stop`` is set, then shuts down within the grace period."""
        settings = self.core.settings
        metrics = f"{settings.listen.metrics_ip}:{settings.listen.metrics_port}"
        clients = self.core.clients
        self.runners += (
            await listen_for_callers(
                settings.listen.callers,
                self._handle_call,
                self._caller_limits,
                clients,
            ),
            await listen_for_health_checks(
                settings.listen.ready, self._handle_ready, clients
            ),
            await listen_for_health_checks(metrics, self._handle_metrics, clients),
        )
        await self._listen_for_vms()
        self._start_tasks()
        log_event(Event.PROCESS_STARTED, vm=settings.vm, seed=self.seed)
        await stop.wait()
        await self._shut_down()

    async def _listen_for_vms(self) -> None:
        """Serves calls and reservations of other VMs, and announces the addresses."""
        settings = self.core.settings
        own = settings.listen
        address = f"{own.relay_ip}:{own.relay_port}"
        runner = await listen_for_vms(
            address, self._handle_relayed_call, self.core.clients
        )
        self.runners.append(runner)
        _, port, *_ = runner.addresses[0]
        ports = own.reservation_ports
        reservation_port = await self.budgets.server.start(own.relay_ip, *ports)
        fleet = self.core.fleet
        fleet.presence = replace(
            fleet.presence,
            relay_address=f"{own.relay_ip}:{port}",
            data_centre=settings.data_centre,
            reservation_address=f"{own.relay_ip}:{reservation_port}",
        )

    def reload(self, settings: GatewaySettings) -> None:
        """Applies changed settings; listen addresses only change with a restart."""
        self.core.settings = settings
        self.core.allowance_manager.tuning = settings.tuning
        log_event(Event.SETTINGS_RELOADED, vm=settings.vm)

    def _caller_limits(self) -> CallerLimits:
        """Returns the limits in force; without a configuration, the widest ones."""
        index = self.core.route_index
        if index is None:
            return CallerLimits(header_bytes=MAX_LINE_BYTES)
        return index.configuration.limits

    async def _handle_call(self, request: web.BaseRequest) -> web.StreamResponse:
        return await handle_call(self.core, request)

    async def _handle_relayed_call(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        return await handle_relayed_call(self.core, request)

    async def _handle_ready(self, _request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(status=200 if self.core.ready else 503)

    async def _handle_metrics(self, request: web.BaseRequest) -> web.StreamResponse:
        core = self.core
        core.metrics.in_flight.set({}, core.in_flight)
        core.clients.record(core.metrics)
        core.metrics.endpoints.set({}, len(core.directory.entries))
        core.metrics.limited_endpoints.set({}, len(core.limits.known.limited()))
        core.metrics.cut_off.set({}, int(core.reach.cut_off))
        core.metrics.store_era.set({}, core.eras.number)
        settling = core.allowance_manager.settling_budgets()
        core.metrics.budgets_settling.set({}, settling)
        core.metrics.reservations_held.set({}, self.budgets.holder.held_count)
        core.metrics.settlements_waiting.set({}, self.budgets.links.unsettled_count)
        version = core.route_index.configuration.version if core.route_index else 0
        core.metrics.configuration_version.set({}, version)
        accepts = tuple(request.headers.getall("Accept", []))
        return web.Response(body=core.metrics.render(accepts))

    def _followed_tables(self) -> tuple[FollowedTable, ...]:
        """Returns the tables of configuration, endpoints and fleet, in this order."""
        documents = self.adapter.documents
        wait_s = self.core.settings.tuning.feed_wait_s
        return (
            FollowedTable(
                documents.configuration_table,
                wait_s,
                self._apply_configuration,
                _no_action,
                self._record_response,
            ),
            FollowedTable(
                documents.endpoint_table,
                wait_s,
                self._apply_endpoints,
                self._store_returned,
                self._record_response,
            ),
            FollowedTable(
                FLEET_TABLE,
                FLEET_LONG_POLL_S,
                self._apply_fleet,
                _no_action,
                self._record_response,
            ),
        )

    def _start_tasks(self) -> None:
        core = self.core
        freshness_trackers = (
            core.configuration_freshness,
            core.directory_freshness,
            core.fleet_freshness,
        )
        for number, followed in enumerate(self._followed_tables()):
            self._start_task(
                partial(
                    follow_table,
                    self.table,
                    followed,
                    freshness_trackers[number],
                    self.clock,
                    self.seed + number,
                    lambda: core.eras.current,
                )
            )
        for task in (
            expire_endpoints,
            maintain_grants,
            record_streams,
            report_spending,
            restore_budgets,
            watch_reach,
        ):
            self._start_task(partial(task, core))
        self._start_task(partial(resend_settlements, self.budgets.links))
        self._start_task(partial(ask_peers, self.budgets.restorations))

    def _apply_configuration(self, changes: Changes) -> None:
        """Replaces the configuration."""
        core = self.core
        core.route_index = apply_configuration(
            core.route_index, changes, self.adapter.documents, core.allowance_manager
        )

    def _apply_endpoints(self, changes: Changes) -> None:
        """Applies endpoints that were added, changed or removed."""
        core = self.core
        change = apply_endpoints(
            core.directory, changes, self.adapter.documents, self.clock()
        )
        core.placement.forget(change.ended)
        core.directory_loaded = True

    def _record_response(self, response: TableResponse) -> None:
        """Counts the rows and bytes of a response of the store."""
        labels = {"table": response.table}
        metrics = self.core.metrics
        metrics.table_transfer_s.observe(labels, response.transfer_s)
        metrics.table_bytes.add(labels, response.received_bytes)
        metrics.superseded_rows.add(labels, response.superseded)

    def _store_returned(self) -> None:
        """Gives expired entries time to reappear after an outage of the store."""
        self.core.directory.store_returned(self.clock())

    def _count_failure(self) -> None:
        self.core.metrics.store_away.inc({})

    def _enter_era(self) -> None:
        """Moves the budgets on after the store came back from an older copy."""
        self.core.metrics.era_changes.inc({})
        self.core.allowance_manager.enter_era()
        self.core.limits.permits.enter_era()
        self.core.versions.enter_era()
        self.core.relay_keys.enter_era()

    def _apply_fleet(self, changes: Changes) -> None:
        """Applies changes that other gateways wrote to the fleet table."""
        core = self.core
        core.fleet.apply(changes)
        vm_count = len(core.fleet.vms)
        core.limits.apply(changes, vm_count)
        core.versions.apply(changes)
        core.relay_keys.apply(changes)
        self.budgets.update_vms(core.fleet.peers.peers.values(), vm_count)

    def _start_task(self, work: Callable[[], Awaitable[None]]) -> None:
        self.tasks.append(asyncio.create_task(keep_running(work)))

    async def _shut_down(self) -> None:
        core = self.core
        log_event(Event.PROCESS_STOPPING, in_flight=core.in_flight)
        deadline = self.clock() + core.settings.bounds.grace_s - SIGKILL_MARGIN_S
        core.begin_stop(deadline)
        await asyncio.sleep(READINESS_PROPAGATION_S)
        core.rejecting_calls = True
        self.budgets.stop_accepting()
        await self._wait_until_idle(deadline - GRANT_RETURN_TIMEOUT_S)
        for task in self.tasks:
            task.cancel()
        try:
            async with asyncio.timeout(GRANT_RETURN_TIMEOUT_S):
                await core.allowance_manager.return_all()
                await core.fleet.withdraw()
        except TimeoutError:
            log_event(Event.GRANTS_NOT_RETURNED, timeout_s=GRANT_RETURN_TIMEOUT_S)
        await self._wait_until_idle(deadline)
        core.endpoints_closed = True
        await self.endpoint_session.close()
        await self._wait_until_idle(self.clock() + LAST_ANSWERS_S)
        log_event(Event.PROCESS_STOPPED, in_flight=core.in_flight)
        self.budgets.close()
        await self.store_session.close()

    async def _wait_until_idle(self, deadline: float) -> None:
        """Waits until no call is in flight, at most until ``deadline``."""
        for _ in range(int((deadline - self.clock()) / IDLE_POLL_S)):
            if not self.core.in_flight:
                return
            await asyncio.sleep(IDLE_POLL_S)


def _no_action() -> None:
    """Does nothing after an outage: the rows of this table do not expire."""
