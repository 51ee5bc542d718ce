"""Reads what every caller's request has: its key, budget and marks."""

import hashlib
from dataclasses import dataclass

from aiohttp import web

from verbenagrade.exceptions import InvalidRequestError, OverloadedError
from verbenagrade.state.catalogue import Catalogue
from verbenagrade.state.resources import Workspace

__all__ = [
    "Caller",
    "check_in_flight",
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
    """Who calls, on which budget, and how the request may be repeated."""

    workspace_name: str
    workspace: Workspace
    budget: str
    key: str
    idempotent: bool


def read_caller(request: web.Request, catalogue: Catalogue) -> Caller:
    """Checks the headers of a request.

    Raises ``InvalidRequestError`` for a header that is missing, given twice or
    not understood, and ``NotFoundError`` for a key that is not known.
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
    """Returns the whole body.

    Raises ``InvalidRequestError`` if it is larger than the limit or stops short.
    """
    try:
        return await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise InvalidRequestError(
            f"request body: send at most {limit_bytes} bytes"
        ) from error
    except (web.PayloadError, ConnectionError) as error:
        raise InvalidRequestError("request body: it stopped half-way") from error


def key_with_digest(key: str, body: bytes) -> str:
    """Returns a key that another body cannot share, or nothing without a key."""
    if not key:
        return ""
    return f"{key}:{hashlib.sha256(body).hexdigest()[:16]}"


def check_in_flight(in_flight: int, limit: int) -> None:
    """Raises ``OverloadedError`` if one more request would be too many."""
    if in_flight >= limit:
        raise OverloadedError(
            f"this router serves {limit} requests already; retry in a second"
        )


def _api_key(request: web.Request) -> str:
    scheme, _, api_key = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not api_key:
        raise InvalidRequestError("Authorization: send 'Bearer' and your API key")
    return api_key.strip()


def _is_idempotent(request: web.Request) -> bool:
    mark = request.headers.get(IDEMPOTENT_HEADER, "").lower()
    if mark not in ("", "true", "false"):
        raise InvalidRequestError(f"{IDEMPOTENT_HEADER}: send true or false")
    if mark:
        return mark == "true"
    return request.method in SAFE_METHODS
