"""Tests of calls that crash endpoints by one part of their prompts."""

import asyncio

from verbenagrade.platform.tests.conftest import configuration_document
from verbenagrade.platform.tests.crashing_endpoints import (
    RETURN_S,
    CrashingEndpoints,
)
from verbenagrade.platform.tests.endpoint_standin import stream

BAD_PART = "bad00001"
MAX_CRASHES = 5
MAX_SENT_LATER = 3


def has_bad_part(request) -> bool:
    parts = request.headers.get("prompt-prefix", "").split(",")[:-1]
    return any(part.startswith(BAD_PART) for part in parts)


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
    endpoints = CrashingEndpoints(testbed, has_bad_part, stream(6, pause=0.01))
    await endpoints.add(6)
    await testbed.start(configuration_document())
    await testbed.wait_until_ready()
    sound = []
    for number in range(12):
        await call(testbed, BAD_PART, number)
        await asyncio.sleep(RETURN_S)
        sound.append(await call(testbed, f"a{number % 3}", 100 + number))
    assert len(endpoints.received) <= MAX_CRASHES + MAX_SENT_LATER
    assert sound == [200] * 12
