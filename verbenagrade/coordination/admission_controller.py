"""Admission control: chooses an endpoint, reserves tokens and bills an attempt."""

import itertools
from collections.abc import Iterable
from dataclasses import dataclass

from verbenagrade.coordination.ports import Clock
from verbenagrade.coordination.spender import Spender
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import UpstreamUnreachableError
from verbenagrade.state.bills import Bill
from verbenagrade.state.held_grant import Earlier, Reserved, ReserveOrder
from verbenagrade.state.messages import Release
from verbenagrade.state.resources import EndpointAddress, Pool
from verbenagrade.state.routing import EndpointTable, RoutingChoice

__all__ = ["Admission", "AdmissionController", "AdmissionRequest", "AttemptUsage"]


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """The resources that a request needs, before an endpoint is chosen.

    ``tokens`` is the upper bound of prompt and completion, ``minimum`` the smallest
    number of tokens that is sufficient. ``key`` is the idempotency key, if any.
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
    """The endpoint and the reserved tokens of one attempt.

    ``is_resumed`` is true if the attempt was started before and is to be resumed.
    """

    admission_request: AdmissionRequest
    endpoint: EndpointAddress
    reserved: Reserved
    is_resumed: bool = False


@dataclass(frozen=True, slots=True)
class AttemptUsage:
    """The tokens that an attempt used, in total and for its prompt, and its outcome."""

    tokens: int
    prompt_tokens: int
    outcome: str


class AdmissionController:
    """Admits the requests of one router.

    ``clock`` returns seconds and never jumps. ``time_of_day`` returns seconds since the
    epoch, for bills.
    """

    def __init__(
        self,
        spender: Spender,
        endpoints: EndpointTable,
        max_wait_s: float,
        clock: Clock,
        time_of_day: Clock,
    ) -> None:
        self.spender = spender
        self.endpoints = endpoints
        self.max_wait_s = max_wait_s
        self.clock = clock
        self.time_of_day = time_of_day
        self.request_numbers = itertools.count(1)
        self.attempt_numbers = itertools.count(1)

    def new_request(self) -> str:
        """Returns a request name that is unique across all instances."""
        return f"{self.spender.instance.name}-{next(self.request_numbers)}"

    async def admit(
        self, admission_request: AdmissionRequest, excluded: Iterable[str]
    ) -> Admission:
        """Chooses an endpoint outside ``excluded`` and reserves tokens for it.

        Returns the earlier attempt instead if the idempotency key has one. Raises
        ``UpstreamUnreachableError`` if no endpoint is left, and the errors of
        ``Spender.reserve``. Nothing has run if an error is raised.
        """
        excluded = frozenset(excluded)
        choice = self.endpoints.choose(admission_request.pool, excluded, self.clock())
        if choice is None:
            raise UpstreamUnreachableError(
                "no endpoint of the pool can be reached; retry in a second"
            )
        _log_choice(admission_request, choice)
        reserved = await self.spender.reserve(
            self._reserve_order(admission_request, choice)
        )
        if isinstance(reserved, Earlier):
            return self._resume(admission_request, reserved)
        self.endpoints.started(choice.endpoint.name)
        return Admission(admission_request, choice.endpoint, reserved)

    def withdraw(self, admission: Admission, unreachable: bool) -> None:
        """Releases the tokens of an attempt that did not run.

        An earlier attempt is only forgotten here. ``unreachable`` marks the
        endpoint as failed.
        """
        self.endpoints.ended(admission.endpoint.name)
        if unreachable:
            self.endpoints.failed(admission.endpoint.name, self.clock())
        attempt = admission.reserved.attempt
        if admission.is_resumed:
            self.spender.settlements.forget_joined(attempt)
        else:
            self.spender.cancel(attempt, admission.admission_request.budget)

    async def release_unknown(self, admission: Admission) -> None:
        """Releases an earlier attempt that its endpoint does not know.

        The idempotency key is free again, so that the request can run anew.
        """
        self.endpoints.ended(admission.endpoint.name)
        admission_request = admission.admission_request
        attempt = admission.reserved.attempt
        await self.spender.release_unknown(
            Release(
                attempt,
                admission_request.budget,
                admission_request.workspace,
                admission_request.key,
            )
        )

    def finish(self, admission: Admission, used: AttemptUsage) -> None:
        """Bills an attempt that ran."""
        self.endpoints.ended(admission.endpoint.name)
        admission_request = admission.admission_request
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
            request=admission_request.request,
            workspace=admission_request.workspace,
            grant=admission.reserved.grant,
            endpoint=admission.endpoint.name,
            tokens=min(used.tokens, limit),
            prompt_tokens=min(used.prompt_tokens, limit),
            outcome=used.outcome,
            at=self.time_of_day(),
            journal_from=admission.reserved.journal_from,
        )
        self.spender.finish(bill)
        log_event(
            Event.REQUEST_FINISHED,
            attempt=bill.attempt,
            workspace=admission_request.workspace,
            tokens=used.tokens,
            outcome=used.outcome,
        )

    def _reserve_order(
        self, admission_request: AdmissionRequest, choice: RoutingChoice
    ) -> ReserveOrder:
        return ReserveOrder(
            attempt=f"{admission_request.request}.{next(self.attempt_numbers)}",
            request=admission_request.request,
            workspace=admission_request.workspace,
            budget=admission_request.budget,
            spender=self.spender.instance,
            endpoint=choice.endpoint.name,
            tokens=admission_request.tokens,
            minimum=admission_request.minimum,
            key=admission_request.key,
            patience_s=self.max_wait_s,
        )

    def _resume(
        self, admission_request: AdmissionRequest, earlier: Earlier
    ) -> Admission:
        """Returns the admission of an earlier attempt at its own endpoint."""
        log_event(
            Event.REQUEST_RESUMED,
            request=admission_request.request,
            attempt=earlier.attempt,
        )
        for endpoint in admission_request.pool.endpoints:
            if endpoint.name == earlier.endpoint:
                reserved = Reserved(
                    earlier.attempt,
                    earlier.tokens,
                    earlier.grant,
                    earlier.journal_from,
                )
                self.endpoints.started(endpoint.name)
                return Admission(admission_request, endpoint, reserved, is_resumed=True)
        self.spender.settlements.forget_joined(earlier.attempt)
        raise UpstreamUnreachableError(
            f"the endpoint {earlier.endpoint} that ran this request has left its pool"
        )


def _log_choice(admission_request: AdmissionRequest, choice: RoutingChoice) -> None:
    log_event(
        Event.ENDPOINT_CHOSEN,
        request=admission_request.request,
        workspace=admission_request.workspace,
        endpoint=choice.endpoint.name,
        in_flight=choice.in_flight,
        candidates=choice.candidates,
        local=choice.local,
    )
