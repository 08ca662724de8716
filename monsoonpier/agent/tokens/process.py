"""The agent's process: connects its logic to sockets, the target and a clock."""

import asyncio
import os
import random
import time

import structlog

from monsoonpier.agent.balancer_link import BalancerLink, target_record
from monsoonpier.agent.tokens.actions import (
    Abort,
    Action,
    Credit,
    EndStream,
    Reply,
    ReturnOpen,
    Run,
    StartStream,
)
from monsoonpier.agent.tokens.owner import FlowOwner
from monsoonpier.agent.tokens.runner import (
    Event,
    ItemRead,
    RunEnded,
    Runner,
    StreamClosed,
)
from monsoonpier.agent.tokens.target_client import HealthStatus, TargetClient
from monsoonpier.link.sender import LinkSender
from monsoonpier.model.service import Configuration
from monsoonpier.model.settings import Settings
from monsoonpier.model.target import Condition
from monsoonpier.model.token import FlowToken
from monsoonpier.process.control import ControlServer, handle_drain
from monsoonpier.process.frames import send_frame
from monsoonpier.process.lifecycle import ProcessLifecycle, run_until_shutdown
from monsoonpier.process.metrics import counter, gauge
from monsoonpier.process.udp import UdpSocket, open_udp
from monsoonpier.process.web import WebServer
from monsoonpier.store.etcd import EtcdStore
from monsoonpier.wire import frames
from monsoonpier.wire.codec import Dropped
from monsoonpier.wire.control import (
    DrainRequest,
    StatusReply,
    StatusRequest,
)
from monsoonpier.wire.datagrams import Opened, reply_codec
from monsoonpier.wire.frames import (
    ForwardDatagram,
    FrameCodec,
    HeartbeatAck,
    OpenReturned,
    RecordQuery,
)

__all__ = ["AgentProcess"]

TICK_SECONDS = 0.05
HEALTH_SECONDS = 1.0
INSTANCE_BYTES = 8
GONE_ANNOUNCEMENTS = 3  # repeated, because datagrams may be lost
GONE_ANNOUNCEMENT_SECONDS = 0.1  # between two announcements
_log = structlog.get_logger("monsoonpier.agent.tokens.process")


