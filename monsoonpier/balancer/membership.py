"""Membership protocol of balancers: gossip, heartbeats and announcements."""

import random
from collections import deque
from collections.abc import Iterable

import msgspec

from monsoonpier.balancer.actions import (
    FetchConfiguration,
    FetchTable,
    RequestStatus,
    ToAgent,
)
from monsoonpier.balancer.freshness import Freshness, FreshnessLimits
from monsoonpier.balancer.peers import Peers
from monsoonpier.balancer.store_generation import StoreGeneration
from monsoonpier.balancer.table import BeliefChange, TargetTable
from monsoonpier.model.evacuation import Evacuation, Evacuations
from monsoonpier.model.service import Configuration
from monsoonpier.model.settings import CONFIGURATION_SECONDS
from monsoonpier.model.target import Condition, TargetRecord
from monsoonpier.wire.frames import (
    Announce,
    BalancerRecord,
    FreshnessQuery,
    FreshnessReply,
    Gossip,
    Heartbeat,
    HeartbeatAck,
    RecordQuery,
    RecordReply,
    SilenceBatch,
    SilenceReport,
)

__all__ = ["ALONE_SECONDS", "Membership"]

# A balancer assumes that it knows all targets AGREED_SECONDS after its start if its
# table equals that of a peer which has converged. Otherwise it waits ALONE_SECONDS,
# which gives agents the time to announce themselves: agents that were started together
# were up to 3 s apart in the soak.
AGREED_SECONDS = 1.0  # an agent's heartbeat interval
ALONE_SECONDS = 4.0
# Balancers that lost power together start within this time of each other.
SAME_START_SECONDS = 1.0
# In place of ALONE_SECONDS after a converged peer has shown that its table differs,
# until that peer or another one has sent its table.
MISSING_TABLE_SECONDS = 10.0
NAMED_BALANCERS = 6  # an agent sends heartbeats to the first few that it reaches
# A balancer whose rounds of gossip are further apart was paused, and one that receives
# no frame for so long is cut off. It must not conclude from missed heartbeats that an
# agent has ended.
MAX_ROUND_SECONDS = 2.5
CONTACT_SECONDS = 2.0
# Frames that are read so soon after a pause may have been sent before it.
DRAIN_SECONDS = 0.5
SETTLE_SECONDS = 2.0  # after a pause; late agents are queried first
# A balancer that has just started believes records from peers while it queries the
# agents. After a loss of power most targets become known within this time.
TRUST_SECONDS = 10.0
MAX_EARLY_BATCHES = 1_024
FETCH_SECONDS = 1.0  # between requests for the reports missed in a pause or a cut


