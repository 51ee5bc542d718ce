"""What libraries may write to a process's log."""

import subprocess
import sys

ONE_CALL = """
from verbenagrade.events import set_up_bounded_logging
from verbenagrade.state import RequestOutcome
import logging

set_up_bounded_logging("info", "vm-1", 100.0)
outcome = RequestOutcome()
for trigger in ("reserve", "send", "answer"):
    outcome.advance(trigger)
logging.getLogger("transitions").warning("a state chart is wrong")
"""


def test_a_calls_state_chart_writes_no_lines_but_its_warnings_do():
    """Six lines a call were two in five of all lines and bore no number."""
    found = subprocess.run(
        [sys.executable, "-c", ONE_CALL], capture_output=True, text=True, check=True
    )
    (line,) = found.stdout.splitlines()
    assert "a state chart is wrong" in line
