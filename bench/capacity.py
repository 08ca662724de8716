"""``make capacity``: slopes of cost, from real processes at several sizes.

Raw figures and fits go to docs/figures/capacity.json; docs/CAPACITY.md does
the arithmetic with them.
"""

import asyncio
import json
import random
import statistics
import sys
import time
from pathlib import Path

import uvloop

from bench.probe import KEYRING, FakeAgents, breathe, fit, read_cost
from monsoonpier.documents.configuration import parse_files
from monsoonpier.documents.stored import Stored, encode_stored, pack, unstore
from monsoonpier.model.target import Condition, LoadReport
from monsoonpier.model.token import HolderToken, seal_token
from monsoonpier.process.udp import open_udp
from monsoonpier.wire.datagrams import MIN_OPEN_BYTES, Open, Ping, caller_codec
from monsoonpier.wire.frames import Forward, FrameCodec, Return
from standins.deployment import Deployment

KEPT = Path(__file__).parent.parent / "docs" / "figures" / "capacity.json"
PACKET_COUNTS = (10_000, 20_000, 40_000, 60_000)
TARGET_COUNTS = (0, 500, 1_000, 2_000, 4_800)
SERVICE_TARGETS = (5, 15, 50, 200)
FLOW_COUNTS = (0, 10_000, 30_000, 60_000, 100_000)
BEAT_COUNTS = (2_000, 4_000, 8_000, 16_000)
SERVICE_COUNTS = (10, 40, 160, 320)
OPENS = 4_000
OPEN_BURST = 8
IDLE_SECONDS = 8.0
PACKET_BYTES = 200
FLOW = b"f" * 16
SETTLE_SECONDS = 0.5


async def _passed_packets(deployment: Deployment, figures: dict) -> None:
    """Cost of a packet each way through a balancer, and through a bare relay."""
    node = deployment.nodes_by_name["b1"]
    sink = await open_udp(lambda data, sender: None, ip=f"{deployment.net}.240", port=0)
    sender = await open_udp(
        lambda data, sender: None, ip=f"{deployment.net}.241", port=0
    )
    relay_at = f"{deployment.net}.242:9500"
    relay = await deployment._spawn(
        "relay",
        f"{deployment.net}.242",
        "-m",
        "bench.relay",
        relay_at,
        str(sink.address),
    )
    await asyncio.sleep(1.0)
    token = HolderToken(
        service="maps", ip=sink.address.ip, port=sink.address.port, instance=b"i" * 8
    )
    sealed = seal_token(token, flow=FLOW, keys=KEYRING)
    ping = caller_codec.encode(Ping(flow=FLOW, token=sealed, acked=1))
    reply = FrameCodec(keys=KEYRING).encode(
        Return(
            service="maps",
            ip=sink.address.ip,
            port=sink.address.port,
            payload=b"r" * PACKET_BYTES,
            agent="maps-1",
            load=LoadReport(number=1, condition=Condition.SERVING),
        )
    )
    ways = {
        "relay": (relay.pid, b"r" * PACKET_BYTES, (f"{deployment.net}.242", 9500)),
        "to agent": (node.pid, ping, (node.ip, 7001)),
        "to caller": (node.pid, reply, (node.ip, 9000)),
    }
    for name, (pid, data, to) in ways.items():
        points = []
        for count in PACKET_COUNTS:
            received = sink.bytes_in
            before = read_cost(pid)
            for number in range(count):
                sender.send(data, to)
                await breathe(number)
            await asyncio.sleep(SETTLE_SECONDS)
            passed = sink.bytes_in - received
            spent = read_cost(pid).seconds - before.seconds
            points.append((count, spent * 1e6))
            if not passed:
                raise RuntimeError(f"{name}: nothing was passed")
        figures[f"microseconds per packet, {name}"] = fit(points)
    relay_slope = figures["microseconds per packet, relay"]["slope"]
    for name in ("to agent", "to caller"):
        ratio = figures[f"microseconds per packet, {name}"]["slope"] / relay_slope
        figures[f"ratio to relay, {name}"] = ratio
    relay.signal(9)
    await relay.wait()
    sink.close()
    sender.close()


