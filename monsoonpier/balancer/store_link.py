"""The store link of a balancer: registration, watch, reads and configuration copy.

Only a few balancers watch the store; the others learn of changes by gossip. Each reads
changes itself while no peer can tell it that it knows them all.
"""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from monsoonpier.balancer.configuration_copy import ConfigurationCopies
from monsoonpier.balancer.freshness import Freshness, FreshnessLimits, Validation
from monsoonpier.balancer.peers import Peers
from monsoonpier.balancer.registration import Registration
from monsoonpier.balancer.store_generation import StoreGeneration
from monsoonpier.balancer.stored_configuration import CurrentConfiguration
from monsoonpier.model.evacuation import Evacuation, Evacuations, evacuation
from monsoonpier.model.revision import NO_REVISION, Revision
from monsoonpier.model.settings import CONFIGURATION_SECONDS
from monsoonpier.process.registry import registered_balancers
from monsoonpier.store.backoff import Backoff
from monsoonpier.store.interface import (
    CompactedError,
    Snapshot,
    Store,
    StoreError,
    WatchBehindError,
    WatchEvent,
)
from monsoonpier.store.keys import (
    BALANCERS,
    CONFIGURATION,
    CONFIGURATION_COPY,
    EVACUATIONS,
)
from monsoonpier.wire.frames import FrameCodec

__all__ = ["EvacuationsRead", "StoreLink", "updated_evacuations"]

WATCH_CHECK_SECONDS = 2.0  # interval of checks whether this balancer must watch
# Longest interval of reads of the registered balancers; jitter spreads those of
# balancers that started together.
POLL_SECONDS = 60.0
NEVER = -POLL_SECONDS  # before any time of the monotonic clock
VALIDATION_CHECK_SECONDS = 0.1  # shortest interval of checks whether a read is due
# Changes of this size are received whatever the size of the present state. A larger
# configuration is left to peers, as long as they have the time to send it.
SMALL_CHANGES_BYTES = 65_536
# As a share of the value in force; two versions of a large configuration have more.
MAX_CHANGES_SHARE = 1.5
REREAD_SECONDS = 0.2  # first delay before a failed read or watch is repeated
MAX_REREAD_SECONDS = 2.0
BALANCERS_FRESH_SECONDS = 5.0  # balancers read within this time aren't read again
COPY_SECONDS = 2.0  # interval at which the configuration copy is updated
_log = structlog.get_logger("monsoonpier.balancer.store_link")


@dataclass(frozen=True, slots=True, kw_only=True)
class EvacuationsRead:
    """All evacuation orders in the store, as read at one time.

    Attributes:
        revisions_by_data_centre: The revision of each order.
        revision: The store's revision that was read, or an earlier one.
        is_conclusive: A missing order is deleted, rather than lost in a restore and
            not written again yet.
    """

    revisions_by_data_centre: dict[str, Revision]
    revision: Revision
    is_conclusive: bool = True


