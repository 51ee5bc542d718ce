"""Bills and the journal batches that make them durable."""

from dataclasses import dataclass

from verbenagrade.state.identity import GrantId, Instance

__all__ = ["Bill", "JournalBatch", "JournalState", "batch_key", "journal_prefix"]


@dataclass(frozen=True, slots=True)
class Bill:
    """The tokens that one attempt used, charged to one grant.

    ``attempt`` identifies the bill. ``tokens`` counts prompt and completion.
    ``at`` is in seconds since the epoch. The bill is in no batch of the grant
    owner's journal below ``journal_from``.
    """

    attempt: str
    request: str
    workspace: str
    grant: GrantId
    endpoint: str
    tokens: int
    prompt_tokens: int
    outcome: str
    at: float
    journal_from: int = 0


@dataclass(frozen=True, slots=True)
class JournalBatch:
    """One object of an instance's journal.

    A batch with ``sealed_by`` ends the journal of a lost instance. The object
    store creates each name only once, so either the writer's batch or the seal
    exists under a name, never both.
    """

    writer: Instance
    sequence: int
    bills: tuple[Bill, ...] = ()
    sealed_by: Instance | None = None


def journal_prefix(writer: Instance) -> str:
    """Returns the common prefix of the object names of an instance's batches."""
    return f"journal/{writer.name}/"


def batch_key(writer: Instance, sequence: int) -> str:
    """Returns the object name of one batch.

    >>> batch_key(Instance("muscat-1", 17), 3)
    'journal/muscat-1.17/000000003'
    """
    return f"{journal_prefix(writer)}{sequence:09d}"


class JournalState:
    """The bills of this instance that are not yet durable.

    ``sequence`` is the number of the first batch that is not yet durable.
    """

    def __init__(self, writer: Instance) -> None:
        self.writer = writer
        self.sequence = 0
        self.pending: list[Bill] = []
        self.in_flight: JournalBatch | None = None

    def next_batch(self, limit: int) -> JournalBatch | None:
        """Returns the batch to write: the one in flight, or else a new one.

        A new batch has at most ``limit`` bills. Returns ``None`` if there are none.
        """
        if self.in_flight is None and self.pending:
            bills = tuple(self.pending[:limit])
            del self.pending[:limit]
            self.in_flight = JournalBatch(self.writer, self.sequence, bills)
        return self.in_flight

    def mark_written(self) -> tuple[Bill, ...]:
        """Records that the batch in flight is durable and returns its bills."""
        batch = self.in_flight
        self.in_flight = None
        self.sequence += 1
        return batch.bills

    def depth(self) -> int:
        """Returns the number of bills that are not yet durable."""
        in_flight_count = len(self.in_flight.bills) if self.in_flight else 0
        return len(self.pending) + in_flight_count
