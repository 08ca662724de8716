"""A balancer's dealings with the platform: the watch of few, and the copy."""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from monsoonpier.balancer.configuration_copy import ConfigurationCopies
from monsoonpier.balancer.peers import Peers
from monsoonpier.balancer.registration import Registration
from monsoonpier.balancer.store_generation import StoreGeneration
from monsoonpier.balancer.stored_configuration import StoredConfiguration
from monsoonpier.model.evacuation import Evacuation, evacuation
from monsoonpier.model.revision import Revision
from monsoonpier.process.registry import registered_balancers
from monsoonpier.store.backoff import Backoff
from monsoonpier.store.interface import (
    CompactedError,
    Snapshot,
    Store,
    StoreError,
    WatchEvent,
)
from monsoonpier.store.keys import (
    BALANCERS,
    CONFIGURATION,
    CONFIGURATION_COPY,
    EVACUATIONS,
)
from monsoonpier.wire.frames import FrameCodec

__all__ = ["EvacuationsRead", "StoreLink"]

WATCH_CHECK_SECONDS = 2.0  # how soon a watcher's place is taken when it dies
POLL_SECONDS = 60.0  # those who don't watch look this seldom; peers tell them first
REREAD_SECONDS = 0.2  # a process without configuration serves nothing
MAX_REREAD_SECONDS = 2.0
JUST_READ_SECONDS = 5.0  # peers tell of those that have registered since
COPY_SECONDS = 2.0  # a storm of changes is copied this often, not each time
_log = structlog.get_logger("monsoonpier.balancer.store_link")


@dataclass(frozen=True, slots=True, kw_only=True)
class EvacuationsRead:
    """All orders to evacuate that are in the store.

    Attributes:
        revisions_by_data_centre: The revision of each order.
        revision: The store's revision that the reading holds for at least.
        is_conclusive: Orders that the store lost when it came back from a copy would
            have been written again by then.
    """

    revisions_by_data_centre: dict[str, Revision]
    revision: Revision
    is_conclusive: bool = True


