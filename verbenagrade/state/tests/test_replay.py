"""Tests of the decision whether a feed's response is worth reading."""

from verbenagrade.state.replay import ReplayDetector


def detector(table_bytes=420_000, transfer_s=0.1) -> ReplayDetector:
    result = ReplayDetector()
    result.record_table({"op//config": table_bytes}, transfer_s)
    return result


def test_single_large_change_is_read():
    assert not detector().is_replay(560_000, wait_s=0.04)


def test_response_larger_than_the_table_is_a_replay():
    assert detector().is_replay(1_120_000, wait_s=2.0)


def test_small_response_is_read_whatever_the_table_contains():
    assert not detector(table_bytes=0).is_replay(60_000, wait_s=0.0)


# Guards against documents that fill a page each, so that every response has the size
# of the table although newer documents follow it.
def test_change_made_during_a_slow_transfer_is_a_replay():
    assert detector(transfer_s=1.0).is_replay(560_000, wait_s=0.04)


def test_change_that_was_waited_for_is_read_after_a_slow_transfer():
    assert not detector(transfer_s=1.0).is_replay(560_000, wait_s=1.0)


def test_removed_rows_do_not_count_as_part_of_the_table():
    changing = detector()
    changing.record_changes({}, ["op//config"], transfer_s=0.0)
    assert changing.is_replay(100_000, wait_s=1.0)
