"""Generates seeded requests with a token bound and an actual token use."""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

__all__ = ["DATA_CENTRES", "Arrival", "Fault", "Scenario", "arrivals", "scenarios"]

DATA_CENTRES = ("one", "two", "three")
DEFAULT_BUDGETS = 10
TOKEN_GENERATION_S = 0.02
MINUTE_S = 60.0
HOUR_S = 3600.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request; times in seconds, amounts in tokens.

    ``bound`` is the most that the request can use, known on arrival. The actual
    use ``used`` becomes known only when the request ends, at ``ends_at``.
    """

    at: float
    ends_at: float
    number: int
    budget: str
    data_centre: str
    bound: int
    used: int


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault, or a top-up, from ``starts_at`` until ``ends_at``, in seconds.

    The kind ``cut`` is a network partition between ``data_centre`` and all others
    and the platform, ``away`` an outage of the platform, ``lost`` makes one router
    unreachable for the others, and ``top_up`` adds ``tokens`` to every budget at its
    start.
    """

    kind: str
    starts_at: float
    ends_at: float
    data_centre: str = ""
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class Scenario:
    """A request load, the budgets that it uses and the faults during the run.

    ``budget_lifetime_s`` is the time for which a budget's tokens cover its demand.
    ``rate`` returns the requests per second at a given time in seconds.
    ``data_centre_shares`` are the shares of requests in the order of
    ``DATA_CENTRES``. The demand of a budget is inversely proportional to its rank to
    the power of ``zipf_exponent``. ``name`` is part of the random seed: a new name
    changes the requests.
    """

    name: str
    duration_s: float
    budget_lifetime_s: float
    rate: Callable[[float], float]
    data_centre_shares: tuple[float, ...] = (0.4, 0.35, 0.25)
    budgets: int = DEFAULT_BUDGETS
    zipf_exponent: float = 1.0
    faults: tuple[Fault, ...] = field(default=())


def steady(_at: float) -> float:
    """Returns a constant rate."""
    return 4.0


def rare(_at: float) -> float:
    """Returns the rate at which each of 400 budgets gets a request every 160 s."""
    return 2.5


def bursty(at: float) -> float:
    """Returns a rate with a burst of one minute in every ten minutes."""
    return 16.0 if at % (10 * MINUTE_S) < MINUTE_S else 2.0


def scenarios() -> tuple[Scenario, ...]:
    """Returns all scenarios in the order in which they are reported."""
    cut_1_h = Fault("cut", 1200.0, 1200.0 + HOUR_S, "one")
    cut_5_min = Fault("cut", 600.0, 900.0, "one")
    outage = Fault("away", 600.0, 600.0 + HOUR_S / 2)
    top_up = Fault("top_up", 900.0, 900.0, tokens=400_000)
    vm_loss = Fault("lost", 600.0, 606.0, "one")
    flapping = tuple(
        Fault("away", start, start + 4.0) for start in range(300, 2400, 30)
    )
    skewed = (0.9, 0.07, 0.03)
    hour, half = HOUR_S, HOUR_S / 2
    return (
        Scenario("steady", half, 3 * hour, steady),
        Scenario("bursty", half, 3 * hour, bursty),
        Scenario("skewed to one centre", half, 3 * hour, steady, skewed),
        Scenario("budget nearly spent", half, 0.4 * hour, steady),
        Scenario("nearly spent and skewed", half, 0.4 * hour, steady, skewed),
        Scenario("rarely used budgets", 4 * hour, 50 * hour, rare, skewed, 400, 0.0),
        Scenario("cut off for minutes", half, 3 * hour, steady, faults=(cut_5_min,)),
        Scenario("cut off for an hour", 5400.0, 3 * hour, steady, faults=(cut_1_h,)),
        Scenario("holder lost", half, 3 * hour, steady, faults=(vm_loss,)),
        Scenario("table down", 3000.0, 3 * hour, steady, faults=(outage,)),
        Scenario("table flapping", half, 3 * hour, steady, faults=flapping),
        Scenario(
            "top-up while cut off",
            half,
            0.3 * hour,
            steady,
            faults=(Fault("cut", 600.0, 1500.0, "one"), top_up),
        ),
    )


def arrivals(scenario: Scenario, seed: int) -> Iterator[Arrival]:
    """Yields a scenario's requests in order of arrival."""
    rng = random.Random(f"{scenario.name}-{seed}")
    weights = [
        (rank + 1) ** -scenario.zipf_exponent for rank in range(scenario.budgets)
    ]
    at = 0.0
    number = 0
    while True:
        at += rng.expovariate(scenario.rate(at))
        if at >= scenario.duration_s:
            return
        number += 1
        completion_bound = rng.choice((256, 512, 1024))
        completion = int(completion_bound * rng.betavariate(1.5, 3.0)) + 1
        prompt = int(rng.lognormvariate(5.0, 0.8)) + 8
        yield Arrival(
            at=at,
            ends_at=at + 0.2 + completion * TOKEN_GENERATION_S,
            number=number,
            budget=f"budget-{rng.choices(range(scenario.budgets), weights)[0]}",
            data_centre=rng.choices(DATA_CENTRES, scenario.data_centre_shares)[0],
            bound=prompt * 4 + completion_bound,
            used=prompt + completion,
        )
