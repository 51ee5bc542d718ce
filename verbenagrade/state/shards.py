"""Splits a prepaid budget into shards to reduce write conflicts between VMs.

Each shard has an even part of the prepaid tokens and a row with the sum of the grants
from it. Each VM tries the shards in an order of its own, so that VMs which request
grants at the same time mostly write different rows. If one shard has too few tokens,
they are taken from others.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import xxhash

from verbenagrade.state.decoding import Count, Number

__all__ = [
    "SHARD_COUNT",
    "ShardState",
    "ShardTransfer",
    "choose_transfers",
    "latest_state",
    "shard_limit",
    "shard_order",
]

SHARD_COUNT = 8
"""Number of shards of a budget. It is not configurable because all VMs must use the
same number. With 90 VMs, each shard of a busy workspace is written about once per
second."""


@dataclass(frozen=True, slots=True)
class ShardState:
    """The row of a shard in an era of the store, at a version.

    Of two states the one of the later era, or with the higher version, is later.
    It then contains all grants that the other one contains.
    """

    era: Count = 0
    version: Count = 0
    tokens: Number = 0
    spent: Number = 0


@dataclass(frozen=True, slots=True)
class ShardTransfer:
    """Tokens taken from a shard, negative for tokens returned to it."""

    shard: int
    tokens: int


def shard_limit(prepaid: int, shard: int) -> int:
    """Returns how many tokens may be granted from a shard.

    >>> sum(shard_limit(1003, shard) for shard in range(SHARD_COUNT))
    1003
    """
    return prepaid // SHARD_COUNT + (1 if shard < prepaid % SHARD_COUNT else 0)


def latest_state(*states: ShardState) -> ShardState:
    """Returns the latest of several states of a shard.

    >>> latest_state(ShardState(1, 9, 500), ShardState(2, 3, 700)).tokens
    700
    """
    return max(states, key=lambda state: (state.era, state.version))


def shard_order(workspace: str, vm: str) -> tuple[int, ...]:
    """Returns a workspace's shards in the order in which a VM tries them."""

    def score(shard: int) -> int:
        """Returns a shard's rendezvous score."""
        return xxhash.xxh3_64_intdigest(f"{workspace}|{vm}|{shard}".encode())

    return tuple(sorted(range(SHARD_COUNT), key=score))


def choose_transfers(
    left: Mapping[int, int], order: Sequence[int], need: int, desired: int
) -> tuple[ShardTransfer, ...]:
    """Chooses the shards for a grant of ``desired`` tokens, but at least ``need``.

    ``left`` is the number of tokens left in each shard. All tokens come from the
    first shard in ``order`` that has ``desired`` tokens. Otherwise the fullest shard
    is used up if it has ``need`` tokens. Otherwise the fullest shards together cover
    ``need``. The result is empty if they can't, or if ``desired`` is not positive.

    >>> choose_transfers({0: 5, 1: 30, 2: 20}, order=(0, 2, 1), need=10, desired=15)
    (ShardTransfer(shard=2, tokens=15),)
    >>> choose_transfers({0: 5, 1: 30, 2: 20}, order=(0, 2, 1), need=45, desired=60)
    (ShardTransfer(shard=1, tokens=30), ShardTransfer(shard=2, tokens=15))
    """
    if desired <= 0:
        return ()
    for shard in order:
        if left[shard] >= desired:
            return (ShardTransfer(shard, desired),)
    fullest = sorted(order, key=lambda shard: -left[shard])
    if left[fullest[0]] >= max(1, need):
        return (ShardTransfer(fullest[0], left[fullest[0]]),)
    transfers: list[ShardTransfer] = []
    for shard in fullest:
        shortfall = need - sum(t.tokens for t in transfers)
        if shortfall > 0 and left[shard] > 0:
            transfers.append(ShardTransfer(shard, min(shortfall, left[shard])))
    return tuple(transfers) if sum(t.tokens for t in transfers) >= need else ()
