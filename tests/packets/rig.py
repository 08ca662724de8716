"""Packets, balancers and agents for tests of flows without a token."""

import random

import msgspec

from monsoonpier.agent.packets.owner import PacketFlowOwner
from monsoonpier.balancer.actions import FetchTable, ToAgent
from monsoonpier.balancer.membership import Membership
from monsoonpier.balancer.packets.context import ResetCaller
from monsoonpier.balancer.packets.steering import PacketSteering
from monsoonpier.model.address import Address
from monsoonpier.model.service import Configuration, PacketRoute
from monsoonpier.model.target import Condition, LoadReport, TargetRecord
from monsoonpier.platform.packets import PlatformPackets
from monsoonpier.process.logs import DecisionLog
from monsoonpier.wire.frames import (
    BalancerRecord,
    ForwardPacket,
    Gossip,
    RelayPacket,
)
from monsoonpier.wire.packet import Packet

LOG = DecisionLog("tests")
CODEC = PlatformPackets()
SERVICE = Address(ip="198.18.0.1", port=8443)
BALANCER = ("10.1.0.1", 7720)
OTHER_BALANCER = ("10.1.0.2", 7720)
TARGET_SEQUENCE = 5_000
CONVERGED = 100.0  # a time at which a balancer that started at 0 has converged


def packet(
    number: int = 1,
    *,
    syn: bool = False,
    fin: bool = False,
    reset: bool = False,
    size: int = 0,
    sequence: int = 1_000,
    acknowledged: int = TARGET_SEQUENCE + 1,
    address: Address = SERVICE,
    returned: bool = False,
    failure: bool = False,
) -> Packet:
    """Return a caller's packet of the flow with this number."""
    flow = number.to_bytes(12, "big")
    return Packet(
        raw=flow + bytes(size),
        flow=flow,
        caller_ip="100.64.0.7",
        service_address=address,
        sequence=sequence,
        acknowledged=0 if syn else acknowledged,
        size=size,
        is_syn=syn,
        is_ack=not syn,
        is_fin=fin,
        is_reset=reset,
        is_returned=returned,
        is_failure=failure,
    )


def answer(number: int = 1, **fields) -> Packet:
    """Return a target's packet of the flow with this number."""
    return packet(number, **{"sequence": TARGET_SEQUENCE} | fields)


def record(name: str, *, host: int = 1, **more) -> TargetRecord:
    """Return the record of a target that serves."""
    fields = {
        "name": name,
        "service": "maps",
        "data_centre": "dc-1",
        "ip": f"10.2.0.{host}",
        "port": 7720,
        "control": f"10.2.0.{host}:7721",
        "instance": b"i-1",
        "epoch": 1,
        "slots": 2,
        "connections": 2000,
        "condition": Condition.SERVING,
        "answers_queries": True,
    }
    return TargetRecord(**fields | more)


OWN = BalancerRecord(
    name="lb-1",
    data_centre="dc-1",
    ip=BALANCER[0],
    port=BALANCER[1],
    control="10.1.0.1:7721",
    epoch=1,
)


