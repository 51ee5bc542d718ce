"""Tests that any headers of callers and endpoints are read, or refused with 400."""

import hypothesis.strategies as st
import pytest
from hypothesis import given

from verbenagrade.platform import CALL_FORMAT
from verbenagrade.platform.tests.conftest import configuration_document
from verbenagrade.platform.tests.endpoint_standin import plain
from verbenagrade.platform.tests.test_bad_input import (
    AUTHORIZATION,
    REQUEST_HEAD,
    send_raw,
)
from verbenagrade.platform.tests.test_odd_rows import BUDGETED, TENANTS, start
from verbenagrade.tests.odd_values import FUZZ

MAX_TIME_S = 1e12
ODD_NUMBERS = (
    "",
    "-5",
    "-0.1",
    "nan",
    "inf",
    "-inf",
    "1e400",
    "1e300",
    "1_0",
    "٣",
    "9" * 400,
    "9" * 5000,
    "0x10",
    "5,-5",
    "5,5,5",
    "a:-1",
    "a:b:c",
    "a:" + "9" * 400,
    "\udcff",
    "\udcff:5,b:5",
    ",",
    ":",
    "5",
    "a:5,b:6",
)

ODD_HEADERS = (
    b"Token-Count: " + b"9" * 5000,
    b"Token-Count: -50000,10",
    b"Token-Count: 10,-50000",
    b"Token-Count: \xd9\xa3",
    b"Token-Count: 1_0",
    b"Token-Count: 1e5",
    b"Deadline-Ms: nan",
    b"Deadline-Ms: inf",
    b"Deadline-Ms: 1e400",
    b"Deadline-Ms: -5",
    b"Deadline-Ms: \xff",
    b"Prompt-Prefix: a:-5,b:5",
    b"Prompt-Prefix: a:b:c",
    b"Prompt-Prefix: \xff:5,b:5",
    b"Prompt-Prefix: a:" + b"9" * 400,
    b"Request-Id: \xff",
    b"Resumes: \xff",
    b"Last-Event-Id: \xff",
    b"Model: \xff",
)


@FUZZ
@given(
    deadline=st.sampled_from(ODD_NUMBERS),
    tokens=st.sampled_from(ODD_NUMBERS),
    prompt=st.sampled_from(ODD_NUMBERS) | st.text(max_size=30),
    call_id=st.sampled_from(["", "a", "\udcff", "٣", "x" * 9000]),
)
def test_any_headers_give_a_sound_head_or_a_value_error(
    deadline, tokens, prompt, call_id
):
    headers = {
        "Deadline-Ms": deadline,
        "Token-Count": tokens,
        "Prompt-Prefix": prompt,
        "Request-Id": call_id,
        "Resumes": call_id,
        "Last-Event-Id": call_id,
        "Model": call_id,
        "Authorization": f"Bearer {call_id}",
    }
    try:
        head = CALL_FORMAT.read_head(headers, "/x")
    except ValueError:
        return
    assert 0.0 <= head.timeout_s < MAX_TIME_S
    assert 0 <= head.tokens.prompt < 2**53
    assert 0 <= head.tokens.output < 2**53
    assert all(0 <= part.tokens < 2**53 for part in head.prompt)
    texts = (head.call_id, head.resumed_call, head.resume_after, head.model)
    for text in (*texts, *(part.name for part in head.prompt)):
        text.encode()


# Guards against a call that asks for a negative number of tokens, which would give
# its workspace more than was prepaid.
@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("Token-Count", "-5"),
        ("Token-Count", "5,-500"),
        ("Token-Count", "9" * 400),
        ("Token-Count", "9" * 5000),
        ("Token-Count", "٣"),
        ("Token-Count", "1_0"),
        ("Deadline-Ms", "nan"),
        ("Deadline-Ms", "inf"),
        ("Deadline-Ms", "1e400"),
        ("Deadline-Ms", "-5"),
        ("Prompt-Prefix", "a:-5"),
        ("Prompt-Prefix", "a:" + "9" * 400),
        ("Request-Id", "\udcff"),
        ("Resumes", "\udcff"),
    ],
)
def test_odd_header_of_a_caller_is_a_value_error(name, value):
    with pytest.raises(ValueError, match=name):
        CALL_FORMAT.read_head({name: value}, "/x")


