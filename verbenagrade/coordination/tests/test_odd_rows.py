"""Tests that any row of any table is used, or left out while the others hold."""

import asyncio
import random

import hypothesis.strategies as st
import pytest
from hypothesis import given

from verbenagrade.coordination.accounts import (
    BudgetAccount,
    decode_cached_row,
    shards_prefix,
)
from verbenagrade.coordination.fleet_limits import FleetLimits
from verbenagrade.coordination.gateway_fleet import GatewayFleet
from verbenagrade.coordination.grant_transactions import GrantTransactions
from verbenagrade.coordination.permits import PermitManager, StoreTime, permit_key
from verbenagrade.coordination.ports import Changes, Check, Row, Write
from verbenagrade.coordination.relay_keys import KEY_BYTES, ROW_KEY, RelayKeys
from verbenagrade.coordination.spending_reports import SpendingReports, VmIdentity
from verbenagrade.coordination.store_eras import StoreEras
from verbenagrade.coordination.stream_records import StreamRecords
from verbenagrade.coordination.stream_versions import ServiceView, StreamVersions
from verbenagrade.coordination.tests.version_fleet import STORE_CLOCK_S, Store
from verbenagrade.exceptions import PlatformError, UnreadableRowError
from verbenagrade.state.allowance import target_free_tokens
from verbenagrade.state.directory import EndpointDirectory
from verbenagrade.tests.odd_values import FUZZ, NESTED, any_bytes

NOW = 100.0
GRANT = {
    "tokens": b"500",
    "spent": b"100",
    "incarnation": b'"front-1-a"',
    "origin": b'{"era":1,"version":4,"tokens":5,"spent":1}',
}
REPORTED = b'{"committed":5,"free":9,"at_once":2,"per_s":1,"granted":14}'
REPORT = {
    "incarnation": b'"front-1-a"',
    "address": b'"10.0.0.1:80"',
    "reported_at_s": b"5090.0",
    "budgets": b'{"hotel":%s}' % REPORTED,
    "closed": b'[{"incarnation":"o","budgets":{"hotel":{"spent":1,"granted":2}}}]',
}
BUDGET_FIELDS = {
    "committed": b"5",
    "free": b"9",
    "at_once": b"2",
    "per_s": b"1",
    "granted": b"14",
}
FLEET_ROWS = {
    "vm/front-9": {
        "incarnation": b'"front-9-a"',
        "relay_address": b'"10.0.0.9:7355"',
        "data_centre": b'"muscat-a"',
        "reservation_address": b'"10.0.0.9:7341"',
        "heard": b'{"era":1,"version":5}',
    },
    "store/era": {"era": b"2", "since_s": b"5090.0"},
    "crash/d1/i-1@0": {"at_s": b"5090.0"},
    "suspect/5c1e/i-1@0": {"at_s": b"5090.0"},
    "trial/5c1e/0": {"at_s": b"5090.0"},
    "limit/i-1@0": {"limit_per_s": b"2.5", "at_s": b"5090.0"},
    "software/pool": {
        "version": b'"v1"',
        "since_s": b"5000.0",
        "confirmed_s": b"5001.0",
    },
    "relay/key": {"a": b"1"},
}
ODD_KEYS = (
    "",
    "/",
    "vm/",
    "vm",
    "trial/5c1e/" + "9" * 5000,
    "trial/5c1e/99999999",
    "trial/5c1e/٣",
    "trial/5c1e/-1",
    "trial/5c1e/x",
    "crash/a/b/c/d",
    "suspect//",
    "limit/",
    "limit/a/b",
    "software/",
    "relay/key/x",
    "x\x00y",
)
GOOD_PEER = (
    b'{"incarnation":"front-2-a","relay_address":"10.0.0.2:7355",'
    b'"data_centre":"muscat-a","reservation_address":"10.0.0.2:7341"}'
)


def never_cut_off() -> bool:
    """Returns whether the VM is cut off from the store."""
    return False


def clock() -> float:
    return NOW


@st.composite
def fleet_rows(draw):
    """Draws rows of the fleet's table, and one more key that is odd."""
    names = draw(st.lists(st.sampled_from(sorted(FLEET_ROWS)), min_size=1, max_size=4))
    keys = [(name, FLEET_ROWS[name]) for name in names]
    keys.append((draw(st.sampled_from(ODD_KEYS)), {"at_s": b"5090.0"}))
    rows = [
        Row(f"fleet//{name}", number, draw(any_bytes(fields)))
        for number, (name, fields) in enumerate(keys, 1)
    ]
    return tuple(rows)


