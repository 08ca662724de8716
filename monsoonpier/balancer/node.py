"""The I/O of a balancer's membership: sockets, tasks and the store's connection."""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import asdict

import structlog

from monsoonpier.balancer.actions import (
    FetchConfiguration,
    FetchTable,
    RequestStatus,
    ToAgent,
)
from monsoonpier.balancer.configuration_copy import ConfigurationCopies
from monsoonpier.balancer.contact import ContactMonitor
from monsoonpier.balancer.membership import Membership
from monsoonpier.balancer.store_link import (
    EvacuationsRead,
    StoreLink,
    updated_evacuations,
)
from monsoonpier.balancer.stored_configuration import (
    STORED_FORMAT,
    ConfigurationFormat,
    CurrentConfiguration,
)
from monsoonpier.link.sender import LinkSender
from monsoonpier.model.evacuation import Evacuation, Evacuations
from monsoonpier.model.revision import Revision
from monsoonpier.model.settings import Settings
from monsoonpier.model.waiting_summary import WaitingSummary
from monsoonpier.process.control import (
    ControlServer,
    NoResponseError,
    handle_drain,
    send_request,
)
from monsoonpier.process.frames import send_frame
from monsoonpier.process.lifecycle import ProcessLifecycle
from monsoonpier.process.udp import UdpSocket, open_udp
from monsoonpier.store.backoff import Backoff
from monsoonpier.store.interface import Store
from monsoonpier.wire.codec import Dropped
from monsoonpier.wire.control import (
    ConfigurationReply,
    ConfigurationRequest,
    DrainRequest,
    StatusReply,
    StatusRequest,
    TableReply,
    TableRequest,
    TargetStatus,
)
from monsoonpier.wire.frames import BalancerRecord, FrameCodec

__all__ = ["BalancerNode", "balancer_record"]

GOSSIP_SECONDS = 1.0
UPDATE_CHECK_SECONDS = 0.1
# A balancer that has just started gossips more often, since it can't serve before it
# knows the targets.
STARTUP_SECONDS = 3.0
STARTUP_CHECK_SECONDS = 0.03  # in place of UPDATE_CHECK_SECONDS
STARTUP_GOSSIP_SECONDS = 0.15
PROBED_PEERS = 3  # a bound, so that large fleets aren't flooded
CONTACT_CHECK_SECONDS = 0.2
FIRST_JOIN_SECONDS = 0.03  # first interval of join messages
MAX_JOIN_SECONDS = 0.2
JOIN_PEERS = 4  # in addition to the seeds
_log = structlog.get_logger("monsoonpier.balancer.node")


def balancer_record(settings: Settings) -> BalancerRecord:
    """Return the record of a balancer that starts now."""
    assert settings.internal and settings.control
    return BalancerRecord(
        name=settings.name,
        data_centre=settings.data_centre,
        ip=settings.internal.ip,
        port=settings.internal.port,
        control=str(settings.control),
        epoch=int(time.time() * 1000),
    )


