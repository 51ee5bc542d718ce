"""Endpoints that crash when they run certain calls, and come back some time later."""

import asyncio

from verbenagrade.platform.tests.endpoint_standin import reset

__all__ = ["RETURN_S", "CrashingEndpoints"]

RETURN_S = 0.4


class CrashingEndpoints:
    """Endpoints that crash when they begin to run a call for which ``crashes`` is true.

    A crash resets the connection and closes the port. After ``RETURN_S`` another
    incarnation is there, with another port. All other calls are handled by ``respond``.
    ``received`` has the id of each call that crashed an endpoint.
    """

    def __init__(self, testbed, crashes, respond) -> None:
        self.testbed = testbed
        self.crashes = crashes
        self.respond = respond
        self.received: list[str] = []
        self.returns: set[asyncio.Task] = set()

    async def add(self, count: int) -> None:
        for _ in range(count):
            endpoint = await self.testbed.add_endpoint()
            endpoint.handlers = [self.handler(endpoint)]

    def handler(self, endpoint):
        crash = reset()

        async def handle(request, writer):
            if not self.crashes(request):
                await self.respond(request, writer)
                return
            self.received.append(request.headers["request-id"])
            endpoint.server.close()
            await crash(request, writer)
            self.returns.add(asyncio.create_task(self.bring_back(endpoint)))

        return handle

    async def bring_back(self, endpoint) -> None:
        await asyncio.sleep(RETURN_S)
        await endpoint.start()
        born = 1000 + len(self.received)
        entry = endpoint.entry("pool", born=born)
        self.testbed.store.put("servers", endpoint.name, entry)
