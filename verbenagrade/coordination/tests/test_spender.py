"""Tests of single rules of a spender."""

from dataclasses import replace

import pytest

from verbenagrade.coordination import Holder, HolderLimits, Spender, SpenderLimits
from verbenagrade.exceptions import (
    BudgetExhaustedError,
    OverloadedError,
    PeerNoReplyError,
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
from verbenagrade.state.tests.test_budget_rules import make_reserve_order
from verbenagrade.tests.fakes import FakePlatform

OWN, OTHER, RECOVERER = Instance("own", 1), Instance("vm-2", 1), Instance("vm-3", 1)
GRANT = GrantId("b", OTHER)


def bill_of(attempt):
    return Bill(attempt, "r", "w", GRANT, "e", 5, 0, "answered", 0.0)


def new_spender(call, limit=100):
    """Returns a spender whose own VM ranks last for budget b."""
    members = Members(MemberVm("own", "a", ""))
    members.update([MemberVm(vm, "a", "") for vm in ("own", "vm-2", "vm-3")])
    members.record_instance(OTHER)
    members.record_instance(RECOVERER)
    platform = FakePlatform()
    platform.unavailable = True
    holder = Holder(
        OWN, platform.table(), platform.objects(), HolderLimits(), lambda: 0.0
    )
    limits = SpenderLimits(limit)
    return Spender(OWN, members, holder, call, limits, lambda: 0.0)


def granting_call(sent):
    """Returns a peer call that grants reservations and accepts no bills."""

    async def call(member, message):
        sent.append(message)
        if isinstance(message, Reserve):
            return Reserved(message.order.attempt, message.order.tokens, GRANT)
        assert isinstance(message, Settle)
        released = tuple(release.attempt for release in message.releases)
        return SettleReply((), released, 0)

    return call


async def test_retried_claims_message_gets_the_same_reply():
    """The recoverer sends the message again if the first reply is lost."""
    spender = new_spender(granting_call([]))
    open_one = await spender.reserve(make_reserve_order("open", 10))
    done = await spender.reserve(make_reserve_order("done", 10))
    spender.finish(bill_of(done.attempt))
    first = spender.handle_claims(Claims(OTHER, RECOVERER))
    assert [r.order.attempt for r in first.reservations] == [open_one.attempt]
    assert [bill.attempt for bill in first.bills] == [done.attempt]
    assert spender.handle_claims(Claims(OTHER, RECOVERER)) == first


async def test_reservation_from_a_fenced_holder_is_rejected():
    spender = new_spender(granting_call([]))
    spender.handle_claims(Claims(OTHER, RECOVERER))
    with pytest.raises(UnavailableError):
        await spender.reserve(make_reserve_order("late", 10))
    assert spender.settlements.unsettled() == 0


async def test_bill_is_sent_again_until_it_is_accepted():
    sent = []
    spender = new_spender(granting_call(sent))
    reserved = await spender.reserve(make_reserve_order("a", 10))
    spender.finish(bill_of(reserved.attempt))
    assert not await spender.settle()
    assert not await spender.settle()
    assert [len(m.bills) for m in sent if isinstance(m, Settle)] == [1, 1]


async def test_reservation_without_a_reply_is_released():
    async def call(member, message):
        if isinstance(message, Reserve):
            raise PeerNoReplyError("no reply")
        (release,) = message.releases
        assert release in (Release("a.0", "b"), Release("a.1", "b"))
        return SettleReply((), (release.attempt,), 0)

    spender = new_spender(call)
    with pytest.raises(UnavailableError):
        await spender.reserve(make_reserve_order("a", 10))
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
async def test_refusal_reports_only_what_the_holders_prove(denial, error):
    async def call(member, message):
        if denial is None:
            raise PeerUnreachableError("gone")
        return Denied(denial, 0, 1.0)

    with pytest.raises(error):
        await new_spender(call).reserve(make_reserve_order("a", 10))


async def test_reservation_is_refused_at_the_limit_of_unsettled_attempts():
    spender = new_spender(granting_call([]), limit=1)
    await spender.reserve(make_reserve_order("a", 10))
    with pytest.raises(OverloadedError):
        await spender.reserve(make_reserve_order("b", 10))


def local_holder_spender(call):
    """Returns a spender whose own holder has 100 tokens of budget c."""
    spender = new_spender(call)
    held_grant = spender.holder.grants.held_grant(GrantId("c", OWN))
    held_grant.workspace, held_grant.amount = "w", 100
    spender.members.suspect_until = {"vm-2": 1.0}
    return spender


async def test_local_reservation_is_witnessed_by_another_instance():
    sent = []

    async def call(member, message):
        sent.append((member.vm, message))
        return Witnessed()

    spender = local_holder_spender(call)
    order = replace(make_reserve_order("a", 10), budget="c", spender=OWN)
    reserved = await spender.reserve(order)
    (vm, message), *_ = sent
    assert (vm, message.reservations[0].order.attempt) == ("vm-3", reserved.attempt)
    witness = new_spender(call)
    witness.witnesses.witness(message)
    claims = witness.handle_claims(Claims(OWN, RECOVERER))
    assert claims.reservations == message.reservations


async def test_reservation_is_not_ended_while_its_witness_is_requested():
    """A settlement during the call to the witness must not end the reservation."""
    ended = []

    async def call(member, message):
        ended.extend(message.ended)
        if message.reservations:
            await spender.settle()
        return Witnessed()

    spender = local_holder_spender(call)
    await spender.reserve(replace(make_reserve_order("a", 10), budget="c", spender=OWN))
    await spender.settle()
    assert not ended


async def test_witness_that_did_not_reply_is_told_of_the_end():
    asked, ended = [], []

    async def call(member, message):
        if message.reservations:
            asked.append(member.vm)
            if len(asked) == 1:
                raise PeerNoReplyError("no reply")
        ended.extend((member.vm, attempt) for attempt in message.ended)
        return Witnessed()

    spender = local_holder_spender(call)
    spender.members.suspect_until = {}
    order = replace(make_reserve_order("a", 10), budget="c", spender=OWN)
    reserved = await spender.reserve(order)
    spender.cancel(reserved.attempt, "c")
    await spender.settle()
    assert sorted(asked) == ["vm-2", "vm-3"]
    assert sorted(ended) == [("vm-2", reserved.attempt), ("vm-3", reserved.attempt)]


async def test_local_reservation_fails_without_a_witness_or_solo_mark():
    async def call(member, message):
        raise PeerUnreachableError("gone")

    spender = local_holder_spender(call)
    with pytest.raises(UnavailableError):
        await spender.reserve(
            replace(make_reserve_order("a", 10), budget="c", spender=OWN)
        )
    assert spender.holder.grants.held_grants[GrantId("c", OWN)].reserved == 0


async def test_joined_attempt_is_billed_after_an_empty_settlement():
    sent = []
    spender = new_spender(granting_call(sent))
    spender.settlements.record_joined("earlier", OTHER)
    await spender.settle()
    spender.finish(bill_of("earlier"))
    await spender.settle()
    assert [bill.attempt for message in sent for bill in message.bills] == ["earlier"]


async def test_attempts_are_dropped_when_their_holder_deregisters():
    """A holder deregisters only once all its bills are durable."""

    async def call(member, message):
        if isinstance(message, Reserve):
            return Reserved(message.order.attempt, message.order.tokens, GRANT)
        if message.bills:
            accepted = tuple(Accepted(bill.attempt, 0) for bill in message.bills)
            return SettleReply(accepted, (), 0)
        raise PeerUnreachableError("stopped")

    spender = new_spender(call)
    reserved = await spender.reserve(make_reserve_order("a", 10))
    spender.finish(bill_of(reserved.attempt))
    await spender.settle()
    spender.settlements.accounts[OTHER].sent_at = -100.0
    await spender.settle()
    assert spender.settlements.unsettled() == 1
    spender.holder.grants.table = FakePlatform().table()
    spender.settlements.accounts[OTHER].sent_at = -100.0
    await spender.settle()
    assert spender.settlements.unsettled() == 0


def lookup_call(replies):
    """Returns a peer call that looks up attempts by VM and grants reservations."""

    async def call(member, message):
        if isinstance(message, FindAttempt):
            return replies.get(member.vm, AttemptUnknown())
        return Reserved(message.order.attempt, message.order.tokens, GRANT)

    return call


async def test_retry_finds_its_attempt_on_a_lower_ranked_vm():
    """The first VM by rank was unreachable when the attempt ran.

    It does not know the attempt, so the retry has to ask the other VMs too.
    """
    earlier = Earlier("first", "e", 10, GrantId("b", RECOVERER), RECOVERER)
    spender = new_spender(lookup_call({"vm-3": earlier}))
    retry = replace(make_reserve_order("again", 10), key="roster-7")
    assert await spender.reserve(retry) == earlier
    spender.holder.attempts.forget("w", "roster-7", "first")
    assert isinstance(await spender.reserve(retry), Reserved)


async def test_witness_forgets_the_key_of_an_attempt_that_never_ran():
    sent = []

    async def call(member, message):
        sent.append(message)
        return AttemptUnknown() if isinstance(message, FindAttempt) else Witnessed()

    spender = local_holder_spender(call)
    order = replace(
        make_reserve_order("a", 10), budget="c", spender=OWN, key="roster-7"
    )
    reserved = await spender.reserve(order)
    witness = new_spender(call)
    witness.witnesses.witness(sent[-1])
    assert witness.holder.attempts.find("w", "roster-7").attempt == reserved.attempt
    spender.cancel(reserved.attempt, "c")
    await spender.settle()
    witness.witnesses.witness(sent[-1])
    assert witness.holder.attempts.find("w", "roster-7") is None
