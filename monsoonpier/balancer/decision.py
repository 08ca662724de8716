"""The balancer's decisions: packets and time in, datagrams out."""

import random
from collections import Counter

import msgspec

from monsoonpier.balancer.peers import Peers
from monsoonpier.balancer.steering import Chosen, NoTarget, choose
from monsoonpier.balancer.table import TargetTable
from monsoonpier.model.keys import KeyRing
from monsoonpier.model.service import Configuration, Service
from monsoonpier.model.target import TargetRecord
from monsoonpier.model.token import open_token
from monsoonpier.wire.codec import Dropped
from monsoonpier.wire.datagrams import (
    MIN_OPEN_BYTES,
    Open,
    OpenRefused,
    caller_codec,
    reply_codec,
)
from monsoonpier.wire.frames import (
    MAX_TRIED,
    Announce,
    BalancerRecord,
    Bounce,
    Forward,
    Gossip,
    Heartbeat,
    HeartbeatAck,
    Return,
    Silence,
)

__all__ = ["Balancer", "FetchConfiguration", "FetchTable", "ToAgent", "ToCaller"]

NEAR_BALANCERS = 6  # named to an agent; it heartbeats to the first few it can reach
MAX_TRIES = 3  # candidates asked for one OPEN


class ToAgent(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Send a frame to another process's internal address."""

    endpoint: tuple[str, int]
    frame: object


class ToCaller(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Send a datagram to a caller from a service's address."""

    service: str
    endpoint: tuple[str, int]
    payload: bytes


class FetchConfiguration(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """A peer holds a newer configuration: ask it."""

    control: str


class FetchTable(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """A peer's table differs from this one: ask it for the difference."""

    control: str


class Balancer:
    """Steers packets by their token and places new flows. Does no I/O.

    Nothing here grows with the number of flows.
    """

    def __init__(self, *, own: BalancerRecord, keys: KeyRing) -> None:
        self._keys = keys
        self.peers = Peers(own=own)
        self.table = TargetTable()
        self.configuration = Configuration()
        self.dropped_by_reason: Counter[str] = Counter()
        self.opens_by_result: Counter[str] = Counter()
        self.forwarded = 0
        self.returned = 0
        self.has_news = False
        self._differed_from: str | None = None

    # Callers' packets

    def from_caller(
        self,
        payload: bytes,
        *,
        caller: tuple[str, int],
        service: str,
        now: float,
        draw: random.Random,
    ) -> ToAgent | ToCaller | None:
        """Decide on a packet that came to a service's address."""
        message = caller_codec.decode(payload)
        if isinstance(message, Dropped):
            return self._drop(message.reason)
        if isinstance(message, Open):
            if len(payload) < MIN_OPEN_BYTES:
                return self._drop("short_open")
            return self._place(
                payload,
                message.flow,
                caller=caller,
                service=service,
                tried=(),
                now=now,
                draw=draw,
            )
        token = open_token(message.token, flow=message.flow, keys=self._keys)
        if token is None:
            return self._drop("forged_token")
        if token.service != service:
            return self._drop("foreign_service")
        self.forwarded += 1
        frame = Forward(service=service, ip=caller[0], port=caller[1], payload=payload)
        return ToAgent(endpoint=token.endpoint, frame=frame)

    def _place(
        self,
        payload: bytes,
        flow: bytes,
        *,
        caller: tuple[str, int],
        service: str,
        tried: tuple[str, ...],
        now: float,
        draw: random.Random,
        retry_after: float = 0.0,
    ) -> ToAgent | ToCaller:
        declared = self.configuration.services_by_name.get(service)
        choice: Chosen | NoTarget
        if declared is None:
            choice = NoTarget(reason="no such service", retry_after=1.0)
        elif len(tried) >= MAX_TRIES:
            choice = NoTarget(reason="no target is free", retry_after=1.0)
        else:
            choice = self._choose(declared, tried=tried, now=now, draw=draw)
        match choice:
            case Chosen(record=record):
                self.opens_by_result["placed"] += 1
                self.table.sent_flow(record.name)
                frame = Forward(
                    service=service,
                    ip=caller[0],
                    port=caller[1],
                    payload=payload,
                    tried=(*tried, record.name)[-MAX_TRIED:],
                )
                return ToAgent(endpoint=record.address.endpoint, frame=frame)
            case NoTarget(reason=reason, retry_after=seconds):
                self.opens_by_result["refused"] += 1
                seconds = max(seconds, retry_after) * draw.uniform(0.5, 1.5)
                refusal = OpenRefused(
                    flow=flow, reason=reason, retry_after_ms=int(seconds * 1000)
                )
                return ToCaller(
                    service=service,
                    endpoint=caller,
                    payload=reply_codec.encode(refusal),
                )

    def _choose(
        self,
        service: Service,
        *,
        tried: tuple[str, ...],
        now: float,
        draw: random.Random,
    ) -> Chosen | NoTarget:
        return choose(
            self.table.candidates(service, now=now),
            tried=tried,
            data_centre=self.peers.own.data_centre,
            prefer=service.prefer,
            cold_start_seconds=service.limits.cold_start_seconds,
            draw=draw,
        )

    # Frames from agents and peers

    def from_process(
        self, frame, *, sender: tuple[str, int], now: float, draw: random.Random
    ) -> list:
        """Decide on a frame that came to the internal address."""
        match frame:
            case Return():
                self.table.heard(frame.agent, frame.load, now=now)
                if frame.opened:
                    self.table.answered_flow(frame.agent)
                self.returned += 1
                return [
                    ToCaller(
                        service=frame.service,
                        endpoint=(frame.ip, frame.port),
                        payload=frame.payload,
                    )
                ]
            case Bounce():
                return self._bounced(frame, now=now, draw=draw)
            case Heartbeat():
                return [self._heartbeat(frame, sender=sender, now=now)]
            case Announce():
                return [self._announced(frame.record, sender=sender, now=now)]
            case Gossip():
                return self._gossiped(frame, sender=sender, now=now, draw=draw)
        self._drop("unexpected")
        return []

    def _bounced(self, frame: Bounce, *, now: float, draw: random.Random) -> list:
        self.table.heard(frame.agent, frame.load, now=now)
        self.table.answered_flow(frame.agent)
        self.opens_by_result["bounced"] += 1
        message = caller_codec.decode(frame.payload)
        if not isinstance(message, Open):
            self._drop("unexpected")
            return []
        action = self._place(
            frame.payload,
            message.flow,
            caller=(frame.ip, frame.port),
            service=frame.service,
            tried=frame.tried,
            now=now,
            draw=draw,
            retry_after=frame.retry_after_ms / 1000,
        )
        return [action]

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
        return self._ack(record, known=True, introduce=True, sender=sender, now=now)

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

    def _drop(self, reason: str) -> None:
        self.dropped_by_reason[reason] += 1
        return
