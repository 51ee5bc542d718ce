"""Serves chat completions, from the admission of a request to its bill."""

import asyncio
import contextlib
import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, replace

from aiohttp import web

from verbenagrade.coordination.admission_controller import (
    Admission,
    AdmissionController,
    AdmissionRequest,
    AttemptUsage,
)
from verbenagrade.coordination.quarantine import Quarantine
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import (
    InvalidRequestError,
    UpstreamAttemptLostError,
    UpstreamFailedError,
    UpstreamTimeoutError,
    UpstreamUnreachableError,
    VerbenagradeError,
)
from verbenagrade.protocol.chat import (
    ChatRequest,
    EngineRecord,
    EngineState,
    Usage,
)
from verbenagrade.protocol.problems import encode_problem, problem_from_error
from verbenagrade.protocol.sse import DONE, encode_event
from verbenagrade.state.catalogue import Catalogue
from verbenagrade.state.outcome import RequestOutcome
from verbenagrade.state.poison import Verdict
from verbenagrade.transport.endpoint_client import EndpointClient
from verbenagrade.transport.engine_response import EngineResponse
from verbenagrade.transport.requests import Caller, key_with_digest
from verbenagrade.transport.service_response import may_keep

__all__ = ["ChatService"]

MAX_RESUMPTIONS = 2
REQUEST_ID_HEADER = "Verbenagrade-Request"


@dataclass(frozen=True, slots=True)
class ChatCall:
    """A caller's request with its token estimate and its digest.

    ``quarantine_endpoint`` is the endpoint that a suspected request has to run
    on, empty for other requests.
    """

    request: web.Request
    admission_request: AdmissionRequest
    chat_request: ChatRequest
    digest: str
    quarantine_endpoint: str = ""