async def _targets_known(deployment: Deployment, figures: dict) -> None:
    """Memory per target known, and what a heartbeat costs."""
    node = await deployment.start_balancer("b-targets")
    await deployment.wait_ready("b-targets")
    agents = FakeAgents(ip=f"{deployment.net}.243", service="other")
    await agents.start()
    to = (node.ip, 9000)
    memory, idle = [], []
    known = 0
    for count in TARGET_COUNTS:
        await agents.announce(range(known, count), to)
        known = count
        await asyncio.sleep(1.0)
        before = read_cost(node.pid)
        await asyncio.sleep(3.0)
        after = read_cost(node.pid)
        seen = (await deployment.metrics("b-targets"))["monsoonpier_targets"]
        memory.append((seen, after.resident_kib))
        idle.append((seen, (after.seconds - before.seconds) / 3.0 * 100))
    figures["balancer KiB by targets known"] = fit(memory)
    figures["balancer % of a core by targets known, no traffic"] = fit(idle)
    points = []
    for count in BEAT_COUNTS:
        before = read_cost(node.pid)
        for number in range(count):
            agents.beat(number % known, to, report=count + number)
            await breathe(number)
        await asyncio.sleep(SETTLE_SECONDS)
        points.append((count, (read_cost(node.pid).seconds - before.seconds) * 1e6))
    figures["balancer microseconds per heartbeat"] = fit(points)
    await deployment.retire_balancer("b-targets")
    agents.socket.close()


async def _new_flows(deployment: Deployment, figures: dict) -> None:
    """Cost of placing a new flow, by the number of targets of its service."""
    agents = FakeAgents(ip=f"{deployment.net}.244")
    await agents.start()
    node = await deployment.start_balancer("b-opens")
    await deployment.wait_ready("b-opens")
    points, known = [], 0
    for count in SERVICE_TARGETS:
        await agents.announce(range(known, count), (node.ip, 9000))
        known = count
        await asyncio.sleep(1.0)
        opens_before = await _opens(deployment, "b-opens")
        before = read_cost(node.pid)
        for number in range(OPENS):
            message = Open(
                flow=number.to_bytes(16, "big"), padding=bytes(MIN_OPEN_BYTES)
            )
            agents.socket.send(caller_codec.encode(message), (node.ip, 7001))
            await breathe(number, burst=OPEN_BURST)
        await asyncio.sleep(SETTLE_SECONDS)
        spent = read_cost(node.pid).seconds - before.seconds
        seen = (await deployment.metrics("b-opens"))["monsoonpier_targets"]
        placed = await _opens(deployment, "b-opens") - opens_before
        points.append((seen, spent / placed * 1e6))
    figures["balancer microseconds per new flow by targets of the service"] = fit(
        points
    )
    await deployment.retire_balancer("b-opens")
    agents.socket.close()


async def _opens(deployment: Deployment, name: str) -> float:
    """Return the OPENs that a balancer has decided on; lost ones don't count."""
    metrics = await deployment.metrics(name)
    prefix = "monsoonpier_opens_total"
    return sum(v for k, v in metrics.items() if k.startswith(prefix))


async def _open_flows(deployment: Deployment, figures: dict) -> None:
    """Memory and cost per open flow on one agent."""
    await deployment.start_target("maps-flows", "maps")
    ip = deployment.nodes_by_name["target maps-flows"].ip
    target = {"service": "maps", "url": f"http://{ip}:8000", "slots": 3}
    node = await deployment._start_process(
        "agent",
        "maps-flows",
        ip,
        wait=True,
        target=target | {"connections": 200_000},
    )
    await deployment.wait_ready("maps-flows")
    await asyncio.sleep(2.0)
    before = read_cost(node.pid)
    await asyncio.sleep(IDLE_SECONDS)
    after = read_cost(node.pid)
    figures["agent idle KiB"] = after.resident_kib
    idle = (after.seconds - before.seconds) / IDLE_SECONDS * 100
    figures["agent idle % of a core"] = idle
    codec = FrameCodec(keys=KEYRING)
    tokens: dict[int, bytes] = {}
    sender = await open_udp(
        lambda data, address: _keep_token(codec.decode(data), tokens),
        ip=f"{deployment.net}.245",
        port=0,
    )
    memory, cost, opened = [], [], 0
    spent = 0.0
    for count in FLOW_COUNTS:
        before = read_cost(node.pid)
        for number in range(opened, count):
            _send_open(sender, codec, number, (node.ip, 9000))
            await breathe(number)
        opened = count
        await asyncio.sleep(SETTLE_SECONDS)
        after = read_cost(node.pid)
        flows = (await deployment.metrics("maps-flows"))["monsoonpier_flows"]
        spent += after.seconds - before.seconds
        memory.append((flows, after.resident_kib))
        cost.append((flows, spent * 1e6))
    figures["agent KiB by open flows"] = fit(memory)
    figures["agent microseconds by opened flows"] = fit(cost)
    sender.close()
    node.signal(9)
    await node.wait()


