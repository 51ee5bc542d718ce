"""Writes down what was sent, answered and run in a case."""

from collections.abc import Iterable
from pathlib import Path
from time import monotonic

from review.common3.client import exchanges
from review.common3.replica import Replica


class Record:
    """The file ``record.txt`` of a case; times are in seconds since its start."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.began_at = monotonic()

    def __enter__(self) -> "Record":
        self.file = self.path.open("w")
        return self

    def __exit__(self, *_exception: object) -> None:
        self.file.close()

    def write(self, what: str, **fields: object) -> None:
        """Writes one line."""
        self._write(monotonic(), what, fields)

    def write_runs(self, replicas: Iterable[Replica]) -> None:
        """Writes a line for each request that was sent, answered or run."""
        lines = list(exchanges)
        for run in (run for replica in replicas for run in replica.runs):
            fields = {"replica": run.replica, "request": run.call, "path": run.path}
            lines.append((run.began_at, "run", {**fields, "events": run.events}))
        for at, what, fields in sorted(lines, key=lambda line: line[0]):
            self._write(at, what, fields)

    def _write(self, at: float, what: str, fields: dict[str, object]) -> None:
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{at - self.began_at:8.3f} {what} {text}\n")
        self.file.flush()
