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
from monsoonpier.balancer.packets.flows import KnownFlow
from monsoonpier.balancer.packets.inquiries import HolderInquiries
from monsoonpier.balancer.packets.openings import FlowOpenings
from monsoonpier.balancer.packets.scope import PacketScope
from monsoonpier.process.logs import DecisionLog
from monsoonpier.process.readings import Reading
from monsoonpier.wire.frames import Held, Holds, Load, NotHeld, Queued, Turned
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
    ) -> None:
        self._scope = PacketScope(
            membership=membership,
            log=log,
            data_centres=data_centres,
        )
        self._openings = FlowOpenings(scope=self._scope)
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

    def retry(self, *, now: float, draw: random.Random) -> list:
        """Look after what waits; to be called soon again while `is_waiting`."""
        return self._openings.retry(now=now, draw=draw) + self._inquiries.retry(now=now)

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
            case Queued():
                return self._openings.queued(frame, now=now)
            case Turned() if packet is not None:
                return self._openings.turned(frame, packet, now=now, draw=draw)
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
        if frame.is_open:
            return self._opened(frame, known, now=now)
        self._openings.accepted(frame, now=now)
        return []

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
        return [self._scope.reset(packet, "target gone", asked_at=now, now=now)]
