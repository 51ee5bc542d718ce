"""The key by which VMs prove to each other that a request comes from the fleet.

The first VM writes a random key to the row ``relay/key`` of the fleet's table, which
only the fleet reads and writes. If the store loses the row, a VM that knows the key
writes it again. Keys that were replaced in the meantime stay valid for verification.
"""

import secrets

import msgspec

from verbenagrade.coordination.codec import log_ignored
from verbenagrade.coordination.gateway_fleet import FLEET_TABLE
from verbenagrade.coordination.ports import Changes, Check, PlatformStore, Row, Write
from verbenagrade.state.decoding import decode_json

__all__ = ["RelayKeys"]

ROW_KEY = f"{FLEET_TABLE}//relay/key"
KEY_BYTES = 32
MAX_KEYS = 4
ABSENT = 0


class RelayKeys:
    """The known keys, the newest first; ``row_version`` is that of the row.

    ``unreadable_version`` is the version of a row that holds no key, which ``write``
    replaces.
    """

    def __init__(self, table: PlatformStore) -> None:
        self.table = table
        self.keys: list[bytes] = []
        self.row_version = ABSENT
        self.unreadable_version = ABSENT

    def apply(self, changes: Changes) -> None:
        """Applies changes of the fleet's table."""
        if changes.complete:
            self.enter_era()
        for row in changes.rows:
            if row.key == ROW_KEY:
                self._apply_row(row)

    def enter_era(self) -> None:
        """Has the key written again after the store came back from an older copy."""
        self.row_version = self.unreadable_version = ABSENT

    async def write(self) -> None:
        """Writes the key if the store has none, or one that can't be read.

        Raises ``PlatformError`` if the store does not respond.
        """
        if self.row_version != ABSENT:
            return
        key = self.keys[0] if self.keys else secrets.token_bytes(KEY_BYTES)
        value = msgspec.json.encode(key.hex())
        check = Check(ROW_KEY, self.unreadable_version)
        commit = await self.table.commit((check,), (Write(ROW_KEY, value),))
        written = Row(ROW_KEY, commit.version, value)
        for row in (written,) if commit.committed else commit.rows:
            self._apply_row(row)

    def _apply_row(self, row: Row) -> None:
        try:
            key = bytes.fromhex(decode_json(row.value, str))
        except ValueError as error:
            self._ignore(row, str(error))
            return
        if len(key) != KEY_BYTES:
            self._ignore(row, f"the key has {len(key)} bytes")
            return
        self.row_version = row.version
        if key in self.keys:
            self.keys.remove(key)
        self.keys = [key, *self.keys][:MAX_KEYS]

    def _ignore(self, row: Row, reason: str) -> None:
        """Keeps the known keys; a row that can't be read must not be one of them."""
        self.unreadable_version = row.version
        self.row_version = ABSENT
        log_ignored(row.key, reason)
