"""Calls of a day: kinds, shared prompt parts, bursts; and engines that are lost."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from verbenagrade.state.calls import PromptPart

__all__ = ["KINDS", "Arrival", "Kind", "Pattern", "arrivals"]

MAX_OWN_TOKENS_FACTOR = 8.0
"""Longest own part of a prompt, as a multiple of the mean."""

LENGTHY_PROMPT_TOKENS = 30_000
"""Tokens of a prompt that holds up an engine's other streams."""


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of call after the users' sheets: its share of calls, tokens of the two
    shared parts and how many there are of each, own tokens with their spread,
    events, the aim to the first event and between events in seconds, its worth."""

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


KINDS = (
    Kind("draft", 0.21, (512, 4870), (3, 636), 6610, 1.4, 42, 1.045, 0.5, 5.1, 1),
    Kind("reply", 0.41, (119, 79), (16, 810), 628, 1.0, 32, 0.519, 0.5, 1.9, 0),
    Kind("tag", 0.38, (341, 227), (16, 1703), 1800, 1.3, 3, 0.522, 0.5, 0.46, 2),
)


@dataclass(frozen=True, slots=True)
class Pattern:
    """What a scenario does to the calls, each from second 5 on.

    ``burst_factor`` multiplies the drafts for 4 s, ``hot_share`` is the part of the
    replies about one thing, ``lost_share`` the part of the engines that fall silent,
    and ``empty_data_centre`` takes the engines of one data centre away from the start.
    """

    name: str
    burst_factor: float = 1.0
    hot_share: float = 0.0
    lost_share: float = 0.0
    empty_data_centre: bool = False


@dataclass(frozen=True, slots=True)
class Arrival:
    """A call: when, at which VM, of which kind, and its prompt and events."""

    at: float
    vm: int
    kind: Kind
    prompt: tuple[PromptPart, ...]
    events: int

    @property
    def tokens(self) -> int:
        """The tokens of the prompt."""
        return sum(part.tokens for part in self.prompt)

    @property
    def lengthy(self) -> bool:
        """Whether reading it holds up other streams."""
        return self.tokens > LENGTHY_PROMPT_TOKENS


def arrivals(
    pattern: Pattern,
    calls_per_s: float,
    vms: int,
    duration_s: float,
    rng: random.Random,
) -> Iterator[Arrival]:
    """Yields the calls of a day in the order of their times."""
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
