"""Starts two data centres, sends a mixed load and compares the token counts."""

import asyncio
import random
import sys
from dataclasses import dataclass

import msgspec
import typer

from verbenagrade.tests.fleet import Fleet, Layout, Response

__all__ = ["main"]

REQUESTS = 120
CONCURRENCY = 12
SEED = 7
SMALL_BUDGET_TOKENS = 600
SERVICE_TOKENS = 10
HTTP_OK = 200


@dataclass(frozen=True, slots=True)
class RequestResult:
    """A request of the load, its outcome, and the tokens reported to its caller."""

    kind: str
    workspace: str
    outcome: str
    tokens: int


class Summary(msgspec.Struct, frozen=True):
    """Counts as seen by callers, by endpoints and in the ledger."""

    requests: int
    answered: int
    refused_not_run: int
    unknown: int
    billed_tokens: int
    served_tokens: int
    overspend_tokens: int
    double_billed: int


def main() -> None:
    """Runs the demonstration; exits with 1 if the counts disagree."""
    summary, counts_agree = asyncio.run(_demonstrate())
    typer.echo(msgspec.json.encode(summary).decode())
    sys.exit(0 if counts_agree else 1)


async def _demonstrate() -> tuple[Summary, bool]:
    layout = Layout(data_centres=("muscat-a", "dhofar-a"), routers=3, engines=2)
    async with Fleet(layout) as fleet:
        await fleet.create_workspace("mosque", SMALL_BUDGET_TOKENS)
        await asyncio.sleep(2.0)
        results = await _send_all(fleet)
        await fleet.wait_until(lambda: _all_settled(fleet))
        return await _compare(fleet, results)


async def _send_all(fleet: Fleet) -> list[RequestResult]:
    rng = random.Random(SEED)
    slots = asyncio.Semaphore(CONCURRENCY)
    plans = [_plan(rng, fleet.router_vms(), n) for n in range(REQUESTS)]

    async def send_when_free(plan: "RequestPlan") -> RequestResult:
        """Sends a request once fewer than ``CONCURRENCY`` are running."""
        async with slots:
            return await _send(fleet, plan)

    return list(await asyncio.gather(*map(send_when_free, plans)))


@dataclass(frozen=True, slots=True)
class RequestPlan:
    """A request to be sent to the router of one VM."""

    vm: str
    kind: str
    workspace: str
    words: int
    number: int


def _plan(rng: random.Random, routers: list[str], number: int) -> RequestPlan:
    return RequestPlan(
        vm=rng.choice(routers),
        kind=rng.choice(("stream", "stream", "whole", "service")),
        workspace=rng.choice(("crew", "crew", "mosque")),
        words=rng.randint(5, 40),
        number=number,
    )


async def _send(fleet: Fleet, plan: RequestPlan) -> RequestResult:
    if plan.kind == "service":
        response = await fleet.send_request(
            plan.vm,
            "POST",
            "/services/booking/shifts",
            {"shift": plan.number},
            Authorization=f"Bearer key-{plan.workspace}",
            Idempotency_Key=f"shift-{plan.number}",
        )
        return RequestResult(
            plan.kind, plan.workspace, _outcome(response), SERVICE_TOKENS
        )
    response = await fleet.chat(
        plan.vm,
        plan.workspace,
        stream=plan.kind == "stream",
        max_tokens=100,
        answer_words=plan.words,
        stream_options={"include_usage": True},
    )
    return RequestResult(
        plan.kind, plan.workspace, _outcome(response), _tokens(response)
    )


def _outcome(response: Response) -> str:
    if response.status == HTTP_OK and response.complete:
        return "answered"
    return response.json()["outcome"]


def _tokens(response: Response) -> int:
    if response.status != HTTP_OK:
        return 0
    body = response.body
    if response.headers["Content-Type"].startswith("text/event-stream"):
        body = response.events()[-2].encode()
    usage = msgspec.json.decode(body)["usage"]
    return usage["prompt_tokens"] + usage["completion_tokens"]


async def _all_settled(fleet: Fleet) -> bool:
    for vm in fleet.router_vms():
        status = (await fleet.send_request(vm, "GET", "/status")).json()
        if status["unsettled_attempts"] or status["unwritten_bills"]:
            return False
    return True


async def _compare(fleet: Fleet, results: list[RequestResult]) -> tuple[Summary, bool]:
    bills = [b for w in ("crew", "mosque") for b in await fleet.bills(w)]
    mosque_tokens = sum(b["tokens"] for b in bills if b["workspace"] == "mosque")
    answered = [r for r in results if r.outcome == "answered"]
    calls = [r for r in answered if r.kind == "service"]
    served = sum((await fleet.served_tokens()).values()) + len(calls) * SERVICE_TOKENS
    billed = sum(b["tokens"] for b in bills)
    summary = Summary(
        requests=len(results),
        answered=len(answered),
        refused_not_run=sum(r.outcome == "not_run" for r in results),
        unknown=sum(r.outcome == "unknown" for r in results),
        billed_tokens=billed,
        served_tokens=served,
        overspend_tokens=max(0, mosque_tokens - SMALL_BUDGET_TOKENS),
        double_billed=len(bills) - len({b["attempt"] for b in bills}),
    )
    _print_table(results, billed, served)
    reported = sum(r.tokens for r in answered)
    valid = not summary.overspend_tokens and not summary.double_billed
    return summary, valid and reported == billed == served


def _print_table(results: list[RequestResult], billed: int, served: int) -> None:
    typer.echo(
        f"{'WORKSPACE':<12}{'KIND':<10}{'OUTCOME':<12}{'REQUESTS':>9}{'TOKENS':>9}"
    )
    groups = sorted({(r.workspace, r.kind, r.outcome) for r in results})
    for workspace, kind, outcome in groups:
        group = [
            r
            for r in results
            if (r.workspace, r.kind, r.outcome) == (workspace, kind, outcome)
        ]
        tokens = sum(r.tokens for r in group if r.outcome == "answered")
        typer.echo(f"{workspace:<12}{kind:<10}{outcome:<12}{len(group):>9}{tokens:>9}")
    reported = sum(r.tokens for r in results if r.outcome == "answered")
    typer.echo(
        f"callers were told {reported}, endpoints served {served},"
        f" ledger holds {billed}"
    )


if __name__ == "__main__":
    main()
