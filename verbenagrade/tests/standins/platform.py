"""Platform stand-in: table service, object store and VM list.

``POST /switch`` replaces the settings below, given as a JSON object:

- ``down``: respond to every request with 503.
- ``slow_s``: seconds by which responses are delayed.
- ``lose_responses``: drop the responses to this many writes, after they took effect.
- ``only``: client addresses that these three apply to; empty for all.
- ``vms``: the new VM list; null keeps the present one.
"""

import asyncio

import msgspec
import typer
from aiohttp import web

from verbenagrade.coordination.ports import VmEntry
from verbenagrade.protocol.platform import (
    ReadReply,
    ReadRequest,
    ScanReply,
    ScanRequest,
    TransactReply,
    TransactRequest,
    VmListReply,
)
from verbenagrade.tests.fakes import MemoryTable


class Switches(msgspec.Struct):
    """Settings that ``POST /switch`` replaces; see the module docstring."""

    down: bool = False
    slow_s: float = 0.0
    only: list[str] = []
    lose_responses: int = 0
    vms: list[VmEntry] | None = None


class PlatformStandIn:
    """The platform's HTTP API over an in-memory table and object store."""

    def __init__(self) -> None:
        self.table = MemoryTable()
        self.objects: dict[str, bytes] = {}
        self.vms: list[VmEntry] = []
        self.switches = Switches()

    def application(self) -> web.Application:
        app = web.Application(
            middlewares=[self._inject_faults], client_max_size=1 << 26
        )
        table = self.table

        def read(body):
            return ReadReply(table.read(body.keys))

        def scan(body):
            return ScanReply(table.scan(body.prefix, body.after, body.limit))

        def transact(body):
            return TransactReply(table.transact(body.checks, body.writes))

        app.router.add_post("/table/read", _json_handler(ReadRequest, read))
        app.router.add_post("/table/scan", _json_handler(ScanRequest, scan))
        app.router.add_post("/table/transact", _json_handler(TransactRequest, transact))
        app.router.add_put("/objects/{name:.+}", self._create)
        app.router.add_get("/objects/{name:.+}", self._get)
        app.router.add_get("/objects/", self._names)
        app.router.add_get("/vmlist/vms", self._list_vms)
        app.router.add_post("/switch", self._switch)
        app.router.add_get("/counts", self._counts)
        return app

    @web.middleware
    async def _inject_faults(self, request, handler):
        if request.path in ("/switch", "/counts"):
            return await handler(request)
        switches = self.switches
        affected = not switches.only or request.remote in switches.only
        if affected and switches.down:
            return web.Response(status=503)
        if affected and switches.slow_s:
            await asyncio.sleep(switches.slow_s)
        response = await handler(request)
        is_write = request.method == "PUT" or request.path == "/table/transact"
        if affected and is_write and switches.lose_responses > 0:
            switches.lose_responses -= 1
            request.transport.close()
        return response

    async def _create(self, request):
        name = request.match_info["name"]
        if name in self.objects and request.headers.get("If-None-Match") == "*":
            return web.Response(status=412)
        self.objects[name] = await request.read()
        self.table.counts.objects += 1
        return web.Response(status=201)

    async def _get(self, request):
        data = self.objects.get(request.match_info["name"])
        return web.Response(status=404) if data is None else web.Response(body=data)

    async def _names(self, request):
        prefix, after = request.query["prefix"], request.query["after"]
        found = sorted(n for n in self.objects if n.startswith(prefix) and n > after)
        return web.Response(body=msgspec.json.encode(found[:500]))

    async def _list_vms(self, _request):
        return web.Response(body=msgspec.json.encode(VmListReply(tuple(self.vms))))

    async def _switch(self, request):
        self.switches = msgspec.json.decode(await request.read(), type=Switches)
        if self.switches.vms is not None:
            self.vms = self.switches.vms
        return web.Response(text="ok")

    async def _counts(self, _request):
        return web.Response(body=msgspec.json.encode(self.table.counts))


def _json_handler(body_type, action):
    async def handle(request):
        body = msgspec.json.decode(await request.read(), type=body_type)
        return web.Response(body=msgspec.json.encode(action(body)))

    return handle


def main(address: str, port: int) -> None:
    web.run_app(PlatformStandIn().application(), host=address, port=port, print=None)


if __name__ == "__main__":
    typer.run(main)
