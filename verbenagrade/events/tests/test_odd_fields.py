"""Tests that a log line is written whatever its fields are."""

from datetime import datetime
from types import SimpleNamespace

import msgspec
import pytest

from verbenagrade.events import Event
from verbenagrade.events.log import _format_record


# Guards against a call that fails because its own log line can't be encoded.
@pytest.mark.parametrize(
    "value", ["\udcff", 10**400, float("inf"), b"\xff", [["\udcff"]], {"\udcff": 1}]
)
def test_any_field_can_be_logged(value):
    record = SimpleNamespace(
        time=datetime(2026, 12, 5),
        level_name="WARNING",
        message="text",
        extra={"event": Event.ENTRY_IGNORED, "fields": {"row": value, "reason": "r"}},
    )
    line = msgspec.json.decode(_format_record(record, "front-1"))
    assert (line["event"], line["process"]) == (Event.ENTRY_IGNORED.number, "front-1")
    assert "reason" in line
    assert "row" in line
