"""An event loop whose time passes at once."""

import asyncio
import selectors

__all__ = ["VirtualTimeLoop"]


class VirtualTimeSelector(selectors.SelectSelector):
    """Advances the time instead of waiting; no file is ever ready."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """Lets ``timeout`` seconds pass."""
        self.now += max(0.0, timeout or 0.0)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs tasks in the order of their times, as fast as the processor allows."""

    def __init__(self) -> None:
        self.virtual_selector = VirtualTimeSelector()
        super().__init__(self.virtual_selector)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self.virtual_selector.now
