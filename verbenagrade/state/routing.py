"""Chooses an endpoint for a request."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from verbenagrade.state.resources import EndpointAddress, Pool

__all__ = ["EndpointTable", "RoutingChoice"]

DOWN_S = 1.0


@dataclass(frozen=True, slots=True)
class RoutingChoice:
    """The chosen endpoint and why it was preferred."""

    endpoint: EndpointAddress
    in_flight: int
    candidates: int
    local: bool


class EndpointTable:
    """What this instance knows of endpoints: in-flight requests and failures."""

    def __init__(self, data_centre: str, seed: int) -> None:
        self.data_centre = data_centre
        self.random = random.Random(seed)
        self.in_flight: dict[str, int] = {}
        self.down_until: dict[str, float] = {}

    def choose(
        self, pool: Pool, excluded: Iterable[str], now: float
    ) -> RoutingChoice | None:
        """Takes the less loaded of two random endpoints, nearby ones first.

        Leaving endpoints and the excluded ones get nothing. Ones that failed
        within the last second are used only if there is no other.
        """
        barred = {*excluded, *pool.leaving}
        open_ones = [e for e in pool.endpoints if e.name not in barred]
        up = [e for e in open_ones if self.down_until.get(e.name, 0.0) <= now]
        near = [e for e in up if e.data_centre == self.data_centre]
        candidates = near or up or open_ones
        if not candidates:
            return None
        pair = self.random.sample(candidates, min(2, len(candidates)))
        best = min(pair, key=self._load)
        return RoutingChoice(best, self._load(best), len(candidates), bool(near))

    def started(self, endpoint: str) -> None:
        """Counts a request that goes to an endpoint."""
        self.in_flight[endpoint] = self.in_flight.get(endpoint, 0) + 1

    def ended(self, endpoint: str) -> None:
        """Counts a request that came back from an endpoint."""
        self.in_flight[endpoint] -= 1

    def failed(self, endpoint: str, now: float) -> None:
        """Avoids an endpoint for a while after a connection to it failed."""
        self.down_until[endpoint] = now + DOWN_S

    def _load(self, endpoint: EndpointAddress) -> int:
        return self.in_flight.get(endpoint.name, 0)
