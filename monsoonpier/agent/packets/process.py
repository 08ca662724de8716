"""An agent of flows without a token: sockets and tasks around the decisions."""

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
from monsoonpier.agent.packets.announcement import TargetAnnouncement, TargetLeft
from monsoonpier.agent.packets.holder import PacketHolder
from monsoonpier.agent.packets.liveness import TargetLiveness
from monsoonpier.agent.packets.target_run import LateHeartbeat, NewRun, RunHistory
from monsoonpier.link.schedule import Urgency
from monsoonpier.link.sender import LinkSender
from monsoonpier.model.address import Address
from monsoonpier.model.settings import Settings
from monsoonpier.model.target import ABSENT_SECONDS, Condition
from monsoonpier.process.control import ControlServer, answer_drain
from monsoonpier.process.frames import send_frame
from monsoonpier.process.life import ProcessLife, run_until_left
from monsoonpier.process.logs import DecisionLog, flow_name
from monsoonpier.process.readings import counter, gauge
from monsoonpier.process.udp import UdpSocket, open_udp
from monsoonpier.process.web import WebServer
from monsoonpier.store.interface import Store
from monsoonpier.wire.codec import Dropped
from monsoonpier.wire.control import AskDrain, AskStatus, StatusReply
from monsoonpier.wire.frames import (
    Carry,
    Decline,
    FrameCodec,
    HeartbeatAck,
    PassOn,
    Reserve,
    Whose,
)
from monsoonpier.wire.packet import PacketCodec

__all__ = ["PacketAgentProcess"]

TICK_SECONDS = 0.1
LOOK_SECONDS = 0.01  # while new flows wait: a slot kept in vain costs so much at most
REPORT_SECONDS = 0.003  # changes of load in one turn go out as one report
FAREWELLS = 2  # more, since datagrams get lost
FAREWELL_SECONDS = 0.05
LATE_SECONDS = 1.0  # a heartbeat isn't longer on its way on one machine
MAX_LEAVE_SECONDS = 2.5  # for requests under way; long flows never end by themselves
# Until an agent that stops is sure that it has no target, and five looks more; stops
# are given six seconds.
MAX_ABSENT_SECONDS = ABSENT_SECONDS + 0.5
ABSENT_CHECK_SECONDS = 0.02  # a fifth of the time between two looks at the target
_log = structlog.get_logger("monsoonpier.agent.packets.process")


