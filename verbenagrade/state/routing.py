"""Chooses an endpoint of a pool for a request."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from verbenagrade.state.resources import EndpointAddress, Pool

__all__ = ["EndpointTable", "RoutingChoice"]

DOWN_S = 1.0


@dataclass(frozen=True, slots=True)
class RoutingChoice:
    """The chosen endpoint and the reasons for the choice.

    ``in_flight`` counts its requests, ``candidates`` is the number of endpoints
    to choose from, and ``local`` says whether they are in the same data centre.
    """

    endpoint: EndpointAddress
    in_flight: int
    candidates: int
    local: bool


class EndpointTable:
    """Requests in flight and failures of each endpoint, as seen by this instance."""

    def __init__(self, data_centre: str, seed: int) -> None:
        self.data_centre = data_centre
        self.random = random.Random(seed)
        self.in_flight: dict[str, int] = {}
        self.down_until: dict[str, float] = {}

    def choose(
        self, pool: Pool, excluded: Iterable[str], now: float
    ) -> RoutingChoice | None:
        """Returns the less loaded of two random endpoints, or ``None``.

        Endpoints in the same data centre are preferred. Leaving and excluded
        endpoints are never chosen. Endpoints that failed within the last second
        are chosen only if there are no others.
        """
        unavailable = {*excluded, *pool.leaving}
        allowed = [e for e in pool.endpoints if e.name not in unavailable]
        reachable = [e for e in allowed if self.down_until.get(e.name, 0.0) <= now]
        nearby = [e for e in reachable if e.data_centre == self.data_centre]
        candidates = nearby or reachable or allowed
        if not candidates:
            return None
        sampled = self.random.sample(candidates, min(2, len(candidates)))
        best = min(sampled, key=self._load)
        return RoutingChoice(best, self._load(best), len(candidates), bool(nearby))

    def started(self, endpoint: str) -> None:
        """Records that a request is sent to an endpoint."""
        self.in_flight[endpoint] = self.in_flight.get(endpoint, 0) + 1

    def ended(self, endpoint: str) -> None:
        """Records that a request to an endpoint has ended."""
        self.in_flight[endpoint] -= 1

    def failed(self, endpoint: str, now: float) -> None:
        """Avoids an endpoint for ``DOWN_S`` after a connection to it failed."""
        self.down_until[endpoint] = now + DOWN_S

    def _load(self, endpoint: EndpointAddress) -> int:
        return self.in_flight.get(endpoint.name, 0)
