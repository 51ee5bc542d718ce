"""The gateway: accepts calls from callers and forwards them to endpoints."""

from verbenagrade.transport.gateway.process import Gateway, PlatformAdapter

__all__ = ["Gateway", "PlatformAdapter"]
