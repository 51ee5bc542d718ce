"""Reservations of tokens that one VM, the spender, makes with others, the holders.

A reservation counts as reserved in the holder's own grant until the spender settles it.
A lost message therefore strands tokens at the holder, and never makes them spendable
twice.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

__all__ = [
    "HeldTokens",
    "Reservation",
    "ReservedPart",
    "SpenderAccount",
    "choose_held_parts",
    "choose_parts",
    "split_usage",
]


@dataclass(frozen=True, slots=True)
class HeldTokens:
    """The tokens of a workspace that a VM holds and that are ``free``.

    ``at_once`` of them can be reserved without the store, the others after a report to
    it.
    """

    at_once: int
    free: int


@dataclass(frozen=True, slots=True)
class ReservedPart:
    """Tokens reserved with one holder.

    ``incarnation`` is that of the holder's process, and ``number`` identifies the part
    there. Both are empty for tokens of the spender's own grant.
    """

    vm: str
    tokens: int
    incarnation: str = ""
    number: int = 0


@dataclass(frozen=True, slots=True)
class Reservation:
    """The tokens that a call may use, from one holder or several."""

    workspace: str
    parts: tuple[ReservedPart, ...]

    @property
    def tokens(self) -> int:
        """The sum of all parts."""
        return sum(part.tokens for part in self.parts)


def split_usage(parts: Sequence[ReservedPart], used: int) -> tuple[int, ...]:
    """Returns how many of ``used`` tokens each part is charged.

    >>> parts = (ReservedPart("a", 100), ReservedPart("b", 50), ReservedPart("c", 50))
    >>> split_usage(parts, 120)
    (100, 20, 0)
    """
    charges = []
    for part in parts:
        charge = min(part.tokens, max(0, used))
        charges.append(charge)
        used -= charge
    return tuple(charges)


def choose_parts(free: Mapping[str, int], bound: int) -> tuple[tuple[str, int], ...]:
    """Chooses from which VMs to reserve ``bound`` tokens, as few VMs as possible.

    ``free`` has the free tokens of each VM, the nearest first. A single VM that has
    enough is preferred, the nearest one. The result is empty if all together have too
    few.

    >>> choose_parts({"a": 10, "b": 90, "c": 200}, 60)
    (('b', 60),)
    >>> choose_parts({"a": 10, "b": 50, "c": 40}, 85)
    (('b', 50), ('c', 35))
    >>> choose_parts({"a": 10, "b": 50}, 85)
    ()
    """
    for vm, tokens in free.items():
        if tokens >= bound:
            return ((vm, bound),)
    parts = []
    for vm, tokens in sorted(free.items(), key=lambda item: -item[1]):
        taken = min(tokens, bound)
        if taken <= 0:
            break
        parts.append((vm, taken))
        bound -= taken
    return tuple(parts) if bound == 0 else ()


class SpenderAccount:
    """What a holder has reserved for the calls of one spender's process.

    ``held`` maps the number of each reservation to its workspace and tokens.
    ``pending`` are the numbers for which the holder still asks the store, and
    ``abandoned`` those of them that the spender no longer wants. A number is used once
    and they rise, so ``last_number`` tells which ones are new.
    """

    def __init__(self) -> None:
        self.held: dict[int, tuple[str, int]] = {}
        self.pending: set[int] = set()
        self.abandoned: set[int] = set()
        self.last_number = 0

    def begin(self, number: int) -> bool:
        """Begins a reservation; returns false if the number was used before."""
        if number <= self.last_number:
            return False
        self.last_number = number
        self.pending.add(number)
        return True

    def complete(self, number: int, workspace: str, tokens: int) -> bool:
        """Records the tokens reserved for a number.

        Returns false if the spender has abandoned it, so that they are free again.
        """
        self.pending.discard(number)
        if number in self.abandoned:
            self.abandoned.discard(number)
            return False
        self.held[number] = (workspace, tokens)
        return True

    def fail(self, number: int) -> None:
        """Ends a reservation for which there were no tokens."""
        self.pending.discard(number)
        self.abandoned.discard(number)

    def settle(self, number: int, used: int) -> tuple[str, int] | None:
        """Ends a reservation of which ``used`` tokens were spent.

        Returns its workspace and tokens, or ``None`` if there is nothing to end: it was
        settled before, never made, or is abandoned before it was made. Raises
        ``ValueError`` if more was used than reserved; the reservation then stays.
        """
        if number in self.pending:
            self.abandoned.add(number)
            return None
        if number not in self.held:
            return None
        workspace, tokens = self.held[number]
        if not 0 <= used <= tokens:
            raise ValueError(f"{used} tokens used of {tokens} that were reserved")
        del self.held[number]
        return workspace, tokens


def choose_held_parts(
    free: dict[str, HeldTokens], bound: int
) -> tuple[tuple[str, int], ...]:
    """Chooses parts that need no store if possible: it may be away without a sign."""
    at_once = choose_parts({vm: held.at_once for vm, held in free.items()}, bound)
    return at_once or choose_parts({vm: h.free for vm, h in free.items()}, bound)
