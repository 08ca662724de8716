"""Queueing of flows for a slot: admission, order and expiry.

A flow's place depends on when its caller sent its first SYN, to whichever balancer,
and on whether the caller is still retransmitting.
"""

import random
from dataclasses import dataclass

from monsoonpier.balancer.packets.context import SteeringContext
from monsoonpier.balancer.packets.flows import FlowEntry
from monsoonpier.balancer.packets.placement import (
    median_service_seconds,
    wait_for_slot,
    without_failing,
)
from monsoonpier.balancer.packets.presence import CallerPresence
from monsoonpier.balancer.packets.reservations import SlotReservations
from monsoonpier.balancer.packets.returning import EarlierAttempt
from monsoonpier.balancer.packets.service_queues import ServiceQueues
from monsoonpier.balancer.target_choice import Candidate
from monsoonpier.model.service import PacketRoute
from monsoonpier.model.waiting import MARGIN_RUNS, WaitingFlow
from monsoonpier.wire.frames import FirstAttemptReply, OfferSlot
from monsoonpier.wire.packet import Packet

__all__ = ["QueueRejection", "FlowBacklog", "wait_expires_at", "is_in_time"]

MAX_WAIT_SECONDS = 1.3  # callers give up a SYN after 1.4 s
# Share of the route's timeout; the rest is for serving the request and for one
# more attempt.
MAX_WAIT_SHARE = 0.7


@dataclass(frozen=True, slots=True, kw_only=True)
class QueueRejection:
    """Why a flow can't be queued."""

    reason: str


