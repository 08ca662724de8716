"""New flows: placed at once, waiting for a slot, or refused."""

import random
from collections import deque

from monsoonpier.balancer.packets.flows import FlowHabits, KnownFlow
from monsoonpier.balancer.packets.placement import (
    PlacementQuery,
    has_room,
    place,
    reliable,
    run_seconds,
)
from monsoonpier.balancer.packets.queueing import (
    CannotWait,
    FlowQueueing,
    gives_up_at,
    is_in_time,
)
from monsoonpier.balancer.packets.returning import EarlierTry
from monsoonpier.balancer.packets.scope import PacketScope
from monsoonpier.balancer.steering import Candidate, Chosen, NoTarget
from monsoonpier.model.address import Address
from monsoonpier.model.service import PacketRoute
from monsoonpier.model.waiting import WaitingFlow
from monsoonpier.process.readings import Histogram
from monsoonpier.wire.frames import (
    MAX_TRIED,
    FirstAsked,
    Held,
    Offer,
    Queued,
    Turned,
)
from monsoonpier.wire.packet import Packet

__all__ = ["FlowOpenings"]

HEDGE_SECONDS = 0.06  # twenty times a SYN's way to a target and back
# Answers that are late because a link is full must not fill it further: at most
# this share of SYNs is sent again, as retry budgets do.
HEDGE_SHARE = 0.2
MAX_HEDGES = 10.0
# A SYN that waits at an agent: a flow in time waits for one run there, late ones for
# longer. After that its agent may have ended.
QUEUE_SILENCE_SECONDS = 0.7
GIVE_UP_SECONDS = 1.4  # after which callers open another flow, by the platform
MOST_PLACEMENTS = 6  # of one SYN in a row; then it waits for news of a free slot


