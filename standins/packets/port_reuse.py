"""A simulated deployment whose callers use ports again, for tests of flow ownership.

Decisions are those of monsoonpier's balancers and agents. Targets, callers and the
network between them are modelled; frames may be delayed and lost. The deployment
records each violation of what callers rely on: a flow that a living target owns is
neither reset by others nor delivered to other targets.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from monsoonpier.agent.packets.actions import (
    ResetFlow,
    ToCallerPacket,
    ToProcess,
    ToTarget,
)
from monsoonpier.agent.packets.owner import PacketFlowOwner
from monsoonpier.balancer.actions import ToAgent
from monsoonpier.balancer.membership import Membership
from monsoonpier.balancer.packets.context import ResetCaller
from monsoonpier.balancer.packets.steering import PacketSteering
from monsoonpier.model.address import Address
from monsoonpier.model.service import Configuration, PacketRoute
from monsoonpier.model.settings import MAX_FLOW_SECONDS
from monsoonpier.model.target import Condition, TargetRecord
from monsoonpier.platform.packets import PlatformPackets
from monsoonpier.process.logs import DecisionLog
from monsoonpier.wire.frames import (
    BalancerRecord,
    FlowNotOwned,
    ForwardPacket,
    LoadUpdate,
    OwnershipQuery,
    RelayPacket,
    SynRejected,
    relayed_packets,
)
from standins.packets.wire import ACK, BOUNCED, FIN, RST, SYN, Segment

__all__ = ["CallerFlow", "PortReuse", "Violation"]

SERVICE = ("198.18.0.1", 443)
CALLER = "100.64.0.7"
CODEC = PlatformPackets()
LOG = DecisionLog("port reuse")
LATENCY_SECONDS = 0.001
RETRY_SECONDS = 0.02  # of balancers
REPORT_SECONDS = 0.003  # in which agents combine reports
TICK_SECONDS = 1.0  # of agents
RESEND_SECONDS = (0.2, 0.6, 1.4)  # after a caller's packet without an answer
SYN_COPY_SECONDS = (0.0, 0.2, 0.6)
MAX_STRAY_PACKETS = 2  # of a flow at other targets
REORDER_SECONDS = 2.0  # in which its own target gets none
CLOSE_SECONDS = 2.0  # four frames, at the longest delay
RESET_WINDOW = 76_800  # around the caller's last acknowledgement number
STARTED_AT = -100.0  # of the first processes, so that they have converged


@dataclass(frozen=True, slots=True, kw_only=True)
class Violation:
    """What happened to the flow of a living target."""

    at: float
    what: str
    port: int
    process: str


@dataclass(slots=True, kw_only=True)
class CallerFlow:
    """The caller's end of a flow.

    Attributes:
        via: The balancer that the flow is opened through.
        target: The name and instance of the target at which the flow has opened.
        sequence: The number of the caller's next byte.
        acknowledged: The number that the caller expects next.
        stray_at: When packets reached other targets, since the last at its own.
        answered: Bytes of the caller that its target has acknowledged.
    """

    port: int
    first_sequence: int
    via: int
    sequence: int = 0
    acknowledged: int | None = None
    target: tuple[str, int] | None = None
    is_open: bool = False
    opened_at: float = 0.0
    stray_at: list[float] = field(default_factory=list)
    answered: int = 0


@dataclass(slots=True, kw_only=True)
class _TargetFlow:
    sequence: int
    caller_first: int
    is_open: bool = False
    is_ended: bool = False


@dataclass(slots=True, kw_only=True)
class _Target:
    """A target and the agent beside it; ``instance`` is 0 while there is no target."""

    record: TargetRecord
    agent: PacketFlowOwner
    instance: int = 1
    flows_by_port: dict[int, _TargetFlow] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True, eq=False)
class _Balancer:
    record: BalancerRecord
    membership: Membership
    steering: PacketSteering
    is_retry_scheduled: bool = False


class PortReuse:
    """Balancers, agents, targets and callers in simulated time.

    Args:
        seed: Seed of all draws.
        balancers, targets: How many there are.
    """

    def __init__(self, *, seed: int, balancers: int = 2, targets: int = 3) -> None:
        self.now = 0.0
        self.loss_share = 0.0
        self.max_delay_seconds = 0.0
        self.violations: list[Violation] = []
        self.flows_by_port: dict[int, CallerFlow] = {}
        self._draw = random.Random(seed)
        self._events: list = []
        self._order = itertools.count()
        self._targets = [self._create_target(n, epoch=1) for n in range(targets)]
        self._records = [_balancer_record(n) for n in range(balancers)]
        self._balancers = [
            self._create_balancer(n, started_at=STARTED_AT) for n in range(balancers)
        ]
        for number in range(targets):
            self._schedule(0.0, self._run_agent, number)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        self.now = until

    # Callers

    def open(self, port: int, *, via: int, sequence: int) -> None:
        """Open a flow from a port through a balancer; an earlier flow is forgotten."""
        flow = CallerFlow(port=port, first_sequence=sequence, via=via)
        self.flows_by_port[port] = flow
        for copy, seconds in enumerate(SYN_COPY_SECONDS):
            self._schedule(seconds, self._send_syn, flow, copy, via)

    def send(self, port: int, *, via: int) -> None:
        """Send data on an open flow, with retransmissions until it is answered."""
        flow = self.flows_by_port[port]
        if not flow.is_open:
            return
        begin = flow.sequence
        flow.sequence = _add(begin, 100)
        for seconds in (0.0, *RESEND_SECONDS):
            self._schedule(seconds, self._send_data, flow, begin, via)

    def close(self, port: int, *, via: int) -> None:
        """Close a flow with a FIN, and wait until no packet of it is under way."""
        flow = self.flows_by_port[port]
        if flow.is_open:
            flow.is_open = False
            self._send_segment(flow, ACK | FIN, flow.sequence, via=via)
            self.run(CLOSE_SECONDS)

    def abandon(self, port: int) -> None:
        """Leave a flow without a word."""
        self.flows_by_port[port].is_open = False

    def is_served(self, flow: CallerFlow) -> bool:
        """Return whether a flow is open at a target that lives, and isn't too old."""
        if not flow.is_open or flow.target is None:
            return False
        if self.now - flow.opened_at >= MAX_FLOW_SECONDS:
            return False
        target = self._target_named(flow.target[0])
        held = target.flows_by_port.get(flow.port)
        is_same = held is not None and held.caller_first == flow.first_sequence
        return target.instance == flow.target[1] and is_same and held.is_open

    # Operation

    def restart_balancer(self, number: int) -> None:
        """Replace a balancer by one without a flow table."""
        self._balancers[number] = self._create_balancer(number, started_at=self.now)

    def restart_agent(self, number: int) -> None:
        """Replace an agent by one that doesn't know its target's flows."""
        target = self._targets[number]
        if not target.instance:
            return
        epoch = target.record.epoch + 1
        target.record = _target_record(number, epoch=epoch)
        target.agent = self._create_agent(target.record, is_first=False)
        self._announce(target.record)

    def remove_target(self, number: int) -> None:
        """Drain a target and take it away, if others are left."""
        target = self._targets[number]
        if sum(t.instance > 0 for t in self._targets) <= 1 or not target.instance:
            return
        target.instance = 0
        target.flows_by_port = {}
        self._perform_agent(number, target.agent.target_ended(now=self.now))
        target.agent.condition = Condition.GONE
        gone = _target_record(
            number, epoch=target.record.epoch + 1, condition=Condition.GONE
        )
        target.record = gone
        self._announce(gone)

    def return_target(self, number: int) -> None:
        """Start a target under its earlier name and address."""
        old = self._targets[number]
        if old.instance:
            return
        self._targets[number] = self._create_target(number, epoch=old.record.epoch + 1)
        self._announce(self._targets[number].record)

    def _announce(self, record: TargetRecord) -> None:
        """Deliver a target's record to all balancers."""
        for balancer in self._balancers:
            balancer.membership.table.learn(record, now=self.now)

    # Processes

    def _create_target(self, number: int, *, epoch: int) -> _Target:
        record = _target_record(number, epoch=epoch)
        agent = self._create_agent(record, is_first=True)
        return _Target(record=record, agent=agent, instance=epoch)

    def _create_agent(self, record: TargetRecord, *, is_first: bool) -> PacketFlowOwner:
        agent = PacketFlowOwner(
            name=record.name, service="maps", slots=50, connections=500, log=LOG
        )
        agent.instance_started(record.instance, is_first=is_first, now=self.now)
        agent.condition = Condition.SERVING
        return agent

    def _create_balancer(self, number: int, *, started_at: float) -> _Balancer:
        record = self._records[number]
        membership = Membership(own=record, started_at=started_at)
        steering = PacketSteering(
            membership=membership, log=LOG, data_centres=("dc-1",)
        )
        route = PacketRoute(service="maps", aim_seconds=0.2, timeout_seconds=3.0)
        address = Address(ip=SERVICE[0], port=SERVICE[1])
        membership.configure(
            Configuration(version=1, routes_by_address={address: route})
        )
        steering.configured()
        for peer in self._records:
            membership.peers.learn(peer)
        for target in self._targets:
            membership.table.learn(target.record, now=self.now)
        return _Balancer(record=record, membership=membership, steering=steering)

    def _retry(self, balancer: _Balancer) -> None:
        balancer.is_retry_scheduled = False
        if balancer in self._balancers:
            actions = balancer.steering.retry(now=self.now, draw=self._draw)
            self._perform_balancer(self._balancers.index(balancer), actions)

    def _run_agent(self, number: int) -> None:
        for balancer in self._balancers:
            balancer.membership.table.remove_expired(now=self.now)
        target = self._targets[number]
        if target.instance:
            self._perform_agent(number, target.agent.tick(now=self.now))
            self._report(number)
            load = LoadUpdate(load=target.agent.load(now=self.now))
            for peer in self._records:
                self._send_frame(_endpoint(target.record), (peer.ip, peer.port), load)
        self._schedule(TICK_SECONDS, self._run_agent, number)

    def _report(self, number: int) -> None:
        agent = self._targets[number].agent
        self._perform_agent(number, agent.due_reports(now=self.now), reports=False)

    def _perform_balancer(self, number: int, actions: list) -> None:
        balancer = self._balancers[number]
        record = balancer.record
        if balancer.steering.is_waiting and not balancer.is_retry_scheduled:
            balancer.is_retry_scheduled = True
            self._schedule(RETRY_SECONDS, self._retry, balancer)
        for action in actions:
            match action:
                case ToAgent(endpoint=endpoint, frame=frame):
                    self._send_frame((record.ip, record.port), endpoint, frame)
                case ResetCaller(packet=packet):
                    raw = CODEC.reset(packet.flow, acknowledged=packet.acknowledged)
                    self._reset(Segment.decode(raw), by=record.name)

    def _perform_agent(
        self, number: int, actions: list, *, reports: bool = True
    ) -> None:
        target = self._targets[number]
        for action in actions:
            match action:
                case ToProcess(endpoint=endpoint, frame=frame):
                    self._send_frame(_endpoint(target.record), endpoint, frame)
                case ToTarget(raw=raw):
                    self._schedule(0.0, self._take_at_target, number, raw)
                case ToCallerPacket(raw=raw):
                    self._schedule(
                        LATENCY_SECONDS, self._take_at_caller, raw, target.record.name
                    )
                case ResetFlow(flow=flow, acknowledged=acknowledged):
                    raw = CODEC.reset(flow, acknowledged=acknowledged)
                    self._reset(Segment.decode(raw), by=target.record.name)
        if reports:
            self._schedule(REPORT_SECONDS, self._report, number)

    # Network

    def _schedule(self, seconds: float, call: Callable, *arguments) -> None:
        entry = (self.now + seconds, next(self._order), call, arguments)
        heapq.heappush(self._events, entry)

    def _send_frame(self, sender: tuple[str, int], endpoint: tuple[str, int], frame):
        if self._draw.random() < self.loss_share:
            return
        seconds = LATENCY_SECONDS + self._draw.uniform(0, self.max_delay_seconds)
        self._schedule(seconds, self._take_frame, sender, endpoint, frame)

    def _take_frame(self, sender: tuple[str, int], endpoint: tuple[str, int], frame):
        for number, record in enumerate(self._records):
            if (record.ip, record.port) == endpoint:
                packet = None
                if isinstance(frame, FlowNotOwned | SynRejected) and frame.payload:
                    packet = CODEC.decode(frame.payload, from_target=False)
                steering = self._balancers[number].steering
                actions = steering.from_process(
                    frame, packet, sender=sender, now=self.now, draw=self._draw
                )
                self._perform_balancer(number, actions or [])
                return
        for number, target in enumerate(self._targets):
            if _endpoint(target.record) == endpoint and target.instance:
                self._take_at_agent(number, frame, sender)

    def _take_at_agent(self, number: int, frame, sender: tuple[str, int]) -> None:
        agent = self._targets[number].agent
        match frame:
            case ForwardPacket():
                reply_to = frame.reply_to or sender
                packet = CODEC.decode(frame.payload, from_target=False)
                actions = agent.from_balancer(
                    frame, packet, sender=reply_to, now=self.now
                )
            case OwnershipQuery():
                actions = agent.handle_query(frame, sender=sender, now=self.now)
            case RelayPacket():
                for own in relayed_packets(frame):
                    self._take_at_agent(number, own, sender)
                actions = agent.relay(frame, balancer=sender)
            case _:
                return
        self._perform_agent(number, actions)

    # Packets of callers

    def _send_syn(self, flow: CallerFlow, copy: int, via: int) -> None:
        if self.flows_by_port[flow.port] is flow and flow.acknowledged is None:
            self._send_segment(flow, SYN, flow.first_sequence, ack=copy, via=via)

    def _send_data(self, flow: CallerFlow, begin: int, via: int) -> None:
        is_current = self.flows_by_port[flow.port] is flow and flow.is_open
        is_answered = 0 < _distance(begin, flow.answered) < 1 << 31
        if is_current and not is_answered:
            self._send_segment(flow, ACK, begin, size=100, via=via)

    def _send_segment(
        self,
        flow: CallerFlow,
        flags: int,
        sequence: int,
        *,
        ack: int | None = None,
        size: int = 0,
        via: int,
    ) -> None:
        segment = Segment(
            flags=flags,
            source=(CALLER, flow.port),
            destination=SERVICE,
            sequence=sequence,
            acknowledged=ack if ack is not None else flow.acknowledged or 0,
            data=bytes(size),
        )
        self._schedule(LATENCY_SECONDS, self._take_at_balancer, segment.encode(), via)

    def _take_at_balancer(self, raw: bytes, via: int) -> None:
        packet = CODEC.decode(raw, from_target=False)
        steering = self._balancers[via].steering
        actions = steering.from_caller(packet, now=self.now, draw=self._draw)
        self._perform_balancer(via, actions)

    def _take_at_caller(self, raw: bytes, sender: str) -> None:
        segment = Segment.decode(raw)
        flow = self.flows_by_port.get(segment.destination[1])
        if flow is None:
            return
        if segment.flags & RST:
            self._reset(segment, by=sender)
        elif segment.flags & SYN:
            self._open_at(flow, segment, sender)
            if flow.is_open:
                self._send_segment(flow, ACK, flow.sequence, via=flow.via)
        elif flow.is_open and _is_within(segment.sequence, flow.acknowledged, 1 << 16):
            end = _add(segment.sequence, len(segment.data))
            if _distance(flow.acknowledged, end) < 1 << 31:
                flow.acknowledged = end
            flow.answered = segment.acknowledged

    def _open_at(self, flow: CallerFlow, segment: Segment, sender: str) -> None:
        is_answer = segment.acknowledged == _add(flow.first_sequence, 1)
        if flow.acknowledged is not None or not is_answer:
            return
        flow.acknowledged = _add(segment.sequence, 1)
        flow.sequence = flow.answered = _add(flow.first_sequence, 1)
        flow.target = (sender, self._target_named(sender).instance)
        flow.is_open = True
        flow.opened_at = self.now

    def _reset(self, segment: Segment, *, by: str) -> None:
        """Take a reset at the caller, who ignores one with other numbers."""
        flow = self.flows_by_port.get(segment.destination[1])
        if flow is None or not flow.is_open:
            return
        if not _is_within(segment.sequence, flow.acknowledged, RESET_WINDOW):
            return
        if self.is_served(flow):
            self._note("reset", flow, by)
        flow.is_open = False

    def _note(self, what: str, flow: CallerFlow, process: str) -> None:
        violation = Violation(at=self.now, what=what, port=flow.port, process=process)
        self.violations.append(violation)

    # Targets

    def _target_named(self, name: str) -> _Target:
        return next(t for t in self._targets if t.record.name == name)

    def _take_at_target(self, number: int, raw: bytes) -> None:
        target = self._targets[number]
        if not target.instance:
            return
        segment = Segment.decode(raw)
        self._count_stray(target, segment)
        for reply in self._handle_at_target(target, segment, raw):
            packet = CODEC.decode(reply, from_target=True)
            actions = target.agent.from_target(packet, now=self.now)
            self._perform_agent(number, actions)

    def _count_stray(self, target: _Target, segment: Segment) -> None:
        """Count packets of a living target's flow that reach another target."""
        flow = self.flows_by_port.get(segment.source[1])
        if flow is None or segment.flags & SYN or not self.is_served(flow):
            return
        if not _is_within(segment.acknowledged, flow.acknowledged, 1 << 16):
            return  # A packet of an earlier flow.
        if target.record.name == flow.target[0]:
            flow.stray_at.clear()
            return
        recent = [at for at in flow.stray_at if self.now - at < 2 * REORDER_SECONDS]
        flow.stray_at = [*recent, self.now]
        seconds = self.now - flow.stray_at[0]
        if len(flow.stray_at) > MAX_STRAY_PACKETS and seconds >= REORDER_SECONDS:
            self._note("delivered to another target", flow, target.record.name)

    def _handle_at_target(self, target: _Target, segment: Segment, raw: bytes) -> list:
        port = segment.source[1]
        held = target.flows_by_port.get(port)
        if segment.flags & SYN:
            if held is None or held.is_ended or held.caller_first != segment.sequence:
                held = _TargetFlow(
                    sequence=self._draw.getrandbits(32), caller_first=segment.sequence
                )
                target.flows_by_port[port] = held
            first = _add(held.sequence, -1) if held.is_open else held.sequence
            return [_reply(segment, SYN | ACK, first, _add(segment.sequence, 1))]
        if held is not None and not held.is_open:
            held.is_open = segment.acknowledged == _add(held.sequence, 1)
            held.sequence = _add(held.sequence, int(held.is_open))
        if held is None or not held.is_open:
            return [bytes((raw[0] | BOUNCED,)) + raw[1:]]
        if held.is_ended:
            flags = RST if segment.data else ACK
            ends = (segment.acknowledged, segment.sequence)
            return [_reply(segment, flags, *ends)]
        end = _add(segment.sequence, len(segment.data) + bool(segment.flags & FIN))
        if segment.flags & FIN:
            held.is_ended = True
            return [_reply(segment, ACK | FIN, held.sequence, end)]
        if not segment.data:
            return []
        if not _is_within(segment.acknowledged, held.sequence, 1 << 16):
            return [_reply(segment, ACK, held.sequence, segment.sequence)]
        answer = _reply(segment, ACK, held.sequence, end, size=50)
        held.sequence = _add(held.sequence, 50)
        return [answer]


