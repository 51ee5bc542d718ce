"""A route moves to another service, and a tenant gets more than it prepaid."""

from review.common.case import TROUBLE, Setting, run_case
from review.common.configurations import configuration, stream_route
from review.common.consumption import StreamLoad, use_up
from review.common.replicas import Replica

PREPAID = 100_000
EVENTS, EVENT_S = 40, 0.1
LOAD = StreamLoad(
    callers=40, prompt_tokens=20, events=EVENTS, spread_s=EVENTS * EVENT_S
)
CHANGE_AT_FRACTION = 0.4
BEFORE = configuration(
    4, stream_route("pool-a"), engines=("pool-a", "pool-b"), prepaid=PREPAID
)
AFTER = configuration(9, stream_route("pool-b"), engines=("pool-b",), prepaid=PREPAID)


def make_replicas(store, record) -> tuple[Replica, ...]:
    """Returns two replicas of each service."""
    replicas = tuple(
        Replica(f"i-{service}-{number}", service, store, record)
        for service in ("pool-a", "pool-b")
        for number in range(2)
    )
    for replica in replicas:
        replica.events, replica.event_s = EVENTS, EVENT_S
    return replicas


async def play(setting: Setting) -> bool:
    """Moves the route while streams are under way."""

    async def change() -> None:
        """Writes the new configuration."""
        if TROUBLE:
            setting.store.put("op", "config", AFTER)
            setting.record.write("configuration", version=9, route_to="pool-b")

    return await use_up(setting, LOAD, PREPAID, CHANGE_AT_FRACTION, change)


if __name__ == "__main__":
    run_case(__file__, BEFORE, make_replicas, play)
