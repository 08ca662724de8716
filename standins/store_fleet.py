"""A fleet of balancers and its store, in virtual time, with the product's decisions.

Membership, store link and configuration are the product's own; processes, network,
store and time are simulated.
"""

import asyncio
import random
from collections import Counter
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from monsoonpier.balancer.actions import FetchConfiguration, ToAgent
from monsoonpier.balancer.configuration_copy import (
    ConfigurationCopies,
    ConfigurationCopy,
    encode_copy,
)
from monsoonpier.balancer.membership import Membership
from monsoonpier.balancer.store_link import (
    EvacuationsRead,
    StoreLink,
    updated_evacuations,
)
from monsoonpier.balancer.stored_configuration import (
    ConfigurationFormat,
    CurrentConfiguration,
)
from monsoonpier.documents.stored import pack
from monsoonpier.model.evacuation import Evacuation
from monsoonpier.model.keys import KeyRing
from monsoonpier.model.revision import Revision
from monsoonpier.model.service import Configuration
from monsoonpier.store.interface import (
    MAX_CHANGES_BYTES,
    Changes,
    Put,
    Snapshot,
    WatchBehindError,
    WatchEvent,
)
from monsoonpier.store.keys import (
    BALANCERS,
    CONFIGURATION,
    CONFIGURATION_COPY,
    EVACUATIONS,
)
from monsoonpier.wire.frames import (
    BalancerRecord,
    FrameCodec,
    FreshnessQuery,
    FreshnessReply,
)
from standins.held_store import Course, HeldStore, SharedStore
from standins.store import Store

__all__ = ["FAULTS_BY_NAME", "Fault", "FleetBalancer", "StoreFleet"]

CHECK_SECONDS = 0.1
GOSSIP_SECONDS = (0.8, 1.2)
DELAY_SECONDS = (0.0005, 0.004)
FETCH_SECONDS = 0.02
FETCH_TIMEOUT_SECONDS = 2.0
CALL_SECONDS = 0.004
LARGE_BYTES = 100_000  # of a configuration that takes time to be received
UNANSWERED = Course(is_answered=False, is_executed=False)
FORMAT = ConfigurationFormat(
    decode=lambda value: Configuration(version=int(value)),
    pack=lambda value, service: pack(value, service=service),
)


def _now() -> float:
    return asyncio.get_running_loop().time()


@dataclass(kw_only=True)
class FleetBalancer:
    """A simulated balancer.

    Attributes:
        record: Its record.
        membership: Its decisions.
        started_at: When it started.
        is_cut_off: Whether its calls to the store get no answer.
        has_slow_store: Whether answers to watches and whole reads are too slow.
        is_paused: Whether it does nothing, and receives nothing.
        in_force_at: When each version came into force here.
        evacuated_at: When each data centre was first known to be evacuated here.
    """

    record: BalancerRecord
    membership: Membership
    started_at: float
    is_cut_off: bool = False
    has_slow_store: bool = False
    is_paused: bool = False
    in_force_at: dict[int, float] = field(default_factory=dict)
    evacuated_at: dict[str, float] = field(default_factory=dict)
    tasks: list[asyncio.Task] = field(default_factory=list)
    fetch: asyncio.Task | None = None
    configuration: CurrentConfiguration = field(init=False)

    def course(self, call: str) -> Course:
        """Return what happens to a call to the store."""
        is_slow = self.has_slow_store and call in ("watch", "read")
        if self.is_cut_off or self.is_paused or is_slow:
            return UNANSWERED
        return Course(answer_seconds=CALL_SECONDS)


class _CountingStore(HeldStore):
    """Reports each read that returned the whole configuration."""

    def __init__(
        self, *, on_value: Callable[[], None], transfer_seconds: float, **arguments
    ) -> None:
        super().__init__(**arguments)
        self._on_value = on_value
        self._transfer_seconds = transfer_seconds

    async def read(
        self, key: str, *, prefix: bool = False, may_be_stale: bool = False
    ) -> Snapshot:
        """Return the key, or all keys that begin with it."""
        found = await super().read(key, prefix=prefix, may_be_stale=may_be_stale)
        if CONFIGURATION in found.values_by_key:
            self._on_value()
            await asyncio.sleep(self._transfer_seconds)
        return found

    async def read_changes(
        self,
        key: str,
        *,
        prefix: bool = False,
        after: Revision,
        known_keys: frozenset[str] = frozenset(),
        max_bytes: int = MAX_CHANGES_BYTES,
    ) -> Changes:
        """Return the changes after a revision."""
        changes = await super().read_changes(
            key, prefix=prefix, after=after, known_keys=known_keys
        )
        if any(event.key == CONFIGURATION for event in changes.events):
            if self._transfer_seconds:
                raise WatchBehindError("the changes are too large")
            self._on_value()
        return changes

    async def watch(self, key: str, **arguments) -> AsyncIterator[WatchEvent]:
        """Yield changes; a configuration after its transfer."""
        async for event in super().watch(key, **arguments):
            if event.key == CONFIGURATION:
                await asyncio.sleep(self._transfer_seconds)
            yield event


