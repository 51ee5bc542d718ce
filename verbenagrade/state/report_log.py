"""Keeps reports for the VMs that have not received them.

A report is sent to each VM until it replies. A VM that restarts has lost what it
received, so that its new incarnation gets all reports again.
"""

from collections import deque
from dataclasses import dataclass
from typing import Generic, TypeVar

from verbenagrade.state.identity import Instance

__all__ = ["PendingReport", "ReportLog"]

Report = TypeVar("Report")

MAX_REPORTS = 1000


@dataclass(frozen=True, slots=True)
class PendingReport(Generic[Report]):
    """A report to send, and its number in the log."""

    number: int
    report: Report


@dataclass(frozen=True, slots=True)
class Position:
    """The number of the first report that an instance has not received.

    ``instance`` is ``None`` if no instance of the VM has been seen.
    """

    instance: Instance | None
    number: int


class ReportLog(Generic[Report]):
    """The newest ``MAX_REPORTS`` reports, and which of them each VM has received.

    >>> log = ReportLog()
    >>> log.append("crash")
    >>> pending = log.next_for("vm-2", None)
    >>> pending.report
    'crash'
    >>> log.record_received("vm-2", pending, None, Instance("vm-2", 1))
    >>> log.next_for("vm-2", Instance("vm-2", 1)) is None
    True
    >>> log.next_for("vm-2", Instance("vm-2", 2)).report
    'crash'
    """

    def __init__(self) -> None:
        self.reports: deque[PendingReport[Report]] = deque(maxlen=MAX_REPORTS)
        self.next_number = 0
        self.positions: dict[str, Position] = {}

    def append(self, report: Report) -> None:
        """Adds a report."""
        self.reports.append(PendingReport(self.next_number, report))
        self.next_number += 1

    def next_for(
        self, vm: str, instance: Instance | None
    ) -> PendingReport[Report] | None:
        """Returns the oldest report that a VM has not received, or ``None``.

        ``instance`` is the newest instance seen on the VM, ``None`` if none was.
        """
        position = self.positions.get(vm)
        first = position.number if position and position.instance == instance else 0
        if first >= self.next_number:
            return None
        oldest = self.reports[0].number
        return self.reports[max(first - oldest, 0)]

    def record_received(
        self,
        vm: str,
        pending: PendingReport[Report],
        before: Instance | None,
        after: Instance | None,
    ) -> None:
        """Records that a VM has received a report.

        ``before`` and ``after`` are the newest instances seen before the call and
        after it. If the VM restarted between them, its new instance has received
        this report alone.
        """
        if before is None or before == after:
            self.positions[vm] = Position(after, pending.number + 1)

    def retain(self, vms: set[str]) -> None:
        """Forgets the positions of all VMs except ``vms``."""
        self.positions = {
            vm: position for vm, position in self.positions.items() if vm in vms
        }
