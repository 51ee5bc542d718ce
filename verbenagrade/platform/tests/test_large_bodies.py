"""Tests of callers that send many large bodies at once."""

import asyncio
import tracemalloc
from contextlib import suppress

import aiohttp
import pytest

from verbenagrade.platform.tests.conftest import configuration_document, route
from verbenagrade.platform.tests.endpoint_standin import plain

CALLS = 40
BODY_BYTES = 3_000_000
MAX_MEMORY_BYTES = 70_000_000
"""The memory of a gateway in the testbed, 150 MB, less 80 MB for the idle process. The
buffers of this test's client are in it too."""


@pytest.fixture
async def flooded(testbed):
    """Returns the testbed with a gateway and a function that sends bodies slowly."""
    endpoint = await testbed.add_endpoint(plain())
    limits = {"max_body_bytes": 4_000_000}
    routes = [route("/safe/", "safe", timeout_ms=30_000)]
    await testbed.start(configuration_document(limits=limits, routes=routes))
    await testbed.wait_until_ready()
    statuses = []
    chunk = bytes(100_000)

    async def body():
        for _ in range(BODY_BYTES // len(chunk)):
            yield chunk
            await asyncio.sleep(0.01)
        await asyncio.sleep(1.0)
        yield b"end"

    async def send(key):
        with suppress(aiohttp.ClientError):
            status, _, _ = await testbed.call(
                "/safe/", key=key, body=body(), Deadline_Ms="30000"
            )
            statuses.append(status)

    async def flood(key):
        tracemalloc.start()
        await asyncio.gather(*(send(key) for _ in range(CALLS)))
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        return statuses, peak_bytes, len(endpoint.requests)

    testbed.flood = flood
    return testbed


# Guards against memory for bodies of callers that have no key.
async def test_bodies_without_a_key_are_refused_from_the_head(flooded):
    statuses, peak_bytes, sent = await flooded.flood("unknown")
    assert set(statuses) == {401}
    assert sent == 0
    assert peak_bytes <= MAX_MEMORY_BYTES / 4


# Guards against memory that grows with the number of large bodies.
async def test_bodies_of_all_calls_together_are_bounded(flooded):
    statuses, peak_bytes, sent = await flooded.flood("key-of-hotel")
    assert set(statuses) <= {200, 503}
    assert 0 < sent == statuses.count(200)
    assert peak_bytes <= MAX_MEMORY_BYTES
    account = flooded.core.clients.account
    least = account.listeners["callers"].limits.connection_bytes
    records = account.listeners["callers"].records
    assert all(record.held_bytes == least for record in records)
    await flooded.wait_until(lambda: account.held_bytes == 0)


async def test_body_larger_than_the_limit_is_refused_from_its_announced_size(flooded):
    status, _, _ = await flooded.call("/safe/", body=bytes(4_100_000))
    assert status == 413
