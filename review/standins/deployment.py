"""Starts the project's programs with the commands of the deploy file, on loopback.

Settings follow DEPLOY.md; the rest of the platform are the stand-ins beside this file.
"""

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from calls import call
from client import Clients, Router
from host import Host
from store import Store

ROOT = Path(__file__).resolve().parents[2]
PORTS = {
    "internal": 7720,
    "control": 8166,
    "ready": 8167,
    "store": 8169,
    "packets": 8172,
    "outbound": 8162,
    "app": 8165,
}
READY_S = 15.0


class CannotRun(Exception):
    """The case can't run here (status 2)."""


class Deployment:
    def __init__(self, folder, zone, region):
        self.began = time.monotonic()
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = _free_net()
        self.zone, self.region = zone, region
        self.processes = {}
        self.ips = {}
        self.hosts = {}
        self.seeds = []
        self._stores = {}
        self._last = 10
        self._roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.store = Store()
        self.router = Router(
            record=self.record,
            ready_port=PORTS["ready"],
            packet_port=PORTS["packets"],
        )
        self.clients = Clients(
            ip=f"{self.net}.200",
            port=PORTS["packets"],
            router=self.router,
            record=self.record,
        )

    def record(self, what, **fields):
        at = round(time.monotonic() - self.began, 3)
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at:8.3f} {what}: {text}\n")
        self._file.flush()

    async def start(self):
        self.clients.start()
        self.router.start()

    async def stop(self):
        self.router.stop()
        for process in self.processes.values():
            if process.returncode is None:
                for number in (signal.SIGCONT, signal.SIGKILL):
                    process.send_signal(number)
                await process.wait()
        for host in self.hosts.values():
            host.stop()
        self.clients.stop()
        self._file.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.temporary, ignore_errors=True)

    def route(self, number):
        """Return the address and port of a route; a loopback address, like all."""
        return (f"{self.net}.{240 + number}", 443)

    # The operator

    def configure(self, version, routes):
        """Write a configuration; ``routes`` are (ip, port, service)."""
        body = {
            "version": version,
            "routes": [
                {
                    "name": f"r-{ip}-{port}",
                    "host": ip,
                    "prefix": f"/{port}/",
                    "service": service,
                    "type": "safe",
                    "timeout_ms": 3000,
                    "target_latency_ms": 300,
                    "priority": 1,
                    "max_attempts": 2,
                }
                for ip, port, service in routes
            ],
            "services": [
                {"name": name} for name in sorted({service for _, _, service in routes})
            ],
            "limits": {"idle_timeout_ms": 15000},
        }
        self.store.put("op/config", json.dumps(body).encode())
        self.record("configuration acknowledged", version=version, routes=len(routes))

    # Nodes

    def ip(self, name):
        if name not in self.ips:
            self._last += 1
            self.ips[name] = f"{self.net}.{self._last}"
        return self.ips[name]

    async def start_front(self, name, *, wait=True):
        ip = self.ip(name)
        if len(self.seeds) < 3 and ip not in self.seeds:
            self.seeds.append(ip)
        await self._spawn("balancer", name, "front", "")
        self.router.add(name, ip)
        if wait:
            await self.wait_ready(name)

    async def start_side(self, name, service):
        app = f"{self.ip(name)}:{PORTS['app']}"
        extra = f'app = "{app}"\nservice = "{service}"\n'
        await self._spawn("agent", name, "side", extra)

    async def start_host(self, name, service, **options):
        beats = options.pop("heartbeats", True)
        host = Host(
            name=name,
            service=service,
            ip=self.ip(name),
            ports=PORTS,
            zone=self.zone,
            record=self.record,
            **options,
        )
        await host.start(heartbeats=beats)
        self.hosts[name] = host
        return host

    def stop_host(self, name, what="host ends"):
        self.hosts.pop(name).stop(what)

    async def wait_ready(self, name):
        endpoint = (self.ip(name), PORTS["ready"])
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            status, _ = await call(endpoint, "GET", "/monsoonpier/ready", timeout=1.0)
            if status == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{name} is not ready")

    def signal(self, name, number):
        self.record("signal", node=name, number=signal.Signals(number).name)
        self.processes[name].send_signal(number)

    async def terminate(self, name, grace_s=6.0):
        """Stop as the platform does: SIGTERM, and SIGKILL after ``grace_s``."""
        self.signal(name, signal.SIGTERM)
        process = self.processes[name]
        try:
            await asyncio.wait_for(process.wait(), grace_s)
        except TimeoutError:
            self.signal(name, signal.SIGKILL)
            await process.wait()
        self.record("process ended", node=name)

    async def _spawn(self, role, name, machine_class, extra):
        entry = self._roles[role]
        if name not in self._stores:
            self._stores[name] = f"{self.net}.{220 + len(self._stores)}"
            await self.store.listen(self._stores[name], PORTS["store"], name)
        settings = self.temporary / f"{name}.toml"
        settings.write_text(self._settings(name, role, machine_class, extra))
        names = ("PATH", "HOME", "LANG")
        environment = {n: os.environ[n] for n in names if n in os.environ}
        environment |= entry.get("env", {})
        environment["MONSOONPIER_SETTINGS"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with (self.temporary / f"{name}.log").open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *shlex.split(entry["run"]),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record("process started", node=name, role=role, ip=self.ip(name))

    def _settings(self, name, role, machine_class, extra):
        ip = self.ip(name)
        seeds = [f"{seed}:{PORTS['control']}" for seed in self.seeds]
        is_front = machine_class == "front"
        serves = ["front", "control"] if is_front else ["side"]
        outbound = "" if is_front else f'outbound = "{ip}:{PORTS["outbound"]}"\n'
        cpu, cores, memory = ("0.537", 2, 300) if is_front else ("0.645", 1, 168)
        return f"""node_name = "{name}"
role = "{role}"
machine_class = "{machine_class}"
serves = {json.dumps(serves)}
ip = "{ip}"
zone = "{self.zone}"
region = "{self.region}"
internal_ports = [{PORTS["internal"]},{PORTS["internal"] + 15}]
seeds = {json.dumps(seeds)}
bootstrap = true
loss_counts = false
discovery = "local"
entry = "announce"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","recover","flows","platform"]
hash_fn = "mod"
deployment_mode = "agent"
{extra}
[zones]
{self.zone} = "{self.region}"

[listen]
datagram_addr = "{ip}:{PORTS["packets"]}"
{outbound}ready = "{ip}:{PORTS["ready"]}"
control = "{ip}:{PORTS["control"]}"

[limits]
cpu_share = {cpu}
cores = {cores}
memory_mb = {memory}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0

[fault_tolerance]
machines = 1
zones = 0
regions = 0

[bounds]
seed_lag_s = 3
addr_reuse_s = 2
stable_window_ms = 4000
ack_ms = 5000
catch_up_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
max_stretch_ms = 12000
recovery_s = 12
flow_reorder_ms = 2000
max_flow_s = 60

[platform]
address = "{self._stores[name]}:{PORTS["store"]}"
deployment_mode = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
"""


def _free_net():
    draw = random.Random(os.getpid() * 7919 + time.time_ns())
    for _ in range(50):
        net = f"127.{draw.randint(20, 250)}.{draw.randint(1, 250)}"
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                for port in (*PORTS.values(), 9464):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((f"{net}.11", port))
        except OSError:
            continue
        return net
    raise CannotRun("no free loopback addresses")


def main(case, folder, zone="brum-a", region="midlands"):
    """Run ``case(deployment, trouble)``; it returns whether the rule held."""

    async def run():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        deployment = Deployment(folder, zone, region)
        trouble = os.environ.get("TROUBLE", "1") != "0"
        deployment.record("case", trouble=trouble, net=deployment.net)
        try:
            async with asyncio.timeout(115):
                await deployment.start()
                held = await case(deployment, trouble)
            deployment.record("verdict", rule="held" if held else "BROKEN")
            return 0 if held else 1
        except (CannotRun, TimeoutError, OSError, asyncio.CancelledError) as error:
            deployment.record("cannot run", reason=repr(error))
            print(f"cannot run: {error!r}", file=sys.stderr)
            return 2
        finally:
            await deployment.stop()

    sys.exit(asyncio.run(run()))
