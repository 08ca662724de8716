"""Process of a balancer of flows without a token: sockets, tasks and metrics."""

import asyncio
import random
import time

import structlog

from monsoonpier.balancer.actions import ToAgent
from monsoonpier.balancer.membership import Membership
from monsoonpier.balancer.node import BalancerNode, balancer_record
from monsoonpier.balancer.packets.context import ResetCaller
from monsoonpier.balancer.packets.steering import PacketSteering
from monsoonpier.balancer.packets.wait_metrics import wait_metrics
from monsoonpier.balancer.stored_configuration import ConfigurationFormat
from monsoonpier.link.schedule import Urgency
from monsoonpier.link.sender import LinkSender
from monsoonpier.model.address import Address
from monsoonpier.model.settings import Settings
from monsoonpier.process.lifecycle import ProcessLifecycle, run_until_shutdown
from monsoonpier.process.logs import DecisionLog
from monsoonpier.process.metrics import counter, gauge
from monsoonpier.process.udp import UdpSocket, open_udp
from monsoonpier.process.web import WebServer
from monsoonpier.store.interface import Store
from monsoonpier.wire.codec import Dropped
from monsoonpier.wire.frames import FlowNotOwned, ForwardPacket, SynRejected
from monsoonpier.wire.packet import Packet, PacketCodec

__all__ = ["PacketBalancerProcess"]

QUIET_SECONDS = 1.0  # without callers' packets, after which shutdown is complete
MIN_LEAVE_SECONDS = 1.5  # by then health checks fail and the fabric has moved flows
MAX_LEAVE_SECONDS = 5.0  # a second less than processes are given to stop
RETRY_CHECK_SECONDS = 0.02  # between runs of pending work
_log = structlog.get_logger("monsoonpier.balancer.packets.process")


