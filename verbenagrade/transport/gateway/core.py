"""The state that all connections of a gateway process share."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass

import aiohttp

from verbenagrade.coordination.allowances import AllowanceManager
from verbenagrade.coordination.fleet_budgets import FleetBudgets
from verbenagrade.coordination.fleet_limits import FleetLimits
from verbenagrade.coordination.gateway_fleet import GatewayFleet
from verbenagrade.coordination.relay_keys import RelayKeys
from verbenagrade.coordination.store_eras import StoreEras
from verbenagrade.coordination.stream_versions import StreamVersions
from verbenagrade.coordination.table_feed import TableFreshness
from verbenagrade.metrics.gateway import GatewayMetrics
from verbenagrade.protocol.calls import CallFormat
from verbenagrade.protocol.relay import NonceMemory
from verbenagrade.settings.gateway import GatewaySettings
from verbenagrade.state.brittle_endpoints import BrittleEndpoints
from verbenagrade.state.call_durations import CallDurations
from verbenagrade.state.directory import EndpointDirectory, EndpointEntry
from verbenagrade.state.endpoint_pauses import EndpointPauses
from verbenagrade.state.placement import PlacementTable
from verbenagrade.state.retry_budget import RetryBudget, RetryPolicy
from verbenagrade.state.routes import RouteIndex
from verbenagrade.transport.clients.shared import Clients
from verbenagrade.transport.gateway.send_limits import SendLimit

__all__ = ["BrokenCall", "CrashCheck", "GatewayCore", "Reach"]


FLEET_PATIENCE_S = 2.0
"""Time after the start, in seconds, for which a process is not ready because it does
not know yet what crashes endpoints. A store that is partly down must not keep it
longer."""


STREAM_LIFE_FACTOR = 2.0
MIN_STREAM_LIFE_S = 20.0
"""The longest time in which callers take a stream up, as a multiple of the longest
timeout of a route, and its minimum in seconds."""


@dataclass(frozen=True, slots=True)
class BrokenCall:
    """A call that an endpoint broke off ``at`` a time in seconds.

    ``parts`` are those of its prompt that may be at fault if the endpoint crashed.
    """

    digest: str
    parts: tuple[str, ...]
    at: float


class CrashCheck:
    """The calls that an endpoint broke off, until it is known whether it crashed.

    ``new`` are those after which it was not yet asked for a connection. It accepted one
    after those in ``accepted``. After those in ``silent`` it did not respond, or this
    VM reached no endpoint.
    """

    def __init__(self) -> None:
        self.new: list[BrokenCall] = []
        self.accepted: list[BrokenCall] = []
        self.silent: list[BrokenCall] = []

    @property
    def pending(self) -> bool:
        """Whether there are any calls."""
        return bool(self.new or self.accepted or self.silent)

    def drop_before(self, oldest_at: float) -> None:
        """Forgets the calls from before a time, in seconds."""
        self.accepted = [call for call in self.accepted if call.at >= oldest_at]
        self.silent = [call for call in self.silent if call.at >= oldest_at]


class Reach:
    """The last connection to an endpoint, and whether none succeeds any more.

    ``connected_at`` is when the last connection that succeeded was begun, in seconds.
    ``cut_off`` is set while no endpoint can be reached. ``survey`` is the task that
    finds that out.
    """

    def __init__(self) -> None:
        self.connected_at = float("-inf")
        self.cut_off = False
        self.survey: asyncio.Task[None] | None = None

    def record_connected(self, begun_at: float) -> None:
        """Records that a connection succeeded which was begun at a time in seconds."""
        self.connected_at = max(self.connected_at, begun_at)


class GatewayCore:
    """The state of a gateway: configuration, endpoints, budgets and counters.

    While ``stopping`` is set, the readiness check fails and responses close their
    connections. Calls in flight are broken off at ``ends_at``, in seconds, which is
    ``None`` before; ``send_limits`` are those of calls that no endpoint has yet. While
    ``rejecting_calls`` is set, new calls are refused. Once ``endpoints_closed`` is set,
    connections to endpoints are closed from here.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        call_format: CallFormat,
        session: aiohttp.ClientSession,
        allowance_manager: AllowanceManager,
        fleet: GatewayFleet,
        placement: PlacementTable,
        directory: EndpointDirectory,
        clock: Callable[[], float],
        seed: int,
        eras: StoreEras,
        limits: FleetLimits,
        versions: StreamVersions,
        relay_keys: RelayKeys,
        budgets: FleetBudgets,
        clients: Clients,
    ) -> None:
        self.settings = settings
        self.call_format = call_format
        self.session = session
        self.allowance_manager = allowance_manager
        self.fleet = fleet
        self.placement = placement
        self.directory = directory
        self.clock = clock
        self.eras = eras
        self.limits = limits
        self.versions = versions
        self.relay_keys = relay_keys
        self.budgets = budgets
        self.relay_nonces = NonceMemory()
        self.reach = Reach()
        self.pauses = EndpointPauses()
        self.brittle = BrittleEndpoints(lambda: len(fleet.vms))
        self.calls_waiting_for_room = 0
        self.random = random.Random(seed)
        self.route_index: RouteIndex | None = None
        self.configuration_freshness = TableFreshness(clock())
        self.directory_freshness = TableFreshness(clock())
        self.fleet_freshness = TableFreshness(clock())
        self.directory_loaded = False
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.metrics = GatewayMetrics()
        self.in_flight = 0
        self.clients = clients
        self.started_at = clock()
        self.stopping = False
        self.ends_at: float | None = None
        self.send_limits: set[SendLimit] = set()
        self.durations = CallDurations()
        self.rejecting_calls = False
        self.endpoints_closed = False
        self.background: set[asyncio.Task[None]] = set()
        self.crash_checks: dict[str, CrashCheck] = {}

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send new calls to this process."""
        running_s = self.clock() - self.started_at
        fleet_known = self.fleet.loaded or running_s > FLEET_PATIENCE_S
        loaded = self.route_index is not None and self.directory_loaded
        return loaded and fleet_known and not self.stopping

    @property
    def stream_life_s(self) -> float:
        """The longest time in which callers take a stream up, in seconds."""
        if self.route_index is None:
            return MIN_STREAM_LIFE_S
        routes = self.route_index.configuration.routes
        longest_s = max((route.timeout_s for route in routes), default=0.0)
        return max(MIN_STREAM_LIFE_S, STREAM_LIFE_FACTOR * longest_s)

    def begin_stop(self, ends_at: float) -> None:
        """Begins the stop of the process, which breaks off calls at ``ends_at``."""
        self.stopping = True
        self.ends_at = ends_at
        for limit in self.send_limits:
            limit.apply(self.clock(), ends_at)

    def run_in_background(self, coroutine: Coroutine[None, None, None]) -> None:
        """Runs a coroutine as a task that no caller waits for."""
        task = asyncio.create_task(coroutine)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    def retry_budget(self, service: str) -> RetryBudget:
        """Returns the retry budget of a service."""
        return self.retry_budgets.setdefault(service, RetryBudget())

    def take_retry(self, service: str, now: float) -> bool:
        """Takes one retry from a service's budget; returns false if none is left."""
        budget = self.retry_budget(service)
        return budget.take_retry(self._retry_policy(), len(self.fleet.vms), now)

    def has_retry(self, service: str, now: float) -> bool:
        """Returns whether a service's budget has a retry left."""
        budget = self.retry_budget(service)
        return budget.has_retry(self._retry_policy(), len(self.fleet.vms), now)

    def _retry_policy(self) -> RetryPolicy:
        bounds = self.settings.bounds
        return RetryPolicy(
            bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack
        )

    def endpoints(self, service: str) -> tuple[EndpointEntry, ...]:
        """Returns the endpoints of a service that accept new calls of this VM."""
        ready = self.directory.ready(service)
        return tuple(entry for entry in ready if self.takes_call(entry))

    def takes_call(self, entry: EndpointEntry) -> bool:
        """Returns whether an endpoint wants a call of this VM now."""
        now = self.clock()
        in_flight = self.placement.stats(entry.name).in_flight
        return not self.pauses.is_paused(
            entry.incarnation, now
        ) and self.brittle.has_room(entry, in_flight, now)

    def lacks_room(self, service: str) -> bool:
        """Returns whether a call of this VM has to end before the next one begins."""
        now = self.clock()
        return any(
            not self.pauses.is_paused(entry.incarnation, now)
            and not self.takes_call(entry)
            for entry in self.directory.ready(service)
        )
