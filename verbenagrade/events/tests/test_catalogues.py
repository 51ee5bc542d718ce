"""Tests that the catalogues of events and errors in ``docs`` are complete."""

from pathlib import Path

from verbenagrade import exceptions
from verbenagrade.events import Event

DOCS = Path(__file__).parents[3] / "docs"


def test_event_numbers_are_unique():
    numbers = [event.number for event in Event]
    assert len(numbers) == len(set(numbers))


def test_catalogue_contains_every_event_and_its_message():
    page = (DOCS / "events" / "catalogue.md").read_text()
    rows = [f"| {event.number} | {event.message} |" for event in Event]
    assert [row for row in rows if row not in page] == []


def test_catalogue_contains_every_error():
    page = (DOCS / "errors.md").read_text()
    missing = [name for name in exceptions.__all__ if f"`{name}`" not in page]
    assert missing == []
