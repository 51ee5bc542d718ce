"""Compares the transcript of a test session with a golden file."""

import difflib
import json
import re
from pathlib import Path

_VARIABLE_TEXTS = (
    (re.compile(r"\.\d{13}"), ".INCARNATION"),
    (re.compile(r"INCARNATION-\d+"), "INCARNATION-N"),
    (re.compile(r"127\.\d+\.\d+\.\d+:\d+"), "ADDRESS"),
)


class GoldenTranscript:
    """Collects the steps of a session and compares them with the file at ``path``.

    With ``update``, ``check`` writes the file first. Incarnations and addresses,
    which differ between runs, are replaced by fixed texts.
    """

    def __init__(self, path: Path, update: bool) -> None:
        self.path = path
        self.update = update
        self.lines: list[str] = []

    def add_step(self, title: str, *values) -> None:
        """Adds a step of the session and the values observed in it."""
        self.lines.append(f"# {title}")
        self.lines.extend(_text(value) for value in values)

    def add_response(self, title: str, response) -> None:
        """Adds a response: status, selected headers and body."""
        selected = ("Content-Type", "Retry-After", "Idempotent-Replayed")
        headers = {k: v for k, v in response.headers.items() if k in selected}
        ending = "whole" if response.complete else "broken off"
        body = response.body.decode().strip().splitlines()
        self.add_step(
            title, f"{response.status} {ending}", headers, *filter(None, body)
        )

    def add_bills(self, title: str, bills) -> None:
        """Adds the bills of the ledger, without ids and times."""
        selected = ("workspace", "tokens", "prompt_tokens", "outcome")
        rows = sorted(_text({k: bill[k] for k in selected}) for bill in bills)
        self.add_step(title, *rows)

    def check(self) -> None:
        """Compares the session with the file, after rewriting it if so configured."""
        text = "\n".join(self.lines) + "\n"
        if self.update:
            self.path.parent.mkdir(exist_ok=True)
            self.path.write_text(text)
        expected = self.path.read_text() if self.path.exists() else ""
        diff = difflib.unified_diff(
            expected.splitlines(), text.splitlines(), str(self.path), "session"
        )
        assert expected == text, "\n".join(diff)


def _text(value) -> str:
    text = value if isinstance(value, str) else json.dumps(value, sort_keys=True)
    for pattern, replacement in _VARIABLE_TEXTS:
        text = pattern.sub(replacement, text)
    return text
