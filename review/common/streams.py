"""Streams that callers begin at a machine, and take up if it breaks them off."""

import asyncio
import random

from review.common.callers import call
from review.common.configurations import STREAM_LIMIT_MS, stream_headers

__all__ = ["Streams"]

PROMPT_TOKENS = 800
LIMIT_S = STREAM_LIMIT_MS / 1000
TRIES = 3
"""How often a caller tries to take up a stream, with the pauses that it is told."""


class Streams:
    """The streams of some callers, each with ``events`` events, and what came of them.

    ``begun`` counts those whose first event arrived. ``taken_up`` counts those that
    broke off later, ``went_on`` those of them that went on, and ``joined`` those that
    hold events of two software versions.
    """

    def __init__(self, setting, client, events):
        self.setting, self.client, self.events = setting, client, events
        self.asked = self.begun = self.taken_up = self.went_on = self.joined = 0

    async def stream(self, name):
        """Asks a machine for a stream, and goes on at others that the platform chooses.

        A stream that breaks off is taken up with the id of its last event.
        """
        clock = asyncio.get_running_loop().time
        ends_at = clock() + LIMIT_S
        headers = stream_headers(PROMPT_TOKENS, self.events)
        first_id = headers["Request-Id"]
        self.asked += 1
        answer = await self._ask(name, headers)
        self.begun += bool(answer.events)
        if answer.complete or not answer.events:
            return
        self.taken_up += 1
        seen = versions(answer)
        last = answer.events[-1].split(b"\n")[0].removeprefix(b"id: ").decode()
        for _ in range(TRIES):
            left_s = ends_at - clock()
            if left_s <= 0:
                break
            again = stream_headers(PROMPT_TOKENS, self.events, left_s)
            again |= {"Last-Event-Id": last, "Resumes": first_id}
            answer = await self._ask(self.setting.fleet.choose(random), again)
            if answer.events:
                self.went_on += 1
                seen |= versions(answer)
                break
            await asyncio.sleep(min(answer.retry_after_s, left_s / 3))
        self.joined += len(seen) > 1
        self.setting.record.write(
            "stream", first=first_id, versions=",".join(sorted(seen))
        )

    async def _ask(self, name, headers):
        record, fleet = self.setting.record, self.setting.fleet
        request = headers["Request-Id"]
        after = headers.get("Last-Event-Id", "")
        record.write("sends", request=request, to=name, after=after)
        address = fleet.address(name)
        answer = await call(self.client, address, "POST", "/drafts/1", headers)
        record.write(
            "answered",
            request=request,
            status=answer.status,
            events=len(answer.events),
            versions=",".join(sorted(versions(answer))),
        )
        return answer


def versions(answer):
    """Returns the versions of the replicas that wrote the events of an answer."""
    return {event.split(b"data: ")[1].split()[0].decode() for event in answer.events}