class StoreFleet:
    """Balancers and their store; to be used within `run_in_virtual_time`.

    Attributes:
        shared: The store.
        balancers_by_name: The balancers that run.
        calls: Time, balancer and name of each call to the store.
        value_reads: When reads returned the whole configuration, watches aside.
        freshness_bytes_by_endpoint: Bytes of freshness messages, by sender.

    Args:
        balancers: How many there are.
        data_centres: How many data centres they are in, by turns.
        bound_seconds: The time in which a stored change must be in force.
        keys: Authenticate frames and the configuration copy.
        seed: Decides delays, jitter and the choice of peers.
        loss: The share of datagrams that are lost.
        transfer_seconds: The time in which a configuration is received from the store;
            unless 0, it is too large to be received with other changes.
    """

    def __init__(
        self,
        *,
        balancers: int,
        data_centres: int,
        bound_seconds: float,
        keys: KeyRing,
        seed: int,
        loss: float = 0.0,
        transfer_seconds: float = 0.0,
    ) -> None:
        self._transfer_seconds = transfer_seconds
        self.shared = SharedStore(store=Store())
        self.balancers_by_name: dict[str, FleetBalancer] = {}
        self.calls: list[tuple[float, str, str]] = []
        self.value_reads: list[float] = []
        self.freshness_bytes_by_endpoint: Counter[tuple[str, int]] = Counter()
        self._bound_seconds = bound_seconds
        self._keys = keys
        self._codec = FrameCodec(keys=keys)
        self._draw = random.Random(seed)
        self._loss = loss
        self._by_endpoint: dict[tuple[str, int], FleetBalancer] = {}
        self._by_control: dict[str, FleetBalancer] = {}
        self._starts = 0
        self._records = [
            BalancerRecord(
                name=f"b{number}",
                data_centre=f"dc-{number % data_centres}",
                ip=f"10.2.{number // 250}.{number % 250}",
                port=9000,
                control=f"b{number}",
                epoch=1,
            )
            for number in range(balancers)
        ]
        self.put_configuration(1)
        for record in self._records:
            self._start(record)

    # The operator

    def put_configuration(self, version: int) -> None:
        """Write a configuration."""
        size = LARGE_BYTES if self._transfer_seconds else 0
        self._put(CONFIGURATION, (b"%d" % version).ljust(size))

    def put_evacuation(self, data_centre: str) -> None:
        """Write an evacuation order."""
        self._put(EVACUATIONS + data_centre, b"")

    def put_copy(self, version: int) -> None:
        """Write the configuration copy."""
        packed = pack(b"%d" % version)
        copy = ConfigurationCopy(version=version, packed=packed)
        self._put(CONFIGURATION_COPY, encode_copy(copy, keys=self._keys))

    def restore(self) -> None:
        """Restore the store from a backup of this moment."""
        self.shared.store.restore(self.shared.store.backup())

    def register(self, record: BalancerRecord) -> None:
        """Write the registration of a balancer that nobody gossips about."""
        self._put(BALANCERS + record.name, self._codec.encode(record))

    def _put(self, key: str, value: bytes) -> None:
        puts = (Put(key=key, value=value),)
        self.shared.store.transact(compares=(), puts=puts, now=0.0)

    # Balancers

    @property
    def running(self) -> list[FleetBalancer]:
        """The balancers that run."""
        return list(self.balancers_by_name.values())

    @property
    def watchers(self) -> list[FleetBalancer]:
        """The balancers that watch the store, by their own opinion."""
        return [b for b in self.running if b.membership.peers.is_watcher(now=_now())]

    def _start(self, record: BalancerRecord) -> FleetBalancer:
        self._starts += 1
        draw = random.Random(f"{self._draw.random()} {self._starts}")
        membership = Membership(
            own=record,
            started_at=_now(),
            configuration_seconds=self._bound_seconds,
        )
        for other in self._records:
            membership.peers.learn(other)
        balancer = FleetBalancer(
            record=record, membership=membership, started_at=_now()
        )
        store = _CountingStore(
            on_value=lambda: self.value_reads.append(_now()),
            transfer_seconds=self._transfer_seconds,
            shared=self.shared,
            course=lambda call: self._course(balancer, call),
            wait_seconds=membership.freshness.limits.wait_seconds,
        )
        balancer.configuration = CurrentConfiguration(
            membership=membership,
            configuration_format=FORMAT,
            on_configured=lambda: self._configured(balancer),
        )
        link = StoreLink(
            store=store,
            peers=membership.peers,
            codec=self._codec,
            copies=ConfigurationCopies(store=store, keys=self._keys),
            configuration=balancer.configuration,
            evacuate=lambda update: self._evacuate(balancer, update),
            draw=draw,
            clock=_now,
            generation=membership.store_generation,
            freshness=membership.freshness,
            read_orders=lambda: membership.evacuations.active,
        )
        self.balancers_by_name[record.name] = balancer
        self._by_endpoint[record.endpoint] = balancer
        self._by_control[record.control] = balancer
        balancer.tasks = [
            asyncio.create_task(link.run()),
            asyncio.create_task(self._gossip_forever(balancer, draw)),
        ]
        return balancer

    def kill(self, balancer: FleetBalancer) -> None:
        """End a balancer without notice."""
        for task in balancer.tasks:
            task.cancel()
        del self.balancers_by_name[balancer.record.name]
        del self._by_endpoint[balancer.record.endpoint]
        del self._by_control[balancer.record.control]

    def restart(self, balancer: FleetBalancer) -> FleetBalancer:
        """End a balancer and start it anew; return the new one."""
        self.kill(balancer)
        return self._start(balancer.record)

    async def stop(self) -> None:
        """End all balancers."""
        tasks = [task for balancer in self.running for task in balancer.tasks]
        for balancer in self.running:
            self.kill(balancer)
        await asyncio.gather(*tasks, return_exceptions=True)

    def _course(self, balancer: FleetBalancer, call: str) -> Course:
        self.calls.append((_now(), balancer.record.name, call))
        return balancer.course(call)

    def _configured(self, balancer: FleetBalancer) -> None:
        balancer.in_force_at[balancer.configuration.version] = _now()

    def _evacuate(
        self, balancer: FleetBalancer, update: Evacuation | EvacuationsRead
    ) -> None:
        membership = balancer.membership
        membership.evacuate(updated_evacuations(membership.evacuations, update))
        self._note_evacuations(balancer)

    def _note_evacuations(self, balancer: FleetBalancer) -> None:
        for name in balancer.membership.evacuations.active:
            balancer.evacuated_at.setdefault(name, _now())

    # Network

    async def _gossip_forever(
        self, balancer: FleetBalancer, draw: random.Random
    ) -> None:
        membership = balancer.membership
        next_round = _now() + draw.uniform(0.0, 1.0)
        while True:
            await asyncio.sleep(CHECK_SECONDS * draw.uniform(0.9, 1.1))
            if balancer.is_paused:
                continue
            now = _now()
            self._execute(balancer, membership.freshness_queries(now=now, draw=draw))
            is_due = now >= next_round
            if not is_due and not membership.has_updates:
                continue
            self._execute(
                balancer,
                membership.gossip_round(now=now, draw=draw, eager=not is_due),
            )
            if is_due:
                next_round = now + draw.uniform(*GOSSIP_SECONDS)

    def _execute(self, balancer: FleetBalancer, actions: list) -> None:
        for action in actions:
            match action:
                case ToAgent(endpoint=endpoint, frame=frame):
                    self._send(frame, source=balancer.record.endpoint, to=endpoint)
                case FetchConfiguration(control=control):
                    if balancer.fetch is None or balancer.fetch.done():
                        job = self._fetch(balancer, control)
                        balancer.fetch = asyncio.create_task(job)

    def _send(
        self, frame: object, *, source: tuple[str, int], to: tuple[str, int]
    ) -> None:
        if isinstance(frame, FreshnessQuery | FreshnessReply):
            size = len(self._codec.encode(frame))
            self.freshness_bytes_by_endpoint[source] += size
        if self._draw.random() < self._loss:
            return
        delay = self._draw.uniform(*DELAY_SECONDS)
        asyncio.get_running_loop().call_later(delay, self._deliver, frame, source, to)

    def _deliver(
        self, frame: object, source: tuple[str, int], to: tuple[str, int]
    ) -> None:
        balancer = self._by_endpoint.get(to)
        if balancer is None or balancer.is_paused:
            return
        actions = balancer.membership.from_process(
            frame, sender=source, now=_now(), draw=self._draw
        )
        self._note_evacuations(balancer)
        self._execute(balancer, actions or [])

    async def _fetch(self, balancer: FleetBalancer, control: str) -> None:
        """Fetch the configuration of a peer, which may not answer."""
        peer = self._by_control.get(control)
        if peer is None or peer.is_paused:
            await asyncio.sleep(FETCH_TIMEOUT_SECONDS)
            return
        await asyncio.sleep(FETCH_SECONDS)
        if peer.configuration.version > balancer.configuration.version:
            packed = peer.configuration.packed("")
            balancer.configuration.apply_packed(packed, learned_from=control)
            queries = balancer.membership.configuration_fetched(
                control, now=_now(), draw=self._draw
            )
            self._execute(balancer, queries)


Fault = Callable[[StoreFleet, FleetBalancer], None]


def _pause(_fleet: StoreFleet, balancer: FleetBalancer) -> None:
    balancer.is_paused = True


def _cut_off(_fleet: StoreFleet, balancer: FleetBalancer) -> None:
    balancer.is_cut_off = True


def _slow_down(_fleet: StoreFleet, balancer: FleetBalancer) -> None:
    balancer.has_slow_store = True


FAULTS_BY_NAME: dict[str, Fault] = {
    "killed": StoreFleet.kill,
    "paused": _pause,
    "cut off": _cut_off,
    "slow answers": _slow_down,
}
