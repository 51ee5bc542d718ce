"""Tells operators which endpoint sent something that is no valid response."""

from collections.abc import Iterator
from contextlib import contextmanager

from verbenagrade.events import Event, log_event
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.transport.checked_responses import InvalidResponseError
from verbenagrade.transport.gateway.core import GatewayCore

__all__ = ["report_invalid"]


@contextmanager
def report_invalid(
    core: GatewayCore, call_id: str, entry: EndpointEntry
) -> Iterator[None]:
    """Logs and counts an ``InvalidResponseError`` that is raised in the context."""
    try:
        yield
    except InvalidResponseError as error:
        log_event(
            Event.RESPONSE_INVALID,
            call=call_id,
            endpoint=entry.name,
            reason=str(error),
        )
        core.metrics.responses_invalid.inc({})
        raise
