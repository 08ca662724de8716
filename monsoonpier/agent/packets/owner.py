"""Packet logic of an agent: delivers packets and tracks the flows its target owns.

All packets to and from the target pass through the agent, so the agent knows
which flows the target owns and how many requests are in flight. It delivers
only packets of these flows and SYNs that it accepts, so that a packet doesn't
reach a target that doesn't own its flow, even if a balancer has a wrong record
of the owner. An agent that started after its target doesn't know all flows. It
delivers a packet of an unknown flow once, as a probe, and the target's answer
shows whether the target owns the flow.
"""

from collections import Counter, deque

from monsoonpier.agent.packets.actions import (
    ResetFlow,
    ToCallerPacket,
    ToProcess,
    ToTarget,
)
from monsoonpier.agent.packets.admission import FlowAdmission
from monsoonpier.agent.packets.denials import DenialBatches
from monsoonpier.agent.packets.flow_addresses import TargetAddresses
from monsoonpier.agent.packets.flows import PacketFlow, Phase
from monsoonpier.agent.packets.instance_state import InstanceState
from monsoonpier.agent.packets.load import TargetLoad
from monsoonpier.agent.packets.load_reports import LoadReports
from monsoonpier.agent.packets.queue import QueuedSyn
from monsoonpier.model.settings import MAX_FLOW_SECONDS
from monsoonpier.model.target import Condition, LoadReport
from monsoonpier.process.logs import DecisionLog
from monsoonpier.wire.frames import (
    FlowNotOwned,
    FlowOwned,
    ForwardPacket,
    OfferSlot,
    OwnershipQuery,
    OwnershipReply,
    RelayPacket,
    ReserveSlot,
    SynQueued,
    SynRejected,
    relayed_packets,
)
from monsoonpier.wire.packet import Packet, sequence_distance

__all__ = ["PacketFlowOwner"]

ENDED_FLOW_SECONDS = 5.0  # last packets of an ended flow still reach the target
HALF_OPEN_SECONDS = 3.0  # callers give up a SYN sooner
MAX_SILENT_SECONDS = 1.0  # without a packet, until a request counts as failed
MAX_RUN_SECONDS = 2.5  # until an unanswered request no longer takes a slot
MAX_OPENING_BYTES = 19_201  # from the target, before the caller's first packet
MAX_STREAM_BYTES = 1 << 26  # sequence numbers farther ahead count as behind
# How long queries wait for the target's first heartbeat after the agent's
# start. A target that gets no response repeats its heartbeat every 100 ms.
MAX_QUERY_WAIT_SECONDS = 0.25
MAX_PENDING_QUERIES = 256


