"""Splits a prepaid budget into shards to reduce write conflicts between VMs.

Each shard has an even part of the prepaid tokens and a row with the sum of the
grants from it. Each VM tries the shards in an order of its own, so that VMs which
request grants at the same time mostly write different rows. If one shard has too
few tokens, they are taken from others. Keys in the store call a shard a pot.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import xxhash

__all__ = ["POTS", "Draw", "draw_tokens", "pot_limit", "pot_order"]

POTS = 8
"""Number of shards of a budget. It is not configurable because all VMs must use the
same number. With 90 VMs, each shard of a busy workspace is written about once per
second."""


@dataclass(frozen=True, slots=True)
class Draw:
    """Tokens taken from a shard, negative for tokens returned to it."""

    pot: int
    tokens: int


def pot_limit(prepaid: int, pot: int) -> int:
    """Returns how many tokens may be granted from a shard.

    >>> sum(pot_limit(1003, pot) for pot in range(POTS))
    1003
    """
    return prepaid // POTS + (1 if pot < prepaid % POTS else 0)


def pot_order(workspace: str, vm: str) -> tuple[int, ...]:
    """Returns a workspace's shards in the order in which a VM tries them."""

    def score(pot: int) -> int:
        """Returns a shard's rendezvous score."""
        return xxhash.xxh3_64_intdigest(f"{workspace}|{vm}|{pot}".encode())

    return tuple(sorted(range(POTS), key=score))


def draw_tokens(
    left: Mapping[int, int], order: Sequence[int], need: int, desired: int
) -> tuple[Draw, ...]:
    """Chooses the shards for a grant of ``desired`` tokens, but at least ``need``.

    ``left`` is the number of tokens left in each shard. All tokens come from the
    first shard in ``order`` that has ``desired`` tokens. Otherwise the fullest shard
    is used up if it has ``need`` tokens. Otherwise the fullest shards together cover
    ``need``. The result is empty if they can't, or if ``desired`` is not positive.

    >>> draw_tokens({0: 5, 1: 30, 2: 20}, order=(0, 2, 1), need=10, desired=15)
    (Draw(pot=2, tokens=15),)
    >>> draw_tokens({0: 5, 1: 30, 2: 20}, order=(0, 2, 1), need=45, desired=60)
    (Draw(pot=1, tokens=30), Draw(pot=2, tokens=15))
    """
    if desired <= 0:
        return ()
    for pot in order:
        if left[pot] >= desired:
            return (Draw(pot, desired),)
    fullest = sorted(order, key=lambda pot: -left[pot])
    if left[fullest[0]] >= max(1, need):
        return (Draw(fullest[0], left[fullest[0]]),)
    draws: list[Draw] = []
    for pot in fullest:
        shortfall = need - sum(draw.tokens for draw in draws)
        if shortfall > 0 and left[pot] > 0:
            draws.append(Draw(pot, min(shortfall, left[pot])))
    return tuple(draws) if sum(draw.tokens for draw in draws) >= need else ()
