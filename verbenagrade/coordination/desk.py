"""Admits requests: chooses an endpoint, reserves tokens, settles at the end."""

import itertools
from collections.abc import Iterable
from dataclasses import dataclass

from verbenagrade.coordination.ports import Clock
from verbenagrade.coordination.spender import Spender
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import UpstreamUnreachableError
from verbenagrade.state.bills import Bill
from verbenagrade.state.holding import Earlier, Reserved, ReserveOrder
from verbenagrade.state.messages import Release
from verbenagrade.state.resources import EndpointAddress, Pool
from verbenagrade.state.routing import EndpointTable, RoutingChoice

__all__ = ["Admission", "Ask", "Desk", "Used"]


@dataclass(frozen=True, slots=True)
class Ask:
    """What one request needs, before an endpoint is known.

    ``tokens`` bounds prompt and answer, ``minimum`` is the least that serves.
    """

    request: str
    workspace: str
    budget: str
    pool: Pool
    tokens: int
    minimum: int
    key: str = ""


@dataclass(frozen=True, slots=True)
class Admission:
    """An endpoint and tokens for one attempt, or an earlier attempt to resume."""

    ask: Ask
    endpoint: EndpointAddress
    reserved: Reserved
    earlier: bool = False


@dataclass(frozen=True, slots=True)
class Used:
    """What an attempt used, in tokens, and how it ended."""

    tokens: int
    prompt_tokens: int
    outcome: str


class Desk:
    """Admission of requests at one router."""

    def __init__(
        self,
        spender: Spender,
        endpoints: EndpointTable,
        patience_s: float,
        clock: Clock,
    ) -> None:
        self.spender = spender
        self.endpoints = endpoints
        self.patience_s = patience_s
        self.clock = clock
        self.numbers = itertools.count(1)
        self.attempt_numbers = itertools.count(1)

    def new_request(self) -> str:
        """Returns a name for a request that no other instance gives."""
        return f"{self.spender.instance.name}-{next(self.numbers)}"

    async def admit(self, ask: Ask, excluded: Iterable[str]) -> Admission:
        """Reserves tokens for one attempt at the endpoint that suits best.

        Raises ``UpstreamUnreachableError`` if no endpoint is left, and whatever
        the reservation raises. Nothing has run then.
        """
        excluded = frozenset(excluded)
        choice = self.endpoints.choose(ask.pool, excluded, self.clock())
        if choice is None:
            raise UpstreamUnreachableError(
                "no endpoint of the pool can be reached; retry in a second"
            )
        _log_choice(ask, choice)
        answer = await self.spender.reserve(self._order(ask, choice))
        if isinstance(answer, Earlier):
            return self._resumed(ask, answer)
        self.endpoints.started(choice.endpoint.name)
        return Admission(ask, choice.endpoint, answer)

    def withdraw(self, admission: Admission, unreachable: bool) -> None:
        """Gives back the tokens of an attempt of which nothing ran."""
        self.endpoints.ended(admission.endpoint.name)
        if unreachable:
            self.endpoints.failed(admission.endpoint.name, self.clock())
        attempt = admission.reserved.attempt
        if admission.earlier:
            self.spender.settlements.left(attempt)
        else:
            self.spender.cancel(attempt, admission.ask.budget)

    async def disown(self, admission: Admission) -> None:
        """Lets a request run anew whose earlier attempt left no trace."""
        self.endpoints.ended(admission.endpoint.name)
        ask = admission.ask
        attempt = admission.reserved.attempt
        await self.spender.disown(Release(attempt, ask.budget, ask.workspace, ask.key))

    def finish(self, admission: Admission, used: Used) -> None:
        """Bills an attempt that ran."""
        self.endpoints.ended(admission.endpoint.name)
        ask = admission.ask
        limit = admission.reserved.tokens
        if used.tokens > limit:
            log_event(
                Event.BILL_CAPPED,
                attempt=admission.reserved.attempt,
                endpoint=admission.endpoint.name,
                used=used.tokens,
                billed=limit,
            )
        bill = Bill(
            attempt=admission.reserved.attempt,
            request=ask.request,
            workspace=ask.workspace,
            grant=admission.reserved.grant,
            endpoint=admission.endpoint.name,
            tokens=min(used.tokens, limit),
            prompt_tokens=min(used.prompt_tokens, limit),
            outcome=used.outcome,
            at=self.clock(),
            journal_from=admission.reserved.journal_from,
        )
        self.spender.finish(bill)
        log_event(
            Event.REQUEST_FINISHED,
            attempt=bill.attempt,
            workspace=ask.workspace,
            tokens=used.tokens,
            outcome=used.outcome,
        )

    def _order(self, ask: Ask, choice: RoutingChoice) -> ReserveOrder:
        return ReserveOrder(
            attempt=f"{ask.request}.{next(self.attempt_numbers)}",
            request=ask.request,
            workspace=ask.workspace,
            budget=ask.budget,
            spender=self.spender.instance,
            endpoint=choice.endpoint.name,
            tokens=ask.tokens,
            minimum=ask.minimum,
            key=ask.key,
            patience_s=self.patience_s,
        )

    def _resumed(self, ask: Ask, earlier: Earlier) -> Admission:
        log_event(Event.REQUEST_RESUMED, request=ask.request, attempt=earlier.attempt)
        for endpoint in ask.pool.endpoints:
            if endpoint.name == earlier.endpoint:
                reserved = Reserved(
                    earlier.attempt,
                    earlier.tokens,
                    earlier.grant,
                    earlier.journal_from,
                )
                self.endpoints.started(endpoint.name)
                return Admission(ask, endpoint, reserved, earlier=True)
        self.spender.settlements.left(earlier.attempt)
        raise UpstreamUnreachableError(
            f"the endpoint {earlier.endpoint} that ran this request is gone"
        )


def _log_choice(ask: Ask, choice: RoutingChoice) -> None:
    log_event(
        Event.ENDPOINT_CHOSEN,
        request=ask.request,
        workspace=ask.workspace,
        endpoint=choice.endpoint.name,
        in_flight=choice.in_flight,
        candidates=choice.candidates,
        local=choice.local,
    )
