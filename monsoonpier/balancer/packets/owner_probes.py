"""Probes of targets whose agents can't tell which flows the target owns.

If agents and balancers restart while targets keep running, a flow's owner is found by
sending one of its packets, the probe, to all targets of the service. Links of entry
VMs are narrow, so after the first few targets the probe is sent to one agent, which
relays it to the others.
"""

from collections.abc import Collection, Iterator
from dataclasses import dataclass

from monsoonpier.balancer.actions import ToAgent
from monsoonpier.balancer.packets.context import SteeringContext
from monsoonpier.balancer.packets.flows import FlowEntry, OwnerLookup
from monsoonpier.model.rendezvous import top
from monsoonpier.wire.frames import MAX_RELAY_AGENTS, MAX_RELAY_PACKETS, RelayPacket
from monsoonpier.wire.packet import Packet

__all__ = ["OwnerProbes"]

MAX_DIRECT_PROBES = 2  # per flow; further probes are relayed by agents
MAX_SHARED_BYTES = 1_350  # of a frame with several packets, which fits the usual MTU
ENDPOINT_BYTES = 20  # at the most, of an agent's address in a relay frame
PACKET_BYTES = 3  # of a packet's length in a frame
PROBE_RETRY_SECONDS = 0.5  # a full link may delay a probe for this long
MAX_PENDING_FLOWS = 8_192  # further flows are probed when their callers send again


@dataclass(frozen=True, slots=True, kw_only=True)
class _RelayGroup:
    """The agents that get the same probes.

    Attributes:
        service: Their service.
        names: Their names.
        own_frame_for: The flow whose probe shares no frame; empty if it may.
    """

    service: str
    names: frozenset[str]
    own_frame_for: bytes


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
        if not _is_due(lookup, agent, now=now):
            return []
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

    def probe_together(
        self, entry: FlowEntry, agents: Collection[str], *, now: float
    ) -> list[ToAgent]:
        """Send a flow's probe to several agents, relayed unless they are few."""
        if len(agents) <= MAX_DIRECT_PROBES:
            return [
                action
                for agent in sorted(agents)
                for action in self.probe(entry, agent, now=now)
            ]
        lookup = entry.lookup
        assert lookup is not None
        packet = _choose_probe(lookup)
        if len(self._pending_flows) >= MAX_PENDING_FLOWS:
            return []
        due = {agent for agent in agents if _is_due(lookup, agent, now=now)}
        lookup.probed_at_by_name |= dict.fromkeys(due, now)
        lookup.to_probe |= due
        self._pending_flows[packet.flow] = None
        return []

    def flush(self) -> list[ToAgent]:
        """Return the collected probes; each frame names the agents to relay it to.

        Probes that go to the same agents share a frame. A repeated one has its own,
        since an agent of an older build relays only the first packet of a frame.
        """
        due, self._pending_flows = self._pending_flows, {}
        packets_by_group: dict[_RelayGroup, list[Packet]] = {}
        for flow in due:
            for group, packet in self._pop_pending(flow):
                packets_by_group.setdefault(group, []).append(packet)
        return [
            action
            for group, packets in packets_by_group.items()
            for batch in _batches(packets, agents=len(group.names))
            for action in self._probe_batch(batch, group.names, service=group.service)
        ]

    def _pop_pending(self, flow: bytes) -> list[tuple[_RelayGroup, Packet]]:
        """Return one flow's collected probe, by the agents to probe."""
        entry = self._context.flows.get(flow)
        if entry is None or entry.lookup is None:
            return []
        lookup = entry.lookup
        names, lookup.to_probe = lookup.to_probe - lookup.denied, set()
        if not names:
            return []
        own_frame_for = flow if lookup.relays else b""
        lookup.relays += 1
        packet = _choose_probe(lookup)
        # An agent accepts only frames that name its own service.
        names_by_service = self._context.group_by_service(names)
        return [
            (
                _RelayGroup(
                    service=service,
                    names=frozenset(group),
                    own_frame_for=own_frame_for,
                ),
                packet,
            )
            for service, group in sorted(names_by_service.items())
        ]

    def probe_all(
        self, packet: Packet, names: Collection[str], *, service: str
    ) -> list[ToAgent]:
        """Return frames that send a packet to all these agents, relayed by a few."""
        return self._probe_batch([packet], names, service=service)

    def _probe_batch(
        self, packets: list[Packet], names: Collection[str], *, service: str
    ) -> list[ToAgent]:
        """Return frames that send packets to all these agents, relayed by a few."""
        # Hashing spreads the relaying over the agents.
        ranked = list(top(packets[0].flow.hex(), names, count=len(names)))
        size = MAX_RELAY_AGENTS + 1
        groups = [ranked[start : start + size] for start in range(0, len(ranked), size)]
        return [
            action
            for group in groups
            for action in self._relay_via(packets, group, service=service)
        ]

    def _relay_via(
        self, packets: list[Packet], names: list[str], *, service: str
    ) -> list[ToAgent]:
        """Return the frame that has one agent relay packets to the others."""
        first, *others = names
        records = [self._context.membership.table.record(name) for name in others]
        frame = RelayPacket(
            service=service,
            payload=packets[0].raw,
            endpoints=tuple((r.ip, r.port) for r in records if r is not None),
            takes_batches=True,
            others=tuple(packet.raw for packet in packets[1:]),
        )
        return self._context.to_agents(frame, names=(first,))


def _is_due(lookup: OwnerLookup, agent: str, *, now: float) -> bool:
    """Return whether an agent may be probed again.

    The reply to an earlier probe may be in transit, or wait in a full link.
    """
    probed_at = lookup.probed_at_by_name.get(agent)
    return probed_at is None or now - probed_at >= PROBE_RETRY_SECONDS


def _batches(packets: list[Packet], *, agents: int) -> Iterator[list[Packet]]:
    """Yield lists of packets that fit into one relay frame to so many agents."""
    room = MAX_SHARED_BYTES - ENDPOINT_BYTES * min(agents, MAX_RELAY_AGENTS)
    batch: list[Packet] = []
    size = 0
    for packet in packets:
        is_full = size + len(packet.raw) > room or len(batch) > MAX_RELAY_PACKETS
        if batch and is_full:
            yield batch
            batch, size = [], 0
        batch.append(packet)
        size += len(packet.raw) + PACKET_BYTES
    if batch:
        yield batch


def _choose_probe(lookup: OwnerLookup) -> Packet:
    """Return a flow's probe packet, chosen at first use."""
    if lookup.probe is None:
        lookup.probe = min(lookup.packets, key=_probe_cost)
    return lookup.probe


def _probe_cost(packet: Packet) -> tuple[bool, int]:
    """Return a sort key that puts the smallest packet that has to be answered first.

    A bare acknowledgement comes last, since no target answers it.
    """
    return (packet.is_bare, packet.size)
