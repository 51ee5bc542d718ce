"""Finds out what is needed to judge the end of an endpoint's response."""

import asyncio
from dataclasses import replace

from verbenagrade.exceptions import UpstreamFailedError
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.state.response_end import (
    PROCESS_EXIT_S,
    EndVerdict,
    ResponseEnd,
    judge_end,
)
from verbenagrade.transport.gateway.core import GatewayCore
from verbenagrade.transport.gateway.reach import accepts_connection

__all__ = ["check_end"]


async def check_end(
    core: GatewayCore, entry: EndpointEntry | None, end: ResponseEnd, deadline: float
) -> None:
    """Raises ``UpstreamFailedError`` if a response that has ended is not complete.

    Asks the endpoint for a connection, up to the deadline of the call, if it matters
    whether it lives. ``entry`` is ``None`` if another VM has the endpoint's connection.
    """
    end = replace(end, closed_here=core.endpoints_closed)
    verdict = judge_end(end)
    if verdict is EndVerdict.ENDPOINT_UNKNOWN and entry is not None:
        await asyncio.sleep(PROCESS_EXIT_S)
        timeout_s = min(core.settings.tuning.connect_s, deadline - core.clock())
        lives = await accepts_connection(core, entry, max(0.0, timeout_s))
        end = replace(end, endpoint_lives=lives)
        verdict = judge_end(replace(end, closed_here=core.endpoints_closed))
    if verdict is not EndVerdict.COMPLETE:
        raise UpstreamFailedError(verdict.value)
