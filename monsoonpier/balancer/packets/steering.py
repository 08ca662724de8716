"""Steering of flows without a token: any packet to the target that holds its flow.

A packet names its flow by addresses and ports only. The agent beside a target
sees all of the target's packets, so it alone knows what the target holds, and
it delivers nothing else. A balancer remembers holders as a bounded cache that
may be lost at any time: what it doesn't remember it asks of the flow's keepers,
then of all agents of the services that its route names. Only when every agent has
denied a flow is its caller sent a reset; while one of them can't be reached the flow
may live there, and a reset would break it.
"""

import random
from collections import Counter
from collections.abc import Collection

from monsoonpier.balancer.membership import Membership
from monsoonpier.balancer.packets.caller_waits import ServiceWaits
from monsoonpier.balancer.packets.flows import KnownFlow
from monsoonpier.balancer.packets.inquiries import HolderInquiries
from monsoonpier.balancer.packets.openings import FlowOpenings
from monsoonpier.balancer.packets.scope import PacketScope
from monsoonpier.model.waiting_summary import WaitingSummary
from monsoonpier.process.logs import DecisionLog
from monsoonpier.process.readings import Reading
from monsoonpier.wire.frames import (
    FirstAsked,
    Held,
    Holds,
    Load,
    NotHeld,
    Offer,
    Queued,
    Refused,
    Turned,
    WhenAsked,
)
from monsoonpier.wire.packet import Packet

__all__ = ["PacketSteering"]


