"""The chat-completions shape of callers and engines."""

from dataclasses import dataclass
from typing import Annotated, Any

import msgspec

from verbenagrade.exceptions import InvalidRequestError

__all__ = [
    "ChatChunk",
    "ChatRequest",
    "EngineRecord",
    "EngineState",
    "Usage",
    "engine_body",
    "parse_chat",
    "parse_chunk",
    "prompt_bound",
]

PROMPT_OVERHEAD_TOKENS = 64

Count = Annotated[int, msgspec.Meta(ge=1)]


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a prompt; its content is passed on unread."""

    role: str
    content: msgspec.Raw = msgspec.Raw(b"null")


class ChatShape(msgspec.Struct, frozen=True):
    """The fields of a chat request that the router reads."""

    model: str
    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]
    stream: bool = False
    max_tokens: Count | None = None
    max_completion_tokens: Count | None = None
    n: int = 1


@dataclass(frozen=True, slots=True)
class ChatRequest:
    """A caller's chat request.

    ``prompt_bound`` is an upper bound of the prompt in tokens. ``answer_bound``
    is what the caller allowed, or ``None``. ``wants_usage`` says whether the
    caller asked for a usage chunk.
    """

    route: str
    stream: bool
    prompt_bound: int
    answer_bound: int | None
    wants_usage: bool
    body: bytes


class Usage(msgspec.Struct, frozen=True):
    """Token counts as engines report them."""

    prompt_tokens: int = 0
    completion_tokens: int = 0

    @property
    def total(self) -> int:
        """Prompt and answer together."""
        return self.prompt_tokens + self.completion_tokens


class ChatChunk(msgspec.Struct, frozen=True):
    """The fields of a streamed chunk, or of a whole answer, that are read."""

    choices: list[msgspec.Raw] = []
    usage: Usage | None = None


class EngineState:
    """States in which an engine reports a request."""

    NEVER = "never"
    RUNNING = "running"
    STOPPED = "stopped"
    FINISHED = "finished"


class EngineRecord(msgspec.Struct, frozen=True):
    """What an engine knows of one attempt."""

    state: str
    prompt_tokens: int = 0
    completion_tokens: int = 0

    @property
    def total(self) -> int:
        """Prompt and answer tokens that the engine has processed."""
        return self.prompt_tokens + self.completion_tokens


def parse_chat(body: bytes) -> ChatRequest:
    """Reads a caller's body.

    Raises ``InvalidRequestError`` naming the field and what is expected.
    """
    try:
        shape = msgspec.json.decode(body, type=ChatShape)
        options = msgspec.json.decode(body, type=dict[str, Any])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidRequestError(f"request body: {error}") from error
    if shape.n != 1:
        raise InvalidRequestError("n: ask for one answer a request")
    stream_options = options.get("stream_options") or {}
    if not isinstance(stream_options, dict):
        raise InvalidRequestError("stream_options: Expected `object`")
    return ChatRequest(
        route=shape.model,
        stream=shape.stream,
        prompt_bound=prompt_bound(body),
        answer_bound=shape.max_completion_tokens or shape.max_tokens,
        wants_usage=bool(stream_options.get("include_usage")),
        body=body,
    )


def prompt_bound(body: bytes) -> int:
    """Returns an upper bound of a prompt's tokens.

    Tokenizers of byte-level vocabularies make at most one token of each byte.

    >>> prompt_bound(b"x" * 36)
    100
    """
    return len(body) + PROMPT_OVERHEAD_TOKENS


def engine_body(request: ChatRequest, answer_tokens: int) -> bytes:
    """Returns the body for the engine, with the length of the answer bounded."""
    options = msgspec.json.decode(request.body, type=dict[str, Any])
    options.pop("max_completion_tokens", None)
    options["max_tokens"] = answer_tokens
    if request.stream:
        options["stream_options"] = {
            "include_usage": True,
            "continuous_usage_stats": True,
        }
    return msgspec.json.encode(options)


def parse_chunk(data: bytes) -> ChatChunk:
    """Reads a chunk of an engine's stream, or its whole answer.

    Raises ``msgspec.DecodeError`` if it is neither.
    """
    return msgspec.json.decode(data, type=ChatChunk)
