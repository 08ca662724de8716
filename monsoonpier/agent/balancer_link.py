"""An agent's link to balancers: heartbeats, discovery and configuration."""

import asyncio
import random
import time
from collections.abc import Callable

import msgspec
import structlog

from monsoonpier.agent.heartbeat_peers import HeartbeatPeers
from monsoonpier.documents.stored import decode_configuration, unpack
from monsoonpier.model.evacuation import Evacuations
from monsoonpier.model.service import Configuration
from monsoonpier.model.settings import Settings
from monsoonpier.model.target import Condition, LoadReport, TargetRecord
from monsoonpier.process.control import NoResponseError, send_request
from monsoonpier.process.registry import registered_balancers
from monsoonpier.store.backoff import Backoff
from monsoonpier.store.interface import Store, StoreError
from monsoonpier.store.keys import BALANCERS
from monsoonpier.wire.control import ConfigurationReply, ConfigurationRequest
from monsoonpier.wire.frames import (
    Announce,
    BalancerRecord,
    FrameCodec,
    Heartbeat,
    HeartbeatAck,
    RecordReply,
)

__all__ = ["BalancerLink", "target_record"]

HEARTBEAT_SECONDS = 1.0
ANNOUNCE_EVERY = 30  # heartbeats, after which the whole record is sent again
MIN_FIND_SECONDS = 1.0  # between reads of the store while no balancer responds
MAX_FIND_SECONDS = 30.0
# Between two rounds of announcements while no balancer responds. They are
# short, since after a loss of power balancers start 0.1 to 0.6 s after agents;
# with rounds of 0.2 s to the seeds alone the first flow came 0.2 to 0.3 s later.
MIN_ANNOUNCE_SECONDS = 0.03
MAX_ANNOUNCE_SECONDS = 0.2
ANNOUNCE_SAMPLE = 4  # balancers per round besides the seeds, which may start last
_log = structlog.get_logger("monsoonpier.agent.balancer_link")


def target_record(settings: Settings, *, instance: bytes) -> TargetRecord:
    """Return the first record of its target that an agent announces."""
    assert settings.target and settings.internal and settings.control
    return TargetRecord(
        name=settings.name,
        service=settings.target.service,
        data_centre=settings.data_centre,
        ip=settings.internal.ip,
        port=settings.internal.port,
        control=str(settings.control),
        instance=instance,
        epoch=int(time.time() * 1000),
        slots=settings.target.slots,
        connections=settings.target.connections,
        answers_queries=True,
    )