class FlowBacklog:
    """The flows queued at one balancer, with their slot reservations. Does no I/O.

    Args:
        context: State shared by the decisions of this balancer.
        reserves: Whether queued flows reserve slots at agents.
    """

    def __init__(self, *, context: SteeringContext, reserves: bool) -> None:
        self._context = context
        self._queues = ServiceQueues()
        self._reservations = SlotReservations(
            context=context, queues=self._queues, is_enabled=reserves
        )
        self._presence = CallerPresence()

    def __len__(self) -> int:
        return len(self._queues)

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._queues

    @property
    def flows_by_service(self) -> dict[str, list[WaitingFlow]]:
        """Queued flows by service."""
        return self._queues.flows_by_service

    @property
    def services(self) -> list[str]:
        """Names of services that have queued flows."""
        return self._queues.services

    def count_queued(self, service: str) -> int:
        """Return how many flows are queued for the service."""
        return self._queues.count_queued(service)

    # Adding and removing flows

    def enqueue(
        self,
        packet: Packet,
        entry: FlowEntry,
        route: PacketRoute,
        candidates: list[Candidate],
        *,
        now: float,
        draw: random.Random,
    ) -> list | QueueRejection:
        """Queue a flow, if a slot is expected before its caller gives up.

        Args:
            packet: The flow's SYN.
            entry: The flow's entry in the flow table.
            route: The route of the flow's address.
            candidates: The service's targets, without failing ones.
            now: The current time.
            draw: Source of random numbers.

        Returns:
            The frames to send to other processes, or why it can't be queued.
        """
        waiting = _waiting_flow(packet.flow, entry, route, candidates)
        # A lower bound, since flows queued at other balancers are unknown.
        ahead = self._queues.ahead(
            waiting,
            service=entry.service,
            in_time=is_in_time(entry, route, candidates, now=now),
        )
        wait = wait_for_slot(candidates, ahead=ahead)
        if not self._context.is_converged(now=now):
            wait = 0.0  # More targets may become known.
        if wait is None:
            return QueueRejection(reason="no target serves")
        if now + wait >= waiting.expires:
            return QueueRejection(reason="would be late")
        entry.tried = ()
        if not self._queues.add(waiting, service=entry.service):
            return QueueRejection(reason="too many wait")
        self._context.counts_by_result["waited"] += 1
        self._context.log.note(
            "flow queued for a slot",
            now=now,
            flow=packet.flow,
            service=entry.service,
            ahead=ahead,
            expected_seconds=round(wait, 3),
            at_most_seconds=round(waiting.expires - now, 3),
        )
        return self._on_enqueued(packet, entry, now=now, draw=draw)

    def _on_enqueued(
        self, packet: Packet, entry: FlowEntry, *, now: float, draw: random.Random
    ) -> list:
        """Reserve slots for a newly queued flow, and start tracking its caller.

        Also queries the caller's first attempt, once per flow.
        """
        actions: list = []
        if not entry.is_attempt_queried and entry.first_attempt_at >= entry.created_at:
            entry.is_attempt_queried = True
            actions += self._context.first_attempts.query(packet)
        is_presumed_abandoned = self._presence.track(
            packet.flow,
            first_syn_at=entry.created_at,
            latest_syn_offset=entry.latest_syn_offset,
            now=now,
        )
        if is_presumed_abandoned:
            actions += self._reposition(packet.flow, entry, now=now)
        return actions + self._reservations.reserve_initial(
            packet.flow, service=entry.service, now=now, draw=draw
        )

    def pop_expired(self, *, now: float) -> list[bytes]:
        """Remove and return the flows that have waited too long."""
        flows = self._queues.pop_expired(now=now)
        for flow in flows:
            self._reservations.forget(flow)
            self._presence.forget(flow)
        return flows

    def update_late(self, service: str, *, now: float, run_seconds: float) -> bool:
        """Reclassify flows that have become late; return whether any is in time."""
        return self._queues.update_late(service, now=now, run_seconds=run_seconds)

    def pop(self, service: str) -> tuple[bytes, list]:
        """Remove and return the first flow in the queue.

        Also returns the frames that cancel its reservations.
        """
        flow = self._queues.pop(service)
        self._presence.forget(flow)
        return flow, self._reservations.cancel(flow)

    def claim(self, offer: OfferSlot, *, now: float) -> tuple[bytes, list] | None:
        """Remove and return the flow that fits an offered slot best, if any.

        Also returns the frames that cancel its reservations at other agents.
        """
        flow = self._reservations.claim(offer, now=now)
        if flow is None:
            return None
        self._presence.forget(flow)
        return flow, self._reservations.cancel(flow, kept=offer.agent)

    def decline(self, offer: OfferSlot) -> list:
        """Return the frames that decline an offer for which no flow is left."""
        return self._reservations.decline(offer)

    def renew(self, *, now: float, draw: random.Random) -> list:
        """Return the frames that reserve at further agents for long-waiting flows."""
        return self._reservations.renew(now=now, draw=draw)

    # Updates about callers

    def note_retransmission(self, packet: Packet, *, now: float) -> list:
        """Restore the place of a flow that was presumed abandoned."""
        entry = self._context.flows.get(packet.flow)
        if entry is None or not self._presence.note_retransmission(
            packet.flow, waited=packet.waited
        ):
            return []
        self._context.counts_by_result["doubt_ended"] += 1
        return self._reposition(packet.flow, entry, now=now)

    def note_abandoned(self, *, now: float) -> list:
        """Move flows that are now presumed abandoned to the end of the queue."""
        actions: list = []
        for flow in self._presence.pop_abandoned(now=now):
            entry = self._context.flows.get(flow)
            if entry is None or flow not in self._queues:
                self._presence.forget(flow)
                continue
            self._context.counts_by_result["doubted"] += 1
            self._context.log.note(
                "flow presumed abandoned",
                now=now,
                flow=flow,
                waited_seconds=round(now - entry.created_at, 3),
            )
            actions += self._reposition(flow, entry, now=now)
        return actions

    def record_first_attempt(self, frame: FirstAttemptReply, *, now: float) -> list:
        """Record a caller's first attempt, and move its flow in the queue."""
        entry = self._context.flows.get(frame.flow)
        if entry is None or entry.syn is None:
            return []
        first_attempt_at = now - frame.first_attempt_age_ms / 1000
        entry.link_earlier_attempt(
            EarlierAttempt(first_attempt_at=first_attempt_at, attempts=frame.tries)
        )
        self._context.counts_by_result["asked_before"] += 1
        self._context.log.note(
            "earlier attempt reported",
            now=now,
            flow=frame.flow,
            first_asked_seconds=round(now - entry.first_attempt_at, 3),
        )
        return self._reposition(frame.flow, entry, now=now)

    def _reposition(self, flow: bytes, entry: FlowEntry, *, now: float) -> list:
        """Move a queued flow to its new place after its entry has changed."""
        route = self._context.route(entry.syn) if entry.syn is not None else None
        if route is None:
            return []
        table = self._context.membership.table
        candidates = without_failing(table.packet_candidates(entry.service, now=now))
        waiting = _waiting_flow(
            flow,
            entry,
            route,
            candidates,
            is_doubtful=self._presence.is_presumed_abandoned(flow),
        )
        self._queues.reposition(waiting, service=entry.service)
        return self._reservations.update(flow, service=entry.service, now=now)


def is_in_time(
    entry: FlowEntry,
    route: PacketRoute,
    candidates: list[Candidate],
    *,
    now: float,
) -> bool:
    """Return whether a flow that got a slot now would meet its latency target."""
    needed = MARGIN_RUNS * median_service_seconds(candidates)
    return now + needed < entry.first_attempt_at + route.aim_seconds


def wait_expires_at(
    entry: FlowEntry, route: PacketRoute, candidates: list[Candidate]
) -> float:
    """Return the time until which a SYN may wait for a slot.

    The route's timeout counts from the caller's first SYN, so a caller that was
    rejected before has less time left.
    """
    max_wait = min(MAX_WAIT_SECONDS, MAX_WAIT_SHARE * route.timeout_seconds)
    needed = MARGIN_RUNS * median_service_seconds(candidates)
    latest_start_at = entry.first_attempt_at + route.timeout_seconds - needed
    return min(entry.created_at + max_wait, latest_start_at)


def _waiting_flow(
    flow: bytes,
    entry: FlowEntry,
    route: PacketRoute,
    candidates: list[Candidate],
    *,
    is_doubtful: bool = False,
) -> WaitingFlow:
    """Return the queue entry of a flow."""
    return WaitingFlow(
        flow=flow,
        in_time_until=entry.first_attempt_at + route.aim_seconds,
        expires=wait_expires_at(entry, route, candidates),
        priority=route.priority,
        is_doubtful=is_doubtful,
    )
