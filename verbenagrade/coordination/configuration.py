"""Stores the declared configuration in the platform's table.

Every accepted declaration gets the next revision, so that all changes of the
configuration have one order.
"""

from dataclasses import dataclass, replace

import msgspec

from verbenagrade.coordination.budget_table import budget_key
from verbenagrade.coordination.codec import decode_row, encode_row
from verbenagrade.coordination.commits import Decision, commit
from verbenagrade.coordination.ports import Row, Table, Write
from verbenagrade.exceptions import (
    InvalidResourceError,
    RevisionConflictError,
    UndecodableError,
)
from verbenagrade.state.budgets import BudgetRow, retarget
from verbenagrade.state.decoding import decode_json
from verbenagrade.state.resources import (
    Budget,
    Pool,
    Resource,
    Route,
    Spec,
    Workspace,
)

__all__ = [
    "Declaration",
    "Head",
    "apply_resource",
    "changes_after",
    "decode_spec",
    "list_resources",
    "read_latest_revision",
    "read_resource",
]

HEAD_KEY = "configuration/head"
SCAN_PAGE_ROWS = 500
BUDGET_RESOURCE_PREFIX = "resource/budget/"

SPEC_TYPES: dict[str, type[Spec]] = {
    spec.kind: spec for spec in (Workspace, Budget, Route, Pool)
}


@dataclass(frozen=True, slots=True)
class Head:
    """The row that holds the newest revision of the configuration."""

    revision: int


@dataclass(frozen=True, slots=True)
class Declaration:
    """The state of a resource that an operator requests.

    ``generation`` is the generation that the operator read, 0 for a new resource.
    ``operation`` identifies the request: a retry changes nothing further.
    """

    kind: str
    name: str
    spec: Spec
    generation: int
    operation: str


@dataclass(frozen=True, slots=True)
class StoredResource:
    """The stored form of a resource; its kind determines how to decode its spec."""

    kind: str
    name: str
    generation: int
    revision: int
    operation: str
    spec: msgspec.Raw


def decode_spec(kind: str, raw: bytes) -> Spec:
    """Decodes a spec of the given kind from JSON.

    Raises ``InvalidResourceError``, whose text says what is wrong and what is
    expected.
    """
    spec_type = SPEC_TYPES.get(kind)
    if spec_type is None:
        known = ", ".join(sorted(SPEC_TYPES))
        raise InvalidResourceError(f"kind {kind!r} is not known; use one of {known}")
    try:
        return decode_json(raw, spec_type)
    except UndecodableError as error:
        raise InvalidResourceError(f"spec of this {kind}: {error}") from error


async def read_latest_revision(table: Table) -> int:
    """Returns the newest revision, 0 if there is none.

    Raises ``PlatformError`` if the table is unavailable.
    """
    (row,) = await table.read((HEAD_KEY,))
    return _head_revision(row)


async def read_resource(table: Table, kind: str, name: str) -> Resource | None:
    """Returns the newest state of a resource, or ``None`` if it does not exist.

    Raises ``PlatformError`` if the table is unavailable.
    """
    (row,) = await table.read((_resource_key(kind, name),))
    return _decode_resource(row) if row else None


async def list_resources(table: Table, kind: str = "") -> tuple[Resource, ...]:
    """Returns all resources of a kind, or of every kind if ``kind`` is empty.

    Raises ``PlatformError`` if the table is unavailable.
    """
    prefix = f"resource/{kind}/" if kind else "resource/"
    return tuple(_decode_resource(row) for row in await _scan_all(table, prefix, ""))


async def changes_after(table: Table, revision: int) -> tuple[Resource, ...]:
    """Returns the newest state of each resource that changed after a revision.

    Budgets are left out: there are too many for each instance to keep in memory, and a
    holder reads the budget's row when it obtains tokens from it. Raises
    ``PlatformError`` if the table is unavailable.
    """
    after = _change_key(revision)
    changes = await _scan_all(table, "change/", after)
    keys = tuple(dict.fromkeys(map(_changed_resource_key, changes)))
    keys = tuple(key for key in keys if not key.startswith(BUDGET_RESOURCE_PREFIX))
    if not keys:
        return ()
    rows = await table.read(keys)
    return tuple(_decode_resource(row) for row in rows if row)


async def apply_resource(table: Table, declared: Declaration) -> Resource:
    """Stores a declaration as the next revision of the configuration.

    For a budget, the row with its tokens changes in the same transaction. Raises
    ``RevisionConflictError`` if the resource is not at the generation that the
    operator read, and ``PlatformError`` if the table is unavailable.
    """
    resource_key = _resource_key(declared.kind, declared.name)
    keys = (HEAD_KEY, resource_key)
    if isinstance(declared.spec, Budget):
        keys = (*keys, budget_key(declared.name))

    def decide(rows: tuple[Row | None, ...]) -> Decision[Resource]:
        """Writes the declaration unless it is outdated or already stored."""
        current = decode_row(rows[1].value, StoredResource) if rows[1] else None
        if current is not None and current.operation == declared.operation:
            return Decision(_decode_resource(rows[1]))
        generation = current.generation if current else 0
        if generation != declared.generation:
            raise RevisionConflictError(
                f"{declared.kind} {declared.name} is at generation {generation}, not"
                f" {declared.generation}; read it and apply your change again"
            )
        revision = _head_revision(rows[0]) + 1
        stored = _stored_resource(declared, generation + 1, revision)
        writes = _resource_writes(resource_key, stored)
        if isinstance(declared.spec, Budget):
            writes = (*writes, _budget_write(rows[2], declared.name, declared.spec))
        result = Resource(
            declared.kind, declared.name, stored.generation, revision, declared.spec
        )
        return Decision(result, writes)

    return await commit(table, keys, decide)


def _stored_resource(
    declared: Declaration, generation: int, revision: int
) -> StoredResource:
    return StoredResource(
        kind=declared.kind,
        name=declared.name,
        generation=generation,
        revision=revision,
        operation=declared.operation,
        spec=msgspec.Raw(encode_row(declared.spec)),
    )


def _resource_writes(key: str, stored: StoredResource) -> tuple[Write, ...]:
    return (
        Write(HEAD_KEY, encode_row(Head(stored.revision))),
        Write(key, encode_row(stored)),
        Write(_change_key(stored.revision), key.encode()),
    )


def _budget_write(row: Row | None, name: str, spec: Budget) -> Write:
    if row is None:
        budget = BudgetRow(prepaid=spec.prepaid, target=spec.prepaid)
    else:
        budget = retarget(decode_row(row.value, BudgetRow), spec.prepaid)
    budget = replace(budget, workspace=spec.workspace, hold=spec.hold)
    return Write(budget_key(name), encode_row(budget))


async def _scan_all(table: Table, prefix: str, after: str) -> list[Row]:
    found: list[Row] = []
    while True:
        page = await table.scan(prefix, after, SCAN_PAGE_ROWS)
        found.extend(page)
        if len(page) < SCAN_PAGE_ROWS:
            return found
        after = page[-1].key


def _decode_resource(row: Row) -> Resource:
    stored = decode_row(row.value, StoredResource)
    spec = decode_spec(stored.kind, bytes(stored.spec))
    return Resource(stored.kind, stored.name, stored.generation, stored.revision, spec)


def _changed_resource_key(change: Row) -> str:
    return change.value.decode(errors="replace")


def _head_revision(row: Row | None) -> int:
    return decode_row(row.value, Head).revision if row else 0


def _resource_key(kind: str, name: str) -> str:
    return f"resource/{kind}/{name}"


def _change_key(revision: int) -> str:
    return f"change/{revision:012d}"
