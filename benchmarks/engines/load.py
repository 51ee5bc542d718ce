"""Generates calls of several kinds with shared prompt prefixes and bursts."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from verbenagrade.state.calls import PromptPart

__all__ = ["KINDS", "Arrival", "Kind", "Pattern", "arrivals"]

MAX_OWN_TOKENS_FACTOR = 8.0
"""Most tokens of a prompt's own part, as a multiple of the mean."""

LONG_PROMPT_TOKENS = 30_000
"""Prompt tokens above which prefill delays an engine's other streams."""


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of call, from the users' data sheets.

    ``share`` is its share of all calls. A prompt has two shared parts, with
    ``shared_tokens`` tokens each and ``shared_part_counts`` different values, and a
    part of its own, whose tokens are lognormally distributed with a mean and the
    sigma of their logarithm. ``events`` is the mean number of events. A call earns
    its ``worth`` if the first event and each gap between events meet the targets, in
    seconds. Lower ``priority`` values are admitted first. ``max_runs`` is how often it
    may run.
    """

    name: str
    share: float
    shared_tokens: tuple[int, int]
    shared_part_counts: tuple[int, int]
    mean_own_tokens: float
    own_tokens_sigma: float
    events: int
    first_event_target_s: float
    event_gap_target_s: float
    worth: float
    priority: int
    max_runs: int


KINDS = (
    Kind("draft", 0.21, (512, 4870), (3, 636), 6610, 1.4, 42, 1.045, 0.5, 5.1, 1, 2),
    Kind("reply", 0.41, (119, 79), (16, 810), 628, 1.0, 32, 0.519, 0.5, 1.9, 0, 1),
    Kind("tag", 0.38, (341, 227), (16, 1703), 1800, 1.3, 3, 0.522, 0.5, 0.46, 2, 2),
)


@dataclass(frozen=True, slots=True)
class Pattern:
    """A load pattern, whose changes to load and engines begin at second 5.

    ``burst_factor`` multiplies the rate of drafts for 4 s. ``hot_share`` is the share
    of replies with the same shared prompt parts, and ``lost_share`` the share of
    engines that stop responding. ``empty_data_centre`` moves the engines of one data
    centre to another, for the whole run.
    """

    name: str
    burst_factor: float = 1.0
    hot_share: float = 0.0
    lost_share: float = 0.0
    empty_data_centre: bool = False


@dataclass(frozen=True, slots=True)
class Arrival:
    """A call that arrives at a VM at the time ``at``, in seconds.

    ``events`` is the number of events of its response.
    """

    at: float
    vm: int
    kind: Kind
    prompt: tuple[PromptPart, ...]
    events: int

    @property
    def tokens(self) -> int:
        """The number of tokens of the prompt."""
        return sum(part.tokens for part in self.prompt)

    @property
    def long_prompt(self) -> bool:
        """Whether prefill of the prompt delays an engine's other streams."""
        return self.tokens > LONG_PROMPT_TOKENS


def arrivals(
    pattern: Pattern,
    calls_per_s: float,
    vms: int,
    duration_s: float,
    rng: random.Random,
) -> Iterator[Arrival]:
    """Yields the calls in order of arrival."""
    at, number = 0.0, 0
    while True:
        in_burst = 5.0 <= at < 9.0
        weights = [k.share * (pattern.burst_factor if in_burst and i == 0 else 1.0)
                   for i, k in enumerate(KINDS)]  # fmt: skip
        at += rng.expovariate(calls_per_s * sum(weights))
        if at >= duration_s:
            return
        (kind,) = rng.choices(KINDS, weights)
        number += 1
        hot = kind.name == "reply" and at >= 5.0 and rng.random() < pattern.hot_share
        prompt = _prompt(kind, number, hot, rng)
        events = max(1, int(kind.events * rng.uniform(0.4, 1.6)))
        yield Arrival(at, rng.randrange(vms), kind, prompt, events)


def _prompt(
    kind: Kind, number: int, hot: bool, rng: random.Random
) -> tuple[PromptPart, ...]:
    first, second = (0 if hot else rng.randrange(n) for n in kind.shared_part_counts)
    factor = min(
        MAX_OWN_TOKENS_FACTOR,
        rng.lognormvariate(-(kind.own_tokens_sigma**2) / 2, kind.own_tokens_sigma),
    )
    return (
        PromptPart(f"{kind.name}/{first}", kind.shared_tokens[0]),
        PromptPart(f"{kind.name}/{first}/{second}", kind.shared_tokens[1]),
        PromptPart(f"own/{number}", max(1, int(kind.mean_own_tokens * factor))),
    )
