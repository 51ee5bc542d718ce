"""Tests of reads from the platform's store that take several pages."""

import aiohttp
import pytest

from verbenagrade.coordination.ports import EraObserver
from verbenagrade.exceptions import PlatformError
from verbenagrade.platform import store, store_port
from verbenagrade.platform.tests.store_standin import StoreStandIn

ROWS = 1_200
PREFIX = "grants/hotel/vm/"


@pytest.fixture
async def standin():
    """Returns a store with ``ROWS`` rows under a prefix, and some others."""
    standin = StoreStandIn()
    await standin.start()
    for number in range(ROWS):
        standin.put("grants", f"vm/{number:05d}", number, part="hotel")
    standin.put("grants", "zone", 1, part="hotel")
    yield standin
    await standin.stop()


@pytest.fixture
async def port(standin):
    """Returns the port to the store."""
    observer = EraObserver(lambda: None, lambda _mark, _era: None)
    async with aiohttp.ClientSession() as session:
        yield store_port(session, settings_for(standin), observer)


def settings_for(standin):
    class Settings:
        store = type("Address", (), {"address": standin.address})
        tuning = type("Tuning", (), {"store_timeout_s": 1.0})

    return Settings


# Guards against a process that recovers from a part of its rows because a scan stopped
# after the first page.
async def test_scan_returns_the_rows_of_all_pages(port):
    rows = await port.scan(PREFIX)
    assert [row.key for row in rows] == [f"{PREFIX}{n:05d}" for n in range(ROWS)]


async def test_load_returns_the_rows_of_all_pages(standin, port):
    for number in range(ROWS):
        standin.put("servers", f"i-{number:05d}", number)
    changes = await port.load("servers", lambda _size: True)
    assert len(changes.rows) == len({row.key for row in changes.rows}) == ROWS


# Guards against a scan that mixes rows of different moments.
async def test_scan_shows_a_single_moment_although_rows_change(standin, port):
    def change_rows():
        """Changes rows of the first page, and adds one after the last."""
        standin.remove("grants", "vm/00000", part="hotel")
        standin.put("grants", "vm/00001", "changed", part="hotel")
        standin.put("grants", "vm/99999", "added", part="hotel")

    standin.before_second_request = change_rows
    rows = {row.key: row.value for row in await port.scan(PREFIX)}
    assert f"{PREFIX}00000" not in rows
    assert rows[f"{PREFIX}00001"] == b'"changed"'
    assert rows[f"{PREFIX}99999"] == b'"added"'


async def test_scan_of_too_many_pages_fails(port, monkeypatch):
    monkeypatch.setattr(store, "MAX_SCAN_PAGES", 2)
    with pytest.raises(PlatformError, match="more than 2 pages"):
        await port.scan(PREFIX)
