"""Runs a case: the stand-ins, the gateways, and what the case does with them."""

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from review.common.fleet import Fleet, Record
from review.common.replicas import Replica
from review.common.store import Store

__all__ = ["TROUBLE", "Setting", "run_case"]

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the case has its disruption."""

GATEWAYS = ("front-1", "front-2", "front-3")
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


@dataclass(frozen=True)
class Setting:
    """The store, the replicas and the gateways of a small deployment."""

    store: Store
    replicas: tuple[Replica, ...]
    fleet: Fleet
    record: Record


def run_case(
    path: str,
    configuration: dict,
    make_replicas: Callable[[Store, Record], tuple[Replica, ...]],
    play: Callable[[Setting], Awaitable[bool]],
) -> None:
    """Runs a case and exits with 1 if ``play`` returns that the rule was broken.

    ``path`` is the file of the case, beside which ``record.txt`` is written. Replicas
    whose ``starts_later`` is set are left to ``play``.
    """
    try:
        broken = asyncio.run(_run(path, configuration, make_replicas, play))
    except Exception:
        traceback.print_exc()
        print("the case could not run")
        sys.exit(EXIT_NOT_RUN)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(EXIT_BROKEN if broken else EXIT_HELD)


async def _run(path, configuration, make_replicas, play) -> bool:
    record = Record(Path(path).with_name("record.txt"))
    store = Store()
    await store.start()
    store.put("op", "config", configuration)
    replicas = make_replicas(store, record)
    addresses = {name: await store.open_port() for name in GATEWAYS}
    fleet = Fleet(GATEWAYS, addresses, record)
    try:
        for replica in replicas:
            if not replica.starts_later:
                await replica.start()
        await fleet.start()
        return await play(Setting(store, replicas, fleet, record))
    finally:
        await fleet.stop()
        for replica in replicas:
            replica.stop()
        await store.stop()
        record.close()
