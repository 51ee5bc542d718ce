import json
import random

from soak.rows import MAX_VALUE_BYTES, odd_row

ENTRY = {
    "service": "pool",
    "address": "127.0.0.1:8000",
    "zone": "muscat-a",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 1,
    "born": 1000,
    "version": "v1",
}


def names_an_endpoint(value: bytes) -> bool:
    """Returns whether a row is an entry with the address of a sound one."""
    try:
        entry = json.loads(value)
    except (ValueError, RecursionError):
        return False
    if not isinstance(entry, dict) or entry.get("state") != "ready":
        return False
    finite = entry["born"] < float("inf")
    return finite and entry["address"] == ENTRY["address"]


def test_odd_rows_fit_into_the_store_and_name_no_endpoint():
    rng = random.Random(1)
    rows = [odd_row(rng, ENTRY) for _ in range(500)]
    assert max(map(len, rows)) <= MAX_VALUE_BYTES
    assert not any(names_an_endpoint(row) for row in rows)
    assert len(set(rows)) > 50
