"""Steering of flows without a token: any packet to the target that holds its flow.

A packet names its flow by addresses and ports only. The agent beside a target
sees all of the target's packets, so it alone knows what the target holds, and
it delivers nothing else. A balancer remembers holders as a bounded cache that
may be lost at any time: what it doesn't remember it asks of the agents of the
service by sending them the packet itself, and the holder's agent delivers it
and answers. Only when every agent has denied a flow is its caller sent a reset;
while one of them can't be reached the flow may live there, and a reset would
break it.
"""

import random
from collections import Counter, deque

import msgspec

from monsoonpier.balancer.actions import ToAgent
from monsoonpier.balancer.membership import Membership
from monsoonpier.balancer.packet_flows import (
    FlowTable,
    Inquiry,
    KnownFlow,
    LongFlowShare,
)
from monsoonpier.balancer.packet_placement import PlacementQuery, place
from monsoonpier.balancer.steering import Chosen, NoTarget
from monsoonpier.model.address import Address
from monsoonpier.model.service import PacketRoute
from monsoonpier.model.target import Condition
from monsoonpier.wire.frames import MAX_TRIED, Carry, Held, Load, NotHeld, Turned
from monsoonpier.wire.packet import Packet

__all__ = ["PacketSteering", "ResetCaller"]

HEDGE_SECONDS = 0.06  # twenty times a SYN's way to a target and back
MOST_PLACEMENTS = 6  # of one SYN; then its caller learns at once that it failed
SETTLE_SECONDS = 4.0  # until then agents that restarted with this may be unknown


