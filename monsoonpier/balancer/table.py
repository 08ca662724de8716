"""What a balancer knows of targets: records, loads, and who is silent."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b

import msgspec

from monsoonpier.balancer.steering import Candidate
from monsoonpier.model.service import Service
from monsoonpier.model.target import Condition, LoadReport, TargetRecord
from monsoonpier.wire.frames import Silence

__all__ = ["TargetTable"]

SUSPECT_SECONDS = 3.0  # three heartbeats: one lost or late datagram is not enough
FORGET_SECONDS = 120.0  # a suspected target is forgotten after this
GONE_SECONDS = 30.0  # a record of a gone target is kept to spread the news
WITNESSES_NEEDED = 2  # a cut between one witness and one agent convinces nobody
UNANSWERED_LIMIT = 2  # one SYN or its answer may just be lost
ANSWER_SECONDS = 0.2  # an agent answers a new flow in a few milliseconds
STALE_SECONDS = 0.5  # ten runs: by then nothing is known of slots
FAILED_STALE_SECONDS = 10.0  # a target that failed then may be tried again
BUCKETS = 16
DIGEST_BYTES = 8


@dataclass(slots=True, kw_only=True)
class _Entry:
    record: TargetRecord
    load: LoadReport
    learned_at: float
    heard_at: float | None = None  # directly, by this balancer
    is_witnessed: bool = False  # its heartbeats come to this balancer
    sent_since: int = 0
    sent_at: float = 0.0
    loaded_at: float = 0.0  # when the load was taken
    unanswered: int = 0  # new flows in a row that got no answer
    silent_witnesses: dict[str, float] = field(default_factory=dict)


class TargetTable:
    """The targets by name. Does no I/O; the time is always an argument.

    Attributes:
        evacuated: Data centres whose targets are no candidates for new flows.
    """

    def __init__(self) -> None:
        self.evacuated: frozenset[str] = frozenset()
        self._entries_by_name: dict[str, _Entry] = {}
        self._names_by_service: dict[str, set[str]] = {}
        self._names_by_endpoint: dict[tuple[str, int], str] = {}
        self._bucket_sums = [0] * BUCKETS

    def __len__(self) -> int:
        return len(self._entries_by_name)

    def record(self, name: str) -> TargetRecord | None:
        """Return a target's record, if it is known."""
        entry = self._entries_by_name.get(name)
        return entry.record if entry else None

    def name_at(self, endpoint: tuple[str, int]) -> str:
        """Return the name of the target whose agent has that address, or nothing."""
        return self._names_by_endpoint.get(endpoint, "")

    @property
    def records(self) -> list[TargetRecord]:
        """All records, in no order."""
        return [entry.record for entry in self._entries_by_name.values()]

    # Learning

    def learn(self, record: TargetRecord, *, now: float) -> bool:
        """Take a record if it is newer than the one held; tell if it was."""
        entry = self._entries_by_name.get(record.name)
        if entry is None:
            self._entries_by_name[record.name] = _Entry(
                record=record,
                load=LoadReport(number=0, condition=record.condition),
                loaded_at=now,
                learned_at=now,
            )
        elif record.rank <= entry.record.rank:
            return False
        else:
            self._unlist(entry.record)
            earlier = entry.record
            entry.record = record
            entry.learned_at = now
            entry.silent_witnesses.clear()
            # What the agent announces is newer than its last report.
            entry.load = msgspec.structs.replace(entry.load, condition=record.condition)
            if record.epoch != earlier.epoch:
                self._forget_load(entry, number=0, now=now)
            elif record.instance != earlier.instance and earlier.instance:
                # The same agent goes on counting its reports.
                self._forget_load(entry, number=entry.load.number, now=now)
        self._names_by_service.setdefault(record.service, set()).add(record.name)
        self._toggle(record)
        if record.condition is not Condition.GONE:
            self._replace_at_endpoint(record, now=now)
        return True

    def _forget_load(self, entry: _Entry, *, number: int, now: float) -> None:
        """Start anew with a run of the target of which nothing is known yet."""
        entry.load = LoadReport(number=number, condition=entry.record.condition)
        entry.loaded_at = now
        entry.sent_since = 0
        entry.unanswered = 0

    def _replace_at_endpoint(self, record: TargetRecord, *, now: float) -> None:
        """End the earlier target of an address that now belongs to another."""
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

    def heard(self, name: str, load: LoadReport, *, now: float) -> None:
        """Take a report that came straight from the target's agent."""
        entry = self._entries_by_name.get(name)
        if entry is None:
            return
        entry.heard_at = now
        entry.unanswered = 0
        if load.number > entry.load.number:
            entry.load = load
            entry.loaded_at = now

    def beaten(self, name: str, load: LoadReport, *, now: float) -> None:
        """Take a heartbeat: this balancer is a witness of the target."""
        self.heard(name, load, now=now)
        entry = self._entries_by_name.get(name)
        if entry is not None:
            entry.is_witnessed = True
            # An OPEN whose answer was lost must not count for ever.
            entry.sent_since = 0

    def sent_flow(self, name: str, *, now: float) -> None:
        """Count a flow that was sent to a target and not answered yet."""
        entry = self._entries_by_name.get(name)
        if entry is not None:
            entry.sent_since += 1
            entry.sent_at = now

    def answered_flow(self, name: str) -> None:
        """Note that the target's reports know of one flow more."""
        entry = self._entries_by_name.get(name)
        if entry is not None and entry.sent_since:
            entry.sent_since -= 1

    def not_answered(self, name: str) -> None:
        """Note that a new flow that was sent there got no answer in time."""
        entry = self._entries_by_name.get(name)
        if entry is not None:
            entry.unanswered += 1

    def hear_silence(self, silence: Silence, *, now: float) -> bool:
        """Take a witness's word on a target; tell whether it was news."""
        entry = self._entries_by_name.get(silence.name)
        if entry is None or entry.record.epoch != silence.epoch:
            return False
        known = silence.witness in entry.silent_witnesses
        if silence.silent:
            entry.silent_witnesses[silence.witness] = now
        else:
            entry.silent_witnesses.pop(silence.witness, None)
        return known != silence.silent

    def own_silences(self, *, witness: str, now: float) -> list[Silence]:
        """Return what has changed in this balancer's own view of silence."""
        changed = []
        for name, entry in self._entries_by_name.items():
            if not entry.is_witnessed or entry.heard_at is None:
                continue
            silent = now - entry.heard_at > SUSPECT_SECONDS
            if silent == (witness in entry.silent_witnesses):
                continue
            silence = Silence(
                name=name, epoch=entry.record.epoch, witness=witness, silent=silent
            )
            self.hear_silence(silence, now=now)
            changed.append(silence)
        return changed

    def forget(self, *, now: float) -> None:
        """Drop targets that are long gone or long silent."""
        for name, entry in list(self._entries_by_name.items()):
            age = now - entry.learned_at
            if entry.record.condition is Condition.GONE and age > GONE_SECONDS:
                self._drop(name)
                continue
            oldest = min(entry.silent_witnesses.values(), default=now)
            if self._is_suspected(entry, now=now) and now - oldest > FORGET_SECONDS:
                self._drop(name)

    def _drop(self, name: str) -> None:
        record = self._entries_by_name.pop(name).record
        self._unlist(record)
        if self._names_by_endpoint.get((record.ip, record.port)) == name:
            del self._names_by_endpoint[(record.ip, record.port)]

    def _unlist(self, record: TargetRecord) -> None:
        self._names_by_service.get(record.service, set()).discard(record.name)
        self._toggle(record)

    # Reading

    def candidates(self, service: Service, *, now: float) -> list[Candidate]:
        """Return the targets that may serve new flows, as they are known now."""
        names = self._names_by_service.get(service.name, ())
        return [
            self._candidate(self._entries_by_name[name], now=now)
            for name in names
            if service.allows(name) and not self._is_evacuated(name)
        ]

    def candidates_of(self, service: str, *, now: float) -> list[Candidate]:
        """Return the targets of a service whose flows carry no token."""
        names = self._names_by_service.get(service, ())
        entries = [
            self._entries_by_name[name]
            for name in names
            if not self._is_evacuated(name)
        ]
        for entry in entries:
            if entry.sent_since and now - entry.sent_at > ANSWER_SECONDS:
                entry.sent_since = 0  # What is not answered by now was lost.
            if entry.load.in_flight and now - entry.loaded_at > STALE_SECONDS:
                # Runs have ended since; a wrong guess is turned away with news.
                entry.load = msgspec.structs.replace(entry.load, in_flight=0)
            if entry.load.failed_percent:
                self._forgive(entry, now=now)
        return [self._candidate(entry, now=now) for entry in entries]

    def is_served(self, service: str, *, now: float) -> bool:
        """Tell whether any target of a service takes new flows, if it has room."""
        candidates = (
            self._candidate(self._entries_by_name[name], now=now)
            for name in self._names_by_service.get(service, ())
            if not self._is_evacuated(name)
        )
        return any(c.serves and not c.suspected for c in candidates)

    def _is_evacuated(self, name: str) -> bool:
        record = self._entries_by_name[name].record
        return record.data_centre in self.evacuated

    def witnessed_in(self, data_centre: str) -> list[TargetRecord]:
        """Return the targets there whose heartbeats come to this balancer."""
        return [
            entry.record
            for entry in self._entries_by_name.values()
            if entry.is_witnessed and entry.record.data_centre == data_centre
        ]

    def _forgive(self, entry: _Entry, *, now: float) -> None:
        if now - entry.loaded_at > FAILED_STALE_SECONDS:
            entry.load = msgspec.structs.replace(entry.load, failed_percent=0)

    def known_for(self, name: str, *, now: float) -> float:
        """Return seconds since a target's record was learned as it is."""
        entry = self._entries_by_name.get(name)
        return now - entry.learned_at if entry is not None else 0.0

    def load_age(self, name: str, *, now: float) -> float:
        """Return seconds since a target's load was taken."""
        entry = self._entries_by_name.get(name)
        return now - entry.loaded_at if entry is not None else 0.0

    def names_of(self, service: str) -> set[str]:
        """Return the names of a service's targets that have not ended."""
        return {
            name
            for name in self._names_by_service.get(service, ())
            if self._entries_by_name[name].record.condition is not Condition.GONE
        }

    def all_candidates(self, *, now: float) -> list[Candidate]:
        """Return every target, allowed or not."""
        return [self._candidate(e, now=now) for e in self._entries_by_name.values()]

    def _candidate(self, entry: _Entry, *, now: float) -> Candidate:
        return Candidate(
            record=entry.record,
            load=entry.load,
            sent_since=entry.sent_since,
            suspected=self._is_suspected(entry, now=now),
        )

    def _is_suspected(self, entry: _Entry, *, now: float) -> bool:
        """Hearing it oneself outweighs any number of witnesses."""
        if entry.unanswered >= UNANSWERED_LIMIT:
            return True
        if entry.heard_at is not None and now - entry.heard_at <= SUSPECT_SECONDS:
            return False
        return len(entry.silent_witnesses) >= WITNESSES_NEEDED

    # Comparing with a peer

    @property
    def bucket_digests(self) -> tuple[bytes, ...]:
        """One digest per bucket of names; equal tables have equal digests."""
        return tuple(s.to_bytes(DIGEST_BYTES, "big") for s in self._bucket_sums)

    @property
    def digest(self) -> bytes:
        """One digest of the whole table."""
        return blake2b(b"".join(self.bucket_digests), digest_size=DIGEST_BYTES).digest()

    def _toggle(self, record: TargetRecord) -> None:
        # An exclusive or is undone by itself: a change costs the same at any size.
        self._bucket_sums[_bucket(record.name)] ^= _record_sum(record)

    def records_unlike(self, digests: Iterable[bytes]) -> tuple[TargetRecord, ...]:
        """Return the records of the buckets whose digests differ from these."""
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