class PacketAgentProcess:
    """Runs one agent until it has left.

    Args:
        callers_port: Where callers take their packets.
        from_target: Where the target sends its packets.
        target: Where the target takes packets.
        codec: The packets' header.
        store: Where balancers are found.
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
        self._packets = codec
        self._store = store
        self._draw = random.Random()
        self._life = ProcessLife()
        self._started = time.monotonic()
        self._frames = FrameCodec(keys=settings.keys)
        self._sender = LinkSender(bits_per_second=settings.link_bits_per_second)
        self._holder = PacketHolder(
            name=settings.name,
            service=settings.target.service,
            slots=settings.target.slots,
            connections=settings.target.connections,
            log=DecisionLog("monsoonpier.agent.packets.holder"),
        )
        self._link = BalancerLink(
            settings=settings,
            store=store,
            record=target_record(settings, instance=b""),
            send=self._send_frame,
            read_load=lambda: self._holder.load(now=_now()),
            configure=None,
            evacuate=self._evacuate,
            draw=self._draw,
        )
        self._liveness = TargetLiveness(
            address=target,
            on_up=self._target_up,
            on_gone=self._target_gone,
            on_absent=self._target_absent,
        )
        self._control = ControlServer(
            address=settings.control, keys=settings.keys, handler=self._answer
        )
        self._web = WebServer(
            address=settings.metrics,
            read_metrics=self._metrics,
            is_ready=lambda: self.is_ready,
        )
        self._internal: UdpSocket | None = None
        self._outbound: UdpSocket | None = None
        self._reporting: asyncio.TimerHandle | None = None
        self._looking: asyncio.TimerHandle | None = None
        self._runs = RunHistory()
        self._has_left = False
        self._gone_at = 0.0
        self._limited_by = 0  # the version whose limits are kept
        self._dropped_by_reason: dict[str, int] = {}

    @property
    def is_ready(self) -> bool:
        """Whether the agent serves its target."""
        return self._life.is_ready

    async def run(self) -> None:
        """Serve until asked to leave and the work under way is done.

        Raises:
            OSError: If a port is taken.
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
        self._life.install_signals()
        _log.info("started", target=str(self._target))
        jobs = (
            self._control.run,
            self._tick_forever,
            self._link.run,
            self._liveness.run,
        )
        await run_until_left(self._leave_and_finish, jobs)
        await self._store.close()
        await self._web.stop()
        self._control.stop()
        self._internal.close()
        self._outbound.close()
        _log.info("stopped", **self._holder.target_load.use.total.fields)

    async def _leave_and_finish(self) -> None:
        await self._life.wait_for_leaving()
        began = _now()
        if self._has_left:
            # The agent is stopped after its target has ended.
            self._do(self._holder.ended(now=_now()))
            await self._say_gone()
        elif await self._stays_absent():
            await self._say_gone()
        else:
            # The target may live on and an agent may start beside it again.
            self._enter(Condition.SHEDDING)
        while self._holder.busy and _now() - began < MAX_LEAVE_SECONDS:
            await asyncio.sleep(0.02)
        self._life.step("finished")

    async def _say_gone(self) -> None:
        self._enter(Condition.GONE)
        for _ in range(FAREWELLS):
            await asyncio.sleep(FAREWELL_SECONDS)
            self._link.announce(Condition.GONE)

    async def _stays_absent(self) -> bool:
        """Wait until it is sure that no target is left, while none has been found.

        VMs whose targets have left start again like others after a loss of power,
        and are given up a moment later. Balancers that still know such an agent wait
        for its word on each dead flow: 101 of 178 flows that were asked about got no
        verdict (log of a replay with 18 target VMs).
        """
        until = _now() + MAX_ABSENT_SECONDS
        while not (self._holder.has_met_target or self._holder.has_no_target):
            if _now() > until:
                break  # The address neither refuses nor answers any more.
            await asyncio.sleep(ABSENT_CHECK_SECONDS)
        return self._holder.has_no_target

    # The target's own word

    def take(self, message: TargetAnnouncement | TargetLeft) -> bool:
        """Take what the target says of itself; tell if it is acknowledged."""
        match message:
            case TargetAnnouncement():
                return self._announced(message)
            case TargetLeft():
                return self._left(message)
        return False

    def _announced(self, heard: TargetAnnouncement) -> bool:
        holder = self._holder
        match self._runs.take(heard, has_ended=self._has_target_ended):
            case LateHeartbeat():
                _log.info(
                    "late heartbeat",
                    instance=heard.run.instance.decode(),
                    sequence=heard.sequence,
                    served=holder.instance.decode(),
                )
                return True
            case NewRun():
                self._begin_run(heard)
                is_new = True
            case _:
                is_new = False
        holder.target_load.slots = heard.slots
        holder.target_load.is_cold_until(_now() + heard.cold_seconds)
        self._life.step("configured")
        is_late = _now() - self._gone_at < LATE_SECONDS
        if not is_new and is_late and holder.condition is Condition.UNRESPONSIVE:
            return True  # Sent before the target ended.
        condition = Condition.LEAVING if heard.is_draining else Condition.SERVING
        if self._life.state == "leaving" and not heard.is_draining:
            condition = Condition.SHEDDING
        self._enter(condition, announce=is_new)
        return True

    @property
    def _has_target_ended(self) -> bool:
        return self._has_left or self._holder.condition is Condition.UNRESPONSIVE

    def _begin_run(self, heard: TargetAnnouncement) -> None:
        """Serve another run of the target; nothing of the one before stays."""
        instance = heard.run.instance
        _log.info(
            "target started",
            instance=instance.decode(),
            slots=heard.slots,
            sequence=heard.sequence,
            cold_seconds=heard.cold_seconds,
        )
        self._has_left = False
        self._link.identify(instance, slots=heard.slots)
        resets = self._holder.started(
            instance,
            is_first=heard.sequence <= 1,
            is_young=heard.cold_seconds > 0,
            now=_now(),
        )
        self._do(resets)
        self._do(self._holder.answer_kept(now=_now()))

    def _left(self, farewell: TargetLeft) -> bool:
        instance = farewell.run.instance.decode()
        if self._runs.is_current(farewell.run):
            _log.info("target left", instance=instance)
            self._has_left = True
            # It still runs for a moment, even after it has stopped listening;
            # until its VM is given up its flows may be open.
            self._enter(Condition.LEAVING)
        else:
            _log.info("another run's farewell", instance=instance)
        return True

    def _target_up(self) -> None:
        """Serve a target that listens before its first heartbeat has come.

        One that is leaving says so with its next heartbeat, in about a second.
        """
        if self._holder.condition is Condition.STARTING:
            self._life.step("configured")
            self._enter(Condition.SERVING)

    def _target_gone(self) -> None:
        """The target's address refuses connections: its flows have ended."""
        if self._has_left or self._holder.condition is Condition.UNRESPONSIVE:
            return
        if self._holder.condition is Condition.LEAVING:
            # Its farewell may have been lost; until its VM is given up it may
            # run on without listening, and hold its flows.
            self._has_left = True
            _log.info("leaving target does not listen")
            return
        self._gone_at = _now()
        resets = self._holder.ended(now=self._gone_at)
        _log.warning("target does not listen", flows=len(resets))
        self._enter(Condition.UNRESPONSIVE)
        self._do(resets)

    def _target_absent(self) -> None:
        """Nobody has listened at the target's address since this agent's start.

        Balancers are told unasked: a VM that starts without its target after a loss
        of power may be given up before anybody asks (21 of 79, log of a replay).
        """
        self._holder.absent(now=_now())
        if self._holder.is_absent and not self._link.record.is_absent:
            self._link.announce_absent()

    def _enter(self, condition: Condition, *, announce: bool = False) -> None:
        if condition is self._holder.condition and not announce:
            return
        before = self._holder.condition
        self._holder.condition = condition
        self._link.announce(condition)
        self._report_soon()
        _log.info("target's condition", before=before.name, after=condition.name)

    def _limit_cold(self, ack: HeartbeatAck) -> None:
        """Take what the configuration allows, unless an older one says so."""
        if ack.version >= self._limited_by:
            self._limited_by = ack.version
            self._holder.target_load.cold.per_second = ack.cold_per_second

    def _evacuate(self) -> None:
        """Obey a new order on the data centre, for flows that wait here too."""
        self._holder.is_evacuated = self._link.is_evacuated
        self._do(self._holder.expire(now=_now()))

    # Packets and frames

    def _receive_frame(self, data: bytes, sender: tuple[str, int]) -> None:
        if self._internal is None or self._outbound is None:
            return  # it came while the sockets were being set up
        frame = self._frames.decode(data)
        match frame:
            case Carry():
                self._receive_carried(frame, sender=frame.reply_to or sender)
            case PassOn(service=service, payload=payload):
                self._do(self._holder.pass_on(frame, balancer=sender))
                own = Carry(service=service, payload=payload, asks=True)
                self._receive_carried(own, sender=sender)
            case Whose():
                self._do(self._holder.ask(frame, sender=sender, now=_now()))
            case Reserve():
                self._do(self._holder.reserve(frame, balancer=sender, now=_now()))
            case Decline():
                self._do(self._holder.declined(balancer=sender, now=_now()))
            case HeartbeatAck():
                self._link.acknowledged(frame)
                self._limit_cold(frame)
            case Dropped(reason=reason):
                self._drop(reason)
            case _:
                self._drop("unexpected")

    def _receive_carried(self, frame: Carry, *, sender: tuple[str, int]) -> None:
        packet = self._packets.decode(frame.payload, from_target=False)
        if isinstance(packet, Dropped):
            self._drop(packet.reason)
            return
        actions = self._holder.from_balancer(frame, packet, sender=sender, now=_now())
        self._do(actions)

    def _receive_packet(self, data: bytes, sender: tuple[str, int]) -> None:
        packet = self._packets.decode(data, from_target=True)
        if isinstance(packet, Dropped):
            self._drop(packet.reason)
            return
        self._do(self._holder.from_target(packet, now=_now()))

    def _do(self, actions: list) -> None:
        for action in actions:
            match action:
                case ToTarget(raw=raw):
                    self._outbound.send(raw, self._target.endpoint)
                case ToCallerPacket(ip=ip, raw=raw, flow=flow):
                    self._send_to_caller(raw, ip=ip, flow=flow)
                case ToProcess(endpoint=endpoint, frame=frame):
                    self._send_frame(frame, endpoint)
                case ResetFlow(ip=ip, flow=flow, acknowledged=acknowledged):
                    reset = self._packets.reset(flow, acknowledged=acknowledged)
                    self._send_to_caller(reset, ip=ip, flow=flow)
                    _log.info(
                        "caller reset", flow=flow_name(flow), reason="target ended"
                    )
        self._report_soon()

        if self._looking is None and self._holder.is_waiting:
            loop = asyncio.get_running_loop()
            self._looking = loop.call_later(LOOK_SECONDS, self._look_after)

    def _look_after(self) -> None:
        self._looking = None
        self._do(self._holder.expire(now=_now()))

    def _report_soon(self) -> None:
        if self._reporting is None:
            loop = asyncio.get_running_loop()
            self._reporting = loop.call_later(REPORT_SECONDS, self._report)

    def _report(self) -> None:
        self._reporting = None
        for action in self._holder.load_reports(now=_now()):
            self._send_frame(action.frame, action.endpoint)

    def _send_frame(self, frame, endpoint: tuple[str, int]) -> None:
        """Send a frame to another process's internal address."""
        if self._internal is None:
            return  # a heartbeat while the socket was being set up
        send_frame(
            frame,
            endpoint,
            codec=self._frames,
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
            self._do(self._holder.tick(now=_now()))
            self._do(self._holder.answer_kept(now=_now()))

    # Control

    async def _answer(self, message):
        match message:
            case AskStatus():
                return StatusReply(
                    name=self._settings.name,
                    role="agent",
                    data_centre=self._settings.data_centre,
                    state=self._life.state,
                    version=0,
                    uptime=_now() - self._started,
                    slot_use=self._holder.target_load.use_fields,
                )
            case AskDrain():
                name = self._settings.name
                return answer_drain(message, name=name, life=self._life)
        return None

    def _metrics(self):
        yield gauge("uptime_seconds", "Time since start.", _now() - self._started)
        yield gauge("flows", "Flows that the target holds.", self._holder.flows)
        yield gauge("busy", "Requests that the target works on.", self._holder.busy)
        failed = self._holder.target_load.failed_percent(now=_now())
        yield gauge("failed_percent", "Of the target's latest requests.", failed)
        yield self._holder.target_load.answer_seconds
        yield from self._holder.target_load.readings
        yield from self._sender.readings
        results = self._holder.counts_by_result
        yield counter("flow_decisions", "Decisions on flows.", results, "result")
        drops = self._dropped_by_reason
        yield counter("dropped_datagrams", "Datagrams not used.", drops, "reason")


def _now() -> float:
    return time.monotonic()
