import asyncio
import random

import pytest

from soak.ends import PROCESS_ENDS, StreamEnd, choose_end
from soak.proxy import Proxy, reset_connection
from verbenagrade.state.response_end import Framing


def ends(count: int = 3000) -> list[StreamEnd]:
    rng = random.Random(1)
    return [choose_end(rng, 12) for _ in range(count)]


def test_ends_have_each_framing_with_each_kind():
    pairs = {(end.framing, end.kind) for end in ends()}
    kinds = {kind for _, kind in pairs} - {PROCESS_ENDS}
    assert {(framing, kind) for framing in Framing for kind in kinds} <= pairs
    assert {framing for framing, kind in pairs if kind == PROCESS_ENDS} == {
        Framing.CONNECTION
    }


def test_streams_break_off_before_after_and_inside_events():
    places = {(end.events > 0, end.cut_bytes > 0) for end in ends()}
    assert places == {(False, False), (True, False), (False, True), (True, True)}


def test_streams_without_further_events_have_ends_too():
    rng = random.Random(1)
    assert {choose_end(rng, 0).events for _ in range(300)} == {0}


@pytest.mark.parametrize("passes_resets", [True, False])
async def test_proxy_passes_a_reset_on_if_it_is_to(passes_resets):
    async def reset(_reader, writer):
        reset_connection(writer)

    target = await asyncio.start_server(reset, "127.0.0.1", 0)
    port = target.sockets[0].getsockname()[1]
    proxy = Proxy(f"127.0.0.1:{port}", passes_resets)
    await proxy.start()
    host, _, port = proxy.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        ended = await reader.read()
    except ConnectionResetError:
        ended = None
    assert ended == (None if passes_resets else b"")
    writer.close()
    proxy.stop()
    target.close()
