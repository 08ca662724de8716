"""A test double of the fabric: forwards each packet to a random balancer."""

import asyncio
import random
import time
from dataclasses import dataclass
from functools import partial

import aiohttp
from aiohttp import web

from monsoonpier.model.address import Address
from monsoonpier.process.udp import UdpSocket, open_udp

__all__ = ["FabricStandIn"]

CHECK_SECONDS = 0.2  # interval of health checks
FAILED_CHECKS = 2  # in a row, until a balancer is excluded
MAX_CALLERS = 4_000


@dataclass(slots=True, kw_only=True)
class Faults:
    """Faults of the fabric: shares of packets affected, and a delay in seconds."""

    duplicate: float = 0.0
    drop: float = 0.0
    reorder: float = 0.0
    delay_seconds: float = 0.0


@dataclass(slots=True, kw_only=True)
class _Balancer:
    ip: str
    ready_url: str
    failed_checks: int = 0

    @property
    def is_used(self) -> bool:
        return self.failed_checks < FAILED_CHECKS


class FabricStandIn:
    """Forwards packets between callers and balancers, with address translation.

    Balancers see each caller under a port of its own on loopback. Packets of one
    flow may reach different balancers.
    """

    def __init__(self, *, vips: tuple[Address, ...], draw: random.Random) -> None:
        self._vips = vips
        self._draw = draw
        self._sockets: dict[Address, UdpSocket] = {}
        self._callers: dict[tuple[Address, tuple[str, int]], UdpSocket] = {}
        self._pending_by_key: dict[tuple[Address, tuple[str, int]], list[bytes]] = {}
        self._balancers_by_ip: dict[str, _Balancer] = {}
        self._tasks: set[asyncio.Task] = set()
        self.faults = Faults()
        self.packets = 0

    async def start(self) -> None:
        """Bind every virtual address and start the health checks."""
        for vip in self._vips:
            receive = partial(self._handle_caller_packet, vip)
            self._sockets[vip] = await open_udp(receive, ip=vip.ip, port=vip.port)
        self._spawn(self._run_health_checks())

    def application(self) -> web.Application:
        """Return the web application that controls the fabric."""
        app = web.Application()
        app.router.add_post("/standin/balancers", self._set_balancers)
        app.router.add_post("/standin/faults", self._set_faults)
        app.router.add_get("/standin/state", self._state)
        return app

    def set_balancers(self, ready_urls_by_ip: dict[str, str]) -> None:
        """Replace the balancers; those already present keep their health state."""
        self._balancers_by_ip = {
            ip: self._balancers_by_ip.get(ip) or _Balancer(ip=ip, ready_url=url)
            for ip, url in ready_urls_by_ip.items()
        }

    def _handle_caller_packet(
        self, vip: Address, data: bytes, caller: tuple[str, int]
    ) -> None:
        self.packets += 1
        key = (vip, caller)
        upstream = self._callers.get(key)
        if upstream is not None:
            self._send_with_faults(
                partial(self._forward_to_random_balancer, upstream, vip, data)
            )
        elif key in self._pending_by_key:
            self._pending_by_key[key].append(data)
        elif len(self._callers) < MAX_CALLERS:
            self._pending_by_key[key] = [data]
            self._spawn(self._open_upstream(key))

    async def _open_upstream(self, key) -> None:
        """Open a caller's socket towards balancers and forward its pending packets."""
        vip, caller = key
        upstream = await open_udp(
            partial(self._forward_to_caller, vip, caller), ip="127.0.0.1", port=0
        )
        self._callers[key] = upstream
        for data in self._pending_by_key.pop(key):
            self._send_with_faults(
                partial(self._forward_to_random_balancer, upstream, vip, data)
            )

    def _forward_to_random_balancer(
        self, upstream: UdpSocket, vip: Address, data: bytes
    ) -> None:
        used = [b for b in self._balancers_by_ip.values() if b.is_used]
        if used:
            upstream.send(data, (self._draw.choice(used).ip, vip.port))

    def _forward_to_caller(
        self, vip, caller, data: bytes, sender: tuple[str, int]
    ) -> None:
        self._send_with_faults(partial(self._sockets[vip].send, data, caller))

    def _send_with_faults(self, send) -> None:
        """Call ``send`` zero to two times, at once or later, as the faults demand."""
        faults, draw = self.faults, self._draw
        if faults.drop and draw.random() < faults.drop:
            return
        copies = 2 if faults.duplicate and draw.random() < faults.duplicate else 1
        for _ in range(copies):
            delay = faults.delay_seconds
            if faults.reorder and draw.random() < faults.reorder:
                delay += draw.uniform(0, 0.02)
            if delay:
                asyncio.get_running_loop().call_later(delay, send)
            else:
                send()

    async def _run_health_checks(self) -> None:
        """Check balancers' readiness at an interval; those that fail are excluded."""
        timeout = aiohttp.ClientTimeout(total=0.5)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.gather(
                    *(self._check(session, b) for b in self._balancers_by_ip.values())
                )
                await asyncio.sleep(CHECK_SECONDS)

    async def _check(self, session: aiohttp.ClientSession, balancer) -> None:
        try:
            async with session.get(balancer.ready_url) as response:
                ok = response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            ok = False
        balancer.failed_checks = 0 if ok else balancer.failed_checks + 1

    async def _set_balancers(self, request: web.Request) -> web.Response:
        self.set_balancers(await request.json())
        return web.json_response({"balancers": len(self._balancers_by_ip)})

    async def _set_faults(self, request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            setattr(self.faults, name, value)
        return web.json_response({"ok": True})

    async def _state(self, request: web.Request) -> web.Response:
        used = [b.ip for b in self._balancers_by_ip.values() if b.is_used]
        return web.json_response(
            {"used": used, "packets": self.packets, "at": time.time()}
        )

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
