"""Structured logging of numbered events."""

from verbenagrade.events.catalogue import Event
from verbenagrade.events.log import (
    log_event,
    set_up_logging,
    set_up_rate_limited_logging,
)

__all__ = ["Event", "log_event", "set_up_logging", "set_up_rate_limited_logging"]
