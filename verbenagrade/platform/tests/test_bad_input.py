"""Tests of oversized, truncated and slow requests, of settings, signals and metrics."""

import asyncio
import signal
import socket
import subprocess
import sys
from pathlib import Path

import json5
import pytest

from verbenagrade.platform.tests.conftest import configuration_document
from verbenagrade.platform.tests.crashing_endpoints import CrashingEndpoints
from verbenagrade.platform.tests.endpoint_standin import plain
from verbenagrade.settings import find_settings_errors
from verbenagrade.settings.gateway import GatewaySettings
from verbenagrade.state.poison_calls import MIN_POISON_CRASHES

TEMPLATE = Path(__file__).parents[3] / "deploy" / "gateway.json5.template"
REQUEST_HEAD = b"POST /safe/x HTTP/1.1\r\nHost: site.example\r\nRequest-Id: raw\r\n"
AUTHORIZATION = b"Authorization: Bearer key-of-hotel\r\n"


async def send_raw(testbed, *pieces, pause=0.0, close=True):
    """Sends raw bytes to the gateway and returns the response."""
    host, _, port = testbed.url().removeprefix("http://").partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for piece in pieces:
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(pause)
    if close:
        writer.write_eof()
    response = await asyncio.wait_for(reader.read(65_536), 5.0)
    writer.close()
    return response


async def start_with_one_endpoint(testbed):
    endpoint = await testbed.add_endpoint(plain())
    await testbed.start(configuration_document())
    await testbed.wait_until_ready()
    return endpoint


async def test_oversized_header_is_refused(testbed):
    endpoint = await start_with_one_endpoint(testbed)
    head = REQUEST_HEAD + b"X: " + b"y" * 100_000 + b"\r\n\r\n"
    response = await send_raw(testbed, head, close=False)
    assert response.split()[1] == b"400"
    assert endpoint.requests == []


async def test_header_within_the_configured_limit_is_accepted(testbed):
    await start_with_one_endpoint(testbed)
    status, _, _ = await testbed.call("/safe/", X_Long="y" * 12_000)
    assert status == 200


async def test_truncated_body_is_not_sent_to_an_endpoint(testbed):
    endpoint = await start_with_one_endpoint(testbed)
    await send_raw(
        testbed, REQUEST_HEAD + AUTHORIZATION + b"Content-Length: 100\r\n\r\nonly this"
    )
    assert endpoint.requests == []
    await testbed.wait_until(lambda: testbed.core.in_flight == 0)


async def test_smuggled_request_is_refused_and_not_run(testbed):
    endpoint = await start_with_one_endpoint(testbed)
    smuggled = b"POST /safe/hidden HTTP/1.1\r\nHost: site.example\r\n\r\n"
    conflicting_lengths = b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
    response = await send_raw(
        testbed,
        REQUEST_HEAD + AUTHORIZATION + conflicting_lengths + b"0\r\n\r\n" + smuggled,
        close=False,
    )
    assert response.split()[1] == b"400"
    assert endpoint.requests == []


async def test_slow_client_is_served(testbed):
    endpoint = await start_with_one_endpoint(testbed)
    body = b"Content-Length: 6\r\nConnection: close\r\n\r\n"
    pieces = (REQUEST_HEAD, AUTHORIZATION, body, b"abc", b"def")
    response = await send_raw(testbed, *pieces, pause=0.1, close=False)
    assert response.startswith(b"HTTP/1.1 200")
    assert endpoint.requests[0].body == b"abcdef"


async def test_metrics_include_calls_and_latencies(testbed):
    await start_with_one_endpoint(testbed)
    await testbed.call("/safe/")
    await testbed.call("/nowhere/")
    async with testbed.session.get(testbed.url(2)) as response:
        text = await response.text()
    assert 'verbenagrade_requests_total{outcome="200"} 1' in text
    assert 'verbenagrade_requests_total{outcome="404"} 1' in text
    assert "verbenagrade_first_answer_s_bucket" in text
    assert "verbenagrade_configuration_version 1" in text


