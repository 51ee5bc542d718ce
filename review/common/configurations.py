"""Configurations of the operator, and the headers of requests that fit them."""

import uuid

from review.common.replicas import TOKENS_PER_EVENT

__all__ = ["configuration", "read_headers", "read_route", "stream_headers"]

API_KEY = "key-of-hotel"
AMPLE_TOKENS = 10_000_000
STREAM_LIMIT_MS, READ_LIMIT_MS = 12_000, 2_000
ENGINE = {"stride": TOKENS_PER_EVENT, "kv_capacity_tokens": 400_000}


def stream_route(service: str) -> dict:
    """Returns a route for streams that may be resumed."""
    return {
        "name": "drafts",
        "host": "site.example",
        "prefix": "/drafts/",
        "kind": "streaming",
        "service": service,
        "timeout_ms": STREAM_LIMIT_MS,
        "target_latency_ms": 1000,
        "gap_aim_ms": 400,
        "max_attempts": 2,
        "priority": 1,
        "session_affinity": True,
        "stream_resume": True,
    }


def read_route(service: str) -> dict:
    """Returns a route for safe requests."""
    return {
        "name": "records",
        "host": "site.example",
        "prefix": "/records/",
        "kind": "safe",
        "service": service,
        "timeout_ms": 1000,
        "target_latency_ms": 400,
        "max_attempts": 2,
        "priority": 2,
    }


def configuration(
    version: int, route: dict, engines=(), services=(), prepaid=AMPLE_TOKENS
) -> dict:
    """Returns a configuration with one route and one tenant."""
    return {
        "version": version,
        "routes": [route],
        "services": [
            *({"name": name, "engine": ENGINE} for name in engines),
            *({"name": name} for name in services),
        ],
        "tenants": [{"name": "hotel", "api_keys": [API_KEY], "prepaid": prepaid}],
    }


def stream_headers(prompt_tokens: int, events: int, left_s: float = 12.0) -> dict:
    """Returns the headers of a new request for a stream of so many events."""
    request = uuid.uuid4().hex[:16]
    own = prompt_tokens // 2
    return {
        "Request-Id": request,
        "Model": "m",
        "Token-Count": f"{prompt_tokens},{events * TOKENS_PER_EVENT}",
        "Prompt-Prefix": f"5c1e07a2:{prompt_tokens - own},{request}:{own}",
        "Deadline-Ms": str(int(left_s * 1000)),
        "Authorization": f"Bearer {API_KEY}",
    }


def read_headers() -> dict:
    """Returns the headers of a new safe request."""
    return {
        "Request-Id": uuid.uuid4().hex[:16],
        "Deadline-Ms": str(READ_LIMIT_MS),
        "Authorization": f"Bearer {API_KEY}",
    }
