"""Stands in for a plain service; ``GET /calls`` tells what ran.

``POST /switch`` takes ``slow_s`` and ``drop_answers``: that many calls run and
then lose their connection.
"""

import asyncio

import msgspec
import typer
from aiohttp import web


class Switches(msgspec.Struct):
    slow_s: float = 0.0
    drop_answers: int = 0


class ServiceStandIn:
    def __init__(self) -> None:
        self.switches = Switches()
        self.calls: list[str] = []

    def application(self) -> web.Application:
        app = web.Application()
        app.router.add_get("/calls", self._list)
        app.router.add_post("/switch", self._switch)
        app.router.add_route("*", "/{path:.*}", self._call)
        return app

    async def _call(self, request):
        body = (await request.read()).decode()
        self.calls.append(f"{request.method} {request.path} {body}")
        await asyncio.sleep(self.switches.slow_s)
        if self.switches.drop_answers > 0:
            self.switches.drop_answers -= 1
            request.transport.close()
        return web.json_response({"confirmed": len(self.calls)})

    async def _list(self, _request):
        return web.json_response(self.calls)

    async def _switch(self, request):
        self.switches = msgspec.json.decode(await request.read(), type=Switches)
        return web.Response(text="ok")


def main(address: str, port: int) -> None:
    web.run_app(ServiceStandIn().application(), host=address, port=port, print=None)


if __name__ == "__main__":
    typer.run(main)
