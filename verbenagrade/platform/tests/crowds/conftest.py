"""Fixtures of the tests of crowds."""

import contextlib

import pytest

from verbenagrade.platform.tests.crowds.clients import Crowd
from verbenagrade.platform.tests.crowds.gateway import GatewayUnderTest


@pytest.fixture(params=["c", "python"])
def parser(request):
    """Returns the language of the HTTP parser."""
    return request.param


@pytest.fixture
async def gateway(tmp_path, parser):
    """Returns a gateway that has not started yet."""
    gateway = GatewayUnderTest(tmp_path, parser)
    yield gateway
    await gateway.stop()


@pytest.fixture
def crowd_at():
    """Returns a function for a context with a crowd that leaves at its end."""

    @contextlib.asynccontextmanager
    async def crowd_at(address):
        crowd = Crowd(address)
        try:
            yield crowd
        finally:
            await crowd.leave()

    return crowd_at
