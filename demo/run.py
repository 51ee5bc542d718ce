"""Starts two data centres, sends a mixed load and compares three counts."""

import asyncio
import random
import sys
from dataclasses import dataclass

import msgspec
import typer

from verbenagrade.tests.fleet import Answer, Fleet, Layout

__all__ = ["main"]

REQUESTS = 120
CONCURRENCY = 12
SEED = 7
SMALL_BUDGET_TOKENS = 600
LARGE_BUDGET_TOKENS = 500_000
SERVICE_TOKENS = 10
HTTP_OK = 200


@dataclass(frozen=True, slots=True)
class Sent:
    """One request of the load and what its caller was told."""

    kind: str
    workspace: str
    outcome: str
    tokens: int


class Summary(msgspec.Struct, frozen=True):
    """The counts of callers, endpoints and ledger, compared."""

    requests: int
    answered: int
    refused_not_run: int
    unknown: int
    billed_tokens: int
    served_tokens: int
    overspend_tokens: int
    double_billed: int


def main() -> None:
    """Runs the demonstration; exits 1 if the counts disagree."""
    summary, agrees = asyncio.run(_demonstrate())
    typer.echo(msgspec.json.encode(summary).decode())
    sys.exit(0 if agrees else 1)


async def _demonstrate() -> tuple[Summary, bool]:
    layout = Layout(data_centres=("muscat-a", "dhofar-a"), routers=3, engines=2)
    async with Fleet(layout) as fleet:
        await fleet.declare_workspace("mosque", SMALL_BUDGET_TOKENS)
        await asyncio.sleep(2.0)
        sent = await _load(fleet)
        await fleet.until(lambda: _all_settled(fleet))
        return await _compare(fleet, sent)


async def _load(fleet: Fleet) -> list[Sent]:
    chooser = random.Random(SEED)
    slots = asyncio.Semaphore(CONCURRENCY)
    plans = [_plan(chooser, fleet.routers(), n) for n in range(REQUESTS)]

    async def limited(plan: "Plan") -> Sent:
        """Sends one planned request when a slot is free."""
        async with slots:
            return await _send(fleet, plan)

    return list(await asyncio.gather(*map(limited, plans)))


@dataclass(frozen=True, slots=True)
class Plan:
    """One request to be sent."""

    vm: str
    kind: str
    workspace: str
    words: int
    number: int


def _plan(chooser: random.Random, routers: list[str], number: int) -> Plan:
    return Plan(
        vm=chooser.choice(routers),
        kind=chooser.choice(("stream", "stream", "whole", "service")),
        workspace=chooser.choice(("crew", "crew", "mosque")),
        words=chooser.randint(5, 40),
        number=number,
    )


async def _send(fleet: Fleet, plan: Plan) -> Sent:
    if plan.kind == "service":
        answer = await fleet.ask(
            plan.vm,
            "POST",
            "/services/booking/shifts",
            {"shift": plan.number},
            Authorization=f"Bearer key-{plan.workspace}",
            Idempotency_Key=f"shift-{plan.number}",
        )
        return Sent(plan.kind, plan.workspace, _outcome(answer), SERVICE_TOKENS)
    answer = await fleet.chat(
        plan.vm,
        plan.workspace,
        stream=plan.kind == "stream",
        max_tokens=100,
        answer_words=plan.words,
        stream_options={"include_usage": True},
    )
    return Sent(plan.kind, plan.workspace, _outcome(answer), _tokens(answer))


def _outcome(answer: Answer) -> str:
    if answer.status == HTTP_OK and answer.whole:
        return "answered"
    return answer.json()["outcome"]


def _tokens(answer: Answer) -> int:
    if answer.status != HTTP_OK:
        return 0
    body = answer.body
    if answer.headers["Content-Type"].startswith("text/event-stream"):
        body = answer.events()[-2].encode()
    usage = msgspec.json.decode(body)["usage"]
    return usage["prompt_tokens"] + usage["completion_tokens"]


async def _all_settled(fleet: Fleet) -> bool:
    for vm in fleet.routers():
        status = (await fleet.ask(vm, "GET", "/status")).json()
        if status["unsettled_attempts"] or status["unwritten_bills"]:
            return False
    return True


async def _compare(fleet: Fleet, sent: list[Sent]) -> tuple[Summary, bool]:
    bills = [b for w in ("crew", "mosque") for b in await fleet.bills(w)]
    mosque = sum(b["tokens"] for b in bills if b["workspace"] == "mosque")
    answered = [s for s in sent if s.outcome == "answered"]
    calls = [s for s in answered if s.kind == "service"]
    served = sum((await fleet.served()).values()) + len(calls) * SERVICE_TOKENS
    billed = sum(b["tokens"] for b in bills)
    summary = Summary(
        requests=len(sent),
        answered=len(answered),
        refused_not_run=sum(s.outcome == "not_run" for s in sent),
        unknown=sum(s.outcome == "unknown" for s in sent),
        billed_tokens=billed,
        served_tokens=served,
        overspend_tokens=max(0, mosque - SMALL_BUDGET_TOKENS),
        double_billed=len(bills) - len({b["attempt"] for b in bills}),
    )
    _show(sent, billed, served)
    told = sum(s.tokens for s in answered)
    clean = not summary.overspend_tokens and not summary.double_billed
    return summary, clean and told == billed == served


def _show(sent: list[Sent], billed: int, served: int) -> None:
    typer.echo(
        f"{'WORKSPACE':<12}{'KIND':<10}{'OUTCOME':<12}{'REQUESTS':>9}{'TOKENS':>9}"
    )
    groups = sorted({(s.workspace, s.kind, s.outcome) for s in sent})
    for workspace, kind, outcome in groups:
        group = [
            s
            for s in sent
            if (s.workspace, s.kind, s.outcome) == (workspace, kind, outcome)
        ]
        tokens = sum(s.tokens for s in group if s.outcome == "answered")
        typer.echo(f"{workspace:<12}{kind:<10}{outcome:<12}{len(group):>9}{tokens:>9}")
    told = sum(s.tokens for s in sent if s.outcome == "answered")
    typer.echo(
        f"callers were told {told}, endpoints served {served}, ledger holds {billed}"
    )


if __name__ == "__main__":
    main()
