"""Decodes the documents in the platform's store.

Operators write the gateway configuration, and each endpoint writes an entry that
describes itself.
"""

from typing import Annotated

import msgspec

from verbenagrade.exceptions import UndecodableError
from verbenagrade.state.calls import CallKind
from verbenagrade.state.decoding import (
    Count,
    Number,
    decode_json,
    is_address,
)
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.state.documents import DocumentError, DocumentFormat
from verbenagrade.state.routes import (
    CallerLimits,
    GatewayConfiguration,
    RouteEntry,
    ServiceEntry,
    ServiceShare,
    WorkspaceEntry,
)

__all__ = ["DOCUMENT_FORMAT", "decode_configuration", "decode_endpoint"]

MS_PER_S = 1000
ENDPOINT_STATES = ("ready", "draining")

MAX_SLOTS = 100_000
"""Largest number of slots, far above the some 300 calls that an engine runs at once."""

MAX_NAME_LENGTH = 200
"""Largest length of the names in an entry, in characters. They become parts of headers
and of the keys of rows."""

MAX_TIME_MS = 1e11
"""Largest time in a configuration in milliseconds, some three years."""

MAX_WEIGHT = 1e9
"""Largest weight of a service, so that sums of weights stay exact enough."""

Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_TIME_MS)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=MAX_WEIGHT)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
StartTime = Annotated[float, msgspec.Meta(ge=0, le=2**53)]


class WireShare(msgspec.Struct, frozen=True):
    """A service in ``traffic_split`` and its share of the route's calls."""

    service: str
    weight: Weight = 1.0


class WireRoute(msgspec.Struct, frozen=True):
    """A route of the configuration.

    For a stream, ``target_latency_ms`` is measured up to the first event.
    """

    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: Milliseconds
    target_latency_ms: Milliseconds = 1000.0
    priority: Number = 0
    service: str | None = None
    traffic_split: tuple[WireShare, ...] = ()
    max_attempts: Number = 1
    public: bool = False
    session_affinity: bool = False
    stream_resume: bool = False
    gap_aim_ms: Milliseconds = 0.0


class WireEngine(msgspec.Struct, frozen=True):
    """The model engine of a service.

    ``stride`` is the maximum number of tokens in one event. ``kv_capacity_tokens``
    is the capacity of the key-value cache, in tokens, which running and cached
    prompts share.
    """

    stride: Count = 1
    kv_capacity_tokens: Count = 0


class WireService(msgspec.Struct, frozen=True):
    """A service of the configuration; ``engine`` is set if it runs a model."""

    name: str
    health_path: str = "/"
    max_connections: Number = 100
    engine: WireEngine | None = None


