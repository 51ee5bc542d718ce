"""In-memory implementations of the platform ports, for tests without sockets."""

import bisect

import msgspec

from verbenagrade.coordination.ports import ObjectStore, Row, Table
from verbenagrade.exceptions import PlatformError


class OperationCounts(msgspec.Struct):
    """Counts of table operations and of created objects."""

    reads: int = 0
    writes: int = 0
    conflicts: int = 0
    objects: int = 0


class MemoryTable:
    """Versioned rows in key order; ``keys`` are the sorted keys of ``rows``."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.keys: list[str] = []
        self.version = 0
        self.counts = OperationCounts()

    def read(self, keys):
        self.counts.reads += 1
        return tuple(self.rows.get(key) for key in keys)

    def scan(self, prefix, after, limit):
        self.counts.reads += 1
        start = bisect.bisect_right(self.keys, after or prefix)
        if not after and prefix in self.rows:
            start -= 1
        found = []
        for key in self.keys[start:]:
            if not key.startswith(prefix) or len(found) == limit:
                break
            found.append(self.rows[key])
        return tuple(found)

    def transact(self, checks, writes) -> bool:
        for check in checks:
            row = self.rows.get(check.key)
            if (row.version if row else 0) != check.version:
                self.counts.conflicts += 1
                return False
        self.counts.writes += 1
        for write in writes:
            self.put(write.key, write.value)
        return True

    def put(self, key: str, value: bytes | None) -> None:
        self.version += 1
        if value is None:
            if self.rows.pop(key, None):
                self.keys.remove(key)
            return
        if key not in self.rows:
            bisect.insort(self.keys, key)
        self.rows[key] = Row(key, self.version, value)


class FakePlatform:
    """A table and an object store with two kinds of faults.

    While ``unavailable`` is set, every operation raises ``PlatformError``. The write
    with number ``write_without_response`` (from 1; 0 for none) takes effect and then
    raises ``PlatformError``, as if its response was lost.
    """

    def __init__(self, write_without_response: int = 0) -> None:
        self.rows = MemoryTable()
        self.stored_objects: dict[str, bytes] = {}
        self.unavailable = False
        self.write_without_response = write_without_response
        self.write_count = 0

    def table(self) -> Table:
        async def read(keys):
            self._raise_if_unavailable()
            return self.rows.read(keys)

        async def scan(prefix, after, limit):
            self._raise_if_unavailable()
            return self.rows.scan(prefix, after, limit)

        async def transact(checks, writes):
            self._raise_if_unavailable()
            committed = self.rows.transact(checks, writes)
            if committed:
                self._count_write()
            return committed

        return Table(read, scan, transact)

    def objects(self) -> ObjectStore:
        async def create(name, data):
            self._raise_if_unavailable()
            if name in self.stored_objects:
                return False
            self.stored_objects[name] = data
            self._count_write()
            return True

        async def get(name):
            self._raise_if_unavailable()
            return self.stored_objects.get(name)

        async def names(prefix, after):
            self._raise_if_unavailable()
            return tuple(
                sorted(
                    n for n in self.stored_objects if n.startswith(prefix) and n > after
                )
            )

        return ObjectStore(create, get, names)

    def _raise_if_unavailable(self) -> None:
        if self.unavailable:
            raise PlatformError("the platform is unavailable")

    def _count_write(self) -> None:
        self.write_count += 1
        if self.write_count == self.write_without_response:
            raise PlatformError("the response was lost")
