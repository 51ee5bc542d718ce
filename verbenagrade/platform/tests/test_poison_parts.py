"""Tests of calls that crash endpoints by one part of their prompts."""

import asyncio

from verbenagrade.platform.tests.conftest import configuration_document
from verbenagrade.platform.tests.endpoint_standin import reset, stream

BAD_PART = "bad00001"
RETURN_S = 0.4
MAX_CRASHES = 5
MAX_SENT_LATER = 3


class CrashingEndpoints:
    """Endpoints that crash when they begin to respond to a prompt with ``BAD_PART``.

    A crash resets all connections of an endpoint and closes its port. Some time later
    another incarnation is there, with another port. ``crashes`` counts them, and
    ``received`` the calls with the part.
    """

    def __init__(self, testbed) -> None:
        self.testbed = testbed
        self.crashes = 0
        self.received = 0
        self.returns: set[asyncio.Task] = set()

    async def add(self, count: int) -> None:
        for _ in range(count):
            endpoint = await self.testbed.add_endpoint()
            endpoint.handlers = [self.handler(endpoint)]

    def handler(self, endpoint):
        respond, crash = stream(6, pause=0.01), reset()

        async def handle(request, writer):
            parts = request.headers.get("prompt-prefix", "").split(",")[:-1]
            if not any(part.startswith(BAD_PART) for part in parts):
                await respond(request, writer)
                return
            self.received += 1
            self.crashes += 1
            endpoint.server.close()
            await crash(request, writer)
            self.returns.add(asyncio.create_task(self.bring_back(endpoint)))

        return handle

    async def bring_back(self, endpoint) -> None:
        await asyncio.sleep(RETURN_S)
        await endpoint.start()
        born = 1000 + self.crashes
        entry = endpoint.entry("pool", born=born)
        self.testbed.store.put("servers", endpoint.name, entry)


def prompt(part: str, number: int) -> str:
    return f"f0:100,{part}:50,{number:08x}:20"


async def call(testbed, part: str, number: int) -> int:
    status, _, _ = await testbed.call(
        "/resume/", body=b"call %d" % number, Prompt_Prefix=prompt(part, number)
    )
    return status


# Guards against calls that crash one endpoint after the other by a part of their
# prompts, while all else in them differs.
async def test_calls_with_a_crashing_part_stop_and_sound_calls_go_on(testbed):
    endpoints = CrashingEndpoints(testbed)
    await endpoints.add(6)
    await testbed.start(configuration_document())
    await testbed.wait_until_ready()
    sound = []
    for number in range(12):
        await call(testbed, BAD_PART, number)
        await asyncio.sleep(RETURN_S)
        sound.append(await call(testbed, f"a{number % 3}", 100 + number))
    assert endpoints.received <= MAX_CRASHES + MAX_SENT_LATER
    assert sound == [200] * 12
