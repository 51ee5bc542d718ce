"""Tests that only events which a caller lacks are taken out of a stream."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from verbenagrade.protocol.event_stream import EventSplitter

PIECES = st.lists(
    st.sampled_from(
        [b"id: %d\ndata: x\n\n" % number for number in range(1, 6)]
        + [
            b": comment\n\n",
            b"\n",
            b"\n\n",
            b"id: 2\n",
            b"data: y",
            b"\x00\xff",
            b"id:",
        ]
        + [b"HTTP/1.1 500 Oops\r\n\r\n", b"weight: 3\nid: 7\ndata: z\n\n"]
    )
    | st.binary(max_size=9),
    max_size=12,
)


def feed(data, sizes=()):
    """Returns what a splitter passes on of data in blocks, up to the first fault."""
    splitter, passed, ids = EventSplitter(), b"", []
    ends = [*sorted(min(size, len(data)) for size in sizes), len(data)]
    start = 0
    for end in ends:
        events = splitter.feed(data[start:end])
        start = end
        passed += events.data
        ids += [int(events.last_id)] if events.last_id else []
        if events.fault:
            break
    return passed, ids


@settings(derandomize=True, max_examples=300)
@given(PIECES, st.lists(st.integers(0, 150), max_size=5))
def test_events_are_passed_on_unchanged_and_in_order(pieces, sizes):
    data = b"".join(pieces)
    passed, ids = feed(data, sizes)
    assert data.startswith(passed)
    assert ids == sorted(set(ids))
    assert passed == feed(data)[0]


@pytest.mark.parametrize(
    "text",
    [
        b"no field\n\n",
        b"data: without id\n\n",
        b"id: 1\nid: 2\ndata: x\n\n",
        b"id: -1\ndata: x\n\n",
        b"id: 1" + b"0" * 5000 + b"\n\n",
        b"id: 4\ndata: had it\n\n",
        b'{"error": "busy"}\n\n',
        b"HTTP/1.1 500 Oops\r\nContent-Length: 3\r\n\r\nbad\n\n",
    ],
)
def test_bytes_that_are_no_event_are_not_passed_on(text):
    splitter = EventSplitter("4")
    events = splitter.feed(b"id: 5\ndata: x\n\n" + text.replace(b"id: 4", b"id: 5"))
    assert events.data == b"id: 5\ndata: x\n\n"
    assert events.fault


def test_event_that_the_caller_has_is_not_passed_on():
    assert EventSplitter("4").feed(b"id: 4\ndata: x\n\n").fault
