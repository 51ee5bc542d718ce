"""Platform ports over the stand-in's dictionaries, without sockets."""

from verbenagrade.coordination.ports import ObjectStore, Table
from verbenagrade.exceptions import PlatformError
from verbenagrade.protocol.platform import ReadRequest, ScanRequest, TransactRequest
from verbenagrade.tests.standins.platform import TableStandIn


class FakePlatform:
    """A table and an object store that can be away, or lose one answer."""

    def __init__(self, lose_answer: int = 0) -> None:
        self.rows = TableStandIn()
        self.stored: dict[str, bytes] = {}
        self.away = False
        self.lose_answer = lose_answer
        self.writes = 0

    def table(self) -> Table:
        async def read(keys):
            self._check()
            return self.rows.read(ReadRequest(keys)).rows

        async def scan(prefix, after, limit):
            self._check()
            return self.rows.scan(ScanRequest(prefix, after, limit)).rows

        async def transact(checks, writes):
            self._check()
            reply = self.rows.transact(TransactRequest(checks, writes))
            if reply.committed:
                self._written()
            return reply.committed

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
