"""Tests of the frames by which VMs reserve tokens with each other."""

import msgspec
import pytest

from verbenagrade.protocol.reservations import Orders, Results

OLDER_BUILD_FIELDS = 3
"""Fields of a frame of builds that don't ask for states."""


# Guards against frames that builds which don't ask for states can't read, and theirs.
@pytest.mark.parametrize("frame", [Orders, Results])
def test_frames_are_read_with_and_without_states(frame):
    encoded = msgspec.msgpack.encode(frame())
    shorter = msgspec.msgpack.decode(encoded)[:OLDER_BUILD_FIELDS]
    decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(shorter), type=frame)
    assert decoded == frame()