class FleetTable:
    """All that a gateway makes of the rows of the fleet's table."""

    def __init__(self) -> None:
        table = Store(clock).port(never_cut_off)
        eras = StoreEras(clock)
        rng = random.Random(1)
        self.fleet = GatewayFleet(table, "front-1", "front-1-b", eras, clock)
        directory = EndpointDirectory(1.0)
        self.limits = FleetLimits.create(table, self.fleet, directory, clock, rng)
        self.keys = RelayKeys(table)
        time = StoreTime(lambda: STORE_CLOCK_S, lambda _time_s: None)
        records = StreamRecords(table, clock, time, eras, rng, lambda: 2)
        view = ServiceView(
            lambda _service: (),
            lambda _service: (),
            lambda: 24.0,
            lambda: 0.0,
            lambda: 2,
            lambda: 0.0,
        )
        self.versions = StreamVersions(
            table, records, clock, time, eras, view, 100.0, "front-1", rng
        )

    def apply(self, rows, complete) -> None:
        """Applies rows as a gateway does."""
        changes = Changes(9, rows, complete=complete, store_time_s=NOW + STORE_CLOCK_S)
        self.fleet.apply(changes)
        self.limits.apply(changes, len(self.fleet.vms))
        self.versions.apply(changes)
        self.keys.apply(changes)


# Guards against a row that ends the work on the whole table of the fleet.
@FUZZ
@given(rows=fleet_rows(), complete=st.booleans())
def test_any_rows_of_the_fleet_leave_the_others(rows, complete):
    table = FleetTable()
    good = Row("fleet//vm/front-2", 50, GOOD_PEER)
    table.apply((*rows, good), complete)
    assert table.fleet.peers.peers["front-2"].address == "10.0.0.2:7355"
    for peer in table.fleet.peers.peers.values():
        for address in filter(None, (peer.address, peer.reservation_address)):
            host, _, port = address.rpartition(":")
            assert 0 < int(port) < 65_536
            assert host.count(".") == 3
    assert all(len(key) == KEY_BYTES for key in table.keys.keys)
    table.fleet.record_survival(("5c1e",), NOW + 1.0)
    assert len(table.fleet.removals) < 1000
    for key in ("limit/i-1@0", "crash/d1/i-1@0"):
        table.apply((Row(f"fleet//{key}", 60, b'{"at_s":1.0}'),), complete=False)


async def maintain_fleet(rows) -> FleetTable:
    table = FleetTable()
    table.apply(rows, complete=True)
    await table.limits.write()
    await table.keys.write()
    await table.versions.maintain(("pool",))
    await table.fleet.write_reports()
    return table


@FUZZ
@given(rows=fleet_rows())
def test_any_rows_of_the_fleet_end_no_upkeep(rows):
    asyncio.run(maintain_fleet(rows))


@pytest.mark.parametrize("number", ["9" * 5000, "99999999", "٣", "-1", "x"])
def test_trial_that_no_vm_makes_is_left_out(number):
    table = FleetTable()
    key = f"fleet//trial/5c1e/{number}"
    table.apply((Row(key, 1, b"{}"), Row("fleet//vm/front-2", 2, GOOD_PEER)), True)
    assert table.fleet.suspects.trials == {}
    assert "front-2" in table.fleet.peers.peers


@pytest.mark.parametrize(
    "address", ["10.0.0.2:99999", "10.0.0.2:0", "front-2:80", "10.0.0.2", "٣"]
)
def test_vm_with_an_address_that_is_none_gets_no_calls(address):
    table = FleetTable()
    value = GOOD_PEER.replace(b"10.0.0.2:7341", address.encode())
    table.apply((Row("fleet//vm/front-2", 2, value),), complete=True)
    assert (table.fleet.vms, table.fleet.peers.peers) == ({"front-1", "front-2"}, {})


@FUZZ
@given(any_bytes(GRANT), st.sampled_from(["", "front-1-a", "front-1-b"]))
def test_any_row_of_a_grant_is_sound_or_unreadable(value, incarnation):
    try:
        row = decode_cached_row(Row("grants/hotel/pot/0", 3, value), incarnation)
    except UnreadableRowError:
        return
    account = BudgetAccount("hotel", "front-1", NOW, 0)
    account.prepaid = 10_000
    account.shards[0] = row
    account.update_own(row)
    account.transfers(5, 50)
    view = account.view(0, 2)
    target_free_tokens(account.allowance, view, 4.0, NOW)
    assert abs(row.tokens) / 400 >= 0.0
    assert row.restored_from(row.state_in(9)).encode()


# Guards against a budget that is granted a second time because the rows of an earlier
# era can't be read.
@pytest.mark.parametrize("key", ["x", "99", "-1", "٣", "9" * 5000, "0/1", ""])
async def test_odd_key_among_the_shards_of_an_earlier_era_is_no_shard(key):
    store = Store(clock)
    sound = b'{"tokens":700,"spent":100}'
    prefix = shards_prefix("hotel", 0)
    store.write((Write(f"{prefix}0", sound), Write(f"{prefix}{key}", sound)))
    transactions = GrantTransactions(store.port(never_cut_off), "front-1-b", clock)
    account = BudgetAccount("hotel", "front-1", NOW, 1)
    account.prepaid = 10_000
    await transactions.restore(account)
    assert (account.granted, account.must_restore) == (700, False)


