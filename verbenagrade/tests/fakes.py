"""Platform ports over dictionaries, without sockets."""

import bisect

import msgspec

from verbenagrade.coordination.ports import ObjectStore, Row, Table
from verbenagrade.exceptions import PlatformError


class Counts(msgspec.Struct):
    reads: int = 0
    writes: int = 0
    conflicts: int = 0
    objects: int = 0


class MemoryTable:
    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.keys: list[str] = []
        self.version = 0
        self.counts = Counts()

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
    """A table and an object store that can be away, or lose one answer."""

    def __init__(self, lose_answer: int = 0) -> None:
        self.rows = MemoryTable()
        self.stored: dict[str, bytes] = {}
        self.away = False
        self.lose_answer = lose_answer
        self.writes = 0

    def table(self) -> Table:
        async def read(keys):
            self._check()
            return self.rows.read(keys)

        async def scan(prefix, after, limit):
            self._check()
            return self.rows.scan(prefix, after, limit)

        async def transact(checks, writes):
            self._check()
            committed = self.rows.transact(checks, writes)
            if committed:
                self._written()
            return committed

        return Table(read, scan, transact)

    def objects(self) -> ObjectStore:
        async def create(name, data):
            self._check()
            if name in self.stored:
                return False
            self.stored[name] = data
            self._written()
            return True

        async def get(name):
            self._check()
            return self.stored.get(name)

        async def names(prefix, after):
            self._check()
            return tuple(
                sorted(n for n in self.stored if n.startswith(prefix) and n > after)
            )

        return ObjectStore(create, get, names)

    def _check(self) -> None:
        if self.away:
            raise PlatformError("away")

    def _written(self) -> None:
        self.writes += 1
        if self.writes == self.lose_answer:
            raise PlatformError("the answer was lost")