def _send_open(sender, codec: FrameCodec, number: int, to: tuple[str, int]) -> None:
    message = Open(flow=number.to_bytes(16, "big"), padding=bytes(MIN_OPEN_BYTES))
    frame = Forward(
        service="maps", ip="127.0.0.1", port=9, payload=caller_codec.encode(message)
    )
    sender.send(codec.encode(frame), to)


def _keep_token(frame, tokens: dict[int, bytes]) -> None:
    """Count answers; their tokens aren't needed."""
    tokens[len(tokens)] = b""


async def _idle_balancer(deployment: Deployment, figures: dict) -> None:
    """What a balancer costs at rest, by the number of its peers."""
    points, calls = [], []
    for count in (1, 2, 4, 8):
        while (
            len([n for n in deployment.nodes_by_name if n.startswith("b-idle")]) < count
        ):
            number = len(deployment.nodes_by_name)
            await deployment.start_balancer(f"b-idle-{number}")
        names = [n for n in deployment.nodes_by_name if n.startswith("b-idle")]
        await deployment.wait_ready(*names)
        await asyncio.sleep(3.0)
        bytes_before = await _control_bytes(deployment, names[0])
        before = read_cost(deployment.nodes_by_name[names[0]].pid)
        await asyncio.sleep(IDLE_SECONDS)
        after = read_cost(deployment.nodes_by_name[names[0]].pid)
        bytes_after = await _control_bytes(deployment, names[0])
        share = (after.seconds - before.seconds) / IDLE_SECONDS * 100
        points.append((count + 1, share))
        calls.append((count + 1, (bytes_after - bytes_before) / IDLE_SECONDS))
        figures["balancer idle KiB"] = after.resident_kib
    figures["balancer idle % of a core by balancers"] = fit(points)
    figures["balancer idle control bytes a second by balancers"] = fit(calls)
    metrics = await deployment.metrics(names[0])
    calls_made = metrics['monsoonpier_platform_calls_total{kind="all"}']
    figures["platform calls of one balancer a second"] = (
        calls_made / metrics["monsoonpier_uptime_seconds"]
    )
    for name in names:
        await deployment.retire_balancer(name)


async def _control_bytes(deployment: Deployment, name: str) -> float:
    metrics = await deployment.metrics(name)
    prefix = "monsoonpier_control_bytes_total"
    return sum(v for k, v in metrics.items() if k.startswith(prefix))


def _configuration(figures: dict) -> None:
    """What taking a configuration costs, by the number of services."""
    points, sizes, packed = [], [], []
    draw = random.Random(3)
    for count in SERVICE_COUNTS:
        services = {
            f"service-{n}": {
                "address": f"192.0.2.{n % 250 + 1}:{7000 + n}",
                "targets": [f"service-{n}-*"],
                "kinds": {
                    f"reading-{draw.randbytes(4).hex()}": {"idempotent": True},
                    "map": {"stream": True},
                },
            }
            for n in range(count)
        }
        files = {"all.yaml": json.dumps({"services": services})}
        parsed = parse_files(files)
        assert not parsed.findings, parsed.findings
        stored = Stored(
            version=1,
            apply_id="0" * 32,
            who="ana",
            at="",
            files=files,
            services=parsed.services_by_name,
        )
        value = encode_stored(stored)
        times = []
        for _ in range(3):
            began = time.process_time()
            unstore(value)
            times.append((time.process_time() - began) * 1000)
        points.append((count, statistics.median(times)))
        sizes.append((count, len(value)))
        packed.append((count, len(pack(value))))
    figures["configuration milliseconds by services"] = fit(points)
    figures["configuration bytes by services"] = fit(sizes)
    figures["configuration bytes by services, packed"] = fit(packed)
    one = len(pack(value, service="service-7"))
    figures["configuration bytes for an agent, packed"] = one


async def _run() -> dict:
    figures: dict = {}
    _configuration(figures)
    _say(figures)
    async with Deployment(net="127.85.1") as deployment:
        await deployment.start_surroundings()
        await deployment.start_balancer("b1")
        folder = deployment.write_services(cold_start_seconds=0)
        await deployment.operate("apply", str(folder), "--wait")
        await deployment.wait_ready("b1")
        for measure in (
            _idle_balancer,
            _passed_packets,
            _new_flows,
            _targets_known,
            _open_flows,
        ):
            await measure(deployment, figures)
            _say(figures)
    return figures


_said: set[str] = set()


def _say(figures: dict) -> None:
    for name, value in figures.items():
        if name not in _said:
            _said.add(name)
            print(json.dumps({name: value}), flush=True)


if __name__ == "__main__":
    result = uvloop.run(_run())
    KEPT.parent.mkdir(parents=True, exist_ok=True)
    KEPT.write_text(json.dumps(result, indent=1) + "\n")
    sys.exit(0)
