"""Flows that wait for a slot: whether they may, in which order, until when.

The load that it answers: all slots of a service are taken for seconds, and callers
give up, come back and leave meanwhile. What is known of a flow's caller decides on its
place: when it first asked, on whichever balancer, and whether it is there still.
"""

import random
from dataclasses import dataclass

from monsoonpier.balancer.packets.flows import KnownFlow
from monsoonpier.balancer.packets.placement import (
    reliable,
    run_seconds,
    wait_for_slot,
)
from monsoonpier.balancer.packets.presence import CallerPresence
from monsoonpier.balancer.packets.reservations import SlotReservations
from monsoonpier.balancer.packets.returning import EarlierTry
from monsoonpier.balancer.packets.scope import PacketScope
from monsoonpier.balancer.packets.waiting import WaitingRoom
from monsoonpier.balancer.steering import Candidate
from monsoonpier.model.service import PacketRoute
from monsoonpier.model.waiting import MARGIN_RUNS, WaitingFlow
from monsoonpier.wire.frames import FirstAsked, Offer
from monsoonpier.wire.packet import Packet

__all__ = ["CannotWait", "FlowQueueing", "gives_up_at", "is_in_time"]

MAX_WAIT_SECONDS = 1.3  # of the 1.4 s after which callers give a SYN up
# Of the time after which an answer is of no use: the rest is for the run, and for
# one more try elsewhere.
MAX_WAIT_SHARE = 0.7


@dataclass(frozen=True, slots=True, kw_only=True)
class CannotWait:
    """A flow's turn wouldn't come before its caller leaves."""

    reason: str


