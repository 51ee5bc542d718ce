"""Finds out what is needed to judge the end of an endpoint's response."""

import asyncio
from dataclasses import replace

from verbenagrade.exceptions import UpstreamFailedError, UpstreamTimeoutError
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.state.response_end import (
    PROCESS_EXIT_S,
    EndVerdict,
    ResponseEnd,
    judge_end,
)
from verbenagrade.transport.gateway.core import GatewayCore
from verbenagrade.transport.gateway.reach import open_and_close

__all__ = ["check_end"]


async def check_end(
    core: GatewayCore, entry: EndpointEntry | None, end: ResponseEnd, deadline: float
) -> None:
    """Raises ``UpstreamFailedError`` if a response that has ended is not complete.

    Asks the endpoint for a connection, up to the deadline of the call, if it matters
    whether it lives. ``entry`` is ``None`` if another VM has the endpoint's connection.
    Raises ``UpstreamTimeoutError`` if there is no time left to ask.
    """
    end = replace(end, closed_here=core.endpoints_closed)
    verdict = judge_end(end)
    if verdict is EndVerdict.ENDPOINT_UNKNOWN and entry is not None:
        end = replace(end, endpoint_lives=await _lives(core, entry, deadline))
        verdict = judge_end(replace(end, closed_here=core.endpoints_closed))
    if verdict is not EndVerdict.COMPLETE:
        raise UpstreamFailedError(verdict.value)


async def _lives(core: GatewayCore, entry: EndpointEntry, deadline: float) -> bool:
    """Returns whether an endpoint accepts connections after the end of a response.

    Raises ``UpstreamTimeoutError`` if the deadline leaves too little time to tell.
    """
    connect_s = core.settings.tuning.connect_s
    left_s = deadline - core.clock() - PROCESS_EXIT_S
    if left_s > 0:
        await asyncio.sleep(PROCESS_EXIT_S)
        error = await open_and_close(entry.address, min(connect_s, left_s))
        if error is None:
            return True
        if left_s >= connect_s or not isinstance(error, TimeoutError):
            return False
    raise UpstreamTimeoutError("no time left to ask whether the endpoint lives")
