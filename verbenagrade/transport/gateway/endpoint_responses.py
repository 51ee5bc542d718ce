"""Decides whether a response is that of an endpoint to a call.

Nothing that a response says is passed on, counted or believed before that. One that is
none leaves the outcome of the call unknown.
"""

from collections.abc import Iterator
from contextlib import contextmanager

import aiohttp

from verbenagrade.events import Event, log_event
from verbenagrade.protocol.calls import ResponseHead, find_sender_fault
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.transport.checked_responses import InvalidResponseError
from verbenagrade.transport.gateway.core import GatewayCore

__all__ = ["read_endpoint_head", "report_invalid"]


def read_endpoint_head(
    core: GatewayCore, response: aiohttp.ClientResponse, call_id: str
) -> ResponseHead:
    """Returns the head of an endpoint's response to a call.

    Raises ``InvalidResponseError`` if the response is that of another sender, or to
    another call.
    """
    head = core.call_format.read_response_head(
        response.status, response.headers, call_id
    )
    if fault := find_sender_fault(head):
        raise InvalidResponseError(f"status {head.status}: {fault}")
    return head


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
