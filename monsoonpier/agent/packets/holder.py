"""An agent's decisions on flows without a token: the truth about its target.

All packets of the target pass here, both ways, so the agent knows which flows
the target holds and how many requests it works on. It delivers packets of those
flows and SYNs that it accepts, and nothing else: whatever a balancer believes, a
packet never reaches a target that doesn't hold its flow. After a restart beside
a target that lived on the agent can't know; then a packet of an unknown flow is
delivered once and the target's own answer tells.
"""

from collections import Counter, deque

from monsoonpier.agent.packets.actions import (
    ResetFlow,
    ToCallerPacket,
    ToProcess,
    ToTarget,
)
from monsoonpier.agent.packets.admission import FlowAdmission
from monsoonpier.agent.packets.flows import PacketFlow, Phase
from monsoonpier.agent.packets.load import TargetLoad
from monsoonpier.agent.packets.load_reports import LoadReports
from monsoonpier.agent.packets.queue import QueuedSyn
from monsoonpier.agent.packets.target_knowledge import TargetKnowledge
from monsoonpier.model.address import Address
from monsoonpier.model.target import Condition, LoadReport
from monsoonpier.process.logs import DecisionLog
from monsoonpier.wire.frames import (
    Carry,
    Held,
    Holds,
    NotHeld,
    Offer,
    PassOn,
    Queued,
    Reserve,
    Turned,
    Whose,
)
from monsoonpier.wire.packet import Packet, sequence_distance

__all__ = ["PacketHolder"]

ENDED_SECONDS = 5.0  # an ended flow's last packets still go to the target
HALF_OPEN_SECONDS = 3.0  # twice the time after which callers give a SYN up
MAX_IDLE_SECONDS = 60.0  # flows older than that may be discarded
SILENT_SECONDS = 1.0  # twenty runs without a packet: the target may answer nothing
RUNNING_SECONDS = 2.5  # fifty runs: a request without an answer by then is lost
MAX_OPENING_BYTES = 19_201  # a window: what a target may send before an answer
MAX_STREAM_BYTES = 1 << 26  # sequences farther off are behind, not ahead
MAX_ADDRESSES = 64  # a service has a few
# A target whose heartbeats had no answer sends them ten times a second; until the
# first one has come an agent can't tell a target that has just started.
MEET_SECONDS = 0.25
MAX_QUESTIONS = 256  # until then: a balancer asks fifty times a second at the most


