"""Testbed with a gateway in this process and stand-ins for the store and endpoints."""

import asyncio
import itertools
import socket
from contextlib import asynccontextmanager
from dataclasses import replace

import aiohttp
import pytest

from verbenagrade.platform import CALL_FORMAT, DOCUMENT_FORMAT, store_port
from verbenagrade.platform.tests.endpoint_standin import EndpointStandIn
from verbenagrade.platform.tests.store_standin import StoreStandIn
from verbenagrade.settings.gateway import (
    BoundSettings,
    GatewaySettings,
    ListenSettings,
    StoreSettings,
    TuningSettings,
)
from verbenagrade.transport.gateway import Gateway, PlatformAdapter

POLL_INTERVAL_S = 0.01
LISTENERS = 4
API_KEY = "key-of-hotel"
BOUNDS = BoundSettings(
    drain_ms=2500,
    grace_s=8,
    retry_ratio=0.2,
    retry_window_s=10,
    retry_slack=56,
    revoke_ms=5000,
)


def route(prefix, kind, service="pool", **changes):
    return {
        "name": f"r{prefix}",
        "host": "site.example",
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout_ms": 3000,
        "target_latency_ms": 400,
        "max_attempts": 2,
        "priority": 1,
        **changes,
    }


def configuration_document(version=1, **changes):
    return {
        "version": version,
        "routes": [
            route("/safe/", "safe"),
            route("/once/", "unsafe", max_attempts=1),
            route("/resume/", "streaming", stream_resume=True, gap_aim_ms=300),
            route("/stream/", "streaming", stream_resume=False, max_attempts=1),
            route("/safe/public/", "safe", public=True),
        ],
        "services": [{"name": "pool", "engine": {"stride": 7}}],
        "tenants": [{"name": "hotel", "api_keys": [API_KEY], "prepaid": 10_000}],
        **changes,
    }


