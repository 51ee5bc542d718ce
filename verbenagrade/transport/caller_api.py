"""The HTTP API of a router for callers, and its status endpoints."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
from aiohttp import web

from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import UnavailableError, VerbenagradeError
from verbenagrade.metrics import RouterMetrics
from verbenagrade.protocol.chat import parse_chat
from verbenagrade.protocol.problems import encode_problem, problem_from_error
from verbenagrade.settings import LimitSettings
from verbenagrade.state.catalogue import Catalogue
from verbenagrade.transport.chat import ChatService
from verbenagrade.transport.clients.shared import Clients
from verbenagrade.transport.requests import (
    check_in_flight,
    check_room,
    read_body,
    read_caller,
)
from verbenagrade.transport.services import ServiceCall, ServiceProxy

__all__ = ["CallerApi", "RouterStatus"]

PROBLEM_CONTENT_TYPE = "application/problem+json"
HTTP_UNAVAILABLE = 503

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@dataclass(frozen=True, slots=True)
class RouterStatus:
    """The status that a router reports to operators. ``waits_for`` lists what a
    graceful shutdown is waiting for."""

    instance: str
    data_centre: str
    revision: int
    stopping: bool
    waits_for: tuple[str, ...]
    in_flight: int
    unsettled_attempts: int
    unwritten_bills: int
    grants: int
    granted_tokens: int
    reserved_tokens: int
    table_operations: int
    undecodable_frames: int
    suspected_vms: tuple[str, ...]


class CallerApi:
    """Serves callers, the health checks of the load balancer, and operators."""

    def __init__(
        self,
        chat: ChatService,
        services: ServiceProxy,
        catalogue: Catalogue,
        limits: LimitSettings,
        status: Callable[[], RouterStatus],
        is_registered: Callable[[], bool],
        clients: Clients,
    ) -> None:
        self.clients = clients
        self.chat = chat
        self.services = services
        self.catalogue = catalogue
        self.limits = limits
        self.status = status
        self.is_registered = is_registered
        self.metrics = RouterMetrics()
        self.in_flight = 0
        self.stopping = False

    def application(self) -> web.Application:
        """Returns the aiohttp application."""
        app = web.Application(client_max_size=self.limits.body_bytes)
        app.router.add_post(
            "/v1/chat/completions", self._with_error_handling(self._handle_chat)
        )
        app.router.add_route(
            "*",
            "/services/{route}/{path:.*}",
            self._with_error_handling(self._handle_service),
        )
        app.router.add_get("/healthz", self._handle_health)
        app.router.add_get("/readyz", self._handle_ready)
        app.router.add_get("/status", self._handle_status)
        app.router.add_get("/metrics", self._handle_metrics)
        return app

    def _with_error_handling(self, handler: Handler) -> Handler:
        """Returns a handler that counts requests and reports errors as problems."""

        async def handle(request: web.Request) -> web.StreamResponse:
            """Runs the handler and converts its errors to problem documents."""
            self.in_flight += 1
            try:
                check_room(request)
                check_in_flight(self.in_flight - 1, self.limits.in_flight)
                response = await handler(request)
                self.metrics.requests.inc({"outcome": "answered"})
                return response
            except VerbenagradeError as error:
                return self._problem_response(error)
            finally:
                self.in_flight -= 1

        return handle

    async def _handle_chat(self, request: web.Request) -> web.StreamResponse:
        self._check_configured()
        caller = read_caller(request, self.catalogue)
        body = await read_body(request, self.limits.body_bytes)
        return await self.chat.serve(request, caller, parse_chat(body))

    async def _handle_service(self, request: web.Request) -> web.StreamResponse:
        self._check_configured()
        caller = read_caller(request, self.catalogue)
        path = request.match_info["path"]
        query = request.query_string
        call = ServiceCall(
            request=request,
            route=request.match_info["route"],
            method=request.method,
            path=f"{path}?{query}" if query else path,
            content_type=request.content_type,
            body=await read_body(request, self.limits.body_bytes),
        )
        return await self.services.serve(caller, call)

    def _check_configured(self) -> None:
        if not self._is_configured():
            raise UnavailableError("this router has no configuration yet; retry in 2 s")

    def _is_configured(self) -> bool:
        return self.catalogue.revision > 0 and self.is_registered()

    def _problem_response(self, error: VerbenagradeError) -> web.Response:
        problem = problem_from_error(error)
        self.metrics.requests.inc({"outcome": problem.kind})
        log_event(
            Event.REQUEST_REFUSED,
            kind=problem.kind,
            outcome=problem.outcome,
            detail=problem.detail,
        )
        response = web.Response(
            status=problem.status,
            body=encode_problem(problem),
            content_type=PROBLEM_CONTENT_TYPE,
        )
        if problem.retry_after_s is not None:
            response.headers["Retry-After"] = f"{problem.retry_after_s:.0f}"
        return response

    async def _handle_health(self, _request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _handle_ready(self, _request: web.Request) -> web.Response:
        if self.stopping or not self._is_configured():
            return web.Response(status=HTTP_UNAVAILABLE, text="not ready\n")
        return web.Response(text="ready\n")

    async def _handle_status(self, _request: web.Request) -> web.Response:
        body = msgspec.json.encode(self.status())
        return web.Response(body=body, content_type="application/json")

    async def _handle_metrics(self, request: web.Request) -> web.Response:
        status = self.status()
        self.clients.record(self.metrics)
        self.metrics.in_flight.set({}, status.in_flight)
        self.metrics.unsettled_attempts.set({}, status.unsettled_attempts)
        self.metrics.revision.set({}, status.revision)
        self.metrics.table_operations.set({}, status.table_operations)
        self.metrics.undecodable_frames.set({}, status.undecodable_frames)
        accepts = tuple(request.headers.getall("Accept", ()))
        return web.Response(
            body=self.metrics.render(accepts), content_type="text/plain"
        )
