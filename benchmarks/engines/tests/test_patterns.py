"""Compares the gateway's placement with simpler policies under load patterns."""

import pytest

from benchmarks.engines.__main__ import PATTERNS
from benchmarks.engines.policies import POLICIES
from benchmarks.engines.simulation import Fleet, Simulation, simulate

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


# Guards against losses that only cost the calls at the lost engines: their repeats are
# load for the others.
def test_calls_at_lost_engines_use_all_their_runs():
    pattern = next(p for p in PATTERNS if p.lost_share)
    simulation = Simulation(FLEET, pattern, POLICIES["least"], 1)
    simulation.run()
    finished = {call.engine_call.call_id for call in simulation.finished_calls}
    unfinished = [
        sent
        for call_id, sent in simulation.sent_calls.items()
        if call_id not in finished
    ]
    assert unfinished
    assert all(sent.runs == sent.arrival.kind.max_runs for sent in unfinished)
    assert any(sent.runs > 1 for sent in simulation.finished_calls)
