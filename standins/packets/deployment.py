"""Runs a deployment for flows without a token as processes on loopback."""

import asyncio
import json
import random
import shutil
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
from aiohttp import web

from monsoonpier.model.address import Address
from standins.packets.caller import PacketCaller
from standins.packets.store import StoreStandIn
from standins.packets.target import PacketTarget
from standins.processes import Node, kill_all, spawn
from standins.proxy import LinkFaults, TcpProxy, UdpProxy

__all__ = ["SERVICES", "Links", "PacketDeployment"]

KEY = "5f" * 32
STORE_PORT = 8169
READY_PORT = 8167
CONTROL_PORT = 8166
PACKET_PORT = 8172
OUTBOUND_PORT = 8162
APP_PORT = 8165
STORE_PROXY_PORT = 8170  # between a process and the store
APP_PROXY_PORT = 8164  # between an agent and its target
METRICS_PORT = 9464
FIRST_INTERNAL_PORT = 7720
START_SECONDS = 15.0
SERVICES = {"maps": ("198.18.0.1", 8443), "logs": ("198.18.0.2", 8443)}
MAX_SEEDS = 3


class Links:
    """Proxies between a process and the store, and between an agent and its target.

    Attributes:
        store: Proxy to the store.
        target_faults: Faults of the link to the target.
    """

    def __init__(self, *, ip: str, store: Address, draw: random.Random) -> None:
        store_proxy = Address(ip=ip, port=STORE_PROXY_PORT)
        self.store = TcpProxy(address=store_proxy, server=store)
        self.target_faults = LinkFaults()
        target_proxy = Address(ip=ip, port=APP_PROXY_PORT)
        target = Address(ip=ip, port=APP_PORT)
        self._connections = TcpProxy(
            address=target_proxy, server=target, faults=self.target_faults
        )
        self._packets = UdpProxy(
            address=target_proxy,
            server=target,
            faults=self.target_faults,
            draw=draw,
        )

    async def start(self) -> None:
        """Start all proxies.

        Raises:
            OSError: If a port is in use.
        """
        await self.store.start()
        await self._connections.start()
        await self._packets.start()

    async def stop(self) -> None:
        """Stop all proxies."""
        await self.store.stop()
        await self._connections.stop()
        self._packets.stop()

    def clear(self) -> None:
        """Remove all faults."""
        self.store.faults.clear()
        self.target_faults.clear()


