"""Tests of the attempts that are known by their idempotency keys."""

from verbenagrade.state import Earlier, GrantId, Instance
from verbenagrade.state.attempts import KnownAttempts

HOLDER = Instance("vm", 1)


def earlier(attempt) -> Earlier:
    return Earlier(attempt, "engine", 10, GrantId("b", HOLDER), HOLDER)


# Guards against a retry that is taken for an attempt of which nothing ran, because a
# late message recorded that attempt once more.
def test_forgotten_attempt_is_not_recorded_again():
    attempts = KnownAttempts()
    attempts.record("crew", "key", earlier("first"))
    attempts.forget("crew", "key", "first")
    attempts.record("crew", "key", earlier("first"))
    assert attempts.find("crew", "key") is None
    attempts.record("crew", "key", earlier("second"))
    assert attempts.find("crew", "key") == earlier("second")