class ChatService:
    """Serves chat completions on one router.

    ``progress_s`` is the longest time, in seconds, that a write to a caller may take.
    """

    def __init__(
        self,
        admission_controller: AdmissionController,
        client: EndpointClient,
        catalogue: Catalogue,
        quarantine: Quarantine,
        progress_s: float,
    ) -> None:
        self.admission_controller = admission_controller
        self.quarantine = quarantine
        self.client = client
        self.catalogue = catalogue
        self.progress_s = progress_s

    async def serve(
        self, request: web.Request, caller: Caller, chat_request: ChatRequest
    ) -> web.StreamResponse:
        """Serves a request on the first endpoint that can be reached.

        A suspected request runs in quarantine. Raises an error that states
        whether the request may have run if there is no response.
        """
        admission_request = self._admission_request(caller, chat_request)
        digest = hashlib.sha256(chat_request.body).hexdigest()
        call = ChatCall(request, admission_request, chat_request, digest)
        endpoint_names = {
            endpoint.name for endpoint in admission_request.pool.endpoints
        }
        remaining = set(endpoint_names)
        while True:
            quarantine_endpoint = await self.quarantine.admit(digest, sorted(remaining))
            if not quarantine_endpoint:
                return await self._serve(call, frozenset())
            quarantined = replace(call, quarantine_endpoint=quarantine_endpoint)
            try:
                return await self._serve_quarantined(
                    quarantined, endpoint_names - {quarantine_endpoint}
                )
            except UpstreamUnreachableError:
                remaining.discard(quarantine_endpoint)

    async def _serve_quarantined(
        self, call: ChatCall, excluded: Iterable[str]
    ) -> web.StreamResponse:
        """Serves a suspected request on its quarantine endpoint."""
        succeeded = False
        try:
            response = await self._serve(call, excluded)
            verdict = self.quarantine.record.verdict(call.digest)
            succeeded = verdict is Verdict.SUSPECTED
            return response
        finally:
            await self.quarantine.report_run_end(
                call.digest, call.quarantine_endpoint, succeeded
            )

    async def _serve(
        self, call: ChatCall, unusable: Iterable[str]
    ) -> web.StreamResponse:
        """Tries endpoints, except the unusable ones, until one accepts the request."""
        outcome = RequestOutcome()
        excluded = set(unusable)
        while True:
            admission = await self.admission_controller.admit(
                call.admission_request, excluded
            )
            outcome.advance("reserve")
            try:
                return await self._run(call, admission, outcome)
            except UpstreamAttemptLostError:
                outcome.advance("withdraw")
                await self._release_lost_attempt(admission)
            except UpstreamUnreachableError:
                outcome.advance("withdraw")
                excluded.add(admission.endpoint.name)
                await self._withdraw_unreachable(admission)

    def _admission_request(
        self, caller: Caller, chat_request: ChatRequest
    ) -> AdmissionRequest:
        route = self.catalogue.route(caller.workspace, chat_request.route)
        pool = self.catalogue.pool(route.pool)
        if not pool.engine:
            raise InvalidRequestError(
                f"{chat_request.route} is not a model; call it as a service"
            )
        completion_tokens = chat_request.completion_bound or route.default_answer_tokens
        minimum_tokens = chat_request.completion_bound or route.minimum_answer_tokens
        return AdmissionRequest(
            request=self.admission_controller.new_request(),
            workspace=caller.workspace_name,
            budget=caller.budget,
            pool=pool,
            tokens=chat_request.prompt_bound + completion_tokens,
            minimum=chat_request.prompt_bound + min(minimum_tokens, completion_tokens),
            key=key_with_digest(caller.key, chat_request.body),
        )

    async def _release_lost_attempt(self, admission: Admission) -> None:
        """Closes an earlier attempt that the endpoint has lost, to allow a new one.

        Raises ``UpstreamFailedError`` unless the endpoint confirms that the
        attempt never ran.
        """
        attempt = admission.reserved.attempt
        record = await self.client.close(admission.endpoint.url, attempt)
        if record is None or record.state != EngineState.NEVER_RAN:
            self.admission_controller.withdraw(admission, unreachable=False)
            raise UpstreamFailedError(
                f"the endpoint {admission.endpoint.name} cannot report the outcome of"
                " this request; retry in a second"
            )
        await self.admission_controller.release_unknown(admission)

    async def _withdraw_unreachable(self, admission: Admission) -> None:
        if admission.is_resumed:
            self.admission_controller.withdraw(admission, unreachable=True)
            raise UpstreamFailedError(
                f"the endpoint {admission.endpoint.name} that ran this request"
                " cannot be reached; retry in a second"
            )
        log_event(Event.ENDPOINT_UNREACHABLE, endpoint=admission.endpoint.name)
        self.admission_controller.withdraw(admission, unreachable=True)

    async def _run(
        self, call: ChatCall, admission: Admission, outcome: RequestOutcome
    ) -> web.StreamResponse:
        """Runs one attempt and bills it, unless the endpoint did not run it."""
        outcome.advance("send")
        engine_response = EngineResponse(self.client, admission, call.chat_request)
        response = _event_stream_response(admission)
        try:
            if call.chat_request.stream:
                await self._stream(call.request, response, engine_response)
            else:
                response = await self._respond_complete(call.request, engine_response)
        except UpstreamUnreachableError:
            raise
        except Exception as error:
            if not response.prepared and isinstance(error, InvalidRequestError):
                self.admission_controller.withdraw(admission, unreachable=False)
                raise
            if _earlier_attempt_lost(admission, response, error):
                raise
            outcome.advance("break_off")
            await self._bill_failed(call, engine_response, error)
            return await self._abort_response(call.request, response, error)
        self.admission_controller.finish(
            admission, _usage(engine_response.meter.usage, "answered")
        )
        outcome.advance("answer")
        return response

    async def _respond_complete(
        self, request: web.Request, engine_response: EngineResponse
    ) -> web.Response:
        body = await engine_response.read_complete(
            lambda size_bytes: may_keep(request, size_bytes)
        )
        headers = {
            REQUEST_ID_HEADER: engine_response.admission.admission_request.request
        }
        return web.Response(body=body, content_type="application/json", headers=headers)

    async def _stream(
        self,
        request: web.Request,
        response: web.StreamResponse,
        engine_response: EngineResponse,
    ) -> None:
        for attempts_left in reversed(range(MAX_RESUMPTIONS + 1)):
            try:
                async for data in engine_response.events():
                    if not response.prepared:
                        await response.prepare(request)
                    await self._write(response, encode_event(data))
                break
            except UpstreamFailedError:
                if not attempts_left:
                    raise
            except UpstreamUnreachableError as error:
                if not engine_response.meter.opened:
                    raise
                raise UpstreamFailedError(str(error)) from error
        await self._write(response, encode_event(DONE))
        await response.write_eof()

    async def _write(self, response: web.StreamResponse, data: bytes) -> None:
        """Writes to the caller.

        Raises ``ConnectionResetError`` after ``progress_s`` seconds without progress.
        """
        try:
            async with asyncio.timeout(self.progress_s):
                await response.write(data)
        except TimeoutError as error:
            raise ConnectionResetError("the caller stopped reading") from error

    async def _abort_response(
        self, request: web.Request, response: web.StreamResponse, error: Exception
    ) -> web.StreamResponse:
        """Ends a started stream with a problem event and without its last event.

        Raises the error again if no part of the response was sent yet.
        """
        if not response.prepared:
            raise error
        if isinstance(error, VerbenagradeError):
            with contextlib.suppress(ConnectionError):
                problem = encode_problem(problem_from_error(error))
                await self._write(response, encode_event(problem))
        if request.transport is not None:
            request.transport.close()
        return response

    async def _bill_failed(
        self, call: ChatCall, engine_response: EngineResponse, error: Exception
    ) -> None:
        """Bills the tokens that the endpoint counted, or else those received here.

        Also reports the request to the quarantine if the endpoint crashed.
        """
        admission = engine_response.admission
        attempt, name = admission.reserved.attempt, admission.endpoint.name
        record = await self.client.close(admission.endpoint.url, attempt)
        if _is_crash(record, error):
            await self.quarantine.report_crash(
                call.digest, name, bool(call.quarantine_endpoint)
            )
        log_event(Event.REQUEST_BROKEN, attempt=attempt, endpoint=name)
        self.admission_controller.finish(
            admission, _usage_when_failed(record, engine_response.meter.usage)
        )


