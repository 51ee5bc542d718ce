"""Tests of streams at a default that not all VMs know, while many of them begin.

The pattern is a release beside a VM that is lost or cut off: all streams of a service
are to be recorded for minutes, more than the store takes.
"""

import asyncio
from types import SimpleNamespace

from verbenagrade.coordination.tests.version_fleet import REPLACED_S, SERVICE, play
from verbenagrade.metrics.gateway import GatewayMetrics
from verbenagrade.state.calls import CallKind
from verbenagrade.transport.gateway.calls import CallProgress
from verbenagrade.transport.gateway.versions import begin_record, confirm_version

CALL_TIMEOUT_S = 12.0
STREAMS_PER_S = 1000
SECONDS = 5
WRITES_PER_S = 0.25 * 800
"""Part of the writes of a small deployment's store that records may use."""


def new_call(fleet, number) -> SimpleNamespace:
    return SimpleNamespace(
        head=SimpleNamespace(call_id=f"call{number}", resumed_call="", resume_after=""),
        kind=CallKind.RESUMABLE_STREAM,
        service=SERVICE,
        deadline=fleet.clock() + CALL_TIMEOUT_S,
    )


# Guards against records that take more of the store's writes than their part, and
# against streams that wait for records which the store does not take.
def test_streams_at_an_unconfirmed_default_begin_beyond_the_rate_of_records():
    async def scenario(fleet, first, second):
        second.cut_off()
        fleet.serve("v2", "v2")
        await fleet.run(REPLACED_S)
        core = SimpleNamespace(
            versions=first.versions, clock=fleet.clock, metrics=GatewayMetrics()
        )
        commits, began_at = fleet.store.commits, fleet.clock()
        for second_number in range(SECONDS):
            for number in range(STREAMS_PER_S):
                call = new_call(fleet, second_number * STREAMS_PER_S + number)
                progress = CallProgress("")
                begin_record(core, call, progress, fleet.entries[0])
                await asyncio.sleep(0.001)
                await confirm_version(core, call, progress, fleet.entries[0])
            await first.versions.record_running()
        seconds = fleet.clock() - began_at
        assert seconds < SECONDS + 1.0
        assert fleet.store.commits - commits <= WRITES_PER_S * (seconds + 1.0)

    play(scenario)