class PacketBalancerProcess:
    """Runs one balancer until its shutdown is complete.

    Args:
        settings: The settings of this process.
        packets: Address that receives callers' packets; callers use the same port.
        codec: Codec of the packets.
        store: The store with configuration and balancers.
        configuration_format: Format of the configuration in the store.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        packets: Address,
        codec: PacketCodec,
        store: Store,
        configuration_format: ConfigurationFormat,
    ) -> None:
        assert settings.metrics
        self._settings = settings
        self._packets = packets
        self._codec = codec
        self._store = store
        self._draw = random.Random()
        self._life = ProcessLifecycle()
        self._started = time.monotonic()
        self._membership = Membership(
            own=balancer_record(settings),
            started_at=self._started,
            configuration_seconds=settings.configuration_seconds,
        )
        self._steering = PacketSteering(
            membership=self._membership,
            log=DecisionLog("monsoonpier.balancer.packets.steering"),
            data_centres=settings.data_centres,
            reserves=settings.reserve_slots,
        )
        self._sender = LinkSender(bits_per_second=settings.link_bits_per_second)
        self._member = BalancerNode(
            settings=settings,
            membership=self._membership,
            life=self._life,
            sender=self._sender,
            store=store,
            take_frame=self._take_frame,
            on_configured=self._configured,
            draw=self._draw,
            configuration_format=configuration_format,
            read_waiting=lambda: self._steering.waiting_summaries(now=_now()),
        )
        self._web = WebServer(
            address=settings.metrics,
            read_metrics=self._metrics,
            is_ready=lambda: self.is_ready,
        )
        self._socket: UdpSocket | None = None
        self._retry_timer: asyncio.TimerHandle | None = None
        self._last_packet_at = 0.0
        self._configured_at = self._started
        self._dropped_by_reason: dict[str, int] = {}

    @property
    def is_ready(self) -> bool:
        """Whether callers' packets should be routed here."""
        knows_targets = len(self._membership.table) > 0
        return self._life.is_ready and knows_targets and self._member.is_in_contact

    async def run(self) -> None:
        """Serve until shutdown is requested and traffic has moved to other balancers.

        Raises:
            OSError: If a port is taken.
        """
        await self._member.start()
        self._socket = await open_udp(
            self._receive, ip=self._packets.ip, port=self._packets.port
        )
        await self._web.start()
        self._life.install_signals()
        _log.info("started", packets=str(self._packets))
        await run_until_shutdown(self._leave_and_finish, self._member.jobs)
        await self._web.stop()
        self._socket.close()
        await self._member.stop()
        _log.info("stopped")

    async def _leave_and_finish(self) -> None:
        """Wait for a shutdown request, leave, and wait until callers' packets stop."""
        await self._life.wait_for_shutdown()
        began = _now()
        # A task, so that an unresponsive store doesn't delay callers' packets.
        leaving = asyncio.create_task(self._member.leave())
        while _now() - began < MAX_LEAVE_SECONDS:
            await asyncio.sleep(0.1)
            is_quiet = _now() - self._last_packet_at > QUIET_SECONDS
            if is_quiet and _now() - began > MIN_LEAVE_SECONDS:
                break
        leaving.cancel()
        self._life.step("finished")

    def _configured(self) -> None:
        """Apply a new configuration."""
        self._configured_at = _now()
        self._steering.configured()
        self._life.step("configured")

    # Packets and frames

    def _receive(self, data: bytes, sender: tuple[str, int]) -> None:
        """Handle a datagram of a caller."""
        now = _now()
        packet = self._codec.decode(data, from_target=False)
        if isinstance(packet, Dropped):
            self._drop(packet.reason)
            return
        self._last_packet_at = now
        self._perform(self._steering.from_caller(packet, now=now, draw=self._draw))

    def _take_frame(self, frame, sender: tuple[str, int]) -> None:
        """Handle a frame of an agent or balancer."""
        packet: Packet | None = None
        if isinstance(frame, FlowNotOwned | SynRejected) and frame.payload:
            decoded = self._codec.decode(frame.payload, from_target=False)
            if isinstance(decoded, Dropped):
                self._drop(decoded.reason)
                return
            packet = decoded
        actions = self._steering.from_process(
            frame, packet, sender=sender, now=_now(), draw=self._draw
        )
        if actions is None:
            self._drop("unexpected")
            return
        self._perform(actions)

    def _perform(self, actions: list) -> None:
        """Send the frames and resets of these actions; schedule pending work."""
        for action in actions:
            match action:
                case ToAgent(endpoint=endpoint, frame=frame, flow=flow):
                    is_control = not isinstance(frame, ForwardPacket)
                    self._member.send(frame, endpoint, is_control=is_control, flow=flow)
                case ResetCaller(packet=packet):
                    self._send_reset(packet)
        if self._retry_timer is None and self._steering.is_waiting:
            loop = asyncio.get_running_loop()
            self._retry_timer = loop.call_later(RETRY_CHECK_SECONDS, self._run_retries)

    def _run_retries(self) -> None:
        """Do the steering's pending work."""
        self._retry_timer = None
        self._perform(self._steering.retry(now=_now(), draw=self._draw))

    def _send_reset(self, packet: Packet) -> None:
        """Send a reset to a packet's caller."""
        reset = self._codec.reset(packet.flow, acknowledged=packet.acknowledged)
        assert self._socket is not None
        endpoint = (packet.caller_ip, self._packets.port)
        self._sender.send(self._socket, reset, endpoint, urgency=Urgency.SMALL)

    def _drop(self, reason: str) -> None:
        """Count and log a dropped datagram."""
        count = self._dropped_by_reason.get(reason, 0)
        self._dropped_by_reason[reason] = count + 1
        _log.warning("datagram dropped", reason=reason)

    def _metrics(self):
        """Yield the metrics of this process."""
        membership = self._membership
        yield gauge(
            "uptime_seconds",
            "Seconds since the process started.",
            _now() - self._started,
        )
        yield gauge("targets", "Number of known targets.", len(membership.table))
        balancers = len(membership.peers.records_by_name)
        yield gauge("balancers", "Number of known balancers.", balancers)
        yield gauge("flows", "Number of flows in the flow table.", self._steering.flows)
        version = membership.configuration.version
        yield gauge(
            "configuration_version", "Version of the configuration in force.", version
        )
        age = _now() - self._configured_at
        yield gauge(
            "configuration_age_seconds",
            "Seconds since the configuration came into force.",
            age,
        )
        yield gauge(
            "stored_state_age_seconds",
            "Seconds since the stored state was last known to be in force here.",
            membership.freshness.age(now=_now()),
        )
        yield from self._steering.histograms
        yield from wait_metrics(
            self._steering.waiting_summaries(now=_now()),
            data_centre=self._settings.data_centre,
        )
        yield from self._sender.metrics
        yield self._store.call_seconds
        generation = membership.store_generation
        yield gauge(
            "store_generation", "Last known generation of the store.", generation.number
        )
        returns = generation.restores_by_source
        yield counter(
            "store_returns", "Restores of the store from a backup.", returns, "source"
        )
        results = self._steering.counts_by_result
        yield counter(
            "flow_decisions", "Decisions on flows, by result.", results, "result"
        )
        opened = self._steering.opened_by_service
        yield counter("opened_flows", "New flows, by service.", opened, "service")
        drops = self._dropped_by_reason | self._member.dropped_by_reason
        yield counter(
            "dropped_datagrams", "Dropped datagrams, by reason.", drops, "reason"
        )
        control = self._member.bytes_by_direction
        yield counter(
            "control_bytes",
            "Bytes of control traffic, by direction.",
            control,
            "direction",
        )


def _now() -> float:
    return time.monotonic()
