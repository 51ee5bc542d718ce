import pytest

from soak.checks import InvariantChecker

CALL = "c-1"


def body(*numbers: int, version: str = "v1") -> bytes:
    return b"".join(f"id: {n}\ndata: {CALL} {version}\n\n".encode() for n in numbers)


def check(data: bytes, first: int = 1, ended: bool = True) -> InvariantChecker:
    checker = InvariantChecker(prepaid_tokens=1000, tokens_per_event=7)
    checker.check_stream(CALL, data, first, 3, ended)
    return checker


@pytest.mark.parametrize(
    ("data", "first", "ended"),
    [
        (body(1, 2, 3), 1, True),
        (body(3), 3, True),
        (b"", 1, False),
        (body(1), 1, False),
        (body(1) + b"id: 2\nda", 1, False),
        (body(1) + b"id: 2\ndata: c-1 v", 1, False),
        (body(1, 2, 3), 1, False),
    ],
)
def test_sound_streams_violate_nothing(data, first, ended):
    assert check(data, first, ended).violations == []


@pytest.mark.parametrize(
    ("data", "first", "ended"),
    [
        (b"", 1, True),
        (body(1, 2), 1, True),
        (body(1, 2) + b"id: 3\ndata: c-1 v1", 1, True),
        (body(1, 3), 1, False),
        (body(1, 1, 2), 1, False),
        (body(1, 2, 3, 4), 1, False),
        (body(1, 2, 3) + b"\n\n", 1, True),
        (body(1, 2, 3) + b"i", 1, False),
        (body(1, 2), 2, False),
        (body(1) + b"internal error\n\n" + body(2, 3), 1, True),
        (body(1) + b"HTTP/1.1 502 Bad Gateway\r\n", 1, False),
    ],
)
def test_stream_with_gap_repetition_or_other_bytes_is_a_violation(data, first, ended):
    (violation,) = check(data, first, ended).violations
    assert violation.call == CALL


@pytest.mark.parametrize(
    ("data", "ended", "violated"),
    [
        (body(1) + b"noise\n\n", False, False),
        (body(1) + b"noi", False, False),
        (body(1) + b"noise\n\n", True, True),
        (body(1) + b"noise\n\n" + body(2, 3), False, True),
        (body(1) + b"other\n\n", False, True),
    ],
)
def test_noise_of_an_endpoint_may_only_end_a_broken_stream(data, ended, violated):
    checker = InvariantChecker(prepaid_tokens=1000, tokens_per_event=7)
    checker.noise[CALL] = b"noise\n\n"
    checker.check_stream(CALL, data, 1, 3, ended)
    assert bool(checker.violations) == violated


def test_versions_of_complete_events_are_returned():
    checker = InvariantChecker(prepaid_tokens=1000, tokens_per_event=7)
    data = body(1) + body(2, version="v2") + b"id: 3\n"
    assert checker.check_stream(CALL, data, 1, 3, False) == ["v1", "v2"]


@pytest.mark.parametrize(
    ("runs", "complete", "process_ended", "violated"),
    [
        (1, True, False, False),
        (1, False, False, True),
        (1, False, True, False),
        (2, False, False, False),
    ],
)
def test_whole_stream_that_is_not_complete_is_a_violation(
    runs, complete, process_ended, violated
):
    checker = InvariantChecker(prepaid_tokens=1000, tokens_per_event=7)
    checker.run_counts[CALL] = runs
    checker.whole_streams[CALL] = "i-0"
    if process_ended:
        checker.forget_whole_streams("i-0")
    checker.check_whole(CALL, complete)
    assert bool(checker.violations) == violated
