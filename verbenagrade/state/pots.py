"""Splits a prepaid budget into pots, so that many VMs don't collide on one sum.

Each pot has an even part of what was prepaid and the sum of what was granted from
it. A VM draws from the first pot in an order of its own, so that VMs that draw at
the same time mostly write different rows. What one pot lacks comes from others.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import xxhash

__all__ = ["POTS", "Draw", "draw_tokens", "pot_limit", "pot_order"]

POTS = 8
"""Pots of a budget. All VMs must agree on it, so that it is no setting; 90 VMs
make about one exchange a second in each pot of a busy workspace."""


@dataclass(frozen=True, slots=True)
class Draw:
    """Tokens taken from a pot, or given back to it if negative."""

    pot: int
    tokens: int


def pot_limit(prepaid: int, pot: int) -> int:
    """Returns how many tokens may be granted from a pot.

    >>> sum(pot_limit(1003, pot) for pot in range(POTS))
    1003
    """
    return prepaid // POTS + (1 if pot < prepaid % POTS else 0)


def pot_order(workspace: str, vm: str) -> tuple[int, ...]:
    """Returns the pots of a workspace in the order in which a VM tries them."""

    def score(pot: int) -> int:
        """Returns a pot's rendezvous score."""
        return xxhash.xxh3_64_intdigest(f"{workspace}|{vm}|{pot}".encode())

    return tuple(sorted(range(POTS), key=score))


def draw_tokens(
    left: Mapping[int, int], order: Sequence[int], need: int, wish: int
) -> tuple[Draw, ...]:
    """Chooses the pots for a grant of ``wish`` tokens, ``need`` at least.

    One pot is enough if it has all that is wished, or the richest one has what is
    needed. Otherwise the richest pots together cover the need. Nothing is drawn if
    they can't, or if nothing is wished.

    >>> draw_tokens({0: 5, 1: 30, 2: 20}, order=(0, 2, 1), need=10, wish=15)
    (Draw(pot=2, tokens=15),)
    >>> draw_tokens({0: 5, 1: 30, 2: 20}, order=(0, 2, 1), need=45, wish=60)
    (Draw(pot=1, tokens=30), Draw(pot=2, tokens=15))
    """
    if wish <= 0:
        return ()
    for pot in order:
        if left[pot] >= wish:
            return (Draw(pot, wish),)
    richest = sorted(order, key=lambda pot: -left[pot])
    if left[richest[0]] >= max(1, need):
        return (Draw(richest[0], left[richest[0]]),)
    drawn: list[Draw] = []
    for pot in richest:
        missing = need - sum(one.tokens for one in drawn)
        if missing > 0 and left[pot] > 0:
            drawn.append(Draw(pot, min(missing, left[pot])))
    return tuple(drawn) if sum(one.tokens for one in drawn) >= need else ()
