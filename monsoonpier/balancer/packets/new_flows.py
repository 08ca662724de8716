"""Handling of new flows, which are placed on a target, queued or rejected."""

import random
from collections import deque

from monsoonpier.balancer.packets.backlog import (
    FlowBacklog,
    QueueRejection,
    is_in_time,
    wait_expires_at,
)
from monsoonpier.balancer.packets.context import SteeringContext
from monsoonpier.balancer.packets.flows import FlowEntry, FlowStatistics
from monsoonpier.balancer.packets.placement import (
    PlacementQuery,
    has_room,
    median_service_seconds,
    place,
    without_failing,
)
from monsoonpier.balancer.packets.returning import EarlierAttempt
from monsoonpier.balancer.target_choice import Candidate, Chosen, NoTarget
from monsoonpier.model.address import Address
from monsoonpier.model.service import PacketRoute
from monsoonpier.model.waiting import WaitingFlow
from monsoonpier.process.metrics import Histogram
from monsoonpier.wire.frames import (
    MAX_TRIED,
    FirstAttemptReply,
    FlowOwned,
    OfferSlot,
    SynQueued,
    SynRejected,
)
from monsoonpier.wire.packet import Packet

__all__ = ["NewFlowHandler"]

HEDGE_SECONDS = 0.06  # after which an unanswered SYN is sent to another target
# Hedge budget, as a share of the SYNs sent: keeps hedging from adding to the
# congestion of a full link.
HEDGE_SHARE = 0.2
MAX_HEDGES = 10.0
# An agent that has queued a SYN and then sends no message on it for this long may
# have ended.
QUEUE_SILENCE_SECONDS = 0.7
GIVE_UP_SECONDS = 1.4  # after the first SYN; then callers open another flow
MAX_SYN_AGE_SECONDS = 3.0  # a retransmission may arrive after its caller has given up
MAX_PLACEMENTS = 6  # of one SYN in a row, before it is queued for a slot


