"""Measures what calls and streams cost directly and through another VM.

Two gateways, the store and the endpoint run in one process, so that the difference
between both ways is the work of both gateways for the way through another VM, and that
of the connection between them. Run it with ``python -m benchmarks.relays``.
"""

import asyncio
import time

import aiohttp
import typer

from verbenagrade.platform.tests.conftest import (
    GatewayTestbed,
    configuration_document,
)
from verbenagrade.platform.tests.endpoint_standin import plain, stream

CALLS = 400
STREAMS = 60
EVENTS = 100
RUNS = 3
BODY = b"x" * 4096
US_PER_S = 1_000_000


async def main() -> None:
    """Prints the processor time of a call and of an event, in microseconds."""
    testbed = GatewayTestbed()
    await testbed.store.start()
    testbed.session = aiohttp.ClientSession()
    await testbed.add_endpoint(plain())
    tenants = [{"name": "hotel", "api_keys": ["key-of-hotel"]}]
    await testbed.start(configuration_document(tenants=tenants))
    await testbed.wait_until_ready()
    await testbed.start_another()
    core = testbed.core
    await testbed.wait_until(lambda: core.fleet.peers.peers and core.relay_keys.keys)
    for run in range(RUNS):
        for through_vm in (False, True):
            way = "through a VM" if through_vm else "directly"
            testbed.endpoints[0].handlers = [plain()]
            call_us = await measure_us(testbed, "/safe/x", CALLS, through_vm)
            testbed.endpoints[0].handlers = [stream(EVENTS)]
            stream_us = await measure_us(testbed, "/stream/x", STREAMS, through_vm)
            typer.echo(
                f"run {run}: {way}: call {call_us:.0f} us,"
                f" stream of {EVENTS} events {stream_us:.0f} us"
            )
    await testbed.close()


async def measure_us(
    testbed: GatewayTestbed, path: str, count: int, through_vm: bool
) -> float:
    """Returns the processor time of one call, in microseconds."""
    started_s = time.process_time()
    for _ in range(count):
        # The gateway finds its way to the endpoint again while this runs.
        testbed.core.reach.cut_off = through_vm
        status, _, _ = await testbed.call(path, body=BODY)
        if status != 200:
            raise RuntimeError(f"a call ended with {status}; see the log")
    return (time.process_time() - started_s) / count * US_PER_S


if __name__ == "__main__":
    asyncio.run(main())
