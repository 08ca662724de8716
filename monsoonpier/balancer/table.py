"""A balancer's table of targets: their records, loads and suspected failures."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b

import msgspec

from monsoonpier.balancer.target_choice import Candidate
from monsoonpier.model.service import Service
from monsoonpier.model.target import Condition, LoadReport, TargetRecord
from monsoonpier.wire.frames import SilenceReport

__all__ = ["TargetTable"]

SUSPECT_SECONDS = 3.0  # without a heartbeat; agents send one a second
FORGET_SECONDS = 120.0  # a suspected target is removed after this
GONE_SECONDS = 30.0  # the record of a gone target is kept as a tombstone
OBSERVERS_NEEDED = 2  # one may just be cut off from the agent
UNANSWERED_LIMIT = 2  # one SYN or its answer may just be lost
ANSWER_SECONDS = 0.2  # a new flow without an answer by then counts as lost
STALE_SECONDS = 0.5  # older reports of requests in flight are ignored
FAILED_STALE_SECONDS = 10.0  # older reports of failed requests are ignored
BUCKETS = 16
DIGEST_BYTES = 8


@dataclass(slots=True, kw_only=True)
class _Entry:
    record: TargetRecord
    load: LoadReport
    learned_at: float
    received_at: float | None = None  # when its agent last sent a frame here
    is_observed: bool = False  # its agent sends heartbeats to this balancer
    sent_since: int = 0  # new flows sent that its reports don't include yet
    sent_at: float = 0.0  # when the last of them was sent
    load_received_at: float = 0.0
    unanswered: int = 0  # new flows in a row that got no answer
    # Balancers that miss its heartbeats, with the time when that was learned.
    silent_observers: dict[str, float] = field(default_factory=dict)
    silence_ranks_by_observer: dict[str, tuple[int, int]] = field(default_factory=dict)


class TargetTable:
    """The known targets by name. Does no I/O; the time is always an argument.

    Attributes:
        evacuated: Data centres whose targets get no new flows.
    """

    def __init__(self) -> None:
        self.evacuated: frozenset[str] = frozenset()
        self._entries_by_name: dict[str, _Entry] = {}
        self._names_by_service: dict[str, set[str]] = {}
        self._names_by_endpoint: dict[tuple[str, int], str] = {}
        self._bucket_sums = [0] * BUCKETS
        self._silences_reported = 0

    def __len__(self) -> int:
        return len(self._entries_by_name)

    def record(self, name: str) -> TargetRecord | None:
        """Return the record of a target, if it is known."""
        entry = self._entries_by_name.get(name)
        return entry.record if entry else None

    def name_at(self, endpoint: tuple[str, int]) -> str:
        """Return the name of the target whose agent uses ``endpoint``, or ``""``."""
        return self._names_by_endpoint.get(endpoint, "")

    @property
    def records(self) -> list[TargetRecord]:
        """All records, in no particular order."""
        return [entry.record for entry in self._entries_by_name.values()]

    # Updates

    def learn(self, record: TargetRecord, *, now: float) -> bool:
        """Store a record if it is newer than the known one; return whether it was."""
        entry = self._entries_by_name.get(record.name)
        if entry is None:
            self._entries_by_name[record.name] = _Entry(
                record=record,
                load=LoadReport(number=0, condition=record.condition),
                load_received_at=now,
                learned_at=now,
            )
        elif record.rank <= entry.record.rank:
            return False
        else:
            self._remove_from_index(entry.record)
            earlier = entry.record
            entry.record = record
            entry.learned_at = now
            entry.silent_observers.clear()
            # The announced condition is newer than the one in the last report.
            entry.load = msgspec.structs.replace(entry.load, condition=record.condition)
            if record.epoch != earlier.epoch:
                self._reset_load(entry, number=0, now=now)
            elif record.instance != earlier.instance and earlier.instance:
                # The agent is the same process and continues its numbering.
                self._reset_load(entry, number=entry.load.number, now=now)
        self._names_by_service.setdefault(record.service, set()).add(record.name)
        self._toggle_digest(record)
        if record.condition is not Condition.GONE:
            self._assign_endpoint(record, now=now)
        return True

    def _reset_load(self, entry: _Entry, *, number: int, now: float) -> None:
        """Discard the load reported by an earlier agent process or target instance."""
        entry.load = LoadReport(number=number, condition=entry.record.condition)
        entry.load_received_at = now
        entry.sent_since = 0
        entry.unanswered = 0

    def _assign_endpoint(self, record: TargetRecord, *, now: float) -> None:
        """Assign an agent's address to its target, and mark the earlier one as gone.

        If the earlier target's record has a later epoch, it keeps the address.
        """
        endpoint = (record.ip, record.port)
        earlier = self._names_by_endpoint.get(endpoint, record.name)
        self._names_by_endpoint[endpoint] = record.name
        entry = self._entries_by_name.get(earlier)
        if earlier == record.name or entry is None:
            return
        if entry.record.epoch > record.epoch:
            self._names_by_endpoint[endpoint] = earlier
        elif (entry.record.ip, entry.record.port) == endpoint:
            self.learn(entry.record.with_condition(Condition.GONE), now=now)
            self._names_by_endpoint[endpoint] = record.name

    def record_load(self, name: str, load: LoadReport, *, now: float) -> None:
        """Record a load report received directly from the target's agent."""
        entry = self._entries_by_name.get(name)
        if entry is None:
            return
        entry.received_at = now
        entry.unanswered = 0
        if load.number > entry.load.number:
            entry.load = load
            entry.load_received_at = now

    def record_heartbeat(self, name: str, load: LoadReport, *, now: float) -> None:
        """Record a heartbeat, which makes this balancer an observer of the target."""
        self.record_load(name, load, now=now)
        entry = self._entries_by_name.get(name)
        if entry is not None:
            entry.is_observed = True
            # Otherwise an OPEN whose answer was lost would count forever.
            entry.sent_since = 0

    def record_flow_sent(self, name: str, *, now: float) -> None:
        """Count a new flow that was sent to a target and is not yet answered."""
        entry = self._entries_by_name.get(name)
        if entry is not None:
            entry.sent_since += 1
            entry.sent_at = now

    def record_flow_answered(self, name: str) -> None:
        """Record that the reports include one more of the flows sent to a target."""
        entry = self._entries_by_name.get(name)
        if entry is not None and entry.sent_since:
            entry.sent_since -= 1

    def record_flow_unanswered(self, name: str) -> None:
        """Record that a new flow sent to a target got no answer in time."""
        entry = self._entries_by_name.get(name)
        if entry is not None:
            entry.unanswered += 1

    def record_silence(self, silence: SilenceReport, *, now: float) -> bool:
        """Record an observer's report; return whether to pass it on.

        Reports of older builds have no rank. They aren't passed on, since without
        an order two of them could supersede each other forever.
        """
        entry = self._entries_by_name.get(silence.name)
        if entry is None or entry.record.epoch != silence.epoch:
            return False
        ranks = entry.silence_ranks_by_observer
        if silence.observer in ranks and silence.rank <= ranks[silence.observer]:
            return False
        if silence.is_ranked:
            ranks[silence.observer] = silence.rank
        if silence.silent:
            entry.silent_observers[silence.observer] = now
        else:
            entry.silent_observers.pop(silence.observer, None)
        return silence.is_ranked

    def changed_silences(
        self, *, observer: str, observer_epoch: int = 0, now: float
    ) -> list[SilenceReport]:
        """Detect targets whose heartbeats stop or resume here; return reports of them.

        Args:
            observer: The name of this balancer.
            observer_epoch: The epoch of this balancer's own record.
            now: The present time.
        """
        changed = []
        for name, entry in self._entries_by_name.items():
            if not entry.is_observed or entry.received_at is None:
                continue
            silent = now - entry.received_at > SUSPECT_SECONDS
            if silent == (observer in entry.silent_observers):
                continue
            self._silences_reported += 1
            silence = SilenceReport(
                name=name,
                epoch=entry.record.epoch,
                observer=observer,
                silent=silent,
                observer_epoch=observer_epoch,
                number=self._silences_reported,
            )
            self.record_silence(silence, now=now)
            changed.append(silence)
        return changed

    def remove_expired(self, *, now: float) -> None:
        """Remove targets that have been gone or suspected for long."""
        for name, entry in list(self._entries_by_name.items()):
            age = now - entry.learned_at
            if entry.record.condition is Condition.GONE and age > GONE_SECONDS:
                self._remove(name)
                continue
            oldest = min(entry.silent_observers.values(), default=now)
            if self._is_suspected(entry, now=now) and now - oldest > FORGET_SECONDS:
                self._remove(name)

    def _remove(self, name: str) -> None:
        record = self._entries_by_name.pop(name).record
        self._remove_from_index(record)
        if self._names_by_endpoint.get((record.ip, record.port)) == name:
            del self._names_by_endpoint[(record.ip, record.port)]

    def _remove_from_index(self, record: TargetRecord) -> None:
        """Remove a record from the index by service and from the digest."""
        self._names_by_service.get(record.service, set()).discard(record.name)
        self._toggle_digest(record)

    # Queries

    def candidates(self, service: Service, *, now: float) -> list[Candidate]:
        """Return the targets that the configuration allows for a service's flows."""
        names = self._names_by_service.get(service.name, ())
        return [
            self._candidate(self._entries_by_name[name], now=now)
            for name in names
            if service.allows(name) and not self._is_evacuated(name)
        ]

    def packet_candidates(self, service: str, *, now: float) -> list[Candidate]:
        """Return the targets of a service whose flows carry no token.

        Outdated counts in their loads are reset first.
        """
        names = self._names_by_service.get(service, ())
        entries = [
            self._entries_by_name[name]
            for name in names
            if not self._is_evacuated(name)
        ]
        for entry in entries:
            if entry.sent_since and now - entry.sent_at > ANSWER_SECONDS:
                entry.sent_since = 0  # Unanswered flows count as lost by now.
            if entry.load.in_flight and now - entry.load_received_at > STALE_SECONDS:
                # The requests have probably ended. If not, the agent rejects the
                # flow and reports its load with that.
                entry.load = msgspec.structs.replace(entry.load, in_flight=0)
            if entry.load.failed_percent:
                self._expire_failures(entry, now=now)
        return [self._candidate(entry, now=now) for entry in entries]

    def is_served(self, service: str, *, now: float) -> bool:
        """Return whether a service has a target that accepts new flows unless full."""
        candidates = (
            self._candidate(self._entries_by_name[name], now=now)
            for name in self._names_by_service.get(service, ())
            if not self._is_evacuated(name)
        )
        return any(c.serves and not c.suspected for c in candidates)

    def _is_evacuated(self, name: str) -> bool:
        record = self._entries_by_name[name].record
        return record.data_centre in self.evacuated

    def observed_in(self, data_centre: str) -> list[TargetRecord]:
        """Return the targets in a data centre that send heartbeats to this balancer."""
        return [
            entry.record
            for entry in self._entries_by_name.values()
            if entry.is_observed and entry.record.data_centre == data_centre
        ]

    def _expire_failures(self, entry: _Entry, *, now: float) -> None:
        if now - entry.load_received_at > FAILED_STALE_SECONDS:
            entry.load = msgspec.structs.replace(entry.load, failed_percent=0)

    def record_age(self, name: str, *, now: float) -> float:
        """Return seconds since the current record of a target was learned."""
        entry = self._entries_by_name.get(name)
        return now - entry.learned_at if entry is not None else 0.0

    def load_age(self, name: str, *, now: float) -> float:
        """Return seconds since the last load report of a target was received."""
        entry = self._entries_by_name.get(name)
        return now - entry.load_received_at if entry is not None else 0.0

    def names_of(self, service: str) -> set[str]:
        """Return the names of a service's targets that are not gone."""
        return {
            name
            for name in self._names_by_service.get(service, ())
            if self._entries_by_name[name].record.condition is not Condition.GONE
        }

    def all_candidates(self, *, now: float) -> list[Candidate]:
        """Return all targets, whether or not the configuration allows them."""
        return [self._candidate(e, now=now) for e in self._entries_by_name.values()]

    def _candidate(self, entry: _Entry, *, now: float) -> Candidate:
        return Candidate(
            record=entry.record,
            load=entry.load,
            sent_since=entry.sent_since,
            suspected=self._is_suspected(entry, now=now),
        )

    def _is_suspected(self, entry: _Entry, *, now: float) -> bool:
        """Return whether a target is believed to have failed.

        This is so if several new flows in a row got no answer, or if several observers
        miss its heartbeats and this balancer receives no frames from its agent either.
        """
        if entry.unanswered >= UNANSWERED_LIMIT:
            return True
        if entry.received_at is not None and now - entry.received_at <= SUSPECT_SECONDS:
            return False
        return len(entry.silent_observers) >= OBSERVERS_NEEDED

    # Comparison with a peer's table

    @property
    def bucket_digests(self) -> tuple[bytes, ...]:
        """One digest per bucket of target names; equal tables have equal digests."""
        return tuple(s.to_bytes(DIGEST_BYTES, "big") for s in self._bucket_sums)

    @property
    def digest(self) -> bytes:
        """The digest of the whole table."""
        return blake2b(b"".join(self.bucket_digests), digest_size=DIGEST_BYTES).digest()

    def _toggle_digest(self, record: TargetRecord) -> None:
        # With XOR the same operation adds and removes a record, in constant time.
        self._bucket_sums[_bucket(record.name)] ^= _record_sum(record)

    def records_in_differing_buckets(
        self, digests: Iterable[bytes]
    ) -> tuple[TargetRecord, ...]:
        """Return the records of the buckets whose digests differ from ``digests``."""
        differing = {
            number
            for number, (own, other) in enumerate(
                zip(self.bucket_digests, digests, strict=False)
            )
            if own != other
        }
        return tuple(
            entry.record
            for name, entry in self._entries_by_name.items()
            if _bucket(name) in differing
        )


def _bucket(name: str) -> int:
    return blake2b(name.encode(), digest_size=1).digest()[0] % BUCKETS


def _record_sum(record: TargetRecord) -> int:
    epoch, change = record.rank
    text = f"{record.name} {epoch} {change}"
    digest = blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")