def _earlier_attempt_lost(
    admission: Admission, response: web.StreamResponse, error: Exception
) -> bool:
    """Returns whether the endpoint lost an earlier attempt before any data was sent."""
    attempt_lost = isinstance(error, UpstreamAttemptLostError)
    return attempt_lost and admission.is_resumed and not response.prepared


def _is_crash(record: EngineRecord | None, error: Exception) -> bool:
    """Returns whether the endpoint crashed, or restarted, while it ran a request."""
    if isinstance(error, UpstreamTimeoutError):
        return False
    if not isinstance(error, UpstreamFailedError):
        return False
    return record is None or record.state == EngineState.NEVER_RAN


def _event_stream_response(admission: Admission) -> web.StreamResponse:
    response = web.StreamResponse()
    response.content_type = "text/event-stream"
    response.headers[REQUEST_ID_HEADER] = admission.admission_request.request
    return response


def _usage(usage: Usage, outcome: str) -> AttemptUsage:
    return AttemptUsage(usage.total, usage.prompt_tokens, outcome)


def _usage_when_failed(record: EngineRecord | None, received: Usage) -> AttemptUsage:
    if record is None or record.state == EngineState.NEVER_RAN:
        return _usage(received, "broken")
    return AttemptUsage(record.total, record.prompt_tokens, "broken")
