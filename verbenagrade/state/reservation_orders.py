"""What spenders ask of the holders of budgets, and what these reply."""

from enum import IntEnum

import msgspec

from verbenagrade.state.shards import ShardState

__all__ = [
    "FreeTokens",
    "FreeTokensOrder",
    "KnownStates",
    "ReserveOrder",
    "ReserveResult",
    "ReserveStatus",
    "SettleOrder",
    "StatesOrder",
]


class ReserveStatus(IntEnum):
    """What became of a reservation.

    ``PENDING`` is followed by another result: the holder asks the store. ``EXHAUSTED``
    means that the store has too few tokens left, according to rows that were just read.
    ``UNAVAILABLE`` means that the holder does not know, and ``DECLINED`` that another
    VM is to be asked in its place.
    """

    GRANTED = 0
    PENDING = 1
    EXHAUSTED = 2
    UNAVAILABLE = 3
    DECLINED = 4


class ReserveOrder(msgspec.Struct, frozen=True, array_like=True):
    """Asks for ``tokens`` of a workspace.

    ``number`` is larger than that of each earlier order of the process. ``prepaid`` is
    what the spender takes for the prepaid tokens.
    """

    number: int
    workspace: str
    tokens: int
    prepaid: int


class SettleOrder(msgspec.Struct, frozen=True, array_like=True):
    """Ends a reservation of which ``used`` tokens were spent."""

    number: int
    used: int


class FreeTokensOrder(msgspec.Struct, frozen=True, array_like=True):
    """Asks how many tokens of a workspace are free at the holder."""

    number: int
    workspace: str


class ReserveResult(msgspec.Struct, frozen=True, array_like=True):
    """What became of a reservation; ``reason`` explains why it was not made."""

    number: int
    status: ReserveStatus
    reason: str = ""


class FreeTokens(msgspec.Struct, frozen=True, array_like=True):
    """The tokens of a workspace that are ``free`` at the holder.

    ``at_once`` of them can be reserved without the store.
    """

    number: int
    at_once: int
    free: int


class StatesOrder(msgspec.Struct, frozen=True, array_like=True):
    """Asks for the states of budgets that a VM knows and has not restored.

    ``era`` is the era of the store that the VM which asks has seen; the VM that is
    asked enters it if it has not seen it itself.
    """

    number: int
    era: int
    workspaces: tuple[str, ...]


class KnownStates(msgspec.Struct, frozen=True, array_like=True):
    """The latest states of shards before an era, by workspace and shard.

    A workspace is absent if the store has all that the VM knows of it. ``era`` is the
    VM's own.
    """

    number: int
    era: int
    states: dict[str, dict[int, ShardState]]
