"""Measures processor time and memory of processes (``make capacity``).

Each cost is measured at several sizes and fitted by a straight line. The results
are written to docs/figures/capacity.json, which docs/CAPACITY.md uses.
"""

import asyncio
import json
import random
import statistics
import sys
import time
from pathlib import Path

import uvloop

from bench.probe import KEYRING, FakeAgents, fit, pause_after_burst, read_cost
from monsoonpier.documents.configuration import parse_files
from monsoonpier.documents.stored import (
    StoredConfiguration,
    decode_configuration,
    encode_stored,
    pack,
)
from monsoonpier.model.target import Condition, LoadReport
from monsoonpier.model.token import FlowToken, seal_token
from monsoonpier.process.udp import open_udp
from monsoonpier.wire.datagrams import MIN_OPEN_BYTES, Open, Ping, caller_codec
from monsoonpier.wire.frames import ForwardDatagram, FrameCodec, ReplyDatagram
from standins.deployment import Deployment

RESULTS_FILE = Path(__file__).parent.parent / "docs" / "figures" / "capacity.json"
PACKET_COUNTS = (10_000, 20_000, 40_000, 60_000)
TARGET_COUNTS = (0, 500, 1_000, 2_000, 4_800)
SERVICE_TARGETS = (5, 15, 50, 200)
FLOW_COUNTS = (0, 10_000, 30_000, 60_000, 100_000)
HEARTBEAT_COUNTS = (2_000, 4_000, 8_000, 16_000)
SERVICE_COUNTS = (10, 40, 160, 320)
OPENS = 4_000
OPEN_BURST = 8
IDLE_SECONDS = 8.0
PACKET_BYTES = 200
FLOW = b"f" * 16
SETTLE_SECONDS = 0.5


async def _forwarded_packets(deployment: Deployment, figures: dict) -> None:
    """Measure the cost of a packet in both directions, and through a plain relay."""
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
    token = FlowToken(
        service="maps", ip=sink.address.ip, port=sink.address.port, instance=b"i" * 8
    )
    sealed = seal_token(token, flow=FLOW, keys=KEYRING)
    ping = caller_codec.encode(Ping(flow=FLOW, token=sealed, acked=1))
    reply = FrameCodec(keys=KEYRING).encode(
        ReplyDatagram(
            service="maps",
            ip=sink.address.ip,
            port=sink.address.port,
            payload=b"r" * PACKET_BYTES,
            agent="maps-1",
            load=LoadReport(number=1, condition=Condition.SERVING),
        )
    )
    paths = {
        "relay": (relay.pid, b"r" * PACKET_BYTES, (f"{deployment.net}.242", 9500)),
        "to agent": (node.pid, ping, (node.ip, 7001)),
        "to caller": (node.pid, reply, (node.ip, 9000)),
    }
    for name, (pid, data, to) in paths.items():
        points = []
        for count in PACKET_COUNTS:
            received = sink.bytes_in
            before = read_cost(pid)
            for number in range(count):
                sender.send(data, to)
                await pause_after_burst(number)
            await asyncio.sleep(SETTLE_SECONDS)
            forwarded = sink.bytes_in - received
            spent = read_cost(pid).seconds - before.seconds
            points.append((count, spent * 1e6))
            if not forwarded:
                raise RuntimeError(f"{name}: no packet was forwarded")
        figures[f"microseconds per packet, {name}"] = fit(points)
    relay_slope = figures["microseconds per packet, relay"]["slope"]
    for name in ("to agent", "to caller"):
        ratio = figures[f"microseconds per packet, {name}"]["slope"] / relay_slope
        figures[f"ratio to relay, {name}"] = ratio
    relay.signal(9)
    await relay.wait()
    sink.close()
    sender.close()


async def _targets_in_table(deployment: Deployment, figures: dict) -> None:
    """Measure memory per target in the table, and the cost of a heartbeat."""
    node = await deployment.start_balancer("b-targets")
    await deployment.wait_ready("b-targets")
    agents = FakeAgents(ip=f"{deployment.net}.243", service="other")
    await agents.start()
    to = (node.ip, 9000)
    memory, idle = [], []
    announced = 0
    for count in TARGET_COUNTS:
        await agents.announce(range(announced, count), to)
        announced = count
        await asyncio.sleep(1.0)
        before = read_cost(node.pid)
        await asyncio.sleep(3.0)
        after = read_cost(node.pid)
        targets = (await deployment.metrics("b-targets"))["monsoonpier_targets"]
        memory.append((targets, after.resident_kib))
        idle.append((targets, (after.seconds - before.seconds) / 3.0 * 100))
    figures["balancer KiB by targets known"] = fit(memory)
    figures["balancer % of a core by targets known, no traffic"] = fit(idle)
    points = []
    for count in HEARTBEAT_COUNTS:
        before = read_cost(node.pid)
        for number in range(count):
            agents.beat(number % announced, to, report=count + number)
            await pause_after_burst(number)
        await asyncio.sleep(SETTLE_SECONDS)
        points.append((count, (read_cost(node.pid).seconds - before.seconds) * 1e6))
    figures["balancer microseconds per heartbeat"] = fit(points)
    await deployment.shut_down_balancer("b-targets")
    agents.socket.close()


