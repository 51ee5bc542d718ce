"""Decides whether a response that has ended is complete.

Only what has ended is judged here: a response that is reset, falls silent or can't be
parsed before its framing shows an end has no end, and fails where it is read.

A response with a length or in chunks shows its end itself. Otherwise the end of the
connection is all there is, and an endpoint whose process ends closes its connections
in the same way as one that has sent everything. It counts as the end of the response
only if nothing speaks against it and the endpoint goes on to accept connections.
"""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["PROCESS_EXIT_S", "EndVerdict", "Framing", "ResponseEnd", "judge_end"]

PROCESS_EXIT_S = 0.03
"""Time in seconds within which a process that ends closes its listener too. It may
close hundreds of connections before."""


class Framing(StrEnum):
    """What shows the end of a body.

    ``LENGTH``: its length, which is told before. ``CHUNKS``: the last chunk.
    ``CONNECTION``: nothing but the end of the connection.
    """

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


class EndVerdict(StrEnum):
    """What the end of a response means. All but the first say that it broke off.

    ``ENDPOINT_UNKNOWN`` means that it is complete if its endpoint lives.
    """

    COMPLETE = "complete"
    CLOSED_HERE = "this VM has closed the connection"
    ENDPOINT_UNKNOWN = "it is not known whether the endpoint lives"
    ENDPOINT_GONE = "the endpoint accepts no connections after the end of its response"
    INSIDE_EVENT = "the stream ended in the middle of an event"
    RESET = "the connection was reset during the response"
    WITHOUT_EVENTS = "the connection ended before the first event of the response"


@dataclass(frozen=True, slots=True)
class ResponseEnd:
    """What is known of a response that has ended.

    ``streams`` is set if the response is a stream of events, ``events`` counts those
    that this response has brought, not those of earlier attempts, and ``inside_event``
    is set if the last one is incomplete. ``reset`` tells whether the endpoint's
    connection ended with an error. ``endpoint_lives`` tells whether the endpoint
    accepts connections since the end, ``None`` if that is not known. ``closed_here``
    tells that this process closes its connections to endpoints.
    """

    framing: Framing
    reset: bool
    streams: bool = False
    events: int = 0
    inside_event: bool = False
    endpoint_lives: bool | None = None
    closed_here: bool = False


def judge_end(end: ResponseEnd) -> EndVerdict:
    """Returns whether a response that has ended is complete.

    >>> judge_end(ResponseEnd(Framing.CHUNKS, reset=False)).name
    'COMPLETE'
    >>> judge_end(ResponseEnd(Framing.CONNECTION, reset=False)).name
    'ENDPOINT_UNKNOWN'
    """
    if end.inside_event:
        return EndVerdict.INSIDE_EVENT
    if end.framing is not Framing.CONNECTION:
        return EndVerdict.COMPLETE
    if end.closed_here:
        return EndVerdict.CLOSED_HERE
    if end.reset:
        return EndVerdict.RESET
    if end.streams and not end.events:
        return EndVerdict.WITHOUT_EVENTS
    if end.endpoint_lives is None:
        return EndVerdict.ENDPOINT_UNKNOWN
    return EndVerdict.COMPLETE if end.endpoint_lives else EndVerdict.ENDPOINT_GONE