class NewFlowHandler:
    """Handles SYNs and the responses of targets to them. Does no I/O.

    Args:
        context: State shared by the decisions of this balancer.
        reserves: Whether queued flows reserve slots at agents.
    """

    def __init__(self, *, context: SteeringContext, reserves: bool) -> None:
        self._context = context
        self._statistics_by_address: dict[Address, FlowStatistics] = {}
        self._unanswered: deque[tuple[float, bytes]] = deque()
        self._backlog = FlowBacklog(context=context, reserves=reserves)
        self._hedges_left = MAX_HEDGES
        self.wait_seconds = Histogram(
            name="flow_wait_seconds",
            help="Seconds from a flow's first SYN until it is sent to a target.",
        )
        self.load_age_seconds = Histogram(
            name="load_age_seconds",
            help="Age in seconds of the load report used to place a flow.",
        )

    @property
    def is_waiting(self) -> bool:
        """Whether `retry` has pending work."""
        return bool(self._unanswered) or len(self._backlog) > 0

    @property
    def waiting_by_service(self) -> dict[str, list[WaitingFlow]]:
        """Flows queued here for a slot, by service."""
        return self._backlog.flows_by_service

    def configured(self) -> None:
        """Drop the statistics of addresses that no longer have a route."""
        routes = self._context.membership.configuration.routes_by_address
        for address in self._statistics_by_address.keys() - routes.keys():
            del self._statistics_by_address[address]

    def open(
        self,
        packet: Packet,
        entry: FlowEntry | None,
        *,
        now: float,
        draw: random.Random,
    ) -> list:
        """Handle a SYN or a retransmission of one."""
        if entry is not None and not _is_retransmission(packet, entry, now=now):
            entry = None  # Of an earlier flow with these ports.
        if entry is not None:
            entry.latest_syn_offset = max(entry.latest_syn_offset, packet.waited)
        if packet.flow in self._backlog:
            return self._backlog.note_retransmission(packet, now=now)
        if entry is not None and entry.owners:
            # A retransmission goes to the target that may have opened the flow,
            # unless that target has not answered the earlier SYN in time.
            is_answered = entry.is_accepted or entry.is_confirmed or entry.is_queued
            if is_answered or now - entry.syn_sent_at < HEDGE_SECONDS:
                return self._context.forward(packet, entry, names=entry.owners[-1:])
            return self._place(packet, entry, now=now, draw=draw)
        route = self._context.route(packet)
        if route is None:
            self._context.counts_by_result["no_route"] += 1
            if not self._context.membership.configuration.version:
                return []
            return [self._context.reset_caller(packet, "no route", now=now)]
        entry = FlowEntry(
            service=self._context.choose_service(packet, route, now=now),
            created_at=now - packet.waited,
            first_attempt_at=now - packet.waited,
            latest_syn_offset=packet.waited,
            syn=packet,
            syn_sequence=packet.sequence,
        )
        earlier = self._context.returning_callers.find_earlier(packet, now=now)
        if earlier is not None:
            entry.link_earlier_attempt(earlier)
        self._context.flows.put(packet.flow, entry)
        self._context.wait_statistics.count_requested(entry.service, route)
        return self._place(packet, entry, now=now, draw=draw)

    def on_accepted(self, frame: FlowOwned, *, now: float) -> None:
        """Record that a target has answered a SYN."""
        self._context.membership.table.record_flow_answered(frame.agent)
        entry = self._context.flows.get(frame.flow)
        if entry is None:
            return
        entry.is_accepted = True
        if frame.agent not in entry.owners:
            entry.owners = (*entry.owners, frame.agent)[-MAX_TRIED:]

    def on_queued(self, frame: SynQueued, *, now: float) -> list:
        """Record that an agent has queued a SYN for a slot."""
        table = self._context.membership.table
        table.record_load(frame.agent, frame.load, now=now)
        table.record_flow_answered(frame.agent)
        self._context.counts_by_result["queued"] += 1
        entry = self._context.flows.get(frame.flow)
        if entry is None or entry.syn is None or entry.owners[-1:] != (frame.agent,):
            return []
        entry.is_queued = True
        # Detects an agent that ends while the SYN is queued there.
        self._unanswered.append((now + QUEUE_SILENCE_SECONDS, frame.flow))
        return []

    def on_rejected(
        self, frame: SynRejected, packet: Packet, *, now: float, draw: random.Random
    ) -> list:
        """Place a SYN that an agent has rejected on another target, or queue it."""
        table = self._context.membership.table
        table.record_load(frame.agent, frame.load, now=now)
        table.record_flow_answered(frame.agent)
        self._context.counts_by_result["turned"] += 1
        self._context.log.note(
            "flow rejected by agent",
            now=now,
            flow=packet.flow,
            target=frame.agent,
            reason=frame.reason,
            tried=frame.tried,
            in_flight=frame.load.in_flight,
        )
        entry = self._context.flows.get(packet.flow)
        if entry is None or entry.is_accepted or entry.is_confirmed:
            return []
        entry.is_queued = False
        entry.owners = tuple(name for name in entry.owners if name != frame.agent)
        if entry.owners or packet.flow in self._backlog:
            return []
        return self._place(packet, entry, now=now, draw=draw)

    def on_offer(self, frame: OfferSlot, *, now: float) -> list:
        """Send the queued flow that fits best to an agent that offers a slot.

        The offer is declined if no flow can take the slot.
        """
        self._context.membership.table.record_load(frame.agent, frame.load, now=now)
        actions: list = []
        while (claimed := self._backlog.claim(frame, now=now)) is not None:
            flow, cancellations = claimed
            actions += cancellations
            entry = self._context.flows.get(flow)
            if entry is None or entry.syn is None or entry.owners:
                continue
            route = self._context.route(entry.syn)
            if route is None:
                actions += self._reject(entry.syn, entry, "no route", now=now)
                continue
            self._context.counts_by_result["taken_up"] += 1
            table = self._context.membership.table
            candidates = table.packet_candidates(entry.service, now=now)
            return actions + self._send_syn(
                entry.syn,
                entry,
                route,
                candidates,
                frame.agent,
                is_offered=True,
                now=now,
            )
        return actions + self._backlog.decline(frame)

    def on_first_attempt_reply(self, frame: FirstAttemptReply, *, now: float) -> list:
        """Record a caller's first attempt, as its directory balancer reports it."""
        return self._backlog.record_first_attempt(frame, now=now)

    def retry(self, *, now: float, draw: random.Random) -> list:
        """Place or reject queued SYNs, and hedge those that no target has answered."""
        actions = self.place_waiting(now=now, draw=draw)
        actions += self._backlog.renew(now=now, draw=draw)
        return actions + self._retry_unanswered(now=now, draw=draw)

    def _place(
        self, packet: Packet, entry: FlowEntry, *, now: float, draw: random.Random
    ) -> list:
        """Send a SYN to the best target, or queue it if none has room."""
        table = self._context.membership.table
        candidates = without_failing(table.packet_candidates(entry.service, now=now))
        if len(entry.tried) >= MAX_PLACEMENTS:
            return self._enqueue(packet, entry, candidates, now=now, draw=draw)
        route = self._context.route(packet)
        if route is None:
            return self._reject(packet, entry, "no route", now=now)
        statistics = self._statistics(packet)
        query = PlacementQuery(
            tried=entry.tried,
            data_centre=self._context.membership.peers.own.data_centre,
            long_share=statistics.long_share,
            short_bytes=statistics.short_bytes,
            in_time=is_in_time(entry, route, candidates, now=now),
        )
        match place(query, candidates, draw=draw):
            case NoTarget():
                return self._enqueue(packet, entry, candidates, now=now, draw=draw)
            case Chosen(record=record):
                return self._send_syn(
                    packet, entry, route, candidates, record.name, now=now
                )

    def _send_syn(
        self,
        packet: Packet,
        entry: FlowEntry,
        route: PacketRoute,
        candidates: list[Candidate],
        name: str,
        *,
        is_offered: bool = False,
        now: float,
    ) -> list:
        """Record the placement of a SYN on a target, and forward it."""
        self._note_placed(packet, entry, candidates, name, now=now)
        entry.owners = (*entry.owners, name)[-MAX_TRIED:]
        entry.tried = (*entry.tried, name)
        entry.syn_sent_at = now
        self._context.membership.table.record_flow_sent(name, now=now)
        self._unanswered.append((now + HEDGE_SECONDS, packet.flow))
        self._hedges_left = min(MAX_HEDGES, self._hedges_left + HEDGE_SHARE)
        self._context.counts_by_result["placed"] += 1
        return self._forward_syn(
            packet, entry, route, candidates, name, is_offered=is_offered, now=now
        )

    def _forward_syn(
        self,
        packet: Packet,
        entry: FlowEntry,
        route: PacketRoute,
        candidates: list[Candidate],
        name: str,
        *,
        is_offered: bool,
        now: float,
    ) -> list:
        """Return the frame that forwards a SYN, with its time limits."""
        return self._context.forward_syn(
            packet,
            entry,
            name=name,
            in_time_seconds=entry.first_attempt_at + route.aim_seconds - now,
            wait_seconds=wait_expires_at(entry, route, candidates) - now,
            priority=route.priority,
            is_offered=is_offered,
        )

    def _enqueue(
        self,
        packet: Packet,
        entry: FlowEntry,
        candidates: list[Candidate],
        *,
        now: float,
        draw: random.Random,
    ) -> list:
        """Queue a SYN until a slot is free, or reject it if that would be too late."""
        route = self._context.route(packet)
        if entry.owners or route is None:
            return []  # A target that was sent the SYN may still answer.
        outcome = self._backlog.enqueue(
            packet, entry, route, candidates, now=now, draw=draw
        )
        match outcome:
            case QueueRejection(reason=reason):
                return self._reject(packet, entry, reason, now=now)
        return outcome

    def _reject(
        self, packet: Packet, entry: FlowEntry, reason: str, *, now: float
    ) -> list:
        """Record a rejected flow, and reset it unless its SYN is a retransmission."""
        self._context.flows.drop(packet.flow)
        self._context.counts_by_result["refused"] += 1
        self._count_rejected(packet, entry, reason, now=now)
        next_attempt_at = entry.created_at + GIVE_UP_SECONDS if packet.waited else now
        earlier = EarlierAttempt(
            first_attempt_at=entry.first_attempt_at, attempts=entry.attempts
        )
        notices = self._context.first_attempts.note_rejection(
            packet, earlier, next_attempt_at=next_attempt_at, now=now
        )
        if packet.waited:
            # The first SYN may be queued or placed at another balancer; a reset
            # would end a flow that is about to be served.
            self._context.log.note(
                "retransmitted SYN not placed", now=now, flow=packet.flow, reason=reason
            )
            return notices
        return [*notices, self._context.reset_caller(packet, reason, now=now)]

    def _count_rejected(
        self, packet: Packet, entry: FlowEntry, reason: str, *, now: float
    ) -> None:
        """Count a rejected flow; retransmissions are dropped and not counted."""
        route = self._context.route(packet)
        if route is not None and not packet.waited:
            self._context.wait_statistics.count_rejected(
                entry.service, route, reason, now=now
            )

    def place_waiting(self, *, now: float, draw: random.Random) -> list:
        """Place queued flows on free slots and reject those that have expired."""
        actions = self._backlog.note_abandoned(now=now)
        for flow in self._backlog.pop_expired(now=now):
            entry = self._context.flows.get(flow)
            if entry is not None and entry.syn is not None:
                actions += self._reject(entry.syn, entry, "no slot came free", now=now)
        for service in self._backlog.services:
            actions += self._place_waiting_for(service, now=now, draw=draw)
        return actions

    def _place_waiting_for(
        self, service: str, *, now: float, draw: random.Random
    ) -> list:
        """Place the queued flows of one service while targets have room."""
        actions: list = []
        for _ in range(self._backlog.count_queued(service)):
            candidates = self._context.membership.table.packet_candidates(
                service, now=now
            )
            usable = [c for c in without_failing(candidates) if not c.suspected]
            in_time = self._backlog.update_late(
                service, now=now, run_seconds=median_service_seconds(usable)
            )
            if not any(has_room(c, in_time=in_time) for c in usable):
                break
            flow, cancellations = self._backlog.pop(service)
            actions += cancellations
            entry = self._context.flows.get(flow)
            if entry is None or entry.syn is None:
                continue
            actions += self._place(entry.syn, entry, now=now, draw=draw)
        return actions

    def _retry_unanswered(self, *, now: float, draw: random.Random) -> list:
        """Hedge SYNs: send those that are still unanswered to another target."""
        actions: list = []
        while self._unanswered and self._unanswered[0][0] <= now:
            _, flow = self._unanswered.popleft()
            entry = self._context.flows.get(flow)
            if entry is None or entry.syn is None or entry.is_accepted:
                continue
            if not entry.owners or now - entry.syn_sent_at < HEDGE_SECONDS * 0.9:
                continue
            if (
                entry.is_queued
                and now - entry.syn_sent_at < QUEUE_SILENCE_SECONDS * 0.9
            ):
                continue
            entry.is_queued = False
            self._context.counts_by_result["unanswered"] += 1
            self._context.log.note(
                "target did not respond",
                now=now,
                flow=flow,
                target=entry.owners[-1],
                waited_seconds=round(now - entry.syn_sent_at, 3),
            )
            self._context.membership.table.record_flow_unanswered(entry.owners[-1])
            if self._hedges_left < 1:
                continue
            self._hedges_left -= 1
            actions += self._place(entry.syn, entry, now=now, draw=draw)
        return actions

    def observe_flow(self, packet: Packet, entry: FlowEntry, *, now: float) -> None:
        """Update the statistics of a packet's address."""
        if entry.is_in_statistics or entry.syn is None and not entry.tried:
            return  # The flow's age is unknown if another balancer opened it.
        self._statistics(packet).observe(packet, entry, now=now)

    def _statistics(self, packet: Packet) -> FlowStatistics:
        """Return the flow statistics of a packet's address."""
        statistics = self._statistics_by_address
        return statistics.setdefault(packet.service_address, FlowStatistics())

    def _note_placed(
        self,
        packet: Packet,
        entry: FlowEntry,
        candidates: list[Candidate],
        name: str,
        *,
        now: float,
    ) -> None:
        """Log a placement, and observe its wait and the age of its load report."""
        chosen = next(c for c in candidates if c.record.name == name)
        load_age = self._context.membership.table.load_age(name, now=now)
        self.wait_seconds.observe(now - entry.created_at)
        self.load_age_seconds.observe(load_age)
        self._context.log.note(
            "flow placed",
            now=now,
            flow=packet.flow,
            service=entry.service,
            target=name,
            of=len(candidates),
            tried=entry.tried,
            in_flight=chosen.load.in_flight,
            sent_since=chosen.sent_since,
            load_number=chosen.load.number,
            load_age=round(load_age, 3),
            version=self._context.membership.configuration.version,
        )


def _is_retransmission(packet: Packet, entry: FlowEntry, *, now: float) -> bool:
    """Return whether a SYN is that of an entry's flow, and not of a later one.

    Retransmissions come soon, and not after the caller has closed the flow. A later
    flow may start with the same number. If the flow's first SYN hasn't passed here,
    only a retransmitted one is of an open flow.
    """
    age = now - entry.created_at
    if entry.has_fin:
        return False
    if entry.syn_sequence is not None:
        return packet.sequence == entry.syn_sequence and age < MAX_SYN_AGE_SECONDS
    return entry.is_confirmed and packet.waited > 0 and age < GIVE_UP_SECONDS
