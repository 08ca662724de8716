"""Process of an agent of flows without a token: sockets, tasks and timers."""

import asyncio
import random
import time

import structlog

from monsoonpier.agent.balancer_link import BalancerLink, target_record
from monsoonpier.agent.packets.actions import (
    ResetFlow,
    ToCallerPacket,
    ToProcess,
    ToTarget,
)
from monsoonpier.agent.packets.instance_history import (
    InstanceHistory,
    NewInstance,
    StaleHeartbeat,
    UnconfirmedHeartbeat,
)
from monsoonpier.agent.packets.liveness import TargetLiveness
from monsoonpier.agent.packets.messages import LeaveNotice, TargetHeartbeat
from monsoonpier.agent.packets.owner import PacketFlowOwner
from monsoonpier.link.schedule import Urgency
from monsoonpier.link.sender import LinkSender
from monsoonpier.model.address import Address
from monsoonpier.model.settings import Settings
from monsoonpier.model.target import ABSENT_SECONDS, Condition
from monsoonpier.process.control import ControlServer, handle_drain
from monsoonpier.process.frames import send_frame
from monsoonpier.process.lifecycle import ProcessLifecycle, run_until_shutdown
from monsoonpier.process.logs import DecisionLog, format_flow
from monsoonpier.process.metrics import counter, gauge
from monsoonpier.process.udp import UdpSocket, open_udp
from monsoonpier.process.web import WebServer
from monsoonpier.store.interface import Store
from monsoonpier.wire.codec import Dropped
from monsoonpier.wire.control import DrainRequest, StatusReply, StatusRequest
from monsoonpier.wire.frames import (
    DeclineSlot,
    ForwardPacket,
    FrameCodec,
    HeartbeatAck,
    OwnershipQuery,
    RecordQuery,
    RelayPacket,
    ReserveSlot,
    relayed_packets,
)
from monsoonpier.wire.packet import PacketCodec

__all__ = ["PacketAgentProcess"]

TICK_SECONDS = 0.1
EXPIRY_CHECK_SECONDS = 0.01  # between checks for expired slots while new flows wait
REPORT_SECONDS = 0.003  # within which changes of load go into one report
GONE_REPEATS = 2  # of the last announcement, since datagrams get lost
GONE_REPEAT_SECONDS = 0.05
MAX_HEARTBEAT_DELAY_SECONDS = 1.0  # from the target, on the same machine
MAX_SHUTDOWN_SECONDS = 2.5  # for requests in flight; long flows don't end by themselves
# How long a stopping agent waits until a target is found or counts as absent.
# It must be less than the six seconds that a process has to stop.
MAX_ABSENT_SECONDS = ABSENT_SECONDS + 0.5
ABSENT_CHECK_SECONDS = 0.02  # a fifth of the interval between attempts to connect
_log = structlog.get_logger("monsoonpier.agent.packets.process")


