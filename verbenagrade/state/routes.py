"""The configuration of a gateway, and the lookup of routes and workspaces."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from verbenagrade.state.calls import CallKind

__all__ = [
    "CallerLimits",
    "GatewayConfiguration",
    "RouteEntry",
    "RouteIndex",
    "ServiceEntry",
    "ServiceShare",
    "WorkspaceEntry",
]


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service of a route, with the weight that determines its share of the calls."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class RouteEntry:
    """A route: which calls match it, which services get them, and its limits.

    ``timeout_s`` is the longest time for a call and ``target_latency_s`` the target
    latency of its first response. ``priority`` 0 is the most urgent. ``max_runs`` is
    the largest number of endpoints that one call may run on. ``public`` routes need no
    key. With ``affinity``, calls whose prompts share parts prefer the same endpoint.
    ``target_gap_s`` is the target gap between events.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    target_latency_s: float
    priority: int = 0
    max_runs: int = 1
    public: bool = False
    affinity: bool = False
    target_gap_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ServiceEntry:
    """A service that endpoints provide.

    ``max_connections`` is the configured limit on connections.
    ``tokens_per_event`` is the most tokens that one event of a stream contains.
    ``memory_tokens`` is the number of tokens that one endpoint can keep in memory,
    0 if it is not an engine.
    """

    name: str
    health_path: str
    max_connections: int
    engine: bool = False
    tokens_per_event: int = 1
    memory_tokens: int = 0


@dataclass(frozen=True, slots=True)
class WorkspaceEntry:
    """A workspace: its API keys, its priority and its prepaid tokens.

    ``priority`` replaces the priority of the route unless it is ``None``. ``prepaid``
    is ``None`` if the workspace has no budget.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    prepaid: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of requests, and on the time that callers may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class GatewayConfiguration:
    """One complete version of the configuration.

    If ``requires_key``, calls need the key of a workspace, except on public routes.
    """

    version: int
    routes: tuple[RouteEntry, ...]
    services: tuple[ServiceEntry, ...]
    workspaces: tuple[WorkspaceEntry, ...]
    limits: CallerLimits = field(default_factory=CallerLimits)
    requires_key: bool = False


class RouteIndex:
    """Finds routes by host and longest path prefix, and workspaces by API key.

    >>> route = RouteEntry("r", "h", "/a/", CallKind.IDEMPOTENT, (), 1.0, 1.0)
    >>> index = RouteIndex(GatewayConfiguration(1, (route,), (), ()))
    >>> index.find("h", "/a/b").name
    'r'
    >>> index.find("h", "/b") is None
    True
    """

    def __init__(self, configuration: GatewayConfiguration) -> None:
        self.configuration = configuration
        self.routes: dict[tuple[str, str], RouteEntry] = {
            (route.host.lower(), route.prefix): route for route in configuration.routes
        }
        self.services: Mapping[str, ServiceEntry] = {
            service.name: service for service in configuration.services
        }
        self.workspaces: Mapping[str, WorkspaceEntry] = {
            key: workspace
            for workspace in configuration.workspaces
            for key in workspace.keys
        }

    def find(self, host: str, path: str) -> RouteEntry | None:
        """Returns the route with the longest prefix of the path, or ``None``."""
        name = host.lower()
        for prefix in prefixes(path):
            route = self.routes.get((name, prefix))
            if route is not None:
                return route
        return None


def prefixes(path: str) -> Iterable[str]:
    """Yields the prefixes of a path that end with a slash, longest first.

    >>> list(prefixes("/a/b/c?x=/y"))
    ['/a/b/', '/a/', '/']
    """
    end = path.partition("?")[0].rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)
