"""Probes of targets whose agents can't tell which flows the target owns.

If agents and balancers restart while targets keep running, a flow's owner is found by
sending one of its packets, the probe, to all targets of the service. Links of entry
VMs are narrow, so after the first few targets the probe is sent to one agent, which
relays it to the others.
"""

from collections.abc import Collection

from monsoonpier.balancer.actions import ToAgent
from monsoonpier.balancer.packets.context import SteeringContext
from monsoonpier.balancer.packets.flows import FlowEntry, OwnerLookup
from monsoonpier.model.rendezvous import top
from monsoonpier.wire.frames import MAX_RELAY_AGENTS, RelayPacket
from monsoonpier.wire.packet import Packet

__all__ = ["OwnerProbes"]

MAX_DIRECT_PROBES = 2  # per flow; further probes are relayed by agents
PROBE_RETRY_SECONDS = 0.5  # a full link may delay a probe for this long
MAX_PENDING_FLOWS = 8_192  # further flows are probed when their callers send again


class OwnerProbes:
    """Sends probes to targets, directly or relayed by another agent. Does no I/O."""

    def __init__(self, *, context: SteeringContext) -> None:
        self._context = context
        self._pending_flows: dict[bytes, None] = {}

    @property
    def is_waiting(self) -> bool:
        """Whether `flush` has probes to send."""
        return bool(self._pending_flows)

    def probe(self, entry: FlowEntry, agent: str, *, now: float) -> list[ToAgent]:
        """Send a flow's probe to an agent, at once or with the next `flush`."""
        lookup = entry.lookup
        assert lookup is not None
        probed_at = lookup.probed_at_by_name.get(agent)
        if probed_at is not None and now - probed_at < PROBE_RETRY_SECONDS:
            return []  # The reply may still be in transit, or wait in a full link.
        lookup.probed_at_by_name[agent] = now
        packet = _choose_probe(lookup)
        if len(lookup.probed_at_by_name) <= MAX_DIRECT_PROBES:
            return self._context.forward(
                packet, entry, names=(agent,), wants_reply=True
            )
        if len(self._pending_flows) < MAX_PENDING_FLOWS:
            lookup.to_probe.add(agent)
            self._pending_flows[packet.flow] = None
        return []

    def flush(self) -> list[ToAgent]:
        """Return the collected probes; each names the agents to relay it to."""
        due, self._pending_flows = self._pending_flows, {}
        return [action for flow in due for action in self._probe_pending(flow)]

    def _probe_pending(self, flow: bytes) -> list[ToAgent]:
        """Return the collected probes of one flow."""
        entry = self._context.flows.get(flow)
        if entry is None or entry.lookup is None:
            return []
        lookup = entry.lookup
        names, lookup.to_probe = lookup.to_probe - lookup.denied, set()
        if not names:
            return []
        packet = _choose_probe(lookup)
        # An agent accepts only frames that name its own service.
        names_by_service = self._context.group_by_service(names)
        return [
            action
            for service, group in sorted(names_by_service.items())
            for action in self.probe_all(packet, group, service=service)
        ]

    def probe_all(
        self, packet: Packet, names: Collection[str], *, service: str
    ) -> list[ToAgent]:
        """Return frames that send a packet to all these agents, relayed by a few."""
        # Hashing spreads the relaying over the agents.
        ranked = list(top(packet.flow.hex(), names, count=len(names)))
        size = MAX_RELAY_AGENTS + 1
        groups = [ranked[start : start + size] for start in range(0, len(ranked), size)]
        return [
            action
            for group in groups
            for action in self._relay_via(packet, group, service=service)
        ]

    def _relay_via(
        self, packet: Packet, names: list[str], *, service: str
    ) -> list[ToAgent]:
        """Return the frame that has one agent relay a packet to the others."""
        first, *others = names
        records = [self._context.membership.table.record(name) for name in others]
        frame = RelayPacket(
            service=service,
            payload=packet.raw,
            endpoints=tuple((r.ip, r.port) for r in records if r is not None),
        )
        return self._context.to_agents(frame, names=(first,))


def _choose_probe(lookup: OwnerLookup) -> Packet:
    """Return a flow's probe packet, chosen at first use."""
    if lookup.probe is None:
        lookup.probe = min(lookup.packets, key=_probe_cost)
    return lookup.probe


def _probe_cost(packet: Packet) -> tuple[bool, int]:
    """Return a sort key that puts the smallest packet that has to be answered first.

    A bare acknowledgement comes last, since no target answers it.
    """
    is_bare = not packet.size and not packet.is_fin
    return (is_bare, packet.size)
