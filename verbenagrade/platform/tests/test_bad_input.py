"""Callers that send too much, too little or too slowly; settings and metrics."""

import asyncio
import signal
import subprocess
import sys
from pathlib import Path

import json5
import pytest

from verbenagrade.platform.tests.conftest import configuration
from verbenagrade.platform.tests.replica_standin import plain, reset
from verbenagrade.settings import find_settings_errors
from verbenagrade.settings.gateway import GatewaySettings
from verbenagrade.state.convictions import CRASHES_TO_CONVICT

TEMPLATE = Path(__file__).parents[3] / "deploy" / "gateway.json5.template"
HEAD = b"POST /safe/x HTTP/1.1\r\nHost: site.example\r\nRequest-Id: raw\r\n"
KEY = b"Authorization: Bearer key-of-hotel\r\n"


async def raw(world, *pieces, pause=0.0, close=True):
    """Sends bytes as they are and returns what comes back."""
    host, _, port = world.url().removeprefix("http://").partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for piece in pieces:
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(pause)
    if close:
        writer.write_eof()
    answer = await asyncio.wait_for(reader.read(65_536), 5.0)
    writer.close()
    return answer


async def ready(world):
    replica = await world.replica(plain())
    await world.start(configuration())
    await world.until_ready()
    return replica


async def test_oversize_header_is_refused(world):
    replica = await ready(world)
    head = HEAD + b"X: " + b"y" * 100_000 + b"\r\n\r\n"
    answer = await raw(world, head, close=False)
    assert answer.split()[1] == b"400"
    assert replica.seen == []


async def test_header_within_the_configured_limit_is_accepted(world):
    await ready(world)
    status, _, _ = await world.call("/safe/", X_Long="y" * 12_000)
    assert status == 200


async def test_body_that_is_cut_off_reaches_no_endpoint(world):
    replica = await ready(world)
    await raw(world, HEAD + KEY + b"Content-Length: 100\r\n\r\nonly this")
    assert replica.seen == []
    await world.until(lambda: world.core.in_flight == 0)


async def test_request_hidden_in_another_is_not_run(world):
    replica = await ready(world)
    hidden = b"POST /safe/hidden HTTP/1.1\r\nHost: site.example\r\n\r\n"
    doubled = b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
    answer = await raw(world, HEAD + KEY + doubled + b"0\r\n\r\n" + hidden, close=False)
    assert answer.split()[1] == b"400"
    assert replica.seen == []


async def test_slow_client_is_served(world):
    replica = await ready(world)
    body = b"Content-Length: 6\r\nConnection: close\r\n\r\n"
    pieces = (HEAD, KEY, body, b"abc", b"def")
    answer = await raw(world, *pieces, pause=0.1, close=False)
    assert answer.startswith(b"HTTP/1.1 200")
    assert replica.seen[0].body == b"abcdef"


async def test_metrics_tell_calls_and_latencies(world):
    await ready(world)
    await world.call("/safe/")
    await world.call("/nowhere/")
    async with world.session.get(world.url(2)) as response:
        text = await response.text()
    assert 'verbenagrade_requests_total{outcome="200"} 1' in text
    assert 'verbenagrade_requests_total{outcome="404"} 1' in text
    assert "verbenagrade_first_answer_s_bucket" in text
    assert "verbenagrade_configuration_version 1" in text


def filled_template() -> str:
    """Returns the template with an example in place of each field."""
    examples = {
        "node": '"front-1"',
        "zone": '"muscat-a"',
        "zones": '{"muscat-a": "muscat"}',
        "listen.front": '"127.0.0.1:0"',
        "listen.ready": '"127.0.0.1:0"',
        "ip": '"127.0.0.1"',
        "internal_ports.0": "18999",
        "platform.address": '"127.0.0.1:1"',
        "bounds.strict_revoke": "false",
        "bounds.retry_budget_ratio": "0.2",
    }
    text = TEMPLATE.read_text()
    for field, value in examples.items():
        text = text.replace("{{" + field + "|json}}", value)
    while "{{" in text:
        start = text.index("{{")
        text = text[:start] + "5" + text[text.index("}}") + 2 :]
    return text


def test_settings_template_fills_in_every_setting():
    values = json5.loads(filled_template())
    values["memory_mb"] = 150
    assert find_settings_errors(values, GatewaySettings) == ()


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_program_takes_signals(tmp_path, number):
    settings = tmp_path / "gateway.json5"
    settings.write_text(filled_template())
    process = subprocess.Popen(
        [sys.executable, "-m", "verbenagrade.commands.gateway", str(settings)],
        stdout=subprocess.PIPE,
    )
    try:
        assert b'"event":100' in process.stdout.readline()
        settings.write_text(filled_template().replace("5,", "4,"))
        process.send_signal(number)
        wanted = b'"event":509' if number == signal.SIGHUP else b'"event":101'
        assert any(wanted in line for line in process.stdout)
    finally:
        process.kill()
        process.wait()


async def test_call_that_breaks_three_endpoints_is_sent_to_none_any_more(world):
    """It comes again with the same path, key and body, here or at another VM."""
    replicas = [await world.replica(reset()) for _ in range(5)]
    await world.start(configuration())
    await world.until_ready()
    statuses = [(await world.call("/safe/"))[0] for _ in range(4)]
    assert 422 in statuses
    sent = sum(len(replica.seen) for replica in replicas)
    assert sent <= CRASHES_TO_CONVICT + 1
    assert (await world.call("/safe/"))[0] == 422
    assert sum(len(replica.seen) for replica in replicas) == sent
    reports = [k for t, _, k in world.store.rows if t == "fleet" and "crash/" in k]
    assert len(reports) >= CRASHES_TO_CONVICT
