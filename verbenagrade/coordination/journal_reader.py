"""Reads bills from the journals, for recoveries, operators and reports."""

from collections.abc import AsyncIterator, Iterable

from verbenagrade.coordination.codec import decode_row
from verbenagrade.coordination.ports import ObjectStore
from verbenagrade.state.bills import (
    Bill,
    JournalBatch,
    batch_key,
    journal_prefix,
)
from verbenagrade.state.identity import Instance

__all__ = ["bills_of_workspace", "journal_batches", "total_tokens"]

JOURNALS_PREFIX = "journal/"


async def journal_batches(
    objects: ObjectStore, writer: Instance | None = None, first: int = 0
) -> AsyncIterator[JournalBatch]:
    """Yields the journal batches of one instance, or of all instances.

    ``first`` is the sequence number of the first batch to read, and is used only
    together with ``writer``. Raises ``PlatformError`` if the object store is
    unavailable.
    """
    prefix = journal_prefix(writer) if writer else JOURNALS_PREFIX
    after = batch_key(writer, first - 1) if writer and first else ""
    while names := await objects.names(prefix, after):
        for name in names:
            data = await objects.get(name)
            if data is not None:
                yield decode_row(data, JournalBatch)
        after = names[-1]


async def bills_of_workspace(objects: ObjectStore, workspace: str) -> tuple[Bill, ...]:
    """Returns every bill of a workspace, oldest first.

    Raises ``PlatformError`` if the object store is unavailable.
    """
    found = [
        bill
        async for batch in journal_batches(objects)
        for bill in batch.bills
        if bill.workspace == workspace
    ]
    return tuple(sorted(found, key=_time_and_attempt))


def total_tokens(bills: Iterable[Bill]) -> int:
    """Returns the total number of tokens of the bills."""
    return sum(bill.tokens for bill in bills)


def _time_and_attempt(bill: Bill) -> tuple[float, str]:
    return (bill.at, bill.attempt)
