"""Model engine stand-in that counts one token for each word.

``POST /switch`` replaces the settings below, given as a JSON object:

- ``token_s``: seconds to generate a token.
- ``silent``: accept requests and never respond.
- ``crash_on``: exit when a prompt contains this text.
- ``ignore_limit``: generate up to twice the ``max_tokens`` of a request.
- ``break_after``: drop the connection after this many tokens, once.
- ``forget``: delete all records, as a restart does.
"""

import asyncio
import os

import msgspec
import typer
from aiohttp import web


class Switches(msgspec.Struct):
    """Settings that ``POST /switch`` replaces; see the module docstring."""

    token_s: float = 0.002
    silent: bool = False
    crash_on: str = ""
    ignore_limit: bool = False
    break_after: int = 0
    forget: bool = False


class Run:
    """The run of one attempt: its state and its generated tokens."""

    def __init__(self, prompt_tokens: int, limit: int) -> None:
        self.state = "running"
        self.prompt_tokens = prompt_tokens
        self.limit = limit
        self.generated = 0

    def usage(self):
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.generated,
        }


class EngineStandIn:
    """The engine's HTTP API and its records of runs."""

    def __init__(self) -> None:
        self.switches = Switches()
        self.runs: dict[str, Run] = {}
        self.closed_before_start: set[str] = set()

    def application(self) -> web.Application:
        app = web.Application()
        run_path = "/v1/requests/{attempt}"
        app.router.add_post("/v1/chat/completions", self._start)
        app.router.add_post(f"{run_path}/resume", self._resume)
        app.router.add_post(f"{run_path}/close", self._close)
        app.router.add_get(run_path, self._get_record)
        app.router.add_post("/switch", self._switch)
        app.router.add_get("/served", self._served)
        return app

    async def _start(self, request):
        attempt = request.headers["X-Request-Id"]
        body = msgspec.json.decode(await request.read())
        text = " ".join(str(m["content"]) for m in body["messages"])
        switches = self.switches
        if switches.crash_on and switches.crash_on in text:
            os._exit(3)
        if switches.silent:
            await asyncio.sleep(3600)
        if attempt in self.closed_before_start or attempt in self.runs:
            return web.json_response({"error": "attempt is known"}, status=409)
        limit = body["max_tokens"] * (2 if switches.ignore_limit else 1)
        requested = body.get("answer_words", 20)
        run = Run(len(text.split()), min(requested, limit))
        self.runs[attempt] = run
        return await self._respond(request, run, 0, body.get("stream", False))

    async def _resume(self, request):
        run = self.runs.get(request.match_info["attempt"])
        if run is None:
            return web.json_response({"error": "never seen"}, status=404)
        after = int(request.query["after"])
        streamed = request.query["stream"] == "true"
        return await self._respond(request, run, after, streamed)

    async def _respond(self, request, run, after, streamed):
        if not streamed:
            while run.generated < run.limit:
                await self._generate_token(run)
            run.state = "finished"
            words = " ".join(f"w{n}" for n in range(run.generated))
            message = {"role": "assistant", "content": words}
            choice = {"index": 0, "message": message, "finish_reason": "stop"}
            return web.json_response({"choices": [choice], "usage": run.usage()})
        response = web.StreamResponse()
        response.content_type = "text/event-stream"
        await response.prepare(request)
        sent = after
        while sent < run.limit and run.state != "closed":
            if run.generated <= sent:
                await self._generate_token(run)
            delta = {"index": 0, "delta": {"content": f"w{sent} "}}
            usage = {**run.usage(), "completion_tokens": sent + 1}
            try:
                await response.write(_sse_event({"choices": [delta], "usage": usage}))
            except ConnectionError:
                run.state = "stopped"
                return response
            sent += 1
            if self.switches.break_after == sent:
                self.switches.break_after = 0
                request.transport.close()
                return response
        run.state = "finished"
        await response.write(_sse_event({"choices": [], "usage": run.usage()}))
        await response.write(b"data: [DONE]\n\n")
        return response

    async def _generate_token(self, run):
        await asyncio.sleep(self.switches.token_s)
        if run.state != "closed":
            run.generated += 1

    async def _get_record(self, request):
        return self._record_response(request.match_info["attempt"])

    async def _close(self, request):
        attempt = request.match_info["attempt"]
        run = self.runs.get(attempt)
        if run is None:
            self.closed_before_start.add(attempt)
        elif run.state != "finished":
            run.state, run.limit = "closed", run.generated
        return self._record_response(attempt)

    def _record_response(self, attempt):
        run = self.runs.get(attempt)
        if run is None:
            return web.json_response({"state": "never"})
        state = "stopped" if run.state == "closed" else run.state
        return web.json_response({"state": state, **run.usage()})

    async def _switch(self, request):
        self.switches = msgspec.json.decode(await request.read(), type=Switches)
        if self.switches.forget:
            self.runs.clear()
        return web.Response(text="ok")

    async def _served(self, _request):
        tokens = {a: r.prompt_tokens + r.generated for a, r in self.runs.items()}
        return web.json_response(tokens)


def _sse_event(data) -> bytes:
    return b"data: " + msgspec.json.encode(data) + b"\n\n"


def main(address: str, port: int) -> None:
    web.run_app(EngineStandIn().application(), host=address, port=port, print=None)


if __name__ == "__main__":
    typer.run(main)
