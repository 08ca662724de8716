"""The addresses at which a target may own flows.

A configuration that sends an address to another service leaves open flows where they
are. Balancers look for them at the targets that name the address in their records,
since a balancer that has started since doesn't know the earlier configuration.
"""

from monsoonpier.model.address import Address
from monsoonpier.model.target import MAX_FLOW_ADDRESSES

__all__ = ["TargetAddresses"]

# Much longer than a flow lasts, so that a rarely used address doesn't change the
# target's record again and again.
KEPT_SECONDS = 3_600.0


class TargetAddresses:
    """The addresses at which one target has flows or had them lately. Does no I/O."""

    def __init__(self) -> None:
        self._seen_at_by_address: dict[Address, float] = {}
        self._inherited: frozenset[bytes] = frozenset()
        self._inherited_at = 0.0
        self._packed: tuple[bytes, ...] = ()

    def __contains__(self, address: Address) -> bool:
        return address in self._seen_at_by_address

    @property
    def packed(self) -> tuple[bytes, ...]:
        """The addresses as a `TargetRecord` has them."""
        return self._packed

    def observe(self, address: Address, *, now: float) -> None:
        """Record a packet of the target; the least recent address makes room."""
        is_new = address not in self._seen_at_by_address
        self._seen_at_by_address.pop(address, None)
        self._seen_at_by_address[address] = now
        if len(self._seen_at_by_address) > MAX_FLOW_ADDRESSES:
            del self._seen_at_by_address[next(iter(self._seen_at_by_address))]
        if is_new:
            self._pack()

    def inherit(self, addresses: tuple[bytes, ...], *, now: float) -> None:
        """Add the addresses of the target that an earlier agent has recorded."""
        if not self._inherited.issuperset(addresses):
            self._inherited |= frozenset(addresses)
            self._inherited_at = now
            self._pack()

    def expire(self, *, now: float) -> None:
        """Drop the addresses without a packet for `KEPT_SECONDS`."""
        if now - self._inherited_at > KEPT_SECONDS:
            self._inherited = frozenset()
        for address, seen_at in list(self._seen_at_by_address.items()):
            if now - seen_at > KEPT_SECONDS:
                del self._seen_at_by_address[address]
        self._pack()

    def clear(self) -> None:
        """Drop all addresses, since the target has ended."""
        self._seen_at_by_address.clear()
        self._inherited = frozenset()
        self._pack()

    def _pack(self) -> None:
        """Build the record's field; own addresses go before inherited ones."""
        own = [address.packed for address in self._seen_at_by_address]
        earlier = sorted(self._inherited.difference(own))
        self._packed = tuple(sorted((own + earlier)[:MAX_FLOW_ADDRESSES]))
