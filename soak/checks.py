"""Checks the invariants of the soak test on what clients and endpoints observe."""

from collections import Counter, defaultdict
from dataclasses import dataclass

__all__ = ["InvariantChecker", "Violation"]

END_OF_EVENT = b"\n\n"


@dataclass(frozen=True, slots=True)
class Violation:
    """An invariant that was violated, and the id of the call that violated it."""

    invariant: str
    call: str
    detail: str = ""


class InvariantChecker:
    """Counts runs, refusals and tokens outside the gateways; records violations.

    ``stream_ends`` tells how endpoints ended the streams of each call, and
    ``whole_streams`` has the calls whose stream an endpoint has sent to its end, and
    the name of the endpoint. ``noise`` has what the last endpoint that sent events of a
    call sent after them, which may reach the client before the stream breaks off. Calls
    that were recorded as retryable, or whose ids begin with ``retryable_prefix``, may
    run again.
    """

    def __init__(self, prepaid_tokens: int, tokens_per_event: int) -> None:
        self.prepaid_tokens = prepaid_tokens
        self.tokens_per_event = tokens_per_event
        self.run_counts: Counter[str] = Counter()
        self.status_counts: Counter[str] = Counter()
        self.retryable_calls: set[str] = set()
        self.retryable_prefix = "retryable-"
        self.refused_calls: set[str] = set()
        self.spent_tokens = 0
        self.violations: list[Violation] = []
        self.stream_ends: defaultdict[str, list[str]] = defaultdict(list)
        self.whole_streams: dict[str, str] = {}
        self.noise: dict[str, bytes] = {}

    def record_call(self, call: str, retryable: bool) -> None:
        """Records a call before a client sends it."""
        if retryable:
            self.retryable_calls.add(call)

    def record_run(self, call: str, workspace: str) -> None:
        """Records that an endpoint began to run a call, and checks that it may run."""
        self.run_counts[call] += 1
        if workspace != "hotel":
            self.violations.append(
                Violation("only calls with known API keys run", call, workspace)
            )
        if call in self.retryable_calls or call.startswith(self.retryable_prefix):
            return
        if self.run_counts[call] > 1:
            self.violations.append(Violation("runs at most once", call))
        if call in self.refused_calls:
            self.violations.append(Violation("never runs after being refused", call))

    def record_delivery(self, call: str, prompt_tokens: int, events: int) -> None:
        """Adds the tokens of a call: its prompt once if it ran, and its events.

        Checks that the total stays within the prepaid tokens.
        """
        if self.run_counts[call]:
            self.spent_tokens += prompt_tokens
        self.spent_tokens += events * self.tokens_per_event
        if self.spent_tokens > self.prepaid_tokens:
            self.violations.append(Violation("spend stays inside the budget", call))

    def record_status(self, call: str, status: int) -> None:
        """Records the HTTP status that a client received.

        Checks that a refused call did not run before the refusal.
        """
        self.status_counts[str(status)] += 1
        if status not in (429, 503):
            return
        self.refused_calls.add(call)
        if call not in self.retryable_calls and self.run_counts[call]:
            self.violations.append(Violation("never ran before being refused", call))

    def check_body(self, call: str, body: bytes) -> None:
        """Checks that a response without streaming is complete and for this call."""
        if body != f"response to {call}".encode():
            self.violations.append(
                Violation("complete response to its own call", call, repr(body[:60]))
            )

    def check_events(
        self, call: str, body: bytes, first: int, last: int, ended: bool
    ) -> list[str]:
        """Checks the order and number of streamed events.

        ``first`` and ``last`` are the ids of the first and last event. ``ended`` tells
        whether the stream ended normally; if not, the last event received may be cut
        off and is left out. Returns the version that each complete event tells.
        """
        events = [event for event in body.split(b"\n\n") if event]
        expected = [f"id: {n}\ndata: {call}".encode() for n in range(first, last + 1)]
        complete = events if ended else events[:-1]
        texts = [event.rpartition(b" ") for event in complete]
        if [text for text, _, _ in texts] != expected[: len(complete)] or (
            ended and len(events) != len(expected)
        ):
            self.violations.append(Violation("no event missing or repeated", call))
        return [version.decode() for _, _, version in texts]

    def check_stream(
        self, call: str, body: bytes, first: int, last: int, ended: bool
    ) -> list[str]:
        """Checks a stream as ``check_events`` does, and each byte of it.

        If the stream has not ended normally, its last event may be cut off, and its end
        may be what its endpoint sent instead of an event. Returns the version that each
        complete event tells.
        """
        *events, rest = body.split(END_OF_EVENT)
        versions = []
        for number, event in enumerate(events, first):
            start, _, version = event.rpartition(b" ")
            if number > last or start != _event_start(call, number):
                tail = END_OF_EVENT.join((*events[number - first :], rest))
                self._check_tail(call, number, tail, ended)
                return versions
            versions.append(version.decode(errors="replace"))
        number = first + len(events)
        start = _event_start(call, number)
        is_begun = rest.startswith(start) or start.startswith(rest)
        if ended and (rest or number <= last):
            self._record_stream(call, f"complete before event {number}: {rest[:80]!r}")
        elif rest and (number > last or not is_begun):
            self._check_tail(call, number, rest, ended)
        return versions

    def _check_tail(self, call: str, number: int, tail: bytes, ended: bool) -> None:
        """Checks the end of a stream that does not begin with the next event."""
        if ended or not self.noise.get(call, b"").startswith(tail):
            how = "complete" if ended else "broken off"
            self._record_stream(call, f"{how}, event {number}: {tail[:80]!r}")

    def _record_stream(self, call: str, detail: str) -> None:
        ends = ", ".join(self.stream_ends[call])
        detail = f"{detail}; endpoints: {ends}"
        self.violations.append(
            Violation("a stream holds its events and nothing else", call, detail)
        )

    def forget_whole_streams(self, endpoint: str) -> None:
        """Forgets streams of an endpoint that may have ended with its process."""
        for call in [c for c, name in self.whole_streams.items() if name == endpoint]:
            del self.whole_streams[call]

    def check_whole(self, call: str, complete: bool) -> None:
        """Checks that the stream of a call is complete if its one run has sent it."""
        sent = self.whole_streams.pop(call, None)
        if sent is not None and not complete and self.run_counts[call] == 1:
            ends = ", ".join(self.stream_ends[call])
            self.violations.append(
                Violation("a whole stream is delivered as complete", call, ends)
            )

    def check_versions(self, call: str, versions: list[str]) -> None:
        """Checks that all events of a stream come from one software version."""
        if len(set(versions)) > 1:
            self.violations.append(
                Violation("a stream stays at its version", call, " ".join(versions))
            )


def _event_start(call: str, number: int) -> bytes:
    """Returns an event without the version at its end."""
    return f"id: {number}\ndata: {call}".encode()
