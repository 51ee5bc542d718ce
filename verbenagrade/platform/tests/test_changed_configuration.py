"""Tests of calls that are under way while the configuration changes."""

import asyncio

import pytest

from verbenagrade.platform.tests.conftest import configuration_document, route
from verbenagrade.platform.tests.endpoint_standin import stream

PROMPT_TOKENS = 100
EVENTS = 10
EVENT_TOKENS = 7
"""The ``stride`` of the service in ``configuration_document``."""


def spent_tokens(testbed) -> int:
    return testbed.core.allowance_manager.accounts["hotel"].allowance.spent


async def finish_stream_after_change(testbed, document) -> None:
    """Runs a stream during which a new configuration is applied."""
    await testbed.add_endpoint(stream(EVENTS, pause=0.05))
    await testbed.start(configuration_document())
    await testbed.wait_until_ready()
    tokens = f"{PROMPT_TOKENS},100"
    call = asyncio.create_task(testbed.call("/stream/", Token_Count=tokens))
    await testbed.wait_until(lambda: testbed.endpoints[0].requests)
    testbed.store.put("op", "config", document)
    await testbed.wait_until(
        lambda: testbed.core.route_index.configuration.version == 2
    )
    assert not call.done()
    status, body, _ = await call
    assert (status, body.count(b"data:")) == (200, EVENTS)


# Guards against streams that are charged one token for each event because the newest
# configuration no longer lists their service.
async def test_stream_whose_service_is_left_out_is_charged_by_its_own_events(testbed):
    moved = configuration_document(
        2,
        routes=[route("/stream/", "streaming", service="other", max_attempts=1)],
        services=[{"name": "other", "engine": {"stride": 3}}],
    )
    await finish_stream_after_change(testbed, moved)
    assert spent_tokens(testbed) == PROMPT_TOKENS + EVENTS * EVENT_TOKENS


# Guards against streams that are charged by a later description of their service.
@pytest.mark.parametrize("engine", [{"stride": 2}, None])
async def test_stream_whose_service_changes_is_charged_as_admitted(testbed, engine):
    changed = configuration_document(2, services=[{"name": "pool", "engine": engine}])
    await finish_stream_after_change(testbed, changed)
    assert spent_tokens(testbed) == PROMPT_TOKENS + EVENTS * EVENT_TOKENS


# Guards against a guess of one token for each event of a service that the configuration
# under which the call was admitted does not list.
async def test_stream_of_a_service_that_was_never_listed_costs_its_bound(testbed):
    await testbed.add_endpoint(stream(EVENTS))
    await testbed.start(configuration_document(services=[]))
    await testbed.wait_until_ready()
    assert (await testbed.call("/stream/", Token_Count="100,100"))[0] == 200
    assert spent_tokens(testbed) == PROMPT_TOKENS + 100
