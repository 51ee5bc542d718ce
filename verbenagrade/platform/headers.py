"""Decodes and encodes the HTTP headers of the users' platform."""

import math
from collections.abc import Iterable, Mapping

from multidict import CIMultiDict

from verbenagrade.exceptions import UndecodableError
from verbenagrade.protocol.calls import CallFormat, EndpointCall, ResponseHead
from verbenagrade.state.calls import CallHead, PromptPart, TokenBound
from verbenagrade.state.decoding import is_text, parse_count

__all__ = ["CALL_FORMAT"]

MS_PER_S = 1000
HTTP_UNAVAILABLE = 503
DEFAULT_DEADLINE_S = 30.0
"""Deadline of a call without a ``Deadline-Ms`` header, in seconds. The timeout of
the route is shorter in practice."""

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)

GATEWAY_HEADERS = frozenset(
    {
        "authorization",
        "tenant",
        "deadline-ms",
        "expect-instance",
        "expect-version",
        "request-priority",
        "last-event-id",
        "pin-ms",
        "hold",
        "kv-fetch",
        "kv-from",
        "kv-backup",
    }
)
"""Headers that a caller must not pass to an endpoint: only the fleet sets them."""

BEARER_PREFIX = "bearer "

MAX_NUMBER = 1e11
"""Largest number that is taken from a header, some three years in milliseconds."""


def read_head(headers: Mapping[str, str], path: str) -> CallHead:
    """Decodes the headers of a caller's request.

    Raises ``ValueError`` if a number can't be read or is negative, or if a text is not
    UTF-8.
    """
    authorization = headers.get("Authorization", "")
    key = ""
    if authorization.lower().startswith(BEARER_PREFIX):
        key = authorization[len(BEARER_PREFIX) :].strip()
    return CallHead(
        call_id=_read_text(headers, "Request-Id"),
        host=headers.get("Host", "").partition(":")[0],
        path=path,
        timeout_s=_read_deadline_s(headers),
        key=key,
        model=_read_text(headers, "Model"),
        tokens=_read_token_bound(headers),
        prompt=_read_prompt_parts(headers),
        resume_after=_read_text(headers, "Last-Event-Id"),
        resumed_call=_read_text(headers, "Resumes"),
    )


def endpoint_headers(
    received: Iterable[tuple[str, str]], call: EndpointCall
) -> CIMultiDict[str]:
    """Returns the headers of the request that the gateway sends to an endpoint.

    ``received`` are the caller's headers; those for its own connection and those
    that only the fleet may set are removed.
    """
    headers: CIMultiDict[str] = CIMultiDict()
    for name, value in received:
        if (
            name.lower() not in HOP_BY_HOP_HEADERS
            and name.lower() not in GATEWAY_HEADERS
        ):
            headers.add(name, value)
    headers["Deadline-Ms"] = str(max(1, int(call.remaining_s * MS_PER_S)))
    headers["Expect-Instance"] = call.endpoint
    if call.workspace:
        headers["Tenant"] = call.workspace
    if call.resume_after:
        headers["Last-Event-Id"] = call.resume_after
    if call.priority is not None:
        headers["Request-Priority"] = str(call.priority)
    return headers


def read_response_head(
    status: int, headers: Mapping[str, str], call_id: str
) -> ResponseHead:
    """Decodes the headers of an endpoint's response to the call ``call_id``.

    Status 421 and the header ``Not-Executed`` both state that a call did not run, and
    ``Request-Id`` which call that is. A limit that can't be read is treated as one that
    is not named.
    """
    names_call = headers.get("Request-Id", "") == call_id
    not_run = names_call and (status == 421 or "Not-Executed" in headers)
    return ResponseHead(
        status=status,
        not_run=not_run,
        matches_call=headers.get("Request-Id", call_id) == call_id,
        signed="Server-Seal" in headers,
        names_call=names_call,
        encoded=headers.get("Content-Encoding", "").lower() not in ("", "identity"),
        limit_per_s=_parse_number(headers.get("Server-Limit", "")),
        leaving=headers.get("Server-Leaving", "") == "1",
        rejections_per_s=_parse_number(headers.get("Server-Brittle", "")),
        pause_s=(
            _parse_number(headers.get("Retry-After", ""))
            if status == HTTP_UNAVAILABLE
            else None
        ),
    )


def response_headers(received: Iterable[tuple[str, str]]) -> CIMultiDict[str]:
    """Returns the headers of an endpoint's response that are passed to the caller."""
    headers: CIMultiDict[str] = CIMultiDict()
    for name, value in received:
        if name.lower() not in HOP_BY_HOP_HEADERS:
            headers.add(name, value)
    return headers


def refusal_headers(call_id: str) -> Mapping[str, str]:
    """Returns the headers of a refusal, which identify the refused call."""
    return {"Request-Id": call_id} if call_id else {}


CALL_FORMAT = CallFormat(
    read_head, endpoint_headers, read_response_head, response_headers, refusal_headers
)


def _parse_number(text: str) -> float | None:
    """Returns a finite number that is not negative, ``None`` if it is none.

    It is at most ``MAX_NUMBER``.
    """
    try:
        number = float(text) if text.isascii() and "_" not in text else -1.0
    except ValueError:
        return None
    return min(number, MAX_NUMBER) if 0.0 <= number < math.inf else None


def _read_text(headers: Mapping[str, str], name: str) -> str:
    text = headers.get(name, "")
    if not is_text(text):
        raise ValueError(f"{name} is not UTF-8; encode it as such")
    return text


def _read_deadline_s(headers: Mapping[str, str]) -> float:
    text = headers.get("Deadline-Ms")
    if not text:
        return DEFAULT_DEADLINE_S
    deadline_ms = _parse_number(text)
    if deadline_ms is None:
        raise ValueError("Deadline-Ms is no time; send milliseconds")
    return deadline_ms / MS_PER_S


def _read_token_bound(headers: Mapping[str, str]) -> TokenBound:
    text = headers.get("Token-Count")
    if not text:
        return TokenBound()
    prompt, _, output = text.partition(",")
    try:
        return TokenBound(parse_count(prompt.strip()), _parse_optional(output))
    except UndecodableError as error:
        raise ValueError(f"Token-Count: {error}") from error


def _read_prompt_parts(headers: Mapping[str, str]) -> tuple[PromptPart, ...]:
    parts = []
    for entry in filter(None, _read_text(headers, "Prompt-Prefix").split(",")):
        name, _, tokens = entry.strip().partition(":")
        try:
            parts.append(PromptPart(name, _parse_optional(tokens)))
        except UndecodableError as error:
            raise ValueError(f"Prompt-Prefix: {error}") from error
    return tuple(parts)


def _parse_optional(text: str) -> int:
    """Returns the count of a text, 0 if it is empty."""
    return parse_count(text.strip()) if text else 0