class PacketHolder:
    """The flows of one target. Does no I/O.

    Args:
        name: The target's name, as balancers know it.
        service: The only service whose packets are delivered.
        slots: How many requests the target works on at once, if known.
        connections: How many flows the target holds at the most.
        log: Takes a line for each decision.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        slots: int,
        connections: int,
        log: DecisionLog,
    ) -> None:
        self._name = name
        self._log = log
        self._service = service
        self._flows_by_address: dict[bytes, PacketFlow] = {}
        self._known = TargetKnowledge()
        self._questions: deque[tuple[tuple[str, int], Whose]] = deque(
            maxlen=MAX_QUESTIONS
        )
        self._asked_at = 0.0
        self._served_addresses: set[Address] = set()
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

    # What is known of the target

    @property
    def instance(self) -> bytes:
        """The target's present run."""
        return self._known.instance

    @property
    def condition(self) -> Condition:
        """What the target will take."""
        return self._admission.condition

    @condition.setter
    def condition(self, condition: Condition) -> None:
        self._admission.condition = condition

    @property
    def is_evacuated(self) -> bool:
        """Whether new flows are turned away since the data centre is evacuated."""
        return self._admission.is_evacuated

    @is_evacuated.setter
    def is_evacuated(self, is_evacuated: bool) -> None:
        self._admission.is_evacuated = is_evacuated

    @property
    def busy(self) -> int:
        """Requests that the target works on, or that are on their way."""
        return self.target_load.busy

    @property
    def flows(self) -> int:
        """Flows that the target holds."""
        return len(self._flows_by_address)

    @property
    def has_met_target(self) -> bool:
        """Whether a target has been heard or found listening since the start."""
        return bool(self._known.instance) or self.condition is not Condition.STARTING

    @property
    def has_no_target(self) -> bool:
        """Whether no target can be left there: it has been absent for long enough."""
        return self.is_absent and self._known.knows_all

    def started(
        self, instance: bytes, *, is_first: bool, is_young: bool = False, now: float
    ) -> list:
        """Take the target's run; flows of an earlier one have ended with it.

        Args:
            instance: Names the run.
            is_first: This agent has seen the run from its start.
            is_young: The run began a moment ago, if not under this agent's eyes.
            now: The present time.
        """
        known = self._known
        if known.is_replaced_by(instance):
            resets = self.ended(now=now)
            known.began(instance, now=now)
            return resets
        if not known.instance:
            known.met(instance, is_first=is_first, is_young=is_young, now=now)
        return []

    def absent(self, *, now: float) -> None:
        """Note that nobody listens at the target's address, nor has before.

        Its VM may stand there without it: VMs whose targets have left start again
        like others after a loss of power.
        """
        if not self._known.instance and self._known.absent(now=now):
            self._log.note("no target listens", now=now)

    def ended(self, *, now: float) -> list:
        """Reset the open flows: the target that held them is gone.

        One that has not opened here may have opened at another target.
        """
        resets = [
            ResetFlow(ip=flow.caller_ip, flow=address, acknowledged=flow.acknowledged)
            for address, flow in self._flows_by_address.items()
            if flow.is_open and not flow.is_ended
        ]
        self._flows_by_address.clear()
        is_planned = self.condition is not Condition.SERVING
        self.target_load.ended(is_planned=is_planned, now=now)
        self._known.began(self._known.instance, now=now)
        self.counts_by_result["ended_with_target"] += len(resets)
        return resets

    def load(self, *, now: float) -> LoadReport:
        """Return the present load, newer than all reports before."""
        return self._admission.report(now=now)

    def load_reports(self, *, now: float) -> list[ToProcess]:
        """Return reports for the balancers that place flows here, if it changed."""
        return self._reports.due(condition=self._admission.offered, now=now)

    # Packets of callers

    def ask(
        self, question: Whose, *, sender: tuple[str, int], now: float
    ) -> list[ToProcess]:
        """Answer a balancer's question, or keep it until the target is met."""
        if self._known.instance or self._known.knows_all:
            return [ToProcess(endpoint=sender, frame=self.answer(question, now=now))]
        if not self._questions:
            self._asked_at = now
        self._questions.append((sender, question))
        return []

    def answer_kept(self, *, now: float) -> list[ToProcess]:
        """Answer the questions that were kept, if the time has come."""
        if not self._known.instance and now - self._asked_at < MEET_SECONDS:
            return []
        kept = [
            ToProcess(endpoint=sender, frame=self.answer(question, now=now))
            for sender, question in self._questions
        ]
        self._questions.clear()
        return kept

    def answer(self, question: Whose, *, now: float) -> Holds:
        """Return which of the flows the target holds."""
        held = tuple(flow for flow in question.flows if self._holds(flow))
        # Flows of another service can't be here, whatever the target does.
        is_sure = (
            self._known.knows_all
            or self.condition is Condition.GONE
            or question.service != self._service
        )
        return Holds(
            question=question.question,
            agent=self._name,
            held=held,
            is_sure=is_sure,
            run_ms=self._known.run_ms(now=now),
            is_absent=self.is_absent,
        )

    @property
    def is_absent(self) -> bool:
        """Whether nobody has listened at the target's address since the start."""
        return not self.has_met_target and self._known.is_absent

    def _holds(self, address: bytes) -> bool:
        flow = self._flows_by_address.get(address)
        if flow is None:
            return False
        # One whose SYN is answered opens with the packet that is asked for; if
        # that is another target's, its acknowledgement will tell.
        return flow.is_open or flow.target_sequence is not None

    def from_balancer(
        self, frame: Carry, packet: Packet, *, sender: tuple[str, int], now: float
    ) -> list:
        """Decide on a caller's packet that a balancer brings."""
        actions = self._carried(frame, packet, sender=sender, now=now)
        return self._noted(actions + self._admission.admit(now=now), now=now)

    def reserve(self, frame: Reserve, *, balancer: tuple[str, int], now: float) -> list:
        """Note that a balancer wants a slot for a flow that waits there."""
        self._admission.reserve(frame, balancer=balancer, now=now)
        return self._noted(self._admission.admit(now=now), now=now)

    def declined(self, *, balancer: tuple[str, int], now: float) -> list:
        """Offer a slot to another balancer: this one has no flow for it."""
        self._admission.declined(balancer)
        return self._noted(self._admission.admit(now=now), now=now)

    def _noted(self, actions: list, *, now: float) -> list:
        """Note which balancers are told of the load by these actions."""
        for action in actions:
            match action:
                case ToProcess(
                    endpoint=balancer, frame=Held() | Offer() | Queued() | Turned()
                ):
                    condition = self._admission.offered
                    self._reports.told(balancer, condition=condition, now=now)
        is_serving = self._admission.offered is Condition.SERVING
        self.target_load.observe_use(is_serving=is_serving, now=now)
        return actions

    def _carried(
        self, frame: Carry, packet: Packet, *, sender: tuple[str, int], now: float
    ) -> list:
        flow = self._flows_by_address.get(packet.flow)
        if packet.is_syn:
            self._admission.came(frame, sender=sender)
            self._reports.placed_by(sender, now=now)
            return self._syn(frame, packet, flow, sender=sender, now=now)
        if flow is None:
            return self._unknown(frame, packet, sender=sender, now=now)
        flow.seen_at = now
        if flow.is_open:
            actions = self._deliver(packet, flow, now=now)
            if frame.asks:
                actions.append(
                    self._claim(packet.flow, sender=sender, is_open=True, now=now)
                )
            return actions
        if flow.guessed is not None:
            flow.balancer = sender
            return [ToTarget(raw=packet.raw)]
        return self._first_packet(frame, packet, flow, sender=sender, now=now)

    def pass_on(self, frame: PassOn, *, balancer: tuple[str, int]) -> list[ToProcess]:
        """Return a packet's frames to other agents, which answer to its balancer."""
        self.counts_by_result["passed_on"] += len(frame.endpoints)
        carry = Carry(
            service=frame.service, payload=frame.payload, asks=True, reply_to=balancer
        )
        return [ToProcess(endpoint=place, frame=carry) for place in frame.endpoints]

    def _syn(
        self,
        frame: Carry,
        packet: Packet,
        flow: PacketFlow | None,
        *,
        sender: tuple[str, int],
        now: float,
    ) -> list:
        if flow is not None and not flow.is_ended:
            flow.balancer = sender
            return [ToTarget(raw=packet.raw)]
        return self._admission.ask(frame, packet, sender=sender, now=now)

    def _first_packet(
        self,
        frame: Carry,
        packet: Packet,
        flow: PacketFlow,
        *,
        sender: tuple[str, int],
        now: float,
    ) -> list:
        """Tell by the acknowledgement whether the caller took this target."""
        first = flow.target_sequence
        if first is None or not packet.is_ack:
            return self._deny(packet, sender=sender, now=now, asks=frame.asks)
        if sequence_distance(first, packet.acknowledged) > MAX_OPENING_BYTES:
            # The SYN's copy opened the flow at another target.
            self._drop(packet.flow, now=now)
            return self._deny(packet, sender=sender, now=now, asks=frame.asks)
        self._admission.answered(now - flow.changed_at)
        self._opened(packet.flow, flow, now=now)
        held = self._claim(packet.flow, sender=sender, is_open=True, now=now)
        return [held, *self._deliver(packet, flow, now=now)]

    def _opened(self, address: bytes, flow: PacketFlow, *, now: float) -> None:
        self._log.note("flow opened", now=now, flow=address, busy=self.busy)
        flow.guessed = None
        self.target_load.opened(flow)
        self._admission.expect(address, flow, now=now)

    def _deliver(self, packet: Packet, flow: PacketFlow, *, now: float) -> list:
        flow.acknowledged = packet.acknowledged
        if packet.size and _is_new_data(packet, flow):
            flow.caller_end = packet.sequence + packet.size
            # A caller that has left sends its end, which may overtake its request:
            # the target closes without a run, and no answer will give the slot back.
            if not flow.has_caller_fin:
                self.target_load.asked(flow, now=now)
        if packet.is_fin:
            flow.has_caller_fin = True
            self.target_load.enter(flow, Phase.IDLE, now=now)
        if packet.is_reset:
            self._drop(packet.flow, now=now)
        return [ToTarget(raw=packet.raw)]

    def _unknown(
        self, frame: Carry, packet: Packet, *, sender: tuple[str, int], now: float
    ) -> list:
        may_be_its = frame.service == self._service or (
            packet.service_address in self._served_addresses
        )
        has_ended = self.condition is Condition.GONE
        if self._known.knows_all or has_ended or not may_be_its:
            return self._deny(packet, sender=sender, now=now, asks=frame.asks)
        self._flows_by_address[packet.flow] = PacketFlow(
            caller_ip=packet.caller_ip,
            balancer=sender,
            seen_at=now,
            changed_at=now,
            acknowledged=packet.acknowledged,
            guessed=packet,
            asks=frame.asks,
        )
        self.counts_by_result["guessed"] += 1
        self._log.note("flow tried on the target", now=now, flow=packet.flow)
        return [ToTarget(raw=packet.raw)]

    # Packets of the target

    def from_target(self, packet: Packet, *, now: float) -> list:
        """Decide on a packet that the target sent."""
        actions = self._sent(packet, now=now) + self._admission.admit(now=now)
        return self._noted(actions, now=now)

    def _sent(self, packet: Packet, *, now: float) -> list:
        flow = self._flows_by_address.get(packet.flow)
        if packet.is_returned:
            return self._returned(packet, flow, now=now)
        if packet.is_reset:
            return self._reset_by_target(packet, flow, now=now)
        actions: list = [_to_caller(packet)]
        if len(self._served_addresses) < MAX_ADDRESSES:
            self._served_addresses.add(packet.service_address)
        if flow is None:
            if packet.is_syn:
                return actions
            flow = self._adopt(packet, now=now)
        flow.seen_at = now
        if packet.is_syn:
            if flow.target_sequence is None:
                flow.target_sequence = packet.sequence
                self._admission.expect(packet.flow, flow, now=now)
                actions.append(
                    self._claim(
                        packet.flow, sender=flow.balancer, is_open=False, now=now
                    )
                )
            return actions
        if flow.guessed is not None:
            self._opened(packet.flow, flow, now=now)
            self.target_load.enter(flow, Phase.IDLE, now=now)
            actions.append(
                self._claim(packet.flow, sender=flow.balancer, is_open=True, now=now)
            )
        if packet.size:
            is_failure = packet.is_failure
            self.target_load.answered(flow, is_failure=is_failure, now=now)
        if packet.is_fin:
            flow.has_target_fin = True
            if _is_without_answer(packet, flow):
                self.target_load.broken_off(flow, now=now)
        return actions

    def _reset_by_target(
        self, packet: Packet, flow: PacketFlow | None, *, now: float
    ) -> list:
        """Pass a reset on only if the target is known to hold the flow.

        A target that is just starting resets what it doesn't know. The flow may
        be open at another one, whose caller must not see this reset.
        """
        if flow is None:
            self.counts_by_result["foreign_reset"] += 1
            return []
        self.target_load.broken_off(flow, now=now)
        self._drop(packet.flow, now=now)
        if flow.guessed is not None:
            return self._deny(
                flow.guessed, sender=flow.balancer, now=now, asks=flow.asks
            )
        return [_to_caller(packet)]

    def _adopt(self, packet: Packet, *, now: float) -> PacketFlow:
        """Take a flow that the target holds since before this agent's start."""
        flow = PacketFlow(
            caller_ip=packet.caller_ip,
            balancer=("", 0),
            seen_at=now,
            changed_at=now,
            acknowledged=packet.sequence,
        )
        self._flows_by_address[packet.flow] = flow
        self.target_load.opened(flow)
        return flow

    def _returned(self, packet: Packet, flow: PacketFlow | None, *, now: float) -> list:
        if flow is None:
            self.counts_by_result["returned_unknown"] += 1
            return []
        if packet.is_syn:
            if flow.is_open or flow.target_sequence is not None:
                return []  # Only a copy was refused.
            self._drop(packet.flow, now=now)
            syn = QueuedSyn(packet=packet, tried=flow.tried, balancer=flow.balancer)
            return [self._admission.turn(syn, "the target refused it", now=now)]
        self._drop(packet.flow, now=now)
        return self._deny(packet, sender=flow.balancer, now=now, asks=flow.asks)

    # Time

    def tick(self, *, now: float) -> list:
        """Let go of flows and expectations that have come to nothing."""
        for address, flow in list(self._flows_by_address.items()):
            if flow.phase is Phase.RUNNING:
                self._check_run(flow, now=now)
            if now - flow.seen_at > _keep_seconds(flow):
                self._drop(address, now=now)
        self._reports.forget(now=now)
        self._note_use(now=now)
        return self.expire(now=now)

    def _note_use(self, *, now: float) -> None:
        self.target_load.use.settle(now=now)
        used = self.target_load.use.line(now=now)
        if used is not None:
            slots = self.target_load.slots
            self._log.note("slots used", now=now, slots=slots, **used.fields)

    @property
    def is_waiting(self) -> bool:
        """Whether `expire` has something to look after soon."""
        return self._admission.is_waiting

    def expire(self, *, now: float) -> list:
        """Give slots that were kept for silent callers to flows that wait."""
        return self._noted(self._admission.expire(now=now), now=now)

    def _check_run(self, flow: PacketFlow, *, now: float) -> None:
        if now - flow.seen_at > SILENT_SECONDS:
            self.target_load.overdue(flow, now=now)
        if now - flow.changed_at > RUNNING_SECONDS:
            self.target_load.enter(flow, Phase.IDLE, now=now)

    # Helpers

    def _drop(self, address: bytes, *, now: float) -> None:
        flow = self._flows_by_address.pop(address, None)
        if flow is None:
            return
        self.target_load.dropped(flow, now=now)

    def _claim(
        self, flow: bytes, *, sender: tuple[str, int], is_open: bool, now: float
    ) -> ToProcess:
        load = self.load(now=now)
        frame = Held(flow=flow, agent=self._name, load=load, is_open=is_open)
        return ToProcess(endpoint=sender, frame=frame)

    def _deny(
        self,
        packet: Packet,
        *,
        sender: tuple[str, int],
        now: float,
        asks: bool = False,
    ) -> list:
        self.counts_by_result["denied"] += 1
        self._log.note(
            "flow denied", now=now, flow=packet.flow, knows_all=self._known.knows_all
        )
        if not sender[1]:
            return []  # Nobody asked: the target's own packet made it known.
        payload = b"" if asks else packet.raw
        frame = NotHeld(agent=self._name, flow=packet.flow, payload=payload)
        return [ToProcess(endpoint=sender, frame=frame)]


def _to_caller(packet: Packet) -> ToCallerPacket:
    return ToCallerPacket(ip=packet.caller_ip, raw=packet.raw, flow=packet.flow)


def _is_new_data(packet: Packet, flow: PacketFlow) -> bool:
    """Tell data from its retransmission, which may follow the answer."""
    if flow.caller_end is None:
        return True
    distance = sequence_distance(flow.caller_end, packet.sequence + packet.size)
    return 0 < distance < MAX_STREAM_BYTES


def _is_without_answer(packet: Packet, flow: PacketFlow) -> bool:
    """Tell whether a target closes a flow on which it has sent nothing.

    Its end may overtake its answer: the sequence tells.
    """
    if flow.target_sequence is None or packet.size:
        return False
    return sequence_distance(flow.target_sequence, packet.sequence) <= 1


def _keep_seconds(flow: PacketFlow) -> float:
    if flow.is_ended:
        return ENDED_SECONDS
    if not flow.is_open:
        return HALF_OPEN_SECONDS
    return MAX_IDLE_SECONDS
