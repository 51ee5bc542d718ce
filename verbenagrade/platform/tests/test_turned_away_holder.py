"""Tests of budgets whose holder the store turns away after it lost recent rows."""

import asyncio

import pytest

from verbenagrade.exceptions import BudgetExhaustedError, UnavailableError
from verbenagrade.platform.tests.conftest import configuration_document
from verbenagrade.platform.tests.endpoint_standin import plain
from verbenagrade.settings.gateway import TuningSettings

WORKSPACE = "hotel"
PREPAID = 10_000
CALL_TOKENS = 100
SPENT_IN_THE_GAP = 6_000
SETTLE_S = 1.0
PERIOD_S = 3.0
"""Time after the return of the store in which all tokens are asked for."""

TUNING = TuningSettings(feed_wait_s=0.3, store_timeout_s=0.4, era_settle_s=SETTLE_S)


class Spending:
    """Spends the tokens of a workspace through gateways; ``used`` counts them."""

    def __init__(self, testbed) -> None:
        self.testbed = testbed
        self.used = 0

    async def spend(self, gateway) -> bool:
        """Spends the tokens of one call, or returns false if they are refused."""
        budgets = gateway.core.budgets
        try:
            reservation = await budgets.reserve(WORKSPACE, CALL_TOKENS)
        except (BudgetExhaustedError, UnavailableError):
            return False
        budgets.settle(reservation, CALL_TOKENS)
        self.used += CALL_TOKENS
        return True

    async def spend_for(self, seconds: float, gateways) -> None:
        """Asks for more tokens than there are, at all gateways in turn."""
        ends_at = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < ends_at:
            for gateway in gateways:
                await self.spend(gateway)
            await asyncio.sleep(0.01)


@pytest.fixture
async def fleet(testbed):
    """Returns a testbed with two gateways, each with its own way to the store."""
    testbed.store.era = 1
    await testbed.add_endpoint(plain())
    await testbed.start(configuration_document(), tuning=TUNING)
    await testbed.start_another(await testbed.store.open_address(), TUNING)
    await testbed.wait_until_ready()
    for gateway in gateways(testbed):
        await testbed.wait_until(
            lambda g=gateway: len(g.budgets.ranking.vms) == 2 and g.core.relay_keys.keys
        )
    return testbed


def gateways(testbed):
    return (testbed.gateway, *testbed.others)


def holder_and_other(testbed):
    first, second = gateways(testbed)
    if first.core.budgets.is_holder(WORKSPACE):
        return first, second
    return second, first


# Guards against tokens of a holder that lives and spends them while the store turns it
# away, and that others are granted again as the store came back without its grants.
async def test_tokens_of_a_holder_that_is_turned_away_are_not_granted_again(fleet):
    holder, other = holder_and_other(fleet)
    spending = Spending(fleet)
    assert await spending.spend(holder)
    fleet.store.take_copy()
    while spending.used < SPENT_IN_THE_GAP:
        assert await spending.spend(holder)
    store = fleet.store
    store.status = 503
    store.turned_away.add(holder.core.settings.store.address)
    store.write_again(store.come_back_from_copy(), ("op", "servers"))
    store.status = 0
    await fleet.wait_until(lambda: other.core.eras.current == store.era)
    await spending.spend_for(SETTLE_S + PERIOD_S, (other, holder))
    store.turned_away.clear()
    await spending.spend_for(PERIOD_S, (other, holder))
    assert spending.used <= PREPAID
    # What nobody has spent is granted although the holder does not reach the store.
    assert spending.used > 0.9 * PREPAID