class SteeringRig:
    """The packet steering of one balancer, with targets ``maps-1`` and up."""

    def __init__(
        self,
        *,
        targets: int = 2,
        version: int = 1,
        own: BalancerRecord | None = None,
        started_at: float = 0.0,
        data_centres: tuple[str, ...] = ("dc-1",),
        reserves: bool = False,
    ) -> None:
        self.membership = Membership(own=own or OWN, started_at=started_at)
        self.draw = random.Random(7)
        self.steering = PacketSteering(
            membership=self.membership,
            log=LOG,
            data_centres=data_centres,
            reserves=reserves,
        )
        if version:
            self.configure(version=version)
        for number in range(1, targets + 1):
            self.learn(record(f"maps-{number}", host=number))

    def configure(self, *, version: int, service: str = "maps") -> None:
        """Apply a configuration with one route."""
        route = PacketRoute(service=service, aim_seconds=0.2, timeout_seconds=3.0)
        self.membership.configure(
            Configuration(version=version, routes_by_address={SERVICE: route})
        )
        self.steering.configured()

    def learn(self, target: TargetRecord, *, now: float = 0.0) -> None:
        """Add a target that serves to the balancer's table."""
        self.membership.table.learn(target, now=now)
        self.report(target.name, now=now)

    def report(self, name: str, *, now: float = 0.0, **load) -> None:
        """Record a load report of a target's agent."""
        entry = self.membership.table.packet_candidates("maps", now=now)
        number = max((c.load.number for c in entry if c.record.name == name), default=0)
        fields = {"number": number + 1, "condition": Condition.SERVING} | load
        self.membership.table.record_load(name, LoadReport(**fields), now=now)

    @property
    def known_endpoints(self) -> set[tuple[str, int]]:
        """The addresses of all agents in the table."""
        return {(r.ip, r.port) for r in self.membership.table.records}

    def reached(self, actions: list) -> set[tuple[str, int]]:
        """Return the agents that get a packet, directly or relayed."""
        found = {action.endpoint for action in actions}
        for action in actions:
            if isinstance(action.frame, RelayPacket):
                found |= set(action.frame.endpoints)
        return found

    def caller(self, sent: Packet, *, now: float = CONVERGED) -> list:
        """Return the actions for a caller's packet."""
        return self.steering.from_caller(sent, now=now, draw=self.draw)

    def agent(
        self,
        frame,
        sent: Packet | None = None,
        *,
        now: float = CONVERGED,
        sender: tuple[str, int] = ("10.2.0.2", 7720),
    ) -> list:
        """Return the actions for a frame of another process."""
        return self.steering.from_process(
            frame, sent, sender=sender, now=now, draw=self.draw
        )

    def names(self, actions: list) -> list[str]:
        """Return the sorted names of the targets that packets are sent to."""
        names_by_endpoint = {
            (r.ip, r.port): r.name for r in self.membership.table.records
        }
        return sorted(
            names_by_endpoint[action.endpoint]
            for action in actions
            if isinstance(action, ToAgent)
        )


def resets(actions: list) -> list[str]:
    """Return the reasons of the resets among the actions."""
    return [a.reason for a in actions if isinstance(a, ResetCaller)]


def load(number: int = 1, **fields) -> LoadReport:
    """Return a load report of a target that serves."""
    return LoadReport(**{"number": number, "condition": Condition.SERVING} | fields)


def owner(*, slots: int = 2, is_first: bool = True) -> PacketFlowOwner:
    """Return the packet logic of an agent whose target serves."""
    made = PacketFlowOwner(
        name="maps-1", service="maps", slots=slots, connections=100, log=LOG
    )
    made.instance_started(b"i-1", is_first=is_first, now=0.0)
    made.condition = Condition.SERVING
    return made


def carry(
    sent: Packet, *, service: str = "maps", tried=("maps-1",), wants_reply: bool = False
) -> ForwardPacket:
    """Return the frame in which a balancer forwards a packet."""
    return ForwardPacket(
        service=service,
        payload=sent.raw,
        tried=tried if sent.is_syn else (),
        wants_reply=wants_reply,
    )


def frames(actions: list, kind: type) -> list:
    """Return the frames of one type among the actions."""
    found = [getattr(action, "frame", None) for action in actions]
    return [frame for frame in found if isinstance(frame, kind)]


def replace(struct, **fields):
    """Return a copy of a message with some fields replaced."""
    return msgspec.structs.replace(struct, **fields)


def exchange_gossip(
    sender: Membership, receiver: Membership, *, now: float, draw: random.Random
) -> None:
    """Deliver a gossip message, its answer, and the table that either asks for."""
    sent = sender.extra_gossip(receiver.peers.own.endpoint, now=now, draw=draw)
    _deliver(sent.frame, sender, receiver, now=now, draw=draw)


def _deliver(
    frame: Gossip,
    sender: Membership,
    receiver: Membership,
    *,
    now: float,
    draw: random.Random,
) -> None:
    endpoint = sender.peers.own.endpoint
    for action in receiver.from_process(frame, sender=endpoint, now=now, draw=draw):
        match action:
            case ToAgent(frame=answer):
                _deliver(answer, receiver, sender, now=now, draw=draw)
            case FetchTable():
                digests = receiver.table.bucket_digests
                found = sender.table.records_in_differing_buckets(digests)
                receiver.learn_records(found, now=now)