class BalancerNode:
    """Runs a balancer's internal socket, control server, gossip and store link.

    Args:
        settings: The process's settings.
        membership: Decides on frames; this class does its I/O.
        life: The lifecycle of the process.
        sender: The outgoing link that all sockets of the process share.
        store: Holds the configuration and the registered balancers.
        take_frame: Called with each frame that isn't part of the membership protocol.
        on_configured: Called after a newer configuration is in force.
        draw: Random numbers for jitter and for choosing peers.
        configuration_format: Decodes and compresses the stored configuration.
        read_waiting: Returns summaries of waiting callers for status replies.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        membership: Membership,
        life: ProcessLifecycle,
        sender: LinkSender,
        store: Store,
        take_frame: Callable[[object, tuple[str, int]], None],
        on_configured: Callable[[], None],
        draw: random.Random,
        configuration_format: ConfigurationFormat = STORED_FORMAT,
        read_waiting: Callable[[], tuple[WaitingSummary, ...]] = tuple,
    ) -> None:
        assert settings.control
        self._settings = settings
        self._membership = membership
        self._lifecycle = life
        self._sender = sender
        self._take_frame = take_frame
        self._read_waiting = read_waiting
        self._draw = draw
        self._configuration = CurrentConfiguration(
            membership=membership,
            configuration_format=configuration_format,
            on_configured=on_configured,
        )
        self._codec = FrameCodec(keys=settings.keys)
        self._store = store
        self._link = StoreLink(
            store=store,
            peers=membership.peers,
            codec=self._codec,
            copies=ConfigurationCopies(store=store, keys=settings.keys),
            configuration=self._configuration,
            evacuate=self._apply_evacuations,
            draw=draw,
            generation=membership.store_generation,
            freshness=membership.freshness,
            read_orders=lambda: membership.evacuations.active,
            on_restored=self._on_store_restored,
        )
        self._control = ControlServer(
            address=settings.control, keys=settings.keys, handler=self._handle_request
        )
        self._socket: UdpSocket | None = None
        self._fetches_by_action: dict[type, asyncio.Task] = {}
        self._status_tasks: set[asyncio.Task] = set()
        self._bytes_by_direction = {"in": 0, "out": 0}
        self._started = time.monotonic()
        self._contact = ContactMonitor(now=self._started)
        self._was_in_contact = True
        self.dropped_by_reason: dict[str, int] = {}

    @property
    def jobs(self) -> tuple[Callable, ...]:
        """The coroutine functions to run until the process ends."""
        return (
            self._control.run,
            self._gossip_forever,
            self._monitor_contact_forever,
            self._link.run,
        )

    @property
    def is_in_contact(self) -> bool:
        """Whether frames of other processes have arrived recently."""
        has_peers = self._membership.peers.has_peers
        return self._contact.is_in_contact(has_peers=has_peers, now=_now())

    @property
    def bytes_by_direction(self) -> dict[str, int]:
        """Bytes of control traffic so far; ``zmq`` counts both directions."""
        return dict(self._bytes_by_direction, zmq=self._control.bytes_total)

    async def start(self) -> None:
        """Bind the sockets.

        Raises:
            OSError: If a port is taken.
        """
        internal = self._settings.internal
        assert internal
        self._socket = await open_udp(self._receive, ip=internal.ip, port=internal.port)
        self._control.start()

    async def leave(self) -> None:
        """Inform peers and the store that this balancer leaves."""
        self._membership.peers.leave()
        self._send_round(eager=True)
        await self._link.leave()

    async def stop(self) -> None:
        """Close the sockets."""
        await self._store.close()
        self._control.stop()
        if self._socket is not None:
            self._socket.close()

    # Frames

    def send(
        self,
        frame,
        endpoint: tuple[str, int],
        *,
        is_control: bool,
        flow: bytes = b"",
    ) -> None:
        """Send a frame to another process's internal address.

        Args:
            frame: The frame.
            endpoint: The destination.
            is_control: Whether to count the frame as control traffic.
            flow: The flow that it belongs to, if any.
        """
        if self._socket is None:
            return  # Frames may arrive while the socket is being set up.
        size = send_frame(
            frame,
            endpoint,
            codec=self._codec,
            sender=self._sender,
            socket=self._socket,
            flow=flow,
        )
        if is_control:
            self._bytes_by_direction["out"] += size

    def execute(self, action) -> None:
        """Carry out an action of the membership."""
        match action:
            case ToAgent(endpoint=endpoint, frame=frame):
                self.send(frame, endpoint, is_control=True)
            case FetchConfiguration() | FetchTable():
                self._start_fetch(action)
            case RequestStatus():
                task = asyncio.create_task(self._request_status(action))
                self._status_tasks.add(task)
                task.add_done_callback(self._status_tasks.discard)

    def _receive(self, data: bytes, sender: tuple[str, int]) -> None:
        frame = self._codec.decode(data)
        if isinstance(frame, Dropped):
            dropped = self.dropped_by_reason
            dropped[frame.reason] = dropped.get(frame.reason, 0) + 1
            return
        now = _now()
        self._contact.frame_received(
            has_peers=self._membership.peers.has_peers, now=now
        )
        before = self._membership.evacuations
        generation = self._membership.store_generation
        old_generation, restores = generation.number, generation.restores
        actions = self._membership.from_process(
            frame, sender=sender, now=now, draw=self._draw
        )
        self._report_evacuations(before, learned_from=sender[0])
        if generation.restores > restores:
            self._link.store_restored()
            self._log_restored(old_generation, learned_from=sender[0])
        if actions is None:
            self._take_frame(frame, sender)
            return
        self._bytes_by_direction["in"] += len(data)
        for action in actions:
            self.execute(action)

    # Evacuations

    def _apply_evacuations(self, update: Evacuation | EvacuationsRead) -> None:
        before = self._membership.evacuations
        self._membership.evacuate(updated_evacuations(before, update))
        self._report_evacuations(before, learned_from="store")

    def _report_evacuations(self, before: Evacuations, *, learned_from: str) -> None:
        """Log changed evacuation orders and inform the affected agents."""
        known = self._membership.evacuations.known
        for order in known:
            if before.of(order.data_centre) == order:
                continue
            _log.info(
                _evacuation_event(order, before=before),
                data_centre=order.data_centre,
                revision=order.revision,
                generation=order.generation,
                learned_from=learned_from,
            )
            for action in self._membership.evacuation_acks(order, now=_now()):
                self.execute(action)

    # Restore of the store from a backup

    def _on_store_restored(self, old_generation: int, revision: Revision) -> None:
        self._membership.has_updates = True
        self._log_restored(
            old_generation, learned_from="store", revision=revision.number
        )

    def _log_restored(self, old_generation: int, **source: str | int) -> None:
        new = self._membership.store_generation.number
        _log.warning("store restored", old=old_generation, new=new, **source)

    # Gossip

    async def _gossip_forever(self) -> None:
        """Send gossip rounds at intervals, and at once when there are updates."""
        join_backoff = Backoff(
            initial_seconds=FIRST_JOIN_SECONDS, max_seconds=MAX_JOIN_SECONDS
        )
        while True:
            self._send_round(eager=False)
            if not len(self._membership.table):
                seconds = join_backoff.wait_seconds(draw=self._draw)
                join_backoff = join_backoff.after_failure()
            else:
                seconds = self._gossip_seconds * self._draw.uniform(0.8, 1.2)
            until = _now() + seconds
            while _now() < until:
                await asyncio.sleep(min(self._update_check_seconds, seconds))
                self._query_freshness()
                if self._membership.has_updates:
                    self._send_round(eager=True)

    def _query_freshness(self) -> None:
        """Query a peer if the stored state must be validated; log changed doubt."""
        now = _now()
        membership = self._membership
        for action in membership.freshness_queries(now=now, draw=self._draw):
            self.execute(action)
        self._log_doubt(now=now)

    def _log_doubt(self, *, now: float) -> None:
        freshness = self._membership.freshness
        is_doubted = freshness.changed_doubt(now=now)
        if is_doubted is None:
            return
        event = "stored state in doubt" if is_doubted else "stored state confirmed"
        _log.info(
            event,
            age=round(freshness.age(now=now), 3),
            version=self._configuration.version,
            revision=str(freshness.revision),
            validated_by=freshness.validated_by,
        )

    @property
    def _is_starting(self) -> bool:
        return _now() - self._started < STARTUP_SECONDS

    @property
    def _gossip_seconds(self) -> float:
        return STARTUP_GOSSIP_SECONDS if self._is_starting else GOSSIP_SECONDS

    @property
    def _update_check_seconds(self) -> float:
        return STARTUP_CHECK_SECONDS if self._is_starting else UPDATE_CHECK_SECONDS

    def _send_round(self, *, eager: bool) -> None:
        membership = self._membership
        for action in membership.gossip_round(now=_now(), draw=self._draw, eager=eager):
            self.execute(action)
        if not eager:
            for request in membership.status_requests(now=_now()):
                self.execute(request)
        self._log_beliefs()
        if not len(membership.table):
            self._send_join()

    def _log_beliefs(self) -> None:
        """Log what this balancer has concluded about targets."""
        changes, self._membership.belief_changes = self._membership.belief_changes, []
        for change in changes:
            _log.info("belief in target changed", **asdict(change))

    def _send_join(self) -> None:
        """Send gossip to the seeds and some peers, to learn of the first targets.

        The seeds alone are not enough, since they may be the last to start.
        """
        peers = self._membership.peers.sample(JOIN_PEERS, draw=self._draw)
        endpoints = {peer.endpoint for peer in peers}
        endpoints |= {seed.endpoint for seed in self._settings.seeds}
        endpoints.discard(self._membership.peers.own.endpoint)
        for endpoint in sorted(endpoints):
            self._gossip_to(endpoint)

    def _gossip_to(self, endpoint: tuple[str, int]) -> None:
        self.execute(
            self._membership.extra_gossip(endpoint, now=_now(), draw=self._draw)
        )

    async def _monitor_contact_forever(self) -> None:
        """Probe peers when no frames arrive, and log lost and regained contact."""
        while True:
            await asyncio.sleep(CONTACT_CHECK_SECONDS)
            is_in_contact = self.is_in_contact
            if is_in_contact != self._was_in_contact:
                self._was_in_contact = is_in_contact
                event = "contact regained" if is_in_contact else "contact lost"
                balancers = len(self._membership.peers.records_by_name)
                _log.warning(event, balancers=balancers)
            if not self._contact.should_probe(now=_now()):
                continue
            peers = self._membership.peers.sample(PROBED_PEERS, draw=self._draw)
            for peer in peers:
                self._gossip_to(peer.endpoint)

    # Requests to peers

    def _start_fetch(self, action: FetchConfiguration | FetchTable) -> None:
        """Start a fetch, unless one of the same kind is running."""
        kind = type(action)
        running = self._fetches_by_action.get(kind)
        if running is None or running.done():
            self._fetches_by_action[kind] = asyncio.create_task(self._fetch(action))

    async def _fetch(self, action: FetchConfiguration | FetchTable) -> None:
        membership = self._membership
        match action:
            case FetchConfiguration():
                request = ConfigurationRequest(newer_than=self._configuration.version)
            case FetchTable():
                request = TableRequest(digests=membership.table.bucket_digests)
        try:
            reply = await send_request(
                action.control, request, keys=self._settings.keys
            )
        except NoResponseError as error:
            _log.info("peer did not answer", reason=str(error))
            return
        match reply:
            case ConfigurationReply(packed=packed) if packed:
                self._configuration.apply_packed(packed, learned_from=action.control)
                queries = membership.configuration_fetched(
                    action.control, now=_now(), draw=self._draw
                )
                for query in queries:
                    self.execute(query)
            case TableReply(records=records, balancers=balancers, silences=silences):
                membership.learn_records(records, silences=silences, now=_now())
                for balancer in balancers:
                    membership.peers.learn(balancer)

    async def _request_status(self, action: RequestStatus) -> None:
        try:
            reply = await send_request(
                action.control, StatusRequest(), keys=self._settings.keys
            )
        except NoResponseError:
            reply = None
        is_answered = isinstance(reply, StatusReply) and reply.name == action.name
        self._membership.take_status(action, is_answered=is_answered, now=_now())

    # Control requests

    async def _handle_request(self, message):
        membership = self._membership
        match message:
            case ConfigurationRequest(newer_than=version, service=service):
                current = self._configuration.version
                is_newer = current > version
                packed = self._configuration.packed(service) if is_newer else b""
                return ConfigurationReply(version=current, packed=packed)
            case TableRequest(digests=digests):
                records = membership.records_for_peer(digests, now=_now())
                balancers = tuple(membership.peers.records_by_name.values())
                silences = membership.silences
                return TableReply(
                    records=records, balancers=balancers, silences=silences
                )
            case StatusRequest():
                return self._status()
            case DrainRequest():
                name = self._settings.name
                return handle_drain(message, name=name, life=self._lifecycle)
        return None

    def _status(self) -> StatusReply:
        membership = self._membership
        candidates = membership.table.all_candidates(now=_now())
        return StatusReply(
            name=self._settings.name,
            role="balancer",
            data_centre=self._settings.data_centre,
            state=self._lifecycle.state,
            version=membership.configuration.version,
            uptime=_now() - self._started,
            targets=tuple(
                TargetStatus(record=c.record, load=c.load, suspected=c.suspected)
                for c in candidates
            ),
            balancers=tuple(membership.peers.records_by_name.values()),
            evacuated=tuple(sorted(membership.evacuations.active)),
            waiting=self._read_waiting(),
        )


def _evacuation_event(order: Evacuation, *, before: Evacuations) -> str:
    """Return the log event of a changed order."""
    if order.is_active:
        return "evacuation in force"
    if before.is_evacuated(order.data_centre):
        return "evacuation revoked"
    # The order, or its revocation, was reported too late to matter.
    return "evacuation already revoked"


def _now() -> float:
    return time.monotonic()
