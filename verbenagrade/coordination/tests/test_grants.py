"""Single rules of the exchange of grants with the table."""

from dataclasses import replace

from verbenagrade.coordination import (
    Declaration,
    Holder,
    HolderLimits,
    apply_resource,
    read_budget,
)
from verbenagrade.state import Budget, GrantId, HoldPolicy, Instance, Reserved
from verbenagrade.state.tests.test_budget_rules import order_of
from verbenagrade.tests.fakes import FakePlatform

OWN = Instance("own", 1)
GRANT = GrantId("b", OWN)


class Bench:
    """A holder on a platform that holds one budget, at a settable time."""

    def __init__(self, prepaid=10_000):
        self.platform = FakePlatform()
        self.now = 1000.0
        self.prepaid = prepaid
        self.holder = self.new_holder(OWN)

    def new_holder(self, instance):
        holder = Holder(
            instance,
            self.platform.table(),
            self.platform.objects(),
            HolderLimits(),
            lambda: self.now,
        )
        holder.grants.registered = True
        return holder

    async def declare(self):
        hold = HoldPolicy(share=0.25, minimum=2000)
        spec = Budget(workspace="w", prepaid=self.prepaid, hold=hold)
        wanted = Declaration("budget", "b", spec, 0, "operation")
        await apply_resource(self.platform.table(), wanted)
        return self

    async def available(self):
        return (await read_budget(self.platform.table(), "b")).available


async def test_tokens_stay_while_the_first_request_still_runs():
    bench = await Bench().declare()
    assert isinstance(await bench.holder.reserve(order_of("a", 100, 100)), Reserved)
    held = bench.holder.grants.holdings[GRANT].unreserved
    assert held > 0
    await bench.holder.grants.tend()
    assert bench.holder.grants.holdings[GRANT].unreserved == held


async def test_idle_tokens_come_back():
    bench = await Bench().declare()
    await bench.holder.reserve(order_of("a", 100, 100))
    bench.holder.grants.holdings[GRANT].release("a")
    bench.now += 10_000.0
    await bench.holder.grants.tend()
    assert await bench.available() == 10_000


async def test_a_rest_goes_to_the_holder_that_can_use_it():
    bench = await Bench(prepaid=300).declare()
    other = bench.new_holder(Instance("other", 1))
    assert isinstance(await bench.holder.reserve(order_of("a", 100, 100)), Reserved)
    assert isinstance(await other.reserve(order_of("b", 80, 80)), Reserved)
    bench.holder.grants.holdings[GRANT].release("a")
    bench.now += 1.0
    big = order_of("c", 210, 210)
    assert not isinstance(await other.reserve(replace(big, attempt="d")), Reserved)
    bench.now += 1.0
    assert isinstance(await bench.holder.reserve(big), Reserved)
    assert await bench.available() >= 0


async def test_a_later_grant_is_not_marked_solo_by_an_earlier_one():
    bench = await Bench().declare()
    await bench.holder.reserve(order_of("a", 100, 100))
    assert await bench.holder.grants.mark_solo("b")
    holding = bench.holder.grants.holdings[GRANT]
    holding.release("a")
    bench.now += 10_000.0
    await bench.holder.grants.tend()
    assert holding.amount == 0
    await bench.holder.reserve(order_of("b", 100, 100))
    assert not holding.solo
