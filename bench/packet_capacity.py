"""Measures the cost of steering flows without a token, within one process.

``python -m bench.packet_capacity`` prints a JSON object. Costs are processor time
without sockets, and memory.
"""

import gc
import json
import random
import sys
import time
import tracemalloc
from collections.abc import Callable

from monsoonpier.agent.packets.owner import PacketFlowOwner
from monsoonpier.balancer.actions import ToAgent
from monsoonpier.balancer.membership import Membership
from monsoonpier.balancer.packets.steering import PacketSteering
from monsoonpier.model.address import Address
from monsoonpier.model.keys import Key, KeyRing
from monsoonpier.model.service import Configuration, PacketRoute
from monsoonpier.model.target import Condition, LoadReport, TargetRecord
from monsoonpier.platform.packets import PlatformPackets
from monsoonpier.process.logs import DecisionLog, configure_logs
from monsoonpier.wire.frames import (
    BalancerRecord,
    FlowOwned,
    ForwardPacket,
    FrameCodec,
    LoadUpdate,
)
from monsoonpier.wire.packet import Packet
from standins.packets.wire import ACK, SYN, Segment

SERVICE = ("198.18.0.1", 443)
TARGETS = (5, 15, 50, 200)
FLOWS = (0, 10_000, 20_000, 40_000)
REPEATS = 2_000
TABLE_SIZES = (200, 1_000, 5_000)
CODEC = PlatformPackets()
FRAMES = FrameCodec(keys=KeyRing(keys=(Key(id=1, secret=b"k" * 32),)))
DRAW = random.Random(1)


def _record(number: int) -> TargetRecord:
    return TargetRecord(
        name=f"side-brum-a-{number}",
        service="maps" if number < max(TARGETS) else f"other-{number // 15}",
        data_centre="dc-1",
        ip=f"10.{number // 62_500}.{number // 250 % 250}.{number % 250 + 1}",
        port=7720,
        control="10.0.0.1:7721",
        instance=b"i-12345678",
        epoch=1,
        slots=2,
        condition=Condition.SERVING,
    )


def _create_steering(targets: int) -> tuple[PacketSteering, Membership]:
    own = BalancerRecord(
        name="lb-1",
        data_centre="dc-1",
        ip="10.9.0.1",
        port=7720,
        control="10.9.0.1:7721",
        epoch=1,
    )
    membership = Membership(own=own)
    route = PacketRoute(service="maps", aim_seconds=0.3, timeout_seconds=3.0)
    address = Address(ip=SERVICE[0], port=SERVICE[1])
    membership.configure(Configuration(version=1, routes_by_address={address: route}))
    for number in range(targets):
        membership.table.learn(_record(number), now=0.0)
        load = LoadReport(number=1, condition=Condition.SERVING, service_ms=50)
        membership.table.record_load(f"side-brum-a-{number}", load, now=100.0)
    log = DecisionLog("bench")
    return PacketSteering(membership=membership, log=log), membership


def _encode_packet(number: int, flags: int = ACK, size: int = 200) -> bytes:
    source = (f"100.64.{number // 50_000}.7", 10_000 + number % 50_000)
    data = b"x" * (0 if flags == SYN else size)
    return Segment(flags=flags, source=source, destination=SERVICE, data=data).encode()


def _decode_packet(raw: bytes) -> Packet:
    packet = CODEC.decode(raw, from_target=False)
    assert isinstance(packet, Packet)
    return packet


def _mean_microseconds(run: Callable[[int], None], count: int) -> float:
    """Return the mean processor time of ``count`` calls in microseconds."""
    gc.collect()
    started_at = time.process_time()
    for number in range(count):
        run(number)
    return (time.process_time() - started_at) / count * 1e6


def _encode_frames(actions: list) -> None:
    for action in actions:
        if isinstance(action, ToAgent):
            FRAMES.encode(action.frame)


