"""Tests that any bytes of a message give a message or the declared error."""

import base64
from contextlib import suppress

import hypothesis.strategies as st
import msgspec
import pytest
from hypothesis import given

from verbenagrade.coordination.codec import decode_row
from verbenagrade.coordination.configuration import decode_spec
from verbenagrade.exceptions import (
    InvalidRequestError,
    InvalidResourceError,
    PeerNoReplyError,
    UndecodableError,
    UnreadableRowError,
)
from verbenagrade.protocol.chat import parse_chat, parse_chunk
from verbenagrade.protocol.peer import BODY_TYPES, decode_body, decode_frame
from verbenagrade.protocol.relay import (
    NonceMemory,
    RelayOrder,
    decode_order,
    encode_order,
    prove_order,
    verify_order,
    verify_response,
)
from verbenagrade.protocol.reservations import (
    Challenge,
    Hello,
    Orders,
    Results,
    Welcome,
)
from verbenagrade.protocol.resources import decode_apply
from verbenagrade.state.bills import JournalBatch
from verbenagrade.state.budgets import BudgetRow, GrantRow
from verbenagrade.state.decoding import decode_msgpack, make_decoder
from verbenagrade.state.reservations import SpenderAccount
from verbenagrade.tests.odd_values import DEPTH, EXTREMES, FUZZ, any_bytes

NESTED_ARRAYS = b"\x91" * DEPTH
NESTED_MAPS = b"\x81\xa1a" * DEPTH
FIELDS = {
    "nonce": "n",
    "recipient": "front-1-a",
    "valid_until_s": 10.0,
    "incarnation": "i-1@0",
    "request_digest": "d",
    "call_digest": "d",
    "endpoint": "i-1",
    "remaining_s": 3.0,
    "workspace": "",
    "resume_after": "",
    "priority": None,
    "headers": [["A", b"b"]],
}
ODD_PARTS = (
    None,
    True,
    -1,
    2**63,
    2**64 - 1,
    1e308,
    float("inf"),
    float("nan"),
    "",
    b"\xff",
    "text",
    [],
    {},
    [["A", "b"]],
    [["A"]],
    [[b"\xff", b"\xff"]],
    msgspec.msgpack.Ext(5, b"x"),
)
parts = st.recursive(
    st.sampled_from(ODD_PARTS) | st.integers(-5, 2**64 - 1) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=6),
    max_leaves=30,
)


@st.composite
def orders(draw):
    """Draws the bytes of an order, some of whose fields are odd."""
    odd = draw(st.dictionaries(st.sampled_from([*FIELDS, "x"]), parts, max_size=3))
    return msgspec.msgpack.encode({**FIELDS, **odd})


def odd_messages():
    """Returns a strategy for the bytes of messages in MessagePack."""
    return st.one_of(
        parts.map(msgspec.msgpack.encode),
        orders(),
        st.sampled_from([NESTED_ARRAYS, NESTED_MAPS, b"", b"\xd7\xff" + b"\xff" * 8]),
        st.binary(max_size=60),
    )


# Guards against an order that ends in an error that nobody expects, before its proof
# was checked.
@FUZZ
@given(odd_messages())
def test_any_order_is_sound_or_a_value_error(data):
    try:
        order = decode_order(base64.b64encode(data).decode())
    except ValueError:
        return
    assert abs(int(order.endpoint_call(0.1).remaining_s * 1000)) < 1e15
    assert all(name.encode() for name, _ in order.headers if name)
    memory = NonceMemory()
    memory.take(order, 0.0)
    memory.take(order, 1e12)
    assert not memory.valid_until_s
    assert decode_order(encode_order(order)) == order


@pytest.mark.parametrize(
    "data",
    [
        NESTED_ARRAYS,
        NESTED_MAPS,
        msgspec.msgpack.encode({**FIELDS, "headers": [["A", "b"]]}),
        msgspec.msgpack.encode({**FIELDS, "x": 1})[:-1] + NESTED_ARRAYS,
        msgspec.msgpack.encode({**FIELDS, "remaining_s": float("nan")}),
        msgspec.msgpack.encode({**FIELDS, "valid_until_s": float("inf")}),
    ],
    ids=range(6),
)
def test_odd_order_is_a_value_error(data):
    with pytest.raises(ValueError, match=r"."):
        decode_order(base64.b64encode(data).decode())


