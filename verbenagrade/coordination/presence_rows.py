"""Rows by which gateways tell each other that they run, and where."""

import msgspec

from verbenagrade.coordination.codec import decode_or_ignore, log_ignored
from verbenagrade.coordination.ports import Row
from verbenagrade.state.decoding import Count, is_address
from verbenagrade.state.relay_peers import RelayPeer
from verbenagrade.state.stream_versions import HeardDefaults

__all__ = ["PresenceRow", "decode_peer"]


class PresenceRow(msgspec.Struct, frozen=True):
    """The value of the row of a VM.

    ``relay_address`` is where it takes calls of other VMs, and ``reservation_address``
    where it takes their reservations of tokens; each is empty if it takes none.
    ``restored_in`` is the era of the store in which all that the process knows of
    budgets is in the store, and ``heard`` up to where it knows the default software
    versions; builds that don't tell leave these out.
    """

    incarnation: str
    relay_address: str = ""
    data_centre: str = ""
    reservation_address: str = ""
    restored_in: Count | None = None
    heard: HeardDefaults | None = None


def decode_peer(vm: str, row: Row) -> RelayPeer | None:
    """Returns the VM of a row, ``None`` if it takes no calls of other VMs.

    That holds for a row that can't be read, too, which is logged.
    """
    content = decode_or_ignore(row, PresenceRow | str)
    # Builds that take no calls of other VMs write only their incarnation.
    if not isinstance(content, PresenceRow) or not content.relay_address:
        return None
    addresses = filter(None, (content.relay_address, content.reservation_address))
    if not all(map(is_address, addresses)):
        log_ignored(row.key, "an address is no IP and port")
        return None
    return RelayPeer(
        vm,
        content.incarnation,
        content.relay_address,
        content.data_centre,
        content.reservation_address,
        content.restored_in,
    )
