"""Serves chat completions: one request from admission to its bill."""

import asyncio
import contextlib
import hashlib
from dataclasses import dataclass

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
class Run:
    """One request on its way through the endpoints that it is tried on."""

    asked: ChatRequest
    outcome: RequestOutcome
    digest: str
    quarantined: bool


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
        names = {endpoint.name for endpoint in ask.pool.endpoints}
        left = set(names)
        while True:
            alone_on = await self.quarantine.admit(digest, sorted(left))
            if not alone_on:
                return await self._serve(request, ask, asked, digest, frozenset())
            others = frozenset(names - {alone_on})
            try:
                return await self._serve_alone(
                    request, ask, asked, digest, alone_on, others
                )
            except UpstreamUnreachableError:
                left.discard(alone_on)

    async def _serve_alone(
        self,
        request: web.Request,
        ask: Ask,
        asked: ChatRequest,
        digest: str,
        endpoint: str,
        others: frozenset[str],
    ) -> web.StreamResponse:
        """Serves a suspected request on an endpoint that runs no other one."""
        succeeded = False
        try:
            response = await self._serve(request, ask, asked, digest, others)
            succeeded = self.quarantine.record.verdict(digest) is Verdict.SUSPECTED
            return response
        finally:
            await self.quarantine.ended(digest, endpoint, succeeded)

    async def _serve(
        self,
        request: web.Request,
        ask: Ask,
        asked: ChatRequest,
        digest: str,
        barred: frozenset[str],
    ) -> web.StreamResponse:
        outcome = RequestOutcome()
        excluded = set(barred)
        while True:
            admission = await self.desk.admit(ask, excluded)
            outcome.advance("reserve")
            try:
                return await self._run(
                    request, admission, Run(asked, outcome, digest, bool(barred))
                )
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
        self,
        request: web.Request,
        admission: Admission,
        run: Run,
    ) -> web.StreamResponse:
        asked, outcome = run.asked, run.outcome
        outcome.advance("send")
        answer = EngineAnswer(self.client, admission, asked)
        response = _event_stream(admission)
        try:
            if asked.stream:
                await self._stream(request, response, answer)
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
            await self._bill_broken(admission, answer.meter.usage, run, error)
            return await self._end_visibly(request, response, error)
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
        self, admission: Admission, seen: Usage, run: Run, error: Exception
    ) -> None:
        """Bills what the endpoint counted, or else what reached this router."""
        attempt = admission.reserved.attempt
        name = admission.endpoint.name
        record = await self.client.close(admission.endpoint.url, attempt)
        run.outcome.advance("break_off")
        if _is_crash(record, error):
            await self.quarantine.crashed(run.digest, name, run.quarantined)
        log_event(
            Event.REQUEST_BROKEN, attempt=attempt, endpoint=admission.endpoint.name
        )
        self.desk.finish(admission, _used_when_broken(record, seen))


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
