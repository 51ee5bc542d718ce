"""Tests of the choice of endpoints.

They cover long prompts, popular prefixes, and slow, failing, unresponsive or
unreachable endpoints.
"""

import random

from verbenagrade.state.calls import PromptPart
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.state.endpoint_stats import CallShape
from verbenagrade.state.placement import PlacementTable, VmLocation

REGIONS = {"muscat-a": "muscat", "muscat-b": "muscat", "dhofar-a": "dhofar"}
SHORT = CallShape(tokens=600)


def endpoint(name, data_centre="muscat-a", service="pool"):
    return EndpointEntry(name, service, "10.0.0.1:80", data_centre, 64)


def make_table(data_centre="muscat-a", seed=1):
    return PlacementTable(VmLocation(data_centre, REGIONS), seed)


def shared_prompt(session, shared=4000, own=1000):
    parts = (PromptPart(session, shared), PromptPart("own", own))
    return CallShape(prompt=parts, tokens=shared + own)


def place(placement, entries, shape, call, now=0.0, excluded=()):
    chosen = placement.choose(entries, excluded, shape, now).endpoint
    placement.sent(chosen, call, shape, now)
    return chosen


def finish_call(placement, entry, call, shape=SHORT, now=0.1, failed=False):
    if not failed:
        placement.answered(entry, call, shape, now)
    placement.ended(entry, call, failed, now)


def test_burst_of_long_prompts_is_spread_by_queued_work():
    placement = make_table()
    entries = [endpoint(f"e{n}") for n in range(4)]
    shape = CallShape(tokens=20_000)
    chosen = [place(placement, entries, shape, f"c{n}").name for n in range(4)]
    assert len(set(chosen)) == 4
    short = place(placement, entries, SHORT, "short").name
    assert placement.stats(short).queued_work < 25


def test_popular_prefix_has_one_endpoint_for_all_vms_until_overload():
    entries = [endpoint(f"e{n}", dc) for n, dc in enumerate(REGIONS)]
    tables = [make_table(dc, seed) for seed, dc in enumerate(REGIONS)]
    shape = shared_prompt("hot")
    preferred = {place(t, entries, shape, "first").name for t in tables}
    assert len(preferred) == 1
    chosen = {place(tables[0], entries, shape, f"c{n}").name for n in range(12)}
    assert len(chosen) > 1


def test_prompts_with_few_shared_tokens_stay_in_their_data_centre():
    entries = [endpoint(f"{dc}-{n}", dc) for dc in REGIONS for n in range(2)]
    shape = shared_prompt("small", shared=200, own=400)
    for data_centre in REGIONS:
        chosen = place(make_table(data_centre), entries, shape, "c")
        assert chosen.data_centre == data_centre


def test_long_prompts_use_one_endpoint_that_other_calls_avoid():
    entries = [endpoint(f"e{n}") for n in range(8)]
    long_prompt = CallShape(tokens=50_000, long_prompt=True)
    long_prompt_endpoints = {
        place(make_table(seed=s), entries, long_prompt, "c").name for s in range(5)
    }
    assert len(long_prompt_endpoints) == 1
    placement = make_table()
    streams = [place(placement, entries, SHORT, f"s{n}").name for n in range(7)]
    assert not long_prompt_endpoints & set(streams)


def test_unreachable_endpoint_gets_no_calls_while_others_are_available():
    placement = make_table()
    entries = [endpoint(f"e{n}") for n in range(3)]
    unreachable_entry = entries[0]
    placement.unreachable(unreachable_entry, now=10.0)
    chosen = {place(placement, entries, SHORT, f"c{n}", 10.1).name for n in range(9)}
    assert unreachable_entry.name not in chosen
    placed = placement.choose([unreachable_entry], (), SHORT, 10.1)
    assert placed.endpoint is unreachable_entry


def test_slow_endpoint_gets_less_than_its_share():
    placement = make_table()
    entries = [endpoint(f"e{n}") for n in range(3)]
    counts = dict.fromkeys(("e0", "e1", "e2"), 0)
    now = 0.0
    for n in range(300):
        now += 0.05
        chosen = place(placement, entries, SHORT, f"c{n}", now)
        counts[chosen.name] += 1
        finish_call(
            placement, chosen, f"c{n}", now=now + (0.5 if chosen.name == "e0" else 0.05)
        )
    assert counts["e0"] < 30


def test_endpoint_that_fails_half_of_its_calls_is_avoided():
    placement = make_table()
    entries = [endpoint(f"e{n}") for n in range(3)]
    source = random.Random(7)
    counts = dict.fromkeys(("e0", "e1", "e2"), 0)
    for n in range(300):
        chosen = place(placement, entries, SHORT, f"c{n}", n * 0.05)
        counts[chosen.name] += 1
        failed = chosen.name == "e0" and source.random() < 0.5
        finish_call(placement, chosen, f"c{n}", now=n * 0.05 + 0.05, failed=failed)
    assert counts["e0"] < 60


def test_endpoint_with_overdue_call_is_avoided_before_the_call_fails():
    placement = make_table()
    entries = [endpoint(f"e{n}") for n in range(2)]
    for n in range(20):
        chosen = place(placement, entries, SHORT, f"c{n}", n * 0.1)
        finish_call(placement, chosen, f"c{n}", now=n * 0.1 + 0.05)
    overdue = place(placement, entries, SHORT, "stuck", 3.0)
    later = {place(placement, entries, SHORT, f"l{n}", 4.0).name for n in range(5)}
    assert overdue.name not in later


def test_new_incarnation_has_no_cached_prompts():
    placement = make_table()
    entry = endpoint("e0")
    shape = shared_prompt("s")
    placement.sent(entry, "c", shape, 0.0)
    finish_call(placement, entry, "c", shape)
    assert placement.stats("e0").uncached_tokens(shape.prompt[:-1]) == 0
    placement.forget(("e0",))
    assert placement.stats("e0").uncached_tokens(shape.prompt[:-1]) == 4000


# Guards against an endpoint that draws calls because its failures are fast: no
# connection, or a refusal as full, takes less time than any response.
def test_endpoint_that_fails_fast_does_not_look_fast():
    table = make_table()
    healthy, failing = endpoint("healthy"), endpoint("failing")
    for number in range(10):
        now = float(number)
        table.sent(healthy, f"h{number}", CallShape(), now)
        table.answered(healthy, f"h{number}", CallShape(), now + 0.2)
        table.ended(healthy, f"h{number}", failed=False, now=now + 0.2)
        table.sent(failing, f"f{number}", CallShape(), now)
        table.ended(failing, f"f{number}", failed=True, now=now + 0.001)
    assert table.expected_first_response_s(healthy, CallShape()) > 0.19
    shape = CallShape()
    entries = [healthy, failing]
    chosen = [table.choose(entries, (), shape, 20.0).endpoint for _ in range(20)]
    assert set(chosen) == {healthy}
    failing_stats = table.stats("failing")
    assert failing_stats.unit_time_s is None


def test_call_that_waited_long_without_a_response_makes_its_endpoint_look_slow():
    table = make_table()
    healthy, silent = endpoint("healthy"), endpoint("silent")
    table.sent(healthy, "h", CallShape(), 0.0)
    table.answered(healthy, "h", CallShape(), 0.1)
    table.sent(silent, "s", CallShape(), 0.0)
    table.ended(silent, "s", failed=True, now=2.0)
    assert table.stats("silent").unit_time_s > 1.0
