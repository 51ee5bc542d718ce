"""Tests of the log stream that never blocks and limits the rate of lines."""

import fcntl
import os

from verbenagrade.events.rate_limited import RateLimitedStream


class FakeClock:
    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def format_summary(count: int) -> str:
    return f"dropped {count}"


def make_stream(descriptor, lines_per_s, clock):
    return RateLimitedStream(descriptor, lines_per_s, format_summary, clock)


def read_all(descriptor) -> list[str]:
    os.set_blocking(descriptor, False)
    data = bytearray()
    try:
        while chunk := os.read(descriptor, 65_536):
            data += chunk
    except BlockingIOError:
        pass
    return data.decode().splitlines()


def test_lines_beyond_the_rate_are_dropped_and_counted():
    reader, writer = os.pipe()
    clock = FakeClock()
    stream = make_stream(writer, 5, clock)
    for number in range(20):
        stream.write(f"line {number}\n")
    clock.now = 1.0
    stream.write("later\n")
    assert read_all(reader) == [
        *(f"line {n}" for n in range(5)),
        "dropped 15",
        "later",
    ]


def test_full_pipe_drops_lines_and_keeps_the_last_line_intact():
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
    clock = FakeClock()
    stream = make_stream(writer, 1e9, clock)
    for number in range(2000):
        clock.now += 1.0
        stream.write(f"line {number:06}\n")
    first = read_all(reader)
    for number in range(3):
        clock.now += 1.0
        stream.write(f"after {number}\n")
    lines = first + read_all(reader)
    text = "\n".join(lines)
    complete = [line for line in text.replace("\n", "|").split("|") if line]
    assert any(line.startswith("dropped") for line in complete)
    assert complete[-1] == "after 2"


def test_line_for_a_closed_pipe_is_dropped_without_an_error():
    reader, writer = os.pipe()
    os.close(reader)
    clock = FakeClock()
    stream = make_stream(writer, 10, clock)
    stream.write("line for a closed pipe\n")
    assert stream.dropped_lines == 1
