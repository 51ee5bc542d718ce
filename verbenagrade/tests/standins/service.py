"""Plain service stand-in; ``GET /calls`` lists the calls that it ran.

``POST /switch`` replaces the settings below, given as a JSON object:

- ``slow_s``: seconds that a call takes.
- ``drop_responses``: drop the connections of this many calls after they ran,
  so that their responses are lost.
- ``response_bytes``: size of the response to each call, 0 for a short one.
- ``break_after``: bytes of such a response after which it breaks off, 0 for none.
"""

import asyncio

import msgspec
import typer
from aiohttp import web


class Switches(msgspec.Struct):
    """Settings that ``POST /switch`` replaces; see the module docstring."""

    slow_s: float = 0.0
    drop_responses: int = 0
    response_bytes: int = 0
    break_after: int = 0


class ServiceStandIn:
    """The service's HTTP API and the calls that it ran."""

    def __init__(self) -> None:
        self.switches = Switches()
        self.calls: list[str] = []

    def application(self) -> web.Application:
        app = web.Application()
        app.router.add_get("/calls", self._list_calls)
        app.router.add_post("/switch", self._switch)
        app.router.add_route("*", "/{path:.*}", self._call)
        return app

    async def _call(self, request):
        body = (await request.read()).decode()
        self.calls.append(f"{request.method} {request.path} {body}")
        await asyncio.sleep(self.switches.slow_s)
        if self.switches.drop_responses > 0:
            self.switches.drop_responses -= 1
            request.transport.close()
        if self.switches.response_bytes:
            return await self._respond_large(request)
        return web.json_response({"confirmed": len(self.calls)})

    async def _respond_large(self, request):
        switches = self.switches
        response = web.StreamResponse()
        response.content_length = switches.response_bytes
        await response.prepare(request)
        await response.write(b"x" * (switches.break_after or switches.response_bytes))
        if switches.break_after:
            request.transport.close()
        return response

    async def _list_calls(self, _request):
        return web.json_response(self.calls)

    async def _switch(self, request):
        self.switches = msgspec.json.decode(await request.read(), type=Switches)
        return web.Response(text="ok")


def main(address: str, port: int) -> None:
    web.run_app(ServiceStandIn().application(), host=address, port=port, print=None)


if __name__ == "__main__":
    typer.run(main)
