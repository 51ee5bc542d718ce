"""Reads the response of an engine for one attempt and counts its tokens."""

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager

import aiohttp

from verbenagrade.coordination.admission_controller import Admission
from verbenagrade.exceptions import (
    InvalidRequestError,
    UndecodableError,
    UpstreamAttemptLostError,
    UpstreamFailedError,
)
from verbenagrade.protocol.chat import (
    ChatRequest,
    Usage,
    encode_engine_request,
    parse_chunk,
)
from verbenagrade.protocol.sse import DONE, parse_data_line
from verbenagrade.transport.checked_responses import read_body, read_parts
from verbenagrade.transport.endpoint_client import EndpointClient

__all__ = ["EngineResponse"]

MAX_COMPLETION_BYTES = 8_388_608
MAX_PROBLEM_BYTES = 65_536
"""Largest size of a response that is not streamed, and of one that reports an error,
in bytes."""

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CLIENT_ERRORS = range(400, 500)


class UsageMeter:
    """Counts the tokens of an attempt, as reported in its stream so far.

    ``opened`` is set once the stream has begun, ``done`` by its last event.
    """

    def __init__(self) -> None:
        self.usage = Usage()
        self.chunks = 0
        self.opened = False
        self.done = False

    def count(self, data: bytes) -> bool:
        """Counts one event; returns whether it is to be passed on to every caller.

        A chunk that only reports usage is for callers that asked for it. Raises
        ``UpstreamFailedError`` if the event is no chunk.
        """
        if data == DONE:
            self.done = True
            return True
        try:
            chunk = parse_chunk(data)
        except UndecodableError as error:
            raise UpstreamFailedError(f"invalid event of a stream: {error}") from error
        if chunk.usage is not None:
            self.usage = chunk.usage
        if chunk.choices:
            self.chunks += 1
        return bool(chunk.choices)


class EngineResponse:
    """The response of an engine to one attempt; ``meter`` holds its progress."""

    def __init__(
        self, client: EndpointClient, admission: Admission, chat_request: ChatRequest
    ) -> None:
        self.client = client
        self.admission = admission
        self.chat_request = chat_request
        self.meter = UsageMeter()

    @property
    def resumes(self) -> bool:
        """Whether the next request resumes an attempt that has already started."""
        return self.admission.is_resumed or self.meter.opened

    async def read_complete(self, may_keep: Callable[[int], bool]) -> bytes:
        """Returns the complete body of a response that is not streamed.

        ``may_keep`` returns whether there is room for a body of so many bytes. Raises
        ``UpstreamFailedError`` if there is none, or if it is not a chat completion.
        """
        resumes = self.resumes
        async with self._open() as upstream:
            await _check_status(upstream, resumes)
            body = bytearray()
            async for data in read_parts(upstream, MAX_COMPLETION_BYTES):
                body += data
                if not may_keep(len(body)):
                    raise UpstreamFailedError(
                        "too little memory for the completion; retry in a second"
                    )
        try:
            self.meter.usage = parse_chunk(bytes(body)).usage or Usage()
        except UndecodableError as error:
            raise UpstreamFailedError(f"invalid chat completion: {error}") from error
        return bytes(body)

    async def events(self) -> AsyncIterator[bytes]:
        """Yields the data of events before the one that ends the stream.

        Raises ``UpstreamFailedError`` if the stream ends without that event.
        """
        resumes = self.resumes
        async with self._open() as upstream:
            self.meter.opened = True
            await _check_status(upstream, resumes)
            async for line in upstream.content:
                data = parse_data_line(line)
                if data is None:
                    continue
                relayed = self.meter.count(data) or self.chat_request.wants_usage
                if self.meter.done:
                    return
                if relayed:
                    yield data
        raise UpstreamFailedError("the endpoint ended its stream early; retry")

    def _open(
        self,
    ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        """Starts the attempt, or requests the rest of one that has started."""
        attempt = self.admission.reserved.attempt
        base = self.admission.endpoint.url
        if self.resumes:
            stream = "true" if self.chat_request.stream else "false"
            query = f"after={self.meter.chunks}&stream={stream}"
            url = f"{base}/v1/requests/{attempt}/resume?{query}"
            return self.client.send("POST", url, b"", attempt)
        completion_tokens = (
            self.admission.reserved.tokens - self.chat_request.prompt_bound
        )
        body = encode_engine_request(self.chat_request, completion_tokens)
        return self.client.send("POST", f"{base}/v1/chat/completions", body, attempt)


async def _check_status(upstream: aiohttp.ClientResponse, resumes: bool) -> None:
    if upstream.status == HTTP_OK:
        return
    body = await read_body(upstream, MAX_PROBLEM_BYTES)
    text = body[:200].decode(errors="replace")
    if upstream.status == HTTP_NOT_FOUND and resumes:
        raise UpstreamAttemptLostError("the endpoint no longer has the response; retry")
    if upstream.status in HTTP_CLIENT_ERRORS:
        raise InvalidRequestError(f"the endpoint rejected the request: {text}")
    raise UpstreamFailedError(f"the endpoint returned status {upstream.status}: {text}")
