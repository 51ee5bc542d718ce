"""Tests of what the account of a process counts, and which connections give way."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    rule,
)

from verbenagrade.state.client_account import (
    STALLED_S,
    Activity,
    ClientAccount,
    ClientRecord,
    GiveUpReason,
    ListenerLimits,
)

CONNECTIONS = 5
CONNECTION_BYTES = 10
MEMORY_BYTES = 200
LIMITS = {
    "callers": ListenerLimits(CONNECTIONS, MEMORY_BYTES, CONNECTION_BYTES),
    "health": ListenerLimits(1, 20, CONNECTION_BYTES),
}


class Client:
    """A connection that records why it was given up."""

    def __init__(self, account, now=0.0, listener="callers") -> None:
        self.reasons = []
        self.record = ClientRecord(listener, now, self.reasons.append)
        self.is_open = account.open(self.record, now)


@pytest.fixture
def account():
    """Returns an account without connections."""
    return ClientAccount(LIMITS)


def test_connection_without_a_request_gives_way_before_one_that_had_one(account):
    kept = Client(account)
    account.progress(kept.record, Activity.SERVED, 0.0)
    account.progress(kept.record, Activity.IDLE, 0.0)
    others = [Client(account, number) for number in range(1, CONNECTIONS)]
    new = Client(account, 9.0)
    assert new.is_open
    assert not kept.reasons
    assert others[0].reasons == [GiveUpReason.CONNECTIONS]


def test_connection_is_refused_while_all_others_are_served(account):
    for _ in range(CONNECTIONS):
        account.progress(Client(account).record, Activity.SERVED, 0.0)
    assert not Client(account, 100.0).is_open
    assert account.connections("callers") == CONNECTIONS


def test_client_that_reads_nothing_gives_way_to_a_new_one(account):
    for _ in range(CONNECTIONS):
        account.progress(Client(account).record, Activity.UNREAD, 0.0)
    assert not Client(account, STALLED_S / 2).is_open
    assert Client(account, STALLED_S).is_open


def test_largest_body_without_progress_gives_way_to_a_growing_one(account):
    stalled, small, growing = (Client(account) for _ in range(3))
    for client in (stalled, small, growing):
        account.progress(client.record, Activity.RECEIVING, 0.0)
    assert account.hold(stalled.record, 100, 0.0)
    assert account.hold(small.record, 5, 0.0)
    account.progress(growing.record, Activity.RECEIVING, 5.0)
    assert account.hold(growing.record, 80, 5.0)
    assert stalled.reasons == [GiveUpReason.MEMORY]
    assert not small.reasons


def test_body_that_weighs_most_does_not_grow(account):
    large, small = Client(account), Client(account)
    for client in (large, small):
        account.progress(client.record, Activity.RECEIVING, 0.0)
    assert account.hold(large.record, 120, 0.0)
    assert not account.hold(large.record, 400, 0.0)
    assert not small.reasons
    assert account.held_bytes == 120 + 2 * CONNECTION_BYTES


# Guards against bodies that grow together, each the largest at its turn, where what
# has arrived is counted before there is asked for room.
def test_bodies_that_grow_together_keep_to_the_limit(account):
    clients = [Client(account) for _ in range(CONNECTIONS)]
    for client in clients:
        account.progress(client.record, Activity.RECEIVING_CALL, 0.0)
    for size_bytes in range(0, MEMORY_BYTES // 2, 2):
        for client in clients:
            account.note(client.record, size_bytes + 5, 0.0)
            if account.hold(client.record, size_bytes, 0.0):
                assert account.held_bytes <= MEMORY_BYTES
            elif client.record.activity is not Activity.LEAVING:
                account.leave(client.record, GiveUpReason.MEMORY)
    assert account.held_bytes <= MEMORY_BYTES
    assert any(c.record.activity is not Activity.LEAVING for c in clients)


def test_call_whose_body_stops_gives_way_to_another_call(account):
    served, receiving, head, idle = (Client(account) for _ in range(4))
    account.progress(served.record, Activity.SERVED, 0.0)
    account.progress(receiving.record, Activity.RECEIVING_CALL, 0.0)
    account.progress(head.record, Activity.RECEIVING, 0.0)
    assert account.make_way_for_call("callers", 1.0)
    assert receiving.reasons == [GiveUpReason.CALLS]
    assert not account.make_way_for_call("callers", 1.0)
    assert not any(other.reasons for other in (served, head, idle))


def test_refused_connection_counts_until_it_has_closed(account):
    receiving = Client(account)
    account.progress(receiving.record, Activity.RECEIVING_CALL, 0.0)
    account.hold(receiving.record, 50, 0.0)
    assert account.make_way_for_call("callers", 1.0)
    assert account.connections("callers") == 1
    assert account.held_bytes == CONNECTION_BYTES
    account.close(receiving.record)
    assert account.held_bytes == 0


def test_connections_that_close_give_way_first(account):
    leaving = Client(account)
    account.progress(leaving.record, Activity.RECEIVING, 0.0)
    account.leave(leaving.record, GiveUpReason.HEAD_SIZE)
    others = [Client(account) for _ in range(CONNECTIONS - 1)]
    assert Client(account, 1.0).is_open
    assert leaving.reasons == [GiveUpReason.CONNECTIONS]
    assert not any(other.reasons for other in others)


def test_listeners_leave_room_for_each_other(account):
    for _ in range(3 * CONNECTIONS):
        Client(account)
    assert Client(account, listener="health").is_open


def test_kept_response_leaves_half_of_the_memory(account):
    assert account.has_spare("callers", MEMORY_BYTES // 2)
    assert not account.has_spare("callers", MEMORY_BYTES // 2 + 1)


class AccountMachine(RuleBasedStateMachine):
    """Clients that do anything in any order; what they may is never exceeded."""

    clients = Bundle("clients")

    def __init__(self) -> None:
        super().__init__()
        self.account = ClientAccount(LIMITS)
        self.now = 0.0
        self.all = []

    @rule(target=clients)
    def open(self):
        client = Client(self.account, self.now)
        self.all.append(client)
        return client

    @rule(
        client=clients,
        activity=st.sampled_from([a for a in Activity if a is not Activity.LEAVING]),
    )
    def progress(self, client, activity):
        before = len(client.reasons)
        self.account.progress(client.record, activity, self.now)
        assert len(client.reasons) == before

    @rule(client=clients, size_bytes=st.integers(0, 300))
    def hold(self, client, size_bytes):
        served = [
            other
            for other in self.all
            if other.record.activity is Activity.SERVED and not other.reasons
        ]
        held = self.account.hold(client.record, size_bytes, self.now)
        if held and client.record in self._records():
            assert client.record.held_bytes == size_bytes + CONNECTION_BYTES
        assert not any(other.reasons for other in served)

    @rule()
    def call(self):
        self.account.make_way_for_call("callers", self.now)

    @rule(seconds=st.floats(0.01, 10))
    def wait(self, seconds):
        self.now += seconds

    @rule(client=consumes(clients))
    def close(self, client):
        self.account.close(client.record)
        self.all.remove(client)

    @invariant()
    def sums_match_and_limits_hold(self):
        records = self._records()
        own = self.account.listeners["callers"]
        assert own.held_bytes == sum(record.held_bytes for record in records)
        assert own.held_bytes <= MEMORY_BYTES
        assert len(records) <= CONNECTIONS

    @invariant()
    def given_up_once_unless_it_closes_at_once(self):
        for client in self.all:
            assert len(client.reasons) <= 2
            assert client.reasons[1:] in ([], [GiveUpReason.CONNECTIONS])

    def _records(self):
        return self.account.listeners["callers"].records


TestAccountMachine = AccountMachine.TestCase
TestAccountMachine.settings = settings(max_examples=200, deadline=None)
