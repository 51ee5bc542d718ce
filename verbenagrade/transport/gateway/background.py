"""Keeps the background work of a process going after unexpected errors."""

import asyncio
from collections.abc import Awaitable, Callable

from verbenagrade.events import Event, log_event

__all__ = ["keep_running"]

RESTART_DELAY_S = 1.0
"""Time before work that ended with an error begins again, in seconds."""


async def keep_running(work: Callable[[], Awaitable[None]]) -> None:
    """Runs work that should last until it is cancelled, again after each error."""
    while True:
        try:
            await work()
            reason = "ended"
        except Exception as error:
            reason = repr(error)
        log_event(Event.PROCESS_FAILED, reason=reason, again_after_s=RESTART_DELAY_S)
        await asyncio.sleep(RESTART_DELAY_S)