def free_port() -> int:
    """Returns a port on which nothing listens, also in other runs of the tests."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return listener.getsockname()[1]


def filled_template() -> str:
    """Returns the settings template with an example value for each placeholder."""
    reservation_port = free_port()
    examples = {
        "node": '"front-1"',
        "zone": '"muscat-a"',
        "zones": '{"muscat-a": "muscat"}',
        "listen.front": '"127.0.0.1:0"',
        "listen.ready": '"127.0.0.1:0"',
        "ip": '"127.0.0.1"',
        "internal_ports.0": str(free_port()),
        "internal_ports.1": str(free_port()),
        "internal_ports": f"[{reservation_port}, {reservation_port}]",
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


def test_settings_template_is_valid_for_the_gateway():
    values = json5.loads(filled_template())
    values["memory_mb"] = 150
    assert find_settings_errors(values, GatewaySettings) == ()


@pytest.mark.parametrize("signal_number", [signal.SIGHUP, signal.SIGTERM])
def test_gateway_reloads_on_sighup_and_stops_on_sigterm(tmp_path, signal_number):
    settings = tmp_path / "gateway.json5"
    valid = filled_template()
    settings.write_text(valid)
    process = subprocess.Popen(
        [sys.executable, "-m", "verbenagrade.commands.gateway", str(settings)],
        stdout=subprocess.PIPE,
    )
    try:
        assert b'"event":100' in process.stdout.readline()
        settings.write_text(valid.replace(" 5,", " 4,"))
        process.send_signal(signal_number)
        expected = b'"event":509' if signal_number == signal.SIGHUP else b'"event":101'
        assert any(expected in line for line in process.stdout)
    finally:
        process.kill()
        process.wait()


def test_gateway_reloads_when_its_settings_file_changes_without_a_signal(tmp_path):
    settings = tmp_path / "gateway.json5"
    valid = filled_template()
    settings.write_text(valid)
    process = subprocess.Popen(
        [sys.executable, "-m", "verbenagrade.commands.gateway", str(settings)],
        stdout=subprocess.PIPE,
    )
    try:
        assert b'"event":100' in process.stdout.readline()
        settings.write_text("{")
        assert any(b'"event":510' in line for line in process.stdout)
        settings.write_text(valid.replace(" 5,", " 4,"))
        assert any(b'"event":509' in line for line in process.stdout)
        assert process.poll() is None
    finally:
        process.kill()
        process.wait()


HANG_UP_DURING_IMPORT = """
import builtins, os, runpy, signal, sys
original = builtins.__import__
def hang_up(name, *args, **options):
    if name == "typer":
        os.kill(os.getpid(), signal.SIGHUP)
    return original(name, *args, **options)
builtins.__import__ = hang_up
sys.argv = ["verbenagrade-gateway", "--help"]
runpy.run_module("verbenagrade.commands.gateway", run_name="__main__")
"""


# Guards against a process that SIGHUP ends while it starts.
def test_signal_to_reload_during_the_start_does_not_end_the_process():
    command = [sys.executable, "-c", HANG_UP_DURING_IMPORT]
    result = subprocess.run(command, capture_output=True, timeout=60)
    assert result.returncode == 0
    assert b"SETTINGS" in result.stdout


async def test_call_that_crashes_three_endpoints_is_not_sent_again(testbed):
    """A call with the same path, key and body is recognised, also by other VMs."""
    endpoints = CrashingEndpoints(testbed, lambda _: True, plain())
    await endpoints.add(5)
    await testbed.start(configuration_document())
    await testbed.wait_until_ready()
    await testbed.start_another()
    statuses = [(await testbed.call("/safe/"))[0] for _ in range(4)]
    assert 422 in statuses
    sent = len(endpoints.received)
    assert sent <= MIN_POISON_CRASHES + 1
    for gateway in (testbed.gateway, *testbed.others):
        assert (await testbed.call("/safe/", gateway=gateway))[0] == 422
    assert len(endpoints.received) == sent
    reports = [k for t, _, k in testbed.store.rows if t == "fleet" and "crash/" in k]
    assert len(reports) >= MIN_POISON_CRASHES
