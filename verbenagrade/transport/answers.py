"""One attempt at an engine, as its answer comes in."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager

import aiohttp
import msgspec

from verbenagrade.coordination.desk import Admission
from verbenagrade.exceptions import (
    InvalidRequestError,
    UpstreamBrokenError,
    UpstreamForgotError,
)
from verbenagrade.protocol.chat import ChatRequest, Usage, engine_body, parse_chunk
from verbenagrade.protocol.sse import DONE, data_of
from verbenagrade.transport.engines import EndpointClient

__all__ = ["EngineAnswer"]

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CLIENT_ERRORS = range(400, 500)


class Meter:
    """Counts what an attempt used, as far as its stream has shown."""

    def __init__(self) -> None:
        self.usage = Usage()
        self.chunks = 0
        self.opened = False
        self.done = False

    def count(self, data: bytes) -> bool:
        """Counts one event; returns whether it carries an answer's chunk."""
        if data == DONE:
            self.done = True
            return True
        chunk = parse_chunk(data)
        if chunk.usage is not None:
            self.usage = chunk.usage
        if chunk.choices:
            self.chunks += 1
        return bool(chunk.choices)


class EngineAnswer:
    """The answer of one attempt; ``meter`` shows how far it has come."""

    def __init__(
        self, client: EndpointClient, admission: Admission, asked: ChatRequest
    ) -> None:
        self.client = client
        self.admission = admission
        self.asked = asked
        self.meter = Meter()

    @property
    def resumes(self) -> bool:
        """Whether the next call goes on with a run that began before."""
        return self.admission.earlier or self.meter.opened

    async def whole(self) -> bytes:
        """Returns an answer that is not streamed."""
        resumes = self.resumes
        async with self._open() as upstream:
            body = await upstream.read()
            _check_status(upstream, body, resumes)
        try:
            self.meter.usage = parse_chunk(body).usage or Usage()
        except msgspec.DecodeError as error:
            raise UpstreamBrokenError(f"not a chat answer: {error}") from error
        return body

    async def events(self) -> AsyncIterator[bytes]:
        """Yields the data of events, up to the one that ends the answer."""
        resumes = self.resumes
        async with self._open() as upstream:
            self.meter.opened = True
            if upstream.status != HTTP_OK:
                _check_status(upstream, await upstream.read(), resumes)
            async for line in upstream.content:
                data = data_of(line)
                if data is None:
                    continue
                relayed = self.meter.count(data) or self.asked.wants_usage
                if self.meter.done:
                    return
                if relayed:
                    yield data
        raise UpstreamBrokenError("the endpoint ended its stream half-way; ask again")

    def _open(
        self,
    ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        """Opens a new run, or the rest of one that ran before."""
        attempt = self.admission.reserved.attempt
        base = self.admission.endpoint.url
        if self.resumes:
            stream = "true" if self.asked.stream else "false"
            query = f"after={self.meter.chunks}&stream={stream}"
            url = f"{base}/v1/requests/{attempt}/resume?{query}"
            return self.client.send("POST", url, b"", attempt)
        answer_tokens = self.admission.reserved.tokens - self.asked.prompt_bound
        body = engine_body(self.asked, answer_tokens)
        return self.client.send("POST", f"{base}/v1/chat/completions", body, attempt)


def _check_status(upstream: aiohttp.ClientResponse, body: bytes, resumes: bool) -> None:
    if upstream.status == HTTP_OK:
        return
    text = body[:200].decode(errors="replace")
    if upstream.status == HTTP_NOT_FOUND and resumes:
        raise UpstreamForgotError("the endpoint has lost the answer; ask again")
    if upstream.status in HTTP_CLIENT_ERRORS:
        raise InvalidRequestError(f"the endpoint refused the request: {text}")
    raise UpstreamBrokenError(f"the endpoint failed with {upstream.status}: {text}")
