"""The contents of call headers, independent of their names in a deployment.

Only the ``CallFormat`` of a deployment knows its header names.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from multidict import CIMultiDict

from verbenagrade.state.calls import CallHead

__all__ = ["CallFormat", "EndpointCall", "ResponseHead", "find_sender_fault"]

SUCCESSES = range(200, 300)


@dataclass(frozen=True, slots=True)
class EndpointCall:
    """The information about a call that a gateway sends to an endpoint.

    ``remaining_s`` is the time left until the deadline, in seconds. ``endpoint``
    is the only endpoint incarnation that may run the call. ``resume_after`` is
    the id of the last event that the caller has received. ``priority`` is 0 for
    the highest, or ``None`` if the endpoint takes no priority.
    """

    endpoint: str
    remaining_s: float
    workspace: str = ""
    resume_after: str = ""
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The status and the headers of an endpoint's response.

    ``not_run`` is set if the endpoint guarantees that the call did not run there.
    ``matches_call`` is false for a late response to another call, and ``names_call`` is
    set if the response tells that it is to this one. ``signed`` is set if it has the
    endpoint's signature, and ``encoded`` if its body has a content coding.
    ``limit_per_s`` is the number of calls per second that the endpoint takes from all
    VMs together, ``None`` if it names none. ``leaving`` is set if the endpoint says
    that it leaves. ``pause_s`` is the time in seconds for which it wants no call of
    this VM, ``None`` if it does not say so.
    ``rejections_per_s`` is the number of calls a second that it may turn away before it
    falls over, ``None`` if it is not brittle.
    """

    status: int
    not_run: bool
    matches_call: bool
    signed: bool
    names_call: bool = True
    encoded: bool = False
    limit_per_s: float | None = None
    leaving: bool = False
    pause_s: float | None = None
    rejections_per_s: float | None = None


def find_sender_fault(head: ResponseHead) -> str:
    """Returns why a response is not that of an endpoint to a call, empty if it is.

    Endpoints sign each success, and name the call in all that they do not sign.

    >>> find_sender_fault(ResponseHead(404, False, True, signed=False))
    ''
    >>> find_sender_fault(ResponseHead(200, False, True, signed=False))
    "a success without the endpoint's signature"
    """
    if not head.matches_call:
        return "a response to another call"
    if head.encoded:
        return "an encoded body, which no call asks for"
    if not head.signed and head.status in SUCCESSES:
        return "a success without the endpoint's signature"
    if not head.signed and not head.names_call:
        return "neither the endpoint's signature nor the id of the call"
    return ""


@dataclass(frozen=True, slots=True)
class CallFormat:
    """Functions that read and write the headers of a deployment.

    ``read_head`` takes a caller's headers and the path, and raises ``ValueError``
    for an invalid header. ``read_response_head`` takes the status and the headers of an
    endpoint and the id of the call. ``response_headers`` selects the headers to
    pass on to the caller; ``refusal_headers`` returns those of an error response
    to the call with the given id.
    """

    read_head: Callable[[Mapping[str, str], str], CallHead]
    endpoint_headers: Callable[
        [Iterable[tuple[str, str]], EndpointCall], CIMultiDict[str]
    ]
    read_response_head: Callable[[int, Mapping[str, str], str], ResponseHead]
    response_headers: Callable[[Iterable[tuple[str, str]]], CIMultiDict[str]]
    refusal_headers: Callable[[str], Mapping[str, str]]
