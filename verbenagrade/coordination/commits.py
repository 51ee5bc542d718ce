"""Commits table transactions exactly once, also when answers are lost.

A decision function sees the rows as they are and says what to write. When the
answer to a transaction is lost the rows are read again, and the decision must
recognise its own work there, by an operation number or a row of its own.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from verbenagrade.coordination.ports import Check, Row, Table, Write
from verbenagrade.exceptions import PlatformError

__all__ = ["Step", "commit"]

COMMIT_TRIES = 12
CONFLICT_PAUSE_S = 0.005

Result = TypeVar("Result")


@dataclass(frozen=True, slots=True)
class Step(Generic[Result]):
    """The outcome of a decision; no writes means that nothing is left to do."""

    result: Result
    writes: tuple[Write, ...] = ()


async def commit(
    table: Table,
    keys: tuple[str, ...],
    decide: Callable[[tuple[Row | None, ...]], Step[Result]],
) -> Result:
    """Reads, decides and writes until the decision has taken effect.

    Raises ``PlatformError`` if the table does not answer or the rows stay
    contended; the same decision can then be committed again later.
    """
    failure: PlatformError | None = None
    for attempt in range(COMMIT_TRIES):
        rows = await table.read(keys)
        step = decide(rows)
        if not step.writes:
            return step.result
        checks = tuple(map(_check, keys, rows))
        try:
            if await table.transact(checks, step.writes):
                return step.result
        except PlatformError as error:
            failure = error
        await asyncio.sleep(CONFLICT_PAUSE_S * attempt)
    raise failure or PlatformError(
        f"{keys[0]}: the row stayed contended; try again in a few seconds"
    )


def _check(key: str, row: Row | None) -> Check:
    return Check(key, row.version if row else 0)
