"""Commits table transactions exactly once, even if responses are lost.

A decision function receives the current rows and returns what to write. If the
response to a transaction is lost, the rows are read again. The decision function
must then detect that its earlier write was committed, by an operation number or by
a row that only it writes.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from verbenagrade.coordination.ports import Check, Row, Table, Write
from verbenagrade.exceptions import PlatformError

__all__ = ["Decision", "commit"]

MAX_COMMIT_ATTEMPTS = 12
CONFLICT_BACKOFF_S = 0.005

Result = TypeVar("Result")


@dataclass(frozen=True, slots=True)
class Decision(Generic[Result]):
    """The result of a decision function and the rows to write.

    If there are no writes, nothing is left to do.
    """

    result: Result
    writes: tuple[Write, ...] = ()


async def commit(
    table: Table,
    keys: tuple[str, ...],
    decide: Callable[[tuple[Row | None, ...]], Decision[Result]],
) -> Result:
    """Reads rows, decides and writes until the decision has taken effect.

    Raises ``PlatformError`` if the table is unavailable, or if other writers change
    the rows during every attempt. The same decision can be retried later. The error
    of a lost response is raised only if its transaction may still be committed: as
    no version is used twice, it can't be once a row that it checked has changed.
    """
    lost_checks: tuple[Check, ...] = ()
    lost_error: PlatformError | None = None
    for attempt in range(MAX_COMMIT_ATTEMPTS):
        rows = await table.read(keys)
        decision = decide(rows)
        if not decision.writes:
            return decision.result
        checks = tuple(map(_version_check, keys, rows))
        if checks != lost_checks:
            lost_error = None
        try:
            if await table.transact(checks, decision.writes):
                return decision.result
        except PlatformError as error:
            lost_checks, lost_error = checks, error
        await asyncio.sleep(CONFLICT_BACKOFF_S * attempt)
    raise lost_error or PlatformError(
        f"{keys[0]}: too many conflicting updates of the row; retry in a few seconds"
    )


def _version_check(key: str, row: Row | None) -> Check:
    return Check(key, row.version if row else 0)
