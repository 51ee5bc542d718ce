"""Tests of the log messages that libraries may write to the log of a process."""

import subprocess
import sys

CALL_SCRIPT = """
from verbenagrade.events import set_up_rate_limited_logging
from verbenagrade.state import RequestOutcome
import logging

set_up_rate_limited_logging("info", "vm-1", 100.0)
outcome = RequestOutcome()
for trigger in ("reserve", "send", "answer"):
    outcome.advance(trigger)
logging.getLogger("transitions").warning("the state machine is invalid")
"""


def test_transitions_library_logs_warnings_but_no_info_messages():
    """Six info messages per call, without event numbers, were 40 % of all log lines."""
    completed = subprocess.run(
        [sys.executable, "-c", CALL_SCRIPT], capture_output=True, text=True, check=True
    )
    (line,) = completed.stdout.splitlines()
    assert "the state machine is invalid" in line
