"""HTTP client that the command line uses to call a control process."""

from typing import TypeVar
from urllib.parse import quote

import aiohttp
import msgspec

from verbenagrade.exceptions import UndecodableError, VerbenagradeError
from verbenagrade.state.decoding import decode_json
from verbenagrade.transport.checked_responses import checked_session
from verbenagrade.transport.sends import SingleSendConnector, send_once

__all__ = ["ControlError", "call_control"]

REQUEST_TIMEOUT_S = 15.0

Reply = TypeVar("Reply")


class ControlError(VerbenagradeError):
    """A control process refused a request or did not respond."""


async def call_control(
    base: str, method: str, path: str, response_type: type[Reply], body: object = None
) -> Reply:
    """Sends a request to a control process and decodes the JSON response.

    Raises ``ControlError`` with the title and detail of the problem document.
    """
    url = base.rstrip("/") + quote(path)
    data = None if body is None else msgspec.json.encode(body)
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    try:
        with send_once():
            async with (
                checked_session(
                    connector=SingleSendConnector(), timeout=timeout
                ) as session,
                session.request(method, url, data=data) as response,
            ):
                content = await response.read()
        if not response.ok:
            raise ControlError(_problem_message(content))
        return decode_json(content, response_type)
    except (aiohttp.ClientError, TimeoutError, UndecodableError) as error:
        raise ControlError(f"{url}: {error}; try another control process") from error


class ProblemText(msgspec.Struct, frozen=True):
    """The fields of a problem document that are shown to operators."""

    title: str = ""
    detail: str = ""


def _problem_message(content: bytes) -> str:
    try:
        problem = decode_json(content, ProblemText)
    except UndecodableError:
        return content.decode(errors="replace")
    return f"{problem.title}: {problem.detail}"
