"""Single rules of a spender, each with the fault that it keeps out."""

import pytest

from verbenagrade.coordination import Holder, HolderLimits, Spender, SpenderLimits
from verbenagrade.exceptions import (
    BudgetExhaustedError,
    OverloadedError,
    PeerSilentError,
    PeerUnreachableError,
    UnavailableError,
)
from verbenagrade.state import (
    Bill,
    Claims,
    Denial,
    Denied,
    GrantId,
    Instance,
    Members,
    MemberVm,
    Release,
    Reserve,
    Reserved,
    Settle,
    SettleReply,
)
from verbenagrade.state.tests.test_budget_rules import order_of
from verbenagrade.tests.fakes import FakePlatform

OWN, OTHER, HEIR = Instance("vm", 1), Instance("vm-2", 1), Instance("vm-3", 1)
GRANT = GrantId("b", OTHER)


def bill_of(attempt):
    return Bill(attempt, "r", "w", GRANT, "e", 5, 0, "answered", 0.0)


def spender_of(call, limit=100):
    members = Members(MemberVm("vm", "a", ""))
    members.update([MemberVm("vm", "a", ""), MemberVm("vm-2", "a", "")])
    members.saw(OTHER)
    platform = FakePlatform()
    platform.away = True
    holder = Holder(
        OWN, platform.table(), platform.objects(), HolderLimits(), lambda: 0.0
    )
    limits = SpenderLimits(limit)
    return Spender(OWN, members, holder, call, limits, lambda: 0.0)


def granting(sent):
    async def call(member, message):
        sent.append(message)
        if isinstance(message, Reserve):
            return Reserved(message.order.attempt, message.order.tokens, GRANT)
        assert isinstance(message, Settle)
        released = tuple(release.attempt for release in message.releases)
        return SettleReply((), released)

    return call


async def test_claims_can_be_asked_for_again():
    """The answer to the first question may be lost; the second says the same."""
    spender = spender_of(granting([]))
    open_one = await spender.reserve(order_of("open", 10))
    done = await spender.reserve(order_of("done", 10))
    spender.finish(bill_of(done.attempt))
    first = spender.claims(Claims(OTHER, HEIR))
    assert [r.order.attempt for r in first.reservations] == [open_one.attempt]
    assert [bill.attempt for bill in first.bills] == [done.attempt]
    assert spender.claims(Claims(OTHER, HEIR)) == first


async def test_nothing_more_is_taken_from_a_holder_given_up():
    spender = spender_of(granting([]))
    spender.claims(Claims(OTHER, HEIR))
    with pytest.raises(UnavailableError):
        await spender.reserve(order_of("late", 10))
    assert not spender.open


async def test_a_bill_is_sent_until_it_is_durable():
    sent = []
    spender = spender_of(granting(sent))
    reserved = await spender.reserve(order_of("a", 10))
    spender.finish(bill_of(reserved.attempt))
    assert not await spender.settle()
    assert not await spender.settle()
    assert [len(m.bills) for m in sent if isinstance(m, Settle)] == [1, 1]


async def test_a_reservation_without_answer_is_released():
    async def call(member, message):
        if isinstance(message, Reserve):
            raise PeerSilentError("silent")
        assert message.releases == (Release("a.0", "b"),)
        return SettleReply((), ("a.0",))

    spender = spender_of(call)
    with pytest.raises(UnavailableError):
        await spender.reserve(order_of("a", 10))
    assert await spender.settle()


@pytest.mark.parametrize(
    ("denial", "error"),
    [
        (Denial.EXHAUSTED, BudgetExhaustedError),
        (Denial.PLATFORM_AWAY, UnavailableError),
        (Denial.FULL, OverloadedError),
        (None, UnavailableError),
    ],
)
async def test_a_refusal_says_only_what_is_proved(denial, error):
    async def call(member, message):
        if denial is None:
            raise PeerUnreachableError("gone")
        return Denied(denial, 0, 1.0)

    with pytest.raises(error):
        await spender_of(call).reserve(order_of("a", 10))


async def test_a_full_memory_refuses_before_the_run():
    spender = spender_of(granting([]), limit=1)
    await spender.reserve(order_of("a", 10))
    with pytest.raises(OverloadedError):
        await spender.reserve(order_of("b", 10))
