"""Background tasks: retries that outlive their request, and periodic tasks."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import PlatformError

__all__ = ["BackgroundTasks"]

INITIAL_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 5.0


class BackgroundTasks:
    """The background tasks of a process.

    ``failure`` receives the exception of the first periodic task that fails.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.retrying: set[asyncio.Task[None]] = set()
        self.periodic: set[asyncio.Task[None]] = set()
        self.failure: asyncio.Future[None] = asyncio.Future()

    def retry_until_done(self, action: Callable[[], Awaitable[None]]) -> None:
        """Retries an idempotent action, with backoff, until the platform accepts it."""
        task = asyncio.create_task(self._retry(action))
        self.retrying.add(task)
        task.add_done_callback(self.retrying.discard)

    def run_periodically(
        self, period_s: float, action: Callable[[], Awaitable[object]]
    ) -> None:
        """Runs an action every ``period_s`` seconds, with jitter, until ``stop``."""
        task = asyncio.create_task(self._run_periodically(period_s, action))
        task.add_done_callback(self._report_failure)
        self.periodic.add(task)

    def stop(self) -> None:
        """Cancels the periodic tasks."""
        for task in self.periodic:
            task.cancel()

    def _report_failure(self, task: asyncio.Task[None]) -> None:
        """Sets ``failure`` if a periodic task failed, so that the process stops."""
        if task.cancelled() or self.failure.done():
            return
        self.failure.set_exception(task.exception())

    async def _retry(self, action: Callable[[], Awaitable[None]]) -> None:
        delay_s = INITIAL_RETRY_DELAY_S
        while True:
            try:
                return await action()
            except PlatformError:
                await asyncio.sleep(delay_s * self.random.uniform(0.5, 1.5))
                delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)

    async def _run_periodically(
        self, period_s: float, action: Callable[[], Awaitable[object]]
    ) -> None:
        while True:
            await asyncio.sleep(period_s * self.random.uniform(0.8, 1.2))
            try:
                await action()
            except PlatformError as error:
                log_event(Event.PLATFORM_AWAY, reason=str(error))
