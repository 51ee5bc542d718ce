"""Stand-in for the platform's store: rows, transactions, the feed and drills."""

import asyncio
import base64
import json
import time
from collections import deque

from aiohttp import web

HTTP_UNAVAILABLE = 503
TRANSACTION_S = 0.005
COPY_INTERVAL_S = 0.25
COPIES = 80
DEAD_ADDRESS = "127.0.0.1:1"
WRITTEN_BY_OTHERS = ("op", "servers")


def encode(document):
    """Returns a document as the store keeps it."""
    data = document if isinstance(document, bytes) else json.dumps(document).encode()
    return base64.b64encode(data).decode()


def _with_dead_address(value):
    entry = json.loads(base64.b64decode(value))
    return encode({**entry, "address": DEAD_ADDRESS})


class Store:
    """A linearizable store; ``era`` is told in all answers.

    While ``away`` is set, every call is answered 503 and does nothing. So is a call at
    a port in ``closed_ports``; each machine can have a port of its own. One that reads
    at a port in ``cut_off_ports`` is told addresses of replicas at which nothing
    listens, as if it were cut off from them. ``copies`` are
    older states, the newest last, with the time at which each was taken.
    """

    def __init__(self):
        self.rows = {}
        self.log = []
        self.version = 0
        self.era = 1
        self.away = False
        self.closed_ports = set()
        self.cut_off_ports = set()
        self.changed = asyncio.Event()
        self.copies = deque(maxlen=COPIES)
        self.runner = None
        self.copier = None
        self.address = ""

    async def start(self):
        """Listens on a free port of the loopback address."""
        app = web.Application(middlewares=[self._answer], client_max_size=2**22)
        app.router.add_post("/rows-tx", self._transact)
        app.router.add_get("/rows-get", self._get)
        app.router.add_get("/rows-feed", self._feed)
        self.runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1
        )
        await self.runner.setup()
        self.address = await self.open_port()
        self.copier = asyncio.create_task(self._copy())

    async def open_port(self):
        """Listens on one more port; returns the address."""
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        return f"127.0.0.1:{self.runner.addresses[-1][1]}"

    def turn_away(self, address):
        """Answers calls at an address 503; those that wait there, too."""
        self.closed_ports.add(int(address.rpartition(":")[2]))
        self._notify()

    def serve_again(self, address):
        """Answers calls at an address again."""
        self.closed_ports.discard(int(address.rpartition(":")[2]))

    async def stop(self):
        """Ends the store."""
        self.copier.cancel()
        await self.runner.cleanup()

    def put(self, table, key, document):
        """Writes a row of the operator or of a replica."""
        self.version += 1
        self._apply((table, "", key), encode(document))
        self._notify()

    def remove(self, table, key):
        """Removes a row of the operator or of a replica."""
        self.version += 1
        self._apply((table, "", key), None)
        self._notify()

    def table(self, name):
        """Returns the rows of a table by part and key, decoded."""
        return {
            (part, key): json.loads(base64.b64decode(value))
            for (table, part, key), (value, _) in self.rows.items()
            if table == name
        }

    def go_away(self):
        """Stops answering; calls that wait for changes are answered 503."""
        self.away = True
        self._notify()

    def come_back_from_copy(self, age_s):
        """Comes back as of ``age_s`` seconds ago; returns the age of the copy used.

        What the operator wrote since is written again at once, what replicas wrote
        with their next entries.
        """
        now = time.monotonic()
        old = [copy for copy in self.copies if now - copy[0] >= age_s]
        taken_at, rows, log_length, version = old[-1]
        lost = self.log[log_length:]
        self.rows, self.log = dict(rows), self.log[:log_length]
        self.version = version
        self.era += 1
        self.copies.clear()
        for row in lost:
            if row["table"] == "op":
                self.version += 1
                name = (row["table"], row["part"], row["key"])
                self._apply(name, row.get("value"))
        self.away = False
        self._notify()
        return now - taken_at

    async def _copy(self):
        while True:
            if not self.away:
                state = (dict(self.rows), len(self.log), self.version)
                self.copies.append((time.monotonic(), *state))
            await asyncio.sleep(COPY_INTERVAL_S)

    def _apply(self, name, value):
        table, part, key = name
        row = {"table": table, "part": part, "key": key, "ver": self.version}
        if value is None:
            self.rows.pop(name, None)
            self.log.append({**row, "removed": True})
        else:
            self.rows[name] = (value, self.version)
            self.log.append({**row, "value": value})

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    @web.middleware
    async def _answer(self, request, handler):
        era, port = self.era, request.transport.get_extra_info("sockname")[1]
        request["port"] = port
        turned_away = self.away or port in self.closed_ports
        response = None if turned_away else await handler(request)
        if response is None or self.away or era != self.era:
            response = web.Response(status=HTTP_UNAVAILABLE)
        response.headers["Store-Era"] = str(self.era)
        return response

    async def _transact(self, request):
        body = json.loads(await request.read())
        await asyncio.sleep(TRANSACTION_S)
        if self.away:
            return None
        names = {
            kind: [(row["table"], row["part"], row["key"]) for row in body[kind]]
            for kind in ("expected_revision", "writes", "remove")
        }
        everything = [name for listed in names.values() for name in listed]
        if len({part for _, part, _ in everything}) > 1:
            return web.Response(status=400)
        written = names["writes"] + names["remove"]
        if any(table in WRITTEN_BY_OTHERS for table, _, _ in written):
            return web.Response(status=403)
        for check, name in zip(
            body["expected_revision"], names["expected_revision"], strict=True
        ):
            if self.rows.get(name, ("", 0))[1] != check["ver"]:
                present = [n for n in names["expected_revision"] if n in self.rows]
                return self._result([self._row(n) for n in present], 412)
        self.version += 1
        for row, name in zip(body["writes"], names["writes"], strict=True):
            self._apply(name, row["value"])
        for name in names["remove"]:
            self._apply(name, None)
        self._notify()
        return self._result([])

    async def _get(self, request):
        query = request.query
        first, last = query.get("from", ""), query.get("to")
        limit = min(500, int(query.get("limit", 500)))
        names = sorted(
            name
            for name in self.rows
            if name[:2] == (query["table"], query["part"])
            and name[2] >= first
            and (last is None or name[2] < last)
        )
        rows = [self._row(name) for name in names[:limit]]
        rows = self._shown(request, rows)
        return self._result(rows, truncated=len(names) > limit)

    async def _feed(self, request):
        table, after = request.query["table"], int(request.query["after_revision"])
        if after > self.version:
            return self._result([], 410)
        era = self.era
        try:
            async with asyncio.timeout(int(request.query["wait_ms"]) / 1000):
                while not self._ends_wait(request, era, table, after):
                    await self.changed.wait()
        except TimeoutError:
            pass
        if request["port"] in self.closed_ports or self.away or era != self.era:
            return None
        return self._result(self._shown(request, self._since(table, after)))

    def _shown(self, request, rows):
        """Returns rows as the machine that reads them is to see them."""
        if request["port"] not in self.cut_off_ports:
            return rows
        return [
            {**row, "value": _with_dead_address(row["value"])}
            if row["table"] == "servers" and "value" in row
            else row
            for row in rows
        ]

    def _ends_wait(self, request, era, table, after):
        gone = self.away or era != self.era or request["port"] in self.closed_ports
        return gone or bool(self._since(table, after))

    def _since(self, table, after):
        found = []
        for row in reversed(self.log):
            if row["ver"] <= after:
                break
            if row["table"] == table:
                found.append(row)
        return found[::-1]

    def _row(self, name):
        value, version = self.rows[name]
        table, part, key = name
        row = {"table": table, "part": part, "key": key}
        return {**row, "value": value, "ver": version}

    def _result(self, rows, status=200, truncated=False):
        now_ms = int(time.monotonic() * 1000)
        body = {"rows": rows, "truncated": truncated, "ver": self.version}
        return web.json_response({**body, "now_ms": now_ms}, status=status)
