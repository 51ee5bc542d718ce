"""Settings types of ``verbenagrade-router`` and ``verbenagrade-control``.

The settings reference shows the ``Meta`` description of each field.
"""

from dataclasses import dataclass, field
from typing import Annotated, Literal

from msgspec import Meta

__all__ = [
    "ControlSettings",
    "LimitSettings",
    "LogLevel",
    "PlatformSettings",
    "RouterSettings",
    "TimingSettings",
]

Name = Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9-]*$")]
Port = Annotated[int, Meta(ge=1, le=65535)]
Seconds = Annotated[float, Meta(gt=0, le=86400)]
Count = Annotated[int, Meta(ge=1)]
Url = Annotated[str, Meta(pattern="^https?://")]
LogLevel = Literal["debug", "info", "warning", "error"]


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """The URLs of the platform's services and the timeout of requests to them."""

    table_url: Annotated[Url, Meta(description="Base URL of the table service.")]
    objects_url: Annotated[Url, Meta(description="Base URL of the object store.")]
    vm_list_url: Annotated[Url, Meta(description="Base URL of the VM list.")]
    timeout_s: Annotated[
        Seconds, Meta(description="Timeout of one request, in seconds.")
    ] = 2.0


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Upper limits on the work that one router accepts."""

    body_bytes: Annotated[
        Count, Meta(description="Maximum size of a request body, in bytes.")
    ] = 1_048_576
    client_memory_mb: Annotated[
        Count,
        Meta(
            description="Memory that clients may make the process take, in MB, beyond"
            " what it needs without any."
        ),
    ] = 64
    in_flight: Annotated[
        Count, Meta(description="Maximum requests served concurrently.")
    ] = 2_000
    unsettled_attempts: Annotated[
        Count,
        Meta(
            description="Maximum requests that are running or whose bill is not"
            " durable yet."
        ),
    ] = 30_000
    unwritten_bills: Annotated[
        Count,
        Meta(description="Maximum bills waiting to be written to the object store."),
    ] = 30_000


@dataclass(frozen=True, slots=True)
class TimingSettings:
    """Periods and timeouts, all in seconds."""

    journal_s: Annotated[
        Seconds, Meta(description="Period at which journal batches are written.")
    ] = 2.0
    settle_s: Annotated[
        Seconds, Meta(description="Period at which bills are sent to grant holders.")
    ] = 0.5
    tend_s: Annotated[
        Seconds, Meta(description="Period at which grants are refilled or returned.")
    ] = 1.0
    configuration_s: Annotated[
        Seconds, Meta(description="Period at which new revisions are polled.")
    ] = 1.0
    vm_list_s: Annotated[
        Seconds, Meta(description="Period at which the VM list is polled.")
    ] = 2.0
    heartbeat_s: Annotated[
        Seconds,
        Meta(description="Period at which a heartbeat is sent to one other instance."),
    ] = 1.0
    peer_timeout_s: Annotated[
        Seconds, Meta(description="Timeout of a request to another instance.")
    ] = 3.0
    patience_s: Annotated[
        Seconds,
        Meta(
            description="Maximum wait for other reservations of a budget to be"
            " released."
        ),
    ] = 2.0
    connect_s: Annotated[
        Seconds, Meta(description="Timeout for connecting to an endpoint.")
    ] = 1.0
    progress_s: Annotated[
        Seconds,
        Meta(description="Maximum time without data from an endpoint in a request."),
    ] = 30.0
    recovery_s: Annotated[
        Seconds, Meta(description="Period of the check for lost instances.")
    ] = 3.0


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """All settings of ``verbenagrade-router``."""

    vm: Annotated[Name, Meta(description="This VM's name in the VM list.")]
    data_centre: Annotated[Name, Meta(description="This VM's data centre.")]
    address: Annotated[str, Meta(description="IP address to listen on.")]
    caller_port: Annotated[
        Port, Meta(description="Port to serve callers and metrics on.")
    ]
    peer_port: Annotated[
        Port, Meta(description="Port for other instances, the same on every VM.")
    ]
    platform: PlatformSettings
    limits: LimitSettings = field(default_factory=LimitSettings)
    timing: TimingSettings = field(default_factory=TimingSettings)
    log_level: Annotated[
        LogLevel, Meta(description="Minimum level of logged events.")
    ] = "info"


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """All settings of ``verbenagrade-control``."""

    vm: Annotated[Name, Meta(description="This VM's name in the VM list.")]
    data_centre: Annotated[Name, Meta(description="This VM's data centre.")]
    address: Annotated[str, Meta(description="IP address to listen on.")]
    port: Annotated[Port, Meta(description="Port to serve operators and metrics on.")]
    platform: PlatformSettings
    client_memory_mb: Annotated[
        Count,
        Meta(
            description="Memory that clients may make the process take, in MB, beyond"
            " what it needs without any."
        ),
    ] = 64
    log_level: Annotated[
        LogLevel, Meta(description="Minimum level of logged events.")
    ] = "info"
