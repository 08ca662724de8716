"""The balancers that a balancer knows, and what it tells them."""

import math
import random
from collections import deque
from dataclasses import dataclass

import msgspec

from monsoonpier.model.evacuation import Evacuation
from monsoonpier.model.rendezvous import top
from monsoonpier.model.target import TargetRecord
from monsoonpier.wire.frames import (
    MAX_RECORDS,
    MAX_SILENCES,
    BalancerRecord,
    Gossip,
    Silence,
)

__all__ = ["Peers"]

FANOUT = 1  # peers told in a quiet round; their answers bring news as well
EAGER_FANOUT = 2  # peers told at once when there is news
UNANSWERED_LIMIT = 4  # rounds without an answer after which a peer is left out
LEFT_OUT_SECONDS = 30.0
EXTRA_SPREADS = 3  # messages that carry a piece of news, above log2 of the peers
MAX_NEWS = 4_096
INTRODUCED = 1  # other balancers named in each gossip datagram
# Of the platform: each data centre has one, which knows of a change when the others
# are cut off. One may be dead, one may wait for an answer that was lost, and the third
# tells the fleet. A watch costs a call each two seconds.
MIN_WATCHERS = 3
MOST_WATCHERS_PER_DATA_CENTRE = 2


@dataclass(slots=True, kw_only=True)
class _Peer:
    record: BalancerRecord
    unanswered: int = 0
    left_out_until: float = 0.0


@dataclass(slots=True, kw_only=True)
class _News:
    item: TargetRecord | Silence
    rounds: int


