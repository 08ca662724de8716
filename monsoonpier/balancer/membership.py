"""What a balancer knows of targets and peers, and how it learns: no I/O."""

import random

from monsoonpier.balancer.actions import FetchConfiguration, FetchTable, ToAgent
from monsoonpier.balancer.peers import Peers
from monsoonpier.balancer.table import TargetTable
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

__all__ = ["Membership"]

NEAR_BALANCERS = 6  # named to an agent; it heartbeats to the first few it can reach


class Membership:
    """Targets, peers and the configuration's version, kept by gossip.

    Both ways of steering, by token and by address, decide on what it knows.

    Attributes:
        has_news: Something is to be spread at once.
        has_agreed: A peer's table has been the same as this one.
    """

    def __init__(self, *, own: BalancerRecord) -> None:
        self.peers = Peers(own=own)
        self.table = TargetTable()
        self.configuration = Configuration()
        self.has_news = False
        self.has_agreed = False
        self._differed_from: str | None = None

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
        near: tuple = ()
        if record is not None and self.configuration.version:
            allowed = self.configuration.allows(
                service=record.service, target=record.name
            )
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
            actions.append(self._answer(frame, sender=sender, draw=draw))
        if frame.version > self.configuration.version:
            actions.append(FetchConfiguration(control=frame.sender.control))
        if self._stays_different(frame):
            actions.append(FetchTable(control=frame.sender.control))
        return actions

    def _stays_different(self, frame: Gossip) -> bool:
        """Tell whether a peer's table differs twice in a row.

        News that is on its way makes a difference for a round; only one that
        stays is worth a table's transfer. An empty table can't wait.
        """
        if frame.digest == self.table.digest:
            self._differed_from = None
            self.has_agreed = len(self.table) > 0
            return False
        if not len(self.table):
            return True
        stays = self._differed_from is not None
        self._differed_from = None if stays else frame.sender.name
        return stays

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
            self._gossip_to(peer.endpoint, is_answer=False, draw=draw)
            for peer in self.peers.pick(now=now, draw=draw, eager=eager)
        ]

    def _spread(self, item: TargetRecord | Silence) -> None:
        self.peers.spread(item)
        self.has_news = True

    def _answer(
        self, frame: Gossip, *, sender: tuple[str, int], draw: random.Random
    ) -> ToAgent:
        self.peers.note_old(frame.sender)
        if frame.digest != self.table.digest:
            return self._gossip_to(sender, is_answer=True, draw=draw)
        answer = self.peers.quiet_answer(
            version=self.configuration.version, digest=self.table.digest, draw=draw
        )
        return ToAgent(endpoint=sender, frame=answer)

    def greeting(self, endpoint: tuple[str, int], *, draw: random.Random) -> ToAgent:
        """Return gossip for an address whose balancer isn't known yet."""
        return self._gossip_to(endpoint, is_answer=False, draw=draw)

    def _gossip_to(
        self, endpoint: tuple[str, int], *, is_answer: bool, draw: random.Random
    ) -> ToAgent:
        gossip = self.peers.gossip(
            version=self.configuration.version,
            digest=self.table.digest,
            is_answer=is_answer,
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
