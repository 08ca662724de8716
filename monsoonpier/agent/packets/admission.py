"""Decides which new flows without a token an agent delivers to its target.

A SYN that finds a free slot is delivered. Otherwise it waits in a short queue,
or is rejected at once with the target's present load if the queue is full.

While balancers have reserved slots for flows that wait there, free slots are
offered to these in the order of all waiting flows (see `reservations`).

Between a SYN and its first request the slot is empty for a round trip to the
caller. While requests are short, the next SYN is therefore delivered while the
slot is still in use, so that its handshake takes place during the preceding
request.
"""

from collections import Counter

from monsoonpier.agent.packets.actions import ToProcess, ToTarget
from monsoonpier.agent.packets.expected_packets import ExpectedPackets
from monsoonpier.agent.packets.flows import PacketFlow, Phase
from monsoonpier.agent.packets.load import TargetLoad
from monsoonpier.agent.packets.queue import AdmissionQueue, QueuedSyn
from monsoonpier.agent.packets.reservations import Reservations
from monsoonpier.model.target import QUEUE_AHEAD, Condition, LoadReport
from monsoonpier.process.logs import DecisionLog
from monsoonpier.wire.frames import (
    MAX_TRIED,
    ForwardPacket,
    OfferSlot,
    ReserveSlot,
    SynQueued,
    SynRejected,
)
from monsoonpier.wire.packet import Packet

__all__ = ["FlowAdmission"]

NO_SLOT = "no slot is free"
NO_SLOT_IN_TIME = "no slot came free"
EVACUATED = "data centre evacuated"
# Shortest handshake, as a share of the service time, for which the next SYN is
# delivered early. With shorter ones little is gained, and a SYN that is
# delivered can no longer be overtaken by a more urgent one.
MIN_HANDSHAKE_SHARE = 0.1
QUEUE_AHEAD_ATTEMPTS = 3  # rejections after which a SYN may wait at the target