def test_order_of_another_build_is_read():
    # The fields and types that builds before this one send.
    order = decode_order(base64.b64encode(msgspec.msgpack.encode(FIELDS)).decode())
    expected = {**FIELDS, "headers": (("A", "b"),)}
    assert order == RelayOrder(**expected)


@pytest.mark.parametrize("text", ["\udcff", "é", "", "!!"])
def test_odd_text_is_no_order_and_no_proof(text):
    with pytest.raises(ValueError, match=r"."):
        decode_order(text or "=")
    assert not verify_order(b"key", text, text)
    assert not verify_order(b"key", "order", text)
    assert not verify_response([b"key"], "n", text, text)
    assert verify_order(b"key", text, prove_order(b"key", text))


@FUZZ
@given(odd_messages())
def test_any_message_of_a_vm_is_sound_or_undecodable(data):
    decoders = [make_decoder(kind) for kind in (Orders, Results)]
    for kind in (Challenge, Hello, Welcome):
        decoders.append(lambda data, kind=kind: decode_msgpack(data, kind))
    for decode in decoders:
        try:
            message = decode(data)
        except UndecodableError:
            continue
        if isinstance(message, Orders):
            holder_account = SpenderAccount()
            for order in message.reserve:
                if holder_account.begin(order.number):
                    holder_account.complete(order.number, "hotel", order.tokens)
            for order in message.settle:
                with suppress(ValueError):
                    holder_account.settle(order.number, order.used)


@pytest.mark.parametrize("kind", [Orders, Results, Challenge, Hello, Welcome])
@pytest.mark.parametrize("data", [NESTED_ARRAYS, NESTED_MAPS, b"", b"\x94\x90\x90\x90"])
def test_odd_message_of_a_vm_is_undecodable(kind, data):
    data = data + NESTED_ARRAYS if data.startswith(b"\x94") else data
    with pytest.raises(UndecodableError):
        make_decoder(kind)(data)


@FUZZ
@given(odd_messages(), st.sampled_from([*BODY_TYPES, "x"]))
def test_any_frame_of_an_instance_is_sound_or_declared(data, kind):
    frame = msgspec.msgpack.encode([1, kind, msgspec.Raw(data or b"\xc0")])
    for candidate in (data, frame):
        try:
            decode_body(decode_frame(candidate))
        except (UndecodableError, PeerNoReplyError):
            continue


@FUZZ
@given(
    any_bytes(
        {
            "model": b'"m"',
            "messages": b'[{"role":"user","content":"x"}]',
            "max_tokens": b"5",
            "stream": b"true",
            "stream_options": b'{"include_usage":true}',
        }
    )
)
def test_any_body_of_a_request_is_sound_or_invalid(data):
    for decode, declared in (
        (parse_chat, InvalidRequestError),
        (decode_apply, InvalidRequestError),
        (parse_chunk, UndecodableError),
        (lambda data: decode_spec("budget", data), InvalidResourceError),
    ):
        try:
            decode(data)
        except declared:
            continue


@FUZZ
@given(
    any_bytes({"amount": b"5", "spent": b"1", "operation": b"2", "prepaid": b"9"}),
    st.sampled_from([GrantRow, BudgetRow, JournalBatch]),
)
def test_any_stored_value_is_sound_or_unreadable(data, kind):
    try:
        assert isinstance(decode_row(data, kind), kind)
    except UnreadableRowError:
        return


@pytest.mark.parametrize("value", EXTREMES, ids=lambda value: repr(value[:20]))
def test_odd_stored_value_is_unreadable(value):
    if value in (b"{}", b"1e308"):
        value = b"[" + value
    with pytest.raises(UnreadableRowError):
        decode_row(value, JournalBatch)
