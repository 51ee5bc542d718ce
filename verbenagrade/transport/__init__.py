"""HTTP and peer-to-peer transport of a router, and the router itself."""

from verbenagrade.lazy import lazy_exports

__all__ = [
    "MAX_FRAME_BYTES",
    "BackgroundTasks",
    "Caller",
    "CallerApi",
    "ChatService",
    "Connections",
    "EndpointClient",
    "EngineResponse",
    "OperatorApi",
    "PeerClient",
    "PeerServer",
    "Router",
    "RouterStatus",
    "ServiceCall",
    "ServiceProxy",
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

__getattr__ = lazy_exports(
    __name__,
    {
        "engine_response": ("EngineResponse",),
        "background": ("BackgroundTasks",),
        "caller_api": (
            "CallerApi",
            "RouterStatus",
        ),
        "chat": ("ChatService",),
        "connections": ("Connections",),
        "endpoint_client": ("EndpointClient",),
        "frames": (
            "MAX_FRAME_BYTES",
            "read_frame",
            "write_frame",
        ),
        "operator_api": ("OperatorApi",),
        "peer_client": ("PeerClient",),
        "peer_server": ("PeerServer",),
        "platform": (
            "object_store_port",
            "table_port",
            "vm_list_port",
        ),
        "requests": (
            "Caller",
            "check_in_flight",
            "key_with_digest",
            "read_body",
            "read_caller",
        ),
        "router": ("Router",),
        "services": (
            "ServiceCall",
            "ServiceProxy",
        ),
    },
)
