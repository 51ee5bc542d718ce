"""Proxies on the ways between gateways, which can be cut."""

import itertools

from review.common3.deployment import Deployment, Gateway
from soak.proxy import LinkState, Proxy

SILENT = LinkState(forward=False, backward=False)


class Links:
    """The ways between all gateways of a deployment, one for each direction."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.proxies: dict[tuple[str, str], list[Proxy]] = {}

    async def __aenter__(self) -> "Links":
        for source, target in itertools.permutations(self.deployment.gateways, 2):
            await self._add(source, target)
        return self

    async def __aexit__(self, *_exception: object) -> None:
        for proxy in itertools.chain(*self.proxies.values()):
            proxy.stop()

    async def _add(self, source: Gateway, target: Gateway) -> None:
        """Puts proxies before the ports of ``target`` that ``source`` connects to.

        The first internal port serves metrics, the next one reservations, and the last
        one calls of other machines.
        """
        first, last = target.ports
        ways = self.deployment.store.ways.setdefault(source.store_address, {})
        proxies = self.proxies[source.name, target.name] = []
        for port in (first + 1, last):
            proxy = Proxy(f"{target.ip}:{port}")
            await proxy.start()
            proxies.append(proxy)
            ways[proxy.target] = proxy.address

    def cut(self, gateway: Gateway) -> None:
        """Cuts a gateway off from the store and from all others, silently."""
        self.deployment.store.silent_hosts.add(gateway.store_address)
        self._set(gateway, SILENT)

    def heal(self, gateway: Gateway) -> None:
        """Ends a cut."""
        self.deployment.store.silent_hosts.discard(gateway.store_address)
        self._set(gateway, LinkState())

    def _set(self, gateway: Gateway, state: LinkState) -> None:
        for ends, proxies in self.proxies.items():
            if gateway.name in ends:
                for proxy in proxies:
                    proxy.set_link(state)
