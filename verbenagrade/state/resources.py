"""The resources that operators declare."""

from dataclasses import dataclass, field

from verbenagrade.state.demand import HoldPolicy

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
    identify its callers, and ``routes`` are the ones they may use.
    """

    kind = "workspace"
    budget: str
    api_keys: tuple[str, ...]
    routes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Budget:
    """A prepaid budget of one workspace.

    ``prepaid`` is the total ever paid for, in tokens.
    """

    kind = "budget"
    workspace: str
    prepaid: int
    hold: HoldPolicy = field(default_factory=HoldPolicy)


@dataclass(frozen=True, slots=True)
class Route:
    """A name that callers use, and the pool behind it.

    ``tokens_per_call`` is the price of one call to a plain service.
    ``default_answer_tokens`` bounds an answer whose caller gave no bound.
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
    """Endpoints that serve the same thing.

    ``engine`` tells model engines, which stream tokens, from plain services.
    ``leaving`` names endpoints that get no new work.
    """

    kind = "pool"
    endpoints: tuple[EndpointAddress, ...]
    engine: bool = True
    leaving: tuple[str, ...] = ()


Spec = Workspace | Budget | Route | Pool


@dataclass(frozen=True, slots=True)
class Resource:
    """A declared resource with its place in the order of revisions.

    ``generation`` counts the changes of this resource, ``revision`` those of
    the whole configuration.
    """

    kind: str
    name: str
    generation: int
    revision: int
    spec: Spec