@pytest.mark.parametrize("value", [NESTED, b"", b'{"tokens":' + b"9" * 400 + b"}"])
async def test_unreadable_shard_of_an_earlier_era_is_not_absent(value):
    store = Store(clock)
    store.write((Write(f"{shards_prefix('hotel', 0)}0", value),))
    transactions = GrantTransactions(store.port(never_cut_off), "front-1-b", clock)
    account = BudgetAccount("hotel", "front-1", NOW, 1)
    with pytest.raises(UnreadableRowError):
        await transactions.restore(account)
    assert account.must_restore


async def take_over(value) -> tuple[SpendingReports, int | None]:
    """Returns the reports of a process whose earlier one left a row."""
    store = Store(clock)
    identity = VmIdentity("front-1", "10.0.0.1:80", "front-1-b")
    reports = SpendingReports(
        store.port(never_cut_off), identity, clock, StoreEras(clock)
    )
    store.write((Write(reports.key, value),))
    await reports.take_over()
    await reports.report({})
    return reports, reports.spent_at_most("front-1-a", "hotel", 14)


@FUZZ
@given(any_bytes(REPORT))
def test_any_report_of_spending_is_taken_over(value):
    reports, spent = asyncio.run(take_over(value))
    assert reports.taken_over
    assert spent is None or 5 <= spent <= 14


@FUZZ
@given(any_bytes(BUDGET_FIELDS))
def test_any_budget_in_a_report_is_taken_over(budget):
    value = (
        b'{"incarnation":"front-1-a","address":"10.0.0.1:80",'
        b'"reported_at_s":5090.0,"budgets":{"hotel":%s}}'
    )
    reports, spent = asyncio.run(take_over(value % budget))
    assert reports.taken_over
    assert spent is None or 0 <= spent <= 14


# Guards against tokens that are returned although they may be spent.
async def test_report_of_the_future_bounds_nothing():
    value = b'{"incarnation":"front-1-a","address":"10.0.0.1:80",'
    value += b'"reported_at_s":9e9,"budgets":{"hotel":%s}}' % REPORTED
    reports, spent = await take_over(value)
    assert (reports.taken_over, spent) == (True, None)


async def take_permit(value) -> bool:
    store = Store(clock)
    store.write((Write(permit_key("i-1@0"), value),))
    time = StoreTime(lambda: STORE_CLOCK_S, lambda _time_s: None)
    permits = PermitManager(store.port(never_cut_off), clock, time, random.Random(1))
    return await permits.take("i-1@0", 10.0, 1.0)


@FUZZ
@given(any_bytes({"given_until_s": b"5099.0"}))
def test_any_row_of_permits_stops_no_calls(value):
    assert asyncio.run(take_permit(value))


@FUZZ
@given(st.sampled_from([b'""', b'"00"', b'"zz"', b'"\xff"', b"[]"]) | any_bytes({}))
def test_any_key_of_the_fleet_is_replaced(value):
    async def write() -> RelayKeys:
        store = Store(clock)
        keys = RelayKeys(store.port(never_cut_off))
        store.write((Write(ROW_KEY, value),))
        keys.apply(Changes(1, tuple(store.rows.values()), complete=True))
        for _ in range(2):
            await keys.write()
        other = RelayKeys(store.port(never_cut_off))
        other.apply(Changes(2, tuple(store.rows.values()), complete=True))
        assert other.keys == keys.keys
        return keys

    keys = asyncio.run(write())
    assert [len(key) for key in keys.keys] == [KEY_BYTES]


async def test_odd_record_of_a_stream_is_unknown_and_hides_no_other_stream():
    store = Store(clock)
    time = StoreTime(lambda: STORE_CLOCK_S, lambda _time_s: None)
    eras, rng = StoreEras(clock), random.Random(1)
    table = store.port(never_cut_off)
    records = StreamRecords(table, clock, time, eras, rng, lambda: 1)
    for call in ("call1", "call2"):
        await records.record(call, 1, "v1")
    sound = list(store.rows)
    odd = next(key for key in sound if "/call1/" in key)[: -len("001")]
    for number, value in enumerate((NESTED, b"", b'{"version":5}')):
        store.write((Write(f"{odd}{number}x", value),))
        with pytest.raises(UnreadableRowError):
            await records.find("call1")
    assert (await records.find("call2")).version == "v1"
    for part in range(16):
        await records._sweep(part, 24.0)
    assert set(sound) <= set(store.rows)


async def test_unreadable_row_is_a_platform_error_for_a_transaction():
    store = Store(clock)
    account = BudgetAccount("hotel", "front-1", NOW, 0)
    account.prepaid = 1000
    store.write((Write(account.own_key, NESTED),))
    transactions = GrantTransactions(store.port(never_cut_off), "front-1-b", clock)
    with pytest.raises(PlatformError):
        await transactions.transfer(account, 10, 100)
    commit = await store.port(never_cut_off).commit((Check(account.own_key, 1),), ())
    assert commit.committed
