"""Generates calls with long-tailed sizes from workspaces of unequal size."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ["Arrival", "Fleet", "arrivals"]

KINDS = (
    (0.23, 5400, 6600, 1.4, 400),
    (0.45, 200, 630, 1.0, 290),
    (0.32, 570, 1800, 1.3, 25),
)
"""For each kind of call: its share of calls, shared prompt tokens, mean own prompt
tokens, the sigma of their lognormal distribution, and mean output tokens. From the
users' data sheets."""

OUTPUT_BOUND_FACTOR = 2.5
"""A call's bound on its output tokens, as a multiple of the mean."""

MAX_OWN_TOKENS_FACTOR = 8.0
"""Most tokens of a prompt's own part, as a multiple of the mean."""

WORKSPACE_SIZE_RATIO = 0.8
"""Size of a workspace relative to the next larger one."""

CALLERS_PER_VM = 3
"""Mean number of callers per VM. Each caller uses one VM, chosen at random, so that
some VMs have no caller."""

SINGLE_VM_INTERVAL = 5
"""One workspace in this many sends all its calls to a single VM."""


@dataclass(frozen=True, slots=True)
class Fleet:
    """The size of a fleet, its load and the length of a run in seconds.

    Each workspace has prepaid ``prepaid_factor`` times the tokens that its calls use
    within ``duration_s``.
    """

    name: str
    vms: int
    workspaces: int
    calls_per_s: float
    duration_s: float = 34.0
    prepaid_factor: float = 1.3
    data_centres: int = 6

    def data_centre(self, vm: int) -> int:
        """Returns the number of a VM's data centre."""
        return vm % self.data_centres


@dataclass(frozen=True, slots=True)
class Arrival:
    """A call of a workspace that arrives at a VM at the time ``at``, in seconds.

    ``bound`` is the most tokens that it can use and ``used`` what it uses.
    """

    at: float
    vm: int
    workspace: int
    bound: int
    used: int


def arrivals(fleet: Fleet, rng: random.Random, until_s: float) -> Iterator[Arrival]:
    """Yields the calls until ``until_s`` seconds in order of arrival."""
    weights = [WORKSPACE_SIZE_RATIO**n for n in range(fleet.workspaces)]
    caller_vms = [rng.randrange(fleet.vms) for _ in range(CALLERS_PER_VM * fleet.vms)]
    at = 0.0
    while (at := at + rng.expovariate(fleet.calls_per_s)) < until_s:
        (kind,) = rng.choices(KINDS, [kind[0] for kind in KINDS])
        _, shared_tokens, mean_own_tokens, sigma, mean_output_tokens = kind
        factor = min(MAX_OWN_TOKENS_FACTOR, rng.lognormvariate(-(sigma**2) / 2, sigma))
        prompt = int(shared_tokens + mean_own_tokens * factor)
        used = prompt + int(mean_output_tokens * rng.uniform(0.2, 1.8))
        (workspace,) = rng.choices(range(fleet.workspaces), weights)
        vm = rng.choice(caller_vms)
        if workspace % SINGLE_VM_INTERVAL == SINGLE_VM_INTERVAL - 1:
            vm = workspace % fleet.vms
        bound = prompt + int(mean_output_tokens * OUTPUT_BOUND_FACTOR)
        yield Arrival(at, vm, workspace, bound, used)
