"""Serves chat completions: one request from admission to its bill."""

import asyncio
import contextlib
import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, replace

from aiohttp import web

from verbenagrade.coordination.desk import Admission, Ask, Desk, Used
from verbenagrade.coordination.quarantine import Quarantine
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import (
    InvalidRequestError,
    UpstreamBrokenError,
    UpstreamForgotError,
    UpstreamSilentError,
    UpstreamUnreachableError,
    VerbenagradeError,
)
from verbenagrade.protocol.chat import (
    ChatRequest,
    EngineRecord,
    EngineState,
    Usage,
)
from verbenagrade.protocol.problems import encode_problem, problem_of
from verbenagrade.protocol.sse import DONE, event_of
from verbenagrade.state.catalogue import Catalogue
from verbenagrade.state.outcome import RequestOutcome
from verbenagrade.state.poison import Verdict
from verbenagrade.transport.answers import EngineAnswer
from verbenagrade.transport.engines import EndpointClient
from verbenagrade.transport.requests import Caller, key_with_digest

__all__ = ["ChatService"]

RESUME_TRIES = 2
REQUEST_HEADER = "Verbenagrade-Request"


@dataclass(frozen=True, slots=True)
class ChatCall:
    """One caller's request, and the endpoint that it has to run alone on, if any."""

    request: web.Request
    ask: Ask
    asked: ChatRequest
    digest: str
    alone_on: str = ""


class ChatService:
    """Chat completions at one router."""

    def __init__(
        self,
        desk: Desk,
        client: EndpointClient,
        catalogue: Catalogue,
        quarantine: Quarantine,
        progress_s: float,
    ) -> None:
        self.desk = desk
        self.quarantine = quarantine
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
        digest = hashlib.sha256(asked.body).hexdigest()
        call = ChatCall(request, ask, asked, digest)
        names = {endpoint.name for endpoint in ask.pool.endpoints}
        left = set(names)
        while True:
            alone_on = await self.quarantine.admit(digest, sorted(left))
            if not alone_on:
                return await self._serve(call, frozenset())
            alone = replace(call, alone_on=alone_on)
            try:
                return await self._serve_alone(alone, names - {alone_on})
            except UpstreamUnreachableError:
                left.discard(alone_on)

    async def _serve_alone(
        self, call: ChatCall, others: Iterable[str]
    ) -> web.StreamResponse:
        """Serves a suspected request on an endpoint that runs no other one."""
        succeeded = False
        try:
            response = await self._serve(call, others)
            verdict = self.quarantine.record.verdict(call.digest)
            succeeded = verdict is Verdict.SUSPECTED
            return response
        finally:
            await self.quarantine.ended(call.digest, call.alone_on, succeeded)

    async def _serve(self, call: ChatCall, barred: Iterable[str]) -> web.StreamResponse:
        """Tries endpoints until one takes the request, but for the barred ones."""
        outcome = RequestOutcome()
        excluded = set(barred)
        while True:
            admission = await self.desk.admit(call.ask, excluded)
            outcome.advance("reserve")
            try:
                return await self._run(call, admission, outcome)
            except UpstreamForgotError:
                outcome.advance("withdraw")
                await self._start_anew(admission)
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

    async def _start_anew(self, admission: Admission) -> None:
        """Bars an earlier attempt that left no trace, so that another may run."""
        attempt = admission.reserved.attempt
        record = await self.client.close(admission.endpoint.url, attempt)
        if record is None or record.state != EngineState.NEVER:
            self.desk.withdraw(admission, unreachable=False)
            raise UpstreamBrokenError(
                f"the endpoint {admission.endpoint.name} can't tell what became of"
                " this request; retry in a second"
            )
        await self.desk.disown(admission)

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
        self, call: ChatCall, admission: Admission, outcome: RequestOutcome
    ) -> web.StreamResponse:
        """Runs one attempt and bills it, however it ends."""
        outcome.advance("send")
        answer = EngineAnswer(self.client, admission, call.asked)
        response = _event_stream(admission)
        try:
            if call.asked.stream:
                await self._stream(call.request, response, answer)
            else:
                response = await self._whole(answer)
        except UpstreamUnreachableError:
            raise
        except Exception as error:
            if not response.prepared and isinstance(error, InvalidRequestError):
                self.desk.withdraw(admission, unreachable=False)
                raise
            if _is_lost_earlier(admission, response, error):
                raise
            outcome.advance("break_off")
            await self._bill_broken(call, answer, error)
            return await self._end_visibly(call.request, response, error)
        self.desk.finish(admission, _used(answer.meter.usage, "answered"))
        outcome.advance("answer")
        return response

    async def _whole(self, answer: EngineAnswer) -> web.Response:
        body = await answer.whole()
        headers = {REQUEST_HEADER: answer.admission.ask.request}
        return web.Response(body=body, content_type="application/json", headers=headers)

    async def _stream(
        self,
        request: web.Request,
        response: web.StreamResponse,
        answer: EngineAnswer,
    ) -> None:
        for tries_left in reversed(range(RESUME_TRIES + 1)):
            try:
                async for data in answer.events():
                    if not response.prepared:
                        await response.prepare(request)
                    await self._write(response, event_of(data))
                break
            except UpstreamBrokenError:
                if not tries_left:
                    raise
            except UpstreamUnreachableError as error:
                if not answer.meter.opened:
                    raise
                raise UpstreamBrokenError(str(error)) from error
        await self._write(response, event_of(DONE))
        await response.write_eof()

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
        self, call: ChatCall, answer: EngineAnswer, error: Exception
    ) -> None:
        """Bills what the endpoint counted, or else what reached this router."""
        admission = answer.admission
        attempt, name = admission.reserved.attempt, admission.endpoint.name
        record = await self.client.close(admission.endpoint.url, attempt)
        if _is_crash(record, error):
            await self.quarantine.crashed(call.digest, name, bool(call.alone_on))
        log_event(Event.REQUEST_BROKEN, attempt=attempt, endpoint=name)
        self.desk.finish(admission, _used_when_broken(record, answer.meter.usage))


def _is_lost_earlier(
    admission: Admission, response: web.StreamResponse, error: Exception
) -> bool:
    """Returns whether an earlier attempt's answer is gone before any was sent."""
    forgot = isinstance(error, UpstreamForgotError)
    return forgot and admission.earlier and not response.prepared


def _is_crash(record: EngineRecord | None, error: Exception) -> bool:
    """Returns whether an endpoint fell, or lost its memory, under a request."""
    if isinstance(error, UpstreamSilentError):
        return False
    if not isinstance(error, UpstreamBrokenError):
        return False
    return record is None or record.state == EngineState.NEVER


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
