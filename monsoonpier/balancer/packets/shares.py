"""Which services a route's flows go to, and which of them may hold one.

The load that it answers: a new version of a service gets a tenth of an address's flows,
then half, then all. Each balancer must choose alike, whichever copy of a SYN it gets
and however often it was restarted, so a flow's address alone decides. A service without
a target that serves gets nothing: its share goes to the others by their weights. One
whose targets are merely full keeps its share, since operators limit with weights what
a service is given.
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
        service: Where it goes; empty if the route gives no service a share.
        passed_over: Whose share it is of, where no target serves.
    """

    service: str
    passed_over: tuple[str, ...] = ()


def choose_service(
    flow: bytes, route: PacketRoute, *, serves: Callable[[str], bool]
) -> ServiceChoice:
    """Return the service of a new flow to a route's address.

    Args:
        flow: The flow's addresses and ports.
        route: Where the address leads.
        serves: Tells whether a service has a target that serves.
    """
    if not route.weights_by_service:
        return ServiceChoice(service=route.service)
    ordered = top_by_weight(flow.hex(), route.weights_by_service)
    for place, service in enumerate(ordered):
        if serves(service):
            return ServiceChoice(service=service, passed_over=ordered[:place])
    return ServiceChoice(service=ordered[0] if ordered else "")


class EarlierServices:
    """The services that an address's route named before. Does no I/O.

    A flow stays where it was opened when a newer version leads its address elsewhere.
    Without the earlier services it would be taken for dead as soon as its holder has to
    be asked for.
    """

    def __init__(self) -> None:
        self._routes_by_address: Mapping[Address, PacketRoute] = {}
        self._services_by_address: dict[Address, frozenset[str]] = {}

    def configured(self, routes_by_address: Mapping[Address, PacketRoute]) -> None:
        """Take a newer version; an address without a route is forgotten."""
        services_by_address = {}
        for address, route in routes_by_address.items():
            before = self._routes_by_address.get(address, route)
            earlier = (before.services | self.of(address)) - route.services
            if earlier:
                services_by_address[address] = earlier
        self._routes_by_address = routes_by_address
        self._services_by_address = services_by_address

    def of(self, address: Address) -> frozenset[str]:
        """Return the services that an address was led to and isn't any more."""
        return self._services_by_address.get(address, frozenset())
