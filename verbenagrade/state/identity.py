"""Names of instances, grants and table rows."""

from dataclasses import dataclass

__all__ = ["GrantId", "Instance"]


@dataclass(frozen=True, slots=True, order=True)
class Instance:
    """One run of a process on a VM.

    A restart on the same VM has a larger incarnation. ``incarnation`` is the
    start time in milliseconds since the epoch.

    >>> Instance("muscat-1", 17).name
    'muscat-1.17'
    """

    vm: str
    incarnation: int

    @property
    def name(self) -> str:
        """The VM and the incarnation, joined by a dot."""
        return f"{self.vm}.{self.incarnation}"

    @classmethod
    def parse(cls, name: str) -> "Instance":
        """Reads the form that ``name`` gives.

        >>> Instance.parse("muscat-1.17")
        Instance(vm='muscat-1', incarnation=17)
        """
        vm, _, incarnation = name.rpartition(".")
        return cls(vm, int(incarnation))


@dataclass(frozen=True, slots=True, order=True)
class GrantId:
    """The tokens of one budget that were granted to one instance."""

    budget: str
    owner: Instance

    @property
    def key(self) -> str:
        """The key of the grant's table row."""
        return f"grant/{self.budget}/{self.owner.name}"

    @classmethod
    def parse(cls, key: str) -> "GrantId":
        """Reads the form that ``key`` gives.

        >>> GrantId.parse("grant/hotel/muscat-1.17").budget
        'hotel'
        """
        _, budget, owner = key.split("/")
        return cls(budget, Instance.parse(owner))
