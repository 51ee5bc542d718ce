"""Fault injection: random faults, one after another for each injector.

Faults of several injectors overlap.
"""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from soak.environment import ENDPOINTS, GATEWAYS, SoakEnvironment
from soak.proxy import LinkState

__all__ = ["FAULTS", "inject_drills", "inject_faults", "inject_mass_kills"]

STOP_TIMEOUT_S = 8.0
MASS_KILL_INTERVAL_S = (4.0, 9.0)
Fault = Callable[[SoakEnvironment, random.Random], Awaitable[None]]


async def kill_gateway(environment: SoakEnvironment, rng: random.Random) -> None:
    """Kills a gateway and starts it again after up to 1 s."""
    number = rng.randrange(GATEWAYS)
    environment.signal_gateway(number, signal.SIGKILL)
    await environment.wait_for_exit(number, 2.0)
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    environment.start_gateway(number)


async def restart_gateway(environment: SoakEnvironment, rng: random.Random) -> None:
    """Stops a gateway gracefully and starts it again."""
    number = rng.randrange(GATEWAYS)
    environment.signal_gateway(number, signal.SIGTERM)
    await environment.wait_for_exit(number, STOP_TIMEOUT_S)
    environment.start_gateway(number)


async def pause_gateway(environment: SoakEnvironment, rng: random.Random) -> None:
    """Suspends a gateway for up to 3 s; its process gets no notice of the pause."""
    number = rng.randrange(GATEWAYS)
    environment.signal_gateway(number, signal.SIGSTOP)
    await asyncio.sleep(rng.uniform(0.2, 3.0))
    environment.signal_gateway(number, signal.SIGCONT)


async def reload_gateway(environment: SoakEnvironment, rng: random.Random) -> None:
    """Makes a gateway reload its settings file."""
    environment.signal_gateway(rng.randrange(GATEWAYS), signal.SIGHUP)


async def disrupt_store_link(environment: SoakEnvironment, rng: random.Random) -> None:
    """Blocks, delays or refuses the connections of one gateway to the store."""
    proxy = rng.choice(environment.store_proxies)
    states = (
        LinkState(forward=False, backward=False),
        LinkState(backward=False),
        LinkState(delay_s=0.3),
        LinkState(refuse=True),
    )
    proxy.set_link(rng.choice(states))
    if rng.random() < 0.3:
        proxy.reset()
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    proxy.set_link(LinkState())


async def drop_store_responses(
    environment: SoakEnvironment, rng: random.Random
) -> None:
    """Makes the store drop responses to transactions that have taken effect."""
    environment.store.responses_to_lose += rng.randrange(1, 4)


async def fail_store(environment: SoakEnvironment, rng: random.Random) -> None:
    """Makes the store refuse all requests; half of the time it also loses its history.

    Gateways can't continue the change feed from a revision whose history is lost.
    """
    environment.store.status = rng.choice((503, 429))
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    if rng.random() < 0.5:
        environment.store.forget_history()
    environment.store.status = 0


async def disrupt_endpoint_link(
    environment: SoakEnvironment, rng: random.Random
) -> None:
    """Blocks, delays, refuses or resets the connections to one endpoint."""
    proxy = rng.choice(environment.endpoint_proxies)
    states = (
        LinkState(forward=False, backward=False),
        LinkState(backward=False),
        LinkState(delay_s=0.2),
        LinkState(refuse=True),
    )
    if rng.random() < 0.5:
        proxy.reset()
    proxy.set_link(rng.choice(states))
    await asyncio.sleep(rng.uniform(0.2, 2.0))
    proxy.set_link(LinkState())


async def change_endpoint_entry(
    environment: SoakEnvironment, rng: random.Random
) -> None:
    """Drains or deregisters an endpoint, then registers it as a new instance."""
    number = rng.randrange(ENDPOINTS)
    if rng.random() < 0.5:
        environment.register_endpoint(number, state="draining")
    else:
        environment.store.remove("servers", environment.endpoints[number].name)
    await asyncio.sleep(rng.uniform(0.5, 2.0))
    environment.register_endpoint(number, born=rng.randrange(2000, 9000))


async def change_configuration(
    environment: SoakEnvironment, rng: random.Random
) -> None:
    """Writes one to four configuration versions in quick succession."""
    for _ in range(rng.randrange(1, 5)):
        environment.write_configuration()
        await asyncio.sleep(rng.uniform(0.0, 0.1))


FAULTS: tuple[Fault, ...] = (
    kill_gateway,
    restart_gateway,
    pause_gateway,
    reload_gateway,
    disrupt_store_link,
    drop_store_responses,
    fail_store,
    disrupt_endpoint_link,
    change_endpoint_entry,
    change_configuration,
)


async def restore_copy_of_store(
    environment: SoakEnvironment, rng: random.Random
) -> None:
    """Makes the store come back from a copy that is up to 4 s old.

    Operator and endpoints write again what was lost of theirs, after up to 1 s.
    """
    environment.store.take_copy()
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    environment.store.status = 503
    await asyncio.sleep(rng.uniform(0.1, 1.0))
    lost = environment.store.come_back_from_copy()
    environment.store.status = 0
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    environment.store.write_again(lost, ("op", "servers"))


async def inject_drills(
    environment: SoakEnvironment, rng: random.Random, stop: asyncio.Event
) -> None:
    """Lets the store come back from older copies until ``stop`` is set."""
    while not stop.is_set():
        await asyncio.sleep(rng.uniform(1.0, 6.0))
        await restore_copy_of_store(environment, rng)


async def inject_mass_kills(
    environment: SoakEnvironment, rng: random.Random, stop: asyncio.Event
) -> None:
    """Kills all gateways at once now and then, and starts them within a second."""
    while not stop.is_set():
        await asyncio.sleep(rng.uniform(*MASS_KILL_INTERVAL_S))
        for number in range(GATEWAYS):
            environment.signal_gateway(number, signal.SIGKILL)
        for number in range(GATEWAYS):
            await environment.wait_for_exit(number, 2.0)
            await asyncio.sleep(rng.uniform(0.0, 0.3))
            environment.start_gateway(number)


async def inject_faults(
    environment: SoakEnvironment, rng: random.Random, stop: asyncio.Event
) -> None:
    """Injects one fault after another until ``stop`` is set."""
    while not stop.is_set():
        await rng.choice(FAULTS)(environment, rng)
        await asyncio.sleep(rng.uniform(0.0, 0.5))
