"""The process of a balancer of flows with tokens: its sockets and tasks."""

import asyncio
import random
import time
from collections import Counter
from functools import partial

import structlog

from monsoonpier.balancer.actions import ToAgent, ToCaller
from monsoonpier.balancer.node import BalancerNode, balancer_record
from monsoonpier.balancer.tokens.decision import Balancer
from monsoonpier.link.schedule import Urgency
from monsoonpier.link.sender import LinkSender
from monsoonpier.model.settings import Settings
from monsoonpier.process.lifecycle import ProcessLifecycle, run_until_shutdown
from monsoonpier.process.metrics import counter, gauge
from monsoonpier.process.udp import UdpSocket, open_udp
from monsoonpier.process.web import WebServer
from monsoonpier.store.etcd import EtcdStore

__all__ = ["BalancerProcess"]

BIND_RETRY_SECONDS = 1.0
QUIET_SECONDS = 1.0  # without packets of callers, after which shutdown is complete
LEAVE_SECONDS = 10.0  # limit of a shutdown, even if packets still arrive
_log = structlog.get_logger("monsoonpier.balancer.tokens.process")


class BalancerProcess:
    """Runs one balancer until its shutdown is complete."""

    def __init__(self, *, settings: Settings) -> None:
        assert settings.internal and settings.control and settings.metrics
        self._settings = settings
        self._draw = random.Random()
        self._lifecycle = ProcessLifecycle()
        self._started = time.monotonic()
        self._balancer = Balancer(
            own=balancer_record(settings),
            keys=settings.keys,
            started_at=self._started,
            configuration_seconds=settings.configuration_seconds,
        )
        self._store = EtcdStore(addresses=settings.platform, draw=self._draw)
        self._rebind = asyncio.Event()
        self._sender = LinkSender(bits_per_second=settings.link_bits_per_second)
        self._node = BalancerNode(
            settings=settings,
            membership=self._balancer.membership,
            life=self._lifecycle,
            sender=self._sender,
            store=self._store,
            take_frame=self._receive_frame,
            on_configured=self._rebind.set,
            draw=self._draw,
        )
        self._sockets_by_service: dict[str, UdpSocket] = {}
        self._web = WebServer(
            address=settings.metrics,
            read_metrics=self._metrics,
            is_ready=lambda: self._lifecycle.is_ready,
        )
        self._last_packet_at = 0.0

    async def run(self) -> None:
        """Serve until shutdown is requested and traffic has moved away.

        Raises:
            OSError: If a port is taken.
        """
        await self._node.start()
        await self._web.start()
        self._lifecycle.install_signals()
        _log.info("started")
        jobs = (*self._node.jobs, self._bind_forever)
        await run_until_shutdown(self._shut_down_on_request, jobs)
        await self._stop()

    async def _shut_down_on_request(self) -> None:
        """Wait for a shutdown request; leave, and wait until packets stop arriving."""
        await self._lifecycle.wait_for_shutdown()
        began = _now()
        await self._node.leave()
        while _now() - began < LEAVE_SECONDS:
            await asyncio.sleep(0.1)
            if _now() - max(self._last_packet_at, began) > QUIET_SECONDS:
                break
        self._lifecycle.step("finished")

    async def _stop(self) -> None:
        await self._web.stop()
        for socket in self._sockets_by_service.values():
            socket.close()
        await self._node.stop()
        _log.info("stopped")

    # Packets and frames

    def _receive_packet(
        self, service: str, data: bytes, sender: tuple[str, int]
    ) -> None:
        now = _now()
        self._last_packet_at = now
        action = self._balancer.from_caller(
            data, caller=sender, service=service, now=now, draw=self._draw
        )
        if action is not None:
            self._execute(action)

    def _receive_frame(self, frame, sender: tuple[str, int]) -> None:
        actions = self._balancer.from_process(
            frame, sender=sender, now=_now(), draw=self._draw
        )
        for action in actions:
            self._execute(action)

    def _execute(self, action) -> None:
        """Send what an action contains."""
        match action:
            case ToAgent(endpoint=endpoint, frame=frame):
                self._node.send(frame, endpoint, is_control=False)
            case ToCaller(service=service, endpoint=endpoint, payload=payload):
                socket = self._sockets_by_service.get(service)
                if socket is not None:
                    urgency = Urgency.by_size(len(payload))
                    self._sender.send(socket, payload, endpoint, urgency=urgency)

    # Service sockets

    async def _bind_forever(self) -> None:
        """Keep a socket bound to each service's address; retry ports in use."""
        while True:
            await self._rebind.wait()
            self._rebind.clear()
            if await self._bind_all():
                self._lifecycle.step("configured")
                continue
            await asyncio.sleep(BIND_RETRY_SECONDS)
            self._rebind.set()

    async def _bind_all(self) -> bool:
        """Bind and close sockets as configured; return whether all are bound."""
        services = self._balancer.configuration.services_by_name
        endpoints = {
            name: self._bind_address(service.address)
            for name, service in services.items()
        }
        for name, socket in list(self._sockets_by_service.items()):
            if endpoints.get(name) != socket.address.endpoint:
                socket.close()
                del self._sockets_by_service[name]
        complete = True
        for name, (ip, port) in endpoints.items():
            if name in self._sockets_by_service:
                continue
            receive = partial(self._receive_packet, name)
            try:
                self._sockets_by_service[name] = await open_udp(
                    receive, ip=ip, port=port
                )
            except OSError as error:
                complete = False
                _log.error("service not bound", service=name, reason=str(error))
        return complete

    def _bind_address(self, address) -> tuple[str, int]:
        return (self._settings.service_bind_ip or address.ip, address.port)

    def _metrics(self):
        balancer = self._balancer
        uptime = _now() - self._started
        yield gauge("uptime_seconds", "Seconds since start.", uptime)
        yield gauge("targets", "Known targets.", len(balancer.table))
        yield gauge(
            "stored_state_age_seconds",
            "Seconds since the stored state was last known to be in force here.",
            self._balancer.membership.freshness.age(now=_now()),
        )
        yield gauge(
            "balancers", "Known balancers.", len(balancer.peers.records_by_name)
        )
        yield gauge(
            "configuration_version",
            "Version of the configuration in force.",
            balancer.configuration.version,
        )
        forwarded = {"to_agents": balancer.forwarded, "to_callers": balancer.returned}
        yield counter(
            "passed_datagrams", "Forwarded datagrams.", forwarded, "direction"
        )
        yield counter(
            "opens", "Placement decisions.", balancer.opens_by_result, "result"
        )
        drops = balancer.dropped_by_reason + Counter(self._node.dropped_by_reason)
        yield counter("dropped_datagrams", "Dropped datagrams.", drops, "reason")
        control = self._node.bytes_by_direction
        yield from self._sender.metrics
        yield counter(
            "control_bytes", "Bytes of control traffic.", control, "direction"
        )
        calls = {"all": self._store.calls}
        yield counter("platform_calls", "Calls to the platform.", calls, "kind")


def _now() -> float:
    return time.monotonic()
