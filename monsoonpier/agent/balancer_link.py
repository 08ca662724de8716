"""An agent's dealings with balancers: heartbeats, finding them, configuration."""

import asyncio
import random
import time
from collections.abc import Callable

import msgspec
import structlog

from monsoonpier.agent.witnesses import Witnesses
from monsoonpier.documents.stored import unpack, unstore
from monsoonpier.model.evacuation import Evacuations
from monsoonpier.model.service import Configuration
from monsoonpier.model.settings import Settings
from monsoonpier.model.target import Condition, LoadReport, TargetRecord
from monsoonpier.process.control import NoAnswer, ask
from monsoonpier.process.registry import registered_balancers
from monsoonpier.store.backoff import Backoff
from monsoonpier.store.interface import Store, StoreError
from monsoonpier.store.keys import BALANCERS
from monsoonpier.wire.control import AskConfiguration, ConfigurationReply
from monsoonpier.wire.frames import (
    Announce,
    BalancerRecord,
    FrameCodec,
    Heartbeat,
    HeartbeatAck,
)

__all__ = ["BalancerLink", "target_record"]

HEARTBEAT_SECONDS = 1.0
INTRODUCE_EVERY = 30  # heartbeats between two announcements to the same balancer
FIND_SECONDS = 1.0  # between looks at the platform while no balancer answers
MAX_FIND_SECONDS = 30.0
# Between two rounds of announcements while no balancer has answered. After a loss of
# power balancers start 0.1 to 0.6 s after agents; rounds of 0.2 s and waiting for the
# seeds alone cost 0.2 to 0.3 s there (first flow placed, logs of two replays).
FIRST_GREET_SECONDS = 0.03
GREET_SECONDS = 0.2
GREETED_BALANCERS = 4  # beside the seeds, which may be the last to start
_log = structlog.get_logger("monsoonpier.agent.balancer_link")


def target_record(settings: Settings, *, instance: bytes) -> TargetRecord:
    """Return what an agent that starts now announces of its target."""
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
    )


