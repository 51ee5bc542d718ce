"""The state machine of a request's outcome.

A request can be refused as not run only before any part of it was sent to an
endpoint. The state machine has no transition that allows it later.
"""

from transitions import Machine

__all__ = ["RequestOutcome"]

STATES = ("received", "reserved", "sent", "answered", "refused", "broken")

TRANSITIONS = (
    ("reserve", "received", "reserved"),
    ("withdraw", ("reserved", "sent"), "received"),
    ("send", "reserved", "sent"),
    ("answer", "sent", "answered"),
    ("refuse", ("received", "reserved"), "refused"),
    ("break_off", "sent", "broken"),
)

_machine = Machine(
    model=None,
    states=list(STATES),
    transitions=[list(transition) for transition in TRANSITIONS],
    initial="received",
    auto_transitions=False,
)


class RequestOutcome:
    """The state of one request.

    >>> outcome = RequestOutcome()
    >>> outcome.advance("reserve")
    >>> outcome.advance("send")
    >>> outcome.advance("refuse")
    Traceback (most recent call last):
        ...
    transitions.core.MachineError: "Can't trigger event refuse from state sent!"
    """

    def __init__(self) -> None:
        self.state = "received"

    def advance(self, trigger: str) -> None:
        """Performs the transition with this trigger.

        Raises ``transitions.MachineError`` if there is none from the current state.
        """
        _machine.events[trigger].trigger(self)
