"""The project's stand-in for the platform's store, which can also answer slowly."""

import asyncio
import base64
import json

from aiohttp import web

from verbenagrade.platform.tests.store_standin import StoreStandIn


class Store(StoreStandIn):
    """A store that takes ``delay_s`` for each answer, in seconds.

    ``silent_hosts`` are the addresses at which nothing is answered any more.
    ``ways`` maps an address of the store to the addresses of machines, and by which
    proxies the machine that reads there reaches them.
    """

    def __init__(self) -> None:
        super().__init__()
        self.delay_s = 0.004
        self.silent_hosts: set[str] = set()
        self.ways: dict[str, dict[str, str]] = {}

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
        if request.query.get("table") == "fleet":
            self._show_proxies(self.ways.get(request.host, {}), response)
        return response

    def _show_proxies(self, ways, response) -> None:
        """Puts the proxies between a machine and the others into the rows it reads."""
        if not ways or not response.body:
            return
        content = json.loads(response.body)
        for row in content.get("rows", ()):
            value = base64.b64decode(row.get("value", ""))
            for address, proxy in ways.items():
                value = value.replace(f'"{address}"'.encode(), f'"{proxy}"'.encode())
            if "value" in row:
                row["value"] = base64.b64encode(value).decode()
        response.body = json.dumps(content).encode()