class WireTenant(msgspec.Struct, frozen=True):
    """A workspace. ``prepaid`` is its budget for one day, in tokens."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: Number | None = None
    prepaid: Number | None = None


class WireLimits(msgspec.Struct, frozen=True):
    """Size limits and timeouts for the requests of callers."""

    max_header_bytes: Count = 16_384
    max_body_bytes: Count = 4_194_304
    header_timeout_ms: Milliseconds = 3000
    idle_timeout_ms: Milliseconds = 15_000


class WireConfiguration(msgspec.Struct, frozen=True):
    """A configuration document.

    Calls need no API key if ``tenants`` is missing.
    """

    version: Number
    routes: tuple[WireRoute, ...]
    services: tuple[WireService, ...]
    limits: WireLimits = WireLimits()
    tenants: tuple[WireTenant, ...] | None = None


class WireEntry(msgspec.Struct, frozen=True):
    """The entry that an endpoint writes about itself.

    ``born`` is its start time as a Unix timestamp in milliseconds. ``version`` is that
    of its software, not of the weights.
    """

    service: str
    address: str
    zone: str
    slots: Slots
    state: str
    born: StartTime = 0
    version: str = ""


def decode_configuration(data: bytes) -> GatewayConfiguration:
    """Decodes a configuration document.

    Raises ``DocumentError`` if the document is not a valid configuration.
    """
    try:
        wire = decode_json(data, WireConfiguration)
        routes = tuple(_decode_route(route) for route in wire.routes)
    except (UndecodableError, KeyError) as error:
        raise DocumentError(f"configuration: {error}") from error
    return GatewayConfiguration(
        version=wire.version,
        routes=routes,
        services=tuple(_decode_service(service) for service in wire.services),
        workspaces=tuple(
            WorkspaceEntry(
                w.name,
                w.api_keys,
                w.priority,
                None if w.prepaid is None else max(0, w.prepaid),
            )
            for w in wire.tenants or ()
        ),
        limits=CallerLimits(
            wire.limits.max_header_bytes,
            wire.limits.max_body_bytes,
            wire.limits.header_timeout_ms / MS_PER_S,
            wire.limits.idle_timeout_ms / MS_PER_S,
        ),
        requires_key=wire.tenants is not None,
    )


def decode_endpoint(name: str, data: bytes) -> EndpointEntry:
    """Decodes the entry of the endpoint ``name``.

    Raises ``DocumentError`` if the entry is malformed; processes other than
    endpoints can write to the same table.
    """
    try:
        wire = decode_json(data, WireEntry)
    except UndecodableError as error:
        raise DocumentError(f"entry {name!a:.200}: {error}") from error
    if wire.state not in ENDPOINT_STATES or not is_address(wire.address):
        raise DocumentError(f"entry {name!a:.200}: invalid state or address")
    if not all(map(_is_name, (name, wire.service))) or not _is_label(wire):
        raise DocumentError(
            f"entry {name!a:.200}: a name is missing, too long or not printable"
        )
    return EndpointEntry(
        name=name,
        service=wire.service,
        address=wire.address,
        data_centre=wire.zone,
        slots=wire.slots,
        leaving=wire.state == "draining",
        started_ms=int(wire.born),
        software_version=wire.version,
    )


def _is_name(text: str) -> bool:
    return bool(text) and _is_short(text)


def _is_label(wire: WireEntry) -> bool:
    return _is_short(wire.zone) and _is_short(wire.version)


def _is_short(text: str) -> bool:
    return len(text) <= MAX_NAME_LENGTH and text.isprintable()


def _decode_route(wire: WireRoute) -> RouteEntry:
    shares = tuple(ServiceShare(s.service, s.weight) for s in wire.traffic_split)
    if not shares and wire.service is not None:
        shares = (ServiceShare(wire.service, 1.0),)
    return RouteEntry(
        name=wire.name,
        host=wire.host,
        prefix=wire.prefix,
        kind=_call_kind(wire),
        shares=shares,
        timeout_s=wire.timeout_ms / MS_PER_S,
        target_latency_s=wire.target_latency_ms / MS_PER_S,
        priority=wire.priority,
        max_runs=max(1, wire.max_attempts),
        public=wire.public,
        affinity=wire.session_affinity,
        target_gap_s=wire.gap_aim_ms / MS_PER_S,
    )


def _call_kind(wire: WireRoute) -> CallKind:
    if wire.kind == "streaming":
        resumable = wire.stream_resume
        return CallKind.RESUMABLE_STREAM if resumable else CallKind.SINGLE_STREAM
    return {"safe": CallKind.IDEMPOTENT, "unsafe": CallKind.AT_MOST_ONCE}[wire.kind]


def _decode_service(wire: WireService) -> ServiceEntry:
    return ServiceEntry(
        name=wire.name,
        health_path=wire.health_path,
        max_connections=wire.max_connections,
        engine=wire.engine is not None,
        tokens_per_event=wire.engine.stride if wire.engine else 1,
        memory_tokens=wire.engine.kv_capacity_tokens if wire.engine else 0,
    )


DOCUMENT_FORMAT = DocumentFormat(
    configuration_table="op",
    configuration_key="op//config",
    endpoint_table="servers",
    decode_configuration=decode_configuration,
    decode_endpoint=decode_endpoint,
)