class AgentProcess:
    """Runs one agent until it is asked to shut down and has no work left."""

    def __init__(self, *, settings: Settings) -> None:
        assert settings.target and settings.internal and settings.control
        assert settings.metrics
        self._settings = settings
        self._draw = random.Random()
        self._life = ProcessLifecycle()
        self._started = time.monotonic()
        instance = os.urandom(INSTANCE_BYTES)
        token = FlowToken(
            service=settings.target.service,
            ip=settings.internal.ip,
            port=settings.internal.port,
            instance=instance,
        )
        self._owner = FlowOwner(
            token=token,
            keys=settings.keys,
            slots=settings.target.slots,
            connections=settings.target.connections,
        )
        self._codec = FrameCodec(keys=settings.keys)
        self._sender = LinkSender(bits_per_second=settings.link_bits_per_second)
        self._link = BalancerLink(
            settings=settings,
            store=EtcdStore(addresses=settings.platform, draw=self._draw),
            record=target_record(settings, instance=instance),
            send=self._send_control,
            read_load=lambda: self._owner.load(now=_now()),
            configure=self._configure,
            evacuate=self._evacuate,
            draw=self._draw,
        )
        self._client = TargetClient(url=settings.target.url)
        self._runner = Runner(client=self._client, on_event=self._handle_event)
        self._socket: UdpSocket | None = None
        self._control = ControlServer(
            address=settings.control,
            keys=settings.keys,
            handler=self._handle_control_request,
        )
        self._web = WebServer(
            address=settings.metrics,
            read_metrics=self._metrics,
            is_ready=lambda: self._life.is_ready and self._owner.lifecycle.takes_flows,
        )
        self._dropped_frames: dict[str, int] = {}
        self._control_bytes = {"in": 0, "out": 0}
        self._shutdown_requested = False
        self._is_allowed = True

    async def run(self) -> None:
        """Serve until asked to shut down and no work is left.

        Raises:
            OSError: If a port is taken.
        """
        internal = self._settings.internal
        self._socket = await open_udp(self._receive, ip=internal.ip, port=internal.port)
        self._control.start()
        await self._web.start()
        self._life.install_signals()
        _log.info("started", target=self._settings.target.url)
        jobs = (
            self._control.run,
            self._tick_forever,
            self._check_health_forever,
            self._link.run,
        )
        await run_until_shutdown(self._drain_and_finish, jobs)
        await self._stop()

    async def _drain_and_finish(self) -> None:
        """Wait for a shutdown request, drain, and announce that the target is gone."""
        await self._life.wait_for_shutdown()
        self._shutdown_requested = True
        self._execute(self._owner.leave(now=_now()))
        self._link.announce(self._owner.lifecycle.condition)
        while not self._owner.is_finished(now=_now()):
            await asyncio.sleep(TICK_SECONDS)
        for _ in range(GONE_ANNOUNCEMENTS):
            self._link.announce(Condition.GONE)
            await asyncio.sleep(GONE_ANNOUNCEMENT_SECONDS)
        self._life.step("finished")

    async def _stop(self) -> None:
        await self._runner.stop()
        await self._client.close()
        await self._link.close()
        await self._web.stop()
        self._control.stop()
        self._socket.close()
        _log.info("stopped")

    # Datagrams

    def _receive(self, data: bytes, sender: tuple[str, int]) -> None:
        frame = self._codec.decode(data)
        match frame:
            case ForwardDatagram():
                actions = self._owner.handle_datagram(
                    frame, via=sender, now=_now(), draw=self._draw
                )
                self._execute(actions)
            case HeartbeatAck():
                self._control_bytes["in"] += len(data)
                self._handle_heartbeat_ack(frame)
            case RecordQuery():
                self._control_bytes["in"] += len(data)
                self._link.answer_query(sender)
            case Dropped(reason=reason):
                self._count_drop(reason)
            case _:
                self._count_drop("unexpected")

    def _count_drop(self, reason: str) -> None:
        self._dropped_frames[reason] = self._dropped_frames.get(reason, 0) + 1

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Reply():
                    self._send_reply(action)
                case Run():
                    self._runner.run(action)
                case Abort():
                    self._runner.abort(action)
                case StartStream():
                    self._runner.start_stream(action)
                case Credit():
                    self._runner.add_credit(action)
                case EndStream():
                    self._runner.end_stream(action)
                case ReturnOpen():
                    self._return_open(action)

    def _send_reply(self, reply: Reply) -> None:
        frame = frames.ReplyDatagram(
            service=self._settings.target.service,
            ip=reply.ip,
            port=reply.port,
            payload=reply_codec.encode(reply.message),
            agent=self._settings.name,
            load=self._owner.load(now=_now()),
            opened=isinstance(reply.message, Opened),
        )
        self._send(frame, reply.via)

    def _return_open(self, action: ReturnOpen) -> None:
        """Return an OPEN to its balancer, which can attempt another target."""
        frame = OpenReturned(
            service=self._settings.target.service,
            ip=action.ip,
            port=action.port,
            payload=action.payload,
            tried=action.tried,
            reason=action.reason,
            retry_after_ms=action.retry_after_ms,
            agent=self._settings.name,
            load=self._owner.load(now=_now()),
        )
        self._send(frame, action.via)

    # Events from the target

    def _handle_event(self, event: Event) -> None:
        previous = self._owner.lifecycle.label
        match event:
            case RunEnded(key=key, result=result):
                actions = self._owner.run_ended(
                    key, result, now=_now(), draw=self._draw
                )
            case ItemRead(key=key, item=item):
                actions = self._owner.stream_item_read(
                    key, item.number, item.body, now=_now()
                )
            case StreamClosed(key=key, reason=reason, broke=broke):
                actions = self._owner.stream_ended(
                    key, reason, reopen=broke, now=_now()
                )
        self._execute(actions)
        self._announce_if_changed(previous)

    async def _check_health_forever(self) -> None:
        while True:
            self._handle_health(await self._client.health())
            await asyncio.sleep(HEALTH_SECONDS)

    def _handle_health(self, health: HealthStatus) -> None:
        """Drain if the target asks for it; serve again if it is healthy."""
        previous = self._owner.lifecycle.label
        if health.draining:
            self._execute(self._owner.leave(now=_now()))
        elif health.healthy:
            may_stay = self._is_allowed and not self._shutdown_requested
            if self._owner.lifecycle.is_leaving and may_stay:
                self._owner.stay(now=_now())
            self._owner.lifecycle = self._owner.lifecycle.healthy(now=_now())
        self._announce_if_changed(previous)

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            previous = self._owner.lifecycle.label
            self._execute(self._owner.tick(now=_now(), draw=self._draw))
            self._announce_if_changed(previous)

    def _announce_if_changed(self, previous: str) -> None:
        """Announce a changed target state without waiting for the next heartbeat."""
        label = self._owner.lifecycle.label
        if label != previous:
            _log.info("target state changed", before=previous, after=label)
            self._link.announce(self._owner.lifecycle.condition)

    # Balancers

    def _send_control(self, frame, endpoint: tuple[str, int]) -> None:
        self._control_bytes["out"] += self._send(frame, endpoint)

    def _send(self, frame, endpoint: tuple[str, int]) -> int:
        """Send a frame to a balancer; return its size in bytes."""
        return send_frame(
            frame,
            endpoint,
            codec=self._codec,
            sender=self._sender,
            socket=self._socket,
        )

    def _handle_heartbeat_ack(self, ack: HeartbeatAck) -> None:
        """Handle a heartbeat's reply; drain if the target isn't allowed to serve."""
        previous = self._owner.lifecycle.label
        self._is_allowed = self._link.handle_ack(ack)
        if not self._is_allowed:
            self._execute(self._owner.leave(now=_now()))
        self._announce_if_changed(previous)

    def _configure(self, configuration: Configuration) -> None:
        """Apply a new configuration."""
        services = configuration.services_by_name
        self._owner.service = services.get(self._settings.target.service)
        self._life.step("configured")

    def _evacuate(self) -> None:
        """Apply an evacuation order or its revocation; admitted requests continue."""
        lifecycle = self._owner.lifecycle
        self._owner.lifecycle = lifecycle.with_evacuation(self._link.is_evacuated)

    # Control requests and metrics

    async def _handle_control_request(self, message):
        match message:
            case StatusRequest():
                return StatusReply(
                    name=self._settings.name,
                    role="agent",
                    data_centre=self._settings.data_centre,
                    state=self._owner.lifecycle.label,
                    version=self._link.configuration.version,
                    uptime=_now() - self._started,
                )
            case DrainRequest():
                name = self._settings.name
                return handle_drain(message, name=name, life=self._life)
        return None

    def _metrics(self):
        owner = self._owner
        requests = owner.requests
        uptime = _now() - self._started
        yield gauge("uptime_seconds", "Time since start.", uptime)
        yield gauge("flows", "Open flows.", owner.flows)
        yield gauge("streams", "Open streams.", owner.streams)
        yield gauge(
            "requests_in_flight", "Requests running at the target.", requests.in_flight
        )
        yield gauge("requests_queued", "Requests waiting for a slot.", requests.queued)
        yield gauge(
            "kept_bytes",
            "Bytes of stored outcomes and request bodies.",
            requests.kept_bytes,
        )
        yield gauge(
            "configuration_version",
            "Configuration version in use.",
            self._link.configuration.version,
        )
        outcomes = requests.outcomes_by_name
        yield counter("requests", "Finished requests.", outcomes, "outcome")
        drops = dict(owner.dropped_by_reason)
        for reason, count in self._dropped_frames.items():
            drops[reason] = drops.get(reason, 0) + count
        yield counter("dropped_datagrams", "Dropped datagrams.", drops, "reason")
        yield from self._sender.metrics
        yield counter(
            "control_bytes",
            "Bytes of control traffic.",
            self._control_bytes,
            "direction",
        )


def _now() -> float:
    return time.monotonic()
