"""Tests of the outcome that a transaction reports."""

import pytest

from verbenagrade.coordination.commits import Decision, commit
from verbenagrade.coordination.ports import Row, Table, Write
from verbenagrade.exceptions import PlatformError

KEY = "row"


class ContendedTable:
    """A table whose row another writer changes before each transaction.

    ``outcomes`` are those of the transactions: ``"lost"`` for a response that did
    not arrive, ``"conflict"`` otherwise, also after the last one.
    """

    def __init__(self, *outcomes) -> None:
        self.outcomes = list(outcomes)
        self.version = 1

    def port(self) -> Table:
        async def read(_keys):
            return (Row(KEY, self.version, b""),)

        async def transact(_checks, _writes):
            self.version += 1
            if self.outcomes and self.outcomes.pop(0) == "lost":
                raise PlatformError("the response was lost")
            return False

        return Table(read, None, transact)


async def failure_of(table) -> str:
    with pytest.raises(PlatformError) as raised:
        await commit(
            table.port(), (KEY,), lambda _rows: Decision(None, (Write(KEY, b"x"),))
        )
    return str(raised.value)


# Guards against an outcome that is told as unknown although a lost transaction can't
# take effect any more: the row it checked has changed, and it was not found there.
async def test_lost_response_is_not_reported_after_later_conflicts():
    assert "too many conflicting" in await failure_of(ContendedTable("lost"))


# Guards against the reverse: a conflict is told although the last transaction may
# still take effect.
async def test_lost_response_of_the_last_transaction_is_reported():
    outcomes = ["conflict"] * 11 + ["lost"]
    assert "lost" in await failure_of(ContendedTable(*outcomes))
