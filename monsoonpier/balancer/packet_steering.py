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
from monsoonpier.balancer.packet_placement import (
    PlacementQuery,
    place,
    wait_for_slot,
)
from monsoonpier.balancer.packet_waiting import (
    MAX_WAIT_SECONDS,
    MAX_WAIT_SHARE,
    WaitingRoom,
)
from monsoonpier.balancer.steering import Candidate, Chosen, NoTarget
from monsoonpier.model.address import Address
from monsoonpier.model.service import PacketRoute
from monsoonpier.model.target import Condition
from monsoonpier.process.logs import DecisionLog
from monsoonpier.process.readings import Histogram
from monsoonpier.wire.frames import MAX_TRIED, Carry, Held, Load, NotHeld, Turned
from monsoonpier.wire.packet import Packet

__all__ = ["PacketSteering", "ResetCaller"]

HEDGE_SECONDS = 0.06  # twenty times a SYN's way to a target and back
MOST_PLACEMENTS = 6  # of one SYN; then its caller learns at once that it failed
# Until then targets may be unknown to a balancer that has just started. Agents
# announce themselves five times a second while no balancer answers them, and a
# peer that has been there for longer hands on its whole table.
AGREED_SECONDS = 1.0
ALONE_SECONDS = 4.0
MAX_DENIED_EARLY = 8_192  # half the open flows of a balancer aimed at
ANY_SERVICE = "*"  # names the service while no configuration says which it is