class PacketAgentProcess:
    """Runs one agent until it has shut down.

    Args:
        settings: The settings of this process.
        callers_port: The UDP port at which callers receive packets.
        from_target: The address to which the target sends its packets.
        target: The address at which the target receives packets.
        codec: Encodes and decodes packets.
        store: The store in which balancers are registered.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        callers_port: int,
        from_target: Address,
        target: Address,
        codec: PacketCodec,
        store: Store,
    ) -> None:
        assert settings.target and settings.internal and settings.control
        assert settings.metrics
        self._settings = settings
        self._callers_port = callers_port
        self._from_target = from_target
        self._target = target
        self._packet_codec = codec
        self._store = store
        self._draw = random.Random()
        self._lifecycle = ProcessLifecycle()
        self._started = time.monotonic()
        self._frame_codec = FrameCodec(keys=settings.keys)
        self._sender = LinkSender(bits_per_second=settings.link_bits_per_second)
        self._owner = PacketFlowOwner(
            name=settings.name,
            service=settings.target.service,
            slots=settings.target.slots,
            connections=settings.target.connections,
            max_idle_seconds=settings.max_flow_seconds,
            log=DecisionLog("monsoonpier.agent.packets.owner"),
        )
        self._link = BalancerLink(
            settings=settings,
            store=store,
            record=target_record(settings, instance=b""),
            send=self._send_frame,
            read_load=lambda: self._owner.load(now=_now()),
            configure=None,
            evacuate=self._evacuate,
            draw=self._draw,
        )
        self._liveness = TargetLiveness(
            address=target,
            on_up=self._on_target_up,
            on_gone=self._on_target_gone,
            on_absent=self._on_target_absent,
        )
        self._control = ControlServer(
            address=settings.control, keys=settings.keys, handler=self._answer_control
        )
        self._web = WebServer(
            address=settings.metrics,
            read_metrics=self._metrics,
            is_ready=lambda: self.is_ready,
        )
        self._internal: UdpSocket | None = None
        self._outbound: UdpSocket | None = None
        self._report_timer: asyncio.TimerHandle | None = None
        self._expiry_timer: asyncio.TimerHandle | None = None
        self._instances = InstanceHistory()
        self._has_target_left = False
        self._gone_at = 0.0
        self._cold_limit_version = 0  # the configuration that the limit is from
        self._dropped_by_reason: dict[str, int] = {}

    @property
    def is_ready(self) -> bool:
        """Whether the agent serves its target."""
        return self._lifecycle.is_ready

    async def run(self) -> None:
        """Serve until the process is shut down and requests in flight are done.

        Raises:
            OSError: If a port is in use.
        """
        internal = self._settings.internal
        self._internal = await open_udp(
            self._receive_frame, ip=internal.ip, port=internal.port
        )
        self._outbound = await open_udp(
            self._receive_packet, ip=self._from_target.ip, port=self._from_target.port
        )
        self._control.start()
        await self._web.start()
        self._lifecycle.install_signals()
        _log.info("started", target=str(self._target))
        tasks = (
            self._control.run,
            self._tick_forever,
            self._link.run,
            self._liveness.run,
        )
        await run_until_shutdown(self._shut_down, tasks)
        await self._store.close()
        await self._web.stop()
        self._control.stop()
        self._internal.close()
        self._outbound.close()
        _log.info("stopped", **self._owner.target_load.use.total.fields)

    async def _shut_down(self) -> None:
        """Once asked to shut down, announce it and wait for requests in flight."""
        await self._lifecycle.wait_for_shutdown()
        began = _now()
        if self._has_target_left:
            # The target has left, and agents are stopped only after it has
            # ended.
            self._perform(self._owner.target_ended(now=_now()))
            await self._announce_gone()
        elif await self._wait_until_absent():
            await self._announce_gone()
        else:
            # The target may keep running, and another agent may start beside
            # it.
            self._set_condition(Condition.SHEDDING)
        while self._owner.busy and _now() - began < MAX_SHUTDOWN_SECONDS:
            await asyncio.sleep(0.02)
        self._lifecycle.step("finished")

    async def _announce_gone(self) -> None:
        """Announce, several times, that the target is gone."""
        self._set_condition(Condition.GONE)
        for _ in range(GONE_REPEATS):
            await asyncio.sleep(GONE_REPEAT_SECONDS)
            self._link.announce(Condition.GONE)

    async def _wait_until_absent(self) -> bool:
        """Wait until a target is found or counts as absent; return if it is absent.

        After a power loss, a VM whose target has left is restarted like others
        and soon stopped again. Balancers with a record of its agent wait for
        the agent's reply about each flow that the target may own, until the
        agent announces the target as gone.
        """
        until = _now() + MAX_ABSENT_SECONDS
        while not (self._owner.has_seen_target or self._owner.is_absence_certain):
            if _now() > until:
                break  # The address no longer answers at all.
            await asyncio.sleep(ABSENT_CHECK_SECONDS)
        return self._owner.is_absence_certain

    # Messages and liveness of the target

    def take(self, message: TargetHeartbeat | LeaveNotice) -> bool:
        """Handle a message of the target; return whether to acknowledge it."""
        match message:
            case TargetHeartbeat():
                return self._handle_heartbeat(message)
            case LeaveNotice():
                return self._handle_leave(message)
        return False

    def _handle_heartbeat(self, heartbeat: TargetHeartbeat) -> bool:
        """Apply a heartbeat unless it is stale; return whether to acknowledge it."""
        owner = self._owner
        match self._instances.classify(heartbeat, has_ended=self._has_target_ended):
            case StaleHeartbeat():
                _log.info(
                    "stale heartbeat ignored",
                    instance=heartbeat.run.instance.decode(),
                    sequence=heartbeat.sequence,
                    served=owner.instance.decode(),
                )
                return True
            case UnconfirmedHeartbeat():
                _log.info(
                    "heartbeat of another instance not confirmed",
                    instance=heartbeat.run.instance.decode(),
                    sequence=heartbeat.sequence,
                    served=owner.instance.decode(),
                )
                return False
            case NewInstance():
                self._begin_instance(heartbeat)
                is_new = True
            case _:
                is_new = False
        owner.target_load.slots = heartbeat.slots
        owner.target_load.set_cold_until(_now() + heartbeat.cold_seconds)
        self._lifecycle.step("configured")
        may_be_delayed = _now() - self._gone_at < MAX_HEARTBEAT_DELAY_SECONDS
        if not is_new and may_be_delayed and owner.condition is Condition.UNRESPONSIVE:
            return True  # Probably sent before the target ended.
        condition = Condition.LEAVING if heartbeat.is_draining else Condition.SERVING
        if self._lifecycle.state == "leaving" and not heartbeat.is_draining:
            condition = Condition.SHEDDING
        self._set_condition(condition, announce=is_new)
        return True

    @property
    def _has_target_ended(self) -> bool:
        return self._has_target_left or self._owner.condition is Condition.UNRESPONSIVE

    def _begin_instance(self, heartbeat: TargetHeartbeat) -> None:
        """Serve a new instance of the target and reset the previous one's flows."""
        instance = heartbeat.run.instance
        _log.info(
            "target started",
            instance=instance.decode(),
            slots=heartbeat.slots,
            sequence=heartbeat.sequence,
            cold_seconds=heartbeat.cold_seconds,
        )
        self._has_target_left = False
        resets = self._owner.instance_started(
            instance,
            is_first=heartbeat.sequence <= 1,
            is_young=heartbeat.cold_seconds > 0,
            now=_now(),
        )
        self._link.set_instance(
            instance, slots=heartbeat.slots, addresses=self._owner.addresses
        )
        self._perform(resets)
        self._perform(self._owner.reply_to_pending_queries(now=_now()))

    def _handle_leave(self, notice: LeaveNotice) -> bool:
        """Stop accepting new flows if the current instance of the target leaves.

        Returns:
            ``True``, since even a stale notice is acknowledged.
        """
        instance = notice.run.instance.decode()
        if self._instances.is_current(notice.run):
            _log.info("target left", instance=instance)
            self._has_target_left = True
            # The target keeps running for a moment after it has stopped
            # listening. Its flows may be open until its VM is stopped.
            self._set_condition(Condition.LEAVING)
        else:
            _log.info("stale leave notice ignored", instance=instance)
        return True

    def _on_target_up(self) -> None:
        """Serve a target that listens although no heartbeat has arrived yet.

        If the target is draining, its next heartbeat, within about a second,
        will report it.
        """
        if self._owner.condition is Condition.STARTING:
            self._lifecycle.step("configured")
            self._set_condition(Condition.SERVING)

    def _on_target_gone(self) -> None:
        """Handle refused connections: reset the flows of a target that has ended.

        The flows of a leaving target are not reset, since the target may only
        have stopped listening.
        """
        if self._has_target_left or self._owner.condition is Condition.UNRESPONSIVE:
            return
        if self._owner.condition is Condition.LEAVING:
            # The leave notice may have been lost. The target may run without
            # listening, and own flows, until its VM is stopped.
            self._has_target_left = True
            _log.info("draining target does not listen")
            return
        self._gone_at = _now()
        resets = self._owner.target_ended(now=self._gone_at)
        _log.warning("target does not listen", flows=len(resets))
        self._set_condition(Condition.UNRESPONSIVE)
        self._perform(resets)

    def _on_target_absent(self) -> None:
        """Announce that nothing has listened since the start of this agent.

        The announcement doesn't wait for an ownership query, since a VM that
        starts without its target after a power loss may be stopped before any
        balancer sends a query.
        """
        self._owner.note_no_listener(now=_now())
        if self._owner.is_absent and not self._link.record.is_absent:
            self._link.announce_no_target()

    def _set_condition(self, condition: Condition, *, announce: bool = False) -> None:
        """Set the target's condition and announce it if it has changed."""
        if condition is self._owner.condition and not announce:
            return
        before = self._owner.condition
        self._owner.condition = condition
        self._link.announce(condition)
        self._report_soon()
        _log.info(
            "target's condition changed", before=before.name, after=condition.name
        )

    def _apply_cold_limit(self, ack: HeartbeatAck) -> None:
        """Apply an acknowledgement's limit of new flows, unless it is outdated."""
        if ack.version >= self._cold_limit_version:
            self._cold_limit_version = ack.version
            self._owner.target_load.cold.per_second = ack.cold_per_second

    def _evacuate(self) -> None:
        """Apply a changed evacuation order, also to the queued SYNs."""
        self._owner.is_evacuated = self._link.is_evacuated
        self._perform(self._owner.expire(now=_now()))

    # Packets and frames

    def _receive_frame(self, data: bytes, sender: tuple[str, int]) -> None:
        if self._internal is None or self._outbound is None:
            return  # The sockets are still being opened.
        frame = self._frame_codec.decode(data)
        match frame:
            case ForwardPacket():
                self._receive_forwarded(frame, sender=frame.reply_to or sender)
            case RelayPacket():
                self._perform(self._owner.relay(frame, balancer=sender))
                for own in relayed_packets(frame):
                    self._receive_forwarded(own, sender=sender)
            case OwnershipQuery():
                self._perform(
                    self._owner.handle_query(frame, sender=sender, now=_now())
                )
            case ReserveSlot():
                self._perform(self._owner.reserve(frame, balancer=sender, now=_now()))
            case DeclineSlot():
                self._perform(self._owner.declined(balancer=sender, now=_now()))
            case HeartbeatAck():
                self._link.handle_ack(frame)
                self._owner.inherit_addresses(frame.addresses, now=_now())
                self._report_soon()
                self._apply_cold_limit(frame)
            case RecordQuery():
                self._link.answer_query(sender)
            case Dropped(reason=reason):
                self._drop(reason)
            case _:
                self._drop("unexpected")

    def _receive_forwarded(
        self, frame: ForwardPacket, *, sender: tuple[str, int]
    ) -> None:
        packet = self._packet_codec.decode(frame.payload, from_target=False)
        if isinstance(packet, Dropped):
            self._drop(packet.reason)
            return
        actions = self._owner.from_balancer(frame, packet, sender=sender, now=_now())
        self._perform(actions)

    def _receive_packet(self, data: bytes, sender: tuple[str, int]) -> None:
        packet = self._packet_codec.decode(data, from_target=True)
        if isinstance(packet, Dropped):
            self._drop(packet.reason)
            return
        self._perform(self._owner.from_target(packet, now=_now()))

    def _perform(self, actions: list) -> None:
        for action in actions:
            match action:
                case ToTarget(raw=raw):
                    self._outbound.send(raw, self._target.endpoint)
                case ToCallerPacket(ip=ip, raw=raw, flow=flow):
                    self._send_to_caller(raw, ip=ip, flow=flow)
                case ToProcess(endpoint=endpoint, frame=frame):
                    self._send_frame(frame, endpoint)
                case ResetFlow(ip=ip, flow=flow, acknowledged=acknowledged):
                    reset = self._packet_codec.reset(flow, acknowledged=acknowledged)
                    self._send_to_caller(reset, ip=ip, flow=flow)
                    _log.info(
                        "caller reset",
                        flow=format_flow(flow),
                        reason="target ended",
                        acknowledged=acknowledged,
                    )
        self._report_soon()

        if self._expiry_timer is None and self._owner.is_waiting:
            loop = asyncio.get_running_loop()
            self._expiry_timer = loop.call_later(EXPIRY_CHECK_SECONDS, self._run_expiry)

    def _run_expiry(self) -> None:
        self._expiry_timer = None
        self._perform(self._owner.expire(now=_now()))

    def _report_soon(self) -> None:
        if self._report_timer is None:
            loop = asyncio.get_running_loop()
            self._report_timer = loop.call_later(REPORT_SECONDS, self._report)

    def _report(self) -> None:
        self._report_timer = None
        self._link.set_addresses(self._owner.addresses)
        for action in self._owner.due_reports(now=_now()):
            self._send_frame(action.frame, action.endpoint)

    def _send_frame(self, frame, endpoint: tuple[str, int]) -> None:
        """Send a frame to another process's internal address."""
        if self._internal is None:
            return  # The socket is still being opened.
        send_frame(
            frame,
            endpoint,
            codec=self._frame_codec,
            sender=self._sender,
            socket=self._internal,
        )

    def _send_to_caller(self, raw: bytes, *, ip: str, flow: bytes) -> None:
        endpoint = (ip, self._callers_port)
        urgency = Urgency.by_size(len(raw))
        self._sender.send(self._internal, raw, endpoint, urgency=urgency, flow=flow)

    def _drop(self, reason: str) -> None:
        count = self._dropped_by_reason.get(reason, 0)
        self._dropped_by_reason[reason] = count + 1
        _log.warning("datagram dropped", reason=reason)

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self._perform(self._owner.tick(now=_now()))
            self._perform(self._owner.reply_to_pending_queries(now=_now()))

    # Control

    async def _answer_control(self, message):
        match message:
            case StatusRequest():
                return StatusReply(
                    name=self._settings.name,
                    role="agent",
                    data_centre=self._settings.data_centre,
                    state=self._lifecycle.state,
                    version=0,
                    uptime=_now() - self._started,
                    slot_use=self._owner.target_load.use_fields,
                )
            case DrainRequest():
                name = self._settings.name
                return handle_drain(message, name=name, life=self._lifecycle)
        return None

    def _metrics(self):
        yield gauge("uptime_seconds", "Time since start.", _now() - self._started)
        yield gauge("flows", "Flows that the target owns.", self._owner.flows)
        yield gauge("busy", "Requests in flight at the target.", self._owner.busy)
        failed = self._owner.target_load.failed_percent(now=_now())
        yield gauge("failed_percent", "Recent requests that failed, in %.", failed)
        yield self._owner.target_load.answer_seconds
        yield from self._owner.target_load.metrics
        yield from self._sender.metrics
        results = self._owner.counts_by_result
        yield counter("flow_decisions", "Decisions on flows.", results, "result")
        drops = self._dropped_by_reason
        yield counter("dropped_datagrams", "Datagrams dropped.", drops, "reason")


def _now() -> float:
    return time.monotonic()
