"""Tests of responses of plain services that are too large for a router to keep."""

import pytest

from verbenagrade.tests.fleet import Fleet, Layout

RESPONSE_BYTES = 6_000_000
ROUTER, SERVICE = "muscat-a-0", "service-muscat-a-0"


@pytest.fixture
async def fleet():
    """Returns a fleet whose router keeps no response of that size."""
    limits = {"client_memory_mb": 1}
    layout = Layout(data_centres=("muscat-a",), routers=1, limits=limits)
    async with Fleet(layout) as fleet:
        yield fleet


async def call(fleet, **headers):
    return await fleet.send_request(
        ROUTER,
        "POST",
        "/services/booking/x",
        {},
        Authorization="Bearer key-crew",
        **headers,
    )


async def test_large_response_arrives_whole_and_is_charged(fleet):
    await fleet.set_switches(SERVICE, response_bytes=RESPONSE_BYTES)
    response = await call(fleet)
    assert (response.status, response.complete) == (200, True)
    assert len(response.body) == RESPONSE_BYTES
    assert [bill["outcome"] for bill in await fleet.wait_for_bills(1)] == ["answered"]


# Guards against half a response that looks like a whole one.
async def test_large_response_that_breaks_off_is_incomplete_for_its_caller(fleet):
    await fleet.set_switches(
        SERVICE, response_bytes=RESPONSE_BYTES, break_after=RESPONSE_BYTES - 1
    )
    response = await call(fleet)
    assert not response.complete
    assert [bill["outcome"] for bill in await fleet.wait_for_bills(1)] == ["broken"]


async def test_large_response_is_not_repeated_for_a_retried_call(fleet):
    await fleet.set_switches(SERVICE, response_bytes=RESPONSE_BYTES)
    assert (await call(fleet, Idempotency_Key="k")).complete
    assert (await call(fleet, Idempotency_Key="k")).status == 502
    assert len(await fleet.service_calls()) == 1


async def test_call_whose_caller_leaves_is_charged_like_any_other(fleet):
    await fleet.set_switches(SERVICE, response_bytes=RESPONSE_BYTES)
    url = f"{fleet.urls[ROUTER]}/services/booking/x"
    headers = {"Authorization": "Bearer key-crew"}
    async with fleet.session.post(url, headers=headers) as response:
        assert response.status == 200
    assert [bill["outcome"] for bill in await fleet.wait_for_bills(1)] == ["answered"]
