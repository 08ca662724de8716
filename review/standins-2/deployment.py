"""A small deployment on loopback: the deploy file's programs and the stand-ins."""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

from client import Client, Router
from far_link import FarLink
from host import Host
from store import StoreStandIn
from wire import Endpoint

ROOT = Path(__file__).resolve().parents[2]
METRICS_PORT = 9464
INTERNAL_PORTS = 16
START_SECONDS = 20.0
RESTART_SECONDS = 0.3  # the platform's short delay before it starts a process again
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "stable_window_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 12000,
    "recovery_s": 12,
    "flow_reorder_ms": 2000,
    "max_flow_s": 60,
}
STABLE_WINDOW_SECONDS = BOUNDS["stable_window_ms"] / 1000
DRAIN_SECONDS = BOUNDS["drain_ms"] / 1000
ZONE = "zone-a"


class CannotRun(Exception):
    """The case could not run; this says nothing about the rule."""


class Deployment:
    """An asynchronous context manager; its end ends all processes.

    Args:
        folder: The folder of the case, which gets `record.txt`.
        fronts: How many entry VMs there are.
        zone_by_node: The zones of nodes that are in another than the first one.
        client_zone: The zone of the clients.
        has_far_seeds: Whether the seeds are as far from the agents as another zone.
    """

    def __init__(
        self,
        *,
        folder: Path,
        fronts: int = 2,
        zone_by_node: dict[str, str] | None = None,
        client_zone: str = ZONE,
        has_far_seeds: bool = False,
    ) -> None:
        self._folder = folder
        self._fronts = fronts
        self._zone_by_node = zone_by_node or {}
        self._client_zone = client_zone
        self._has_far_seeds = has_far_seeds
        self._links: list[FarLink] = []
        self._began = time.monotonic()
        self._lines: list[str] = []
        self.hosts: dict[str, Host] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.started_at: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()
        self._version = 6

    async def __aenter__(self) -> "Deployment":
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._roles = deploy["roles"]
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self._net = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        self._base = _free_ports(f"{self._net}.1")
        self.store_address = (f"{self._net}.1", self._base)
        self.client_address = (f"{self._net}.5", self._base + 3)
        self.routes = {
            name: (f"{self._net}.{200 + n}", 8443) for n, name in enumerate("RST")
        }
        self.store = StoreStandIn(self.store_address)
        await self.store.start()
        self.router = Router(client_zone=self._client_zone, record=self.record)
        self.client = Client(
            address=self.client_address, router=self.router, record=self.record
        )
        await self.client.start()
        for n in range(1, self._fronts + 1):
            name = f"front-{n}"
            if self._has_far_seeds:
                link = FarLink(self._far(name), self._at(name, 6))
                await link.start()
                self._links.append(link)
            self.router.add(
                name,
                zone=self._zone_of(name),
                ready=self._at(name, 1),
                datagram=self._at(name, 3),
            )
        return self

    async def __aexit__(self, *exception) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for host in self.hosts.values():
            host.crash()
        for link in self._links:
            link.stop()
        self.client.stop()
        self.store.stop()
        self._temporary.cleanup()
        (self._folder / "record.txt").write_text("\n".join(self._lines) + "\n")

    def record(self, event: str, **fields) -> None:
        """Add a line to the record, with the seconds since the start."""
        seconds = time.monotonic() - self._began
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._lines.append(f"{seconds:8.3f} {event} {text}".rstrip())

    # Addresses: the ports are the same on all machines.

    def _ip(self, name: str) -> str:
        kind, _, number = name.partition("-")
        return f"{self._net}.{(10 if kind == 'front' else 100) + int(number)}"

    def _zone_of(self, name: str) -> str:
        return self._zone_by_node.get(name, ZONE)

    def _at(self, name: str, offset: int) -> Endpoint:
        return (self._ip(name), self._base + offset)

    def _far(self, name: str) -> Endpoint:
        """Return the address under which agents reach a node over a far link."""
        return (f"{self._net}.{50 + int(name.partition('-')[2])}", self._base + 6)

    # The operator

    def configure(self, routes: dict[str, str | dict[str, int]]) -> int:
        """Write a newer configuration; the store's answer is the acknowledgement.

        Args:
            routes: The service of each route, or the weights of its services.
        """
        self._version += random.randint(1, 3)
        services = set()
        rows = []
        for name, target in routes.items():
            row = {
                "name": f"r-{name}",
                "host": self.routes[name][0],
                "prefix": f"/{self.routes[name][1]}/",
                "type": "unsafe",
                "timeout_ms": 4000,
                "target_latency_ms": 283,
                "priority": 1,
                "max_attempts": 2,
            }
            if isinstance(target, str):
                row["service"] = target
                services.add(target)
            else:
                row["backends"] = [
                    {"service": s, "weight": w} for s, w in target.items()
                ]
                services |= target.keys()
            rows.append(row)
        value = {
            "version": self._version,
            "routes": rows,
            "services": [
                {
                    "name": s,
                    "health_path": "/health",
                    "max_conns": 2000,
                    "protocol": "h1",
                    "tls": False,
                }
                for s in sorted(services)
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        self.store.put("op/config", json.dumps(value).encode())
        self.record("configuration acknowledged", version=self._version, routes=routes)
        return self._version

    # Hosts

    async def start_host(
        self,
        machine: str,
        service: str,
        *,
        cold_seconds: float = 0.0,
        control: Endpoint | None = None,
    ) -> Host:
        """Start a host on a machine; `control` is its way to the node there."""
        host = Host(
            name=machine,
            service=service,
            zone=self._zone_of(machine),
            app=self._at(machine, 4),
            outbound=self._at(machine, 5),
            control=control or self._at(machine, 2),
            cold_seconds=cold_seconds,
            record=self.record,
        )
        await host.start()
        self.hosts[machine] = host
        return host

    def control_of(self, machine: str) -> Endpoint:
        return self._at(machine, 2)

    def free_address(self, machine: str) -> Endpoint:
        """Return an address on a machine that no other part uses."""
        return self._at(machine, 6 + INTERNAL_PORTS)

    # Processes

    async def start_node(self, name: str, service: str = "") -> None:
        """Start the deploy file's program for a machine, as its `run` line has it."""
        kind = name.partition("-")[0]
        role = next(r for r in self._roles.values() if r["on"] == kind)
        path = Path(self._temporary.name) / f"{name}.toml"
        path.write_text(self._settings(name, kind, service))
        program, *arguments = role["run"].split(" ")
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment |= role.get("env", {})
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["MONSOONPIER_SETTINGS"] = str(path)
        log = (Path(self._temporary.name) / f"{name}.log").open("ab")
        self.processes[name] = await asyncio.create_subprocess_exec(
            program,
            *arguments,
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.started_at[name] = time.monotonic()
        self.record("process started", node=name)

    async def restart_node(self, name: str, service: str = "") -> None:
        """Stop a process with SIGTERM, and start it again when it has ended."""
        process = self.processes[name]
        self.record("SIGTERM", node=name)
        process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), BOUNDS["grace_s"])
        except TimeoutError:
            process.kill()
            await process.wait()
        self.record("process ended", node=name)
        await asyncio.sleep(RESTART_SECONDS)
        await self.start_node(name, service)

    def log_of(self, name: str) -> str:
        return (Path(self._temporary.name) / f"{name}.log").read_text()

    def copy_logs(self, folder: Path) -> None:
        """Copy the processes' logs, to look into a run by hand."""
        folder.mkdir(exist_ok=True)
        for path in Path(self._temporary.name).glob("*.log"):
            (folder / path.name).write_text(path.read_text())

    async def run_task(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)

    async def wait_until_ready(self) -> None:
        """Probe as the routers do until all entry VMs are in rotation.

        Raises:
            CannotRun: If that takes too long.
        """
        await self.run_task(self.router.run())
        until = time.monotonic() + START_SECONDS
        while not all(map(self.router.is_ready, self.router.ready_by_node)):
            if time.monotonic() > until:
                raise CannotRun("the entry VMs are not ready")
            await asyncio.sleep(0.05)

    def _settings(self, name: str, kind: str, service: str) -> str:
        ip = self._ip(name)

        def at(offset: int) -> str:
            return f"{ip}:{self._base + offset}"

        is_far = kind == "side" and self._has_far_seeds
        fronts = [f"front-{n}" for n in range(1, min(3, self._fronts) + 1)]
        ips = [self._far(n)[0] if is_far else self._ip(n) for n in fronts]
        seeds = [f"{ip}:{self._base + 2}" for ip in ips]
        serves = ["front", "control"] if kind == "front" else ["side"]
        lines = [
            f'node_name = "{name}"',
            f'role = "{kind}"',
            f'machine_class = "{kind}"',
            f"serves = {json.dumps(serves)}",
            f'ip = "{ip}"',
            f'zone = "{self._zone_of(name)}"',
            'region = "region-1"',
            f"internal_ports = [{self._base + 6}, {self._base + 5 + INTERNAL_PORTS}]",
            f"seeds = {json.dumps(seeds)}",
            "bootstrap = true",
            "loss_counts = false",
            'discovery = "local"',
            'entry = "announce"',
            "heartbeat_ms = 1200",
            'contracts = ["base","drain","config","cost","recover","flows","platform"]',
            'hash_fn = "mod"',
            'deployment_mode = "agent"',
        ]
        if kind == "side":
            lines += [f'app = "{at(4)}"', f'service = "{service}"']
        zones = sorted({ZONE, *self._zone_by_node.values()})
        lines += ["[zones]", *(f'{zone} = "region-1"' for zone in zones), "[listen]"]
        lines += [f'ready = "{at(1)}"', f'control = "{at(2)}"']
        lines += [f'datagram_addr = "{at(3)}"']
        if kind == "side":
            lines += [f'outbound = "{at(5)}"']
        lines += ["[limits]", "memory_mb = 300", "max_fds = 4100", "link_mbps = 1000.0"]
        lines += ["[fault_tolerance]", "machines = 1", "zones = 0", "regions = 0"]
        lines += ["[bounds]", *(f"{key} = {value}" for key, value in BOUNDS.items())]
        store = f"{self.store_address[0]}:{self.store_address[1]}"
        lines += ["[platform]", f'address = "{store}"', 'deployment_mode = "kv"']
        lines += ["writes_per_s = 400", "reads_per_s = 2000", "history_s = 20"]
        lines += ["value_bytes = 1048576", "min_ttl_ms = 1000"]
        return "\n".join(lines) + "\n"


def _free_ports(ip: str) -> int:
    """Return the first of a run of ports that are free on a loopback address."""
    for _ in range(100):
        base = random.randint(11_000, 30_000)
        if all(_is_free(ip, port) for port in range(base, base + 24)):
            return base
    raise CannotRun("no free ports")


def _is_free(ip: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


def has_trouble() -> bool:
    """Return whether this run has the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(play) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it can't run.

    Args:
        play: A coroutine function that returns the violations found.
    """
    try:
        violations = asyncio.run(play())
    except (CannotRun, OSError) as error:
        print(f"could not run: {error}")
        sys.exit(2)
    except (Exception, KeyboardInterrupt):
        traceback.print_exc()
        sys.exit(2)
    for violation in violations:
        print(f"broken: {violation}")
    print("the rule was broken" if violations else "the rule held")
    sys.exit(1 if violations else 0)
