"""Work that goes on after its request, and periodic work."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import PlatformError

__all__ = ["Background"]

FIRST_PAUSE_S = 0.2
LONGEST_PAUSE_S = 5.0


class Background:
    """The tasks that a process keeps besides its requests."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.unfinished: set[asyncio.Task[None]] = set()
        self.periodic: set[asyncio.Task[None]] = set()
        self.failure: asyncio.Future[None] = asyncio.Future()

    def until_done(self, action: Callable[[], Awaitable[None]]) -> None:
        """Repeats an idempotent action until the platform has taken it."""
        task = asyncio.create_task(self._repeat(action))
        self.unfinished.add(task)
        task.add_done_callback(self.unfinished.discard)

    def every(self, period_s: float, action: Callable[[], Awaitable[object]]) -> None:
        """Runs an action again and again, with jitter, until ``stop``."""
        task = asyncio.create_task(self._tick(period_s, action))
        task.add_done_callback(self._ended)
        self.periodic.add(task)

    def stop(self) -> None:
        """Ends the periodic work."""
        for task in self.periodic:
            task.cancel()

    def _ended(self, task: asyncio.Task[None]) -> None:
        """Passes on what a periodic task failed with, for the process to stop."""
        if task.cancelled() or self.failure.done():
            return
        self.failure.set_exception(task.exception())

    async def _repeat(self, action: Callable[[], Awaitable[None]]) -> None:
        pause_s = FIRST_PAUSE_S
        while True:
            try:
                return await action()
            except PlatformError:
                await asyncio.sleep(pause_s * self.random.uniform(0.5, 1.5))
                pause_s = min(LONGEST_PAUSE_S, pause_s * 2)

    async def _tick(
        self, period_s: float, action: Callable[[], Awaitable[object]]
    ) -> None:
        while True:
            await asyncio.sleep(period_s * self.random.uniform(0.8, 1.2))
            try:
                await action()
            except PlatformError as error:
                log_event(Event.PLATFORM_AWAY, reason=str(error))
