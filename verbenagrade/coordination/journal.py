"""Writes the bills of this instance to the object store in batches."""

import asyncio
from collections.abc import Callable

from verbenagrade.coordination.codec import decode_row, encode_row
from verbenagrade.coordination.ports import ObjectStore
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import FencedError, PlatformError
from verbenagrade.state.bills import Bill, JournalBatch, JournalState, batch_key

__all__ = ["Journal"]

MAX_BATCH_BILLS = 2000


class Journal:
    """The journal of one instance.

    Each bill has a position, counted from 0 in the order of ``append``. All bills
    at positions below ``durable_below`` are durable. ``on_durable`` is called with
    the bills of each batch after it was written.
    """

    def __init__(
        self,
        state: JournalState,
        objects: ObjectStore,
        on_durable: Callable[[tuple[Bill, ...]], None],
    ) -> None:
        self.state = state
        self.objects = objects
        self.on_durable = on_durable
        self.positions: dict[str, int] = {}
        self.next_position = 0
        self.durable_below = 0
        self.lock = asyncio.Lock()

    def append(self, bill: Bill) -> None:
        """Queues a bill for the next batch."""
        self.positions[bill.attempt] = self.next_position
        self.next_position += 1
        self.state.pending.append(bill)

    def position_of(self, attempt: str) -> int:
        """Returns the position of an attempt's bill.

        For an attempt that has no queued bill, this is the highest durable
        position.
        """
        return self.positions.get(attempt, self.durable_below - 1)

    def next_sequence(self) -> int:
        """Returns the sequence number of the first batch that is not yet durable."""
        return self.state.sequence

    async def flush(self) -> bool:
        """Writes all queued bills; returns false if the store is unavailable.

        Raises ``FencedError`` if another instance sealed this journal to take over
        its grants.
        """
        async with self.lock:
            while (batch := self.state.next_batch(MAX_BATCH_BILLS)) is not None:
                if not await self._write(batch):
                    return False
                self._record_written(batch)
            return True

    async def _write(self, batch: JournalBatch) -> bool:
        key = batch_key(batch.writer, batch.sequence)
        try:
            if not await self.objects.create(key, encode_row(batch)):
                await self._verify_own_batch(key, batch)
        except PlatformError as error:
            log_event(Event.JOURNAL_DELAYED, batch=key, reason=str(error))
            return False
        return True

    async def _verify_own_batch(self, key: str, batch: JournalBatch) -> None:
        """Checks that an existing object is this batch, and not a seal.

        It is this batch if an earlier attempt wrote it and the response was lost.
        Raises ``FencedError`` if another instance sealed the journal.
        """
        stored = await self.objects.get(key)
        if stored is not None and decode_row(stored, JournalBatch) == batch:
            return
        log_event(Event.JOURNAL_SEALED, batch=key)
        raise FencedError(
            f"{key} was sealed by another instance; restart this process, which"
            " then runs as a new incarnation"
        )

    def _record_written(self, batch: JournalBatch) -> None:
        bills = self.state.mark_written()
        for bill in bills:
            self.positions.pop(bill.attempt, None)
        self.durable_below += len(bills)
        self.on_durable(bills)
        log_event(Event.JOURNAL_WRITTEN, sequence=batch.sequence, bills=len(bills))
