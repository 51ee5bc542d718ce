"""Tests of permits for calls to endpoints with a limit."""

import random

from verbenagrade.state.permits import (
    HORIZON_S,
    VALIDITY_S,
    HeldPermits,
    OutageShare,
    give_permits,
)


# Guards against permits that a VM saves up and uses all at once.
def test_permit_ends_some_time_after_its_slot():
    held = HeldPermits()
    held.add([10.0, 10.5])
    assert not held.use(10.5 + VALIDITY_S + 0.01)
    held.add([11.5])
    assert held.use(11.5 + VALIDITY_S - 0.01)


def test_slots_are_given_once_and_not_far_ahead():
    given_until, slots = 0.0, []
    for tenth in range(100):
        now = 10.0 + tenth / 10
        given = give_permits(given_until, now, 3.0, wanted=10)
        given_until = given.given_until
        assert all(now <= slot <= now + HORIZON_S for slot in given.slots)
        slots.extend(given.slots)
    assert len(slots) == len(set(slots))
    assert 30 <= len(slots) <= 30 + 3 * HORIZON_S + 1


# Guards against a burst when all VMs lose the store at once.
def test_shares_of_many_vms_do_not_begin_at_once():
    rng, vms = random.Random(1), 200
    shares = [OutageShare() for _ in range(vms)]
    assert sum(share.use(4.0, vms, 10.0, rng) for share in shares) <= 2
    later = [10.0 + tenth / 10 for tenth in range(400)]
    used = sum(share.use(4.0, vms, now, rng) for now in later for share in shares)
    assert 30 <= used <= 50
