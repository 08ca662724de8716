"""Runs a whole deployment on loopback, each part as a separate process."""

import asyncio
import json
import shutil
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from standins.processes import PYTHON, Node, kill_all, spawn

__all__ = ["Deployment", "Node"]

START_SECONDS = 15.0
POLL_SECONDS = 0.05
KEYS = [{"id": 1, "secret": "5f" * 32}]
SERVICE_PORTS = {"maps": 7001, "logs": 7002}


@dataclass(kw_only=True)
class Deployment:
    """A deployment on a /24 of loopback; an asynchronous context manager.

    Args:
        net: First three octets, such as ``127.81.1``; concurrent deployments
            need different ones.
        seed: Seed of the fabric's choice of balancers.
    """

    net: str
    seed: int = 0
    nodes_by_name: dict[str, Node] = field(default_factory=dict)
    folder: Path = field(init=False)
    _last_host: int = 10
    _http: aiohttp.ClientSession | None = None
    _ready_urls_by_ip: dict[str, str] = field(default_factory=dict)

    async def __aenter__(self) -> "Deployment":
        self.folder = Path(tempfile.mkdtemp(prefix="monsoonpier-"))
        timeout = aiohttp.ClientTimeout(total=5)
        self._http = aiohttp.ClientSession(timeout=timeout)
        return self

    async def __aexit__(self, *exception) -> None:
        await kill_all(list(self.nodes_by_name.values()))
        await self._http.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    # Addresses

    def address(self, service: str) -> str:
        """Return a service's virtual address, which the fabric serves."""
        return f"{self.net}.250:{SERVICE_PORTS[service]}"

    @property
    def platform_url(self) -> str:
        """The URL of the platform."""
        return f"http://{self.net}.1:2379"

    @property
    def fabric_url(self) -> str:
        """The URL of the fabric's control interface."""
        return f"http://{self.net}.2:2380"

    @property
    def records(self) -> Path:
        """The file to which all targets append their runs."""
        return self.folder / "runs.jsonl"

    def runs(self) -> list[dict]:
        """Return the runs that the targets have recorded."""
        if not self.records.exists():
            return []
        return [json.loads(line) for line in self.records.read_text().splitlines()]

    # Processes

    async def start_surroundings(self) -> None:
        """Start the platform and the fabric."""
        vips = [f"--vip={self.address(service)}" for service in SERVICE_PORTS]
        await asyncio.gather(
            self.start_platform(),
            self._start_stand_in(
                "fabric",
                "fabric",
                f"--listen={self.net}.2:2380",
                f"--seed={self.seed}",
                *vips,
                ready=f"{self.fabric_url}/standin/state",
                ip=f"{self.net}.2",
            ),
        )

    async def start_platform(self) -> Node:
        """Start the platform with an empty store."""
        return await self._start_stand_in(
            "platform",
            "platform",
            f"--listen={self.net}.1:2379",
            ready=f"{self.platform_url}/standin/calls",
            ip=f"{self.net}.1",
        )

    async def start_balancer(self, name: str, *, wait: bool = True, **settings) -> Node:
        """Start a balancer and add it to the fabric."""
        ip = self._allocate_ip()
        node = await self._start_process(
            "balancer", name, ip, wait=wait, service_bind_ip=ip, **settings
        )
        self._ready_urls_by_ip[ip] = f"http://{ip}:9002/readyz"
        await self._update_fabric()
        return node

    async def start_target(
        self, name: str, service: str, *options: str, slots: int = 3
    ) -> Node:
        """Start a target without its agent."""
        ip = self._allocate_ip()
        return await self._start_stand_in(
            f"target {name}",
            "target",
            f"--listen={ip}:8000",
            f"--name={name}",
            f"--service={service}",
            f"--slots={slots}",
            f"--records={self.records}",
            *options,
            ready=f"http://{ip}:8000/health",
            ip=ip,
        )

    async def start_agent(
        self,
        name: str,
        service: str,
        *,
        wait: bool = True,
        data_centre: str = "dc-1",
        slots: int = 3,
        **settings,
    ) -> Node:
        """Start the agent of the target with that name."""
        ip = self.nodes_by_name[f"target {name}"].ip
        target = {"service": service, "url": f"http://{ip}:8000", "slots": slots}
        return await self._start_process(
            "agent",
            name,
            ip,
            wait=wait,
            target=target,
            data_centre=data_centre,
            **settings,
        )

    async def start_pair(
        self, name: str, service: str, *options: str, **agent_options
    ) -> Node:
        """Start a target with ``options``, and its agent; return the agent."""
        await self.start_target(
            name, service, *options, slots=agent_options.get("slots", 3)
        )
        return await self.start_agent(name, service, **agent_options)

    async def shut_down_pair(self, name: str) -> int:
        """Shut down an agent, then its target; return the agent's exit status."""
        status = await self.nodes_by_name[name].stop()
        await self.nodes_by_name[f"target {name}"].stop()
        return status

    async def shut_down_balancer(self, name: str) -> int:
        """Shut down a balancer, remove it from the fabric; return its exit status."""
        node = self.nodes_by_name[name]
        status = await node.stop()
        self._ready_urls_by_ip.pop(node.ip, None)
        await self._update_fabric()
        return status

    async def run_operator_command(self, *arguments: str) -> tuple[int, str, str]:
        """Run an operator's command; return exit status, stdout and stderr."""
        settings = self._write_settings(
            "operator", "operator", platform=[self.platform_url]
        )
        process = await asyncio.create_subprocess_exec(
            PYTHON,
            "-m",
            "monsoonpier",
            *arguments,
            f"--settings={settings}",
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await process.communicate()
        return process.returncode, out.decode(), err.decode()

    def write_services(self, **changes) -> Path:
        """Write the service files of both services; return their folder."""
        folder = self.folder / "services"
        folder.mkdir(exist_ok=True)
        limits = {"cold_start_seconds": changes.get("cold_start_seconds", 3)}
        limits["queue_per_slot"] = changes.get("queue_per_slot", 4)
        maps = {
            "address": self.address("maps"),
            "targets": ["maps-*"],
            "prefer": changes.get("prefer", "any"),
            "kinds": {
                "map": {"stream": True},
                "reading": {"idempotent": True, "deadline_seconds": 2},
                "top-up": {"idempotent": False},
            },
            "limits": limits,
        }
        logs = {
            "address": self.address("logs"),
            "targets": ["logs-*"],
            "prefer": "any",
            "kinds": {"log": {"idempotent": False, "deadline_seconds": 60}},
            "limits": limits,
        }
        # JSON is valid YAML.
        for name, service in (("maps", maps), ("logs", logs)):
            text = json.dumps({"services": {name: service}}, indent=1)
            (folder / f"{name}.yaml").write_text(text)
        return folder

    async def set_faults(self, url: str, **faults) -> None:
        """Set faults of the test double at ``url``."""
        async with self._http.post(f"{url}/standin/faults", json=faults) as response:
            response.raise_for_status()

    async def set_target_faults(self, name: str, **faults) -> None:
        """Set faults of a target."""
        ip = self.nodes_by_name[f"target {name}"].ip
        await self.set_faults(f"http://{ip}:8000", **faults)

    async def metrics(self, name: str) -> dict[str, float]:
        """Return a process's metrics by name with labels."""
        ip = self.nodes_by_name[name].ip
        async with self._http.get(f"http://{ip}:9002/metrics") as response:
            text = await response.text()
        lines = (line for line in text.splitlines() if not line.startswith("#"))
        pairs = (line.rsplit(" ", 1) for line in lines)
        return {key: float(value) for key, value in pairs}

    async def is_ready(self, name: str) -> bool:
        """Return whether a process reports that it is ready."""
        ip = self.nodes_by_name[name].ip
        return await self._responds_ok(f"http://{ip}:9002/readyz")

    async def wait_ready(self, *names: str) -> None:
        """Wait until all these processes are ready."""
        for name in names:
            ip = self.nodes_by_name[name].ip
            await self._wait_for(f"http://{ip}:9002/readyz", name)

    def _allocate_ip(self) -> str:
        self._last_host += 1
        return f"{self.net}.{self._last_host}"

    async def _update_fabric(self) -> None:
        url = f"{self.fabric_url}/standin/balancers"
        async with self._http.post(url, json=self._ready_urls_by_ip) as response:
            response.raise_for_status()

    async def _start_stand_in(
        self, name: str, kind: str, *arguments: str, ready: str, ip: str
    ) -> Node:
        node = await self._spawn(name, ip, "-m", "standins", kind, *arguments)
        await self._wait_for(ready, name)
        return node

    async def _start_process(
        self, role: str, name: str, ip: str, *, wait: bool, **settings
    ) -> Node:
        file = self._write_settings(
            role,
            name,
            internal=f"{ip}:9000",
            control=f"{ip}:9001",
            metrics=f"{ip}:9002",
            **({"platform": [self.platform_url]} | settings),
        )
        node = await self._spawn(name, ip, "-m", "monsoonpier", role, str(file))
        if wait:
            await self._wait_for(f"http://{ip}:9002/healthz", name)
        return node

    def _write_settings(self, role: str, name: str, **settings) -> Path:
        content = {"role": role, "name": name, "data_centre": "dc-1", "keys": KEYS}
        file = self.folder / f"{role}-{name}.yaml"
        file.write_text(json.dumps(content | settings))
        return file

    async def _spawn(self, name: str, ip: str, *arguments: str) -> Node:
        node = await spawn(name, *arguments, ip=ip, folder=self.folder)
        self.nodes_by_name[name] = node
        return node

    async def _wait_for(self, url: str, name: str) -> None:
        node = self.nodes_by_name[name]
        try:
            async with asyncio.timeout(START_SECONDS):
                while not await self._responds_ok(url):
                    if node.process.returncode is not None:
                        break
                    await asyncio.sleep(POLL_SECONDS)
                else:
                    return
        except TimeoutError:
            pass
        raise RuntimeError(f"{name} did not start: {node.log.read_text()[-2000:]}")

    async def _responds_ok(self, url: str) -> bool:
        try:
            async with self._http.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False
