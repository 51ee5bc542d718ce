"""Reads the headers and the body that all requests of callers have in common."""

import hashlib
from dataclasses import dataclass

from aiohttp import web

from verbenagrade.exceptions import InvalidRequestError, OverloadedError
from verbenagrade.state.catalogue import Catalogue
from verbenagrade.state.resources import Workspace

__all__ = [
    "Caller",
    "check_in_flight",
    "check_room",
    "key_with_digest",
    "read_body",
    "read_caller",
]

KEY_HEADER = "Idempotency-Key"
IDEMPOTENT_HEADER = "Verbenagrade-Idempotent"
BUDGET_HEADER = "Verbenagrade-Budget"
SINGLE_HEADERS = (
    "Authorization",
    "Content-Length",
    "Content-Type",
    KEY_HEADER,
    IDEMPOTENT_HEADER,
    BUDGET_HEADER,
)
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
MAX_KEY_LENGTH = 200


@dataclass(frozen=True, slots=True)
class Caller:
    """The workspace and budget of a request, and whether it may be retried.

    ``key`` is the caller's idempotency key, empty if there is none.
    """

    workspace_name: str
    workspace: Workspace
    budget: str
    key: str
    idempotent: bool


def read_caller(request: web.Request, catalogue: Catalogue) -> Caller:
    """Validates the headers of a request and returns its caller.

    Raises ``InvalidRequestError`` for a header that is missing, duplicated or
    invalid, and ``NotFoundError`` for an unknown API key.
    """
    for header in SINGLE_HEADERS:
        if len(request.headers.getall(header, ())) > 1:
            raise InvalidRequestError(f"{header}: send this header once")
    name, workspace = catalogue.workspace_of(_api_key(request))
    key = request.headers.get(KEY_HEADER, "")
    if len(key) > MAX_KEY_LENGTH or "/" in key:
        raise InvalidRequestError(
            f"{KEY_HEADER}: use at most {MAX_KEY_LENGTH} characters and no slash"
        )
    budget = request.headers.get(BUDGET_HEADER, workspace.budget)
    return Caller(name, workspace, budget, key, _is_idempotent(request))


async def read_body(request: web.Request, limit_bytes: int) -> bytes:
    """Returns the complete body.

    Raises ``InvalidRequestError`` if it exceeds the limit, is incomplete or has a
    coding, and ``OverloadedError`` if there is no room for it.
    """
    if request.headers.get("Content-Encoding", "identity").lower() != "identity":
        raise InvalidRequestError("request body: send it without Content-Encoding")
    try:
        return await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise InvalidRequestError(
            f"request body: send at most {limit_bytes} bytes"
        ) from error
    except (web.PayloadError, ConnectionError) as error:
        raise InvalidRequestError("request body: it is incomplete") from error


def key_with_digest(key: str, body: bytes) -> str:
    """Returns an idempotency key combined with a hash of the body.

    A key that is reused with another body is thus a different key. Returns an
    empty string without a key.
    """
    if not key:
        return ""
    return f"{key}:{hashlib.sha256(body).hexdigest()[:16]}"


def check_room(request: web.Request) -> None:
    """Raises ``OverloadedError`` if no memory is left for the request."""
    if request.protocol.is_refused:
        raise OverloadedError("clients hold all memory for them; retry in a second")


def check_in_flight(in_flight: int, limit: int) -> None:
    """Raises ``OverloadedError`` if the limit of requests in flight is reached."""
    if in_flight >= limit:
        raise OverloadedError(
            f"this router already serves {limit} requests; retry in a second"
        )


def _api_key(request: web.Request) -> str:
    scheme, _, api_key = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not api_key:
        raise InvalidRequestError("Authorization: send 'Bearer' and your API key")
    return api_key.strip()


def _is_idempotent(request: web.Request) -> bool:
    value = request.headers.get(IDEMPOTENT_HEADER, "").lower()
    if value not in ("", "true", "false"):
        raise InvalidRequestError(f"{IDEMPOTENT_HEADER}: send true or false")
    if value:
        return value == "true"
    return request.method in SAFE_METHODS
