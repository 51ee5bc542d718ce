"""Bytes and documents that another writer may leave, for tests of decoders."""

import os

import hypothesis.strategies as st
from hypothesis import HealthCheck, settings

DEPTH = 100_000
NESTED = b"[" * DEPTH
CLOSED_NESTED = b'{"a":' * 2000 + b"1" + b"}" * 2000
EXTREMES = (
    b"null",
    b"true",
    b"0",
    b"-1",
    b"-0.0",
    b"1.5",
    b"65536",
    b"99999",
    b"9007199254740993",
    b"-" + b"9" * 19,
    b"9" * 400,
    b"9" * 5000,
    b"1e308",
    b"-1e308",
    b"1e999",
    b"NaN",
    b"[]",
    b"{}",
    b"[[[]]]",
    b'""',
    b'" "',
    b'"a/b"',
    b'"a\\nb"',
    b'"\\u0000"',
    b'"\\ud800"',
    b'"\xff\xfe"',
    b'"\xd9\xa3"',
    b'"zone \xd9\xa3"',
    b'"' + b"x" * 70_000 + b'"',
    b'"1.2.3.4:99999"',
    b'"1.2.3.4:0"',
    b'"1.2.3.4:65536"',
    b'"1.2.3.4:\xd9\xa3"',
    b'"1.2.3.4:' + b"9" * 5000 + b'"',
    b'"a.b.c.d:80"',
    b'"999.1.1.1:80"',
    b'" 1.2.3.4:80"',
    b'"1.2.3.4"',
    b"{",
    b"[1,",
    b"",
    NESTED,
    CLOSED_NESTED,
)
"""Values of fields, as they stand in the bytes of a JSON document."""

PLAIN_BYTES = (b"", b"\x00", b"\xff\xfe", b"null", b"[]", b"5", NESTED, CLOSED_NESTED)
EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "0"))

FUZZ = settings(
    derandomize=not EXAMPLES,
    max_examples=EXAMPLES or 100,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
"""Few examples, always the same; more and random ones with ``FUZZ_EXAMPLES``."""


@st.composite
def documents(draw, valid):
    """Draws a JSON object with the fields of ``valid``, some of them odd.

    ``valid`` maps names of fields to the bytes of sound values.
    """
    fields = []
    for name, value in valid.items():
        kind = draw(st.sampled_from(["valid", "valid", "valid", "odd", "none"]))
        if kind == "odd":
            value = draw(st.sampled_from(EXTREMES))
        if kind != "none":
            fields.append((name.encode(), value))
    if draw(st.booleans()):
        name = draw(st.sampled_from([b"notes", *(name for name, _ in fields)]))
        fields.append((name, draw(st.sampled_from(EXTREMES))))
    return b"{" + b",".join(b'"%s":%s' % field for field in fields) + b"}"


def any_bytes(valid):
    """Returns a strategy for any bytes, odd documents among them."""
    return st.one_of(
        documents(valid), st.sampled_from(PLAIN_BYTES), st.binary(max_size=200)
    )
