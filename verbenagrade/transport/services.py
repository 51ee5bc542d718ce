"""Passes requests through to plain services."""

import hashlib
from dataclasses import dataclass, replace

from aiohttp import web

from verbenagrade.coordination.claims import (
    Claim,
    ClaimState,
    claim_key,
    finish_claim,
    take_claim,
    withdraw_claim,
)
from verbenagrade.coordination.desk import Admission, Ask, Desk, Used
from verbenagrade.coordination.ports import Table
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import (
    InvalidRequestError,
    PlatformError,
    UnavailableError,
    UpstreamBrokenError,
    UpstreamUnreachableError,
)
from verbenagrade.state.catalogue import Catalogue
from verbenagrade.state.outcome import RequestOutcome
from verbenagrade.transport.background import Background
from verbenagrade.transport.engines import EndpointClient
from verbenagrade.transport.requests import Caller

__all__ = ["ServiceCall", "ServiceGateway"]

REQUEST_HEADER = "Verbenagrade-Request"
STORED_ANSWER_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """One call to a plain service."""

    route: str
    method: str
    path: str
    content_type: str
    body: bytes


class ServiceGateway:
    """Calls to plain services at one router."""

    def __init__(
        self,
        desk: Desk,
        client: EndpointClient,
        catalogue: Catalogue,
        table: Table,
        background: Background,
    ) -> None:
        self.desk = desk
        self.client = client
        self.catalogue = catalogue
        self.table = table
        self.background = background

    async def serve(self, caller: Caller, call: ServiceCall) -> web.Response:
        """Passes a call on; one that is not idempotent runs at most once.

        Raises an error that says what became of the call if there is no answer.
        """
        ask = self._ask(caller, call)
        outcome = RequestOutcome()
        excluded: set[str] = set()
        while True:
            admission = await self.desk.admit(ask, excluded)
            outcome.advance("reserve")
            try:
                return await self._claimed(caller, call, admission, outcome)
            except UpstreamUnreachableError:
                outcome.advance("withdraw")
                self.desk.withdraw(admission, unreachable=True)
                excluded.add(admission.endpoint.name)
                log_event(Event.ENDPOINT_UNREACHABLE, endpoint=admission.endpoint.name)

    def _ask(self, caller: Caller, call: ServiceCall) -> Ask:
        route = self.catalogue.route(caller.workspace, call.route)
        pool = self.catalogue.pool(route.pool)
        if pool.engine:
            raise InvalidRequestError(
                f"{call.route} is a model; use /v1/chat/completions"
            )
        return Ask(
            request=self.desk.new_request(),
            workspace=caller.workspace_name,
            budget=caller.budget,
            pool=pool,
            tokens=route.tokens_per_call,
            minimum=route.tokens_per_call,
        )

    async def _claimed(
        self,
        caller: Caller,
        call: ServiceCall,
        admission: Admission,
        outcome: RequestOutcome,
    ) -> web.Response:
        if caller.idempotent or not caller.key:
            return await self._run(call, admission, outcome)
        key = claim_key(caller.workspace_name, caller.key)
        own = Claim(admission.ask.request, _digest(call), self.desk.clock())
        stands = await self._take_claim(key, own, admission)
        if stands.attempt != own.attempt:
            self.desk.withdraw(admission, unreachable=False)
            return _earlier_answer(stands, own)
        try:
            response = await self._run(call, admission, outcome)
        except UpstreamBrokenError:
            self._store(key, replace(own, state=ClaimState.UNKNOWN))
            raise
        self._store(key, _done(own, response))
        return response

    async def _take_claim(self, key: str, own: Claim, admission: Admission) -> Claim:
        try:
            return await take_claim(self.table, key, own)
        except PlatformError as error:
            self.desk.withdraw(admission, unreachable=False)
            self.background.until_done(
                lambda: withdraw_claim(self.table, key, own.attempt)
            )
            raise UnavailableError(
                "the platform that keeps this call from running twice is away;"
                " retry in 2 s"
            ) from error

    async def _run(
        self, call: ServiceCall, admission: Admission, outcome: RequestOutcome
    ) -> web.Response:
        outcome.advance("send")
        url = f"{admission.endpoint.url}/{call.path}"
        attempt = admission.reserved.attempt
        try:
            async with self.client.send(
                call.method, url, call.body, attempt, call.content_type
            ) as upstream:
                body = await upstream.read()
        except UpstreamUnreachableError:
            raise
        except Exception as error:
            outcome.advance("break_off")
            log_event(
                Event.REQUEST_BROKEN,
                attempt=attempt,
                endpoint=admission.endpoint.name,
            )
            self.desk.finish(admission, Used(0, 0, "broken"))
            raise error
        self.desk.finish(admission, Used(admission.reserved.tokens, 0, "answered"))
        outcome.advance("answer")
        return web.Response(
            status=upstream.status,
            body=body,
            content_type=upstream.content_type,
            headers={REQUEST_HEADER: admission.ask.request},
        )

    def _store(self, key: str, done: Claim) -> None:
        self.background.until_done(lambda: finish_claim(self.table, key, done))


def _digest(call: ServiceCall) -> str:
    text = f"{call.method} {call.route} {call.path}\n".encode()
    return hashlib.sha256(text + call.body).hexdigest()


def _done(own: Claim, response: web.Response) -> Claim:
    body = bytes(response.body or b"")
    if len(body) > STORED_ANSWER_BYTES:
        return replace(own, state=ClaimState.UNKNOWN, status=response.status)
    return replace(
        own,
        state=ClaimState.DONE,
        status=response.status,
        content_type=response.content_type,
        answer=body,
    )


def _earlier_answer(stands: Claim, own: Claim) -> web.Response:
    """Answers a repeated call from the claim of the first one."""
    if stands.digest != own.digest:
        raise InvalidRequestError(
            "Idempotency-Key: it was used for another call; use a new key"
        )
    if stands.state is not ClaimState.DONE:
        raise UpstreamBrokenError(
            f"an earlier call with this key is {stands.state}; ask the service what"
            " became of it"
        )
    return web.Response(
        status=stands.status,
        body=stands.answer,
        content_type=stands.content_type,
        headers={REQUEST_HEADER: stands.attempt, "Idempotent-Replayed": "true"},
    )
