"""Keeps a table row for each instance that may hold grants.

An instance registers before it obtains its first grant and deregisters after it has
returned all of its grants. The loss of an instance can therefore be detected even if no
instance that communicated with it is still running.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from verbenagrade.coordination.codec import decode_row, encode_row
from verbenagrade.coordination.commits import Decision, commit
from verbenagrade.coordination.ports import Row, Table, Write
from verbenagrade.state.identity import Instance

__all__ = [
    "Registration",
    "acquire_recovery",
    "deregister",
    "is_registered",
    "list_registrations",
    "lost_registrations",
    "mark_spender_done",
    "register",
]

KEY_PREFIX = "instance/"
SCAN_PAGE_ROWS = 1000


@dataclass(frozen=True, slots=True)
class Registration:
    """The row of an instance that may hold grants.

    ``listed`` tells whether the VM list has contained its VM. ``recoverers`` are
    the instances that took over its grants; the last one is in charge of the
    recovery. ``doubtful`` are instances that were lost at the same time, so that
    it is unknown which tokens they had reserved from this instance.
    ``spender_done`` tells that no running holder has a reservation of this
    instance any more.
    """

    instance: Instance
    data_centre: str
    address: str
    listed: bool = False
    recoverers: tuple[Instance, ...] = ()
    doubtful: tuple[Instance, ...] = ()
    spender_done: bool = False


async def register(table: Table, registration: Registration) -> None:
    """Writes the row of an instance.

    Raises ``PlatformError`` if the table is unavailable. The instance must not obtain
    tokens in that case.
    """
    key = KEY_PREFIX + registration.instance.name

    def decide(rows: tuple[Row | None, ...]) -> Decision[None]:
        """Writes the row unless an equal one is stored."""
        if (
            rows[0] is not None
            and decode_row(rows[0].value, Registration) == registration
        ):
            return Decision(None)
        return Decision(None, (Write(key, encode_row(registration)),))

    await commit(table, (key,), decide)


async def deregister(table: Table, instance: Instance) -> None:
    """Deletes the row of an instance that holds no grants any more.

    Raises ``PlatformError`` if the table is unavailable.
    """
    key = KEY_PREFIX + instance.name

    def decide(rows: tuple[Row | None, ...]) -> Decision[None]:
        """Deletes the row if it exists."""
        return Decision(None, (Write(key, None),) if rows[0] is not None else ())

    await commit(table, (key,), decide)


async def is_registered(table: Table, instance: Instance) -> bool:
    """Returns whether an instance may still hold grants or unsettled bills.

    Raises ``PlatformError`` if the table is unavailable.
    """
    (row,) = await table.read((KEY_PREFIX + instance.name,))
    return row is not None


async def list_registrations(table: Table) -> tuple[Registration, ...]:
    """Returns every registered instance.

    Raises ``PlatformError`` if the table is unavailable.
    """
    found: list[Row] = []
    after = ""
    while page := await table.scan(KEY_PREFIX, after, SCAN_PAGE_ROWS):
        found.extend(page)
        after = page[-1].key
    return tuple(decode_row(row.value, Registration) for row in found)


async def acquire_recovery(
    table: Table,
    lost: Registration,
    recoverer: Instance,
    running: Iterable[Instance],
    doubtful: tuple[Instance, ...],
) -> Registration | None:
    """Puts an instance in charge of the recovery of a lost instance.

    Returns ``None`` if another of the ``running`` instances is in charge already,
    or if the recovery has ended. The first recoverer stores ``doubtful``; later
    ones keep what is stored. Raises ``PlatformError`` if the table is unavailable.
    """
    key = KEY_PREFIX + lost.instance.name
    running = frozenset(running)

    def decide(rows: tuple[Row | None, ...]) -> Decision[Registration | None]:
        """Appends the recoverer unless a running one is in charge."""
        if rows[0] is None:
            return Decision(None)
        stored = decode_row(rows[0].value, Registration)
        last = stored.recoverers[-1] if stored.recoverers else None
        if last == recoverer:
            return Decision(stored)
        if last in running:
            return Decision(None)
        updated = replace(
            stored,
            recoverers=(*stored.recoverers, recoverer),
            doubtful=stored.doubtful if last else doubtful,
        )
        return Decision(updated, (Write(key, encode_row(updated)),))

    return await commit(table, (key,), decide)


async def mark_spender_done(table: Table, instance: Instance) -> None:
    """Records that no running holder has a reservation of a lost instance.

    Raises ``PlatformError`` if the table is unavailable.
    """
    key = KEY_PREFIX + instance.name

    def decide(rows: tuple[Row | None, ...]) -> Decision[None]:
        """Sets ``spender_done`` unless it is set."""
        if rows[0] is None:
            return Decision(None)
        stored = decode_row(rows[0].value, Registration)
        if stored.spender_done:
            return Decision(None)
        updated = replace(stored, spender_done=True)
        return Decision(None, (Write(key, encode_row(updated)),))

    await commit(table, (key,), decide)


def lost_registrations(
    registrations: Iterable[Registration], listed_vms: Iterable[str]
) -> tuple[Registration, ...]:
    """Returns the instances for whose loss there is evidence.

    An instance is lost if a newer incarnation on the same VM has registered, which
    it does only after it has bound the address. It is also lost if its VM was in
    the VM list and is not any more.

    >>> old, new = Instance("vm-1", 1), Instance("vm-1", 2)
    >>> both = [Registration(old, "a", ""), Registration(new, "a", "")]
    >>> [lost.instance.incarnation for lost in lost_registrations(both, ["vm-1"])]
    [1]
    """
    candidates = tuple(registrations)
    listed = frozenset(listed_vms)
    newest: dict[str, int] = {}
    for registration in candidates:
        vm, incarnation = registration.instance.vm, registration.instance.incarnation
        newest[vm] = max(incarnation, newest.get(vm, 0))
    return tuple(
        registration
        for registration in candidates
        if registration.instance.incarnation < newest[registration.instance.vm]
        or (registration.listed and registration.instance.vm not in listed)
    )
