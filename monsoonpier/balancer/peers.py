"""The peers of a balancer, and the gossip messages that it sends them."""

import math
import random
from dataclasses import dataclass

import msgspec

from monsoonpier.balancer.update_bytes import batch_bytes, record_bytes, report_bytes
from monsoonpier.balancer.update_queue import UpdateQueue
from monsoonpier.model.evacuation import Evacuation
from monsoonpier.model.rendezvous import top
from monsoonpier.model.target import TargetRecord
from monsoonpier.wire.frames import (
    MAX_BATCHES,
    MAX_RECORDS,
    MAX_SILENCES,
    BalancerRecord,
    Gossip,
    SilenceBatch,
    SilenceReport,
)

__all__ = ["Peers"]

FANOUT = 1  # peers per periodic round; their answers carry updates too
EAGER_FANOUT = 2  # peers per round that is sent at once for an update
BACKLOG_FANOUT = 4  # the same, while reports of silence fill more than a message
# Rounds that are sent at once are too close to each other to count each as unanswered.
MIN_UNANSWERED_SECONDS = 0.3
UNANSWERED_LIMIT = 4  # unanswered rounds after which a peer is excluded
EXCLUDED_SECONDS = 30.0
EXTRA_ROUNDS = 3  # rounds that carry an update, beyond log2 of the number of peers
# The rest of a message has up to 900 bytes, most of them evacuation orders.
MAX_UPDATE_BYTES = 1_100
MAX_BATCH_BYTES = 700  # while records wait too
INTRODUCED_PEERS = 1  # other balancers named in each gossip datagram
# Balancers that watch the platform, over all data centres. Of three, one may be down
# and another may wait for a lost answer. Each data centre has at least one, so that
# it learns of changes while it is cut off from the others.
MIN_WATCHERS = 3
MOST_WATCHERS_PER_DATA_CENTRE = 2


@dataclass(slots=True, kw_only=True)
class _Peer:
    record: BalancerRecord
    unanswered: int = 0  # gossip rounds since its last message
    counted_at: float = -MIN_UNANSWERED_SECONDS  # when the last of them was counted
    excluded_until: float = 0.0


