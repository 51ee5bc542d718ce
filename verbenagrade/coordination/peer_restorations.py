"""Learns what other VMs know of budgets after the store has lost recent rows.

The store may serve some VMs and turn others away. What was granted to these since the
copy is in no row, and they spend it. Each VM therefore tells in its row of the table
``fleet`` in which era of the store it has restored its budgets. Those that have not
told in time are asked over the connections for reservations, and nothing is granted
from a budget before each of them has replied.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping

from verbenagrade.coordination.accounts import BudgetAccount
from verbenagrade.coordination.allowances import AllowanceManager
from verbenagrade.coordination.ports import Clock
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import PeerError
from verbenagrade.state.avoided_vms import AvoidedVms
from verbenagrade.state.holders import HolderRanking, HolderVm
from verbenagrade.state.reservation_orders import KnownStates

__all__ = ["AskForStates", "PeerRestorations"]

ASK_AFTER_FRACTION = 0.5
"""Fraction of ``era_settle_s`` after which VMs are asked. Those that reach the store
have told by then that their budgets are restored."""

MAX_CONCURRENT_VMS = 32
"""Maximum number of VMs that are asked at a time."""

MAX_WORKSPACES_PER_ORDER = 50
"""Maximum number of budgets in one order. The states of their shards take up to 25 KB
in the reply, of 64 KB that a frame holds."""

AskForStates = Callable[[HolderVm, int, tuple[str, ...]], Awaitable[KnownStates]]
"""Asks a VM for its states of workspaces before an era; raises ``PeerError`` if it
can't be reached."""


class PeerRestorations:
    """The VMs whose grants may not be in the store's present era.

    ``restored_in`` maps the other VMs to the eras in which they have restored their
    budgets; VMs whose build does not tell are not in it. ``era_began_at`` returns the
    time in seconds at which the store lost rows, also for a process that has started
    since. ``reported_in`` is the last era for which silent VMs were logged.
    """

    def __init__(
        self,
        manager: AllowanceManager,
        ranking: HolderRanking,
        ask: AskForStates,
        clock: Clock,
    ) -> None:
        self.manager = manager
        self.ranking = ranking
        self.ask = ask
        self.clock = clock
        self.eras = manager.eras
        self.era_began_at: Callable[[], float] = lambda: self.eras.since
        self.restored_in: dict[str, int] = {}
        self.avoided = AvoidedVms()
        self.reported_in = 0
        manager.awaits_peers = self.awaits

    def update(self, restored_in: Mapping[str, int | None]) -> None:
        """Replaces the other VMs and the eras in which they have restored budgets."""
        self.restored_in = {
            vm: era for vm, era in restored_in.items() if era is not None
        }

    def awaits(self, account: BudgetAccount, now: float) -> bool:
        """Returns whether a VM may hold grants of a budget that nobody has restored.

        A VM that can't be asked is awaited until ``era_silence_s`` after the store has
        lost rows, because VMs that are lost for good stay listed. ``now`` is in
        seconds.
        """
        if self.eras.current is None or now >= self._silence_ends_at():
            return False
        return any(vm not in account.told_by for vm in self._behind())

    async def ask_peers(self) -> None:
        """Asks the VMs that have not restored their budgets what they know of them."""
        now = self.clock()
        settle_s = self.manager.tuning.era_settle_s
        ask_at = self.eras.since + ASK_AFTER_FRACTION * settle_s
        if self.eras.current is None or now < ask_at:
            return
        behind = self._behind()
        due = [vm for vm in behind if not self.avoided.is_avoided(vm, now)]
        for start in range(0, len(due), MAX_CONCURRENT_VMS):
            batch = due[start : start + MAX_CONCURRENT_VMS]
            await asyncio.gather(*map(self._ask_vm, batch))
        if now >= self._silence_ends_at():
            self._report_silent(behind)

    def _behind(self) -> list[str]:
        """Returns the VMs that have not told that their budgets are restored."""
        era = self.eras.number
        return [vm for vm, restored in self.restored_in.items() if restored < era]

    def _silence_ends_at(self) -> float:
        return self.era_began_at() + self.manager.tuning.era_silence_s

    def _not_told_by(self, vm: str) -> tuple[str, ...]:
        """Returns the workspaces of which a VM has not told its states."""
        accounts = self.manager.accounts.values()
        return tuple(it.workspace for it in accounts if vm not in it.told_by)

    async def _ask_vm(self, vm: str) -> None:
        holder = self.ranking.vms.get(vm)
        workspaces = self._not_told_by(vm)
        if holder is None or not workspaces:
            return
        try:
            for start in range(0, len(workspaces), MAX_WORKSPACES_PER_ORDER):
                batch = workspaces[start : start + MAX_WORKSPACES_PER_ORDER]
                known = await self.ask(holder, self.eras.number, batch)
                self._learn(vm, batch, known)
        except PeerError as error:
            log_event(Event.HOLDER_UNREACHABLE, vm=vm, reason=str(error))
            self.avoided.failed(vm, self.clock())
            return
        self.avoided.succeeded(vm)

    def _learn(self, vm: str, workspaces: tuple[str, ...], known: KnownStates) -> None:
        """Takes over the states of a VM, unless they belong to another era."""
        self.eras.learn(known.era, vm)
        if known.era != self.eras.number:
            return
        for workspace in workspaces:
            states = known.states.get(workspace, {})
            self.manager.accounts[workspace].learn_states(vm, states)
        log_event(
            Event.PEER_STATES_LEARNED,
            vm=vm,
            era=known.era,
            asked=len(workspaces),
            workspaces=len(known.states),
        )

    def _report_silent(self, behind: list[str]) -> None:
        """Logs, once in each era, that grants go on without the word of some VMs."""
        if self.reported_in == self.eras.number:
            return
        self.reported_in = self.eras.number
        silent = [vm for vm in behind if self._not_told_by(vm)]
        if silent:
            log_event(Event.PEER_SILENT, vms=silent, era=self.eras.number)
