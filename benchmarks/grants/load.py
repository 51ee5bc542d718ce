"""Calls whose sizes have a long tail, from workspaces of unequal size."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ["Arrival", "Fleet", "arrivals"]

KINDS = (
    (0.23, 5400, 6600, 1.4, 400),
    (0.45, 200, 630, 1.0, 290),
    (0.32, 570, 1800, 1.3, 25),
)
"""Of each kind of call: its share, shared and own prompt tokens, the spread of the
own ones (of a lognormal distribution) and tokens out. After the users' sheets."""

OUTPUT_BOUND_FACTOR = 2.5
"""Multiple of the mean tokens out that a caller allows for."""

MAX_OWN_TOKENS_FACTOR = 8.0
"""Longest prompt as a multiple of the mean."""

WORKSPACE_SIZE_RATIO = 0.8
"""Size of a workspace relative to the next larger one."""

CALLERS_PER_VM = 3
"""Callers for each VM; each stays with a VM, so that some have none."""

SINGLE_VM_INTERVAL = 5
"""Of so many workspaces, the callers of one all come to the same VM."""


@dataclass(frozen=True, slots=True)
class Fleet:
    """A deployment: its VMs and workspaces, calls a second, and the length of a day
    in seconds, for whose calls so many times their tokens are prepaid."""

    name: str
    vms: int
    workspaces: int
    calls_per_s: float
    duration_s: float = 34.0
    prepaid_factor: float = 1.3


@dataclass(frozen=True, slots=True)
class Arrival:
    """A call: when, at which VM, of which workspace, and its tokens."""

    at: float
    vm: int
    workspace: int
    bound: int
    used: int


def arrivals(fleet: Fleet, rng: random.Random, until_s: float) -> Iterator[Arrival]:
    """Yields the calls of a day in the order of their times."""
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
