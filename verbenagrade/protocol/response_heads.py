"""Decides whether what an HTTP library has read is the head of a final response.

A library that is lenient with responses, as clients on the web have to be, passes heads
on that HTTP forbids and that two readers take for different responses. Endpoints and
the platform have no reason to send them.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["ReceivedHead", "find_head_fault"]

FINAL_STATUSES = range(200, 600)
FIELD_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
MAX_SHOWN = 60
"""Longest part of a head that a fault shows, in bytes."""


@dataclass(frozen=True, slots=True)
class ReceivedHead:
    """The head of a response as a library has read it.

    ``version`` is the major and minor version of HTTP, and ``fields`` are the names
    and values as they were received.
    """

    version: tuple[int, int]
    status: int
    reason: str
    fields: tuple[tuple[bytes, bytes], ...]

    def values(self, name: bytes) -> list[bytes]:
        """Returns the values of all fields with a name, which is in lower case."""
        return [value for field, value in self.fields if field.lower() == name]


def find_head_fault(head: ReceivedHead) -> str:
    """Returns why a head is not that of a final response, empty if it is one.

    See RFC 9110, sections 5 and 15, and RFC 9112, sections 2 to 6.

    >>> length = (b"Content-Length", b"4")
    >>> find_head_fault(ReceivedHead((1, 1), 200, "OK", (length,)))
    ''
    >>> find_head_fault(ReceivedHead((1, 1), 0, "", (length,)))
    'status 000 is not that of a final response'
    """
    return (
        _find_start_fault(head)
        or _find_field_fault(head.fields)
        or _find_framing_fault(head)
    )


def _find_start_fault(head: ReceivedHead) -> str:
    major, minor = head.version
    if major != 1:
        return f"HTTP/{major}.{minor} is not the version that was asked for"
    if head.status not in FINAL_STATUSES:
        return f"status {head.status:03d} is not that of a final response"
    if CONTROL_CHARACTER.search(head.reason.encode("utf-8", "surrogateescape")):
        return f"control character in the reason {head.reason[:MAX_SHOWN]!r}"
    return ""


def _find_field_fault(fields: Iterable[tuple[bytes, bytes]]) -> str:
    for name, value in fields:
        if not FIELD_NAME.fullmatch(name):
            return f"invalid name of a field: {name[:MAX_SHOWN]!r}"
        if CONTROL_CHARACTER.search(value):
            shown = value[:MAX_SHOWN]
            return f"control character in the field {name.decode()}: {shown!r}"
    return ""


def _find_framing_fault(head: ReceivedHead) -> str:
    """Returns why the end of the body can't be told, empty if it can."""
    if len(head.values(b"content-length")) > 1:
        return "several lengths"
    codings = head.values(b"transfer-encoding")
    shown = b", ".join(codings)
    if len(codings) > 1 or shown.strip().lower() not in (b"", b"chunked"):
        return f"unknown transfer coding {shown[:MAX_SHOWN]!r}"
    if shown and head.version < (1, 1):
        return "transfer coding in a version of HTTP that has none"
    return ""
