"""Load patterns on engines: the gateway's placement against simpler ways."""

import pytest

from benchmarks.engines.__main__ import PATTERNS
from benchmarks.engines.policies import POLICIES
from benchmarks.engines.world import Fleet, simulate

FLEET = Fleet(duration_s=12.0)


@pytest.mark.parametrize("pattern", PATTERNS, ids=lambda pattern: pattern.name)
def test_placement_earns_more_than_simpler_ways(pattern):
    """Mean over two seeds of the worth earned in time."""

    def mean_worth(name):
        """Returns a policy's mean."""
        return (
            sum(
                simulate(FLEET, pattern, POLICIES[name], seed).worth
                for seed in range(2)
            )
            / 2
        )

    others = [mean_worth(name) for name in POLICIES if name != "product"]
    assert mean_worth("product") > max(others)


def test_same_seed_gives_the_same_figures():
    figures = [simulate(FLEET, PATTERNS[1], POLICIES["product"], 4) for _ in range(2)]
    assert figures[0] == figures[1]
