"""What a balancer knows of targets and peers, and how it learns: no I/O."""

import random

from monsoonpier.balancer.actions import FetchConfiguration, FetchTable, ToAgent
from monsoonpier.balancer.peers import Peers
from monsoonpier.balancer.store_generation import StoreGeneration
from monsoonpier.balancer.table import TargetTable
from monsoonpier.model.evacuation import Evacuation, Evacuations
from monsoonpier.model.service import Configuration
from monsoonpier.model.target import TargetRecord
from monsoonpier.wire.frames import (
    Announce,
    BalancerRecord,
    Gossip,
    Heartbeat,
    HeartbeatAck,
    Silence,
)

__all__ = ["ALONE_SECONDS", "Membership"]

# Until then targets may be unknown to a balancer that has just started. Agents
# announce themselves five times a second while no balancer answers them, and a
# peer that has settled hands on its whole table.
AGREED_SECONDS = 1.0  # a heartbeat's interval
ALONE_SECONDS = 4.0  # agents started together were up to 3 s apart in the soak
NEAR_BALANCERS = 6  # named to an agent; it heartbeats to the first few it can reach


class Membership:
    """Targets, peers and the configuration's version, kept by gossip.

    Both ways of steering, by token and by address, decide on what it knows.

    Attributes:
        has_news: Something is to be spread at once.
        has_agreed: The table of a peer that has settled was the same as this one.
        has_agreed_with_any: So was that of any peer; those that have just started
            together may know the same few targets.
        evacuations: The last known orders on data centres.
        store_generation: Which of the store's generations is the present one.
        started_at: When this balancer started, by its steady clock; long ago unless
            it is given.

    Args:
        own: This balancer's own record.
    """

    def __init__(self, *, own: BalancerRecord, started_at: float = 0.0) -> None:
        self.peers = Peers(own=own)
        self.table = TargetTable()
        self.configuration = Configuration()
        self.evacuations = Evacuations()
        self.store_generation = StoreGeneration()
        self.has_news = False
        self.has_agreed = False
        self.has_agreed_with_any = False
        self.started_at = started_at
        self._differed_from: str | None = None

    def is_settled(self, *, now: float) -> bool:
        """Tell whether all targets that can be reached are likely to be known."""
        needed = AGREED_SECONDS if self.has_agreed else ALONE_SECONDS
        return now - self.started_at >= needed

    def from_process(
        self, frame, *, sender: tuple[str, int], now: float, draw: random.Random
    ) -> list | None:
        """Decide on a frame; ``None`` if it isn't one of membership."""
        match frame:
            case Heartbeat():
                return [self._heartbeat(frame, sender=sender, now=now)]
            case Announce():
                return [self._announced(frame.record, sender=sender, now=now)]
            case Gossip():
                return self._gossiped(frame, sender=sender, now=now, draw=draw)
        return None

    def _heartbeat(
        self, frame: Heartbeat, *, sender: tuple[str, int], now: float
    ) -> ToAgent:
        record = self.table.record(frame.name)
        known = record is not None and record.rank == (frame.epoch, frame.change)
        if known:
            self.table.beaten(frame.name, frame.load, now=now)
        return self._ack(record, known=known, introduce=False, sender=sender, now=now)

    def _announced(
        self, record: TargetRecord, *, sender: tuple[str, int], now: float
    ) -> ToAgent:
        if self.table.learn(record, now=now):
            self._spread(record)
        held = self.table.record(record.name) or record
        return self._ack(held, known=True, introduce=True, sender=sender, now=now)

    def _ack(
        self,
        record: TargetRecord | None,
        *,
        known: bool,
        introduce: bool,
        sender: tuple[str, int],
        now: float,
    ) -> ToAgent:
        allowed = True
        cold_per_second = 0.0
        near: tuple = ()
        if record is not None and self.configuration.version:
            allowed = self.configuration.allows(
                service=record.service, target=record.name
            )
        if record is not None:
            limits = self.configuration.cold_per_second_by_service
            cold_per_second = limits.get(record.service, 0.0)
        if record is not None and introduce:
            near = self.peers.near(record.name, count=NEAR_BALANCERS, now=now)
        ack = HeartbeatAck(
            balancer=self.peers.own.name,
            version=self.configuration.version,
            known=known,
            allowed=allowed,
            leaving=self.peers.own.leaving,
            balancers=near,
            held_epoch=record.epoch if record is not None else 0,
            evacuation=self.evacuations.of(record.data_centre) if record else None,
            cold_per_second=cold_per_second,
        )
        return ToAgent(endpoint=sender, frame=ack)

    def _gossiped(
        self,
        frame: Gossip,
        *,
        sender: tuple[str, int],
        now: float,
        draw: random.Random,
    ) -> list:
        self.peers.heard_from(frame.sender)
        self.evacuate(self.evacuations.joined(frame.evacuations))
        self._learn_generation(frame.store_generation, now=now)
        for record in frame.balancers:
            self.peers.learn(record)
        for record in frame.records:
            if self.table.learn(record, now=now):
                self._spread(record)
        for silence in frame.silences:
            if self.table.hear_silence(silence, now=now):
                self._spread(silence)
        actions: list = []
        if not frame.is_answer:
            actions.append(self._answer(frame, sender=sender, now=now, draw=draw))
        if frame.version > self.configuration.version:
            actions.append(FetchConfiguration(control=frame.sender.control))
        if self._stays_different(frame, now=now):
            actions.append(FetchTable(control=frame.sender.control))
        return actions

    def _stays_different(self, frame: Gossip, *, now: float) -> bool:
        """Tell whether a peer's table differs twice in a row.

        News that is on its way makes a difference for a round; only one that
        stays is worth a table's transfer. An empty table can't wait, nor can one
        that has just begun while the peer knows all: on lossy links a new balancer
        had one target of 15 for 1.3 s after its start (log of a replay).
        """
        if frame.digest == self.table.digest:
            self._differed_from = None
            self._agreed(frame)
            return False
        if not len(self.table) or (frame.is_settled and not self.is_settled(now=now)):
            return True
        stays = self._differed_from is not None
        self._differed_from = None if stays else frame.sender.name
        return stays

    def _agreed(self, frame: Gossip) -> None:
        """Note that a peer's table is the same as this one.

        Two that were added together both had one target of 15, and reset open
        flows which that one denied, when they took each other's word for it.
        """
        has_targets = len(self.table) > 0
        self.has_agreed_with_any = has_targets
        if frame.is_settled:
            self.has_agreed = has_targets

    def round(
        self, *, now: float, draw: random.Random, eager: bool = False
    ) -> list[ToAgent]:
        """Return one round of gossip; an eager one follows news at once."""
        self.has_news = False
        if not eager:
            for silence in self.table.own_silences(
                witness=self.peers.own.name, now=now
            ):
                self.peers.spread(silence)
            self.table.forget(now=now)
        return [
            self._gossip_to(peer.endpoint, is_answer=False, now=now, draw=draw)
            for peer in self.peers.pick(now=now, draw=draw, eager=eager)
        ]

    def _spread(self, item: TargetRecord | Silence) -> None:
        self.peers.spread(item)
        self.has_news = True

    def _answer(
        self,
        frame: Gossip,
        *,
        sender: tuple[str, int],
        now: float,
        draw: random.Random,
    ) -> ToAgent:
        self.peers.note_old(frame.sender)
        if frame.digest != self.table.digest:
            return self._gossip_to(sender, is_answer=True, now=now, draw=draw)
        answer = self.peers.quiet_answer(
            version=self.configuration.version,
            digest=self.table.digest,
            is_settled=self.is_settled(now=now),
            evacuations=self.evacuations.known,
            store_generation=self.store_generation.number,
            draw=draw,
        )
        return ToAgent(endpoint=sender, frame=answer)

    def greeting(
        self, endpoint: tuple[str, int], *, now: float, draw: random.Random
    ) -> ToAgent:
        """Return gossip for an address whose balancer isn't known yet."""
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
            is_settled=self.is_settled(now=now),
            evacuations=self.evacuations.known,
            store_generation=self.store_generation.number,
            draw=draw,
        )
        return ToAgent(endpoint=endpoint, frame=gossip)

    # Configuration

    def configure(self, configuration: Configuration) -> bool:
        """Put a configuration in force unless it is older; tell if it was new."""
        if configuration.version <= self.configuration.version:
            return False
        self.configuration = configuration
        self.has_news = True
        return True

    def evacuate(self, evacuations: Evacuations) -> None:
        """Take what is known of evacuations now; spread it if anything is new."""
        if evacuations.known != self.evacuations.known:
            self.table.evacuated = evacuations.active
            self.has_news = True
        self.evacuations = evacuations

    def _learn_generation(self, number: int, *, now: float) -> None:
        """Take a peer's word of the store's generation; 0 is none."""
        if number and self.store_generation.learn(number, source="peer", now=now):
            self.has_news = True

    def tell_witnessed(self, order: Evacuation, *, now: float) -> list[ToAgent]:
        """Return word of an order for the agents there that beat to this balancer.

        With their next heartbeat they would know it up to a second later.
        """
        return [
            self._ack(
                record,
                known=True,
                introduce=False,
                sender=(record.ip, record.port),
                now=now,
            )
            for record in self.table.witnessed_in(order.data_centre)
        ]
