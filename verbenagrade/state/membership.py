"""Tracks the VMs of the fleet and the instances that run on them.

The VM list is updated with a delay, and a missing reply does not prove that an instance
has ended. An instance is therefore considered lost only if a newer incarnation runs at
its address, or if its VM was listed and no longer is.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol, TypeVar

import xxhash

from verbenagrade.state.identity import Instance

__all__ = ["MemberVm", "Members", "rendezvous_order"]

SUSPECT_S = 2.0


@dataclass(frozen=True, slots=True)
class MemberVm:
    """A VM that runs a router; if ``leaving``, the router will stop soon."""

    vm: str
    data_centre: str
    address: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class ListChange:
    """The VMs that a new VM list added and removed."""

    added: tuple[MemberVm, ...]
    removed: tuple[MemberVm, ...]


class NamedVm(Protocol):
    """Anything that stands for a VM and has its name."""

    @property
    def vm(self) -> str:
        """The name of the VM."""


AnyVm = TypeVar("AnyVm", bound=NamedVm)


def rendezvous_order(key: str, members: Iterable[AnyVm]) -> tuple[AnyVm, ...]:
    """Orders VMs by rendezvous hashing, which gives all instances the same order.

    >>> vms = [MemberVm(f"vm-{n}", "a", "") for n in range(3)]
    >>> [member.vm for member in rendezvous_order("hotel", vms)]
    ['vm-0', 'vm-2', 'vm-1']
    """

    def score(member: AnyVm) -> int:
        """Returns a VM's rendezvous score."""
        return xxhash.xxh3_64_intdigest(f"{key}|{member.vm}".encode())

    return tuple(sorted(members, key=score, reverse=True))


class Members:
    """The known VMs, and the state of their instances.

    ``own_listed`` says whether this VM is in the VM list. ``revisions`` has the
    configuration revision of each VM. ``suspect_until`` has the times in seconds
    until which VMs are avoided.
    """

    def __init__(self, own: MemberVm) -> None:
        self.own = own
        self.own_listed = False
        self.vms: dict[str, MemberVm] = {own.vm: own}
        self.instances: dict[str, Instance] = {}
        self.revisions: dict[str, int] = {}
        self.suspect_until: dict[str, float] = {}
        self.lost: set[Instance] = set()

    def update(self, listed: Iterable[MemberVm]) -> ListChange:
        """Applies a new VM list. Instances on VMs that were removed are lost."""
        vms_by_name = {member.vm: member for member in listed}
        self.own_listed = self.own.vm in vms_by_name
        vms_by_name.setdefault(self.own.vm, self.own)
        added = tuple(m for vm, m in vms_by_name.items() if vm not in self.vms)
        removed = tuple(m for vm, m in self.vms.items() if vm not in vms_by_name)
        for member in removed:
            self._forget(member.vm)
        self.vms = vms_by_name
        return ListChange(added, removed)

    def record_instance(self, instance: Instance) -> Instance | None:
        """Records a running instance.

        Returns the older instance that it replaced, or ``None``.
        """
        self.suspect_until.pop(instance.vm, None)
        previous = self.instances.get(instance.vm)
        if previous is not None and previous.incarnation >= instance.incarnation:
            return None
        self.instances[instance.vm] = instance
        if previous is not None:
            self.lost.add(previous)
        return previous

    def record_heartbeat(self, instance: Instance, revision: int) -> None:
        """Records a running instance and the configuration revision that it uses."""
        self.record_instance(instance)
        self.revisions[instance.vm] = revision

    def suspect(self, vm: str, now: float) -> None:
        """Avoids a VM for ``SUSPECT_S`` after a call to it failed at ``now``."""
        self.suspect_until[vm] = now + SUSPECT_S

    def is_usable(self, member: MemberVm, now: float) -> bool:
        """Returns whether a VM is neither leaving nor suspected."""
        return not member.leaving and self.suspect_until.get(member.vm, 0.0) <= now

    def is_lost(self, instance: Instance) -> bool:
        """Returns whether an instance is considered lost."""
        if instance in self.lost:
            return True
        current = self.instances.get(instance.vm)
        return current is not None and current.incarnation > instance.incarnation

    def usable(self, data_centre: str, now: float) -> tuple[MemberVm, ...]:
        """Returns the other VMs of a data centre that are neither leaving nor
        suspected."""
        return tuple(
            member
            for member in self.vms.values()
            if member.data_centre == data_centre
            and member.vm != self.own.vm
            and self.is_usable(member, now)
        )

    def other_data_centres(self) -> tuple[str, ...]:
        """Returns the names of the other data centres, sorted."""
        names = {member.data_centre for member in self.vms.values()}
        return tuple(sorted(names - {self.own.data_centre}))

    def _forget(self, vm: str) -> None:
        instance = self.instances.pop(vm, None)
        self.suspect_until.pop(vm, None)
        self.revisions.pop(vm, None)
        if instance is not None:
            self.lost.add(instance)