class Membership:
    """The targets, peers, configuration and evacuations that a balancer knows.

    Processes frames of the membership protocol and returns actions. Does no I/O.

    Attributes:
        peers: The known balancers.
        table: The known targets.
        configuration: The configuration in force.
        has_updates: Whether an update should be gossiped at once.
        has_agreed: Whether a peer that has converged had an equal table.
        has_agreed_with_any: Whether any peer had an equal table. This is weaker
            evidence: balancers that have just started may know the same few targets.
        has_older_peer: Whether a peer was running before this balancer started, or may
            have been. Power was then not lost everywhere at this balancer's start.
        evacuations: The last known evacuation orders.
        store_generation: The newest known generation of the store.
        freshness: As of when the configuration and evacuations are known.
        started_at: When this balancer started, by its monotonic clock.
        belief_changes: Targets newly suspected, trusted or removed, since the caller
            last emptied the list.

    Args:
        own: This balancer's own record.
        started_at: As above. With the default the balancer counts as converged.
        configuration_seconds: The time in which a stored change must be in force.
    """

    def __init__(
        self,
        *,
        own: BalancerRecord,
        started_at: float = 0.0,
        configuration_seconds: float = CONFIGURATION_SECONDS,
    ) -> None:
        self.peers = Peers(own=own)
        self.table = TargetTable()
        self.configuration = Configuration()
        self.evacuations = Evacuations()
        self.store_generation = StoreGeneration()
        self.freshness = Freshness(
            limits=FreshnessLimits(bound_seconds=configuration_seconds),
            started_at=started_at,
        )
        self.has_updates = False
        self.has_agreed = False
        self.has_agreed_with_any = False
        self.has_older_peer = False
        self.started_at = started_at
        self.belief_changes: list[BeliefChange] = []
        self._differing_peer: str | None = None
        self._contact_at = started_at  # when a frame of another process last arrived
        self._round_at: float | None = None  # when the last round was sent
        self._resumed_at = started_at
        self._settled_at = started_at
        # When the reports that a peer last sent were asked for, and the last attempt.
        self._fetched_at = started_at
        self._asked_at = started_at
        # Reports received before the records that they are about.
        self._early_batches: deque[tuple[float, SilenceBatch]] = deque(
            maxlen=MAX_EARLY_BATCHES
        )
        # After a pause, until the table is known to be up to date again.
        self._is_outdated = False
        # After a start, whether a converged peer's table differs and hasn't come yet.
        self._misses_table = False

    def is_converged(self, *, now: float) -> bool:
        """Return whether all reachable targets are likely to be known."""
        alone_seconds = MISSING_TABLE_SECONDS if self._misses_table else ALONE_SECONDS
        needed = AGREED_SECONDS if self.has_agreed else alone_seconds
        return now - self.started_at >= needed

    def from_process(
        self, frame, *, sender: tuple[str, int], now: float, draw: random.Random
    ) -> list | None:
        """Process a frame and return actions.

        Returns ``None`` for a frame that doesn't belong to the membership protocol.
        """
        self._detect_pause(now=now)
        self._contact_at = now
        match frame:
            case Heartbeat():
                return [self._take_heartbeat(frame, sender=sender, now=now)]
            case Announce():
                return [self._take_announcement(frame.record, sender=sender, now=now)]
            case RecordReply():
                self._take_reply(frame, now=now)
                return []
            case Gossip():
                return self._take_gossip(frame, sender=sender, now=now, draw=draw)
            case FreshnessQuery():
                return [self._answer_freshness(frame, sender=sender, now=now)]
            case FreshnessReply():
                return self._take_freshness(frame, now=now)
        return None

    def _detect_pause(self, *, now: float) -> None:
        """Detect that this balancer was paused or cut off until now.

        Frames and requests may come before the timers notice. What was learned before
        may be outdated, so it isn't passed on to balancers that would trust it.
        """
        self._detect_own_pause(now=now)
        if now - self._contact_at > CONTACT_SECONDS:
            self._resume(now=now)

    def _detect_own_pause(self, *, now: float) -> None:
        """Detect that this balancer was paused, by the time of its last round."""
        if self._round_at is None or now - self._round_at <= MAX_ROUND_SECONDS:
            return
        self._round_at = now
        self._settled_at = now + SETTLE_SECONDS
        self.peers.drop_silences()
        self._early_batches.clear()
        self._resume(now=now)

    def _resume(self, *, now: float) -> None:
        self._resumed_at = now
        self._is_outdated = len(self.table) > 0

    @property
    def _drained_at(self) -> float:
        return self._resumed_at + DRAIN_SECONDS

    def records_for_peer(
        self, digests: Iterable[bytes], *, now: float
    ) -> tuple[TargetRecord, ...]:
        """Return the records that a peer with other bucket digests needs."""
        self._detect_pause(now=now)
        heard_since = self._drained_at if self._is_outdated else None
        return self.table.records_in_differing_buckets(digests, heard_since=heard_since)

    def _take_heartbeat(
        self, frame: Heartbeat, *, sender: tuple[str, int], now: float
    ) -> ToAgent:
        record = self.table.record(frame.name)
        known = record is not None and record.rank == (frame.epoch, frame.change)
        if known:
            self.table.record_heartbeat(frame.name, frame.load, now=now)
        return self._ack(
            record,
            known=known,
            name_balancers=False,
            sender=sender,
            now=now,
            is_shedding=frame.load.condition is Condition.SHEDDING,
        )

    def _take_announcement(
        self, record: TargetRecord, *, sender: tuple[str, int], now: float
    ) -> ToAgent:
        self._learn_from_agent(record, now=now)
        newest = self.table.record(record.name) or record
        return self._ack(
            newest,
            known=True,
            name_balancers=True,
            addresses=_missing_addresses(record, newest),
            sender=sender,
            now=now,
        )

    def _take_reply(self, reply: RecordReply, *, now: float) -> None:
        self._learn_from_agent(reply.record, now=now)
        self.table.record_reply(reply.record, reply.load, now=now)

    def _learn_from_agent(self, record: TargetRecord, *, now: float) -> None:
        if self.table.learn(record, now=now):
            # The stored record may name more addresses.
            self._queue_update(self.table.record(record.name) or record)
        self.table.record_announcement(record, now=now)

    def learn_records(
        self,
        records: Iterable[TargetRecord],
        *,
        silences: Iterable[SilenceReport] = (),
        now: float,
    ) -> None:
        """Store newer records, and reports of silence, that a peer sent on request."""
        for record in records:
            if self._learn_from_peer(record, now=now):
                self.has_updates = True  # Queries are sent with the next round.
        for silence in silences:
            self.table.record_silence(silence, now=now)
        self._apply_early_batches(now=now)
        self._fetched_at = self._asked_at
        self._misses_table = False

    def _apply_early_batches(self, *, now: float) -> None:
        """Apply reports that came before the records that they are about."""
        if not self._is_starting(now=now):
            self._early_batches.clear()
        for received_at, batch in self._early_batches:
            self.table.record_batch(batch, now=received_at)

    @property
    def silences(self) -> tuple[SilenceReport, ...]:
        """The reports of silence for a peer that has missed some.

        Those from before a pause of this balancer may have been withdrawn meanwhile.
        """
        return self.table.silences(since=self._resumed_at)

    def _learn_from_peer(self, record: TargetRecord, *, now: float) -> bool:
        return self.table.learn_from_peer(
            record, is_starting=self._is_starting(now=now), now=now
        )

    def _is_starting(self, *, now: float) -> bool:
        return now - self.started_at < TRUST_SECONDS

    def _ack(
        self,
        record: TargetRecord | None,
        *,
        known: bool,
        name_balancers: bool,
        addresses: tuple[bytes, ...] = (),
        sender: tuple[str, int],
        now: float,
        is_shedding: bool = False,
    ) -> ToAgent:
        allowed = True
        cold_per_second = 0.0
        balancers: tuple = ()
        evacuation = None
        if record is not None and self.configuration.version:
            allowed = self.configuration.allows(
                service=record.service, target=record.name
            )
        if record is not None:
            evacuation = self._evacuation_in(
                record.data_centre, is_shedding=is_shedding
            )
            limits = self.configuration.cold_per_second_by_service
            cold_per_second = limits.get(record.service, 0.0)
        if record is not None and name_balancers:
            balancers = self.peers.balancers_for(
                record.name, count=NAMED_BALANCERS, now=now
            )
        ack = HeartbeatAck(
            balancer=self.peers.own.name,
            version=self.configuration.version,
            known=known,
            allowed=allowed,
            leaving=self.peers.own.leaving,
            balancers=balancers,
            known_epoch=record.epoch if record is not None else 0,
            evacuation=evacuation,
            cold_per_second=cold_per_second,
            addresses=addresses,
        )
        return ToAgent(endpoint=sender, frame=ack)

    def _evacuation_in(
        self, data_centre: str, *, is_shedding: bool
    ) -> Evacuation | None:
        """Return the order, or its revocation, to send to an agent.

        An agent whose target sheds flows may do so because of an order that was
        revoked while no balancer could inform it, or that none knows any more.
        """
        revocation = self.evacuations.revocation_of(data_centre)
        if is_shedding and revocation is not None:
            return revocation
        return self.evacuations.of(data_centre)

    def _take_gossip(
        self,
        frame: Gossip,
        *,
        sender: tuple[str, int],
        now: float,
        draw: random.Random,
    ) -> list:
        self.peers.received_from(frame.sender)
        self._compare_uptimes(frame, now=now)
        self.evacuate(self.evacuations.joined(frame.evacuations))
        self._learn_generation(frame.store_generation, now=now)
        for record in frame.balancers:
            self.peers.learn(record)
        for record in frame.records:
            if self._learn_from_peer(record, now=now):
                self._queue_update(record)
        for silence in frame.silences:
            if not silence.is_batched and self.table.record_silence(silence, now=now):
                self._queue_update(silence)
        for batch in frame.batches:
            if self._is_starting(now=now):
                self._early_batches.append((now, batch))
            if self.table.record_batch(batch, now=now):
                self._queue_update(batch)
        actions: list = []
        if not frame.is_answer:
            actions.append(
                self._answer_gossip(frame, sender=sender, now=now, draw=draw)
            )
        if frame.version > self.configuration.version:
            actions.append(FetchConfiguration(control=frame.sender.control))
        if self._should_fetch_table(frame, now=now):
            actions.append(FetchTable(control=frame.sender.control))
        return actions

    def _compare_uptimes(self, frame: Gossip, *, now: float) -> None:
        """Record whether a peer is older; one of an older build may be."""
        longest = now - self.started_at + SAME_START_SECONDS
        self.has_older_peer |= (
            frame.uptime_ms is None or frame.uptime_ms / 1000 > longest
        )

    def _should_fetch_table(self, frame: Gossip, *, now: float) -> bool:
        """Return whether a peer's table differs and should be fetched.

        An update that is still being gossiped makes tables differ for a moment, so
        only every second difference in a row causes a fetch. A balancer whose table
        is empty, or that has not converged when its peer has, fetches at once. So does
        one that was paused or cut off, since it has missed reports of silence.
        """
        has_missed_reports = self._resumed_at > self._fetched_at
        has_missed_reports &= now - self._asked_at >= FETCH_SECONDS
        if has_missed_reports:
            self._asked_at = now
        if frame.digest == self.table.digest:
            self._differing_peer = None
            self._record_agreement(frame, now=now)
            return has_missed_reports
        if has_missed_reports:
            return True
        if frame.is_converged and not self.is_converged(now=now):
            self._misses_table = True
            return True
        if not len(self.table):
            return True
        differed_before = self._differing_peer is not None
        self._differing_peer = None if differed_before else frame.sender.name
        return differed_before

    def _record_agreement(self, frame: Gossip, *, now: float) -> None:
        """Record that a peer's table equals this one.

        Agreement with a peer that has not converged is recorded separately: two new
        balancers may both lack most targets.
        """
        has_targets = len(self.table) > 0
        self.has_agreed_with_any = has_targets
        if frame.is_converged:
            self.has_agreed = has_targets
            if now > self._drained_at:
                self._is_outdated = False

    def gossip_round(
        self, *, now: float, draw: random.Random, eager: bool = False
    ) -> list[ToAgent]:
        """Return one round of gossip; an eager one is sent at once for an update."""
        self._detect_own_pause(now=now)
        self.has_updates = False
        if not eager:
            self._review_targets(now=now)
        gossip = [
            self._gossip_to(peer.endpoint, is_answer=False, now=now, draw=draw)
            for peer in self.peers.pick_for_round(now=now, draw=draw, eager=eager)
        ]
        queries = self._queries(only_new=eager, now=now)
        has_silences = bool(gossip) and self.peers.has_silences
        self.has_updates |= has_silences or self.table.has_first_queries
        return gossip + queries

    def _review_targets(self, *, now: float) -> None:
        """Report observed silences, and remove targets that have ended."""
        self._round_at = now
        if self._is_outdated and self.table.is_heard_since(self._drained_at):
            self._is_outdated = False
        if now >= self._settled_at and now - self._contact_at <= CONTACT_SECONDS:
            own = self.peers.own
            silences = self.table.changed_silences(
                observer=own.name, observer_epoch=own.epoch, now=now
            )
            for batch in self.table.batched(silences):
                self.peers.queue_update(batch)
            for silence in silences:
                # For peers of older builds, which don't read batches.
                self.peers.queue_update(
                    msgspec.structs.replace(silence, is_batched=True)
                )
        self.belief_changes += self.table.remove_expired(
            settled_at=self._settled_at, now=now
        )

    def _queries(self, *, only_new: bool, now: float) -> list[ToAgent]:
        """Return queries of agents that may have ended, and of some others."""
        contact_at = self._last_contact_at(now=now)
        if only_new:
            queried = self.table.first_queries(contact_at=contact_at, now=now)
        else:
            queried = self.table.queries(
                contact_at=contact_at,
                resumed_at=self._drained_at if self._is_outdated else self._resumed_at,
                is_starting=self._is_starting(now=now),
                now=now,
            )
        return [
            ToAgent(
                endpoint=record.address.endpoint, frame=RecordQuery(name=record.name)
            )
            for record in queried
        ]

    def status_requests(self, *, now: float) -> list[RequestStatus]:
        """Return status requests to agents that ignore queries and may have ended.

        To be called after each round of gossip that isn't eager.
        """
        return [
            RequestStatus(name=record.name, epoch=record.epoch, control=record.control)
            for record in self.table.status_requests(now=now)
        ]

    def take_status(
        self, request: RequestStatus, *, is_answered: bool, now: float
    ) -> None:
        """Process the end of a status request."""
        self.table.record_status(
            request.name,
            epoch=request.epoch,
            is_answered=is_answered,
            contact_at=self._last_contact_at(now=now),
            now=now,
        )

    def _last_contact_at(self, *, now: float) -> float:
        """Return when a frame of another process last arrived.

        Without peers, agents are the only processes that could be in contact.
        """
        return self._contact_at if self.peers.has_peers else now

    def _is_authority(self, *, now: float) -> bool:
        """Return whether new balancers may rely on this table."""
        return self.is_converged(now=now) and not self._is_outdated

    def _queue_update(self, item: TargetRecord | SilenceReport | SilenceBatch) -> None:
        self.peers.queue_update(item)
        self.has_updates = True

    def _answer_gossip(
        self,
        frame: Gossip,
        *,
        sender: tuple[str, int],
        now: float,
        draw: random.Random,
    ) -> ToAgent:
        self.peers.check_epoch(frame.sender)
        if frame.digest != self.table.digest:
            return self._gossip_to(sender, is_answer=True, now=now, draw=draw)
        answer = self.peers.answer_without_updates(
            version=self.configuration.version,
            digest=self.table.digest,
            is_converged=self._is_authority(now=now),
            evacuations=self.evacuations.known,
            store_generation=self.store_generation.number,
            uptime_ms=self._uptime_ms(now=now),
            draw=draw,
        )
        return ToAgent(endpoint=sender, frame=answer)

    def extra_gossip(
        self, endpoint: tuple[str, int], *, now: float, draw: random.Random
    ) -> ToAgent:
        """Return a gossip message for an address, outside the usual rounds."""
        self._detect_own_pause(now=now)
        return self._gossip_to(endpoint, is_answer=False, now=now, draw=draw)

    def _gossip_to(
        self,
        endpoint: tuple[str, int],
        *,
        is_answer: bool,
        now: float,
        draw: random.Random,
    ) -> ToAgent:
        gossip = self.peers.gossip(
            version=self.configuration.version,
            digest=self.table.digest,
            is_answer=is_answer,
            is_converged=self._is_authority(now=now),
            evacuations=self.evacuations.known,
            store_generation=self.store_generation.number,
            uptime_ms=self._uptime_ms(now=now),
            draw=draw,
        )
        return ToAgent(endpoint=endpoint, frame=gossip)

    def _uptime_ms(self, *, now: float) -> int:
        """Return the milliseconds since this balancer started."""
        return max(0, round((now - self.started_at) * 1000))

    # Configuration

    def configure(self, configuration: Configuration) -> bool:
        """Apply a configuration if it is newer; return whether it was."""
        if configuration.version <= self.configuration.version:
            return False
        self.configuration = configuration
        self.has_updates = True
        return True

    def freshness_queries(self, *, now: float, draw: random.Random) -> list[ToAgent]:
        """Return a query to a peer if the knowledge of the store must be validated.

        Asks a balancer that watches the store, or any other one if the last query
        brought nothing.
        """
        # Most calls end here, without the cost of `is_watcher`.
        if not self.freshness.is_query_due(is_watcher=False, now=now):
            return []
        if not self.freshness.is_query_due(
            is_watcher=self.peers.is_watcher(now=now), now=now
        ):
            return []
        peer = self.peers.pick_for_freshness(
            prefers_watchers=not self.freshness.has_unanswered_query,
            now=now,
            draw=draw,
        )
        if peer is None:
            return []
        return [self._freshness_query(peer, now=now, draw=draw)]

    def configuration_fetched(
        self, control: str, *, now: float, draw: random.Random
    ) -> list[ToAgent]:
        """Return a query to the peer that sent a configuration.

        Otherwise the same change would be read from the store again.
        """
        return [
            self._freshness_query(record, now=now, draw=draw)
            for record in self.peers.records_by_name.values()
            if record.control == control
        ]

    def _freshness_query(
        self, peer: BalancerRecord, *, now: float, draw: random.Random
    ) -> ToAgent:
        query = self.freshness.query(draw.getrandbits(32), now=now)
        return ToAgent(endpoint=peer.endpoint, frame=query)

    def _answer_freshness(
        self, query: FreshnessQuery, *, sender: tuple[str, int], now: float
    ) -> ToAgent:
        own = self.peers.own
        reply = FreshnessReply(
            number=query.number,
            balancer=own.name,
            control=own.control,
            version=self.configuration.version,
            revision=self.freshness.revision.number,
            generation=self.freshness.revision.generation,
            age_ms=self.freshness.age_ms(now=now),
            evacuations=self.evacuations.known,
        )
        return ToAgent(endpoint=sender, frame=reply)

    def _take_freshness(self, reply: FreshnessReply, *, now: float) -> list:
        """Take over a peer's validation if what it knows is known here too.

        A statement about an earlier generation of the store says nothing about what
        was written since the restore.
        """
        self.evacuate(self.evacuations.joined(reply.evacuations))
        self._learn_generation(reply.generation, now=now)
        if reply.version > self.configuration.version:
            return [FetchConfiguration(control=reply.control)]
        validation = self.freshness.validation_in(reply)
        if validation is not None and reply.generation >= self.store_generation.number:
            self.freshness.validate(validation)
        return []

    def evacuate(self, evacuations: Evacuations) -> None:
        """Apply evacuation orders, and gossip at once if any changed."""
        if evacuations.known != self.evacuations.known:
            self.table.evacuated = evacuations.active
            self.has_updates = True
        self.evacuations = evacuations

    def _learn_generation(self, number: int, *, now: float) -> None:
        """Process the store generation that a peer reports; 0 means unknown."""
        if number and self.store_generation.learn(number, source="peer", now=now):
            self.has_updates = True

    def evacuation_acks(self, order: Evacuation, *, now: float) -> list[ToAgent]:
        """Return messages that inform the affected agents of an order at once.

        The affected agents are those in the order's data centre that send heartbeats
        to this balancer. Without the message they would learn of the order from the
        answer to their next heartbeat.
        """
        return [
            self._ack(
                record,
                known=True,
                name_balancers=False,
                sender=(record.ip, record.port),
                now=now,
            )
            for record in self.table.observed_in(order.data_centre)
        ]


def _missing_addresses(
    announced: TargetRecord, known: TargetRecord
) -> tuple[bytes, ...]:
    """Return the addresses known of an agent that its own record doesn't name."""
    return tuple(sorted({*(known.addresses or ())} - {*(announced.addresses or ())}))
