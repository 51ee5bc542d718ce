"""Callers that send one request over a new channel and read the answer."""

import contextlib
from dataclasses import dataclass, field

import aiohttp

HOST = "site.example"


@dataclass
class Answer:
    """An answer; ``status`` 0 stands for a channel that ended before one."""

    status: int = 0
    complete: bool = False
    body: bytearray = field(default_factory=bytearray)
    headers: dict = field(default_factory=dict)

    @property
    def events(self):
        """The complete events of a stream."""
        return bytes(self.body).split(b"\n\n")[:-1]

    @property
    def retry_after_s(self):
        """How long to wait before the next try, 0 if the answer does not say so."""
        return float(self.headers.get("Retry-After", 0.0))


async def call(session, address, method, path, headers):
    """Sends a request without a body; returns what came of its answer."""
    answer = Answer()
    failures = (aiohttp.ClientError, TimeoutError, OSError)
    with contextlib.suppress(*failures):
        async with session.request(
            method,
            f"http://{address}{path}",
            headers={"Host": HOST, **headers},
            allow_redirects=False,
        ) as response:
            answer.status = response.status
            answer.headers = dict(response.headers)
            async for piece in response.content.iter_any():
                answer.body += piece
            answer.complete = True
    return answer


def session():
    """Returns a client that opens a new channel for each request."""
    connector = aiohttp.TCPConnector(force_close=True, limit=0)
    return aiohttp.ClientSession(
        connector=connector, timeout=aiohttp.ClientTimeout(total=20, sock_connect=1)
    )
