"""Serves chat completions: one request from admission to its bill."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager

import aiohttp
import msgspec
from aiohttp import web

from verbenagrade.coordination.desk import Admission, Ask, Desk, Used
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import (
    InvalidRequestError,
    UpstreamBrokenError,
    UpstreamUnreachableError,
    VerbenagradeError,
)
from verbenagrade.protocol.chat import (
    ChatRequest,
    EngineRecord,
    EngineState,
    Usage,
    engine_body,
    parse_chunk,
)
from verbenagrade.protocol.problems import encode_problem, problem_of
from verbenagrade.protocol.sse import DONE, data_of, event_of
from verbenagrade.state.catalogue import Catalogue
from verbenagrade.state.outcome import RequestOutcome
from verbenagrade.transport.engines import EndpointClient
from verbenagrade.transport.requests import Caller, key_with_digest

__all__ = ["ChatService"]

HTTP_OK = 200
HTTP_CLIENT_ERRORS = range(400, 500)
RESUME_TRIES = 2
REQUEST_HEADER = "Verbenagrade-Request"


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


class ChatService:
    """Chat completions at one router."""

    def __init__(
        self,
        desk: Desk,
        client: EndpointClient,
        catalogue: Catalogue,
        progress_s: float,
    ) -> None:
        self.desk = desk
        self.client = client
        self.catalogue = catalogue
        self.progress_s = progress_s

    async def serve(
        self, request: web.Request, caller: Caller, asked: ChatRequest
    ) -> web.StreamResponse:
        """Serves a request at the first endpoint that can be reached.

        Raises an error that says what became of it if there is no answer.
        """
        ask = self._ask(caller, asked)
        outcome = RequestOutcome()
        excluded: set[str] = set()
        while True:
            admission = await self.desk.admit(ask, excluded)
            outcome.advance("reserve")
            try:
                return await self._run(request, admission, asked, outcome)
            except UpstreamUnreachableError:
                outcome.advance("withdraw")
                excluded.add(admission.endpoint.name)
                await self._give_up_endpoint(admission)

    def _ask(self, caller: Caller, asked: ChatRequest) -> Ask:
        route = self.catalogue.route(caller.workspace, asked.route)
        pool = self.catalogue.pool(route.pool)
        if not pool.engine:
            raise InvalidRequestError(
                f"{asked.route} is not a model; call it as a service"
            )
        answer = asked.answer_bound or route.default_answer_tokens
        least = asked.answer_bound or route.minimum_answer_tokens
        return Ask(
            request=self.desk.new_request(),
            workspace=caller.workspace_name,
            budget=caller.budget,
            pool=pool,
            tokens=asked.prompt_bound + answer,
            minimum=asked.prompt_bound + min(least, answer),
            key=key_with_digest(caller.key, asked.body),
        )

    async def _give_up_endpoint(self, admission: Admission) -> None:
        if admission.earlier:
            self.desk.withdraw(admission, unreachable=True)
            raise UpstreamBrokenError(
                f"the endpoint {admission.endpoint.name} that ran this request"
                " cannot be reached; retry in a second"
            )
        log_event(Event.ENDPOINT_UNREACHABLE, endpoint=admission.endpoint.name)
        self.desk.withdraw(admission, unreachable=True)

    async def _run(
        self,
        request: web.Request,
        admission: Admission,
        asked: ChatRequest,
        outcome: RequestOutcome,
    ) -> web.StreamResponse:
        outcome.advance("send")
        meter = Meter()
        response = _event_stream(admission)
        try:
            if asked.stream:
                await self._stream(request, response, admission, asked, meter)
            else:
                response = await self._whole(admission, asked, meter)
        except UpstreamUnreachableError:
            raise
        except InvalidRequestError:
            self.desk.withdraw(admission, unreachable=False)
            raise
        except Exception as error:
            await self._bill_broken(admission, meter, outcome)
            return await self._end_visibly(request, response, error)
        self.desk.finish(admission, _used(meter.usage, "answered"))
        outcome.advance("answer")
        return response

    async def _whole(
        self, admission: Admission, asked: ChatRequest, meter: Meter
    ) -> web.Response:
        async with self._open(admission, asked, meter) as upstream:
            body = await upstream.read()
            _check_status(upstream, body)
        try:
            meter.usage = parse_chunk(body).usage or Usage()
        except msgspec.DecodeError as error:
            raise UpstreamBrokenError(f"not a chat answer: {error}") from error
        headers = {REQUEST_HEADER: admission.ask.request}
        return web.Response(body=body, content_type="application/json", headers=headers)

    async def _stream(
        self,
        request: web.Request,
        response: web.StreamResponse,
        admission: Admission,
        asked: ChatRequest,
        meter: Meter,
    ) -> None:
        for tries_left in reversed(range(RESUME_TRIES + 1)):
            try:
                async for data in self._events(admission, asked, meter):
                    if not response.prepared:
                        await response.prepare(request)
                    await self._write(response, event_of(data))
                break
            except UpstreamBrokenError:
                if not tries_left:
                    raise
            except UpstreamUnreachableError as error:
                if not meter.opened:
                    raise
                raise UpstreamBrokenError(str(error)) from error
        await self._write(response, event_of(DONE))
        await response.write_eof()

    async def _events(
        self, admission: Admission, asked: ChatRequest, meter: Meter
    ) -> AsyncIterator[bytes]:
        """Yields the data of events, up to the one that ends the answer."""
        async with self._open(admission, asked, meter) as upstream:
            meter.opened = True
            if upstream.status != HTTP_OK:
                _check_status(upstream, await upstream.read())
            async for line in upstream.content:
                data = data_of(line)
                if data is None:
                    continue
                relayed = meter.count(data) or asked.wants_usage
                if meter.done:
                    return
                if relayed:
                    yield data
        raise UpstreamBrokenError("the endpoint ended its stream half-way; ask again")

    def _open(
        self, admission: Admission, asked: ChatRequest, meter: Meter
    ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        """Opens a new run, or the rest of one that ran before."""
        attempt = admission.reserved.attempt
        base = admission.endpoint.url
        if admission.earlier or meter.opened:
            stream = "true" if asked.stream else "false"
            query = f"after={meter.chunks}&stream={stream}"
            url = f"{base}/v1/requests/{attempt}/resume?{query}"
            return self.client.send("POST", url, b"", attempt)
        answer_tokens = admission.reserved.tokens - asked.prompt_bound
        body = engine_body(asked, answer_tokens)
        return self.client.send("POST", f"{base}/v1/chat/completions", body, attempt)

    async def _write(self, response: web.StreamResponse, data: bytes) -> None:
        """Writes to the caller; one that stops reading is given up."""
        try:
            async with asyncio.timeout(self.progress_s):
                await response.write(data)
        except TimeoutError as error:
            raise ConnectionResetError("the caller stopped reading") from error

    async def _end_visibly(
        self, request: web.Request, response: web.StreamResponse, error: Exception
    ) -> web.StreamResponse:
        """Ends a stream that has begun without its last event.

        Raises the error again if nothing of the answer was sent yet.
        """
        if not response.prepared:
            raise error
        if isinstance(error, VerbenagradeError):
            with contextlib.suppress(ConnectionError):
                problem = encode_problem(problem_of(error))
                await self._write(response, event_of(problem))
        if request.transport is not None:
            request.transport.close()
        return response

    async def _bill_broken(
        self, admission: Admission, meter: Meter, outcome: RequestOutcome
    ) -> None:
        """Bills what the endpoint counted, or else what reached this router."""
        attempt = admission.reserved.attempt
        record = await self.client.close(admission.endpoint.url, attempt)
        outcome.advance("break_off")
        log_event(
            Event.REQUEST_BROKEN, attempt=attempt, endpoint=admission.endpoint.name
        )
        self.desk.finish(admission, _used_when_broken(record, meter.usage))


def _event_stream(admission: Admission) -> web.StreamResponse:
    response = web.StreamResponse()
    response.content_type = "text/event-stream"
    response.headers[REQUEST_HEADER] = admission.ask.request
    return response


def _used(usage: Usage, outcome: str) -> Used:
    return Used(usage.total, usage.prompt_tokens, outcome)


def _used_when_broken(record: EngineRecord | None, seen: Usage) -> Used:
    if record is None or record.state == EngineState.NEVER:
        return _used(seen, "broken")
    return Used(record.total, record.prompt_tokens, "broken")


def _check_status(upstream: aiohttp.ClientResponse, body: bytes) -> None:
    if upstream.status == HTTP_OK:
        return
    text = body[:200].decode(errors="replace")
    if upstream.status in HTTP_CLIENT_ERRORS:
        raise InvalidRequestError(f"the endpoint refused the request: {text}")
    raise UpstreamBrokenError(f"the endpoint failed with {upstream.status}: {text}")
