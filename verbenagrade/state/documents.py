"""The format of the documents in a deployment's store."""

from collections.abc import Callable
from dataclasses import dataclass

from verbenagrade.state.directory import EndpointEntry
from verbenagrade.state.routes import GatewayConfiguration

__all__ = ["DocumentError", "DocumentFormat"]


class DocumentError(ValueError):
    """Raised if a document can't be decoded; the message says why."""


@dataclass(frozen=True, slots=True)
class DocumentFormat:
    """Where the configuration and the endpoints are stored, and how to decode them.

    The functions raise ``DocumentError`` for documents that another program wrote
    there in a different format.
    """

    configuration_table: str
    configuration_key: str
    endpoint_table: str
    decode_configuration: Callable[[bytes], GatewayConfiguration]
    decode_endpoint: Callable[[str, bytes], EndpointEntry]
