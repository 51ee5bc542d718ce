"""Stand-in for the platform's store: rows, transactions and the change feed."""

import asyncio
import base64
import time

import msgspec
from aiohttp import web

SLOW_RESPONSE_CHUNKS = 8
"""Number of chunks in which a slow response is sent."""


class StoreStandIn:
    """A store whose responses can fail, be lost or be delayed.

    If ``status`` is not 0, every request gets this HTTP status. The responses to the
    next ``responses_to_lose`` transactions are lost after the commit, and those to the
    transactions numbered ``lost_numbers``, counted from 1. If
    ``unresponsive`` is set, no request gets a response, and no read of the
    ``silent_table`` ever does. ``transfer_s`` is the time for
    sending the body of a response that contains rows, in seconds; if ``slow_table``
    is set, only of that table. ``era`` is told in all responses unless it is ``None``.
    ``before_second_request`` is called once, when the second request arrives.
    Requests to the addresses in ``turned_away`` get 503, also those that wait.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self.change_log: list[dict] = []
        self.version = 0
        self.oldest_version = 0
        self.status = 0
        self.unresponsive = False
        self.silent_table = "none"
        self.responses_to_lose = 0
        self.lost_numbers: set[int] = set()
        self.transaction_count = 0
        self.transfer_s = 0.0
        self.slow_table = ""
        self.era: object = None
        self.before_second_request = None
        self.turned_away: set[str] = set()
        self.copy = None
        self.request_count = 0
        self.changed = asyncio.Event()
        self.runner: web.AppRunner | None = None
        self.address = ""

    async def start(self) -> None:
        app = web.Application(middlewares=[self._inject_faults])
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

    async def open_address(self) -> str:
        """Returns one more address, at which the store can turn a VM away."""
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        return f"127.0.0.1:{self.runner.addresses[-1][1]}"

    async def stop(self) -> None:
        await self.runner.cleanup()

    def put(self, table: str, key: str, document: object, part: str = "") -> None:
        data = document
        if not isinstance(document, bytes):
            data = msgspec.json.encode(document)
        self.version += 1
        self._write((table, part, key), base64.b64encode(data).decode())
        self._notify_followers()

    def remove(self, table: str, key: str, part: str = "") -> None:
        self.version += 1
        self._write((table, part, key), None)
        self._notify_followers()

    def take_copy(self) -> None:
        self.copy = (dict(self.rows), list(self.change_log), self.version)

    def come_back_from_copy(self) -> list[dict]:
        """Loses what was written since the copy; its versions are given out again.

        Returns the lost changes.
        """
        rows, change_log, self.version = self.copy
        lost = [row for row in self.change_log if row["ver"] > self.version]
        self.rows, self.change_log = dict(rows), list(change_log)
        self.era += 1
        return lost

    def write_again(self, lost: list[dict], tables: tuple[str, ...]) -> None:
        """Makes the lost changes of some tables once more, in their order."""
        for row in lost:
            if row["table"] in tables:
                self.version += 1
                self._write((row["table"], row["part"], row["key"]), row.get("value"))
        self._notify_followers()

    def forget_history(self) -> None:
        self.oldest_version = self.version

    def _write(self, name, value) -> None:
        table, part, key = name
        row = {"table": table, "part": part, "key": key, "ver": self.version}
        if value is None:
            self.rows.pop(name, None)
            self.change_log.append({**row, "removed": True})
        else:
            self.rows[name] = (value, self.version)
            self.change_log.append({**row, "value": value})

    def _notify_followers(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    @web.middleware
    async def _inject_faults(self, request, handler):
        self.request_count += 1
        if self.request_count == 2 and self.before_second_request is not None:
            self.before_second_request()
        if self.unresponsive or request.query.get("table") == self.silent_table:
            await asyncio.sleep(60)
        if self.status:
            return web.Response(status=self.status)
        turned_away = web.Response(status=503)
        if request.host in self.turned_away:
            return turned_away
        response = await handler(request)
        if request.host in self.turned_away and request.path == "/rows-feed":
            return turned_away
        if self.era is not None and not response.prepared:
            response.headers["Store-Era"] = str(self.era)
        if request.path == "/rows-tx" and self._loses_response():
            request.transport.close()
        return response

    def _loses_response(self) -> bool:
        """Counts a transaction, and returns whether its response is lost."""
        self.transaction_count += 1
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            return True
        return self.transaction_count in self.lost_numbers

    async def _transact(self, request):
        body = msgspec.json.decode(await request.read())
        checks = body["expected_revision"]
        names = [(c["table"], c["part"], c["key"]) for c in checks]
        present = [self._row(name) for name in names if name in self.rows]
        for check, name in zip(checks, names, strict=True):
            if self.rows.get(name, ("", 0))[1] != check["ver"]:
                return _json_response({"rows": present, "ver": self.version}, 412)
        self.version += 1
        for row in body["writes"]:
            self._write((row["table"], row["part"], row["key"]), row["value"])
        for row in body["remove"]:
            self._write((row["table"], row["part"], row["key"]), None)
        self._notify_followers()
        return _json_response(
            {"ver": self.version, "now_ms": int(time.monotonic() * 1000)}
        )

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
        result = {
            "rows": rows,
            "truncated": truncated,
            "ver": self.version,
            "now_ms": int(time.monotonic() * 1000),
        }
        if self._is_slow(query["table"]) and rows:
            return await self._respond_slowly(request, result)
        return _json_response(result)

    async def _feed(self, request):
        table, after = request.query["table"], int(request.query["after_revision"])
        if after < self.oldest_version or after > self.version:
            return _json_response({}, 410)
        wait_s = int(request.query["wait_ms"]) / 1000
        try:
            async with asyncio.timeout(wait_s):
                while not self._changes_since(table, after):
                    await self.changed.wait()
        except TimeoutError:
            pass
        result = {"rows": self._changes_since(table, after), "ver": self.version}
        if self._is_slow(table) and result["rows"]:
            return await self._respond_slowly(request, result)
        return _json_response(result)

    def _is_slow(self, table) -> bool:
        return self.transfer_s > 0 and self.slow_table in ("", table)

    async def _respond_slowly(self, request, result):
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        await response.prepare(request)
        body = msgspec.json.encode(result)
        chunk_size = len(body) // SLOW_RESPONSE_CHUNKS + 1
        for start in range(0, len(body), chunk_size):
            await asyncio.sleep(self.transfer_s / SLOW_RESPONSE_CHUNKS)
            await response.write(body[start : start + chunk_size])
        return response

    def _changes_since(self, table, after):
        return [r for r in self.change_log if r["table"] == table and r["ver"] > after]

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


def _json_response(body, status=200):
    return web.Response(
        status=status, body=msgspec.json.encode(body), content_type="application/json"
    )