class FlowOpenings:
    """Decides on SYNs and on what targets answer to them. Does no I/O.

    Args:
        scope: What the balancer knows.
        reserves: Whether flows that wait reserve slots at agents.
    """

    def __init__(self, *, scope: PacketScope, reserves: bool) -> None:
        self._scope = scope
        self._habits_by_address: dict[Address, FlowHabits] = {}
        self._unanswered: deque[tuple[float, bytes]] = deque()
        self._queueing = FlowQueueing(scope=scope, reserves=reserves)
        self._hedges_left = MAX_HEDGES
        self.wait_seconds = Histogram(
            name="flow_wait_seconds", help="From a flow's first SYN to a target."
        )
        self.load_age_seconds = Histogram(
            name="load_age_seconds", help="Age of what placed a flow."
        )

    @property
    def is_waiting(self) -> bool:
        """Whether `retry` has something to look after."""
        return bool(self._unanswered) or len(self._queueing) > 0

    @property
    def waiting_by_service(self) -> dict[str, list[WaitingFlow]]:
        """All that wait here for a slot."""
        return self._queueing.flows_by_service

    def configured(self) -> None:
        """Forget what was learned of addresses that have no route any more."""
        routes = self._scope.membership.configuration.routes_by_address
        for address in self._habits_by_address.keys() - routes.keys():
            del self._habits_by_address[address]

    def open(
        self,
        packet: Packet,
        known: KnownFlow | None,
        *,
        now: float,
        draw: random.Random,
    ) -> list:
        """Decide on a SYN or a copy of one."""
        if known is not None:
            known.heard = max(known.heard, packet.waited)
        if packet.flow in self._queueing:
            return self._queueing.copy_came(packet, now=now)
        if known is not None and known.syn is None and not known.is_confirmed:
            known = None  # Known from a question only: its caller's ports are new.
        if known is not None and known.holders:
            # A copy goes where the flow may be open already; only a target that
            # has not answered the first one in time is passed over.
            is_answered = known.is_accepted or known.is_confirmed or known.is_queued
            if is_answered or now - known.sent_at < HEDGE_SECONDS:
                return self._scope.carry(packet, known, names=known.holders[-1:])
            return self._place(packet, known, now=now, draw=draw)
        route = self._scope.route(packet)
        if route is None:
            self._scope.counts_by_result["no_route"] += 1
            if not self._scope.membership.configuration.version:
                return []
            return [self._scope.reset(packet, "no route", now=now)]
        known = KnownFlow(
            service=self._scope.choose_service(packet, route, now=now),
            created_at=now - packet.waited,
            asked_at=now - packet.waited,
            heard=packet.waited,
            syn=packet,
        )
        earlier = self._scope.returning.earlier(packet, now=now)
        if earlier is not None:
            known.follows(earlier)
        self._scope.flows.put(packet.flow, known)
        self._scope.waits.asked(known.service, route)
        return self._place(packet, known, now=now, draw=draw)

    def accepted(self, frame: Held, *, now: float) -> None:
        """Note that a target has answered a SYN."""
        self._scope.membership.table.answered_flow(frame.agent)
        known = self._scope.flows.get(frame.flow)
        if known is None:
            return
        known.is_accepted = True
        if frame.agent not in known.holders:
            known.holders = (*known.holders, frame.agent)[-MAX_TRIED:]

    def queued(self, frame: Queued, *, now: float) -> list:
        """Note that a SYN waits at an agent for a slot."""
        table = self._scope.membership.table
        table.heard(frame.agent, frame.load, now=now)
        table.answered_flow(frame.agent)
        self._scope.counts_by_result["queued"] += 1
        known = self._scope.flows.get(frame.flow)
        if known is None or known.syn is None or known.holders[-1:] != (frame.agent,):
            return []
        known.is_queued = True
        # An agent that ends while the SYN waits there says nothing more of it.
        self._unanswered.append((now + QUEUE_SILENCE_SECONDS, frame.flow))
        return []

    def turned(
        self, frame: Turned, packet: Packet, *, now: float, draw: random.Random
    ) -> list:
        """Decide on a SYN that a target has turned away."""
        table = self._scope.membership.table
        table.heard(frame.agent, frame.load, now=now)
        table.answered_flow(frame.agent)
        self._scope.counts_by_result["turned"] += 1
        self._scope.log.note(
            "flow turned away",
            now=now,
            flow=packet.flow,
            target=frame.agent,
            reason=frame.reason,
            tried=frame.tried,
            in_flight=frame.load.in_flight,
        )
        known = self._scope.flows.get(packet.flow)
        if known is None or known.is_accepted or known.is_confirmed:
            return []
        known.is_queued = False
        known.holders = tuple(name for name in known.holders if name != frame.agent)
        if known.holders or packet.flow in self._queueing:
            return []
        return self._place(packet, known, now=now, draw=draw)

    def offered(self, frame: Offer, *, now: float) -> list:
        """Send an agent that offers a slot the flow that goes first by now."""
        self._scope.membership.table.heard(frame.agent, frame.load, now=now)
        actions: list = []
        while (taken := self._queueing.take_up(frame, now=now)) is not None:
            flow, withdrawn = taken
            actions += withdrawn
            known = self._scope.flows.get(flow)
            if known is None or known.syn is None or known.holders:
                continue
            route = self._scope.route(known.syn)
            if route is None:
                actions += self._refuse(known.syn, known, "no route", now=now)
                continue
            self._scope.counts_by_result["taken_up"] += 1
            table = self._scope.membership.table
            candidates = table.candidates_of(known.service, now=now)
            return actions + self._send_syn(
                known.syn,
                known,
                route,
                candidates,
                frame.agent,
                is_offered=True,
                now=now,
            )
        return actions + self._queueing.decline(frame)

    def first_asked(self, frame: FirstAsked, *, now: float) -> list:
        """Take a keeper's word that a flow's caller has asked before."""
        return self._queueing.first_asked(frame, now=now)

    def retry(self, *, now: float, draw: random.Random) -> list:
        """Look after SYNs that wait for a slot or for a target's answer."""
        actions = self.place_waiting(now=now, draw=draw)
        actions += self._queueing.renew(now=now, draw=draw)
        return actions + self._retry_unanswered(now=now, draw=draw)

    def _place(
        self, packet: Packet, known: KnownFlow, *, now: float, draw: random.Random
    ) -> list:
        table = self._scope.membership.table
        candidates = reliable(table.candidates_of(known.service, now=now))
        if len(known.tried) >= MOST_PLACEMENTS:
            return self._wait(packet, known, candidates, now=now, draw=draw)
        route = self._scope.route(packet)
        if route is None:
            return self._refuse(packet, known, "no route", now=now)
        habits = self._habits(packet)
        query = PlacementQuery(
            tried=known.tried,
            data_centre=self._scope.membership.peers.own.data_centre,
            long_share=habits.long_share,
            short_bytes=habits.short_bytes,
            in_time=is_in_time(known, route, candidates, now=now),
        )
        match place(query, candidates, draw=draw):
            case NoTarget():
                return self._wait(packet, known, candidates, now=now, draw=draw)
            case Chosen(record=record):
                return self._send_syn(
                    packet, known, route, candidates, record.name, now=now
                )

    def _send_syn(
        self,
        packet: Packet,
        known: KnownFlow,
        route: PacketRoute,
        candidates: list[Candidate],
        name: str,
        *,
        is_offered: bool = False,
        now: float,
    ) -> list:
        self._note_placed(packet, known, candidates, name, now=now)
        known.holders = (*known.holders, name)[-MAX_TRIED:]
        known.tried = (*known.tried, name)
        known.sent_at = now
        self._scope.membership.table.sent_flow(name, now=now)
        self._unanswered.append((now + HEDGE_SECONDS, packet.flow))
        self._hedges_left = min(MAX_HEDGES, self._hedges_left + HEDGE_SHARE)
        self._scope.counts_by_result["placed"] += 1
        return self._carry_syn(
            packet, known, route, candidates, name, is_offered=is_offered, now=now
        )

    def _carry_syn(
        self,
        packet: Packet,
        known: KnownFlow,
        route: PacketRoute,
        candidates: list[Candidate],
        name: str,
        *,
        is_offered: bool,
        now: float,
    ) -> list:
        return self._scope.carry_syn(
            packet,
            known,
            name=name,
            in_time_seconds=known.asked_at + route.aim_seconds - now,
            wait_seconds=gives_up_at(known, route, candidates) - now,
            priority=route.priority,
            is_offered=is_offered,
        )

    def _wait(
        self,
        packet: Packet,
        known: KnownFlow,
        candidates: list[Candidate],
        *,
        now: float,
        draw: random.Random,
    ) -> list:
        """Keep a SYN until a slot comes free, or refuse it if that is too late."""
        route = self._scope.route(packet)
        if known.holders or route is None:
            return []  # One that was asked earlier may still answer.
        begun = self._queueing.begin(
            packet, known, route, candidates, now=now, draw=draw
        )
        match begun:
            case CannotWait(reason=reason):
                return self._refuse(packet, known, reason, now=now)
        return begun

    def _refuse(
        self, packet: Packet, known: KnownFlow, reason: str, *, now: float
    ) -> list:
        self._scope.flows.drop(packet.flow)
        self._scope.counts_by_result["refused"] += 1
        self._note_refused(packet, known, reason, now=now)
        back_at = known.created_at + GIVE_UP_SECONDS if packet.waited else now
        earlier = EarlierTry(asked_at=known.asked_at, tries=known.tries)
        told = self._scope.first_asked.refused(
            packet, earlier, back_at=back_at, now=now
        )
        if packet.waited:
            # The first SYN may wait at another balancer, or be placed by now: a
            # reset would end what that one is about to serve.
            self._scope.log.note(
                "copy not placed", now=now, flow=packet.flow, reason=reason
            )
            return told
        return [*told, self._scope.reset(packet, reason, now=now)]

    def _note_refused(
        self, packet: Packet, known: KnownFlow, reason: str, *, now: float
    ) -> None:
        """Count a caller that is told to go; a copy's isn't told anything."""
        route = self._scope.route(packet)
        if route is not None and not packet.waited:
            self._scope.waits.refused(known.service, route, reason, now=now)

    def place_waiting(self, *, now: float, draw: random.Random) -> list:
        """Place flows for which a slot has come free, refuse those it's late for."""
        actions = self._queueing.note_silent_callers(now=now)
        for flow in self._queueing.expired(now=now):
            known = self._scope.flows.get(flow)
            if known is not None and known.syn is not None:
                actions += self._refuse(known.syn, known, "no slot came free", now=now)
        for service in self._queueing.services:
            actions += self._place_waiting_for(service, now=now, draw=draw)
        return actions

    def _place_waiting_for(
        self, service: str, *, now: float, draw: random.Random
    ) -> list:
        actions: list = []
        for _ in range(self._queueing.waiting(service)):
            candidates = self._scope.membership.table.candidates_of(service, now=now)
            usable = [c for c in reliable(candidates) if not c.suspected]
            in_time = self._queueing.sort_out(
                service, now=now, run_seconds=run_seconds(usable)
            )
            if not any(has_room(c, in_time=in_time) for c in usable):
                break
            flow, withdrawn = self._queueing.pop(service)
            actions += withdrawn
            known = self._scope.flows.get(flow)
            if known is None or known.syn is None:
                continue
            actions += self._place(known.syn, known, now=now, draw=draw)
        return actions

    def _retry_unanswered(self, *, now: float, draw: random.Random) -> list:
        actions: list = []
        while self._unanswered and self._unanswered[0][0] <= now:
            _, flow = self._unanswered.popleft()
            known = self._scope.flows.get(flow)
            if known is None or known.syn is None or known.is_accepted:
                continue
            if not known.holders or now - known.sent_at < HEDGE_SECONDS * 0.9:
                continue
            if known.is_queued and now - known.sent_at < QUEUE_SILENCE_SECONDS * 0.9:
                continue
            known.is_queued = False
            self._scope.counts_by_result["unanswered"] += 1
            self._scope.log.note(
                "target did not answer",
                now=now,
                flow=flow,
                target=known.holders[-1],
                waited_seconds=round(now - known.sent_at, 3),
            )
            self._scope.membership.table.not_answered(known.holders[-1])
            if self._hedges_left < 1:
                continue
            self._hedges_left -= 1
            actions += self._place(known.syn, known, now=now, draw=draw)
        return actions

    def learn_habits(self, packet: Packet, known: KnownFlow, *, now: float) -> None:
        """Learn from a packet how long the flows of its address last."""
        if known.is_counted or known.syn is None and not known.tried:
            return  # Flows that were opened elsewhere have an unknown age.
        self._habits(packet).learn(packet, known, now=now)

    def _habits(self, packet: Packet) -> FlowHabits:
        habits = self._habits_by_address
        return habits.setdefault(packet.service_address, FlowHabits())

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
        load_age = self._scope.membership.table.load_age(name, now=now)
        self.wait_seconds.observe(now - known.created_at)
        self.load_age_seconds.observe(load_age)
        self._scope.log.note(
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
            version=self._scope.membership.configuration.version,
        )