class Peers:
    """Known balancers by name, and the updates to gossip. Does no I/O."""

    def __init__(self, *, own: BalancerRecord) -> None:
        self._own = own
        self._peers_by_name: dict[str, _Peer] = {}
        self._records: UpdateQueue[TargetRecord] = UpdateQueue()
        self._silences: UpdateQueue[SilenceReport] = UpdateQueue()
        self._batches: UpdateQueue[SilenceBatch] = UpdateQueue()
        self._newer_record_of_peer: BalancerRecord | None = None

    @property
    def own(self) -> BalancerRecord:
        """This balancer's own record."""
        return self._own

    def leave(self) -> None:
        """Mark this balancer's own record as leaving."""
        self._own = msgspec.structs.replace(
            self._own, epoch=self._own.epoch + 1, leaving=True
        )

    @property
    def records_by_name(self) -> dict[str, BalancerRecord]:
        """The records of this balancer and its peers, without those that leave."""
        records = {name: peer.record for name, peer in self._peers_by_name.items()}
        records[self._own.name] = self._own
        return {n: r for n, r in records.items() if not r.leaving}

    @property
    def near_by_name(self) -> dict[str, BalancerRecord]:
        """The records of this data centre, always including this balancer's own."""
        records = self.records_by_name | {self._own.name: self._own}
        data_centre = self._own.data_centre
        return {n: r for n, r in records.items() if r.data_centre == data_centre}

    def learn(self, record: BalancerRecord) -> None:
        """Store a peer's record if it is newer than the known one."""
        if record.name == self._own.name:
            self._raise_own_epoch(record)
            return
        peer = self._peers_by_name.get(record.name)
        if peer is None:
            self._peers_by_name[record.name] = _Peer(record=record)
        elif record.epoch > peer.record.epoch:
            peer.record = record
            peer.unanswered = 0
            peer.excluded_until = 0.0

    def _raise_own_epoch(self, known: BalancerRecord) -> None:
        """Raise the own epoch above the one in a peer's record of this balancer.

        A peer knows a larger epoch if this balancer's wall clock was set back between
        two starts; it would ignore the smaller one.
        """
        if known.epoch > self._own.epoch:
            self._own = msgspec.structs.replace(self._own, epoch=known.epoch + 1)

    def check_epoch(self, record: BalancerRecord) -> None:
        """Include a peer's known record in the next message if its epoch is larger.

        The peer then raises its own epoch above that one.
        """
        peer = self._peers_by_name.get(record.name)
        is_outdated = peer is not None and peer.record.epoch > record.epoch
        self._newer_record_of_peer = peer.record if is_outdated else None

    def received_from(self, record: BalancerRecord) -> None:
        """Record that a peer is alive, since it has sent a message itself."""
        self.learn(record)
        peer = self._peers_by_name.get(record.name)
        if peer is not None:
            peer.unanswered = 0
            peer.excluded_until = 0.0

    def queue_update(self, item: TargetRecord | SilenceReport | SilenceBatch) -> None:
        """Queue an update for the next rounds of gossip."""
        match item:
            case TargetRecord():
                self._records.add(item.name, item, size=record_bytes(item))
            case SilenceReport():
                key = (item.name, item.observer)
                self._silences.add(key, item, size=report_bytes(item))
            case SilenceBatch():
                key = (item.observer, item.observer_epoch, item.number)
                self._batches.add(key, item, size=batch_bytes(item))

    def drop_silences(self) -> None:
        """Forget the queued reports of silence, which may have been withdrawn."""
        self._silences = UpdateQueue()
        self._batches = UpdateQueue()

    @property
    def has_silences(self) -> bool:
        """Whether reports of silence still have to be gossiped.

        Nothing but gossip brings them to a peer that missed them, whereas a missing
        record shows in the digest.
        """
        return len(self._silences) > 0 or len(self._batches) > 0

    def pick_for_round(
        self, *, now: float, draw: random.Random, eager: bool = False
    ) -> list[BalancerRecord]:
        """Return random peers to gossip to, and count the round as unanswered."""
        fanout = self._eager_fanout if eager else FANOUT
        ready = [
            peer
            for peer in self._peers_by_name.values()
            if not peer.record.leaving and now >= peer.excluded_until
        ]
        picked = draw.sample(ready, min(fanout, len(ready)))
        for peer in picked:
            if eager and now - peer.counted_at < MIN_UNANSWERED_SECONDS:
                continue
            peer.counted_at = now
            peer.unanswered += 1
            if peer.unanswered > UNANSWERED_LIMIT:
                peer.excluded_until = now + EXCLUDED_SECONDS
                peer.unanswered = UNANSWERED_LIMIT
        return [peer.record for peer in picked]

    @property
    def _eager_fanout(self) -> int:
        has_backlog = self._batches.size > MAX_UPDATE_BYTES
        return BACKLOG_FANOUT if has_backlog else EAGER_FANOUT

    @property
    def has_peers(self) -> bool:
        """Whether any other balancer is known."""
        return bool(self._peers_by_name)

    def sample(self, count: int, *, draw: random.Random) -> list[BalancerRecord]:
        """Return up to ``count`` random peers, excluded ones too."""
        peers = list(self._peers_by_name.values())
        return [peer.record for peer in draw.sample(peers, min(count, len(peers)))]

    def is_excluded(self, name: str, *, now: float) -> bool:
        """Return whether a peer is excluded for leaving several rounds unanswered."""
        peer = self._peers_by_name.get(name)
        return peer is not None and now < peer.excluded_until

    def gossip(
        self,
        *,
        version: int,
        digest: bytes,
        is_answer: bool,
        is_converged: bool,
        evacuations: tuple[Evacuation, ...],
        store_generation: int,
        uptime_ms: int | None = None,
        draw: random.Random,
    ) -> Gossip:
        """Return a message with the queued updates."""
        batches, records, silences = self._take_updates()
        return self._build_message(
            version=version,
            digest=digest,
            records=records,
            silences=silences,
            batches=batches,
            is_answer=is_answer,
            is_converged=is_converged,
            evacuations=evacuations,
            store_generation=store_generation,
            uptime_ms=uptime_ms,
            draw=draw,
        )

    def _take_updates(self) -> tuple[tuple, tuple, tuple]:
        """Return batches, records and reports for one message."""
        max_sent = len(self._peers_by_name).bit_length() + EXTRA_ROUNDS
        batches = self._batches.take(
            count=MAX_BATCHES,
            room=MAX_BATCH_BYTES if self._records else MAX_UPDATE_BYTES,
            max_sent=max_sent,
        )
        room = MAX_UPDATE_BYTES - batches.size
        records = self._records.take(count=MAX_RECORDS, room=room, max_sent=max_sent)
        room -= records.size
        silences = self._silences.take(count=MAX_SILENCES, room=room, max_sent=max_sent)
        return batches.items, records.items, silences.items

    def answer_without_updates(
        self,
        *,
        version: int,
        digest: bytes,
        is_converged: bool,
        evacuations: tuple[Evacuation, ...],
        store_generation: int,
        uptime_ms: int | None = None,
        draw: random.Random,
    ) -> Gossip:
        """Return an answer for a peer whose table is equal."""
        return self._build_message(
            version=version,
            digest=digest,
            is_answer=True,
            is_converged=is_converged,
            evacuations=evacuations,
            store_generation=store_generation,
            uptime_ms=uptime_ms,
            draw=draw,
        )

    def _build_message(self, *, draw: random.Random, **content) -> Gossip:
        """Return a message with ``content`` and the records of some peers."""
        known = list(self._peers_by_name.values())
        introduced = draw.sample(known, min(INTRODUCED_PEERS, len(known)))
        records = [peer.record for peer in introduced]
        if self._newer_record_of_peer is not None:
            records.insert(0, self._newer_record_of_peer)
            self._newer_record_of_peer = None
        return Gossip(sender=self._own, balancers=tuple(records), **content)

    def is_copy_writer(self, *, now: float) -> bool:
        """Return whether this balancer writes the configuration copy to the store."""
        data_centres = self._data_centres_by_name(now=now)
        return self._own.name in top("configuration copy", data_centres, count=1)

    def _data_centres_by_name(self, *, now: float) -> dict[str, str]:
        """Return the data centres of the balancers that aren't excluded, by name."""
        return {
            name: record.data_centre
            for name, record in self.records_by_name.items()
            if not self.is_excluded(name, now=now)
        }

    def is_watcher(self, *, now: float) -> bool:
        """Return whether this balancer is one of the few that watch the platform."""
        return self._own.name in self._watchers_nearby(now=now)

    def _watchers_nearby(self, *, now: float) -> tuple[str, ...]:
        """Return the names of the balancers in this data centre that watch."""
        data_centres = self._data_centres_by_name(now=now)
        own = self._own.data_centre
        names = [
            name for name, data_centre in data_centres.items() if data_centre == own
        ]
        per_data_centre = math.ceil(MIN_WATCHERS / len({own, *data_centres.values()}))
        count = min(per_data_centre, MOST_WATCHERS_PER_DATA_CENTRE)
        return tuple(top("platform watch", names, count=count))

    def pick_for_freshness(
        self, *, prefers_watchers: bool, now: float, draw: random.Random
    ) -> BalancerRecord | None:
        """Return the peer to query for the freshness of its knowledge.

        Args:
            prefers_watchers: Choose one that watches the platform, if one is known in
                this data centre; otherwise any peer.
            now: The present time.
            draw: Random numbers.
        """
        records = self.records_by_name
        names = self._watchers_nearby(now=now) if prefers_watchers else ()
        names = [name for name in names if name != self._own.name]
        if not names:
            names = [
                name
                for name in records
                if name != self._own.name and not self.is_excluded(name, now=now)
            ]
        return records[draw.choice(names)] if names else None

    def balancers_for(self, target: str, *, count: int, now: float) -> tuple:
        """Return the balancers to which a target's agent should send heartbeats."""
        records = self.records_by_name
        names = [n for n in records if not self.is_excluded(n, now=now)]
        return tuple(records[name] for name in top(target, names, count=count))
