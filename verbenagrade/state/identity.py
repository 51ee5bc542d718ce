"""Names of instances, grants and table rows."""

from dataclasses import dataclass

__all__ = ["GrantId", "Instance", "grants_prefix"]


@dataclass(frozen=True, slots=True, order=True)
class Instance:
    """One run of a process on a VM.

    ``incarnation`` is the start time in milliseconds since the epoch, so that a
    restart on the same VM has a larger one.

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
        """Returns the instance with this ``name``.

        Raises ``ValueError`` if the incarnation is not a number.

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
        return f"{grants_prefix(self.owner)}{self.budget}"

    @classmethod
    def parse(cls, key: str) -> "GrantId":
        """Returns the grant with this ``key``.

        Raises ``ValueError`` if it is not the key of a grant.

        >>> GrantId.parse("grant/muscat-1.17/hotel").budget
        'hotel'
        """
        _, owner, budget = key.split("/")
        return cls(budget, Instance.parse(owner))


def grants_prefix(owner: Instance) -> str:
    """Returns the common prefix of the keys of an instance's grants."""
    return f"grant/{owner.name}/"
