"""Settings types of ``verbenagrade-gateway``."""

from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

from verbenagrade.settings.types import Count, LogLevel, Name, Port, Seconds

__all__ = [
    "BoundSettings",
    "GatewaySettings",
    "ListenSettings",
    "StoreSettings",
    "TuningSettings",
]

Milliseconds = Annotated[float, Meta(ge=0, le=86_400_000)]
Fraction = Annotated[float, Meta(ge=0, le=1)]


@dataclass(frozen=True, slots=True)
class ListenSettings:
    """The addresses that a gateway listens on; ``IP:PORT`` unless split in two."""

    callers: Annotated[str, Meta(description="Address to serve callers on, `IP:PORT`.")]
    ready: Annotated[
        str, Meta(description="Address of the readiness check, `IP:PORT`.")
    ]
    metrics_ip: Annotated[str, Meta(description="IP address to serve metrics on.")]
    metrics_port: Annotated[Port, Meta(description="Port to serve metrics on.")]
    relay_ip: Annotated[
        str, Meta(description="IP address to serve calls of other VMs on.")
    ]
    relay_port: Annotated[
        Port, Meta(description="Port to serve calls of other VMs on.")
    ]
    reservation_ports: Annotated[
        tuple[Port, Port],
        Meta(
            description="First and last port of the range in which a free one serves"
            " reservations of other VMs, at `relay_ip`."
        ),
    ] = (0, 0)


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """How to reach the platform's store."""

    address: Annotated[str, Meta(description="Address of the store, `IP:PORT`.")]
    writes_per_s: Annotated[
        Count,
        Meta(description="Write calls a second that the store takes from all VMs."),
    ] = 800


@dataclass(frozen=True, slots=True)
class BoundSettings:
    """Limits that the deployment guarantees to its users."""

    drain_ms: Annotated[
        Milliseconds,
        Meta(
            description="Maximum time in which a leaving endpoint may still receive"
            " new calls, in milliseconds."
        ),
    ]
    grace_s: Annotated[
        Seconds, Meta(description="Time between SIGTERM and SIGKILL, in seconds.")
    ]
    retry_ratio: Annotated[
        Fraction,
        Meta(description="Maximum retries at a service per request to it."),
    ]
    retry_window_s: Annotated[
        Seconds, Meta(description="Window in which retries are counted, in seconds.")
    ]
    retry_slack: Annotated[
        float,
        Meta(
            ge=0,
            description="Retries per window beyond the ratio, for all VMs together.",
        ),
    ]
    revoke_ms: Annotated[
        Milliseconds,
        Meta(
            description="Maximum time until a revoked key is refused, in milliseconds."
        ),
    ]
    strict_revoke: Annotated[
        bool,
        Meta(description="Refuse requests when revocations may have been missed."),
    ] = False


@dataclass(frozen=True, slots=True)
class TuningSettings:
    """Internal parameters of the gateway, which guarantee nothing to its users."""

    feed_wait_s: Annotated[
        Seconds,
        Meta(
            description="Maximum time for which the store may hold a feed request open,"
            " in seconds."
        ),
    ] = 2.5
    store_timeout_s: Annotated[
        Seconds, Meta(description="Timeout of a request to the store, in seconds.")
    ] = 1.0
    connect_s: Annotated[
        Seconds,
        Meta(description="Timeout for connecting to an endpoint, in seconds."),
    ] = 0.4
    grant_horizon_s: Annotated[
        Seconds,
        Meta(
            description="Demand that a VM's grant covers while the budget is unspent,"
            " in seconds."
        ),
    ] = 25.0
    era_settle_s: Annotated[
        Seconds,
        Meta(
            description="Time after the store came back from an older copy during which"
            " no tokens are granted, so that each VM can restore its grants, in"
            " seconds."
        ),
    ] = 4.0
    era_silence_s: Annotated[
        Seconds,
        Meta(
            description="Time after the store came back from an older copy during which"
            " no tokens are granted while a VM neither reaches the store nor can be"
            " asked what it was granted, in seconds."
        ),
    ] = 10.0
    log_lines_per_s: Annotated[
        Count,
        Meta(
            description="Maximum log lines per second; lines beyond this are dropped"
            " and counted."
        ),
    ] = 200


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """All settings of ``verbenagrade-gateway``."""

    vm: Annotated[Name, Meta(description="This VM's name.")]
    data_centre: Annotated[Name, Meta(description="This VM's data centre.")]
    regions: Annotated[
        dict[str, str], Meta(description="Region of each data centre, by its name.")
    ]
    listen: ListenSettings
    store: StoreSettings
    bounds: BoundSettings
    memory_mb: Annotated[
        Count, Meta(description="Memory available to the process, in MB.")
    ]
    max_descriptors: Annotated[
        int,
        Meta(
            ge=0,
            description="Descriptors available to the process; 0 for as many as the"
            " operating system allows. A larger number than that has no effect.",
        ),
    ] = 0
    tuning: TuningSettings = field(default_factory=TuningSettings)
    log_level: Annotated[
        LogLevel, Meta(description="Minimum level of logged events.")
    ] = "info"
