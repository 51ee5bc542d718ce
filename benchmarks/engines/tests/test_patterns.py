"""Compares the gateway's placement with simpler policies under load patterns."""

import pytest

from benchmarks.engines.__main__ import PATTERNS
from benchmarks.engines.policies import POLICIES
from benchmarks.engines.simulation import Fleet, simulate

FLEET = Fleet(duration_s=12.0)


@pytest.mark.parametrize("pattern", PATTERNS, ids=lambda pattern: pattern.name)
def test_placement_earns_more_worth_than_simpler_policies(pattern):
    """Compares the worth of calls that met their targets, as a mean over two seeds."""

    def mean_worth(name):
        """Returns the mean worth that a policy earns."""
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