class BalancerLink:
    """Sends heartbeats to balancers; receives configurations and evacuation orders.

    Args:
        settings: The settings of this process.
        store: The store in which balancers are registered.
        record: The first record of the target.
        send: Sends a frame to the internal address of another process.
        read_load: Returns the present load for a heartbeat.
        configure: Called with each newer configuration; ``None`` if none is
            wanted.
        evacuate: Called after each change of evacuation of the target's data
            centre.
        draw: The source of random numbers.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        store: Store,
        record: TargetRecord,
        send: Callable[[object, tuple[str, int]], None],
        read_load: Callable[[], LoadReport],
        configure: Callable[[Configuration], None] | None,
        evacuate: Callable[[], None],
        draw: random.Random,
    ) -> None:
        self._settings = settings
        self._send = send
        self._read_load = read_load
        self._on_configuration = configure
        self._on_evacuation = evacuate
        self._draw = draw
        self._codec = FrameCodec(keys=settings.keys)
        self._peers = HeartbeatPeers(target=settings.name)
        self._store = store
        self._fetch_task: asyncio.Task | None = None
        self._read_task: asyncio.Task | None = None
        self.record = record
        self.configuration = Configuration()
        self.evacuations = Evacuations()

    @property
    def is_evacuated(self) -> bool:
        """Whether the target's data centre accepts no new flows."""
        return self.evacuations.is_evacuated(self._settings.data_centre)

    async def run(self) -> None:
        """Send heartbeats and look for balancers until cancelled."""
        await asyncio.gather(self._heartbeat_forever(), self._find_balancers_forever())

    async def close(self) -> None:
        """Close the connections to the store."""
        await self._store.close()

    def announce(self, condition: Condition) -> None:
        """Announce the target's condition to the balancers at once."""
        if condition is not self.record.condition:
            self.record = self.record.with_condition(condition)
        self._peers.require_announcements()
        for balancer in self._peers.select(now=_now()):
            self._send(self._announcement(), balancer.endpoint)

    def set_instance(
        self,
        instance: bytes,
        *,
        slots: int,
        addresses: tuple[bytes, ...] | None = None,
    ) -> None:
        """Update the target's record with what is known of its new instance."""
        self.record = msgspec.structs.replace(
            self.record,
            instance=instance,
            slots=slots,
            addresses=addresses,
            change=self.record.change + 1,
            is_absent=False,
        )

    def set_addresses(self, addresses: tuple[bytes, ...] | None) -> None:
        """Announce at once where the target may own flows, if that has changed."""
        if addresses == self.record.addresses:
            return
        self.record = msgspec.structs.replace(
            self.record, addresses=addresses, change=self.record.change + 1
        )
        self.announce(self.record.condition)

    def announce_no_target(self) -> None:
        """Announce at once that no target has been found here."""
        self.record = msgspec.structs.replace(
            self.record, is_absent=True, change=self.record.change + 1
        )
        self.announce(self.record.condition)

    def answer_query(self, balancer: tuple[str, int]) -> None:
        """Answer a balancer's query with the target's record and load."""
        reply = RecordReply(record=self.record, load=self._read_load())
        self._send(reply, balancer)

    def handle_ack(self, ack: HeartbeatAck) -> bool:
        """Process a balancer's response to a heartbeat.

        Returns:
            Whether the configuration allows the target to serve its service;
            ``True`` if the balancer's configuration is older than the agent's.
        """
        self._peers.record_ack(ack, now=_now())
        self._apply_evacuation(ack)
        epoch = self._peers.next_epoch(ack, epoch=self.record.epoch)
        if epoch is not None:
            _log.warning(
                "wall clock was set back", epoch=self.record.epoch, held=epoch - 1
            )
            self.record = msgspec.structs.replace(self.record, epoch=epoch)
            self.announce(self.record.condition)
        record = self._peers.record(ack.balancer)
        if ack.version > self.configuration.version and record is not None:
            self._start_fetch(record)
        is_current = ack.version and ack.version >= self.configuration.version
        return ack.allowed or not is_current

    def _apply_evacuation(self, ack: HeartbeatAck) -> None:
        """Apply an evacuation order from a response, if it is new."""
        order = ack.evacuation
        if order is None or order.data_centre != self._settings.data_centre:
            return
        was_evacuated = self.is_evacuated
        merged = self.evacuations.joined((order,))
        if merged == self.evacuations:
            return
        self.evacuations = merged
        if not was_evacuated and not order.is_active:
            return  # Balancers repeat revocations while the target sheds flows.
        _log.info(
            "evacuation in force" if order.is_active else "evacuation revoked",
            revision=order.revision,
            generation=order.generation,
            learned_from=ack.balancer,
        )
        self._on_evacuation()

    async def _heartbeat_forever(self) -> None:
        heartbeats = 0
        while True:
            heartbeats += 1
            if heartbeats % ANNOUNCE_EVERY == 0:
                self._peers.require_announcements()
            for balancer in self._peers.select(now=_now()):
                announce = self._peers.count_heartbeat(balancer.name, now=_now())
                frame = self._announcement() if announce else self._heartbeat()
                self._send(frame, balancer.endpoint)
            # Spreads the heartbeats of agents that started together.
            await asyncio.sleep(HEARTBEAT_SECONDS * self._draw.uniform(0.9, 1.1))

    def _announcement(self) -> Announce:
        return Announce(record=self.record)

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(
            name=self.record.name,
            epoch=self.record.epoch,
            change=self.record.change,
            load=self._read_load(),
        )

    async def _find_balancers_forever(self) -> None:
        """Announce to seeds and read the store while no balancer has responded.

        Reads of the store back off, so that many agents that lost their
        balancers at once do not use up the store's rate limits. Announcements
        to seeds need no such limit.
        """
        read_backoff = Backoff(
            initial_seconds=MIN_FIND_SECONDS, max_seconds=MAX_FIND_SECONDS
        )
        announce_backoff = Backoff(
            initial_seconds=MIN_ANNOUNCE_SECONDS, max_seconds=MAX_ANNOUNCE_SECONDS
        )
        # The first read is immediate, since balancers that are registered
        # already will probably be up soon.
        next_read_at = _now()
        while True:
            if not self._peers.is_unacknowledged:
                read_backoff = read_backoff.after_success()
                announce_backoff = announce_backoff.after_success()
                await asyncio.sleep(MIN_FIND_SECONDS * self._draw.uniform(0.5, 1.0))
                continue
            self._announce_to_candidates()
            if _now() >= next_read_at:
                self._start_reading_balancers()
                next_read_at = _now() + read_backoff.wait_seconds(draw=self._draw)
                read_backoff = read_backoff.after_failure()
            await asyncio.sleep(announce_backoff.wait_seconds(draw=self._draw))
            announce_backoff = announce_backoff.after_failure()

    def _announce_to_candidates(self) -> None:
        """Announce the target to the seeds and some known balancers."""
        known = self._peers.sample(ANNOUNCE_SAMPLE, draw=self._draw)
        endpoints = {seed.endpoint for seed in self._settings.seeds}
        endpoints |= {record.endpoint for record in known}
        for endpoint in sorted(endpoints):
            self._send(self._announcement(), endpoint)

    def _start_reading_balancers(self) -> None:
        """Read balancers in a separate task, since the store may respond late."""
        if self._read_task is None or self._read_task.done():
            self._read_task = asyncio.create_task(self._read_balancers())

    async def _read_balancers(self) -> None:
        try:
            found = await self._store.read(BALANCERS, prefix=True, may_be_stale=True)
        except StoreError as error:
            _log.info("reading balancers from the store failed", reason=str(error))
            return
        for record in registered_balancers(found, codec=self._codec):
            self._peers.update_record(record)

    def _start_fetch(self, balancer: BalancerRecord) -> None:
        """Start to fetch the configuration, unless one is being fetched already."""
        if self._on_configuration is None:
            return
        if self._fetch_task is None or self._fetch_task.done():
            self._fetch_task = asyncio.create_task(self._fetch_configuration(balancer))

    async def _fetch_configuration(self, balancer: BalancerRecord) -> None:
        request = ConfigurationRequest(
            newer_than=self.configuration.version, service=self.record.service
        )
        try:
            reply = await send_request(
                balancer.control, request, keys=self._settings.keys
            )
        except NoResponseError as error:
            _log.info("fetching the configuration failed", reason=str(error))
            return
        if isinstance(reply, ConfigurationReply) and reply.packed:
            self._apply_configuration(reply.packed)

    def _apply_configuration(self, packed: bytes) -> None:
        """Apply a configuration unless it is older than the present one."""
        try:
            configuration = decode_configuration(unpack(packed))
        except ValueError as error:
            _log.error("stored configuration not usable", reason=str(error))
            return
        if configuration.version <= self.configuration.version:
            return
        self.configuration = configuration
        _log.info("configuration in force", version=configuration.version)
        self._on_configuration(configuration)


def _now() -> float:
    return time.monotonic()
