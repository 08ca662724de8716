"""Flows that this balancer doesn't know: who holds them, or that nobody does."""

from monsoonpier.balancer.packet_flows import Inquiry, KnownFlow
from monsoonpier.balancer.packet_scope import PacketScope
from monsoonpier.wire.frames import NotHeld
from monsoonpier.wire.packet import Packet

__all__ = ["HolderInquiries"]

MAX_DENIED_EARLY = 8_192  # half the open flows of a balancer aimed at
ANY_SERVICE = "*"  # names the service while no configuration says which it is


class HolderInquiries:
    """Asks agents by sending them the packet itself. Does no I/O."""

    def __init__(self, *, scope: PacketScope) -> None:
        self._scope = scope
        self._denied_early: list[bytes] = []

    @property
    def is_waiting(self) -> bool:
        """Whether `retry` has something to look after."""
        return bool(self._denied_early)

    def ask(self, packet: Packet, *, now: float, denied: tuple[str, ...] = ()) -> list:
        """Send the packet to every agent that may hold its flow."""
        route = self._scope.route(packet)
        if route is None:
            return self._try_all(packet)
        names = self._scope.membership.table.names_of(route.service)
        inquiry = Inquiry(asked_at=now, packet=packet, denied=set(denied))
        known = KnownFlow(service=route.service, created_at=now, inquiry=inquiry)
        self._scope.flows.put(packet.flow, known)
        self._scope.counts_by_result["asked"] += 1
        asked = sorted(names - inquiry.denied)
        self._scope.log.note(
            "holder asked for", now=now, flow=packet.flow, agents=len(asked)
        )
        return self._scope.carry(packet, known, names=asked)

    def _try_all(self, packet: Packet) -> list:
        """Pass on a packet whose address has no route that is known here.

        The flow may be open through a newer configuration than this one, or
        there is none yet since all was restarted without the store. Agents
        deliver it only if their target holds it or serves that address.
        """
        self._scope.counts_by_result["no_route"] += 1
        if self._scope.membership.configuration.version:
            return []
        known = KnownFlow(service=ANY_SERVICE, created_at=0.0)
        names = [record.name for record in self._scope.membership.table.records]
        return self._scope.carry(packet, known, names=sorted(names))

    def ask_again(self, packet: Packet, known: KnownFlow, *, now: float) -> list:
        """Send a further packet of the flow to those who haven't denied it."""
        inquiry = known.inquiry
        assert inquiry is not None
        inquiry.packet = packet
        names = self._scope.membership.table.names_of(known.service) - inquiry.denied
        if not names:
            return self._conclude(known, now=now)
        return self._scope.carry(packet, known, names=sorted(names))

    def denied(self, frame: NotHeld, packet: Packet, *, now: float) -> list:
        """Decide on an agent's word that its target doesn't hold a flow."""
        known = self._scope.flows.get(packet.flow)
        if known is None:
            return []
        self._scope.log.note(
            "holder denies flow", now=now, flow=packet.flow, target=frame.agent
        )
        if known.inquiry is not None:
            known.inquiry.denied.add(frame.agent)
            return self._conclude(known, now=now)
        if frame.agent not in known.holders:
            return []
        known.holders = tuple(name for name in known.holders if name != frame.agent)
        if known.holders:
            return []
        self._scope.flows.drop(packet.flow)
        actions = self.ask(packet, denied=(frame.agent,), now=now)
        asked = self._scope.flows.get(packet.flow)
        if not actions and asked is not None:
            return self._conclude(asked, now=now)
        return actions

    def retry(self, *, now: float) -> list:
        """Look again at flows that were denied before all targets were known."""
        if not self._denied_early or not self._scope.is_settled(now=now):
            return []
        flows, self._denied_early = self._denied_early, []
        known_flows = [self._scope.flows.get(flow) for flow in flows]
        return [
            action
            for known in known_flows
            if known is not None and known.inquiry is not None
            for action in self._conclude(known, now=now)
        ]

    def _conclude(self, known: KnownFlow, *, now: float) -> list:
        """Reset the flow if it is certain that no target holds it."""
        inquiry = known.inquiry
        assert inquiry is not None
        names = self._scope.membership.table.names_of(known.service)
        if names - inquiry.denied:
            return []
        if not self._scope.is_settled(now=now):
            if len(self._denied_early) < MAX_DENIED_EARLY:
                self._denied_early.append(inquiry.packet.flow)
            return []
        self._scope.flows.drop(inquiry.packet.flow)
        return [self._scope.reset(inquiry.packet, "nobody holds the flow", now=now)]