class BalancerLink:
    """Keeps balancers informed of the target, and the agent of configuration.

    Args:
        record: The target as it is announced at first.
        send: Sends a control frame to an internal address.
        read_load: Returns the present load for a heartbeat.
        configure: Takes each newer configuration; ``None`` if none is wanted.
        evacuate: Told whenever an order on the target's data centre is new.
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
        self._take_configuration = configure
        self._take_evacuation = evacuate
        self._draw = draw
        self._codec = FrameCodec(keys=settings.keys)
        self._witnesses = Witnesses(target=settings.name)
        self._store = store
        self._fetching: asyncio.Task | None = None
        self._reading: asyncio.Task | None = None
        self.record = record
        self.configuration = Configuration()
        self.evacuations = Evacuations()

    @property
    def is_evacuated(self) -> bool:
        """Whether the target's data centre takes no new flows."""
        return self.evacuations.is_evacuated(self._settings.data_centre)

    async def run(self) -> None:
        """Heartbeat and look for balancers until cancelled."""
        await asyncio.gather(self._heartbeat_forever(), self._find_forever())

    async def close(self) -> None:
        """Let go of connections."""
        await self._store.close()

    def announce(self, condition: Condition) -> None:
        """Tell the balancers of the target's condition at once."""
        if condition is not self.record.condition:
            self.record = self.record.with_condition(condition)
        self._witnesses.announce_again()
        for balancer in self._witnesses.chosen(now=_now()):
            self._send(self._announcement(), balancer.endpoint)

    def identify(self, instance: bytes, *, slots: int) -> None:
        """Take the target's run and size into its record."""
        self.record = msgspec.structs.replace(
            self.record,
            instance=instance,
            slots=slots,
            change=self.record.change + 1,
            is_absent=False,
        )

    def announce_absent(self) -> None:
        """Tell the balancers at once that no target has been found here."""
        self.record = msgspec.structs.replace(
            self.record, is_absent=True, change=self.record.change + 1
        )
        self.announce(self.record.condition)

    def acknowledged(self, ack: HeartbeatAck) -> bool:
        """Take a balancer's answer; tell whether the target is allowed."""
        self._witnesses.acknowledged(ack, now=_now())
        self._learn_evacuation(ack)
        epoch = self._witnesses.epoch_beyond(ack, epoch=self.record.epoch)
        if epoch is not None:
            _log.warning("clock was set back", epoch=self.record.epoch, held=epoch - 1)
            self.record = msgspec.structs.replace(self.record, epoch=epoch)
            self.announce(self.record.condition)
        record = self._witnesses.record(ack.balancer)
        if ack.version > self.configuration.version and record is not None:
            self._fetch_from(record)
        is_current = ack.version and ack.version >= self.configuration.version
        return ack.allowed or not is_current

    def _learn_evacuation(self, ack: HeartbeatAck) -> None:
        order = ack.evacuation
        if order is None or order.data_centre != self._settings.data_centre:
            return
        joined = self.evacuations.joined((order,))
        if joined == self.evacuations:
            return
        self.evacuations = joined
        _log.info(
            "evacuation in force" if order.is_active else "evacuation taken back",
            revision=order.revision,
            generation=order.generation,
            learned_from=ack.balancer,
        )
        self._take_evacuation()

    async def _heartbeat_forever(self) -> None:
        beats = 0
        while True:
            beats += 1
            if beats % INTRODUCE_EVERY == 0:
                self._witnesses.announce_again()
            for balancer in self._witnesses.chosen(now=_now()):
                announce = self._witnesses.beat(balancer.name, now=_now())
                frame = self._announcement() if announce else self._heartbeat()
                self._send(frame, balancer.endpoint)
            # Agents that started together must not beat in step for ever.
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

    async def _find_forever(self) -> None:
        """Ask seeds and the store while no balancer has answered.

        When a whole fleet is cut off it must not take the store's rates, so the
        store is asked ever more seldom; seeds cost nobody anything.
        """
        reading = Backoff(first_seconds=FIND_SECONDS, most_seconds=MAX_FIND_SECONDS)
        greeting = Backoff(
            first_seconds=FIRST_GREET_SECONDS, most_seconds=GREET_SECONDS
        )
        # What a store that lives on knows of balancers is mostly true again soon.
        read_at = _now()
        while True:
            if not self._witnesses.is_cut_off:
                reading = reading.after_success()
                greeting = greeting.after_success()
                await asyncio.sleep(FIND_SECONDS * self._draw.uniform(0.5, 1.0))
                continue
            self._greet()
            if _now() >= read_at:
                self._read_store_soon()
                read_at = _now() + reading.wait_seconds(draw=self._draw)
                reading = reading.after_failure()
            await asyncio.sleep(greeting.wait_seconds(draw=self._draw))
            greeting = greeting.after_failure()

    def _greet(self) -> None:
        """Announce the target to the seeds and to some balancers that are known."""
        known = self._witnesses.sample(GREETED_BALANCERS, draw=self._draw)
        endpoints = {seed.endpoint for seed in self._settings.seeds}
        endpoints |= {record.endpoint for record in known}
        for endpoint in sorted(endpoints):
            self._send(self._announcement(), endpoint)

    def _read_store_soon(self) -> None:
        """Read the store beside the announcements: it may not answer for long."""
        if self._reading is None or self._reading.done():
            self._reading = asyncio.create_task(self._read_store())

    async def _read_store(self) -> None:
        try:
            found = await self._store.read(BALANCERS, prefix=True, may_be_old=True)
        except StoreError as error:
            _log.info("platform unreachable", reason=str(error))
            return
        for record in registered_balancers(found, codec=self._codec):
            self._witnesses.learn(record)

    def _fetch_from(self, balancer: BalancerRecord) -> None:
        if self._take_configuration is None:
            return
        if self._fetching is None or self._fetching.done():
            self._fetching = asyncio.create_task(self._fetch(balancer))

    async def _fetch(self, balancer: BalancerRecord) -> None:
        question = AskConfiguration(
            newer_than=self.configuration.version, service=self.record.service
        )
        try:
            reply = await ask(balancer.control, question, keys=self._settings.keys)
        except NoAnswer as error:
            _log.info("configuration not fetched", reason=str(error))
            return
        if isinstance(reply, ConfigurationReply) and reply.packed:
            self._configure(reply.packed)

    def _configure(self, packed: bytes) -> None:
        """Put a configuration in force unless it is older than the present one."""
        try:
            configuration = unstore(unpack(packed))
        except ValueError as error:
            _log.error("stored configuration not usable", reason=str(error))
            return
        if configuration.version <= self.configuration.version:
            return
        self.configuration = configuration
        _log.info("configuration in force", version=configuration.version)
        self._take_configuration(configuration)


def _now() -> float:
    return time.monotonic()
