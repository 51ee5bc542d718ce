"""Which VMs hold the tokens of a workspace.

In each data centre the first VM by rendezvous hashing holds them, and the others
reserve with it. If it can't be reached, the next one does. Who is holder is a matter of
speed only: each VM spends its own grant, so several holders at once are safe.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from verbenagrade.state.membership import rendezvous_order

__all__ = ["HolderRanking", "HolderVm"]


@dataclass(frozen=True, slots=True)
class HolderVm:
    """A VM that may hold tokens, and the address for reservations, ``IP:PORT``."""

    vm: str
    address: str
    data_centre: str


class HolderRanking:
    """The order in which the VMs of each data centre hold a workspace's tokens.

    >>> ranking = HolderRanking(HolderVm("a", "", "muscat-a"))
    >>> ranking.update([HolderVm("b", "10.0.0.2:7341", "dhofar-a")])
    >>> ranking.data_centres
    ('muscat-a', 'dhofar-a')
    >>> [holder.vm for holder in ranking.ranked("hotel", "muscat-a")]
    ['a']
    """

    def __init__(self, own: HolderVm) -> None:
        self.own = own
        self.vms: dict[str, HolderVm] = {}
        self.data_centres: tuple[str, ...] = ()
        self.orders: dict[tuple[str, str], tuple[HolderVm, ...]] = {}
        self.update(())

    def update(self, others: Iterable[HolderVm]) -> None:
        """Replaces the other VMs."""
        vms = {holder.vm: holder for holder in others} | {self.own.vm: self.own}
        if vms == self.vms:
            return
        self.vms = vms
        self.orders = {}
        names = {holder.data_centre for holder in vms.values()}
        own_name = self.own.data_centre
        self.data_centres = (own_name, *sorted(names - {own_name}))

    def ranked(self, workspace: str, data_centre: str) -> tuple[HolderVm, ...]:
        """Returns the VMs of a data centre, the first holder first."""
        key = (workspace, data_centre)
        order = self.orders.get(key)
        if order is None:
            members = (h for h in self.vms.values() if h.data_centre == data_centre)
            order = self.orders[key] = rendezvous_order(workspace, members)
        return order
