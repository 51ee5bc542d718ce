"""How the body of an endpoint's response ends."""

from enum import StrEnum

__all__ = ["Framing"]


class Framing(StrEnum):
    """What shows the end of a body.

    ``LENGTH``: its length, which is told before. ``CHUNKS``: the last chunk.
    ``CONNECTION``: nothing but the end of the connection.
    """

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"
