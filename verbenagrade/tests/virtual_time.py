"""An asyncio event loop that advances virtual time instead of waiting."""

import asyncio
import selectors

__all__ = ["VirtualTimeLoop"]


class VirtualTimeSelector(selectors.SelectSelector):
    """Advances virtual time instead of waiting; never reports a file as ready."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """Advances the virtual time by ``timeout`` seconds."""
        self.now += max(0.0, timeout or 0.0)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs tasks in order of their scheduled virtual times, without waiting."""

    def __init__(self) -> None:
        self.virtual_selector = VirtualTimeSelector()
        super().__init__(self.virtual_selector)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self.virtual_selector.now