class PacketSteering:
    """Decides on callers' packets and agents' frames. Does no I/O."""

    def __init__(
        self,
        *,
        membership: Membership,
        log: DecisionLog,
        data_centres: Collection[str] = (),
        reserves: bool = False,
    ) -> None:
        self._scope = PacketScope(
            membership=membership,
            log=log,
            data_centres=data_centres,
        )
        self._openings = FlowOpenings(scope=self._scope, reserves=reserves)
        self._inquiries = HolderInquiries(scope=self._scope)

    @property
    def flows(self) -> int:
        """How many flows are remembered."""
        return len(self._scope.flows)

    @property
    def counts_by_result(self) -> Counter[str]:
        """Decisions so far."""
        return self._scope.counts_by_result

    @property
    def opened_by_service(self) -> Counter[str]:
        """New flows so far, by the service chosen for them."""
        return self._scope.opened_by_service

    @property
    def histograms(self) -> tuple[Reading, ...]:
        """Times that decisions took or were based on."""
        return (self._openings.wait_seconds, self._openings.load_age_seconds)

    @property
    def is_waiting(self) -> bool:
        """Whether `retry` has something to look after."""
        return self._openings.is_waiting or self._inquiries.is_waiting

    def configured(self) -> None:
        """Take a newer configuration into account."""
        self._scope.configured()
        self._openings.configured()
        self._scope.waits.configured(self._services)

    def waiting(self, *, now: float) -> tuple[WaitingSummary, ...]:
        """Return how callers fare, by service and priority."""
        return self._summaries(self._services, now=now)

    @property
    def _services(self) -> set[str]:
        """All services that the present configuration has a route to."""
        routes = self._scope.membership.configuration.routes_by_address
        return {name for route in routes.values() for name in route.services}

    def _summaries(
        self, services: Collection[str], *, now: float
    ) -> tuple[WaitingSummary, ...]:
        """Return how callers fare; who waits and how long only of these services."""
        flows_by_service = self._openings.waiting_by_service
        waits_by_service = {
            service: ServiceWaits(
                flows=flows_by_service.get(service, ()),
                candidates=self._scope.membership.table.candidates_of(service, now=now),
            )
            for service in services
        }
        return self._scope.waits.summaries(
            waits_by_service, asked_at=self._asked_at, now=now
        )

    def _asked_at(self, flow: bytes) -> float | None:
        known = self._scope.flows.get(flow)
        return None if known is None else known.asked_at

    def retry(self, *, now: float, draw: random.Random) -> list:
        """Look after what waits; to be called soon again while `is_waiting`."""
        if self._scope.waits.is_line_due(now=now):
            self._note_waits(now=now)
        return self._openings.retry(now=now, draw=draw) + self._inquiries.retry(now=now)

    def _note_waits(self, *, now: float) -> None:
        # To look at all targets of a large site would keep packets waiting.
        flows_by_service = self._openings.waiting_by_service
        services = [name for name, flows in flows_by_service.items() if flows]
        summaries = self._summaries(services, now=now)
        for fields in self._scope.waits.lines(summaries):
            self._scope.log.note("callers wait", now=now, **fields)

    def from_caller(self, packet: Packet, *, now: float, draw: random.Random) -> list:
        """Decide on a packet that a caller sent."""
        known = self._scope.flows.touch(packet.flow)
        if packet.is_syn:
            return self._openings.open(packet, known, now=now, draw=draw)
        if known is None:
            return self._inquiries.ask(packet, now=now)
        known.has_fin |= packet.is_fin
        self._openings.learn_habits(packet, known, now=now)
        if known.inquiry is not None:
            return self._inquiries.ask_again(packet, known, now=now)
        if not any(self._scope.may_hold(name) for name in known.holders):
            return self._holders_ended(packet, known, now=now)
        return self._scope.carry(packet, known, names=known.holders)

    def from_process(
        self,
        frame,
        packet: Packet | None,
        *,
        sender: tuple[str, int],
        now: float,
        draw: random.Random,
    ) -> list | None:
        """Decide on an agent's or balancer's frame; ``None`` if it is another.

        Args:
            frame: The frame.
            packet: The packet that it brings back, if any.
            sender: Where it came from.
            now: The present time.
            draw: Random draws.
        """
        match frame:
            case Load(load=load):
                table = self._scope.membership.table
                table.heard(table.name_at(sender), load, now=now)
                return self._openings.place_waiting(now=now, draw=draw)
            case Held():
                return self._held(frame, now=now)
            case NotHeld():
                return self._inquiries.denied(frame, packet, now=now)
            case Holds():
                return self._inquiries.answered(frame, now=now)
            case Offer():
                return self._openings.offered(frame, now=now)
            case Queued():
                return self._openings.queued(frame, now=now)
            case Turned() if packet is not None:
                return self._openings.turned(frame, packet, now=now, draw=draw)
            case FirstAsked():
                return self._openings.first_asked(frame, now=now)
            case Refused():
                self._scope.first_asked.told(frame, now=now)
                return []
            case WhenAsked():
                return self._scope.first_asked.answer(frame, sender=sender, now=now)
        return self._inquiries.from_balancer(frame, sender=sender, now=now)

    def _held(self, frame: Held, *, now: float) -> list:
        table = self._scope.membership.table
        table.heard(frame.agent, frame.load, now=now)
        record = table.record(frame.agent)
        if record is None:
            return []
        known = self._scope.flows.get(frame.flow)
        if known is None:
            known = KnownFlow(service=record.service, created_at=now)
            self._scope.flows.put(frame.flow, known)
        self._note_served(known, data_centre=record.data_centre, now=now)
        if frame.is_open:
            return self._opened(frame, known, now=now)
        self._openings.accepted(frame, now=now)
        return []

    def _note_served(self, known: KnownFlow, *, data_centre: str, now: float) -> None:
        """Count a flow that a target takes; each counts once."""
        if known.is_accepted or known.is_confirmed or known.syn is None:
            return
        route = self._scope.route(known.syn)
        if route is not None:
            self._scope.waits.served(
                known.service,
                route,
                asked_at=known.asked_at,
                data_centre=data_centre,
                now=now,
            )

    def _opened(self, frame: Held, known: KnownFlow, *, now: float) -> list:
        if known.holders != (frame.agent,):
            self._scope.log.note(
                "holder learned",
                now=now,
                flow=frame.flow,
                target=frame.agent,
                before=known.holders,
            )
        known.holders = (frame.agent,)
        known.is_confirmed = True
        known.syn = None
        self._inquiries.opened(frame.flow, frame.agent, now=now)
        return self._inquiries.settle(known)

    def _holders_ended(self, packet: Packet, known: KnownFlow, *, now: float) -> list:
        """Reset a flow whose holder has ended; ask if it was only thought to be."""
        self._scope.flows.drop(packet.flow)
        if not known.is_confirmed:
            return self._inquiries.ask(packet, now=now)
        return [self._scope.reset(packet, "target gone", now=now)]