@FUZZ
@given(
    status=st.sampled_from([200, 421, 503]),
    texts=st.lists(
        st.sampled_from(ODD_NUMBERS) | st.text(max_size=20), min_size=6, max_size=6
    ),
)
def test_any_headers_of_an_endpoint_give_a_head(status, texts):
    names = (
        "Request-Id",
        "Server-Limit",
        "Server-Brittle",
        "Retry-After",
        "Server-Leaving",
        "Not-Executed",
    )
    headers = dict(zip(names, texts, strict=True))
    head = CALL_FORMAT.read_response_head(status, headers, "call-1")
    for number in (head.limit_per_s, head.rejections_per_s, head.pause_s):
        assert number is None or 0.0 <= number < MAX_TIME_S


# Guards against a header that gets its caller a 500, or a budget asked for a negative
# number of tokens.
@pytest.mark.parametrize("header", ODD_HEADERS, ids=lambda header: str(header[:30]))
async def test_odd_header_of_a_caller_gets_400(testbed, header):
    await start(testbed)
    head = REQUEST_HEAD
    if header.startswith(b"Request-Id"):
        head = head.replace(b"Request-Id: raw\r\n", b"")
    request = head + AUTHORIZATION + header + b"\r\nContent-Length: 0\r\n\r\n"
    response = await send_raw(testbed, request, close=False)
    assert response.split()[1] == b"400"
    assert testbed.endpoints[0].requests == []
    assert testbed.core.in_flight == 0
    account = testbed.core.allowance_manager.accounts.get("hotel")
    assert account is None or account.allowance.reserved == 0


async def test_key_that_is_not_utf8_is_not_known(testbed):
    await start(testbed)
    for path, status in ((b"/safe/x", b"401"), (b"/safe/public/x", b"200")):
        request = REQUEST_HEAD.replace(b"/safe/x", path)
        request += b"Authorization: Bearer \xff\r\nContent-Length: 0\r\n\r\n"
        response = await send_raw(testbed, request, close=False)
        assert response.split()[1] == status


@pytest.mark.parametrize(
    "request_line",
    [
        b"POST /safe/\xff HTTP/1.1\r\nHost: site.example\r\n",
        b"POST /safe/x HTTP/1.1\r\nHost: \xff\r\n",
        b"POST /safe/x HTTP/1.1\r\nHost: site.example\r\nX-Odd: \xff\r\n",
        b"POST /safe/x HTTP/1.1\r\nHost: site.example\r\nConnection: \xff\r\n",
        b"POST /safe/x HTTP/1.1\r\nHost: site.example:99999\r\n",
    ],
)
async def test_odd_bytes_of_a_caller_get_no_500(testbed, request_line):
    await start(testbed)
    response = await send_raw(
        testbed,
        request_line + AUTHORIZATION + b"Request-Id: a\r\nContent-Length: 0\r\n\r\n",
        close=False,
    )
    assert response.split()[1] in (b"200", b"400", b"404")
    assert testbed.core.in_flight == 0
    assert (await testbed.call("/safe/x"))[0] == 200


@pytest.mark.parametrize(
    "value", ["9" * 5000, "nan", "inf", "1e400", "1e300", "-1", "\udcff", "٣", ""]
)
async def test_odd_header_of_an_endpoint_fails_no_call(testbed, value):
    odd = {"Server_Limit": value, "Server_Brittle": value, "Retry_After": value}
    await testbed.add_endpoint(_odd(odd), _odd(odd, "503 Service Unavailable"))
    await testbed.add_endpoint(plain())
    await testbed.start(configuration_document(tenants=TENANTS))
    await testbed.wait_until_ready()
    for _ in range(6):
        assert (await testbed.call("/safe/", **BUDGETED))[0] == 200
    assert not [task for task in testbed.gateway.tasks if task.done()]


def _odd(headers, status="200 OK"):
    """Returns a handler whose response has headers with odd bytes."""

    async def handle(request, writer):
        lines = [
            f"HTTP/1.1 {status}",
            f"Request-Id: {request.headers['request-id']}",
            "Server-Seal: 3e1b.07.seal",
            "Content-Length: 0",
            *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
        ]
        text = "\r\n".join(lines) + "\r\n\r\n"
        writer.write(text.encode("utf-8", "surrogateescape"))
        await writer.drain()

    return handle