class StoreLink:
    """Keeps the balancer registered and brings what operators have ordered.

    The platform's silence never takes anything away: what is known stays. When it
    comes back from an older copy, in a new generation, the balancer registers anew,
    reads all that operators ordered, and believes no longer that its copy is there.

    Args:
        store: The platform's key-value service.
        peers: The balancers that are known; those registered are added.
        codec: Seals this balancer's registration.
        copies: A compact copy of the configuration, which is read first.
        configuration: Takes each value of the configuration.
        evacuate: Takes orders to evacuate data centres, and their deletions.
        draw: Random numbers for pauses.
        clock: The steady clock.
        generation: The store's generation, which peers tell of too.
        on_restored: Called with the generation before and the first revision known
            when the store's answers tell that it has come back from a copy.
    """

    def __init__(
        self,
        *,
        store: Store,
        peers: Peers,
        codec: FrameCodec,
        copies: ConfigurationCopies,
        configuration: StoredConfiguration,
        evacuate: Callable[[Evacuation | EvacuationsRead], None],
        draw: random.Random,
        clock: Callable[[], float] = time.monotonic,
        generation: StoreGeneration | None = None,
        on_restored: Callable[[int, Revision], None] = lambda _old, _revision: None,
    ) -> None:
        self._now = clock
        self._store = store
        self._peers = peers
        self._codec = codec
        self._copies = copies
        self._configuration = configuration
        self._evacuate = evacuate
        self._draw = draw
        self._generation = generation or StoreGeneration()
        self._on_restored = on_restored
        self._concluded_in = 0
        self.registration = Registration(
            store=store,
            peers=peers,
            codec=codec,
            generation=self._generation,
            learn_generation=self._learn_generation,
            draw=draw,
            clock=clock,
        )
        self._watching: asyncio.Task | None = None
        self._last_read = -POLL_SECONDS
        self._balancers_read_at = -POLL_SECONDS

    async def run(self) -> None:
        """Register, renew, watch, poll and keep the copy until cancelled."""
        await asyncio.gather(
            self.registration.run(), self._follow_forever(), self._copy_forever()
        )

    def restored(self) -> None:
        """The store is known to have come back from a copy: write anew what it lost."""
        self._copies.forget()
        self.registration.restored()

    async def leave(self) -> None:
        """Give the registration back, so that nobody new turns here."""
        await self.registration.leave()

    async def _follow_forever(self) -> None:
        await self._begin_with_copy()
        try:
            while True:
                is_watcher = self._peers.is_watcher(now=self._now())
                running = self._watching is not None and not self._watching.done()
                if is_watcher and not running:
                    self._watching = asyncio.create_task(self._watch())
                elif not is_watcher and running:
                    self._watching.cancel()
                if not is_watcher and self._now() - self._last_read > POLL_SECONDS:
                    await self._read_quietly()
                if is_watcher and self._must_conclude:
                    await self._conclude_quietly()
                await asyncio.sleep(WATCH_CHECK_SECONDS * self._draw.uniform(0.5, 1.0))
        finally:
            if self._watching is not None:
                self._watching.cancel()

    async def _begin_with_copy(self) -> None:
        """Put the copy in force, if there is one, and learn who watches.

        The copy may be older than what operators wrote last; watchers and peers
        that know better tell soon. Evacuations are read from their own keys, and
        for certain.
        """
        try:
            copy = await self._copies.read(may_be_old=True)
            if copy is None:
                return
            evacuations, _ = await asyncio.gather(
                self._store.read(EVACUATIONS, prefix=True),
                self._read_balancers(may_be_old=True),
            )
            self._take_evacuations(evacuations)
            self._configuration.take_packed(copy.packed)
        except StoreError as error:
            _log.info("store unreachable", reason=str(error), key=CONFIGURATION_COPY)
            return
        self._last_read = self._now()

    async def _copy_forever(self) -> None:
        """Keep the copy up to date while this balancer is the one that does."""
        while True:
            await asyncio.sleep(COPY_SECONDS * self._draw.uniform(0.9, 1.1))
            version = self._configuration.version
            is_copier = self._peers.is_copier(now=self._now())
            if not is_copier or not self._copies.is_old(version):
                continue
            try:
                written = await self._copies.write(self._configuration.copy)
            except StoreError as error:
                _log.info(
                    "store unreachable", reason=str(error), key=CONFIGURATION_COPY
                )
                continue
            self._learn_generation(Revision(generation=self._store.generation))
            _log.info("configuration copied", version=version, written=written)

    async def _watch(self) -> None:
        """Read all, then follow every change that an operator makes."""
        backoff = Backoff(first_seconds=REREAD_SECONDS, most_seconds=MAX_REREAD_SECONDS)
        while True:
            try:
                revision = await self._read()
                async for event in self._store.watch(
                    CONFIGURATION, prefix=True, from_revision=revision.next
                ):
                    backoff = backoff.after_success()
                    self._take_event(event)
            except CompactedError as error:
                _log.info("watch begins anew", reason=str(error))
                # Servers of one store that answer in turn from two generations
                # would have it read without a pause.
                await asyncio.sleep(REREAD_SECONDS * self._draw.uniform(0.5, 1.0))
            except StoreError as error:
                _log.info("store unreachable", reason=str(error), key=CONFIGURATION)
                await asyncio.sleep(backoff.wait_seconds(draw=self._draw))
                backoff = backoff.after_failure()

    async def _read_quietly(self) -> None:
        try:
            await self._read()
        except StoreError as error:
            _log.info("store unreachable", reason=str(error))

    async def _read(self) -> Revision:
        """Read balancers, evacuations and configuration; return the revision."""
        if self._now() - self._balancers_read_at > JUST_READ_SECONDS:
            await self._read_balancers()
        stored = await self._store.read(CONFIGURATION, prefix=True)
        # Nothing is placed without a configuration, so evacuations come first.
        self._take_evacuations(stored)
        if CONFIGURATION in stored.values_by_key:
            self._configuration.take(stored.values_by_key[CONFIGURATION].value)
        self._last_read = self._now()
        return stored.revision

    @property
    def _must_conclude(self) -> bool:
        """Whether orders that the store lost are still held, and long enough.

        A watcher looks once more then; the others hear of it.
        """
        number = self._generation.number
        is_due = self._generation.is_restated(now=self._now())
        return self._concluded_in < number and is_due

    async def _conclude_quietly(self) -> None:
        try:
            found = await self._store.read(EVACUATIONS, prefix=True)
        except StoreError as error:
            _log.info("store unreachable", reason=str(error), key=EVACUATIONS)
            return
        self._take_evacuations(found)

    def _take_evacuations(self, found: Snapshot) -> None:
        self._learn_generation(found.revision)
        is_conclusive = self._generation.is_restated(now=self._now())
        if is_conclusive:
            self._concluded_in = found.revision.generation
        self._evacuate(_evacuations_in(found, is_conclusive=is_conclusive))

    def _learn_generation(self, revision: Revision) -> None:
        """Take word of the generation that an answer of the store is from."""
        old = self._generation.number
        if self._generation.learn(revision.generation, source="store", now=self._now()):
            self.restored()
            self._on_restored(old, revision)

    async def _read_balancers(self, *, may_be_old: bool = False) -> None:
        found = await self._store.read(BALANCERS, prefix=True, may_be_old=may_be_old)
        self._balancers_read_at = self._now()
        for record in registered_balancers(found, codec=self._codec):
            self._peers.learn(record)

    def _take_event(self, event: WatchEvent) -> None:
        if event.key == CONFIGURATION and event.value is not None:
            self._configuration.take(event.value)
        elif event.key.startswith(EVACUATIONS):
            order = evacuation(
                event.key.removeprefix(EVACUATIONS),
                written_at=event.mod_revision,
                is_active=event.value is not None,
            )
            self._evacuate(order)


def _evacuations_in(found: Snapshot, *, is_conclusive: bool) -> EvacuationsRead:
    revisions_by_data_centre = {
        key.removeprefix(EVACUATIONS): value.mod_revision
        for key, value in found.values_by_key.items()
        if key.startswith(EVACUATIONS)
    }
    return EvacuationsRead(
        revisions_by_data_centre=revisions_by_data_centre,
        revision=found.revision,
        is_conclusive=is_conclusive,
    )
