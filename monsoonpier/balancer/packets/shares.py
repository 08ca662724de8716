"""Weighted choice of a new flow's service, and the earlier services of routes.

Weights allow gradual rollouts of a new version of a service. The choice depends on a
hash of the flow's addresses and ports, so that all balancers choose the same service
for each retransmission of a SYN. The share of a service without a serving target goes
to the others by their weights. A service whose targets are full keeps its share, since
operators limit a service's load by its weight.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from monsoonpier.model.address import Address
from monsoonpier.model.rendezvous import top_by_weight
from monsoonpier.model.service import PacketRoute

__all__ = ["EarlierServices", "ServiceChoice", "choose_service"]


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceChoice:
    """The service of a new flow.

    Attributes:
        service: The chosen service; empty if the route gives no service a share.
        passed_over: Services skipped before it, which have no serving target.
    """

    service: str
    passed_over: tuple[str, ...] = ()


def choose_service(
    flow: bytes, route: PacketRoute, *, serves: Callable[[str], bool]
) -> ServiceChoice:
    """Return the service of a new flow to a route's address.

    Args:
        flow: The flow's addresses and ports.
        route: The route of the address.
        serves: Returns whether a service has a serving target.
    """
    if not route.weights_by_service:
        return ServiceChoice(service=route.service)
    ordered = top_by_weight(flow.hex(), route.weights_by_service)
    for place, service in enumerate(ordered):
        if serves(service):
            return ServiceChoice(service=service, passed_over=ordered[:place])
    return ServiceChoice(service=ordered[0] if ordered else "")


class EarlierServices:
    """The services that an address was routed to before. Does no I/O.

    A flow stays at its target when a newer configuration routes its address to
    another service. An owner lookup must include the earlier services.
    """

    def __init__(self) -> None:
        self._routes_by_address: Mapping[Address, PacketRoute] = {}
        self._services_by_address: dict[Address, frozenset[str]] = {}

    def configured(self, routes_by_address: Mapping[Address, PacketRoute]) -> None:
        """Apply a newer configuration's routes; drop addresses without a route."""
        services_by_address = {}
        for address, route in routes_by_address.items():
            before = self._routes_by_address.get(address, route)
            earlier = (before.services | self.get(address)) - route.services
            if earlier:
                services_by_address[address] = earlier
        self._routes_by_address = routes_by_address
        self._services_by_address = services_by_address

    def get(self, address: Address) -> frozenset[str]:
        """Return the services that an address is no longer routed to."""
        return self._services_by_address.get(address, frozenset())