async def _new_flows(deployment: Deployment, figures: dict) -> None:
    """Measure the cost of placing a flow by the number of targets of its service."""
    agents = FakeAgents(ip=f"{deployment.net}.244")
    await agents.start()
    node = await deployment.start_balancer("b-opens")
    await deployment.wait_ready("b-opens")
    points, announced = [], 0
    for count in SERVICE_TARGETS:
        await agents.announce(range(announced, count), (node.ip, 9000))
        announced = count
        await asyncio.sleep(1.0)
        opens_before = await _opens(deployment, "b-opens")
        before = read_cost(node.pid)
        for number in range(OPENS):
            message = Open(
                flow=number.to_bytes(16, "big"), padding=bytes(MIN_OPEN_BYTES)
            )
            agents.socket.send(caller_codec.encode(message), (node.ip, 7001))
            await pause_after_burst(number, burst=OPEN_BURST)
        await asyncio.sleep(SETTLE_SECONDS)
        spent = read_cost(node.pid).seconds - before.seconds
        targets = (await deployment.metrics("b-opens"))["monsoonpier_targets"]
        placed = await _opens(deployment, "b-opens") - opens_before
        points.append((targets, spent / placed * 1e6))
    figures["balancer microseconds per new flow by targets of the service"] = fit(
        points
    )
    await deployment.shut_down_balancer("b-opens")
    agents.socket.close()


async def _opens(deployment: Deployment, name: str) -> float:
    """Return the number of OPENs that a balancer has processed."""
    metrics = await deployment.metrics(name)
    prefix = "monsoonpier_opens_total"
    return sum(v for k, v in metrics.items() if k.startswith(prefix))


async def _open_flows(deployment: Deployment, figures: dict) -> None:
    """Measure memory and cost per open flow of an agent."""
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
        lambda data, address: _count_token(codec.decode(data), tokens),
        ip=f"{deployment.net}.245",
        port=0,
    )
    memory, cost, opened = [], [], 0
    spent = 0.0
    for count in FLOW_COUNTS:
        before = read_cost(node.pid)
        for number in range(opened, count):
            _send_open(sender, codec, number, (node.ip, 9000))
            await pause_after_burst(number)
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
    frame = ForwardDatagram(
        service="maps", ip="127.0.0.1", port=9, payload=caller_codec.encode(message)
    )
    sender.send(codec.encode(frame), to)


def _count_token(frame, tokens: dict[int, bytes]) -> None:
    """Count a response; its token isn't needed."""
    tokens[len(tokens)] = b""


async def _idle_balancer(deployment: Deployment, figures: dict) -> None:
    """Measure the cost of an idle balancer by the number of balancers."""
    points, control_rates = [], []
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
        control_rates.append((count + 1, (bytes_after - bytes_before) / IDLE_SECONDS))
        figures["balancer idle KiB"] = after.resident_kib
    figures["balancer idle % of a core by balancers"] = fit(points)
    figures["balancer idle control bytes a second by balancers"] = fit(control_rates)
    metrics = await deployment.metrics(names[0])
    calls_made = metrics['monsoonpier_platform_calls_total{kind="all"}']
    figures["platform calls of one balancer a second"] = (
        calls_made / metrics["monsoonpier_uptime_seconds"]
    )
    for name in names:
        await deployment.shut_down_balancer(name)


async def _control_bytes(deployment: Deployment, name: str) -> float:
    metrics = await deployment.metrics(name)
    prefix = "monsoonpier_control_bytes_total"
    return sum(v for k, v in metrics.items() if k.startswith(prefix))


def _configuration(figures: dict) -> None:
    """Measure the cost of decoding a configuration by the number of services."""
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
        stored = StoredConfiguration(
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
            started_at = time.process_time()
            decode_configuration(value)
            times.append((time.process_time() - started_at) * 1000)
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
    _print_new(figures)
    async with Deployment(net="127.85.1") as deployment:
        await deployment.start_surroundings()
        await deployment.start_balancer("b1")
        folder = deployment.write_services(cold_start_seconds=0)
        await deployment.run_operator_command("apply", str(folder), "--wait")
        await deployment.wait_ready("b1")
        for measure in (
            _idle_balancer,
            _forwarded_packets,
            _new_flows,
            _targets_in_table,
            _open_flows,
        ):
            await measure(deployment, figures)
            _print_new(figures)
    return figures


_printed_names: set[str] = set()


def _print_new(figures: dict) -> None:
    for name, value in figures.items():
        if name not in _printed_names:
            _printed_names.add(name)
            print(json.dumps({name: value}), flush=True)


if __name__ == "__main__":
    result = uvloop.run(_run())
    RESULTS_FILE.parent.mkdir(parents=True, exist_ok=True)
    RESULTS_FILE.write_text(json.dumps(result, indent=1) + "\n")
    sys.exit(0)
