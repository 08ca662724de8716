"""The balancer's process: sockets, tasks and timers around the decisions."""

import asyncio
import random
import time
from functools import partial

import structlog

from monsoonpier.balancer.decision import (
    Balancer,
    FetchConfiguration,
    FetchTable,
    ToAgent,
    ToCaller,
)
from monsoonpier.balancer.store_link import StoreLink
from monsoonpier.documents.settings import Settings
from monsoonpier.documents.stored import pack, unpack, unstore
from monsoonpier.process.control import ControlServer, NoAnswer, ask
from monsoonpier.process.life import ProcessLife
from monsoonpier.process.udp import UdpSocket, open_udp
from monsoonpier.process.web import WebServer, counter, gauge
from monsoonpier.store.etcd import EtcdStore
from monsoonpier.wire.codec import Dropped
from monsoonpier.wire.control import (
    AskConfiguration,
    AskDrain,
    AskStatus,
    AskTable,
    ConfigurationReply,
    DrainReply,
    StatusReply,
    TableReply,
    TargetStatus,
)
from monsoonpier.wire.frames import (
    BalancerRecord,
    Bounce,
    Forward,
    FrameCodec,
    Return,
)

__all__ = ["BalancerProcess"]

GOSSIP_SECONDS = 1.0
NEWS_CHECK_SECONDS = 0.1
BIND_RETRY_SECONDS = 1.0
QUIET_SECONDS = 1.0  # a leaving balancer that has passed nothing this long may stop
LEAVE_SECONDS = 10.0  # by now the fabric must have noticed
_log = structlog.get_logger("monsoonpier.balancer.process")


