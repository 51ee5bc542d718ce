"""Takes notice of what endpoints say of themselves in their responses."""

from verbenagrade.events import Event, log_event
from verbenagrade.protocol.calls import ResponseHead
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.transport.gateway.core import GatewayCore

__all__ = ["HTTP_MISDIRECTED", "record_notices"]

HTTP_UNAVAILABLE = 503
HTTP_MISDIRECTED = 421
"""Status of a response that another endpoint at the same address has sent."""


def record_notices(
    core: GatewayCore,
    call_id: str,
    entry: EndpointEntry,
    head: ResponseHead,
    through_vm: bool = False,
) -> None:
    """Records what a response of an endpoint says of it.

    Each VM that passes a response on does so, also for a call of another VM. A pause
    concerns only the VM that has sent the call to the endpoint.
    """
    if head.status == HTTP_MISDIRECTED:
        return
    if head.leaving and core.directory.record_leaving(entry.incarnation):
        log_event(Event.ENDPOINT_LEAVING, call=call_id, endpoint=entry.name)
    if head.rejections_per_s is not None or head.signed:
        rejected = head.not_run and head.status == HTTP_UNAVAILABLE
        core.brittle.record_response(
            entry.incarnation, head.rejections_per_s, rejected, core.clock()
        )
    if head.pause_s and not through_vm:
        core.pauses.record(entry.incarnation, head.pause_s, core.clock())
        log_event(
            Event.ENDPOINT_PAUSED,
            call=call_id,
            endpoint=entry.name,
            pause_s=head.pause_s,
        )
