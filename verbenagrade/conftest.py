"""Pytest options and fixtures shared by all tests."""

from pathlib import Path

import pytest
from aiohttp import client_proto, http_parser

from verbenagrade.tests.fleet import Fleet, Layout
from verbenagrade.tests.golden import GoldenTranscript

KNOWN_FAILURES_FILE = "KNOWN-RED.txt"
ENTRY_PREFIX = "test: "
PARSERS = [http_parser.HttpResponseParser, http_parser.HttpResponseParserPy]
SHORT_TIMING = {
    "journal_s": 0.3,
    "settle_s": 0.1,
    "tend_s": 0.3,
    "configuration_s": 0.3,
    "vm_list_s": 0.3,
    "heartbeat_s": 0.3,
    "recovery_s": 0.4,
    "peer_timeout_s": 1.0,
    "patience_s": 0.5,
    "connect_s": 0.5,
    "progress_s": 1.5,
}


def pytest_addoption(parser):
    """Adds the option ``--update-golden``, which rewrites the golden files."""
    parser.addoption("--update-golden", action="store_true")


def pytest_collection_modifyitems(config, items):
    """Marks the tests listed in ``KNOWN-RED.txt`` as expected to fail."""
    listed = read_known_failures(config.rootpath / KNOWN_FAILURES_FILE)
    for item in items:
        if item.nodeid in listed:
            reason = f"listed in {KNOWN_FAILURES_FILE}"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(terminalreporter, config):
    """Prints the tests that are allowed to fail."""
    for nodeid in sorted(read_known_failures(config.rootpath / KNOWN_FAILURES_FILE)):
        terminalreporter.write_line(f"{KNOWN_FAILURES_FILE}: {nodeid}")


def read_known_failures(path: Path) -> frozenset[str]:
    """Returns the node IDs of the tests listed in a file, if it exists."""
    if not path.exists():
        return frozenset()
    lines = path.read_text().splitlines()
    return frozenset(
        line.removeprefix(ENTRY_PREFIX).strip()
        for line in lines
        if line.startswith(ENTRY_PREFIX)
    )


@pytest.fixture(params=PARSERS, ids=["first-choice", "python"])
def parser(request, monkeypatch):
    """Has responses parsed by one of the parsers that the HTTP library has.

    One is written in C, and one in Python for where its extension is missing.
    """
    monkeypatch.setattr(client_proto, "HttpResponseParser", request.param)


@pytest.fixture
def golden(request):
    """Returns the golden file of the test."""
    folder = request.path.parent / "golden"
    update = request.config.getoption("--update-golden")
    return GoldenTranscript(folder / f"{request.node.name}.golden", update)


@pytest.fixture
def start_fleet():
    """Returns a function that creates a fleet with short periods and timeouts."""

    def start(**layout):
        """Creates a fleet, a context manager that starts the processes on entry."""
        timing = {**SHORT_TIMING, **layout.pop("timing", {})}
        return Fleet(Layout(timing=timing, **layout))

    return start
