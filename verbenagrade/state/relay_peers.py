"""The VMs that may pass calls on to endpoints for a VM that can't reach them."""

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass

from verbenagrade.state.avoided_vms import AvoidedVms

__all__ = ["RelayPeer", "RelayPeers"]


@dataclass(frozen=True, slots=True)
class RelayPeer:
    """A VM, its present process, and the addresses for requests of others, ``IP:PORT``.

    ``address`` takes calls to endpoints and ``reservation_address`` reservations of
    tokens; the latter is empty if the VM takes none. ``restored_in`` is the era of the
    store in which it has restored its budgets, ``None`` if its build does not tell.
    """

    vm: str
    incarnation: str
    address: str
    data_centre: str
    reservation_address: str = ""
    restored_in: int | None = None


class RelayPeers:
    """The other VMs, and which of them did not pass a call on a short time ago."""

    def __init__(self) -> None:
        self.peers: dict[str, RelayPeer] = {}
        self.avoided = AvoidedVms()

    def put(self, peer: RelayPeer) -> None:
        """Adds or replaces a VM; one with a new address is not avoided any more."""
        if self.peers.get(peer.vm) != peer:
            self.succeeded(peer.vm)
        self.peers[peer.vm] = peer

    def replace(self, vm: str, peer: RelayPeer | None) -> None:
        """Replaces what is known of a VM, or removes it."""
        if peer is None:
            self.remove(vm)
        else:
            self.put(peer)

    def retain(self, is_listed: Callable[[str], bool]) -> None:
        """Removes the VMs that are not listed."""
        for vm in tuple(self.peers):
            if not is_listed(vm):
                self.remove(vm)

    def remove(self, vm: str) -> None:
        """Removes a VM that has left."""
        self.peers.pop(vm, None)
        self.succeeded(vm)

    def avoid(self, vm: str, now: float) -> None:
        """Avoids a VM for some time after ``now``, in seconds."""
        self.avoided.failed(vm, now)

    def succeeded(self, vm: str) -> None:
        """Records that a VM has passed a call on."""
        self.avoided.succeeded(vm)

    def choose(
        self,
        data_centres: tuple[str, ...],
        excluded: Collection[str],
        now: float,
        rng: random.Random,
    ) -> RelayPeer | None:
        """Chooses a VM at random, ``None`` if there is none.

        VMs that are not avoided come first, and among them those in the first of the
        ``data_centres`` that has any.

        >>> peers = RelayPeers()
        >>> peers.put(RelayPeer("a", "a-1", "10.0.0.1:7355", "muscat-a"))
        >>> peers.put(RelayPeer("b", "b-1", "10.0.0.2:7355", "dhofar-a"))
        >>> rng = random.Random(0)
        >>> peers.choose(("dhofar-a",), (), 0.0, rng).vm
        'b'
        >>> peers.avoid("b", now=0.0)
        >>> peers.choose(("dhofar-a",), (), 0.5, rng).vm
        'a'
        """
        allowed = [peer for vm, peer in self.peers.items() if vm not in excluded]
        good = [p for p in allowed if not self.avoided.is_avoided(p.vm, now)]
        candidates = good or allowed
        for data_centre in data_centres:
            near = [peer for peer in candidates if peer.data_centre == data_centre]
            if near:
                return rng.choice(near)
        return rng.choice(candidates) if candidates else None