class BalancerProcess:
    """Runs one balancer until it has left."""

    def __init__(self, *, settings: Settings) -> None:
        assert settings.internal and settings.control and settings.metrics
        self._settings = settings
        self._draw = random.Random()
        self._life = ProcessLife()
        self._started = time.monotonic()
        own = BalancerRecord(
            name=settings.name,
            data_centre=settings.data_centre,
            ip=settings.internal.ip,
            port=settings.internal.port,
            control=str(settings.control),
            epoch=int(time.time() * 1000),
        )
        self._balancer = Balancer(own=own, keys=settings.keys)
        self._codec = FrameCodec(keys=settings.keys)
        self._platform = EtcdStore(addresses=settings.platform, draw=self._draw)
        self._link = StoreLink(
            platform=self._platform,
            peers=self._balancer.peers,
            codec=self._codec,
            configure=self._configure,
            draw=self._draw,
        )
        self._internal: UdpSocket | None = None
        self._sockets_by_service: dict[str, UdpSocket] = {}
        self._value = b""
        self._packed_by_service: dict[str, bytes] = {}
        self._control = ControlServer(
            address=settings.control, keys=settings.keys, handler=self._answer
        )
        self._web = WebServer(
            address=settings.metrics,
            read_metrics=self._metrics,
            is_ready=lambda: self._life.is_ready,
        )
        self._control_bytes = {"in": 0, "out": 0}
        self._last_passed = 0.0
        self._fetching_by_kind: dict[type, asyncio.Task] = {}
        self._rebind = asyncio.Event()

    async def run(self) -> None:
        """Serve until asked to leave and traffic has moved.

        Raises:
            OSError: If a port is taken.
        """
        internal = self._settings.internal
        self._internal = await open_udp(
            self._receive_frame, ip=internal.ip, port=internal.port
        )
        self._control.start()
        await self._web.start()
        self._life.install_signals()
        _log.info("started")
        tasks = [
            asyncio.create_task(job())
            for job in (
                self._control.run,
                self._gossip_forever,
                self._bind_forever,
                self._link.run,
            )
        ]
        waiting = asyncio.create_task(self._leave_and_finish())
        done, _ = await asyncio.wait(
            [waiting, *tasks], return_when=asyncio.FIRST_COMPLETED
        )
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._stop()
        for task in done:
            task.result()

    async def _leave_and_finish(self) -> None:
        await self._life.wait_for_leaving()
        began = _now()
        self._balancer.peers.leave()
        await self._link.leave()
        self._send_round(eager=True)
        while _now() - began < LEAVE_SECONDS:
            await asyncio.sleep(0.1)
            if _now() - max(self._last_passed, began) > QUIET_SECONDS:
                break
        self._life.step("finished")

    async def _stop(self) -> None:
        await self._platform.close()
        await self._web.stop()
        self._control.stop()
        for socket in self._sockets_by_service.values():
            socket.close()
        self._internal.close()
        _log.info("stopped")

    # Datagrams

    def _receive_packet(
        self, service: str, data: bytes, sender: tuple[str, int]
    ) -> None:
        now = _now()
        self._last_passed = now
        action = self._balancer.from_caller(
            data, caller=sender, service=service, now=now, draw=self._draw
        )
        if action is not None:
            self._do(action)

    def _receive_frame(self, data: bytes, sender: tuple[str, int]) -> None:
        frame = self._codec.decode(data)
        if isinstance(frame, Dropped):
            self._balancer.dropped_by_reason[frame.reason] += 1
            return
        if not isinstance(frame, Return | Bounce):
            self._control_bytes["in"] += len(data)
        actions = self._balancer.from_process(
            frame, sender=sender, now=_now(), draw=self._draw
        )
        for action in actions:
            self._do(action)

    def _do(self, action) -> None:
        match action:
            case ToAgent(endpoint=endpoint, frame=frame):
                data = self._codec.encode(frame)
                if not isinstance(frame, Forward):
                    self._control_bytes["out"] += len(data)
                self._internal.send(data, endpoint)
            case ToCaller(service=service, endpoint=endpoint, payload=payload):
                socket = self._sockets_by_service.get(service)
                if socket is not None:
                    socket.send(payload, endpoint)
            case FetchConfiguration() | FetchTable():
                self._fetch(action)

    async def _gossip_forever(self) -> None:
        """Gossip now and then, and at once when there is news."""
        while True:
            self._send_round(eager=False)
            until = _now() + GOSSIP_SECONDS * self._draw.uniform(0.8, 1.2)
            while _now() < until:
                await asyncio.sleep(NEWS_CHECK_SECONDS)
                if self._balancer.has_news:
                    self._send_round(eager=True)

    def _send_round(self, *, eager: bool) -> None:
        for action in self._balancer.round(now=_now(), draw=self._draw, eager=eager):
            data = self._codec.encode(action.frame)
            self._control_bytes["out"] += len(data)
            self._internal.send(data, action.endpoint)
        if not len(self._balancer.table):
            self._greet_seeds()

    def _greet_seeds(self) -> None:
        """Tell the seeds of this balancer while it knows nothing."""
        for seed in self._settings.seeds:
            if seed != self._settings.internal:
                self._do(self._balancer.greeting(seed.endpoint, draw=self._draw))

    # Asking peers

    def _fetch(self, action: FetchConfiguration | FetchTable) -> None:
        kind = type(action)
        running = self._fetching_by_kind.get(kind)
        if running is None or running.done():
            self._fetching_by_kind[kind] = asyncio.create_task(self._ask(action))

    async def _ask(self, action: FetchConfiguration | FetchTable) -> None:
        match action:
            case FetchConfiguration():
                version = self._balancer.configuration.version
                question = AskConfiguration(newer_than=version)
            case FetchTable():
                question = AskTable(digests=self._balancer.table.bucket_digests)
        try:
            reply = await ask(action.control, question, keys=self._settings.keys)
        except NoAnswer as error:
            _log.info("peer did not answer", reason=str(error))
            return
        match reply:
            case ConfigurationReply(packed=packed) if packed:
                self._configure_packed(packed)
            case TableReply(records=records, balancers=balancers):
                for record in records:
                    self._balancer.table.learn(record, now=_now())
                for balancer in balancers:
                    self._balancer.peers.learn(balancer)

    # Configuration

    def _packed(self, service: str) -> bytes:
        """Return what a peer (no service named) or an agent is given."""
        if service not in self._packed_by_service:
            # Names that nobody declared must not fill the memory.
            if service not in self._balancer.configuration.services_by_name:
                return pack(self._value, service=service)
            self._packed_by_service[service] = pack(self._value, service=service)
        return self._packed_by_service[service]

    def _configure_packed(self, packed: bytes) -> None:
        try:
            value = unpack(packed)
        except ValueError as error:
            _log.error("a peer's configuration not usable", reason=str(error))
            return
        self._configure(value)

    def _configure(self, value: bytes) -> None:
        try:
            configuration = unstore(value)
        except ValueError as error:
            _log.error("stored configuration not usable", reason=str(error))
            return
        held = self._balancer.configuration.version
        if self._balancer.configure(configuration):
            self._value = value
            self._packed_by_service.clear()
            self._rebind.set()
            _log.info("configuration in force", version=configuration.version)
        elif configuration.version < held:
            _log.warning(
                "older configuration refused", offered=configuration.version, held=held
            )

    async def _bind_forever(self) -> None:
        """Keep one socket per service's address, retrying ports that are taken."""
        while True:
            await self._rebind.wait()
            self._rebind.clear()
            if await self._bind_all():
                self._life.step("configured")
                continue
            await asyncio.sleep(BIND_RETRY_SECONDS)
            self._rebind.set()

    async def _bind_all(self) -> bool:
        services = self._balancer.configuration.services_by_name
        wanted = {
            name: self._bind_address(service.address)
            for name, service in services.items()
        }
        for name, socket in list(self._sockets_by_service.items()):
            if wanted.get(name) != socket.address.endpoint:
                socket.close()
                del self._sockets_by_service[name]
        complete = True
        for name, (ip, port) in wanted.items():
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

    # Control

    async def _answer(self, message):
        match message:
            case AskConfiguration(newer_than=version, service=service):
                held = self._balancer.configuration.version
                packed = self._packed(service) if held > version else b""
                return ConfigurationReply(version=held, packed=packed)
            case AskTable(digests=digests):
                records = self._balancer.table.records_unlike(digests)
                balancers = tuple(self._balancer.peers.records_by_name.values())
                return TableReply(records=records, balancers=balancers)
            case AskStatus():
                return self._status()
            case AskDrain(name=name):
                if name != self._settings.name:
                    return DrainReply(accepted=False, reason="not this process")
                if self._life.state != "leaving":
                    self._life.step("terminate")
                return DrainReply(accepted=True)
        return None

    def _status(self) -> StatusReply:
        candidates = self._balancer.table.all_candidates(now=_now())
        return StatusReply(
            name=self._settings.name,
            role="balancer",
            data_centre=self._settings.data_centre,
            state=self._life.state,
            version=self._balancer.configuration.version,
            uptime=_now() - self._started,
            targets=tuple(
                TargetStatus(record=c.record, load=c.load, suspected=c.suspected)
                for c in candidates
            ),
            balancers=tuple(self._balancer.peers.records_by_name.values()),
        )

    def _metrics(self):
        balancer = self._balancer
        uptime = _now() - self._started
        yield gauge("uptime_seconds", "Time since start.", uptime)
        yield gauge("targets", "Targets known.", len(balancer.table))
        yield gauge(
            "balancers", "Balancers known.", len(balancer.peers.records_by_name)
        )
        yield gauge(
            "configuration_version",
            "Configuration version in force.",
            balancer.configuration.version,
        )
        passed = {"to_agents": balancer.forwarded, "to_callers": balancer.returned}
        yield counter("passed_datagrams", "Datagrams passed.", passed, "direction")
        yield counter("opens", "OPENs by result.", balancer.opens_by_result, "result")
        drops = balancer.dropped_by_reason
        yield counter("dropped_datagrams", "Datagrams not used.", drops, "reason")
        control = dict(self._control_bytes, zmq=self._control.bytes_total)
        yield counter("control_bytes", "Control traffic.", control, "direction")
        calls = {"all": self._platform.calls}
        yield counter("platform_calls", "Calls to the platform.", calls, "kind")


def _now() -> float:
    return time.monotonic()
