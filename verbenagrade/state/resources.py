"""The resources that operators declare."""

from dataclasses import dataclass, field

from verbenagrade.state.demand import GrantPolicy

__all__ = [
    "Budget",
    "EndpointAddress",
    "Pool",
    "Resource",
    "Route",
    "Spec",
    "Workspace",
]


@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer's workspace.

    ``budget`` is charged for requests that name no other budget. ``api_keys``
    identify its callers, and ``routes`` names the routes that they may use.
    """

    kind = "workspace"
    budget: str
    api_keys: tuple[str, ...]
    routes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Budget:
    """A prepaid budget of one workspace.

    ``prepaid`` is the total number of tokens ever paid for. ``hold`` says how many
    tokens a holder may keep in advance.
    """

    kind = "budget"
    workspace: str
    prepaid: int
    hold: GrantPolicy = field(default_factory=GrantPolicy)


@dataclass(frozen=True, slots=True)
class Route:
    """A route that callers use by name, and its pool of endpoints.

    ``tokens_per_call`` is the price of one call to a plain service.
    ``default_answer_tokens`` limits a completion if the caller set no limit, and
    ``minimum_answer_tokens`` is the shortest such completion that is useful.
    """

    kind = "route"
    pool: str
    tokens_per_call: int = 0
    default_answer_tokens: int = 1024
    minimum_answer_tokens: int = 16


@dataclass(frozen=True, slots=True)
class EndpointAddress:
    """One endpoint of a pool."""

    name: str
    url: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class Pool:
    """Endpoints that provide the same service.

    ``engine`` is true for model engines, which stream tokens, and false for plain
    services. ``leaving`` names endpoints that get no new requests.
    """

    kind = "pool"
    endpoints: tuple[EndpointAddress, ...]
    engine: bool = True
    leaving: tuple[str, ...] = ()


Spec = Workspace | Budget | Route | Pool


@dataclass(frozen=True, slots=True)
class Resource:
    """A declared resource and its version.

    ``generation`` counts the changes of this resource. ``revision`` counts the
    changes of the whole configuration up to the last one of this resource.
    """

    kind: str
    name: str
    generation: int
    revision: int
    spec: Spec