class StoreLink:
    """Keeps a balancer registered and reads configuration and evacuation orders.

    An outage of the store changes nothing that is in force. When the store was
    restored from a backup, in a new generation, the balancer registers again and
    assumes that the configuration copy is lost.

    Args:
        store: The platform's key-value service.
        peers: The known balancers; registered ones are added.
        codec: Encodes this balancer's registration.
        copies: Reads and writes the compact copy of the configuration.
        configuration: Receives each value of the configuration.
        evacuate: Called with each evacuation order or deletion, and with all orders
            after each read.
        draw: Random numbers for jitter.
        clock: The monotonic clock.
        generation: The newest known generation of the store; gossip updates it too.
        freshness: As of when the stored state is known; peers' replies update it too.
        read_orders: Returns the data centres with an evacuation order in force.
        on_restored: Called with the previous generation and the revision of the
            answer when an answer of the store reveals a restore.
    """

    def __init__(
        self,
        *,
        store: Store,
        peers: Peers,
        codec: FrameCodec,
        copies: ConfigurationCopies,
        configuration: CurrentConfiguration,
        evacuate: Callable[[Evacuation | EvacuationsRead], None],
        draw: random.Random,
        clock: Callable[[], float] = time.monotonic,
        generation: StoreGeneration | None = None,
        freshness: Freshness | None = None,
        read_orders: Callable[[], frozenset[str]] = frozenset,
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
        self._freshness = freshness or Freshness(
            limits=FreshnessLimits(bound_seconds=CONFIGURATION_SECONDS),
            started_at=clock(),
        )
        self._read_orders = read_orders
        self._on_restored = on_restored
        self._conclusive_generation = 0
        self._is_last_read_conclusive = True
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
        self._last_read = NEVER  # of the configuration or its copy
        self._balancers_read_at = NEVER

    async def run(self) -> None:
        """Register, watch, read and maintain the copy until cancelled."""
        await asyncio.gather(
            self.registration.run(),
            self._watch_or_poll_forever(),
            self._validate_forever(),
            self._copy_forever(),
        )

    def store_restored(self) -> None:
        """Register again, and assume that the configuration copy is lost."""
        self._copies.assume_lost()
        self.registration.store_restored()

    async def leave(self) -> None:
        """Remove the registration."""
        await self.registration.leave()

    async def _watch_or_poll_forever(self) -> None:
        await self._load_copy()
        poll_at = self._next_poll()
        try:
            while True:
                is_watcher = self._peers.is_watcher(now=self._now())
                running = self._watching is not None and not self._watching.done()
                if is_watcher and not running:
                    self._watching = asyncio.create_task(self._watch())
                elif not is_watcher and running:
                    self._watching.cancel()
                if not is_watcher and self._last_read == NEVER:
                    await self._try_read()
                if self._now() >= poll_at:
                    await self._try_read_balancers()
                    poll_at = self._next_poll()
                if self._is_conclusive_read_due(is_watcher=is_watcher):
                    await self._try_conclusive_read()
                await asyncio.sleep(WATCH_CHECK_SECONDS * self._draw.uniform(0.5, 1.0))
        finally:
            if self._watching is not None:
                self._watching.cancel()

    def _next_poll(self) -> float:
        return self._now() + POLL_SECONDS * self._draw.uniform(0.5, 1.0)

    async def _validate_forever(self) -> None:
        """Read changes when no peer has validated what is known for too long."""
        limits = self._freshness.limits
        backoff = Backoff(
            initial_seconds=limits.query_interval_seconds / 2,
            max_seconds=limits.wait_seconds,
        )
        freshness = self._freshness
        while True:
            is_watcher = self._peers.is_watcher(now=self._now())
            read_age = freshness.read_age(is_watcher=is_watcher, draw=self._draw)
            left = read_age - freshness.age(now=self._now())
            await asyncio.sleep(max(VALIDATION_CHECK_SECONDS, left))
            if freshness.age(now=self._now()) < read_age:
                continue
            freshness.read_begins(is_watcher=is_watcher, now=self._now())
            try:
                await self._read_changes()
                backoff = backoff.after_success()
            except StoreError as error:
                _log.info("store unreachable", reason=str(error), key=CONFIGURATION)
                await asyncio.sleep(backoff.wait_seconds(draw=self._draw))
                backoff = backoff.after_failure()

    async def _read_changes(self) -> None:
        """Read the changes since the known revision; everything if that is needed.

        Peers have the time to send a large configuration first.
        """
        is_large = self._configuration.value_bytes > SMALL_CHANGES_BYTES
        if is_large and await self._is_unchanged():
            return
        if is_large and await self._is_validated_in_time():
            return
        if not await self._try_read_changes():
            await self._read()

    async def _is_unchanged(self) -> bool:
        """Read the evacuation orders; return whether the store had no other change.

        The answer is small whatever the size of the configuration, and its revision
        tells whether any key of the store was changed.
        """
        asked_at = self._now()
        stored = await self._store.read(EVACUATIONS, prefix=True)
        self._apply_evacuations(stored, asked_at=asked_at)
        if stored.revision != self._freshness.revision:
            return False
        self._validate(stored.revision, asked_at)
        return True

    async def _is_validated_in_time(self) -> bool:
        """Wait until peers validate what is known, or a whole read is due."""
        limit = self._freshness.whole_read_age(draw=self._draw)
        while (age := self._freshness.age(now=self._now())) < limit:
            await asyncio.sleep(VALIDATION_CHECK_SECONDS)
            if self._freshness.age(now=self._now()) < age:
                return True
        return False

    async def _try_read_changes(self) -> bool:
        """Read the changes since the known revision; return whether it was possible.

        It isn't if they are larger than the present state, or no more available.
        """
        after = self._freshness.revision
        if after == NO_REVISION:
            return False
        asked_at = self._now()
        orders = self._read_orders()
        try:
            changes = await self._store.read_changes(
                CONFIGURATION,
                prefix=True,
                after=after,
                known_keys=frozenset(EVACUATIONS + name for name in orders),
                max_bytes=self._max_changes_bytes(),
            )
        except CompactedError as error:
            _log.info("changes not available", reason=str(error), after=str(after))
            return False
        self._learn_generation(changes.revision)
        for event in changes.events:
            self._apply_event(event)
        self._validate(changes.revision, asked_at)
        return True

    def _validate(self, revision: Revision, as_of: float) -> None:
        """Record that everything up to a revision is known as of a time."""
        self._freshness.validate(
            Validation(revision=revision, as_of=as_of, source="store")
        )

    async def _load_copy(self) -> None:
        """Apply the configuration copy, if there is one.

        The copy may be outdated, so it validates nothing. Evacuation orders are read
        without `may_be_stale`, since no flow may be placed before they are known.
        """
        try:
            copy = await self._copies.read(may_be_stale=True)
            if copy is None:
                return
            asked_at = self._now()
            evacuations, _ = await asyncio.gather(
                self._store.read(EVACUATIONS, prefix=True),
                self._read_balancers(may_be_stale=True),
            )
            self._apply_evacuations(evacuations, asked_at=asked_at)
            self._configuration.apply_packed(copy.packed)
        except StoreError as error:
            _log.info("store unreachable", reason=str(error), key=CONFIGURATION_COPY)
            return
        self._last_read = self._now()

    async def _copy_forever(self) -> None:
        """Update the copy while this balancer is the one that writes it."""
        while True:
            await asyncio.sleep(COPY_SECONDS * self._draw.uniform(0.9, 1.1))
            version = self._configuration.version
            is_copy_writer = self._peers.is_copy_writer(now=self._now())
            if not is_copy_writer or not self._copies.is_older_than(version):
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
        """Read the stored state, then process each change that operators make."""
        backoff = Backoff(
            initial_seconds=REREAD_SECONDS, max_seconds=MAX_REREAD_SECONDS
        )
        while True:
            try:
                revision = await self._read()
                async for event in self._store.watch(
                    CONFIGURATION,
                    prefix=True,
                    from_revision=revision.next,
                    on_progress=self._validate,
                    read_max_bytes=self._max_changes_bytes,
                ):
                    backoff = backoff.after_success()
                    self._apply_event(event)
            except CompactedError as error:
                _log.info("watch restarted", reason=str(error))
                if isinstance(error, WatchBehindError):
                    # Leaves a part of a narrow link to other traffic while large
                    # configurations change faster than they arrive.
                    await asyncio.sleep(self._freshness.limits.query_interval_seconds)
                # The watch's answer may reveal a restore before the next read does.
                self._learn_generation(Revision(generation=self._store.generation))
                # Prevents a busy loop if servers of one store answer alternately
                # from two generations.
                await asyncio.sleep(REREAD_SECONDS * self._draw.uniform(0.5, 1.0))
            except StoreError as error:
                _log.info("store unreachable", reason=str(error), key=CONFIGURATION)
                await asyncio.sleep(backoff.wait_seconds(draw=self._draw))
                backoff = backoff.after_failure()

    def _max_changes_bytes(self) -> int:
        """Return the size of changes about which the present state is smaller."""
        largest = int(MAX_CHANGES_SHARE * self._configuration.value_bytes)
        return max(SMALL_CHANGES_BYTES, largest)

    async def _try_read(self) -> None:
        try:
            await self._read()
        except StoreError as error:
            _log.info("store unreachable", reason=str(error))

    async def _try_read_balancers(self) -> None:
        try:
            await self._read_balancers(may_be_stale=True)
        except StoreError as error:
            _log.info("store unreachable", reason=str(error), key=BALANCERS)

    async def _read(self) -> Revision:
        """Read balancers, evacuations and configuration; return the revision."""
        if self._now() - self._balancers_read_at > BALANCERS_FRESH_SECONDS:
            await self._read_balancers()
        asked_at = self._now()
        stored = await self._store.read(CONFIGURATION, prefix=True)
        # Evacuations come first: flows are placed as soon as a configuration is known.
        self._apply_evacuations(stored, asked_at=asked_at)
        if CONFIGURATION in stored.values_by_key:
            self._configuration.apply(stored.values_by_key[CONFIGURATION].value)
        self._last_read = self._now()
        self._validate(stored.revision, asked_at)
        return stored.revision

    def _is_conclusive_read_due(self, *, is_watcher: bool) -> bool:
        """Return whether the evacuation orders must be read again after a restore.

        Watchers do so when operators have had the time to write lost orders again.
        The other balancers learn by gossip which known orders were lost, but only a
        read of their own can tell them which orders of agents were.
        """
        if not is_watcher and self._is_last_read_conclusive:
            return False
        number = self._generation.number
        is_due = self._generation.is_restore_grace_over(now=self._now())
        return self._conclusive_generation < number and is_due

    async def _try_conclusive_read(self) -> None:
        asked_at = self._now()
        try:
            stored = await self._store.read(EVACUATIONS, prefix=True)
        except StoreError as error:
            _log.info("store unreachable", reason=str(error), key=EVACUATIONS)
            return
        self._apply_evacuations(stored, asked_at=asked_at)

    def _apply_evacuations(self, stored: Snapshot, *, asked_at: float) -> None:
        """Apply a read; it may show the store as it was at ``asked_at``."""
        self._learn_generation(stored.revision)
        is_conclusive = self._generation.is_restore_grace_over(now=asked_at)
        if is_conclusive:
            self._conclusive_generation = stored.revision.generation
        self._is_last_read_conclusive = is_conclusive
        self._evacuate(_evacuations_in(stored, is_conclusive=is_conclusive))

    def _learn_generation(self, revision: Revision) -> None:
        """Process the generation of an answer of the store, and detect a restore."""
        old = self._generation.number
        if self._generation.learn(revision.generation, source="store", now=self._now()):
            self.store_restored()
            self._on_restored(old, revision)

    async def _read_balancers(self, *, may_be_stale: bool = False) -> None:
        stored = await self._store.read(
            BALANCERS, prefix=True, may_be_stale=may_be_stale
        )
        self._balancers_read_at = self._now()
        for record in registered_balancers(stored, codec=self._codec):
            self._peers.learn(record)

    def _apply_event(self, event: WatchEvent) -> None:
        if event.key == CONFIGURATION and event.value is not None:
            self._configuration.apply(event.value)
        elif event.key.startswith(EVACUATIONS):
            order = evacuation(
                event.key.removeprefix(EVACUATIONS),
                written_at=event.mod_revision,
                is_active=event.value is not None,
            )
            self._evacuate(order)


def updated_evacuations(
    before: Evacuations, update: Evacuation | EvacuationsRead
) -> Evacuations:
    """Return the known orders after an update that a store link reported."""
    match update:
        case Evacuation():
            return before.joined((update,))
        case EvacuationsRead():
            return before.as_read(
                update.revisions_by_data_centre,
                revision=update.revision,
                is_conclusive=update.is_conclusive,
            )


def _evacuations_in(stored: Snapshot, *, is_conclusive: bool) -> EvacuationsRead:
    revisions_by_data_centre = {
        key.removeprefix(EVACUATIONS): value.mod_revision
        for key, value in stored.values_by_key.items()
        if key.startswith(EVACUATIONS)
    }
    return EvacuationsRead(
        revisions_by_data_centre=revisions_by_data_centre,
        revision=stored.revision,
        is_conclusive=is_conclusive,
    )
