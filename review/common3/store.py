"""The project's stand-in for the platform's store, which can also answer slowly."""

import asyncio

from aiohttp import web

from verbenagrade.platform.tests.store_standin import StoreStandIn


class Store(StoreStandIn):
    """A store that takes ``delay_s`` for each answer, in seconds.

    ``silent_hosts`` are the addresses at which nothing is answered any more.
    """

    def __init__(self) -> None:
        super().__init__()
        self.delay_s = 0.004
        self.silent_hosts: set[str] = set()

    async def stop(self) -> None:
        """Closes all connections at once."""
        await self.runner.cleanup()

    @web.middleware
    async def _inject_faults(self, request, handler):
        if request.host in self.silent_hosts:
            await asyncio.sleep(60)
        if request.path == "/rows-feed":
            response = await super()._inject_faults(request, handler)
            await asyncio.sleep(self.delay_s)
        else:
            await asyncio.sleep(self.delay_s / 2)
            response = await super()._inject_faults(request, handler)
            await asyncio.sleep(self.delay_s / 2)
        if request.host in self.silent_hosts:
            await asyncio.sleep(60)
        return response