class FlowQueueing:
    """The flows that wait at one balancer. Does no I/O.

    Args:
        scope: What the balancer knows.
        reserves: Whether flows that wait reserve slots at agents.
    """

    def __init__(self, *, scope: PacketScope, reserves: bool) -> None:
        self._scope = scope
        self._room = WaitingRoom()
        self._reservations = SlotReservations(
            scope=scope, waiting_room=self._room, is_on=reserves
        )
        self._presence = CallerPresence()

    def __len__(self) -> int:
        return len(self._room)

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._room

    @property
    def flows_by_service(self) -> dict[str, list[WaitingFlow]]:
        """All that wait here."""
        return self._room.flows_by_service

    @property
    def services(self) -> list[str]:
        """Names of services that flows wait for."""
        return self._room.services

    def waiting(self, service: str) -> int:
        """Return how many flows wait for the service."""
        return self._room.waiting(service)

    # Coming and going

    def begin(
        self,
        packet: Packet,
        known: KnownFlow,
        route: PacketRoute,
        candidates: list[Candidate],
        *,
        now: float,
        draw: random.Random,
    ) -> list | CannotWait:
        """Let a flow wait, if its turn comes before its caller leaves.

        Args:
            packet: Its SYN.
            known: What is known of it.
            route: Where its address leads.
            candidates: The service's targets that are relied on.
            now: The present time.
            draw: Random draws.

        Returns:
            The frames that tell others of it, or why it can't wait.
        """
        waiting = _waiting_flow(packet.flow, known, route, candidates)
        # Others may wait elsewhere too: what waits here is the least.
        ahead = self._room.ahead(
            waiting,
            service=known.service,
            in_time=is_in_time(known, route, candidates, now=now),
        )
        wait = wait_for_slot(candidates, ahead=ahead)
        if not self._scope.is_settled(now=now):
            wait = 0.0  # More targets may just not be known yet.
        if wait is None:
            return CannotWait(reason="no target serves")
        if now + wait >= waiting.expires:
            return CannotWait(reason="would be late")
        known.tried = ()
        if not self._room.add(waiting, service=known.service):
            return CannotWait(reason="too many wait")
        self._scope.counts_by_result["waited"] += 1
        self._scope.log.note(
            "flow waits for a slot",
            now=now,
            flow=packet.flow,
            service=known.service,
            ahead=ahead,
            expected_seconds=round(wait, 3),
            at_most_seconds=round(waiting.expires - now, 3),
        )
        return self._tell_of(packet, known, now=now, draw=draw)

    def _tell_of(
        self, packet: Packet, known: KnownFlow, *, now: float, draw: random.Random
    ) -> list:
        actions: list = []
        if not known.is_asked_for and known.asked_at >= known.created_at:
            known.is_asked_for = True
            actions += self._scope.first_asked.ask(packet)
        is_doubtful = self._presence.waits(
            packet.flow, began_at=known.created_at, heard=known.heard, now=now
        )
        if is_doubtful:
            actions += self._rekey(packet.flow, known, now=now)
        return actions + self._reservations.begin(
            packet.flow, service=known.service, now=now, draw=draw
        )

    def expired(self, *, now: float) -> list[bytes]:
        """Return the flows that have waited too long, which then no longer wait."""
        flows = self._room.expired(now=now)
        for flow in flows:
            self._reservations.end(flow)
            self._presence.gone(flow)
        return flows

    def sort_out(self, service: str, *, now: float, run_seconds: float) -> bool:
        """Count again who is late; tell whether one in time is left."""
        return self._room.sort_out(service, now=now, run_seconds=run_seconds)

    def pop(self, service: str) -> tuple[bytes, list]:
        """Return the flow whose turn it is, which then no longer waits.

        With it the frames that take back what it has reserved.
        """
        flow = self._room.pop(service)
        self._presence.gone(flow)
        return flow, self._reservations.withdraw(flow)

    def take_up(self, offer: Offer, *, now: float) -> tuple[bytes, list] | None:
        """Return the flow that an offered slot is best given to, if any waits.

        With it the frames that take back what it has reserved elsewhere.
        """
        flow = self._reservations.take_up(offer, now=now)
        if flow is None:
            return None
        self._presence.gone(flow)
        return flow, self._reservations.withdraw(flow, kept=offer.agent)

    def decline(self, offer: Offer) -> list:
        """Return the answer to an offer for which no flow is left."""
        return self._reservations.decline(offer)

    def renew(self, *, now: float, draw: random.Random) -> list:
        """Return the frames that reserve anew for those that wait for long."""
        return self._reservations.renew(now=now, draw=draw)

    # What is learned of callers meanwhile

    def copy_came(self, packet: Packet, *, now: float) -> list:
        """Give a flow its place back whose caller was thought to have left."""
        known = self._scope.flows.get(packet.flow)
        if known is None or not self._presence.heard(packet.flow, waited=packet.waited):
            return []
        self._scope.counts_by_result["doubt_ended"] += 1
        return self._rekey(packet.flow, known, now=now)

    def note_silent_callers(self, *, now: float) -> list:
        """Let flows go last whose callers failed to send a copy that was due."""
        actions: list = []
        for flow in self._presence.turned_doubtful(now=now):
            known = self._scope.flows.get(flow)
            if known is None or flow not in self._room:
                self._presence.gone(flow)
                continue
            self._scope.counts_by_result["doubted"] += 1
            self._scope.log.note(
                "caller is silent",
                now=now,
                flow=flow,
                waited_seconds=round(now - known.created_at, 3),
            )
            actions += self._rekey(flow, known, now=now)
        return actions

    def first_asked(self, frame: FirstAsked, *, now: float) -> list:
        """Take a keeper's word that a flow's caller has asked before."""
        known = self._scope.flows.get(frame.flow)
        if known is None or known.syn is None:
            return []
        asked_at = now - frame.asked_ms / 1000
        known.follows(EarlierTry(asked_at=asked_at, tries=frame.tries))
        self._scope.counts_by_result["asked_before"] += 1
        self._scope.log.note(
            "caller asked before",
            now=now,
            flow=frame.flow,
            first_asked_seconds=round(now - known.asked_at, 3),
        )
        return self._rekey(frame.flow, known, now=now)

    def _rekey(self, flow: bytes, known: KnownFlow, *, now: float) -> list:
        """Give a waiting flow the place that what is known of its caller asks for."""
        route = self._scope.route(known.syn) if known.syn is not None else None
        if route is None:
            return []
        table = self._scope.membership.table
        candidates = reliable(table.candidates_of(known.service, now=now))
        waiting = _waiting_flow(
            flow,
            known,
            route,
            candidates,
            is_doubtful=self._presence.doubts(flow),
        )
        self._room.rekey(waiting, service=known.service)
        return self._reservations.restate(flow, service=known.service, now=now)


def is_in_time(
    known: KnownFlow,
    route: PacketRoute,
    candidates: list[Candidate],
    *,
    now: float,
) -> bool:
    """Tell whether a flow that got a slot now would be answered in time."""
    needed = MARGIN_RUNS * run_seconds(candidates)
    return now + needed < known.asked_at + route.aim_seconds


def gives_up_at(
    known: KnownFlow, route: PacketRoute, candidates: list[Candidate]
) -> float:
    """Return until when a SYN may wait for a slot.

    A caller that was refused before has less time left for the whole request: a run
    that begins at its end is for one that has left.
    """
    most = min(MAX_WAIT_SECONDS, MAX_WAIT_SHARE * route.timeout_seconds)
    needed = MARGIN_RUNS * run_seconds(candidates)
    left_at = known.asked_at + route.timeout_seconds - needed
    return min(known.created_at + most, left_at)


def _waiting_flow(
    flow: bytes,
    known: KnownFlow,
    route: PacketRoute,
    candidates: list[Candidate],
    *,
    is_doubtful: bool = False,
) -> WaitingFlow:
    return WaitingFlow(
        flow=flow,
        in_time_until=known.asked_at + route.aim_seconds,
        expires=gives_up_at(known, route, candidates),
        priority=route.priority,
        is_doubtful=is_doubtful,
    )
