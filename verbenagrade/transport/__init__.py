"""Connections, servers and the wiring of a router."""

from verbenagrade.transport.answers import (
    EngineAnswer,
)
from verbenagrade.transport.background import (
    Background,
)
from verbenagrade.transport.callers import (
    CallersSide,
    RouterStatus,
)
from verbenagrade.transport.chat import (
    ChatService,
)
from verbenagrade.transport.connections import (
    Connections,
)
from verbenagrade.transport.engines import (
    EndpointClient,
)
from verbenagrade.transport.frames import (
    MAX_FRAME_BYTES,
    read_frame,
    write_frame,
)
from verbenagrade.transport.operators import (
    OperatorsSide,
)
from verbenagrade.transport.peer_client import (
    PeerClient,
)
from verbenagrade.transport.peer_server import (
    PeerServer,
)
from verbenagrade.transport.platform import (
    object_store_port,
    table_port,
    vm_list_port,
)
from verbenagrade.transport.requests import (
    Caller,
    check_in_flight,
    key_with_digest,
    read_body,
    read_caller,
)
from verbenagrade.transport.router import (
    Router,
)
from verbenagrade.transport.services import (
    ServiceCall,
    ServiceGateway,
)

__all__ = [
    "MAX_FRAME_BYTES",
    "Background",
    "Caller",
    "CallersSide",
    "ChatService",
    "Connections",
    "EndpointClient",
    "EngineAnswer",
    "OperatorsSide",
    "PeerClient",
    "PeerServer",
    "Router",
    "RouterStatus",
    "ServiceCall",
    "ServiceGateway",
    "check_in_flight",
    "key_with_digest",
    "object_store_port",
    "read_body",
    "read_caller",
    "read_frame",
    "table_port",
    "vm_list_port",
    "write_frame",
]
