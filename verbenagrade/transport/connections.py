"""The clients and sessions for the outgoing connections of a router."""

import aiohttp

from verbenagrade.settings import RouterSettings
from verbenagrade.state.identity import Instance
from verbenagrade.state.membership import Members
from verbenagrade.transport.checked_responses import checked_session
from verbenagrade.transport.endpoint_client import EndpointClient
from verbenagrade.transport.endpoint_connections import endpoint_connector
from verbenagrade.transport.peer_client import PeerClient
from verbenagrade.transport.platform import (
    object_store_port,
    table_port,
    vm_list_port,
)

__all__ = ["Connections"]


STREAM_BUFFER_BYTES = 65_536
"""The library's buffer for a response, in bytes. An event may be twice as long."""


class Connections:
    """Clients for the platform, the endpoints and other instances.

    Connections to endpoints are not reused: if one failed unnoticed while idle,
    the outcome of the next request on it would be unknown.
    """

    def __init__(
        self, settings: RouterSettings, instance: Instance, members: Members
    ) -> None:
        timing = settings.timing
        self.platform_session = checked_session(
            connector=aiohttp.TCPConnector(local_addr=(settings.address, 0))
        )
        self.endpoint_session = checked_session(
            connector=endpoint_connector(), read_bufsize=STREAM_BUFFER_BYTES
        )
        self.table = table_port(self.platform_session, settings.platform)
        self.objects = object_store_port(self.platform_session, settings.platform)
        self.vm_list = vm_list_port(self.platform_session, settings.platform)
        self.peers = PeerClient(
            instance, members, settings.peer_port, timing.peer_timeout_s
        )
        self.endpoints = EndpointClient(
            self.endpoint_session, timing.connect_s, timing.progress_s
        )

    async def close(self) -> None:
        """Closes all connections."""
        self.peers.close()
        await self.endpoint_session.close()
        await self.platform_session.close()
