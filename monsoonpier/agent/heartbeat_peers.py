"""Selects the few balancers to which an agent sends heartbeats."""

import random
from dataclasses import dataclass

from monsoonpier.model.rendezvous import top
from monsoonpier.wire.frames import BalancerRecord, HeartbeatAck

__all__ = ["HeartbeatPeers"]

PEER_COUNT = 3
MAX_MISSED_HEARTBEATS = 3  # without a response, then another balancer is selected
EXCLUDED_SECONDS = 20.0
MAX_KNOWN_BALANCERS = 64


@dataclass(slots=True, kw_only=True)
class _Peer:
    """A balancer that the agent has a record of.

    Attributes:
        record: The balancer's record.
        missed: Heartbeats without a response, in a row.
        excluded_until: No heartbeats are sent before this time.
        has_record: Whether the balancer has acknowledged the target's record.
    """

    record: BalancerRecord
    missed: int = 0
    excluded_until: float = 0.0
    has_record: bool = False


class HeartbeatPeers:
    """The balancers that an agent has records of, by name. Does no I/O."""

    def __init__(self, *, target: str) -> None:
        self._target = target
        self._peers_by_name: dict[str, _Peer] = {}

    def __len__(self) -> int:
        return len(self._peers_by_name)

    def update_record(self, record: BalancerRecord) -> None:
        """Add a balancer's record, or replace an older one."""
        peer = self._peers_by_name.get(record.name)
        if peer is None:
            if len(self._peers_by_name) < MAX_KNOWN_BALANCERS and not record.leaving:
                self._peers_by_name[record.name] = _Peer(record=record)
        elif record.epoch > peer.record.epoch:
            self._peers_by_name[record.name] = _Peer(record=record)

    def record(self, name: str) -> BalancerRecord | None:
        """Return a balancer's record, if there is one."""
        peer = self._peers_by_name.get(name)
        return peer.record if peer else None

    def select(self, *, now: float) -> list[BalancerRecord]:
        """Return the balancers to send heartbeats to now."""
        ready = [
            name
            for name, peer in self._peers_by_name.items()
            if now >= peer.excluded_until
        ]
        names = top(self._target, ready, count=PEER_COUNT)
        return [self._peers_by_name[name].record for name in names]

    def sample(self, count: int, *, draw: random.Random) -> list[BalancerRecord]:
        """Return up to ``count`` random balancers, including unresponsive ones."""
        peers = list(self._peers_by_name.values())
        return [peer.record for peer in draw.sample(peers, min(count, len(peers)))]

    def count_heartbeat(self, name: str, *, now: float) -> bool:
        """Count a heartbeat to be sent; return whether to announce instead."""
        peer = self._peers_by_name[name]
        peer.missed += 1
        if peer.missed > MAX_MISSED_HEARTBEATS:
            peer.excluded_until = now + EXCLUDED_SECONDS
            peer.missed = 0
            peer.has_record = False
        return not peer.has_record

    def record_ack(self, ack: HeartbeatAck, *, now: float) -> None:
        """Process a balancer's response to a heartbeat or an announcement."""
        for record in ack.balancers:
            self.update_record(record)
        peer = self._peers_by_name.get(ack.balancer)
        if peer is None:
            return
        peer.missed = 0
        peer.has_record = ack.known
        peer.excluded_until = 0.0
        if ack.leaving:
            del self._peers_by_name[ack.balancer]

    def next_epoch(self, ack: HeartbeatAck, *, epoch: int) -> int | None:
        """Return an epoch above the balancer's record of this agent.

        Returns:
            ``None`` if the recorded epoch is not later than ``epoch``.
        """
        return ack.known_epoch + 1 if ack.known_epoch > epoch else None

    def require_announcements(self) -> None:
        """Make the next message to each balancer an announcement."""
        for peer in self._peers_by_name.values():
            peer.has_record = False

    @property
    def is_unacknowledged(self) -> bool:
        """Whether no balancer has acknowledged the target's record."""
        return not any(peer.has_record for peer in self._peers_by_name.values())
