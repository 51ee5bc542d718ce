"""Forwards requests to plain services, which are those without an engine."""

import hashlib
from dataclasses import dataclass, replace

from aiohttp import web

from verbenagrade.coordination.admission_controller import (
    Admission,
    AdmissionController,
    AdmissionRequest,
    AttemptUsage,
)
from verbenagrade.coordination.claims import (
    Claim,
    ClaimState,
    claim_key,
    finish_claim,
    get_or_create_claim,
    withdraw_claim,
)
from verbenagrade.coordination.ports import Table
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import (
    InvalidRequestError,
    PlatformError,
    UnavailableError,
    UpstreamFailedError,
    UpstreamUnreachableError,
)
from verbenagrade.state.catalogue import Catalogue
from verbenagrade.state.outcome import RequestOutcome
from verbenagrade.transport.background import BackgroundTasks
from verbenagrade.transport.endpoint_client import EndpointClient
from verbenagrade.transport.requests import Caller
from verbenagrade.transport.sends import SentRequest
from verbenagrade.transport.service_response import (
    MAX_STORED_RESPONSE_BYTES,
    ServiceResponse,
)

__all__ = ["ServiceCall", "ServiceProxy"]

REQUEST_ID_HEADER = "Verbenagrade-Request"


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A request to a plain service."""

    request: web.Request
    route: str
    method: str
    path: str
    content_type: str
    body: bytes


class ServiceProxy:
    """Forwards calls of one router to plain services.

    ``progress_s`` is the longest time, in seconds, that a write to a caller may take.
    """

    def __init__(
        self,
        admission_controller: AdmissionController,
        client: EndpointClient,
        catalogue: Catalogue,
        table: Table,
        background: BackgroundTasks,
        progress_s: float,
    ) -> None:
        self.progress_s = progress_s
        self.admission_controller = admission_controller
        self.client = client
        self.catalogue = catalogue
        self.table = table
        self.background = background

    async def serve(self, caller: Caller, call: ServiceCall) -> web.StreamResponse:
        """Forwards a call to an endpoint of its route.

        A call that is not idempotent runs at most once, also if the caller retries
        it with the same idempotency key.

        Raises an error that states whether the call may have run if there is no
        response.
        """
        admission_request = self._admission_request(caller, call)
        outcome = RequestOutcome()
        excluded: set[str] = set()
        while True:
            admission = await self.admission_controller.admit(
                admission_request, excluded
            )
            outcome.advance("reserve")
            try:
                return await self._run_claimed(caller, call, admission, outcome)
            except UpstreamUnreachableError:
                outcome.advance("withdraw")
                self.admission_controller.withdraw(admission, unreachable=True)
                excluded.add(admission.endpoint.name)
                log_event(Event.ENDPOINT_UNREACHABLE, endpoint=admission.endpoint.name)

    def _admission_request(self, caller: Caller, call: ServiceCall) -> AdmissionRequest:
        route = self.catalogue.route(caller.workspace, call.route)
        pool = self.catalogue.pool(route.pool)
        if pool.engine:
            raise InvalidRequestError(
                f"{call.route} is a model; use /v1/chat/completions"
            )
        return AdmissionRequest(
            request=self.admission_controller.new_request(),
            workspace=caller.workspace_name,
            budget=caller.budget,
            pool=pool,
            tokens=route.tokens_per_call,
            minimum=route.tokens_per_call,
        )

    async def _run_claimed(
        self,
        caller: Caller,
        call: ServiceCall,
        admission: Admission,
        outcome: RequestOutcome,
    ) -> web.StreamResponse:
        if caller.idempotent or not caller.key:
            return await self._run(call, admission, outcome)
        key = claim_key(caller.workspace_name, caller.key)
        own_claim = Claim(
            admission.admission_request.request,
            _digest(call),
            self.admission_controller.time_of_day(),
        )
        current_claim = await self._take_claim(key, own_claim, admission)
        if current_claim.attempt != own_claim.attempt:
            self.admission_controller.withdraw(admission, unreachable=False)
            return _replayed_response(current_claim, own_claim)
        try:
            response = await self._run(call, admission, outcome)
        except UpstreamFailedError:
            self._store_claim(key, replace(own_claim, state=ClaimState.UNKNOWN))
            raise
        self._store_claim(key, _completed_claim(own_claim, response))
        return response

    async def _take_claim(
        self, key: str, own_claim: Claim, admission: Admission
    ) -> Claim:
        try:
            return await get_or_create_claim(self.table, key, own_claim)
        except PlatformError as error:
            self.admission_controller.withdraw(admission, unreachable=False)
            self.background.retry_until_done(
                lambda: withdraw_claim(self.table, key, own_claim.attempt)
            )
            raise UnavailableError(
                "the platform, which prevents this call from running twice, does not"
                " respond; retry in 2 s"
            ) from error

    async def _run(
        self, call: ServiceCall, admission: Admission, outcome: RequestOutcome
    ) -> web.StreamResponse:
        outcome.advance("send")
        url = f"{admission.endpoint.url}/{call.path}"
        attempt = admission.reserved.attempt
        sent = SentRequest()
        headers = {REQUEST_ID_HEADER: admission.admission_request.request}
        response = ServiceResponse(call.request, headers, self.progress_s)
        try:
            async with self.client.send(
                call.method, url, call.body, attempt, call.content_type, sent
            ) as upstream:
                await response.receive(upstream)
                await self.client.check_end(upstream, sent)
        except UpstreamUnreachableError:
            raise
        except Exception as error:
            outcome.advance("break_off")
            log_event(
                Event.REQUEST_BROKEN,
                attempt=attempt,
                endpoint=admission.endpoint.name,
            )
            self.admission_controller.finish(admission, AttemptUsage(0, 0, "broken"))
            if response.response is None:
                raise error
            response.abort()
            return response.response
        self.admission_controller.finish(
            admission, AttemptUsage(admission.reserved.tokens, 0, "answered")
        )
        outcome.advance("answer")
        return await response.finish(upstream)

    def _store_claim(self, key: str, completed_claim: Claim) -> None:
        self.background.retry_until_done(
            lambda: finish_claim(self.table, key, completed_claim)
        )


def _digest(call: ServiceCall) -> str:
    text = f"{call.method} {call.route} {call.path}\n".encode()
    return hashlib.sha256(text + call.body).hexdigest()


def _completed_claim(own_claim: Claim, response: web.StreamResponse) -> Claim:
    if not isinstance(response, web.Response):
        # Too large to be kept, it was passed on as it arrived.
        return replace(own_claim, state=ClaimState.UNKNOWN, status=response.status)
    body = bytes(response.body or b"")
    if len(body) > MAX_STORED_RESPONSE_BYTES:
        return replace(own_claim, state=ClaimState.UNKNOWN, status=response.status)
    return replace(
        own_claim,
        state=ClaimState.DONE,
        status=response.status,
        content_type=response.content_type,
        answer=body,
    )


def _replayed_response(current_claim: Claim, own_claim: Claim) -> web.Response:
    """Returns the response to a retried call from the claim of the first one.

    Raises ``InvalidRequestError`` if the key belongs to another call, and
    ``UpstreamFailedError`` if the first call has no stored response.
    """
    if current_claim.digest != own_claim.digest:
        raise InvalidRequestError(
            "Idempotency-Key: it was used for another call; use a new key"
        )
    if current_claim.state is not ClaimState.DONE:
        raise UpstreamFailedError(
            f"an earlier call with this key is {current_claim.state}; ask the service"
            " what became of it"
        )
    return web.Response(
        status=current_claim.status,
        body=current_claim.answer,
        content_type=current_claim.content_type,
        headers={
            REQUEST_ID_HEADER: current_claim.attempt,
            "Idempotent-Replayed": "true",
        },
    )
