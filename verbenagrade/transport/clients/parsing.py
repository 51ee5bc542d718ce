"""Creates the library's parser of requests, which reads no request ahead."""

import asyncio

from aiohttp import web
from aiohttp.http import HttpRequestParser

__all__ = ["MAX_LINE_BYTES", "make_parser"]

MAX_LINE_BYTES = 65_536
"""Longest request line or field that the parser accepts, in bytes; configurations set
lower limits."""

MAX_FIELDS = MAX_LINE_BYTES // len("a:\r\n")
"""Most fields of a head, if each is as small as possible."""

BUFFER_BYTES = 65_536
"""Size of the library's own buffer for a body, in bytes. It is more than a piece, since
the library would otherwise stop the parser in the middle of a piece."""


def make_parser(
    connection: web.RequestHandler, loop: asyncio.AbstractEventLoop
) -> HttpRequestParser:
    """Returns the parser for a connection."""
    return HttpRequestParser(
        connection,
        loop,
        BUFFER_BYTES,
        max_line_size=MAX_LINE_BYTES,
        max_field_size=MAX_LINE_BYTES,
        max_headers=MAX_FIELDS,
        payload_exception=web.RequestPayloadError,
        auto_decompress=False,
        max_msg_queue_size=1,
    )
