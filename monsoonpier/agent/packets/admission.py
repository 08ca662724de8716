"""Which new flows without a token an agent lets through to its target, and when.

The load that it answers: several balancers have flows for the same slots. A SYN that
meets a free slot is delivered, one that doesn't waits in a short queue, and what has
no room there goes back to its balancer at once, with the target's present load.

Where flows wait at balancers, slots are not for whoever sends first: they are offered
by the order of all that wait (`reservations`).

Between a SYN and its first request a slot stands empty for a way to the caller and
back. Where runs are short that is much of the time, so the next SYN is delivered
while the slot is still taken: its handshake passes during the run before.
"""

from collections import Counter

from monsoonpier.agent.packets.actions import ToProcess, ToTarget
from monsoonpier.agent.packets.expectation import Expectations
from monsoonpier.agent.packets.flows import PacketFlow, Phase
from monsoonpier.agent.packets.load import TargetLoad
from monsoonpier.agent.packets.queue import AdmissionQueue, QueuedSyn
from monsoonpier.agent.packets.reservations import Reservations
from monsoonpier.model.target import QUEUE_AHEAD, Condition, LoadReport
from monsoonpier.process.logs import DecisionLog
from monsoonpier.wire.frames import MAX_TRIED, Carry, Offer, Queued, Reserve, Turned
from monsoonpier.wire.packet import Packet

__all__ = ["FlowAdmission"]

NO_SLOT = "no slot is free"
NO_SLOT_IN_TIME = "no slot came free"
EVACUATED = "data centre evacuated"
# Of a run, that a handshake takes at least for the next one to begin during it. With
# runs of 16 ms on one slot, nine slots in ten in use, 0.998 of answers were in time
# and 0.920 without (46 targets, callers 3 ms away, simulated time). With handshakes of
# a twentieth of a run it gained nothing: what was delivered is no longer in order.
MIN_HANDSHAKE_SHARE = 0.1
FORCED_TRIES = 3  # a SYN turned away so often may wait for one run at the target