def forwarded_packet() -> float:
    """Return a balancer's cost of a packet of an open flow in microseconds."""
    steering, _ = _create_steering(15)
    flow = _decode_packet(_encode_packet(1)).flow
    load = LoadReport(number=2, condition=Condition.SERVING)
    owned = FlowOwned(flow=flow, agent="side-brum-a-3", load=load, is_open=True)
    steering.from_process(owned, None, sender=("", 0), now=100.0, draw=DRAW)
    raw = _encode_packet(1)

    def run(_: int) -> None:
        packet = _decode_packet(raw)
        _encode_frames(steering.from_caller(packet, now=100.0, draw=DRAW))

    return _mean_microseconds(run, 20_000)


def new_flow(targets: int) -> float:
    """Return a balancer's cost of a SYN in microseconds."""
    steering, _ = _create_steering(targets)
    raws = [_encode_packet(number, SYN) for number in range(REPEATS)]

    def run(number: int) -> None:
        _encode_frames(
            steering.from_caller(_decode_packet(raws[number]), now=100.0, draw=DRAW)
        )

    return _mean_microseconds(run, REPEATS)


def load_report(targets: int) -> float:
    """Return a balancer's cost of a load report in microseconds."""
    steering, _ = _create_steering(targets)
    load = LoadReport(number=0, in_flight=1, condition=Condition.SERVING)
    data = [
        FRAMES.encode(
            LoadUpdate(load=LoadReport(number=n + 2, condition=load.condition))
        )
        for n in range(REPEATS)
    ]
    record = _record(3)

    def run(number: int) -> None:
        frame = FRAMES.decode(data[number])
        sender = (record.ip, record.port)
        steering.from_process(frame, None, sender=sender, now=100.0, draw=DRAW)

    return _mean_microseconds(run, REPEATS)


def bytes_by_flows() -> dict[int, int]:
    """Return a balancer's memory in bytes by the number of flows."""
    found = {}
    for flows in FLOWS:
        steering, _ = _create_steering(15)
        gc.collect()
        tracemalloc.start()
        for number in range(flows):
            flow = number.to_bytes(12, "big")
            load = LoadReport(number=number + 2, condition=Condition.SERVING)
            owned = FlowOwned(flow=flow, agent="side-brum-a-3", load=load, is_open=True)
            steering.from_process(owned, None, sender=("", 0), now=100.0, draw=DRAW)
        found[flows] = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
    return found


def bytes_by_targets() -> dict[int, int]:
    """Return a balancer's memory in bytes by the number of targets."""
    found = {}
    for targets in TABLE_SIZES:
        gc.collect()
        tracemalloc.start()
        measured = _create_steering(targets)
        found[targets] = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        del measured
    return found


def agent_packet() -> float:
    """Return an agent's cost of a packet of an open flow in microseconds."""
    owner = PacketFlowOwner(
        name="a", service="maps", slots=2, connections=9, log=DecisionLog("bench")
    )
    raw = _encode_packet(1)
    response = Segment(
        flags=ACK, source=SERVICE, destination=("100.64.0.7", 10_001), data=b"y"
    ).encode()
    decoded = CODEC.decode(response, from_target=True)
    assert isinstance(decoded, Packet)
    owner.from_target(decoded, now=1.0)
    data = FRAMES.encode(ForwardPacket(service="maps", payload=raw))

    def run(_: int) -> None:
        frame = FRAMES.decode(data)
        packet = _decode_packet(frame.payload)
        owner.from_balancer(frame, packet, sender=("10.0.0.1", 1), now=1.0)

    return _mean_microseconds(run, 20_000)


def main() -> int:
    """Run all measurements and print them."""
    configure_logs(level="error")
    print(
        json.dumps(
            {
                "passed_packet_us": round(forwarded_packet(), 1),
                "agent_packet_us": round(agent_packet(), 1),
                "new_flow_us_by_targets": {n: round(new_flow(n)) for n in TARGETS},
                "load_report_us": round(load_report(50), 1),
                "bytes_by_flows": bytes_by_flows(),
                "bytes_by_targets": bytes_by_targets(),
            }
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
