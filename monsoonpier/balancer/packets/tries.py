"""Packets brought to targets whose agents can't know whether they hold the flow.

The load that it answers: everything was killed beside targets that lived on. Until a
flow's holder is found its packet must reach all targets of the service, 52 on the
users' sites, and entry VMs have links of 5 Mbit/s. Agents' links are wider: past the
first few a packet goes to one agent, which passes it on to the others.
"""

from collections.abc import Collection

from monsoonpier.balancer.actions import ToAgent
from monsoonpier.balancer.packets.flows import Inquiry, KnownFlow
from monsoonpier.balancer.packets.scope import PacketScope
from monsoonpier.model.rendezvous import top
from monsoonpier.wire.frames import MAX_PASSED_ON, PassOn
from monsoonpier.wire.packet import Packet

__all__ = ["PacketTries"]

DIRECT = 2  # agents that are sent a packet at once; a service has that many at least
TRY_AGAIN_SECONDS = 0.5  # after a packet that may be lost; a link's queue is as long
MAX_DUE = 8_192  # flows; more are tried when their callers send again


class PacketTries:
    """Which packet is tried on which targets, and by which way. Does no I/O."""

    def __init__(self, *, scope: PacketScope) -> None:
        self._scope = scope
        self._due: dict[bytes, None] = {}

    @property
    def is_waiting(self) -> bool:
        """Whether `flush` has something to send."""
        return bool(self._due)

    def try_on(self, known: KnownFlow, agent: str, *, now: float) -> list[ToAgent]:
        """Let an agent that can't know try the flow's packet on its target."""
        inquiry = known.inquiry
        assert inquiry is not None
        tried_at = inquiry.tried_at_by_name.get(agent)
        if tried_at is not None and now - tried_at < TRY_AGAIN_SECONDS:
            return []  # Its word is on its way, or waits in a full link.
        inquiry.tried_at_by_name[agent] = now
        packet = _packet_to_try(inquiry)
        if len(inquiry.tried_at_by_name) <= DIRECT:
            return self._scope.carry(packet, known, names=(agent,), asks=True)
        if len(self._due) < MAX_DUE:
            inquiry.to_try.add(agent)
            self._due[packet.flow] = None
        return []

    def flush(self) -> list[ToAgent]:
        """Return the packets that have been collected, each to one agent."""
        due, self._due = self._due, {}
        return [action for flow in due for action in self._pass_on(flow)]

    def _pass_on(self, flow: bytes) -> list[ToAgent]:
        known = self._scope.flows.get(flow)
        if known is None or known.inquiry is None:
            return []
        inquiry = known.inquiry
        names, inquiry.to_try = inquiry.to_try - inquiry.denied, set()
        if not names:
            return []
        packet = _packet_to_try(inquiry)
        # Each agent takes only what is brought in its own service's name.
        names_by_service = self._scope.by_service(names)
        return [
            action
            for service, among in sorted(names_by_service.items())
            for action in self.bring_to_all(packet, among, service=service)
        ]

    def bring_to_all(
        self, packet: Packet, names: Collection[str], *, service: str
    ) -> list[ToAgent]:
        """Return the frames that bring a packet to all these agents, by way of few."""
        # Hashing spreads the work over the agents.
        ranked = list(top(packet.flow.hex(), names, count=len(names)))
        size = MAX_PASSED_ON + 1
        groups = [ranked[at : at + size] for at in range(0, len(ranked), size)]
        return [
            action
            for group in groups
            for action in self._bring(packet, group, service=service)
        ]

    def _bring(
        self, packet: Packet, names: list[str], *, service: str
    ) -> list[ToAgent]:
        first, *others = names
        records = [self._scope.membership.table.record(name) for name in others]
        frame = PassOn(
            service=service,
            payload=packet.raw,
            endpoints=tuple((r.ip, r.port) for r in records if r is not None),
        )
        return self._scope.tell(frame, names=(first,))


def _packet_to_try(inquiry: Inquiry) -> Packet:
    if inquiry.tried is None:
        inquiry.tried = min(inquiry.packets, key=_cost)
    return inquiry.tried


def _cost(packet: Packet) -> tuple[bool, int]:
    """Rank packets that are to go to many targets.

    A target that holds the flow says nothing to a bare acknowledgement.
    """
    is_bare = not packet.size and not packet.is_fin
    return (is_bare, packet.size)
