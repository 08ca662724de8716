"""Which balancers an agent heartbeats to: a few, however many there are."""

import random
from dataclasses import dataclass

from monsoonpier.model.rendezvous import top
from monsoonpier.wire.frames import BalancerRecord, HeartbeatAck

__all__ = ["Witnesses"]

WITNESSES = 3
MISSED_LIMIT = 3  # heartbeats without an answer: another balancer takes its place
LEFT_OUT_SECONDS = 20.0
MAX_KNOWN = 64


@dataclass(slots=True, kw_only=True)
class _Known:
    record: BalancerRecord
    missed: int = 0
    left_out_until: float = 0.0
    announced: bool = False


class Witnesses:
    """The balancers an agent knows, by name. Does no I/O."""

    def __init__(self, *, target: str) -> None:
        self._target = target
        self._known_by_name: dict[str, _Known] = {}

    def __len__(self) -> int:
        return len(self._known_by_name)

    def learn(self, record: BalancerRecord) -> None:
        """Take a balancer's record if it is newer than the one held."""
        known = self._known_by_name.get(record.name)
        if known is None:
            if len(self._known_by_name) < MAX_KNOWN and not record.leaving:
                self._known_by_name[record.name] = _Known(record=record)
        elif record.epoch > known.record.epoch:
            self._known_by_name[record.name] = _Known(record=record)

    def record(self, name: str) -> BalancerRecord | None:
        """Return a balancer's record, if it is known."""
        known = self._known_by_name.get(name)
        return known.record if known else None

    def chosen(self, *, now: float) -> list[BalancerRecord]:
        """Return the balancers to heartbeat to now."""
        ready = [
            name
            for name, known in self._known_by_name.items()
            if now >= known.left_out_until
        ]
        names = top(self._target, ready, count=WITNESSES)
        return [self._known_by_name[name].record for name in names]

    def sample(self, count: int, *, draw: random.Random) -> list[BalancerRecord]:
        """Return some of the known balancers, also such as have not answered."""
        known = list(self._known_by_name.values())
        return [one.record for one in draw.sample(known, min(count, len(known)))]

    def beat(self, name: str, *, now: float) -> bool:
        """Count a heartbeat about to be sent; tell if to announce instead."""
        known = self._known_by_name[name]
        known.missed += 1
        if known.missed > MISSED_LIMIT:
            known.left_out_until = now + LEFT_OUT_SECONDS
            known.missed = 0
            known.announced = False
        return not known.announced

    def acknowledged(self, ack: HeartbeatAck, *, now: float) -> None:
        """Take a balancer's answer."""
        for record in ack.balancers:
            self.learn(record)
        known = self._known_by_name.get(ack.balancer)
        if known is None:
            return
        known.missed = 0
        known.announced = ack.known
        known.left_out_until = 0.0
        if ack.leaving:
            del self._known_by_name[ack.balancer]

    def epoch_beyond(self, ack: HeartbeatAck, *, epoch: int) -> int | None:
        """Return the epoch to take if a later one is held of this agent."""
        return ack.held_epoch + 1 if ack.held_epoch > epoch else None

    def announce_again(self) -> None:
        """Announce to every balancer with the next heartbeats."""
        for known in self._known_by_name.values():
            known.announced = False

    @property
    def is_cut_off(self) -> bool:
        """Whether no balancer has acknowledged this agent."""
        return not any(known.announced for known in self._known_by_name.values())
