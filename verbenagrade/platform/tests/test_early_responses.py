"""Tests of endpoints that respond while a body is still sent to them, and break off."""

import asyncio

import pytest

from verbenagrade.platform.tests import conftest
from verbenagrade.platform.tests.endpoint_standin import (
    EndpointStandIn,
    ReceivedRequest,
    encode_event,
    head_for_call,
)
from verbenagrade.platform.tests.response_ends import (
    WAYS,
    close_connection,
    listen,
    looks_whole,
    start,
)

BODY_BYTES = [300_000, 3_000_000]
FRAMINGS = {
    "connection": {},
    "chunks": {"Transfer_Encoding": "chunked"},
    "length": {"Content_Length": 1_000},
}
PART = encode_event(1)
READ_BYTES = [0, 100_000]
"""What the endpoint reads of a body before it breaks off, in bytes."""

PAUSES_S = [0.0, 0.02]
DEADLINE_MS = "60000"
LONG = {"timeout_ms": 60_000, "target_latency_ms": 60_000}


class EarlyEndpoint(EndpointStandIn):
    """An endpoint whose handlers get the head of a request, and read its body."""

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode().split("\r\n")[1:-2]
            headers = {
                name.lower(): value.strip()
                for name, _, value in (line.partition(":") for line in lines)
            }
            self.requests.append(ReceivedRequest("POST", "", headers, b""))
            handle = self.handlers.pop(0) if self.handlers[1:] else self.handlers[0]
            await handle(reader, headers, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


@pytest.fixture(autouse=True)
def early_endpoints(monkeypatch):
    monkeypatch.setattr(conftest, "EndpointStandIn", EarlyEndpoint)


def breaks_off(framing, read_bytes, pause_s, close):
    """Responds at once with a part of a body, and breaks off in the upload."""

    async def handle(reader, headers, writer):
        part = b"%x\r\n%s\r\n" % (len(PART), PART) if framing == "chunks" else PART
        writer.write(head_for_call(headers["request-id"], **FRAMINGS[framing]) + part)
        await writer.drain()
        if read_bytes:
            await reader.readexactly(read_bytes)
        await asyncio.sleep(pause_s)
        await close_connection(None, writer, close)

    return handle


async def whole(reader, headers, writer):
    """Reads the whole body, and responds."""
    await reader.readexactly(int(headers["content-length"]))
    writer.write(head_for_call(headers["request-id"], Content_Length=len(PART)) + PART)
    await writer.drain()


# Guards against a part of a body that a caller takes for a complete response.
@pytest.mark.parametrize("size_bytes", BODY_BYTES)
@pytest.mark.parametrize("way", WAYS)
async def test_response_that_breaks_off_in_an_upload_is_not_complete(
    testbed, parser, way, size_bytes
):
    await start(testbed, way, 1, whole, **LONG)
    for framing in FRAMINGS:
        for read_bytes in READ_BYTES:
            for pause_s in PAUSES_S:
                handler = breaks_off(framing, read_bytes, pause_s, "reset")
                for endpoint in testbed.endpoints:
                    endpoint.handlers = [handler]
                for path in ("/once/x", "/stream/x"):
                    heard = await listen(
                        testbed, path, body=b"x" * size_bytes, Deadline_Ms=DEADLINE_MS
                    )
                    case = (framing, read_bytes, pause_s, path)
                    assert not looks_whole(heard), case
                    assert heard.status in (0, 200, 502), case


# Guards against the part of one response that is joined with another, or taken for it.
@pytest.mark.parametrize("size_bytes", BODY_BYTES)
@pytest.mark.parametrize("way", WAYS)
async def test_call_that_may_run_again_gets_a_whole_response(
    testbed, parser, way, size_bytes
):
    await start(testbed, way, 2, whole, **LONG)
    for framing in FRAMINGS:
        for read_bytes in READ_BYTES:
            handlers = [breaks_off(framing, read_bytes, 0.0, "reset"), whole]
            for endpoint in testbed.endpoints:
                endpoint.handlers = handlers
            heard = await listen(
                testbed, "/safe/x", body=b"x" * size_bytes, Deadline_Ms=DEADLINE_MS
            )
            assert looks_whole(heard) and heard.body == PART, (framing, read_bytes)


async def test_whole_response_to_an_upload_is_passed_on(testbed, parser):
    await start(testbed, "direct", 1, whole, **LONG)
    heard = await listen(
        testbed, "/once/x", body=b"x" * BODY_BYTES[-1], Deadline_Ms=DEADLINE_MS
    )
    assert looks_whole(heard) and heard.body == PART
