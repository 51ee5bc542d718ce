"""Keeps the limits on calls that endpoints name in their responses.

An endpoint with a limit gets a call only with a permit; otherwise the next best one is
chosen. If all endpoints of a service are limited, a few calls wait for the next permit.
"""

import asyncio
from collections.abc import Collection
from dataclasses import dataclass, replace

from verbenagrade.events import Event, log_event
from verbenagrade.protocol.calls import ResponseHead
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.state.placement import Placement
from verbenagrade.transport.gateway import refusals
from verbenagrade.transport.gateway.calls import Call, CallProgress
from verbenagrade.transport.gateway.core import GatewayCore
from verbenagrade.transport.gateway.notices import HTTP_MISDIRECTED
from verbenagrade.transport.gateway.refusals import Refusal
from verbenagrade.transport.gateway.versions import candidates

__all__ = [
    "choose_or_wait",
    "choose_within_limits",
    "record_limit",
    "refusal_without_endpoint",
]

PERMIT_PATIENCE_S = 0.1
"""How long the choice of an endpoint waits for permits of one, in seconds: some round
trips to the store between regions."""

MAX_REQUESTS_PER_CHOICE = 2
"""Largest number of endpoints whose permits are requested for one choice, which uses
one of them."""

MAX_WAIT_S = 0.5
"""How long a call waits for a permit if all endpoints are limited, in seconds."""

MAX_WAIT_FRACTION = 0.25
"""The longest wait as a fraction of the time left for the call."""

MIN_POLL_S = 0.02
MAX_CALLS_WAITING_FOR_ROOM = 8
"""Largest number of this VM's calls that wait until a brittle endpoint has room. All
others are refused at once."""

RETRY_AFTER_BOUNDS_S = (0.2, 2.0)
"""Smallest and largest delay after which a refused call is asked to come back, in
seconds. A caller who comes back reaches another VM, which may have permits."""

RETRY_AFTER_SPREAD = 2.0


@dataclass(frozen=True, slots=True)
class Choice:
    """An endpoint, if there is one, and the incarnations that had no permit left."""

    placement: Placement | None
    limited: frozenset[str]


async def choose_or_wait(
    core: GatewayCore, call: Call, progress: CallProgress
) -> Placement | None:
    """Chooses an endpoint for the next attempt of a call, ``None`` if there is none.

    If the limits of all endpoints are used up, it waits for a permit, unless as many
    calls wait already as are likely to get one.
    """
    choice = await _choose_with_room(core, call, progress)
    wait_until = core.clock() + _longest_wait_s(core, call)
    while choice.placement is None and choice.limited:
        wait_s = _next_permit_at(core, choice.limited) - core.clock()
        progress.limited_endpoints = choice.limited
        if core.clock() + wait_s > wait_until or not core.limits.permits.may_wait():
            return None
        with core.limits.permits.waiting():
            await asyncio.sleep(max(MIN_POLL_S, wait_s))
        choice = await _choose(core, call, progress, progress.excluded_endpoints)
    progress.limited_endpoints = choice.limited
    return choice.placement


async def _choose_with_room(
    core: GatewayCore, call: Call, progress: CallProgress
) -> Choice:
    """Chooses an endpoint; a few calls wait until a brittle one has room."""
    excluded = progress.excluded_endpoints
    choice = await _choose(core, call, progress, excluded)
    if choice.placement is not None or not _may_wait_for_room(core, call):
        return choice
    wait_until = core.clock() + _longest_wait_s(core, call)
    core.calls_waiting_for_room += 1
    try:
        while (
            choice.placement is None
            and core.lacks_room(call.service)
            and core.clock() < wait_until
        ):
            await asyncio.sleep(MIN_POLL_S)
            choice = await _choose(core, call, progress, excluded)
    finally:
        core.calls_waiting_for_room -= 1
    return choice


def _may_wait_for_room(core: GatewayCore, call: Call) -> bool:
    few = core.calls_waiting_for_room < MAX_CALLS_WAITING_FOR_ROOM
    return few and core.lacks_room(call.service)


async def choose_within_limits(
    core: GatewayCore, call: Call, progress: CallProgress, excluded: Collection[str]
) -> Placement | None:
    """Chooses an endpoint that may get a call now, ``None`` if there is none."""
    return (await _choose(core, call, progress, excluded)).placement


def refusal_without_endpoint(core: GatewayCore, progress: CallProgress) -> Refusal:
    """Returns the refusal of a call for which there is no endpoint."""
    if not progress.limited_endpoints:
        return refusals.NO_ENDPOINT
    wait_s = _next_permit_at(core, progress.limited_endpoints) - core.clock()
    shortest_s, longest_s = RETRY_AFTER_BOUNDS_S
    delay_s = min(longest_s, max(shortest_s, wait_s))
    return replace(
        refusals.ENDPOINTS_LIMITED,
        retry_after_s=(delay_s, RETRY_AFTER_SPREAD * delay_s),
    )


async def _choose(
    core: GatewayCore, call: Call, progress: CallProgress, excluded: Collection[str]
) -> Choice:
    """Chooses the best endpoint that has no limit, or for which there is a permit."""
    limited: dict[str, str] = {}
    permits = core.limits.permits
    requests = MAX_REQUESTS_PER_CHOICE
    while True:
        now = core.clock()
        placement = core.placement.choose(
            candidates(core, call, progress), {*excluded, *limited}, call.shape, now
        )
        if placement is None:
            break
        entry = placement.endpoint
        limit_per_s = core.limits.known.limit_of(entry.incarnation)
        if limit_per_s is None:
            break
        may_ask = requests > 0 and permits.may_ask(entry.incarnation, now)
        requests -= may_ask
        patience_s = PERMIT_PATIENCE_S if may_ask else 0.0
        if await permits.take(entry.incarnation, limit_per_s, patience_s):
            break
        limited[entry.name] = entry.incarnation
        core.metrics.permits_missing.inc({})
    return Choice(placement, frozenset(limited.values()))


def _longest_wait_s(core: GatewayCore, call: Call) -> float:
    return min(MAX_WAIT_S, MAX_WAIT_FRACTION * (call.deadline - core.clock()))


def _next_permit_at(core: GatewayCore, limited: frozenset[str]) -> float:
    now = core.clock()
    return min(core.limits.permits.free_at(incarnation, now) for incarnation in limited)


def record_limit(
    core: GatewayCore,
    call: Call,
    progress: CallProgress,
    entry: EndpointEntry,
    head: ResponseHead,
) -> None:
    """Records what a response says of the limit of its endpoint.

    A misdirected call got its response from another endpoint at the same address. One
    that did not run, or whose response has no signature, does not tell that a limit has
    ended.
    """
    if head.status == HTTP_MISDIRECTED:
        return
    if head.limit_per_s is None and (head.not_run or not head.signed):
        return
    now = core.clock()
    changed = core.limits.known.record_response(
        entry.incarnation, head.limit_per_s, progress.sent_at, now
    )
    if changed:
        core.run_in_background(core.limits.shared.publish())
        log_event(
            Event.ENDPOINT_LIMITED,
            call=call.head.call_id,
            endpoint=entry.name,
            limit_per_s=head.limit_per_s,
            sent_ago_s=round(now - progress.sent_at, 3),
        )