def _reply(
    segment: Segment, flags: int, sequence: int, acknowledged: int, *, size: int = 0
) -> bytes:
    """Return a target's answer to a segment."""
    return Segment(
        flags=flags,
        source=segment.destination,
        destination=segment.source,
        sequence=sequence,
        acknowledged=acknowledged,
        data=bytes(size),
    ).encode()


def _distance(start: int, end: int) -> int:
    return (end - start) % (1 << 32)


def _add(number: int, more: int) -> int:
    return (number + more) % (1 << 32)


def _is_within(number: int, other: int | None, window: int) -> bool:
    if other is None:
        return False
    return min(_distance(number, other), _distance(other, number)) <= window


def _endpoint(record: TargetRecord) -> tuple[str, int]:
    return (record.ip, record.port)


def _balancer_record(number: int) -> BalancerRecord:
    ip = f"10.1.0.{number + 1}"
    return BalancerRecord(
        name=f"lb-{number}",
        data_centre="dc-1",
        ip=ip,
        port=7720,
        control=f"{ip}:7721",
        epoch=1,
    )


def _target_record(number: int, *, epoch: int, **fields) -> TargetRecord:
    ip = f"10.2.0.{number + 1}"
    values = {
        "name": f"maps-{number}",
        "service": "maps",
        "data_centre": "dc-1",
        "ip": ip,
        "port": 7720,
        "control": f"{ip}:7721",
        "instance": b"i-%d" % epoch,
        "epoch": epoch,
        "slots": 50,
        "connections": 500,
        "condition": Condition.SERVING,
        "answers_queries": True,
    }
    return TargetRecord(**values | fields)