class ResetCaller(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Send a packet's caller a reset: nobody holds the flow, or takes it."""

    packet: Packet
    reason: str


class PacketSteering:
    """Decides on callers' packets and agents' frames. Does no I/O."""

    def __init__(
        self, *, membership: Membership, started_at: float, log: DecisionLog
    ) -> None:
        self._membership = membership
        self._log = log
        self._started_at = started_at
        self._flows = FlowTable()
        self._long_share_by_address: dict[Address, LongFlowShare] = {}
        self._unanswered: deque[tuple[float, bytes]] = deque()
        self._waiting_room = WaitingRoom()
        self._denied_early: list[bytes] = []
        self.counts_by_result: Counter[str] = Counter()
        self.wait_seconds = Histogram(
            name="flow_wait_seconds", help="From a flow's first SYN to a target."
        )
        self.load_age_seconds = Histogram(
            name="load_age_seconds", help="Age of what placed a flow."
        )

    @property
    def flows(self) -> int:
        """How many flows are remembered."""
        return len(self._flows)

    @property
    def is_waiting(self) -> bool:
        """Whether `retry` has something to look after."""
        has_waiting = len(self._waiting_room) > 0
        return has_waiting or bool(self._unanswered or self._denied_early)

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
            return [self._reset(packet, "target gone", now=now)]
        return self._carry(packet, known, names=known.holders)

    def _syn(
        self,
        packet: Packet,
        known: KnownFlow | None,
        *,
        now: float,
        draw: random.Random,
    ) -> list:
        if packet.flow in self._waiting_room:
            return []
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
            return [self._reset(packet, "no route", now=now)]
        known = KnownFlow(
            service=route.service, created_at=now - packet.waited, syn=packet
        )
        self._flows.put(packet.flow, known)
        return self._place(packet, known, now=now, draw=draw)

    def _place(
        self, packet: Packet, known: KnownFlow, *, now: float, draw: random.Random
    ) -> list:
        table = self._membership.table
        candidates = table.candidates_of(known.service, now=now)
        if len(known.tried) >= MOST_PLACEMENTS:
            return self._wait(packet, known, candidates, now=now)
        query = PlacementQuery(
            tried=known.tried,
            data_centre=self._membership.peers.own.data_centre,
            long_share=self._long_share(packet).value,
        )
        match place(query, candidates, draw=draw):
            case NoTarget():
                return self._wait(packet, known, candidates, now=now)
            case Chosen(record=record):
                self._note_placed(packet, known, candidates, record.name, now=now)
                known.holders = (*known.holders, record.name)[-MAX_TRIED:]
                known.tried = (*known.tried, record.name)
                known.sent_at = now
                table.sent_flow(record.name, now=now)
                self._unanswered.append((now + HEDGE_SECONDS, packet.flow))
                self.counts_by_result["placed"] += 1
                return self._carry(packet, known, names=(record.name,))

    def _wait(
        self,
        packet: Packet,
        known: KnownFlow,
        candidates: list[Candidate],
        *,
        now: float,
    ) -> list:
        """Keep a SYN until a slot comes free, or refuse it if that is too late."""
        route = self._route(packet)
        if known.holders or route is None:
            return []  # One that was asked earlier may still answer.
        most = min(MAX_WAIT_SECONDS, MAX_WAIT_SHARE * route.timeout_seconds)
        ahead = self._waiting_room.ahead(known.service)
        balancers = len(self._membership.peers.records_by_name)
        wait = wait_for_slot(candidates, ahead=ahead * balancers)
        if not self._is_settled(now=now):
            wait = 0.0  # More targets may just not be known yet.
        if wait is None:
            return self._refuse(packet, "no target serves", now=now)
        if now - known.created_at + wait >= most:
            return self._refuse(packet, "would be late", now=now)
        known.tried = ()
        has_room = self._waiting_room.add(
            packet.flow,
            service=known.service,
            since=known.created_at,
            priority=route.priority,
            most=most,
        )
        if not has_room:
            return self._refuse(packet, "too many wait", now=now)
        self.counts_by_result["waited"] += 1
        self._log.note(
            "flow waits for a slot",
            now=now,
            flow=packet.flow,
            service=known.service,
            ahead=ahead,
            expected_seconds=round(wait, 3),
            at_most_seconds=round(most, 3),
        )
        return []

    def _refuse(self, packet: Packet, reason: str, *, now: float) -> list:
        self._flows.drop(packet.flow)
        self.counts_by_result["refused"] += 1
        if packet.waited:
            # The first SYN may wait at another balancer, or be placed by now: a
            # reset would end what that one is about to serve.
            self._log.note("copy not placed", now=now, flow=packet.flow, reason=reason)
            return []
        return [self._reset(packet, reason, now=now)]

    def place_waiting(self, *, now: float, draw: random.Random) -> list:
        """Place flows for which a slot has come free, refuse those it's late for."""
        actions: list = []
        for flow in self._waiting_room.expired(now=now):
            known = self._flows.get(flow)
            if known is not None and known.syn is not None:
                actions += self._refuse(known.syn, "no slot came free", now=now)
        for service in self._waiting_room.services:
            actions += self._place_waiting_for(service, now=now, draw=draw)
        return actions

    def _place_waiting_for(
        self, service: str, *, now: float, draw: random.Random
    ) -> list:
        actions: list = []
        for _ in range(self._waiting_room.ahead(service)):
            candidates = self._membership.table.candidates_of(service, now=now)
            if not any(c.has_free_slot and not c.suspected for c in candidates):
                break
            flow = self._waiting_room.pop(service)
            known = self._flows.get(flow) if flow is not None else None
            if known is None or known.syn is None:
                continue
            actions += self._place(known.syn, known, now=now, draw=draw)
        return actions

    def retry(self, *, now: float, draw: random.Random) -> list:
        """Look after SYNs that wait for a slot or for a target's answer."""
        actions = self.place_waiting(now=now, draw=draw)
        actions += self._retry_unanswered(now=now, draw=draw)
        if self._denied_early and self._is_settled(now=now):
            actions += self._conclude_early(now=now)
        return actions

    def _conclude_early(self, *, now: float) -> list:
        """Look again at flows that were denied before all targets were known."""
        flows, self._denied_early = self._denied_early, []
        known_flows = [self._flows.get(flow) for flow in flows]
        return [
            action
            for known in known_flows
            if known is not None and known.inquiry is not None
            for action in self._conclude(known, now=now)
        ]

    def _retry_unanswered(self, *, now: float, draw: random.Random) -> list:
        actions: list = []
        while self._unanswered and self._unanswered[0][0] <= now:
            _, flow = self._unanswered.popleft()
            known = self._flows.get(flow)
            if known is None or known.is_accepted or known.is_confirmed:
                continue
            if not known.holders or now - known.sent_at < HEDGE_SECONDS * 0.9:
                continue
            self.counts_by_result["unanswered"] += 1
            self._log.note(
                "target did not answer",
                now=now,
                flow=flow,
                target=known.holders[-1],
                waited_seconds=round(now - known.sent_at, 3),
            )
            self._membership.table.not_answered(known.holders[-1])
            assert known.syn is not None
            actions += self._place(known.syn, known, now=now, draw=draw)
        return actions

    # Flows that this balancer does not know

    def _ask(self, packet: Packet, *, denied: tuple[str, ...], now: float) -> list:
        """Send the packet to every agent that may hold its flow."""
        route = self._route(packet)
        if route is None:
            return self._try_all(packet)
        names = self._membership.table.names_of(route.service)
        inquiry = Inquiry(asked_at=now, packet=packet, denied=set(denied))
        known = KnownFlow(service=route.service, created_at=now, inquiry=inquiry)
        self._flows.put(packet.flow, known)
        self.counts_by_result["asked"] += 1
        asked = sorted(names - inquiry.denied)
        self._log.note("holder asked for", now=now, flow=packet.flow, agents=len(asked))
        return self._carry(packet, known, names=asked)

    def _try_all(self, packet: Packet) -> list:
        """Pass on a packet whose address has no route that is known here.

        The flow may be open through a newer configuration than this one, or
        there is none yet since all was restarted without the store. Agents
        deliver it only if their target holds it or serves that address.
        """
        self.counts_by_result["no_route"] += 1
        if self._membership.configuration.version:
            return []
        known = KnownFlow(service=ANY_SERVICE, created_at=0.0)
        names = [record.name for record in self._membership.table.records]
        return self._carry(packet, known, names=sorted(names))

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
        if names - inquiry.denied:
            return []
        if not self._is_settled(now=now):
            if len(self._denied_early) < MAX_DENIED_EARLY:
                self._denied_early.append(inquiry.packet.flow)
            return []
        self._flows.drop(inquiry.packet.flow)
        return [self._reset(inquiry.packet, "nobody holds the flow", now=now)]

    # Agents' frames

    def from_agent(
        self, frame, packet: Packet | None, *, now: float, draw: random.Random
    ) -> list | None:
        """Decide on a frame; ``packet`` is the one that it brings back."""
        match frame:
            case Load(agent=agent, load=load):
                self._membership.table.heard(agent, load, now=now)
                return self.place_waiting(now=now, draw=draw)
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
            if known.holders != (frame.agent,):
                self._log.note(
                    "holder learned",
                    now=now,
                    flow=frame.flow,
                    target=frame.agent,
                    before=known.holders,
                )
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
        self._log.note(
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
        self._log.note(
            "flow turned away",
            now=now,
            flow=packet.flow,
            target=frame.agent,
            reason=frame.reason,
            tried=frame.tried,
            in_flight=frame.load.in_flight,
        )
        known = self._flows.get(packet.flow)
        if known is None or known.is_accepted or known.is_confirmed:
            return []
        known.holders = tuple(name for name in known.holders if name != frame.agent)
        if known.holders or packet.flow in self._waiting_room:
            return []
        return self._place(packet, known, now=now, draw=draw)

    # Helpers

    def _note_placed(
        self,
        packet: Packet,
        known: KnownFlow,
        candidates: list[Candidate],
        name: str,
        *,
        now: float,
    ) -> None:
        chosen = next(c for c in candidates if c.record.name == name)
        load_age = self._membership.table.load_age(name, now=now)
        self.wait_seconds.observe(now - known.created_at)
        self.load_age_seconds.observe(load_age)
        self._log.note(
            "flow placed",
            now=now,
            flow=packet.flow,
            service=known.service,
            target=name,
            of=len(candidates),
            tried=known.tried,
            in_flight=chosen.load.in_flight,
            sent_since=chosen.sent_since,
            load_number=chosen.load.number,
            load_age=round(load_age, 3),
            version=self._membership.configuration.version,
        )

    def _route(self, packet: Packet) -> PacketRoute | None:
        routes = self._membership.configuration.routes_by_address
        return routes.get(packet.service_address)

    def _is_settled(self, *, now: float) -> bool:
        needed = AGREED_SECONDS if self._membership.has_agreed else ALONE_SECONDS
        return now - self._started_at >= needed

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

    def _reset(self, packet: Packet, reason: str, *, now: float) -> ResetCaller:
        self.counts_by_result["reset"] += 1
        self._log.note(
            "caller reset",
            now=now,
            flow=packet.flow,
            reason=reason,
            version=self._membership.configuration.version,
            targets=len(self._membership.table),
        )
        return ResetCaller(packet=packet, reason=reason)

    def _long_share(self, packet: Packet) -> LongFlowShare:
        shares = self._long_share_by_address
        return shares.setdefault(packet.service_address, LongFlowShare())

    def _learn_length(self, packet: Packet, known: KnownFlow, *, now: float) -> None:
        if known.is_counted or known.syn is None and not known.tried:
            return  # Flows that were opened elsewhere have an unknown age.
        self._long_share(packet).count(known, is_fin=packet.is_fin, now=now)