@dataclass(kw_only=True)
class PacketDeployment:
    """A deployment on a /24 of loopback; an asynchronous context manager.

    Balancers and agents are processes. The store, the targets and the callers run
    in this process, so that tests can set their faults and read their records.

    Attributes:
        net: First three octets of the addresses.
        seed: Seed of all random choices.
        has_proxies: Whether processes reach the store and their targets through
            the proxies in ``links_by_name``.
        zones: Names of all data centres, as in the settings.
        clock_offsets_by_name: Offset in seconds of a process's wall clock from its
            next start on.
        version: Version of the last configuration written.
    """

    net: str
    seed: int = 0
    has_proxies: bool = False
    links_by_name: dict[str, "Links"] = field(default_factory=dict)
    zones: tuple[str, ...] = ("dc-1",)
    clock_offsets_by_name: dict[str, float] = field(default_factory=dict)
    nodes_by_name: dict[str, Node] = field(default_factory=dict)
    targets_by_name: dict[str, PacketTarget] = field(default_factory=dict)
    store: StoreStandIn = field(init=False)
    folder: Path = field(init=False)
    version: int = 0
    _ips_by_name: dict[str, str] = field(default_factory=dict)
    _tasks_by_name: dict[str, asyncio.Task] = field(default_factory=dict)
    _seeds: list[str] = field(default_factory=list)
    _last_host: int = 10

    async def __aenter__(self) -> "PacketDeployment":
        self.folder = Path(tempfile.mkdtemp(prefix="monsoonpier-"))
        self.store = StoreStandIn(seed=self.seed)
        self._runner = web.AppRunner(self.store.application(), shutdown_timeout=0.01)
        await self._runner.setup()
        await web.TCPSite(self._runner, f"{self.net}.1", STORE_PORT).start()
        self._http = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=2))
        self.caller = PacketCaller(
            ip=f"{self.net}.5",
            port=PACKET_PORT,
            balancers=[],
            draw=random.Random(self.seed),
        )
        self.caller.start()
        return self

    async def __aexit__(self, *exception) -> None:
        self.caller.close()
        await kill_all(list(self.nodes_by_name.values()))
        for links in self.links_by_name.values():
            await links.stop()
        for task in self._tasks_by_name.values():
            task.cancel()
        await asyncio.gather(*self._tasks_by_name.values(), return_exceptions=True)
        await self._http.close()
        await self._runner.cleanup()
        shutil.rmtree(self.folder, ignore_errors=True)

    # Configuration

    def configure(
        self, *services: str, routes: int = 0, shares: dict[str, int] | None = None
    ) -> int:
        """Write a newer configuration to the store; return its version.

        Args:
            services: Services whose address gets a route; all if none is given.
            routes: Number of additional routes, which no caller uses.
            shares: Weights of the services that share the first route.
        """
        self.version += random.Random(self.seed + self.version).randint(1, 3)
        with_callers = [
            self._route(f"r-{name}", *SERVICES[name], service=name)
            for name in services or SERVICES
        ]
        idle = [
            self._route(f"r-{n}", "198.18.9.9", 10_000 + n, service="maps")
            for n in range(routes)
        ]
        if shares:
            del with_callers[0]["service"]
            with_callers[0]["backends"] = [
                {"service": name, "weight": weight} for name, weight in shares.items()
            ]
        body = {"version": self.version, "routes": with_callers + idle, "services": []}
        self.store.put("op/config", json.dumps(body).encode())
        return self.version

    def _route(self, name: str, host: str, port: int, *, service: str) -> dict:
        return {
            "name": name,
            "host": host,
            "prefix": f"/{port}/",
            "service": service,
            "type": "safe",
            "timeout_ms": 3000,
            "target_latency_ms": 300,
            "priority": 1,
            "max_attempts": 2,
        }

    # Processes

    async def start_balancer(
        self, name: str, *, wait: bool = True, link_megabits: float | None = None
    ) -> Node:
        """Start a balancer; the first few become seeds in others' settings.

        Args:
            name: The balancer's name.
            wait: Whether to wait until it is ready and add it to the rotation.
            link_megabits: Link rate in its settings, in Mbit/s.
        """
        ip = self.ip(name)
        if len(self._seeds) < MAX_SEEDS and ip not in self._seeds:
            self._seeds.append(ip)
        settings = {} if link_megabits is None else {"link_megabits": link_megabits}
        node = await self._start("balancer", name, settings)
        if wait:
            await self.wait_ready(name)
            self.update_rotation(name)
        return node

    async def start_pair(
        self, name: str, service: str, *, slots: int = 3, zone: str = "dc-1"
    ) -> Node:
        """Start a target and its agent; return the agent."""
        self.start_target(name, service, slots=slots)
        return await self.start_agent(name, service, zone=zone)

    def start_target(self, name: str, service: str, *, slots: int = 3) -> None:
        """Start a target, which sends heartbeats to its agent."""
        ip = self.ip(name)
        target = PacketTarget(
            service=service,
            app=Address(ip=ip, port=APP_PORT),
            outbound=Address(ip=ip, port=OUTBOUND_PORT),
            control=Address(ip=ip, port=CONTROL_PORT),
            slots=slots,
        )
        self.targets_by_name[name] = target
        self._tasks_by_name[name] = asyncio.create_task(target.run())

    async def stop_target(self, name: str) -> None:
        """Stop a target without a drain, as in a crash."""
        task = self._tasks_by_name.pop(name)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def start_agent(self, name: str, service: str, *, zone: str = "dc-1") -> Node:
        """Start the agent of the target with that name."""
        ip = self.ip(name)
        settings = {
            "app": f"{ip}:{APP_PROXY_PORT if self.has_proxies else APP_PORT}",
            "service": service,
            "zone": zone,
            "outbound": f"{ip}:{OUTBOUND_PORT}",
        }
        return await self._start("agent", name, settings)

    def update_rotation(self, *names: str, out: bool = False) -> None:
        """Add balancers to the fabric's rotation, or remove them if ``out``."""
        for name in names:
            endpoint = (self.ip(name), PACKET_PORT)
            present = endpoint in self.caller.balancers
            if out and present:
                self.caller.balancers.remove(endpoint)
            elif not out and not present:
                self.caller.balancers.append(endpoint)

    async def wait_ready(self, *names: str) -> None:
        """Wait until all these processes are ready.

        Raises:
            RuntimeError: If one times out; the message ends with the end of its log.
        """
        for name in names:
            try:
                async with asyncio.timeout(START_SECONDS):
                    while not await self.is_ready(name):
                        await asyncio.sleep(0.05)
            except TimeoutError:
                log = self.nodes_by_name[name].log.read_text()[-2000:]
                raise RuntimeError(f"{name} is not ready: {log}") from None

    async def is_ready(self, name: str) -> bool:
        """Return whether a process reports that it is ready."""
        url = f"http://{self.ip(name)}:{READY_PORT}/monsoonpier/ready"
        try:
            async with self._http.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def metric(self, name: str, metric: str) -> float | None:
        """Return a metric of a process, or ``None`` if it is unavailable."""
        url = f"http://{self.ip(name)}:{METRICS_PORT}/metrics"
        try:
            async with self._http.get(url) as response:
                text = await response.text()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
        values = dict(line.rsplit(" ", 1) for line in text.splitlines() if line)
        return float(values[metric]) if metric in values else None

    def ip(self, name: str) -> str:
        """Return a process's IP address, which stays the same across restarts."""
        if name not in self._ips_by_name:
            self._last_host += 1
            self._ips_by_name[name] = f"{self.net}.{self._last_host}"
        return self._ips_by_name[name]

    async def _start(self, role: str, name: str, settings: dict) -> Node:
        if self.has_proxies and name not in self.links_by_name:
            await self._start_proxies(name)
        file = self._write_settings(name, **settings)
        offset = self.clock_offsets_by_name.get(name, 0.0)
        clock_offset = ("standins.stepped", str(offset)) if offset else ()
        node = await spawn(
            name,
            "-m",
            *clock_offset,
            "monsoonpier.platform",
            role,
            ip=self.ip(name),
            folder=self.folder,
            MONSOONPIER_SETTINGS=str(file),
            FRAME_KEY=KEY,
        )
        self.nodes_by_name[name] = node
        return node

    async def _start_proxies(self, name: str) -> None:
        ip = self.ip(name)
        links = Links(
            ip=ip,
            store=Address(ip=f"{self.net}.1", port=STORE_PORT),
            draw=random.Random(f"{self.seed} {name}"),
        )
        await links.start()
        self.links_by_name[name] = links

    def _write_settings(
        self,
        name: str,
        *,
        app: str = "",
        service: str = "",
        zone: str = "dc-1",
        outbound: str = "",
        link_megabits: float | None = None,
    ) -> Path:
        ip = self.ip(name)
        seeds = [f"{seed}:{CONTROL_PORT}" for seed in self._seeds]
        store = f"{self.net}.1:{STORE_PORT}"
        if self.has_proxies:
            store = f"{ip}:{STORE_PROXY_PORT}"
        lines = [
            f'node_name = "{name}"',
            f'ip = "{ip}"',
            f'zone = "{zone}"',
            f"internal_ports = [{FIRST_INTERNAL_PORT}, {FIRST_INTERNAL_PORT + 15}]",
            f"seeds = {json.dumps(seeds)}",
            f'app = "{app}"' if app else "",
            f'service = "{service}"' if service else "",
            "[listen]",
            f'ready = "{ip}:{READY_PORT}"',
            f'control = "{ip}:{CONTROL_PORT}"',
            f'datagram_addr = "{ip}:{PACKET_PORT}"',
            f'outbound = "{outbound}"' if outbound else "",
            "[platform]",
            f'address = "{store}"',
            "[limits]" if link_megabits else "",
            f"link_mbps = {link_megabits}" if link_megabits else "",
            "[zones]",
            *(f'{zone} = "region-1"' for zone in self.zones),
        ]
        file = self.folder / f"{name}.toml"
        file.write_text("\n".join(lines))
        return file
