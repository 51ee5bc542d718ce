"""The chat-completions API, as used by callers and engines."""

from dataclasses import dataclass
from typing import Annotated, Any

import msgspec

from verbenagrade.exceptions import InvalidRequestError, UndecodableError
from verbenagrade.state.decoding import decode_json

__all__ = [
    "ChatChunk",
    "ChatRequest",
    "EngineRecord",
    "EngineState",
    "Usage",
    "encode_engine_request",
    "parse_chat",
    "parse_chunk",
    "prompt_bound",
]

PROMPT_OVERHEAD_TOKENS = 64

PositiveInt = Annotated[int, msgspec.Meta(ge=1)]


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a prompt; its content is not decoded."""

    role: str
    content: msgspec.Raw = msgspec.Raw(b"null")


class ChatBody(msgspec.Struct, frozen=True):
    """The fields of a chat request that the router reads."""

    model: str
    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]
    stream: bool = False
    max_tokens: PositiveInt | None = None
    max_completion_tokens: PositiveInt | None = None
    n: int = 1


@dataclass(frozen=True, slots=True)
class ChatRequest:
    """A caller's chat request.

    ``prompt_bound`` is an upper bound of the prompt, in tokens. ``completion_bound``
    is the caller's limit for the completion, in tokens, or ``None``.
    ``wants_usage`` is set if the caller asked for usage in the stream.
    """

    route: str
    stream: bool
    prompt_bound: int
    completion_bound: int | None
    wants_usage: bool
    body: bytes


class Usage(msgspec.Struct, frozen=True):
    """Token counts, as reported by engines."""

    prompt_tokens: int = 0
    completion_tokens: int = 0

    @property
    def total(self) -> int:
        """The tokens of prompt and completion."""
        return self.prompt_tokens + self.completion_tokens


class ChatChunk(msgspec.Struct, frozen=True):
    """The fields that the router reads of a streamed chunk or a complete response."""

    choices: list[msgspec.Raw] = []
    usage: Usage | None = None


class EngineState:
    """The states of an attempt, as reported by engines."""

    NEVER_RAN = "never"
    RUNNING = "running"
    STOPPED = "stopped"
    FINISHED = "finished"


class EngineRecord(msgspec.Struct, frozen=True):
    """An engine's record of one attempt."""

    state: str
    prompt_tokens: int = 0
    completion_tokens: int = 0

    @property
    def total(self) -> int:
        """The tokens of prompt and completion that the engine has processed."""
        return self.prompt_tokens + self.completion_tokens


def parse_chat(body: bytes) -> ChatRequest:
    """Decodes the body of a caller's request.

    Raises ``InvalidRequestError``, which names the field and the expected value.
    """
    try:
        parsed = decode_json(body, ChatBody)
        options = decode_json(body, dict[str, Any])
    except UndecodableError as error:
        raise InvalidRequestError(f"request body: {error}") from error
    if parsed.n != 1:
        raise InvalidRequestError("n: ask for one answer a request")
    stream_options = options.get("stream_options") or {}
    if not isinstance(stream_options, dict):
        raise InvalidRequestError("stream_options: Expected `object`")
    return ChatRequest(
        route=parsed.model,
        stream=parsed.stream,
        prompt_bound=prompt_bound(body),
        completion_bound=parsed.max_completion_tokens or parsed.max_tokens,
        wants_usage=bool(stream_options.get("include_usage")),
        body=body,
    )


def prompt_bound(body: bytes) -> int:
    """Returns an upper bound of a prompt's length, in tokens.

    Tokenizers with a byte-level vocabulary produce at most one token per byte.

    >>> prompt_bound(b"x" * 36)
    100
    """
    return len(body) + PROMPT_OVERHEAD_TOKENS


def encode_engine_request(request: ChatRequest, completion_tokens: int) -> bytes:
    """Returns the body for the engine, which may generate ``completion_tokens``."""
    options = decode_json(request.body, dict[str, Any])
    options.pop("max_completion_tokens", None)
    options["max_tokens"] = completion_tokens
    if request.stream:
        options["stream_options"] = {
            "include_usage": True,
            "continuous_usage_stats": True,
        }
    return msgspec.json.encode(options)


def parse_chunk(data: bytes) -> ChatChunk:
    """Decodes a chunk of an engine's stream, or a complete response.

    Raises ``UndecodableError`` if the data is neither.
    """
    return decode_json(data, ChatChunk)
