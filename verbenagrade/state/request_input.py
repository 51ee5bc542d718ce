r"""Counts what a connection has received of its request, and of the next one.

The parser is given one piece after the other. It stops at the end of a request and may
hold the rest of the last piece; how much that is, it does not tell.

>>> received = RequestInput()
>>> received.add_piece(b"GET / HTTP/1.1\r\nHost: x\r\n")
>>> cost_bytes = received.count_head()
>>> received.head_bytes, received.head_lines
(25, 2)
"""

__all__ = ["RequestInput"]

HEAD_END = b"\r\n\r\n"
MIN_FIELD_BYTES = len("a:\r\n")
"""Size of the smallest field of a head, in bytes."""

FIELD_BYTES = 700
"""Memory that a field of a head takes beyond its text, in the parser and in the copies
that are passed on, in bytes."""

LINE_BYTES = 100
"""Memory that a chunk of a body takes until it is read, beyond its data, in bytes."""

MAX_OVERHEAD_BYTES = 65_536
"""Bytes between two bytes of a body, in the lines of its chunks or after it."""


class RequestInput:
    """The bytes and lines of the last piece, of a head that arrives, and of a request.

    ``has_rest`` tells that the parser may hold the rest of the last piece, and
    ``rest_may_be_head`` that it may be a part of a head and not only whole requests.
    """

    def __init__(self) -> None:
        self.piece_bytes = self.piece_lines = 0
        self.head_bytes = self.head_lines = 0
        self.request_bytes = 0
        self.overhead_bytes = self.overhead_lines = 0
        self.is_chunked = False
        self.has_rest = False
        self.rest_may_be_head = True

    def add_piece(self, data: bytes) -> None:
        """Notes the next piece for the parser."""
        self.piece_bytes, self.piece_lines = len(data), data.count(b"\n")
        self.rest_may_be_head = True

    def count_head(self) -> int:
        """Counts a piece as a part of a head; returns the memory that it may take."""
        if self.rest_may_be_head:
            self.head_bytes += self.piece_bytes
            self.head_lines += self.piece_lines
        return self.piece_bytes + self.piece_lines * FIELD_BYTES

    def count_body(self) -> int:
        """Returns the memory that a piece of a body may take, in bytes."""
        return self.piece_bytes + self.piece_lines * LINE_BYTES

    def begin_request(self, fields: int, is_chunked: bool) -> None:
        """Notes that a head is complete, which has so many fields."""
        self.request_bytes = self.head_bytes + fields * FIELD_BYTES
        self.head_bytes = self.head_lines = 0
        self.overhead_bytes = self.overhead_lines = 0
        self.is_chunked = is_chunked

    def end_request(self) -> None:
        """Notes that a request was served."""
        self.request_bytes = 0

    def note_rest(self, data: bytes, body_bytes: int, begins_head: bool) -> None:
        """Notes whether a part of a piece may belong to the next request.

        ``body_bytes`` of it are the end of a body, before which there is a whole head
        if the piece ``begins_head``.
        """
        rest_bytes = len(data)
        if not self.is_chunked:
            rest_bytes -= body_bytes
        if begins_head:
            rest_bytes -= data.find(HEAD_END) + len(HEAD_END)
        self.has_rest = rest_bytes > 0
        self.rest_may_be_head = not data.endswith(HEAD_END)

    def has_too_large_head(self, limit_bytes: int, max_bytes: int) -> bool:
        """Returns whether a head that arrives can't be inside a limit any more.

        ``max_bytes`` may have arrived with it, and as many fields as fit into
        ``limit_bytes``.
        """
        if self.head_bytes > max_bytes:
            return True
        return self.head_lines > limit_bytes // MIN_FIELD_BYTES

    def has_too_much_overhead(self, grown: bool) -> bool:
        """Counts a piece of a body that has ``grown`` with it, or not.

        Returns whether too much has arrived since it grew.
        """
        if grown:
            self.overhead_bytes = self.overhead_lines = 0
        else:
            self.overhead_bytes += self.piece_bytes
            self.overhead_lines += self.piece_lines
        return self.overhead_bytes > MAX_OVERHEAD_BYTES

    def held_bytes(self, is_serving: bool) -> int:
        """Returns the memory that the request or the arriving head takes, in bytes."""
        if is_serving:
            # The lines may be trailers, which the parser keeps as it does fields.
            overhead_bytes = self.overhead_bytes + self.overhead_lines * FIELD_BYTES
            piece_bytes = self.piece_lines * LINE_BYTES
            return self.request_bytes + overhead_bytes + piece_bytes
        return self.head_bytes + self.head_lines * FIELD_BYTES