class PacketFlowOwner:
    """The flows of one target and the decisions on their packets. Does no I/O.

    Args:
        name: The target's name, as balancers know it.
        service: The only service whose packets are delivered.
        slots: How many requests the target works on at once.
        connections: How many flows the target can own at once.
        max_idle_seconds: How long an open flow is kept without a packet. It must be as
            long as callers may use a flow, since a forgotten flow is denied.
        log: The log of decisions.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        slots: int,
        connections: int,
        max_idle_seconds: float = MAX_FLOW_SECONDS,
        log: DecisionLog,
    ) -> None:
        self._name = name
        self._max_idle_seconds = max_idle_seconds
        self._log = log
        self._service = service
        self._flows_by_address: dict[bytes, PacketFlow] = {}
        self._target_state = InstanceState()
        self._pending_queries: deque[tuple[tuple[str, int], OwnershipQuery]] = deque(
            maxlen=MAX_PENDING_QUERIES
        )
        self._first_query_at = 0.0
        self._addresses = TargetAddresses()
        self._denials = DenialBatches(name=name)
        self.target_load = TargetLoad(slots=slots)
        self._reports = LoadReports(load=self.target_load, log=log)
        self.counts_by_result: Counter[str] = Counter()
        self._admission = FlowAdmission(
            name=name,
            service=service,
            connections=connections,
            load=self.target_load,
            flows_by_address=self._flows_by_address,
            counts_by_result=self.counts_by_result,
            log=log,
        )

    # State of the target

    @property
    def instance(self) -> bytes:
        """Identifies the target's current instance; empty if unknown."""
        return self._target_state.instance

    @property
    def condition(self) -> Condition:
        """What the target accepts."""
        return self._admission.condition

    @condition.setter
    def condition(self, condition: Condition) -> None:
        self._admission.condition = condition

    @property
    def is_evacuated(self) -> bool:
        """Whether new flows are rejected because the data centre is evacuated."""
        return self._admission.is_evacuated

    @is_evacuated.setter
    def is_evacuated(self, is_evacuated: bool) -> None:
        self._admission.is_evacuated = is_evacuated

    @property
    def busy(self) -> int:
        """Requests in flight at the target, including expected ones."""
        return self.target_load.busy

    @property
    def flows(self) -> int:
        """How many flows the target owns."""
        return len(self._flows_by_address)

    @property
    def addresses(self) -> tuple[bytes, ...] | None:
        """Where the target may own flows, as its record has it; ``None`` if unknown."""
        packed = self._addresses.packed
        return packed if packed or self._target_state.knows_all_flows else None

    def inherit_addresses(self, addresses: tuple[bytes, ...], *, now: float) -> None:
        """Add addresses that an earlier agent of the same target has recorded."""
        if not self._target_state.knows_all_flows:
            self._addresses.inherit(addresses, now=now)

    @property
    def has_seen_target(self) -> bool:
        """Whether the target has sent a heartbeat or listened since the start."""
        return (
            bool(self._target_state.instance)
            or self.condition is not Condition.STARTING
        )

    @property
    def is_absence_certain(self) -> bool:
        """Whether nothing has listened for so long that no target can be running."""
        return self.is_absent and self._target_state.knows_all_flows

    def instance_started(
        self, instance: bytes, *, is_first: bool, is_young: bool = False, now: float
    ) -> list:
        """Record the target's instance; return resets for an earlier one's flows.

        Args:
            instance: Identifies the instance.
            is_first: Whether this agent has seen the instance from its start.
            is_young: Whether the instance started a short time ago, possibly
                before the agent.
            now: The present time.
        """
        state = self._target_state
        if is_first:
            self._addresses.clear()
        if state.is_replaced_by(instance):
            resets = self.target_ended(now=now)
            state.start(instance, now=now)
            return resets
        if not state.instance:
            state.observe_first(instance, is_first=is_first, is_young=is_young, now=now)
        return []

    def note_no_listener(self, *, now: float) -> None:
        """Record that nothing listens at the target's address.

        Does nothing if the target has sent a heartbeat. A VM may run without a
        target, since one whose target has left is restarted like others after
        a power loss.
        """
        if not self._target_state.instance and self._target_state.note_no_listener(
            now=now
        ):
            self._log.note("no target is listening", now=now)

    def target_ended(self, *, now: float) -> list:
        """Remove all flows of a target that has ended; return resets for the open ones.

        A flow that is not open here may have been opened at another target, so
        it is not reset.
        """
        resets = [
            ResetFlow(ip=flow.caller_ip, flow=address, acknowledged=flow.acknowledged)
            for address, flow in self._flows_by_address.items()
            if flow.is_open and not flow.is_ended
        ]
        self._flows_by_address.clear()
        self._addresses.clear()
        is_planned = self.condition is not Condition.SERVING
        self.target_load.target_ended(is_planned=is_planned, now=now)
        self._target_state.start(self._target_state.instance, now=now)
        self.counts_by_result["ended_with_target"] += len(resets)
        return resets

    def load(self, *, now: float) -> LoadReport:
        """Return the present load under a new, higher number."""
        return self._admission.report(now=now)

    def due_reports(self, *, now: float) -> list[ToProcess]:
        """Return the collected denials of flows, and the load reports that are due."""
        return self._denials.pop() + self.load_reports(now=now)

    def load_reports(self, *, now: float) -> list[ToProcess]:
        """Return the load reports that balancers must be sent now."""
        return self._reports.pop_due(
            condition=self._admission.announced_condition, now=now
        )

    # Packets of callers

    def handle_query(
        self, query: OwnershipQuery, *, sender: tuple[str, int], now: float
    ) -> list[ToProcess]:
        """Reply to a balancer's ownership query, at once if the target is known.

        Otherwise the query is queued for `reply_to_pending_queries`.
        """
        if self._target_state.instance or self._target_state.knows_all_flows:
            return [ToProcess(endpoint=sender, frame=self.query_reply(query, now=now))]
        if not self._pending_queries:
            self._first_query_at = now
        self._pending_queries.append((sender, query))
        return []

    def reply_to_pending_queries(self, *, now: float) -> list[ToProcess]:
        """Reply to the queued queries once the target is known or the wait is over."""
        if (
            not self._target_state.instance
            and now - self._first_query_at < MAX_QUERY_WAIT_SECONDS
        ):
            return []
        replies = [
            ToProcess(endpoint=sender, frame=self.query_reply(query, now=now))
            for sender, query in self._pending_queries
        ]
        self._pending_queries.clear()
        return replies

    def query_reply(self, query: OwnershipQuery, *, now: float) -> OwnershipReply:
        """Return the reply that lists which of the queried flows the target owns."""
        owned = tuple(flow for flow in query.flows if self._owns(flow))
        # The target never owns flows of another service.
        is_conclusive = (
            self._target_state.knows_all_flows
            or self.condition is Condition.GONE
            or query.service != self._service
        )
        return OwnershipReply(
            question=query.question,
            agent=self._name,
            held=owned,
            is_conclusive=is_conclusive,
            run_ms=self._target_state.age_ms(now=now),
            is_absent=self.is_absent,
        )

    @property
    def is_absent(self) -> bool:
        """Whether nothing has listened at the target's address so far."""
        return not self.has_seen_target and self._target_state.is_absent

    def _owns(self, address: bytes) -> bool:
        """Return whether the target owns a flow, or will if it opens here."""
        flow = self._flows_by_address.get(address)
        if flow is None:
            return False
        # A flow whose SYN was answered may open with the packet that the query
        # is about. If the flow was opened at another target instead, the
        # packet's acknowledgement number shows that.
        return flow.is_open or flow.target_sequence is not None

    def from_balancer(
        self,
        frame: ForwardPacket,
        packet: Packet,
        *,
        sender: tuple[str, int],
        now: float,
    ) -> list:
        """Decide on a caller's packet that a balancer has forwarded."""
        if frame.wants_reply:
            self._denials.record_capability(sender, reads=frame.takes_batches)
        actions = self._handle_from_balancer(frame, packet, sender=sender, now=now)
        return self._update_accounting(
            actions + self._admission.admit_queued(now=now), now=now
        )

    def reserve(
        self, frame: ReserveSlot, *, balancer: tuple[str, int], now: float
    ) -> list:
        """Record that a balancer wants a slot for a flow that waits there."""
        self._admission.reserve(frame, balancer=balancer, now=now)
        return self._update_accounting(self._admission.admit_queued(now=now), now=now)

    def declined(self, *, balancer: tuple[str, int], now: float) -> list:
        """Remove the reservations of a balancer that declined; offer the slot again."""
        self._admission.record_offer_declined(balancer)
        return self._update_accounting(self._admission.admit_queued(now=now), now=now)

    def _update_accounting(self, actions: list, *, now: float) -> list:
        """Record the use of slots, and which balancers these actions notify."""
        for action in actions:
            match action:
                case ToProcess(
                    endpoint=balancer,
                    frame=FlowOwned() | OfferSlot() | SynQueued() | SynRejected(),
                ):
                    condition = self._admission.announced_condition
                    self._reports.mark_reported(balancer, condition=condition, now=now)
        is_serving = self._admission.announced_condition is Condition.SERVING
        self.target_load.observe_slot_use(is_serving=is_serving, now=now)
        return actions

    def _handle_from_balancer(
        self,
        frame: ForwardPacket,
        packet: Packet,
        *,
        sender: tuple[str, int],
        now: float,
    ) -> list:
        """Return the actions for a caller's packet."""
        flow = self._flows_by_address.get(packet.flow)
        if packet.is_syn:
            self._admission.record_offer_answered(frame, sender=sender)
            self._reports.record_placement(sender, now=now)
            return self._handle_syn(frame, packet, flow, sender=sender, now=now)
        if flow is None:
            return self._handle_unknown_flow(frame, packet, sender=sender, now=now)
        if flow.is_open and not flow.may_include(packet):
            return self._not_owned_reply(
                packet, sender=sender, now=now, omit_payload=frame.wants_reply
            )
        flow.seen_at = now
        if flow.is_open:
            actions = self._deliver(packet, flow, now=now)
            if frame.wants_reply:
                actions.append(
                    self._owned_reply(packet.flow, sender=sender, is_open=True, now=now)
                )
            return actions
        if flow.probe_packet is not None:
            flow.balancer = sender
            return [ToTarget(raw=packet.raw)]
        return self._handle_first_packet(frame, packet, flow, sender=sender, now=now)

    def relay(
        self, frame: RelayPacket, *, balancer: tuple[str, int]
    ) -> list[ToProcess]:
        """Return frames that relay a packet to other agents.

        The agents reply directly to the balancer that sent the packet.
        """
        relayed = relayed_packets(frame, reply_to=balancer)
        self.counts_by_result["passed_on"] += len(frame.endpoints) * len(relayed)
        return [
            ToProcess(endpoint=agent, frame=packet)
            for agent in frame.endpoints
            for packet in relayed
        ]

    def _handle_syn(
        self,
        frame: ForwardPacket,
        packet: Packet,
        flow: PacketFlow | None,
        *,
        sender: tuple[str, int],
        now: float,
    ) -> list:
        """Deliver a retransmitted SYN; let `FlowAdmission` decide on other SYNs."""
        if flow is not None and not flow.is_ended:
            flow.balancer = sender
            return [ToTarget(raw=packet.raw)]
        return self._admission.decide(frame, packet, sender=sender, now=now)

    def _handle_first_packet(
        self,
        frame: ForwardPacket,
        packet: Packet,
        flow: PacketFlow,
        *,
        sender: tuple[str, int],
        now: float,
    ) -> list:
        """Handle the packet that completes a handshake, with this target or another.

        Its acknowledgement number shows with which target the flow was opened.
        """
        first = flow.target_sequence
        if first is None or not packet.is_ack:
            return self._not_owned_reply(
                packet, sender=sender, now=now, omit_payload=frame.wants_reply
            )
        if sequence_distance(first, packet.acknowledged) > MAX_OPENING_BYTES:
            # A retransmission of the SYN has opened the flow at another
            # target.
            self._remove(packet.flow, now=now)
            return self._not_owned_reply(
                packet, sender=sender, now=now, omit_payload=frame.wants_reply
            )
        self._admission.record_response_time(now - flow.phase_began_at)
        self._mark_open(packet.flow, flow, now=now)
        reply = self._owned_reply(packet.flow, sender=sender, is_open=True, now=now)
        return [reply, *self._deliver(packet, flow, now=now)]

    def _mark_open(self, address: bytes, flow: PacketFlow, *, now: float) -> None:
        """Record that the caller has completed the handshake."""
        self._log.note("flow opened", now=now, flow=address, busy=self.busy)
        flow.probe_packet = None
        self.target_load.count_open(flow)
        self._admission.expect(address, flow, now=now)

    def _deliver(self, packet: Packet, flow: PacketFlow, *, now: float) -> list:
        """Deliver a packet of an open flow and track its request."""
        flow.acknowledged = packet.acknowledged
        if packet.size and _is_new_data(packet, flow):
            flow.caller_end = packet.sequence + packet.size
            # The FIN of a caller that has given up may overtake its request.
            # The target then closes the flow without running the request, so
            # no answer would free the slot.
            if not flow.has_caller_fin:
                self.target_load.request_started(flow, now=now)
        if packet.is_fin:
            flow.has_caller_fin = True
            self.target_load.change_phase(flow, Phase.IDLE, now=now)
        if packet.is_reset:
            self._remove(packet.flow, now=now)
        return [ToTarget(raw=packet.raw)]

    def _handle_unknown_flow(
        self,
        frame: ForwardPacket,
        packet: Packet,
        *,
        sender: tuple[str, int],
        now: float,
    ) -> list:
        """Deliver a packet of an unknown flow as a probe if the target may own it."""
        may_be_owned = frame.service == self._service or (
            packet.service_address in self._addresses
        )
        has_ended = self.condition is Condition.GONE
        if self._target_state.knows_all_flows or has_ended or not may_be_owned:
            return self._not_owned_reply(
                packet, sender=sender, now=now, omit_payload=frame.wants_reply
            )
        self._flows_by_address[packet.flow] = PacketFlow(
            caller_ip=packet.caller_ip,
            balancer=sender,
            seen_at=now,
            phase_began_at=now,
            acknowledged=packet.acknowledged,
            probe_packet=packet,
            balancer_keeps_packet=frame.wants_reply,
        )
        self.counts_by_result["guessed"] += 1
        self._log.note("unknown flow probed at the target", now=now, flow=packet.flow)
        return [ToTarget(raw=packet.raw)]

    # Packets of the target

    def from_target(self, packet: Packet, *, now: float) -> list:
        """Decide on a packet that the target sent."""
        actions = self._handle_from_target(
            packet, now=now
        ) + self._admission.admit_queued(now=now)
        return self._update_accounting(actions, now=now)

    def _handle_from_target(self, packet: Packet, *, now: float) -> list:
        """Return the actions for a packet of the target."""
        flow = self._flows_by_address.get(packet.flow)
        if packet.is_returned:
            return self._handle_returned(packet, flow, now=now)
        if packet.is_reset:
            return self._handle_target_reset(packet, flow, now=now)
        actions: list = [_to_caller(packet)]
        self._addresses.observe(packet.service_address, now=now)
        if flow is None:
            if packet.is_syn:
                return actions
            flow = self._record_earlier_flow(packet, now=now)
        elif packet.is_syn and flow.is_followed_by(packet):
            # The flow's SYN was delivered as a retransmission of the earlier one's.
            flow = self._admission.record_flow(
                packet, balancer=flow.balancer, tried=flow.tried, now=now
            )
        flow.seen_at = now
        is_first = flow.target_sequence is None
        if not flow.record_target_packet(packet):
            return actions  # Of an earlier flow.
        if packet.is_syn:
            if is_first:
                self._admission.expect(packet.flow, flow, now=now)
                actions.append(
                    self._owned_reply(
                        packet.flow, sender=flow.balancer, is_open=False, now=now
                    )
                )
            return actions
        if flow.probe_packet is not None:
            actions += self._conclude_probe(packet, flow, now=now)
        if packet.size:
            is_failure = packet.is_failure
            self.target_load.request_answered(flow, is_failure=is_failure, now=now)
        if packet.is_fin:
            flow.has_target_fin = True
            if _closes_without_answer(packet, flow):
                self.target_load.request_aborted(flow, now=now)
        return actions

    def _conclude_probe(
        self, packet: Packet, flow: PacketFlow, *, now: float
    ) -> list[ToProcess]:
        """Tell a balancer whether the target that has answered owns the probed flow.

        The target may have an earlier flow with the same addresses and ports.
        """
        probe = flow.probe_packet
        assert probe is not None
        is_owned = flow.may_include(probe)
        self._mark_open(packet.flow, flow, now=now)
        self.target_load.change_phase(flow, Phase.IDLE, now=now)
        if is_owned:
            return [
                self._owned_reply(
                    packet.flow, sender=flow.balancer, is_open=True, now=now
                )
            ]
        flow.acknowledged = packet.sequence  # A reset is for the earlier flow's caller.
        return self._not_owned_reply(
            probe,
            sender=flow.balancer,
            now=now,
            omit_payload=flow.balancer_keeps_packet,
        )

    def _handle_target_reset(
        self, packet: Packet, flow: PacketFlow | None, *, now: float
    ) -> list:
        """Forward a reset only if the target is known to own the flow.

        A target that has just started resets flows that it doesn't know. Such
        a flow may be open at another target, so its caller must not receive
        the reset.
        """
        if flow is None:
            self.counts_by_result["foreign_reset"] += 1
            return []
        self.target_load.request_aborted(flow, now=now)
        self._remove(packet.flow, now=now)
        if flow.probe_packet is not None:
            return self._not_owned_reply(
                flow.probe_packet,
                sender=flow.balancer,
                now=now,
                omit_payload=flow.balancer_keeps_packet,
            )
        self._log.note(
            "target reset a flow",
            now=now,
            flow=packet.flow,
            sequence=packet.sequence,
            acknowledged=packet.acknowledged,
            is_ended=flow.is_ended,
        )
        return [_to_caller(packet)]

    def _record_earlier_flow(self, packet: Packet, *, now: float) -> PacketFlow:
        """Record a flow that was opened before this agent started."""
        flow = PacketFlow(
            caller_ip=packet.caller_ip,
            balancer=("", 0),
            seen_at=now,
            phase_began_at=now,
            acknowledged=packet.sequence,
        )
        self._flows_by_address[packet.flow] = flow
        self.target_load.count_open(flow)
        return flow

    def _handle_returned(
        self, packet: Packet, flow: PacketFlow | None, *, now: float
    ) -> list:
        """Handle a packet that the target returned without processing it."""
        if flow is None:
            self.counts_by_result["returned_unknown"] += 1
            return []
        if packet.is_syn:
            if flow.is_open or flow.target_sequence is not None:
                return []  # Only a retransmission was rejected.
            self._remove(packet.flow, now=now)
            syn = QueuedSyn(packet=packet, tried=flow.tried, balancer=flow.balancer)
            return [self._admission.reject(syn, "the target refused it", now=now)]
        self._remove(packet.flow, now=now)
        return self._not_owned_reply(
            packet,
            sender=flow.balancer,
            now=now,
            omit_payload=flow.balancer_keeps_packet,
        )

    # Time

    def tick(self, *, now: float) -> list:
        """Remove idle flows, expire overdue requests and log the use of slots."""
        for address, flow in list(self._flows_by_address.items()):
            if flow.phase is Phase.RUNNING:
                self._check_run_timeout(flow, now=now)
            if now - flow.seen_at > self._timeout_seconds(flow):
                self._remove(address, now=now)
        self._reports.remove_idle(now=now)
        self._addresses.expire(now=now)
        self._log_slot_use(now=now)
        return self.expire(now=now)

    def _timeout_seconds(self, flow: PacketFlow) -> float:
        """Return how long a flow is kept without packets."""
        if flow.is_ended:
            return ENDED_FLOW_SECONDS
        if not flow.is_open:
            return HALF_OPEN_SECONDS
        return self._max_idle_seconds

    def _log_slot_use(self, *, now: float) -> None:
        """Log the use of slots if a summary is due."""
        self.target_load.use.advance(now=now)
        used = self.target_load.use.summary_if_due(now=now)
        if used is not None:
            slots = self.target_load.slots
            self._log.note("slots used", now=now, slots=slots, **used.fields)

    @property
    def is_waiting(self) -> bool:
        """Whether SYNs wait or slots are reserved, so `expire` must be called."""
        return self._admission.is_waiting

    def expire(self, *, now: float) -> list:
        """Free slots kept for callers that did not respond, and admit waiting flows."""
        return self._update_accounting(self._admission.expire(now=now), now=now)

    def _check_run_timeout(self, flow: PacketFlow, *, now: float) -> None:
        """Count a request without an answer as failed, and later free its slot."""
        if now - flow.seen_at > MAX_SILENT_SECONDS:
            self.target_load.mark_overdue(flow, now=now)
        if now - flow.phase_began_at > MAX_RUN_SECONDS:
            self.target_load.change_phase(flow, Phase.IDLE, now=now)

    # Helpers

    def _remove(self, address: bytes, *, now: float) -> None:
        """Remove a flow, if there is a record of it."""
        flow = self._flows_by_address.pop(address, None)
        if flow is None:
            return
        self.target_load.flow_removed(flow, now=now)

    def _owned_reply(
        self, flow: bytes, *, sender: tuple[str, int], is_open: bool, now: float
    ) -> ToProcess:
        """Return the frame that reports to a balancer that the flow is owned."""
        load = self.load(now=now)
        frame = FlowOwned(flow=flow, agent=self._name, load=load, is_open=is_open)
        return ToProcess(endpoint=sender, frame=frame)

    def _not_owned_reply(
        self,
        packet: Packet,
        *,
        sender: tuple[str, int],
        now: float,
        omit_payload: bool = False,
    ) -> list:
        """Return the frame that reports to a balancer that the flow is not owned."""
        self.counts_by_result["denied"] += 1
        self._log.note(
            "flow not owned by the target",
            now=now,
            flow=packet.flow,
            knows_all=self._target_state.knows_all_flows,
        )
        if not sender[1]:
            return []  # Only the target has sent packets of this flow so far.
        if omit_payload and self._denials.add(packet.flow, balancer=sender):
            return []  # Sent with the next reports, in a few milliseconds.
        payload = b"" if omit_payload else packet.raw
        frame = FlowNotOwned(agent=self._name, flow=packet.flow, payload=payload)
        return [ToProcess(endpoint=sender, frame=frame)]


def _to_caller(packet: Packet) -> ToCallerPacket:
    return ToCallerPacket(ip=packet.caller_ip, raw=packet.raw, flow=packet.flow)


def _is_new_data(packet: Packet, flow: PacketFlow) -> bool:
    """Return whether a packet has data that was not received before.

    A retransmission may arrive after its request has been answered.
    """
    if flow.caller_end is None:
        return True
    distance = sequence_distance(flow.caller_end, packet.sequence + packet.size)
    return 0 < distance < MAX_STREAM_BYTES


def _closes_without_answer(packet: Packet, flow: PacketFlow) -> bool:
    """Return whether a target's FIN closes a flow on which it has sent no data.

    The FIN's sequence number shows this, even if the FIN overtakes an answer.
    """
    if flow.target_sequence is None or packet.size:
        return False
    return sequence_distance(flow.target_sequence, packet.sequence) <= 1
