"""Callers of one tenant, who use up its prepaid tokens, and what they consumed."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from review.common.callers import call, session
from review.common.case import Setting
from review.common.configurations import stream_headers
from review.common.fleet import wait_until
from review.common.replicas import TOKENS_PER_EVENT

__all__ = ["Consumption", "StreamLoad", "use_up"]

PAUSE_S = 0.05
END_AFTER_REFUSALS_S = 10.0
"""The tenant has used up its tokens if nothing was served for so long."""

LONGEST_S = 80.0


@dataclass(frozen=True)
class StreamLoad:
    """``callers`` who each send one request after the other.

    The first requests are spread over ``spread_s`` seconds.
    """

    callers: int
    prompt_tokens: int
    events: int
    spread_s: float = 0.0


@dataclass
class Consumption:
    """Prompts of requests that ran, counted once each, and delivered events."""

    load: StreamLoad
    prompts: int = 0
    events: int = 0
    served_at: float = 0.0
    statuses: Counter = field(default_factory=Counter)

    @property
    def tokens(self) -> int:
        """All tokens consumed."""
        prompt_tokens = self.prompts * self.load.prompt_tokens
        return prompt_tokens + self.events * TOKENS_PER_EVENT


async def use_up(setting: Setting, load: StreamLoad, prepaid: int, at_fraction, act):
    """Sends requests until none is served; returns whether more than ``prepaid`` was.

    The coroutine function ``act`` is called once a fraction of the tokens is consumed.
    """
    clock = asyncio.get_running_loop().time
    consumed, rng = Consumption(load), random.Random(1)
    ends_at = clock() + LONGEST_S
    async with session() as client:
        tasks = []
        for _ in range(load.callers):
            work = _send_streams(client, setting, consumed, rng)
            tasks.append(asyncio.create_task(work))
            await asyncio.sleep(load.spread_s / load.callers)
        await wait_until(lambda: consumed.tokens >= at_fraction * prepaid, LONGEST_S)
        await act()
        await wait_until(
            lambda: clock() - consumed.served_at > END_AFTER_REFUSALS_S,
            ends_at - clock(),
        )
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    by_status = dict(consumed.statuses)
    setting.record.write("consumed", tokens=consumed.tokens, prepaid=prepaid)
    print(f"consumed {consumed.tokens} of {prepaid} prepaid tokens; {by_status}")
    return consumed.tokens > prepaid


async def _send_streams(client, setting, consumed, rng):
    fleet, record, load = setting.fleet, setting.record, consumed.load
    clock = asyncio.get_running_loop().time
    while True:
        name = fleet.choose(rng)
        headers = stream_headers(load.prompt_tokens, load.events)
        request = headers["Request-Id"]
        record.write("sent", request=request, machine=name)
        answer = await call(client, fleet.address(name), "POST", "/drafts/2f", headers)
        events = len(answer.events) if answer.status == 200 else 0
        if events:
            consumed.prompts += 1
            consumed.events += events
            consumed.served_at = clock()
        consumed.statuses[answer.status] += 1
        record.write(
            "answered",
            request=request,
            status=answer.status,
            complete=answer.complete,
            events=events,
            tokens_so_far=consumed.tokens,
        )
        await asyncio.sleep(max(PAUSE_S, answer.retry_after_s))
