"""Tests of what all connections of clients share."""

import pytest

from verbenagrade.events import Event
from verbenagrade.transport.clients import shared
from verbenagrade.transport.clients.shared import LINES_PER_S, Clients


@pytest.fixture
def logged(monkeypatch):
    """Returns the events that were logged."""
    events = []
    monkeypatch.setattr(shared, "log_event", lambda event, **_: events.append(event))
    return events


def test_lines_about_clients_are_limited_each_second(logged):
    now = [5.0]
    clients = Clients({}, lambda: now[0])
    for _ in range(10 * LINES_PER_S):
        clients.log(Event.CLIENT_GIVEN_UP)
    assert len(logged) == LINES_PER_S
    now[0] = 6.0
    clients.log(Event.CLIENT_GIVEN_UP)
    assert len(logged) == LINES_PER_S + 1
