"""Stores claims, which make a non-idempotent request run at most once.

A claim is a table row that is written before the request is sent. Only the
instance whose attempt is stored in the row may send the request. While the table
is unavailable no claim can be stored, and the request is refused before it runs.
"""

from dataclasses import dataclass, replace
from enum import StrEnum

from verbenagrade.coordination.codec import decode_row, encode_row
from verbenagrade.coordination.commits import Decision, commit
from verbenagrade.coordination.ports import Row, Table, Write

__all__ = [
    "Claim",
    "ClaimState",
    "claim_key",
    "finish_claim",
    "get_or_create_claim",
    "withdraw_claim",
]


class ClaimState(StrEnum):
    """The progress of a claimed request."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Claim:
    """The row of a claimed request.

    ``attempt`` is the identifier of the attempt that may run the request, and
    ``digest`` identifies the content of the request. ``at`` is the time of the
    claim, in seconds since the epoch. ``status``, ``content_type`` and ``answer``
    are the stored response of a request that is done.
    """

    attempt: str
    digest: str
    at: float
    state: ClaimState = ClaimState.RUNNING
    status: int = 0
    content_type: str = ""
    answer: bytes = b""


def claim_key(workspace: str, key: str) -> str:
    """Returns the table key of the claim for an idempotency key."""
    return f"claim/{workspace}/{key}"


async def get_or_create_claim(table: Table, key: str, claim: Claim) -> Claim:
    """Stores a claim unless one exists, and returns the claim that is stored.

    Raises ``PlatformError`` if the table is unavailable. The request must not run
    in that case, because the claim may have been stored nevertheless.
    """

    def decide(rows: tuple[Row | None, ...]) -> Decision[Claim]:
        """Writes the claim unless one is stored."""
        if rows[0] is not None:
            return Decision(decode_row(rows[0].value, Claim))
        return Decision(claim, (Write(key, encode_row(claim)),))

    return await commit(table, (key,), decide)


async def finish_claim(table: Table, key: str, done: Claim) -> None:
    """Stores the outcome of a claimed request, for callers that retry it.

    Does nothing unless the stored claim belongs to the same attempt and is still
    running. Raises ``PlatformError`` if the table is unavailable.
    """

    def decide(rows: tuple[Row | None, ...]) -> Decision[None]:
        """Writes the outcome if the stored claim is this one and is running."""
        if rows[0] is None:
            return Decision(None)
        stored = decode_row(rows[0].value, Claim)
        if stored.attempt != done.attempt or stored.state is not ClaimState.RUNNING:
            return Decision(None)
        return Decision(None, (Write(key, encode_row(replace(done, at=stored.at))),))

    await commit(table, (key,), decide)


async def withdraw_claim(table: Table, key: str, attempt: str) -> None:
    """Removes the claim of an attempt that did not run.

    Does nothing if another attempt holds the claim. Raises ``PlatformError`` if
    the table is unavailable.
    """

    def decide(rows: tuple[Row | None, ...]) -> Decision[None]:
        """Deletes the claim if it belongs to the attempt."""
        if rows[0] is None or decode_row(rows[0].value, Claim).attempt != attempt:
            return Decision(None)
        return Decision(None, (Write(key, None),))

    await commit(table, (key,), decide)
