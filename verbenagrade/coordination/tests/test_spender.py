"""Single rules of a spender, each with the fault that it keeps out."""

from dataclasses import replace

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
    Accepted,
    AttemptUnknown,
    Bill,
    Claims,
    Denial,
    Denied,
    Earlier,
    FindAttempt,
    GrantId,
    Instance,
    Members,
    MemberVm,
    Release,
    Reserve,
    Reserved,
    Settle,
    SettleReply,
    Witnessed,
)
from verbenagrade.state.tests.test_budget_rules import order_of
from verbenagrade.tests.fakes import FakePlatform

OWN, OTHER, HEIR = Instance("own", 1), Instance("vm-2", 1), Instance("vm-3", 1)
GRANT = GrantId("b", OTHER)


def bill_of(attempt):
    return Bill(attempt, "r", "w", GRANT, "e", 5, 0, "answered", 0.0)


def spender_of(call, limit=100):
    """Returns a spender that ranks behind both others for budget b."""
    members = Members(MemberVm("own", "a", ""))
    members.update([MemberVm(vm, "a", "") for vm in ("own", "vm-2", "vm-3")])
    members.saw(OTHER)
    members.saw(HEIR)
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
        return SettleReply((), released, 0)

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
    assert spender.settlements.unsettled() == 0


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
        (release,) = message.releases
        assert release in (Release("a.0", "b"), Release("a.1", "b"))
        return SettleReply((), (release.attempt,), 0)

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


def own_holder_spender(call):
    """Returns a spender that is the holder of budget c, with tokens to give."""
    spender = spender_of(call)
    holding = spender.holder.grants.holding(GrantId("c", OWN))
    holding.workspace, holding.amount = "w", 100
    spender.members.suspect_until = {"vm-2": 1.0}
    return spender


async def test_an_own_reservation_needs_a_witness():
    sent = []

    async def call(member, message):
        sent.append((member.vm, message))
        return Witnessed()

    spender = own_holder_spender(call)
    order = replace(order_of("a", 10), budget="c", spender=OWN)
    answer = await spender.reserve(order)
    (vm, message), *_ = sent
    assert (vm, message.reservations[0].order.attempt) == ("vm-3", answer.attempt)
    witness = spender_of(call)
    witness.witnesses.witness(message)
    claims = witness.claims(Claims(OWN, HEIR))
    assert claims.reservations == message.reservations


async def test_a_reservation_is_not_settled_while_its_witness_is_asked():
    """A settlement that falls into the question must not end the reservation."""
    ended = []

    async def call(member, message):
        ended.extend(message.ended)
        if message.reservations:
            await spender.settle()
        return Witnessed()

    spender = own_holder_spender(call)
    await spender.reserve(replace(order_of("a", 10), budget="c", spender=OWN))
    await spender.settle()
    assert not ended


async def test_a_witness_that_may_have_heard_is_told_of_the_end():
    asked, ended = [], []

    async def call(member, message):
        if message.reservations:
            asked.append(member.vm)
            if len(asked) == 1:
                raise PeerSilentError("silent")
        ended.extend((member.vm, attempt) for attempt in message.ended)
        return Witnessed()

    spender = own_holder_spender(call)
    spender.members.suspect_until = {}
    order = replace(order_of("a", 10), budget="c", spender=OWN)
    answer = await spender.reserve(order)
    spender.cancel(answer.attempt, "c")
    await spender.settle()
    assert sorted(asked) == ["vm-2", "vm-3"]
    assert sorted(ended) == [("vm-2", answer.attempt), ("vm-3", answer.attempt)]


async def test_without_a_witness_or_a_mark_in_the_table_nothing_runs():
    async def call(member, message):
        raise PeerUnreachableError("gone")

    spender = own_holder_spender(call)
    with pytest.raises(UnavailableError):
        await spender.reserve(replace(order_of("a", 10), budget="c", spender=OWN))
    assert spender.holder.grants.holdings[GrantId("c", OWN)].reserved == 0


async def test_a_joined_attempt_is_billed_although_nothing_was_due_before():
    sent = []
    spender = spender_of(granting(sent))
    spender.settlements.joined("earlier", OTHER)
    await spender.settle()
    spender.finish(bill_of("earlier"))
    await spender.settle()
    assert [bill.attempt for message in sent for bill in message.bills] == ["earlier"]


async def test_a_holder_that_left_the_record_owes_nothing():
    """It left only when all its bills were durable, so they need no answer."""

    async def call(member, message):
        if isinstance(message, Reserve):
            return Reserved(message.order.attempt, message.order.tokens, GRANT)
        if message.bills:
            accepted = tuple(Accepted(bill.attempt, 0) for bill in message.bills)
            return SettleReply(accepted, (), 0)
        raise PeerUnreachableError("stopped")

    spender = spender_of(call)
    reserved = await spender.reserve(order_of("a", 10))
    spender.finish(bill_of(reserved.attempt))
    await spender.settle()
    spender.settlements.accounts[OTHER].sent_at = -100.0
    await spender.settle()
    assert spender.settlements.unsettled() == 1
    spender.holder.grants.table = FakePlatform().table()
    spender.settlements.accounts[OTHER].sent_at = -100.0
    await spender.settle()
    assert spender.settlements.unsettled() == 0


def asking(answers):
    """Returns a call that knows attempts by VM and grants what is asked for."""

    async def call(member, message):
        if isinstance(message, FindAttempt):
            return answers.get(member.vm, AttemptUnknown())
        return Reserved(message.order.attempt, message.order.tokens, GRANT)

    return call


async def test_a_retry_asks_every_vm_that_may_know_its_attempt():
    """The holder by rank was unreachable when the attempt ran, and knows nothing."""
    earlier = Earlier("first", "e", 10, GrantId("b", HEIR), HEIR)
    spender = spender_of(asking({"vm-3": earlier}))
    retry = replace(order_of("again", 10), key="roster-7")
    assert await spender.reserve(retry) == earlier
    spender.holder.attempts.forget("w", "roster-7", "first")
    assert isinstance(await spender.reserve(retry), Reserved)


async def test_a_witness_knows_the_attempt_of_a_key_until_it_never_ran():
    sent = []

    async def call(member, message):
        sent.append(message)
        return AttemptUnknown() if isinstance(message, FindAttempt) else Witnessed()

    spender = own_holder_spender(call)
    order = replace(order_of("a", 10), budget="c", spender=OWN, key="roster-7")
    answer = await spender.reserve(order)
    witness = spender_of(call)
    witness.witnesses.witness(sent[-1])
    assert witness.holder.attempts.find("w", "roster-7").attempt == answer.attempt
    spender.cancel(answer.attempt, "c")
    await spender.settle()
    witness.witnesses.witness(sent[-1])
    assert witness.holder.attempts.find("w", "roster-7") is None
