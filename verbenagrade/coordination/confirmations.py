"""Records which configuration revision each instance has confirmed.

The instances of a data centre send their revisions in heartbeats to one of them,
the reporter. The reporter stores all of them in one table row for the data centre.
It writes the row only when a revision changes, so that the number of writes does
not grow with the number of heartbeats.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from verbenagrade.coordination.codec import decode_row, encode_row
from verbenagrade.coordination.commits import Decision, commit
from verbenagrade.coordination.ports import Row, Table, Write
from verbenagrade.state.membership import Members, MemberVm, rendezvous_order

__all__ = [
    "Confirmation",
    "ConfirmationRow",
    "missing_confirmations",
    "read_confirmations",
    "report_confirmations",
    "reporter_of",
]

KEY_PREFIX = "confirmed/"
SCAN_PAGE_ROWS = 500


@dataclass(frozen=True, slots=True)
class Confirmation:
    """The configuration revision that the instance on a VM uses."""

    vm: str
    revision: int


@dataclass(frozen=True, slots=True)
class ConfirmationRow:
    """The row with all confirmations of one data centre."""

    confirmations: tuple[Confirmation, ...]


def reporter_of(members: Members, now: float) -> MemberVm:
    """Returns the VM that reports for this instance's data centre.

    ``now`` is in seconds. The reporter is chosen by rendezvous hashing among the
    VMs that are usable, so that instances with the same members agree on it.
    """
    own = members.own
    return rendezvous_order("reporter", (*members.usable(own.data_centre, now), own))[0]


async def report_confirmations(
    table: Table, data_centre: str, confirmations: Iterable[Confirmation]
) -> None:
    """Merges confirmations into the data centre's row.

    The stored revision of a VM never decreases. Raises ``PlatformError`` if the
    table is unavailable; the caller has to retry in that case.
    """
    key = KEY_PREFIX + data_centre
    updates = tuple(confirmations)

    def decide(rows: tuple[Row | None, ...]) -> Decision[None]:
        """Writes the merged confirmations if they differ from the stored ones."""
        stored = decode_row(rows[0].value, ConfirmationRow) if rows[0] else None
        before = stored.confirmations if stored else ()
        merged = _merge(before, updates)
        if merged == before:
            return Decision(None)
        return Decision(None, (Write(key, encode_row(ConfirmationRow(merged))),))

    await commit(table, (key,), decide)


async def read_confirmations(table: Table) -> tuple[Confirmation, ...]:
    """Returns the confirmations of all data centres.

    Raises ``PlatformError`` if the table is unavailable.
    """
    rows = await table.scan(KEY_PREFIX, "", SCAN_PAGE_ROWS)
    return tuple(
        confirmation
        for row in rows
        for confirmation in decode_row(row.value, ConfirmationRow).confirmations
    )


def missing_confirmations(
    vms: Iterable[MemberVm], confirmed: Iterable[Confirmation], revision: int
) -> tuple[MemberVm, ...]:
    """Returns the listed VMs that have not confirmed a revision.

    >>> listed = [MemberVm("vm-1", "a", ""), MemberVm("vm-2", "a", "")]
    >>> [vm.vm for vm in missing_confirmations(listed, [Confirmation("vm-1", 4)], 4)]
    ['vm-2']
    """
    reached = {c.vm for c in confirmed if c.revision >= revision}
    return tuple(vm for vm in vms if vm.vm not in reached)


def _merge(
    before: tuple[Confirmation, ...], updates: tuple[Confirmation, ...]
) -> tuple[Confirmation, ...]:
    revisions = {c.vm: c.revision for c in before}
    for confirmation in updates:
        previous = revisions.get(confirmation.vm, 0)
        revisions[confirmation.vm] = max(previous, confirmation.revision)
    return tuple(Confirmation(vm, revisions[vm]) for vm in sorted(revisions))