class FlowAdmission:
    """Decides on SYNs for one target. Does no I/O.

    Args:
        name: The target's name, as balancers know it.
        service: The only service whose flows are accepted.
        connections: How many flows the target can own at once.
        load: The target's load.
        flows_by_address: The flows that the target owns; new ones are added.
        counts_by_result: Counts decisions, for metrics.
        log: The log of decisions.

    Attributes:
        condition: What the target accepts.
        is_evacuated: Whether the data centre is evacuated. Agents enforce it,
            since a balancer that hasn't received the order still sends new
            flows.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        connections: int,
        load: TargetLoad,
        flows_by_address: dict[bytes, PacketFlow],
        counts_by_result: Counter[str],
        log: DecisionLog,
    ) -> None:
        self._name = name
        self._service = service
        self._connections = connections
        self._load = load
        self._flows_by_address = flows_by_address
        self._counts_by_result = counts_by_result
        self._log = log
        self._expected = ExpectedPackets()
        self.condition = Condition.STARTING
        self.is_evacuated = False

    @property
    def announced_condition(self) -> Condition:
        """The condition that is announced to balancers; shedding while evacuated."""
        if self.is_evacuated and self.condition is Condition.SERVING:
            return Condition.SHEDDING
        return self.condition

    def report(self, *, now: float) -> LoadReport:
        """Return the present load under a new, higher number."""
        return self._load.report(condition=self.announced_condition, now=now)

    @property
    def is_waiting(self) -> bool:
        """Whether SYNs wait or slots are reserved, so `expire` must be called."""
        return len(self._queue) > 0 or self._load.is_reserved

    @property
    def _reservations(self) -> Reservations:
        return self._load.reservations

    @property
    def _queue(self) -> AdmissionQueue:
        return self._load.queue

    def decide(
        self,
        frame: ForwardPacket,
        packet: Packet,
        *,
        sender: tuple[str, int],
        now: float,
    ) -> list:
        """Deliver, queue or reject a SYN of a flow the target doesn't own."""
        if packet.flow in self._queue:
            return [self._queued_reply(packet, sender=sender, now=now)]
        reason = self._rejection_reason(frame, now=now)
        if reason == NO_SLOT and frame.wait_ms and not self._load.is_reserved:
            return self._enqueue(frame, packet, sender=sender, now=now)
        syn = QueuedSyn(packet=packet, tried=frame.tried, balancer=sender)
        if reason is not None:
            return [self.reject(syn, reason, now=now)]
        return [self._deliver(syn, now=now)]

    def admit_queued(self, *, now: float) -> list:
        """Deliver queued SYNs and offer reserved slots while slots are free."""
        if not self.is_waiting:
            return []
        reason = self._closed_reason
        if reason is not None:
            self._reservations.clear()
            waiting = self._queue.pop_all()
            return [self.reject(syn, reason, now=now) for syn in waiting]
        expired = self._queue.pop_expired(now=now)
        actions: list = [self.reject(syn, NO_SLOT_IN_TIME, now=now) for syn in expired]
        run_seconds = self._load.run_seconds
        while self._can_deliver(now=now):
            syn = self._queue.pop(run_seconds=run_seconds, now=now)
            if syn is None:
                break
            actions.append(self._deliver(syn, now=now))
        return actions + self._offer_slots(now=now)

    def _can_deliver(self, *, now: float) -> bool:
        """Return whether the target can take a queued SYN now."""
        is_free = self._load.busy < self._load.slots + self._syns_ahead
        return is_free and self._load.cold.allows(now=now)

    # Slots for flows that wait at balancers

    def reserve(
        self, frame: ReserveSlot, *, balancer: tuple[str, int], now: float
    ) -> None:
        """Record a balancer's reservation, unless no new flow is accepted."""
        if frame.service != self._service or self._closed_reason is not None:
            return
        if not self._reservations.reserve(frame, balancer=balancer, now=now):
            self._counts_by_result["not_reserved"] += 1

    def record_offer_answered(
        self, frame: ForwardPacket, *, sender: tuple[str, int]
    ) -> None:
        """Record the answer to an offer, if the SYN is sent in reply to one."""
        if frame.is_offered:
            self._reservations.taken(sender)

    def record_offer_declined(self, balancer: tuple[str, int]) -> None:
        """Record that no flow waits any more at a balancer with reservations."""
        self._counts_by_result["declined"] += 1
        self._reservations.declined(balancer)

    def _offer_slots(self, *, now: float) -> list[ToProcess]:
        """Offer slots that are free, or about to be, to balancers."""
        if self._reservations.is_empty:
            return []
        for balancer, count in self._reservations.expire(now=now).items():
            self._counts_by_result["offers_passed"] += count
            self._log.note("offers not answered", now=now, balancer=balancer)
        actions: list[ToProcess] = []
        while self._has_slot_to_offer(now=now):
            offer = self._reservations.offer(
                run_seconds=self._load.run_seconds, slots=self._load.slots, now=now
            )
            if offer is None:
                break
            self._counts_by_result["offered"] += 1
            frame = OfferSlot(
                agent=self._name,
                load=self.report(now=now),
                is_late_turn=offer.is_late_turn,
            )
            actions.append(ToProcess(endpoint=offer.balancer, frame=frame))
        return actions

    def _has_slot_to_offer(self, *, now: float) -> bool:
        """Return whether a slot is free, or about to be, beyond open offers."""
        offered = self._reservations.offered
        taken = self._load.busy + len(self._queue) + offered
        if taken >= self._load.slots + QUEUE_AHEAD:
            return False
        if len(self._flows_by_address) + offered >= self._connections:
            return False
        return self._load.cold.allows(now=now, pending=offered)

    @property
    def _syns_ahead(self) -> int:
        """How many SYNs are delivered while all slots are still taken."""
        if self._load.is_reserved:
            return QUEUE_AHEAD
        run_seconds = self._load.run_seconds
        is_handshake_long = (
            self._expected.mean_seconds >= MIN_HANDSHAKE_SHARE * run_seconds
        )
        return QUEUE_AHEAD if run_seconds and is_handshake_long else 0

    def expire(self, *, now: float) -> list:
        """Free slots kept for callers that did not respond, and admit waiting flows."""
        for address in self._expected.pop_overdue(now=now):
            flow = self._flows_by_address.get(address)
            if flow is None or flow.phase is not Phase.EXPECTED:
                continue
            if now - flow.phase_began_at >= self._expected.timeout_seconds:
                self._load.change_phase(flow, Phase.IDLE, now=now)
        return self.admit_queued(now=now)

    def expect(self, address: bytes, flow: PacketFlow, *, now: float) -> None:
        """Keep a slot for the next packet of a flow's caller."""
        self._load.change_phase(flow, Phase.EXPECTED, now=now)
        self._expected.expect(address, now=now)

    def record_response_time(self, seconds: float) -> None:
        """Record how long a caller took to respond to the target's first packet."""
        self._expected.record_response_time(seconds)

    def reject(self, syn: QueuedSyn, reason: str, *, now: float) -> ToProcess:
        """Return the frame that rejects a SYN; its balancer may try another target."""
        self._counts_by_result["turned"] += 1
        self._log.note(
            "flow rejected",
            now=now,
            flow=syn.packet.flow,
            reason=reason,
            busy=self._load.busy,
            slots=self._load.slots,
            tried=syn.tried,
        )
        frame = SynRejected(
            agent=self._name,
            payload=syn.packet.raw,
            tried=syn.tried[-MAX_TRIED:],
            reason=reason,
            load=self.report(now=now),
        )
        return ToProcess(endpoint=syn.balancer, frame=frame)

    def _rejection_reason(self, frame: ForwardPacket, *, now: float) -> str | None:
        """Return why a SYN can't be delivered now; ``None`` if it can."""
        if frame.service != self._service:
            return "another service's"
        if self._closed_reason is not None:
            return self._closed_reason
        if len(self._flows_by_address) >= self._connections:
            return "no connection is free"
        allowed, taken = self._load.slots, self._load.busy
        if frame.is_offered:
            allowed += QUEUE_AHEAD
        elif self._load.is_reserved:
            taken += self._reservations.offered
        elif len(frame.tried) >= QUEUE_AHEAD_ATTEMPTS:
            allowed += QUEUE_AHEAD
        is_full = taken >= allowed
        return NO_SLOT if is_full or not self._load.cold.allows(now=now) else None

    @property
    def _closed_reason(self) -> str | None:
        """Why no new flow is accepted; ``None`` if new flows may be accepted."""
        if self.condition is not Condition.SERVING:
            return self.condition.name.lower()
        return EVACUATED if self.is_evacuated else None

    def _deliver(self, syn: QueuedSyn, *, now: float) -> ToTarget:
        """Record the flow of a SYN, keep a slot for it and deliver the SYN."""
        packet = syn.packet
        flow = self.record_flow(packet, balancer=syn.balancer, tried=syn.tried, now=now)
        self._load.cold.record(now=now)
        self.expect(packet.flow, flow, now=now)
        return ToTarget(raw=packet.raw)

    def record_flow(
        self,
        packet: Packet,
        *,
        balancer: tuple[str, int],
        tried: tuple[str, ...],
        now: float,
    ) -> PacketFlow:
        """Record a new flow in place of an earlier one with the same ports."""
        earlier = self._flows_by_address.pop(packet.flow, None)
        if earlier is not None:
            self._load.flow_removed(earlier, now=now)
        flow = PacketFlow(
            caller_ip=packet.caller_ip,
            balancer=balancer,
            seen_at=now,
            phase_began_at=now,
            tried=tried,
        )
        self._flows_by_address[packet.flow] = flow
        return flow

    def _enqueue(
        self,
        frame: ForwardPacket,
        packet: Packet,
        *,
        sender: tuple[str, int],
        now: float,
    ) -> list:
        """Queue a SYN; reject the last SYN of the queue if the queue is too long."""
        displaced = self._queue.add(
            frame,
            packet,
            balancer=sender,
            slots=self._load.slots,
            run_seconds=self._load.run_seconds,
            now=now,
        )
        actions: list = []
        if displaced is not None:
            actions.append(self.reject(displaced, NO_SLOT, now=now))
        if packet.flow in self._queue:
            actions.append(self._queued_reply(packet, sender=sender, now=now))
        return actions

    def _queued_reply(
        self, packet: Packet, *, sender: tuple[str, int], now: float
    ) -> ToProcess:
        """Return the frame that notifies a balancer of its queued SYN."""
        self._counts_by_result["queued"] += 1
        self._log.note(
            "flow queued",
            now=now,
            flow=packet.flow,
            busy=self._load.busy,
            queued=len(self._queue),
        )
        load = self.report(now=now)
        frame = SynQueued(flow=packet.flow, agent=self._name, load=load)
        return ToProcess(endpoint=sender, frame=frame)
