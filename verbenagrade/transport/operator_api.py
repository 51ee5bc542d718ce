"""The resource API for operators."""

import re
import uuid
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from verbenagrade.coordination.budget_table import read_budget
from verbenagrade.coordination.configuration import (
    Declaration,
    apply_resource,
    decode_spec,
    list_resources,
    read_resource,
)
from verbenagrade.coordination.confirmations import (
    missing_confirmations,
    read_confirmations,
)
from verbenagrade.coordination.journal_reader import bills_of_workspace, total_tokens
from verbenagrade.coordination.ports import ObjectStore, Table, VmList
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import (
    InvalidResourceError,
    NotFoundError,
    VerbenagradeError,
)
from verbenagrade.metrics import ProcessMetrics
from verbenagrade.protocol.problems import encode_problem, problem_from_error
from verbenagrade.protocol.resources import (
    BudgetReply,
    ExplainReply,
    ListReply,
    PendingVm,
    StatusReply,
    decode_apply,
    resource_reply,
)
from verbenagrade.state.membership import MemberVm
from verbenagrade.transport.clients.shared import Clients
from verbenagrade.transport.requests import check_room, read_body

__all__ = ["OperatorApi"]

RESOURCE_NAME = re.compile(r"^[a-z0-9][a-z0-9.-]{0,99}$")

MAX_BODY_BYTES = 1_048_576
"""Largest declaration of a resource, in bytes."""

Handler = Callable[[web.Request], Awaitable[object]]


class OperatorApi:
    """Serves operators from the platform's services; it keeps no state itself."""

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        vm_list: VmList,
        clients: Clients,
    ) -> None:
        self.clients = clients
        self.table = table
        self.objects = objects
        self.vm_list = vm_list
        self.metrics = ProcessMetrics()

    def application(self) -> web.Application:
        """Returns the aiohttp application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        resource = "/resources/{kind}/{name}"
        app.router.add_get("/resources", self._with_json_response(self._handle_list))
        app.router.add_get(
            "/resources/{kind}", self._with_json_response(self._handle_list)
        )
        app.router.add_get(resource, self._with_json_response(self._handle_get))
        app.router.add_put(resource, self._with_json_response(self._handle_apply))
        app.router.add_get(
            f"{resource}/status", self._with_json_response(self._handle_status)
        )
        app.router.add_get(
            "/budgets/{name}", self._with_json_response(self._handle_budget)
        )
        app.router.add_get(
            "/explain/{workspace}", self._with_json_response(self._handle_explain)
        )
        app.router.add_get("/healthz", self._with_json_response(_handle_health))
        app.router.add_get("/metrics", self._handle_metrics)
        return app

    async def _handle_list(self, request: web.Request) -> ListReply:
        kind = request.match_info.get("kind", "")
        resources = await list_resources(self.table, kind)
        return ListReply(tuple(map(resource_reply, resources)))

    async def _handle_get(self, request: web.Request) -> object:
        kind, name = request.match_info["kind"], request.match_info["name"]
        resource = await read_resource(self.table, kind, name)
        if resource is None:
            raise NotFoundError(f"{kind} {name} does not exist; apply it first")
        return resource_reply(resource)

    async def _handle_apply(self, request: web.Request) -> object:
        kind, name = request.match_info["kind"], request.match_info["name"]
        if not RESOURCE_NAME.match(name):
            raise InvalidResourceError(
                f"name {name!r}: use lower-case letters, digits, dots and hyphens"
            )
        body = decode_apply(await read_body(request, MAX_BODY_BYTES))
        declaration = Declaration(
            kind=kind,
            name=name,
            spec=decode_spec(kind, bytes(body.spec)),
            generation=body.generation,
            operation=body.operation or uuid.uuid4().hex,
        )
        resource = await apply_resource(self.table, declaration)
        log_event(
            Event.RESOURCE_ACCEPTED,
            kind=kind,
            name=name,
            generation=resource.generation,
            revision=resource.revision,
        )
        return resource_reply(resource)

    async def _handle_status(self, request: web.Request) -> StatusReply:
        kind, name = request.match_info["kind"], request.match_info["name"]
        resource = await read_resource(self.table, kind, name)
        if resource is None:
            raise NotFoundError(f"{kind} {name} does not exist; apply it first")
        entries = await self.vm_list.fetch()
        members = [
            MemberVm(entry.vm, entry.data_centre, entry.address) for entry in entries
        ]
        confirmed = await read_confirmations(self.table)
        missing = missing_confirmations(members, confirmed, resource.revision)
        return StatusReply(
            kind=kind,
            name=name,
            revision=resource.revision,
            in_force=not missing,
            waits_for=tuple(PendingVm(vm.vm, vm.data_centre) for vm in missing),
        )

    async def _handle_budget(self, request: web.Request) -> BudgetReply:
        name = request.match_info["name"]
        row = await read_budget(self.table, name)
        if row is None:
            raise NotFoundError(f"budget {name} does not exist; apply it first")
        return BudgetReply(name, row, row.available)

    async def _handle_explain(self, request: web.Request) -> ExplainReply:
        workspace = request.match_info["workspace"]
        bills = await bills_of_workspace(self.objects, workspace)
        return ExplainReply(workspace, total_tokens(bills), bills)

    async def _handle_metrics(self, request: web.Request) -> web.Response:
        self.clients.record(self.metrics)
        accepts = tuple(request.headers.getall("Accept", ()))
        return web.Response(
            body=self.metrics.render(accepts), content_type="text/plain"
        )

    def _with_json_response(
        self, handler: Handler
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        """Returns a handler that encodes its result as JSON and errors as problems."""

        async def handle(request: web.Request) -> web.Response:
            """Runs the handler and encodes its result."""
            try:
                check_room(request)
                body = msgspec.json.encode(await handler(request))
            except VerbenagradeError as error:
                return self._problem_response(error)
            self.metrics.requests.inc({"outcome": "answered"})
            return web.Response(body=body, content_type="application/json")

        return handle

    def _problem_response(self, error: VerbenagradeError) -> web.Response:
        problem = problem_from_error(error)
        self.metrics.requests.inc({"outcome": problem.kind})
        return web.Response(
            status=problem.status,
            body=encode_problem(problem),
            content_type="application/problem+json",
        )


async def _handle_health(_request: web.Request) -> str:
    return "ok"
