"""Tests of prepaid budgets when VMs are lost and return at once.

The load is that of a small site: each VM has some workspaces of its own with most of
the calls, and a few calls of all others. A store in memory responds at once.
"""

import asyncio
import random
from contextlib import suppress

import pytest

from verbenagrade.coordination.allowances import AllowanceManager
from verbenagrade.coordination.store_eras import StoreEras
from verbenagrade.coordination.tests.test_store_eras import DrillStore, FakeClock
from verbenagrade.exceptions import BudgetExhaustedError, UnavailableError
from verbenagrade.settings.gateway import TuningSettings

VMS = 8
WORKSPACES = 10
PREPAID = 400_000
CALLS_PER_S = 40
MEAN_TOKENS = 2_200
STEP_S = 0.25
RETURN_S = 1.5
"""Time from the loss of a VM until its next process is up, in seconds."""

RECOVERY_S = 12.0
LEAST_SERVED_FRACTION = 0.25


class Site:
    """VMs that serve calls of several workspaces, and lose all that they hold."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.clock = FakeClock()
        self.store = DrillStore()
        self.starts = 0
        self.spent = dict.fromkeys(range(WORKSPACES), 0)
        self.managers = [self.start(vm) for vm in range(VMS)]

    def start(self, vm: int) -> AllowanceManager:
        self.starts += 1
        eras = StoreEras(self.clock)
        manager = AllowanceManager(
            self.store.port(eras),
            f"vm-{vm}",
            f"vm-{vm}-{self.starts}",
            TuningSettings(),
            self.clock,
            eras,
        )
        manager.random.seed(self.random.random())
        eras.on_change = manager.enter_era
        manager.vm_count = VMS
        for workspace in range(WORKSPACES):
            manager.set_prepaid(str(workspace), PREPAID)
        return manager

    async def maintain(self) -> None:
        for manager in self.managers:
            await manager.prefetch_grants()
            await manager.rebalance()

    async def lose_all_vms(self) -> None:
        self.clock.now += RETURN_S
        self.managers = [self.start(vm) for vm in range(VMS)]

    async def serve(self, seconds: float) -> tuple[int, int]:
        """Serves the load; returns how many calls came, and how many were served.

        A call that fits in what its workspace has not spent and is refused counts; one
        that doesn't fit can't be served and does not.
        """
        came = served = 0
        for step in range(int(seconds / STEP_S)):
            self.clock.now += STEP_S
            if step % 4 == 0:
                await self.maintain()
            for _ in range(int(CALLS_PER_S * STEP_S)):
                workspace = self.random.randrange(WORKSPACES)
                tokens = int(self.random.expovariate(1 / MEAN_TOKENS)) + 100
                if self.spent[workspace] + tokens > 0.97 * PREPAID:
                    continue
                came += 1
                served += await self._call(workspace, tokens)
        return came, served

    async def _call(self, workspace: int, tokens: int) -> bool:
        vm = (workspace + self.random.choice((0, 0, 0, 1, 2, 3, 4))) % VMS
        manager = self.managers[vm]
        with suppress(BudgetExhaustedError, UnavailableError):
            await manager.reserve(str(workspace), tokens)
            used = int(tokens * 0.8)
            manager.settle(str(workspace), tokens, used)
            self.spent[workspace] += used
            await asyncio.gather(*manager.refills)
            return True
        return False


# Guards against calls that are refused for good after the loss of all VMs, because the
# tokens that these held count as spent.
@pytest.mark.parametrize("seed", range(3))
async def test_calls_are_served_again_after_all_vms_were_lost_several_times(seed):
    site = Site(seed)
    for seconds in (8, 9, 9, 8):
        await site.serve(seconds)
        await site.lose_all_vms()
    await site.serve(RECOVERY_S)
    came, served = await site.serve(4)
    assert max(site.spent.values()) <= PREPAID
    assert came > 100
    assert served >= LEAST_SERVED_FRACTION * came
