"""Tests of reservations that other instances witness."""

import asyncio
from types import SimpleNamespace

from verbenagrade.coordination.witnesses import Witnesses
from verbenagrade.state.attempts import KnownAttempts
from verbenagrade.state.membership import MemberVm


# Guards against a background task that ends with KeyError because two releases of the
# same attempt overlapped.
async def test_overlapping_releases_of_an_attempt_both_succeed():
    member = MemberVm("vm-2", "muscat-a", "127.0.0.1", False)
    replied = asyncio.Event()

    async def call(_member, _message):
        await replied.wait()

    members = SimpleNamespace(vms={"vm-2": member})
    witnesses = Witnesses(members, KnownAttempts(), call, lambda: 0.0)
    witnesses.witnesses_of["attempt"] = (member,)
    releases = [
        asyncio.create_task(witnesses.release_settled(lambda _attempt: True))
        for _ in range(2)
    ]
    await asyncio.sleep(0)
    replied.set()
    await asyncio.gather(*releases)
    assert witnesses.witnesses_of == {}
