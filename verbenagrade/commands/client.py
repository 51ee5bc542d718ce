"""Calls of the command line to a control process."""

from typing import TypeVar
from urllib.parse import quote

import aiohttp
import msgspec

from verbenagrade.exceptions import VerbenagradeError

__all__ = ["ControlError", "ask_control"]

TIMEOUT_S = 15.0

Reply = TypeVar("Reply")


class ControlError(VerbenagradeError):
    """A control process refused a call or did not answer."""


async def ask_control(
    base: str, method: str, path: str, reply_type: type[Reply], body: object = None
) -> Reply:
    """Calls a control process and decodes its answer.

    Raises ``ControlError`` with the text of the problem and its remedy.
    """
    url = base.rstrip("/") + quote(path)
    data = None if body is None else msgspec.json.encode(body)
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url, data=data) as response,
        ):
            answer = await response.read()
            if not response.ok:
                raise ControlError(_problem_text(answer))
            return msgspec.json.decode(answer, type=reply_type)
    except (aiohttp.ClientError, TimeoutError) as error:
        raise ControlError(f"{url}: {error}; try another control process") from error


class ProblemText(msgspec.Struct, frozen=True):
    """The parts of a problem document that a person reads."""

    title: str = ""
    detail: str = ""


def _problem_text(answer: bytes) -> str:
    try:
        problem = msgspec.json.decode(answer, type=ProblemText)
    except msgspec.DecodeError:
        return answer.decode(errors="replace")
    return f"{problem.title}: {problem.detail}"
