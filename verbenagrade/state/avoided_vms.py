"""The VMs that are avoided for some time after they failed."""

__all__ = ["AvoidedVms"]

MIN_AVOIDED_S = 1.0
MAX_AVOIDED_S = 30.0
"""Bounds of the time in seconds for which a VM is avoided. It doubles with each failure
in a row, because VMs that are lost for good stay listed."""


class AvoidedVms:
    """The time until which each VM is avoided, and its failures in a row.

    >>> avoided = AvoidedVms()
    >>> avoided.failed("a", now=0.0)
    >>> avoided.is_avoided("a", now=0.5), avoided.is_avoided("a", now=1.5)
    (True, False)
    """

    def __init__(self) -> None:
        self.until: dict[str, float] = {}
        self.failures: dict[str, int] = {}

    def failed(self, vm: str, now: float) -> None:
        """Avoids a VM for some time after ``now``, in seconds."""
        if self.is_avoided(vm, now):
            return
        failures = self.failures.get(vm, 0)
        self.failures[vm] = failures + 1
        self.until[vm] = now + min(MAX_AVOIDED_S, MIN_AVOIDED_S * 2**failures)

    def succeeded(self, vm: str) -> None:
        """Ends the avoidance of a VM."""
        self.until.pop(vm, None)
        self.failures.pop(vm, None)

    def is_avoided(self, vm: str, now: float) -> bool:
        """Returns whether a VM failed a short time before ``now``, in seconds."""
        return self.until.get(vm, now) > now
