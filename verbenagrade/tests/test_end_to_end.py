"""End-to-end tests of each kind of request, and of invalid input."""

import asyncio
import json

import pytest


async def test_session_of_each_kind_of_request(start_fleet, golden):
    async with start_fleet() as fleet:
        unstreamed = await fleet.chat("muscat-a-0", answer_words=3)
        golden.add_response("a whole answer", unstreamed)
        streamed = await fleet.chat(
            "dhofar-a-0",
            stream=True,
            answer_words=3,
            stream_options={"include_usage": True},
        )
        golden.add_response("a streamed answer with usage", streamed)
        headers = {
            "Authorization": "Bearer key-crew",
            "Idempotency-Key": "shift-1",
        }
        path = "/services/booking/shifts"
        for vm in ("muscat-a-0", "dhofar-a-1"):
            call = await fleet.send_request(vm, "POST", path, {"shift": 1}, **headers)
            golden.add_response(f"a confirmation through {vm}", call)
            await asyncio.sleep(0.3)
        golden.add_bills("the ledger", await fleet.wait_for_bills(3))
        golden.add_step("what the services ran", await fleet.service_calls())
        golden.check()


def chat_body(**options):
    body = {"model": "verbena", "messages": [{"role": "user", "content": "hi"}]}
    return json.dumps({**body, **options}).encode()


BAD_INPUT = [
    ("malformed JSON", {}, b'{"model": '),
    ("wrong type", {}, chat_body(max_tokens="many")),
    ("no messages", {}, chat_body(messages=[])),
    ("negative bound", {}, chat_body(max_tokens=-5)),
    ("several answers", {}, chat_body(n=2)),
    ("unknown route", {}, chat_body(model="nothing")),
    ("unknown budget", {"Verbenagrade-Budget": "nobody"}, chat_body()),
    ("unknown key", {"Authorization": "Bearer nobody"}, chat_body()),
    ("no key", {"Authorization": "Basic abc"}, chat_body()),
    ("a service as a model", {}, chat_body(model="booking")),
    ("oversize body", {}, chat_body(pad="x" * 2_000_000)),
    ("not UTF-8", {}, b'{"model": "\xff\xfe"}'),
]


async def test_bad_input_gets_typed_answers_and_leaks_nothing(start_fleet, golden):
    async with start_fleet(data_centres=("muscat-a",)) as fleet:
        for title, headers, body in BAD_INPUT:
            headers = {"Authorization": "Bearer key-crew", **headers}
            response = await fleet.send_request(
                "muscat-a-0", "POST", "/v1/chat/completions", body, **headers
            )
            assert response.json()["outcome"] == "not_run", title
            golden.add_response(title, response)
        for vm in fleet.router_vms():
            status = (await fleet.send_request(vm, "GET", "/status")).json()
            assert status["reserved_tokens"] == 0
            assert status["unsettled_attempts"] == 0
        assert await fleet.served_tokens() == {}
        golden.check()


async def raw_request(fleet, head: str, body: bytes, timeout_s: float) -> bytes:
    """Sends raw bytes to a router and returns the first bytes of the response.

    Closes the connection and returns nothing after ``timeout_s`` without data.
    """
    address = fleet.addresses["muscat-a-0"]
    reader, writer = await asyncio.open_connection(address, 18080)
    writer.write(head.replace("\n", "\r\n").encode() + b"\r\n" + body)
    try:
        async with asyncio.timeout(timeout_s):
            return await reader.read(65536)
    except TimeoutError:
        return b""
    finally:
        writer.close()


REQUEST_HEAD = """POST /v1/chat/completions HTTP/1.1
Host: router
Authorization: Bearer key-crew
Content-Type: application/json
Content-Length: {length}
"""


@pytest.mark.parametrize(
    ("title", "extra", "length", "timeout_s", "expected"),
    [
        ("a header twice", "Idempotency-Key: a\nIdempotency-Key: b\n", 0, 2.0, b"400"),
        ("a body that stops half-way", "", 500, 0.3, b""),
        ("a caller that goes away mid-stream", "", 0, 0.2, b"200"),
    ],
)
async def test_broken_requests_leave_no_reservations(
    start_fleet, title, extra, length, timeout_s, expected
):
    async with start_fleet(data_centres=("muscat-a",)) as fleet:
        await fleet.set_switches("engine-muscat-a-0", token_s=0.05)
        body = chat_body(stream=True, answer_words=100, max_tokens=200)
        head = REQUEST_HEAD.format(length=length or len(body)) + extra
        response = await raw_request(fleet, head, body, timeout_s)
        assert response.startswith(b"HTTP/1.1 " + expected if expected else b""), title
        await fleet.wait_until(fleet.is_settled)
        billed = sum(bill["tokens"] for bill in await fleet.bills())
        assert billed == sum((await fleet.served_tokens()).values())