class Peers:
    """Known balancers by name and the news to spread. Does no I/O."""

    def __init__(self, *, own: BalancerRecord) -> None:
        self._own = own
        self._peers_by_name: dict[str, _Peer] = {}
        self._news: deque[_News] = deque(maxlen=MAX_NEWS)
        self._introduced_first: BalancerRecord | None = None

    @property
    def own(self) -> BalancerRecord:
        """This balancer's own record."""
        return self._own

    def leave(self) -> None:
        """Mark the own record as leaving, for peers and agents to see."""
        self._own = msgspec.structs.replace(
            self._own, epoch=self._own.epoch + 1, leaving=True
        )

    @property
    def records_by_name(self) -> dict[str, BalancerRecord]:
        """The peers that are not leaving, and this balancer itself."""
        records = {name: peer.record for name, peer in self._peers_by_name.items()}
        records[self._own.name] = self._own
        return {n: r for n, r in records.items() if not r.leaving}

    @property
    def near_by_name(self) -> dict[str, BalancerRecord]:
        """Those of this data centre; this balancer too, while it leaves."""
        records = self.records_by_name | {self._own.name: self._own}
        place = self._own.data_centre
        return {n: r for n, r in records.items() if r.data_centre == place}

    def learn(self, record: BalancerRecord) -> None:
        """Take a peer's record if it is newer than the one held."""
        if record.name == self._own.name:
            self._go_beyond(record)
            return
        peer = self._peers_by_name.get(record.name)
        if peer is None:
            self._peers_by_name[record.name] = _Peer(record=record)
        elif record.epoch > peer.record.epoch:
            peer.record = record
            peer.unanswered = 0
            peer.left_out_until = 0.0

    def _go_beyond(self, held: BalancerRecord) -> None:
        """Take a later epoch than the one that others hold of this balancer."""
        if held.epoch > self._own.epoch:
            self._own = msgspec.structs.replace(self._own, epoch=held.epoch + 1)

    def note_old(self, record: BalancerRecord) -> None:
        """Tell a peer in the next message what is held of it, if that is newer."""
        peer = self._peers_by_name.get(record.name)
        is_old = peer is not None and peer.record.epoch > record.epoch
        self._introduced_first = peer.record if is_old else None

    def heard_from(self, record: BalancerRecord) -> None:
        """Note that a peer itself has spoken."""
        self.learn(record)
        peer = self._peers_by_name.get(record.name)
        if peer is not None:
            peer.unanswered = 0
            peer.left_out_until = 0.0

    def spread(self, item: TargetRecord | Silence) -> None:
        """Put a piece of news into the next rounds of gossip."""
        rounds = len(self._peers_by_name).bit_length() + EXTRA_SPREADS
        self._news.append(_News(item=item, rounds=rounds))

    def pick(
        self, *, now: float, draw: random.Random, eager: bool = False
    ) -> list[BalancerRecord]:
        """Return the peers to tell in this round, and count it as asked."""
        fanout = EAGER_FANOUT if eager else FANOUT
        ready = [
            peer
            for peer in self._peers_by_name.values()
            if not peer.record.leaving and now >= peer.left_out_until
        ]
        picked = draw.sample(ready, min(fanout, len(ready)))
        for peer in picked:
            peer.unanswered += 1
            if peer.unanswered > UNANSWERED_LIMIT:
                peer.left_out_until = now + LEFT_OUT_SECONDS
                peer.unanswered = UNANSWERED_LIMIT
        return [peer.record for peer in picked]

    @property
    def has_peers(self) -> bool:
        """Whether any other balancer is known."""
        return bool(self._peers_by_name)

    def sample(self, count: int, *, draw: random.Random) -> list[BalancerRecord]:
        """Return some peers, also such as have not answered of late."""
        peers = list(self._peers_by_name.values())
        return [peer.record for peer in draw.sample(peers, min(count, len(peers)))]

    def is_left_out(self, name: str, *, now: float) -> bool:
        """Tell whether a peer has not answered for several rounds."""
        peer = self._peers_by_name.get(name)
        return peer is not None and now < peer.left_out_until

    def gossip(
        self,
        *,
        version: int,
        digest: bytes,
        is_answer: bool,
        is_settled: bool,
        evacuations: tuple[Evacuation, ...],
        store_generation: int,
        draw: random.Random,
    ) -> Gossip:
        """Return this round's message with the news that has rounds left."""
        records, silences = self._take_news()
        return self._message(
            version=version,
            digest=digest,
            records=records,
            silences=silences,
            is_answer=is_answer,
            is_settled=is_settled,
            evacuations=evacuations,
            store_generation=store_generation,
            draw=draw,
        )

    def quiet_answer(
        self,
        *,
        version: int,
        digest: bytes,
        is_settled: bool,
        evacuations: tuple[Evacuation, ...],
        store_generation: int,
        draw: random.Random,
    ) -> Gossip:
        """Return an answer for a peer that knows all this balancer knows."""
        return self._message(
            version=version,
            digest=digest,
            records=(),
            silences=(),
            is_answer=True,
            is_settled=is_settled,
            evacuations=evacuations,
            store_generation=store_generation,
            draw=draw,
        )

    def _take_news(self) -> tuple[tuple[TargetRecord, ...], tuple[Silence, ...]]:
        records: list[TargetRecord] = []
        silences: list[Silence] = []
        for news in self._news:
            match news.item:
                case TargetRecord() as item if len(records) < MAX_RECORDS:
                    records.append(item)
                case Silence() as item if len(silences) < MAX_SILENCES:
                    silences.append(item)
                case _:
                    continue
            news.rounds -= 1
        while self._news and self._news[0].rounds <= 0:
            self._news.popleft()
        return tuple(records), tuple(silences)

    def _message(self, *, draw: random.Random, **content) -> Gossip:
        known = list(self._peers_by_name.values())
        introduced = draw.sample(known, min(INTRODUCED, len(known)))
        records = [peer.record for peer in introduced]
        if self._introduced_first is not None:
            records.insert(0, self._introduced_first)
            self._introduced_first = None
        return Gossip(sender=self._own, balancers=tuple(records), **content)

    def is_copier(self, *, now: float) -> bool:
        """Tell whether this balancer keeps the copy of the configuration."""
        reached = self._reached(now=now)
        return self._own.name in top("configuration copy", reached, count=1)

    def _reached(self, *, now: float) -> dict[str, str]:
        """Return the data centres of the balancers that answer, by name."""
        return {
            name: record.data_centre
            for name, record in self.records_by_name.items()
            if not self.is_left_out(name, now=now)
        }

    def is_watcher(self, *, now: float) -> bool:
        """Tell whether this balancer is one of the few that watch the platform."""
        reached = self._reached(now=now)
        own = self._own.data_centre
        names = [name for name, place in reached.items() if place == own]
        share = math.ceil(MIN_WATCHERS / len({own, *reached.values()}))
        count = min(share, MOST_WATCHERS_PER_DATA_CENTRE)
        chosen = top("platform watch", names, count=count)
        return self._own.name in chosen

    def near(self, subject: str, *, count: int, now: float) -> tuple:
        """Return the balancers that a target's agent should turn to."""
        records = self.records_by_name
        names = [n for n in records if not self.is_left_out(n, now=now)]
        return tuple(records[name] for name in top(subject, names, count=count))
