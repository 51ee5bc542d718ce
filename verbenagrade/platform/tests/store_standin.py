"""Stands in for the platform's store: rows, transactions and the feed."""

import asyncio
import base64
import time

import msgspec
from aiohttp import web

SLOW_PARTS = 8
"""Parts in which a slow answer arrives."""


class StoreStandIn:
    """A store whose answers can be refused, lost or held back.

    ``status`` refuses every call with it. ``lose_answers`` drops that many
    answers to transactions after they took effect. ``silent`` answers nothing.
    ``body_s`` is how long rows take to arrive after the head of an answer.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self.log: list[dict] = []
        self.version = 0
        self.oldest = 0
        self.status = 0
        self.silent = False
        self.lose_answers = 0
        self.body_s = 0.0
        self.calls = 0
        self.changed = asyncio.Event()
        self.runner: web.AppRunner | None = None
        self.address = ""

    async def start(self) -> None:
        app = web.Application(middlewares=[self._faults])
        app.router.add_post("/rows-tx", self._transact)
        app.router.add_get("/rows-get", self._get)
        app.router.add_get("/rows-feed", self._feed)
        self.runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.1, handler_cancellation=True
        )
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        self.address = f"127.0.0.1:{self.runner.addresses[0][1]}"

    async def stop(self) -> None:
        await self.runner.cleanup()

    def put(self, table: str, key: str, document: object, part: str = "") -> None:
        data = document
        if not isinstance(document, bytes):
            data = msgspec.json.encode(document)
        self.version += 1
        self._write((table, part, key), base64.b64encode(data).decode())
        self._wake()

    def remove(self, table: str, key: str, part: str = "") -> None:
        self.version += 1
        self._write((table, part, key), None)
        self._wake()

    def forget_history(self) -> None:
        self.oldest = self.version

    def _write(self, name, value) -> None:
        table, part, key = name
        row = {"table": table, "part": part, "key": key, "ver": self.version}
        if value is None:
            self.rows.pop(name, None)
            self.log.append({**row, "removed": True})
        else:
            self.rows[name] = (value, self.version)
            self.log.append({**row, "value": value})

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    @web.middleware
    async def _faults(self, request, handler):
        self.calls += 1
        if self.silent:
            await asyncio.sleep(60)
        if self.status:
            return web.Response(status=self.status)
        response = await handler(request)
        if self.lose_answers and request.path == "/rows-tx":
            self.lose_answers -= 1
            request.transport.close()
        return response

    async def _transact(self, request):
        body = msgspec.json.decode(await request.read())
        checks = body["expected_revision"]
        names = [(c["table"], c["part"], c["key"]) for c in checks]
        present = [self._row(name) for name in names if name in self.rows]
        for check, name in zip(checks, names, strict=True):
            if self.rows.get(name, ("", 0))[1] != check["ver"]:
                return _answer({"rows": present, "ver": self.version}, 412)
        self.version += 1
        for row in body["writes"]:
            self._write((row["table"], row["part"], row["key"]), row["value"])
        for row in body["remove"]:
            self._write((row["table"], row["part"], row["key"]), None)
        self._wake()
        return _answer({"ver": self.version, "now_ms": int(time.monotonic() * 1000)})

    async def _get(self, request):
        query = request.query
        first, last = query.get("from", ""), query.get("to", "\U0010ffff")
        limit = int(query.get("limit", 500))
        names = sorted(
            name
            for name in self.rows
            if name[0] == query["table"]
            and name[1] == query["part"]
            and first <= name[2] < last
        )
        rows = [self._row(name) for name in names[:limit]]
        truncated = len(names) > limit
        answer = {"rows": rows, "truncated": truncated, "ver": self.version}
        if self.body_s and rows:
            return await self._answer_slowly(request, answer)
        return _answer(answer)

    async def _feed(self, request):
        table, after = request.query["table"], int(request.query["after_revision"])
        if after < self.oldest:
            return _answer({}, 410)
        wait_s = int(request.query["wait_ms"]) / 1000
        try:
            async with asyncio.timeout(wait_s):
                while not self._since(table, after):
                    await self.changed.wait()
        except TimeoutError:
            pass
        answer = {"rows": self._since(table, after), "ver": self.version}
        if self.body_s and answer["rows"]:
            return await self._answer_slowly(request, answer)
        return _answer(answer)

    async def _answer_slowly(self, request, answer):
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        await response.prepare(request)
        body = msgspec.json.encode(answer)
        middle = len(body) // SLOW_PARTS + 1
        for start in range(0, len(body), middle):
            await asyncio.sleep(self.body_s / SLOW_PARTS)
            await response.write(body[start : start + middle])
        return response

    def _since(self, table, after):
        return [r for r in self.log if r["table"] == table and r["ver"] > after]

    def _row(self, name):
        value, version = self.rows[name]
        table, part, key = name
        return {
            "table": table,
            "part": part,
            "key": key,
            "value": value,
            "ver": version,
        }


def _answer(body, status=200):
    return web.Response(
        status=status, body=msgspec.json.encode(body), content_type="application/json"
    )