class FlowAdmission:
    """Decides on SYNs for one target. Does no I/O.

    Args:
        name: The target's name, as balancers know it.
        service: The only service whose flows are let through.
        connections: How many flows the target holds at the most.
        load: The count of what the target works on.
        flows_by_address: The flows that the target holds; new ones are added.
        counts_by_result: Decisions, for metrics.
        log: Takes a line for each decision.

    Attributes:
        condition: What the target will take.
        is_evacuated: An operator wants no new flows in this data centre. Agents are
            the last gate: a balancer that hasn't heard of it sends them all the same.
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
        self._expectations = Expectations()
        self.condition = Condition.STARTING
        self.is_evacuated = False

    @property
    def offered(self) -> Condition:
        """What balancers may count on: nothing new while this place is evacuated."""
        if self.is_evacuated and self.condition is Condition.SERVING:
            return Condition.SHEDDING
        return self.condition

    def report(self, *, now: float) -> LoadReport:
        """Return the present load, newer than all reports before."""
        return self._load.report(condition=self.offered, now=now)

    @property
    def is_waiting(self) -> bool:
        """Whether `expire` has something to look after soon."""
        return len(self._queue) > 0 or self._load.is_reserved

    @property
    def _reservations(self) -> Reservations:
        return self._load.reservations

    @property
    def _queue(self) -> AdmissionQueue:
        return self._load.queue

    def ask(
        self, frame: Carry, packet: Packet, *, sender: tuple[str, int], now: float
    ) -> list:
        """Decide on a SYN of a flow that the target doesn't hold."""
        if packet.flow in self._queue:
            return [self._queued(packet, sender=sender, now=now)]
        reason = self._refusal(frame, now=now)
        if reason == NO_SLOT and frame.wait_ms and not self._load.is_reserved:
            return self._enqueue(frame, packet, sender=sender, now=now)
        syn = QueuedSyn(packet=packet, tried=frame.tried, balancer=sender)
        if reason is not None:
            return [self.turn(syn, reason, now=now)]
        return [self._deliver(syn, now=now)]

    def admit(self, *, now: float) -> list:
        """Deliver SYNs that have waited while a slot is free."""
        if not self.is_waiting:
            return []
        reason = self._closed
        if reason is not None:
            self._reservations.clear()
            waiting = self._queue.pop_all()
            return [self.turn(syn, reason, now=now) for syn in waiting]
        expired = self._queue.pop_expired(now=now)
        actions: list = [self.turn(syn, NO_SLOT_IN_TIME, now=now) for syn in expired]
        run_seconds = self._load.run_seconds
        while self._may_begin(now=now):
            syn = self._queue.pop(run_seconds=run_seconds, now=now)
            if syn is None:
                break
            actions.append(self._deliver(syn, now=now))
        return actions + self._offer(now=now)

    def _may_begin(self, *, now: float) -> bool:
        is_free = self._load.busy < self._load.slots + self._ahead
        return is_free and self._load.cold.allows(now=now)

    # Slots for flows that wait at balancers

    def reserve(self, frame: Reserve, *, balancer: tuple[str, int], now: float) -> None:
        """Note that a balancer wants a slot, unless no new flow is taken."""
        if frame.service != self._service or self._closed is not None:
            return
        if not self._reservations.reserve(frame, balancer=balancer, now=now):
            self._counts_by_result["not_reserved"] += 1

    def came(self, frame: Carry, *, sender: tuple[str, int]) -> None:
        """Note the answer to an offer, whatever becomes of the flow."""
        if frame.is_offered:
            self._reservations.taken(sender)

    def declined(self, balancer: tuple[str, int]) -> None:
        """Note that no flow waits at a balancer that had reserved a slot."""
        self._counts_by_result["declined"] += 1
        self._reservations.declined(balancer)

    def _offer(self, *, now: float) -> list[ToProcess]:
        """Offer slots that are free, or are about to be, to balancers."""
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
            frame = Offer(
                agent=self._name,
                load=self.report(now=now),
                is_late_turn=offer.is_late_turn,
            )
            actions.append(ToProcess(endpoint=offer.balancer, frame=frame))
        return actions

    def _has_slot_to_offer(self, *, now: float) -> bool:
        offered = self._reservations.offered
        taken = self._load.busy + len(self._queue) + offered
        if taken >= self._load.slots + QUEUE_AHEAD:
            return False
        if len(self._flows_by_address) + offered >= self._connections:
            return False
        return self._load.cold.allows(now=now, promised=offered)

    @property
    def _ahead(self) -> int:
        """How many SYNs are delivered while all slots are still taken."""
        if self._load.is_reserved:
            return QUEUE_AHEAD
        run_seconds = self._load.run_seconds
        is_long = self._expectations.mean >= MIN_HANDSHAKE_SHARE * run_seconds
        return QUEUE_AHEAD if run_seconds and is_long else 0

    def expire(self, *, now: float) -> list:
        """Give slots that were kept for silent callers to flows that wait."""
        for address in self._expectations.pop_due(now=now):
            flow = self._flows_by_address.get(address)
            if flow is None or flow.phase is not Phase.EXPECTED:
                continue
            if now - flow.changed_at >= self._expectations.seconds:
                self._load.enter(flow, Phase.IDLE, now=now)
        return self.admit(now=now)

    def expect(self, address: bytes, flow: PacketFlow, *, now: float) -> None:
        """Keep a slot for the next packet of a flow's caller."""
        self._load.enter(flow, Phase.EXPECTED, now=now)
        self._expectations.expect(address, now=now)

    def answered(self, seconds: float) -> None:
        """Learn how long a caller took to answer the target's first packet."""
        self._expectations.answered(seconds)

    def turn(self, syn: QueuedSyn, reason: str, *, now: float) -> ToProcess:
        """Send a SYN back to its balancer, for another target."""
        self._counts_by_result["turned"] += 1
        self._log.note(
            "flow turned away",
            now=now,
            flow=syn.packet.flow,
            reason=reason,
            busy=self._load.busy,
            slots=self._load.slots,
            tried=syn.tried,
        )
        frame = Turned(
            agent=self._name,
            payload=syn.packet.raw,
            tried=syn.tried[-MAX_TRIED:],
            reason=reason,
            load=self.report(now=now),
        )
        return ToProcess(endpoint=syn.balancer, frame=frame)

    def _refusal(self, frame: Carry, *, now: float) -> str | None:
        if frame.service != self._service:
            return "another service's"
        if self._closed is not None:
            return self._closed
        if len(self._flows_by_address) >= self._connections:
            return "no connection is free"
        allowed, taken = self._load.slots, self._load.busy
        if frame.is_offered:
            allowed += QUEUE_AHEAD
        elif self._load.is_reserved:
            taken += self._reservations.offered
        elif len(frame.tried) >= FORCED_TRIES:
            allowed += QUEUE_AHEAD
        is_full = taken >= allowed
        return NO_SLOT if is_full or not self._load.cold.allows(now=now) else None

    @property
    def _closed(self) -> str | None:
        """Why no new flow is taken at all, if so."""
        if self.condition is not Condition.SERVING:
            return self.condition.name.lower()
        return EVACUATED if self.is_evacuated else None

    def _deliver(self, syn: QueuedSyn, *, now: float) -> ToTarget:
        packet = syn.packet
        ended = self._flows_by_address.pop(packet.flow, None)
        if ended is not None:
            self._load.dropped(ended, now=now)
        flow = PacketFlow(
            caller_ip=packet.caller_ip,
            balancer=syn.balancer,
            seen_at=now,
            changed_at=now,
            tried=syn.tried,
        )
        self._flows_by_address[packet.flow] = flow
        self._load.cold.took(now=now)
        self.expect(packet.flow, flow, now=now)
        return ToTarget(raw=packet.raw)

    def _enqueue(
        self, frame: Carry, packet: Packet, *, sender: tuple[str, int], now: float
    ) -> list:
        """Let a SYN wait here; the one that has no room then goes elsewhere."""
        displaced = self._queue.offer(
            frame,
            packet,
            balancer=sender,
            slots=self._load.slots,
            run_seconds=self._load.run_seconds,
            now=now,
        )
        actions: list = []
        if displaced is not None:
            actions.append(self.turn(displaced, NO_SLOT, now=now))
        if packet.flow in self._queue:
            actions.append(self._queued(packet, sender=sender, now=now))
        return actions

    def _queued(
        self, packet: Packet, *, sender: tuple[str, int], now: float
    ) -> ToProcess:
        self._counts_by_result["queued"] += 1
        self._log.note(
            "flow queued",
            now=now,
            flow=packet.flow,
            busy=self._load.busy,
            queued=len(self._queue),
        )
        load = self.report(now=now)
        frame = Queued(flow=packet.flow, agent=self._name, load=load)
        return ToProcess(endpoint=sender, frame=frame)
