"""Messages of callers, endpoints, instances and the platform."""

from verbenagrade.protocol.chat import (
    ChatChunk,
    ChatRequest,
    EngineRecord,
    EngineState,
    Usage,
    engine_body,
    parse_chat,
    parse_chunk,
    prompt_bound,
)
from verbenagrade.protocol.peer import (
    Frame,
    Hello,
    decode_body,
    decode_frame,
    encode_frame,
)
from verbenagrade.protocol.platform import (
    ReadReply,
    ReadRequest,
    ScanReply,
    ScanRequest,
    TransactReply,
    TransactRequest,
    VmListReply,
)
from verbenagrade.protocol.problems import (
    Outcome,
    Problem,
    encode_problem,
    problem_of,
)
from verbenagrade.protocol.resources import (
    ApplyBody,
    BudgetReply,
    ExplainReply,
    ListReply,
    ResourceReply,
    StatusReply,
    decode_apply,
    reply_of,
)
from verbenagrade.protocol.sse import (
    DONE,
    data_of,
    event_of,
)

__all__ = [
    "DONE",
    "ApplyBody",
    "BudgetReply",
    "ChatChunk",
    "ChatRequest",
    "EngineRecord",
    "EngineState",
    "ExplainReply",
    "Frame",
    "Hello",
    "ListReply",
    "Outcome",
    "Problem",
    "ReadReply",
    "ReadRequest",
    "ResourceReply",
    "ScanReply",
    "ScanRequest",
    "StatusReply",
    "TransactReply",
    "TransactRequest",
    "Usage",
    "VmListReply",
    "data_of",
    "decode_apply",
    "decode_body",
    "decode_frame",
    "encode_frame",
    "encode_problem",
    "engine_body",
    "event_of",
    "parse_chat",
    "parse_chunk",
    "problem_of",
    "prompt_bound",
    "reply_of",
]