class ResetCaller(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Send a packet's caller a reset: nobody holds the flow, or takes it."""

    packet: Packet
    reason: str


class PacketSteering:
    """Decides on callers' packets and agents' frames. Does no I/O."""

    def __init__(self, *, membership: Membership, started_at: float) -> None:
        self._membership = membership
        self._started_at = started_at
        self._flows = FlowTable()
        self._long_share_by_address: dict[Address, LongFlowShare] = {}
        self._waiting: deque[tuple[float, bytes]] = deque()
        self.counts_by_result: Counter[str] = Counter()

    @property
    def flows(self) -> int:
        """How many flows are remembered."""
        return len(self._flows)

    @property
    def next_retry_at(self) -> float | None:
        """When `retry_unanswered` is due."""
        return self._waiting[0][0] if self._waiting else None

    def configured(self) -> None:
        """Forget what was learned of addresses that have no route any more."""
        routes = self._membership.configuration.routes_by_address
        for address in self._long_share_by_address.keys() - routes.keys():
            del self._long_share_by_address[address]

    # Callers' packets

    def from_caller(self, packet: Packet, *, now: float, draw: random.Random) -> list:
        """Decide on a packet that a caller sent."""
        known = self._flows.touch(packet.flow)
        if packet.is_syn:
            return self._syn(packet, known, now=now, draw=draw)
        if known is None:
            return self._ask(packet, denied=(), now=now)
        self._learn_length(packet, known, now=now)
        if known.inquiry is not None:
            return self._ask_again(packet, known, now=now)
        if self._is_over(known):
            self._flows.drop(packet.flow)
            return [self._reset(packet, "target gone")]
        return self._carry(packet, known, names=known.holders)

    def _syn(
        self,
        packet: Packet,
        known: KnownFlow | None,
        *,
        now: float,
        draw: random.Random,
    ) -> list:
        if known is not None and known.holders:
            # A copy goes where the flow may be open already; only a target that
            # has not answered the first one in time is passed over.
            is_answered = known.is_accepted or known.is_confirmed
            if is_answered or now - known.sent_at < HEDGE_SECONDS:
                return self._carry(packet, known, names=known.holders[-1:])
            return self._place(packet, known, now=now, draw=draw)
        route = self._route(packet)
        if route is None:
            self.counts_by_result["no_route"] += 1
            if not self._membership.configuration.version:
                return []
            return [self._reset(packet, "no route")]
        known = KnownFlow(service=route.service, created_at=now, syn=packet)
        self._flows.put(packet.flow, known)
        return self._place(packet, known, now=now, draw=draw)

    def _place(
        self, packet: Packet, known: KnownFlow, *, now: float, draw: random.Random
    ) -> list:
        if len(known.tried) >= MOST_PLACEMENTS:
            return self._refuse(packet, known, "turned away everywhere")
        table = self._membership.table
        candidates = table.candidates_of(known.service, now=now)
        if not candidates and not self._is_settled(now=now):
            # Targets may just not be known yet; the SYN's copies come later.
            self._flows.drop(packet.flow)
            return []
        query = PlacementQuery(
            tried=known.tried,
            data_centre=self._membership.peers.own.data_centre,
            long_share=self._long_share(packet).value,
            time_left=self._time_left(packet, known, now=now),
        )
        choice = place(query, candidates, draw=draw)
        match choice:
            case NoTarget(reason=reason):
                return self._refuse(packet, known, reason)
            case Chosen(record=record):
                known.holders = (*known.holders, record.name)[-MAX_TRIED:]
                known.tried = (*known.tried, record.name)
                known.sent_at = now
                table.sent_flow(record.name)
                self._waiting.append((now + HEDGE_SECONDS, packet.flow))
                self.counts_by_result["placed"] += 1
                return self._carry(packet, known, names=(record.name,))

    def _refuse(self, packet: Packet, known: KnownFlow, reason: str) -> list:
        if known.holders:
            return []  # One that was asked earlier may still answer.
        self._flows.drop(packet.flow)
        self.counts_by_result["refused"] += 1
        return [self._reset(packet, reason)]

    def retry_unanswered(self, *, now: float, draw: random.Random) -> list:
        """Send SYNs that no target has answered in time to another one."""
        actions: list = []
        while self._waiting and self._waiting[0][0] <= now:
            _, flow = self._waiting.popleft()
            known = self._flows.get(flow)
            if known is None or known.is_accepted or known.is_confirmed:
                continue
            if not known.holders or now - known.sent_at < HEDGE_SECONDS * 0.9:
                continue
            self.counts_by_result["unanswered"] += 1
            self._membership.table.not_answered(known.holders[-1])
            assert known.syn is not None
            actions += self._place(known.syn, known, now=now, draw=draw)
        return actions

    # Flows that this balancer does not know

    def _ask(self, packet: Packet, *, denied: tuple[str, ...], now: float) -> list:
        """Send the packet to every agent that may hold its flow."""
        route = self._route(packet)
        if route is None:
            # The flow may be open through a newer configuration than this one.
            self.counts_by_result["no_route"] += 1
            return []
        names = self._membership.table.names_of(route.service)
        inquiry = Inquiry(asked_at=now, packet=packet, denied=set(denied))
        known = KnownFlow(service=route.service, created_at=now, inquiry=inquiry)
        self._flows.put(packet.flow, known)
        self.counts_by_result["asked"] += 1
        return self._carry(packet, known, names=sorted(names - inquiry.denied))

    def _ask_again(self, packet: Packet, known: KnownFlow, *, now: float) -> list:
        inquiry = known.inquiry
        assert inquiry is not None
        inquiry.packet = packet
        names = self._membership.table.names_of(known.service) - inquiry.denied
        if not names:
            return self._conclude(known, now=now)
        return self._carry(packet, known, names=sorted(names))

    def _conclude(self, known: KnownFlow, *, now: float) -> list:
        """Reset the flow if it is certain that no target holds it."""
        inquiry = known.inquiry
        assert inquiry is not None
        names = self._membership.table.names_of(known.service)
        if names - inquiry.denied or not self._is_settled(now=now):
            return []
        self._flows.drop(inquiry.packet.flow)
        return [self._reset(inquiry.packet, "nobody holds the flow")]

    # Agents' frames

    def from_agent(
        self, frame, packet: Packet | None, *, now: float, draw: random.Random
    ) -> list | None:
        """Decide on a frame; ``packet`` is the one that it brings back."""
        match frame:
            case Load(agent=agent, load=load):
                self._membership.table.heard(agent, load, now=now)
                return []
            case Held():
                return self._held(frame, now=now)
            case NotHeld() if packet is not None:
                return self._not_held(frame, packet, now=now)
            case Turned() if packet is not None:
                return self._turned(frame, packet, now=now, draw=draw)
        return None

    def _held(self, frame: Held, *, now: float) -> list:
        table = self._membership.table
        table.heard(frame.agent, frame.load, now=now)
        known = self._flows.get(frame.flow)
        if known is None:
            record = table.record(frame.agent)
            if record is None:
                return []
            known = KnownFlow(service=record.service, created_at=now)
            self._flows.put(frame.flow, known)
        if frame.is_open:
            known.holders = (frame.agent,)
            known.is_confirmed = True
            known.inquiry = None
            known.syn = None
            return []
        table.answered_flow(frame.agent)
        known.is_accepted = True
        if frame.agent not in known.holders:
            known.holders = (*known.holders, frame.agent)[-MAX_TRIED:]
        return []

    def _not_held(self, frame: NotHeld, packet: Packet, *, now: float) -> list:
        known = self._flows.get(packet.flow)
        if known is None:
            return []
        if known.inquiry is not None:
            known.inquiry.denied.add(frame.agent)
            return self._conclude(known, now=now)
        if frame.agent not in known.holders:
            return []
        known.holders = tuple(name for name in known.holders if name != frame.agent)
        if known.holders:
            return []
        self._flows.drop(packet.flow)
        actions = self._ask(packet, denied=(frame.agent,), now=now)
        asked = self._flows.get(packet.flow)
        if not actions and asked is not None:
            return self._conclude(asked, now=now)
        return actions

    def _turned(
        self, frame: Turned, packet: Packet, *, now: float, draw: random.Random
    ) -> list:
        table = self._membership.table
        table.heard(frame.agent, frame.load, now=now)
        table.answered_flow(frame.agent)
        self.counts_by_result["turned"] += 1
        known = self._flows.get(packet.flow)
        if known is None or known.is_accepted or known.is_confirmed:
            return []
        known.holders = tuple(name for name in known.holders if name != frame.agent)
        if known.holders:
            return []
        return self._place(packet, known, now=now, draw=draw)

    # Helpers

    def _route(self, packet: Packet) -> PacketRoute | None:
        routes = self._membership.configuration.routes_by_address
        return routes.get(packet.service_address)

    def _time_left(self, packet: Packet, known: KnownFlow, *, now: float) -> float:
        route = self._route(packet)
        seconds = route.timeout_seconds if route is not None else 1.0
        return seconds - (now - known.created_at)

    def _is_settled(self, *, now: float) -> bool:
        return now - self._started_at >= SETTLE_SECONDS

    def _is_over(self, known: KnownFlow) -> bool:
        """Tell whether the flow's only holder is known to have ended."""
        if not known.is_confirmed or len(known.holders) != 1:
            return False
        record = self._membership.table.record(known.holders[0])
        return record is not None and record.condition is Condition.GONE

    def _carry(self, packet: Packet, known: KnownFlow, *, names) -> list:
        actions = []
        for name in names:
            record = self._membership.table.record(name)
            if record is None:
                continue
            frame = Carry(
                service=known.service,
                payload=packet.raw,
                tried=known.tried[-MAX_TRIED:] if packet.is_syn else (),
            )
            endpoint = (record.ip, record.port)
            actions.append(ToAgent(endpoint=endpoint, frame=frame))
        return actions

    def _reset(self, packet: Packet, reason: str) -> ResetCaller:
        self.counts_by_result["reset"] += 1
        return ResetCaller(packet=packet, reason=reason)

    def _long_share(self, packet: Packet) -> LongFlowShare:
        shares = self._long_share_by_address
        return shares.setdefault(packet.service_address, LongFlowShare())

    def _learn_length(self, packet: Packet, known: KnownFlow, *, now: float) -> None:
        if known.is_counted or known.syn is None and not known.tried:
            return  # Flows that were opened elsewhere have an unknown age.
        self._long_share(packet).count(known, is_fin=packet.is_fin, now=now)
