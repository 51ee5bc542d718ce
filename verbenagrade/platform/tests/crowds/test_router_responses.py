"""Tests of crowds that read no response of a router."""

import aiohttp
import pytest

from verbenagrade.platform.tests.crowds.processes import (
    BYTES_PER_MB,
    Observer,
    StartedProcess,
)
from verbenagrade.platform.tests.crowds.test_routers import MEMORY_MB
from verbenagrade.tests.fleet import CALLER_PORT, Fleet, Layout

CLIENTS = 60
RESPONSE_BYTES = 4_000_000
ROUTER = "muscat-a-0"
CALL = (
    b"POST /services/booking/x HTTP/1.1\r\nHost: x\r\n"
    b"Authorization: Bearer key-crew\r\nContent-Length: 0\r\n\r\n"
)


async def is_served(fleet: Fleet) -> bool:
    """Makes a call as an ordinary caller, who comes back after a refusal."""
    try:
        return (await fleet.chat(ROUTER)).status == 200
    except aiohttp.ClientError:
        return False


# Guards against responses of plain services that are kept whole for each caller.
@pytest.mark.parametrize("ahead", [1, 10])
async def test_unread_responses_of_a_service_leave_room(crowd_at, ahead):
    layout = Layout(data_centres=("muscat-a",), routers=1)
    async with Fleet(layout) as fleet:
        await fleet.set_switches("service-muscat-a-0", response_bytes=RESPONSE_BYTES)
        process = StartedProcess(fleet.processes[ROUTER])
        async with (
            Observer(process) as observer,
            crowd_at((fleet.addresses[ROUTER], CALLER_PORT)) as crowd,
        ):
            crowd.add(CLIENTS, lambda _: [CALL * ahead])
            await crowd.settle()
            await fleet.wait_until(lambda: is_served(fleet))
            observer.sample()
            assert process.lives
            memory_mb = observer.memory_bytes / BYTES_PER_MB
            assert memory_mb <= MEMORY_MB, f"{memory_mb:.0f} MB"