class GatewayTestbed:
    """The store, endpoints, gateway and HTTP client of a test."""

    def __init__(self) -> None:
        self.store = StoreStandIn()
        self.endpoints: list[EndpointStandIn] = []
        self.stop = asyncio.Event()
        self.gateway: Gateway | None = None
        self.gateway_task: asyncio.Task | None = None
        self.others: list[Gateway] = []
        self.other_tasks: list[asyncio.Task] = []
        self.session: aiohttp.ClientSession | None = None
        self.call_numbers = itertools.count(1)
        self.cuts: dict[str, str] = {}
        self.sockets: list[socket.socket] = []

    @property
    def core(self):
        return self.gateway.core

    async def add_endpoint(self, *handlers, **entry) -> EndpointStandIn:
        endpoint = EndpointStandIn(f"i-{len(self.endpoints)}", list(handlers))
        await endpoint.start()
        self.endpoints.append(endpoint)
        self.store.put("servers", endpoint.name, endpoint.entry("pool", **entry))
        return endpoint

    async def start(self, document=None, tuning=None, bounds=BOUNDS) -> None:
        if document is not None:
            self.store.put("op", "config", document)
        self.gateway = self._new_gateway("front-1", tuning, bounds)
        self.gateway_task = asyncio.create_task(self.gateway.run(self.stop))
        await self.wait_until(lambda: len(self.gateway.runners) == LISTENERS)

    async def start_another(self, store_address="", tuning=None) -> None:
        """Starts one more gateway on the same store; ``stop`` ends it too."""
        gateway = self._new_gateway(
            f"front-{len(self.others) + 2}", tuning, BOUNDS, store_address
        )
        self.others.append(gateway)
        self.other_tasks.append(asyncio.create_task(gateway.run(self.stop)))
        await self.wait_until(
            lambda: len(gateway.runners) == LISTENERS and gateway.core.ready
        )

    async def cut_off(self, gateway, silent: bool = False) -> None:
        """Cuts a gateway off from all endpoints: connections are refused, or hang."""
        self.cuts[gateway.core.settings.vm] = self.dead_address(silent)
        await self._announce_endpoints(gateway)

    async def reconnect(self, gateway) -> None:
        """Gives a gateway its way to the endpoints back."""
        del self.cuts[gateway.core.settings.vm]
        await self._announce_endpoints(gateway)

    async def _announce_endpoints(self, gateway) -> None:
        """Writes all entries again, with which a gateway learns the addresses."""
        for endpoint in self.endpoints:
            self.store.put("servers", endpoint.name, endpoint.entry("pool"))
        addresses = {
            self.cuts.get(gateway.core.settings.vm, endpoint.address)
            for endpoint in self.endpoints
        }
        await self.wait_until(
            lambda: (
                {e.address for e in gateway.core.directory.entries.values()}
                == addresses
            )
        )

    def dead_address(self, silent: bool) -> str:
        """Returns an address whose port is closed, or whose queue is full."""
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        address = listener.getsockname()
        if not silent:
            listener.close()
            return f"{address[0]}:{address[1]}"
        listener.listen(0)
        self.sockets.append(listener)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(address)
            self.sockets.append(filler)
        return f"{address[0]}:{address[1]}"

    async def close(self) -> None:
        """Ends all gateways and stand-ins."""
        gateways = [self.gateway] if self.gateway_task is not None else []
        tasks = [self.gateway_task] if self.gateway_task is not None else []
        for task in tasks + self.other_tasks:
            task.cancel()
        for gateway in gateways + self.others:
            await _end(gateway)
        await self.session.close()
        for endpoint in self.endpoints:
            await endpoint.stop()
        for open_socket in self.sockets:
            open_socket.close()
        await self.store.stop()

    async def end(self, gateway) -> None:
        """Ends one of the other gateways without a graceful shutdown."""
        number = self.others.index(gateway)
        self.others.pop(number)
        self.other_tasks.pop(number).cancel()
        await _end(gateway)

    def _new_gateway(self, vm, tuning, bounds, store_address="") -> Gateway:
        settings = GatewaySettings(
            vm=vm,
            data_centre="muscat-a",
            regions={"muscat-a": "muscat"},
            listen=ListenSettings(
                "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1", 0, "127.0.0.1", 0
            ),
            store=StoreSettings(store_address or self.store.address),
            bounds=bounds,
            memory_mb=150,
            tuning=tuning or TuningSettings(feed_wait_s=0.3, store_timeout_s=0.4),
        )

        def decode_endpoint(name, data):
            """Decodes an entry as a VM sees it that may be cut off."""
            entry = DOCUMENT_FORMAT.decode_endpoint(name, data)
            return replace(entry, address=self.cuts.get(vm, entry.address))

        documents = replace(DOCUMENT_FORMAT, decode_endpoint=decode_endpoint)
        return Gateway(settings, PlatformAdapter(CALL_FORMAT, documents, store_port))

    def url(self, listener=0, gateway=None) -> str:
        runner = (gateway or self.gateway).runners[listener]
        return f"http://127.0.0.1:{runner.addresses[0][1]}"

    async def wait_until(self, condition, timeout_s=5.0) -> None:
        for _ in range(int(timeout_s / POLL_INTERVAL_S)):
            if condition():
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        assert condition()

    async def wait_until_ready(self) -> None:
        await self.wait_until(
            lambda: (
                self.core.ready
                and len(self.core.directory.entries) == len(self.endpoints)
            )
        )

    @asynccontextmanager
    async def open(
        self,
        path,
        key=API_KEY,
        body=b"hello",
        method="POST",
        gateway=None,
        **headers,
    ):
        request_headers = {
            "Host": "site.example",
            "Request-Id": f"call-{next(self.call_numbers)}",
            "Deadline-Ms": "3000",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        if key:
            request_headers["Authorization"] = f"Bearer {key}"
        async with self.session.request(
            method,
            self.url(gateway=gateway) + path,
            headers=request_headers,
            data=body,
        ) as response:
            yield response

    async def call(self, path, **options):
        async with self.open(path, **options) as response:
            return response.status, await response.read(), response.headers


@pytest.fixture
async def testbed():
    """Returns a testbed whose gateway has not started yet."""
    testbed = GatewayTestbed()
    await testbed.store.start()
    testbed.session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(force_close=True)
    )
    yield testbed
    await testbed.close()


async def _end(gateway) -> None:
    """Closes the connections of a gateway whose task was cancelled."""
    for runner in gateway.runners:
        runner.server.shutdown_timeout = 0.1
        await runner.cleanup()
    for task in gateway.tasks:
        task.cancel()
    gateway.budgets.close()
    await gateway.endpoint_session.close()
    await gateway.store_session.close()
