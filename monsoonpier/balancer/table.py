"""A balancer's table of targets: their records, loads and suspected failures."""

import itertools
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping, Set
from dataclasses import dataclass
from hashlib import blake2b
from heapq import nsmallest

import msgspec

from monsoonpier.balancer.evidence import FORGET_SECONDS, Evidence, QueryReason
from monsoonpier.balancer.silence_batches import batched, unbatched
from monsoonpier.balancer.target_choice import Candidate
from monsoonpier.model.address import Address
from monsoonpier.model.service import Service
from monsoonpier.model.target import (
    MAX_FLOW_ADDRESSES,
    Condition,
    LoadReport,
    TargetRecord,
)
from monsoonpier.wire.frames import SilenceBatch, SilenceReport

__all__ = ["BeliefChange", "TargetTable"]

GONE_SECONDS = 30.0  # the record of a gone target is kept as a tombstone
ANSWER_SECONDS = 0.2  # a new flow without an answer by then counts as lost
STALE_SECONDS = 0.5  # older reports of requests in flight are ignored
FAILED_STALE_SECONDS = 10.0  # older reports of failed requests are ignored
# Queries per round of gossip. Targets in doubt come first, since they are offered.
MAX_QUERIES = 128
MAX_SUSPECTED_QUERIES = 32  # of suspected and outdated targets together
MIN_OUTDATED_QUERIES = 8
MAX_FIRST_QUERIES = 32  # in a round that is sent at once
MAX_ROUTINE_QUERIES = 8
# So many targets of a data centre that are suspected, or trusted again, in one round
# may mean that all of them are. One alone may just be unstable.
SEVERAL = 2
MAX_START_QUERIES = 64  # in place of MAX_SUSPECTED_QUERIES, after a start
MAX_REQUESTS = 8  # of an agent's status, over TCP, per round
BUCKETS = 16
DIGEST_BYTES = 8


@dataclass(slots=True, kw_only=True)
class _Entry:
    record: TargetRecord
    load: LoadReport
    learned_at: float
    evidence: Evidence
    sent_since: int = 0  # new flows sent that its reports don't include yet
    sent_at: float = 0.0  # when the last of them was sent
    load_received_at: float = 0.0

    @property
    def is_gone(self) -> bool:
        """Whether this is the tombstone of a target that has left."""
        return self.record.condition is Condition.GONE


@dataclass(frozen=True, slots=True, kw_only=True)
class BeliefChange:
    """A change of what a balancer believes of a target.

    Attributes:
        name: The target's name.
        epoch: The start of its agent.
        belief: ``suspected``, ``trusted`` again, ``removed``, or ``ignores queries``
            if its agent lives and is of an older build.
        seconds: The time since its agent last sent a frame here, or since its record
            was learned.
        is_confirmed: Whether the agent has confirmed the record.
        unanswered_flows: New flows in a row that got no answer.
        unanswered_queries: Queries in a row that got no answer.
    """

    name: str
    epoch: int
    belief: str
    seconds: float
    is_confirmed: bool
    unanswered_flows: int
    unanswered_queries: int


class TargetTable:
    """The known targets by name. Does no I/O; the time is always an argument.

    Attributes:
        evacuated: Data centres whose targets get no new flows.
        address_changes: How often the answers of `services_at` may have changed.
    """

    def __init__(self) -> None:
        self.evacuated: frozenset[str] = frozenset()
        self.address_changes = 0
        self._services_by_address: dict[bytes, set[str]] | None = None
        self._entries_by_name: dict[str, _Entry] = {}
        self._names_by_service: dict[str, set[str]] = {}
        self._names_by_endpoint: dict[tuple[str, int], str] = {}
        self._names_by_process_key: dict[bytes, str] = {}
        self._bucket_sums = [0] * BUCKETS
        self._silences_reported = 0
        self._names_to_query: dict[str, None] = {}  # at once, in this order
        self._requests_due: list[_Entry] = []
        # Where agents have answered status requests of this balancer.
        self._reached_data_centres: set[str] = set()

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
        return self._learn(record, is_confirmed=True, now=now)

    def learn_from_peer(
        self, record: TargetRecord, *, is_starting: bool, now: float
    ) -> bool:
        """Store a newer record that a peer has sent; return whether it was.

        The peer may have missed that the target has ended. The record of an agent
        process that is new here must be confirmed by the agent itself, unless this
        balancer starts and would have no target to offer otherwise, or the agent may
        be of a build that ignores queries. A tombstone of an unknown target is
        ignored, since it would be passed on after others have removed theirs.
        """
        known = self.record(record.name)
        if known is None and record.condition is Condition.GONE:
            return False
        is_confirmed = is_starting or not record.answers_queries
        is_learned = self._learn(record, is_confirmed=is_confirmed, now=now)
        evidence = self._entries_by_name[record.name].evidence
        if is_learned and evidence.since == now:
            evidence.is_trusted = is_starting
        return is_learned

    def _learn(self, record: TargetRecord, *, is_confirmed: bool, now: float) -> bool:
        entry = self._entries_by_name.get(record.name)
        if entry is not None and record.answers_queries:
            self._record_capability(entry, epoch=record.epoch)
        if entry is not None and record.rank <= entry.record.rank:
            self._add_missing_addresses(entry, record)
            return False
        if entry is None:
            entry = _Entry(
                record=record,
                load=LoadReport(number=0, condition=record.condition),
                load_received_at=now,
                learned_at=now,
                evidence=_evidence(record, is_confirmed=is_confirmed, now=now),
            )
            self._entries_by_name[record.name] = entry
        else:
            self._remove_from_index(entry.record)
            self._replace_record(entry, record, is_confirmed=is_confirmed, now=now)
        self._names_by_service.setdefault(record.service, set()).add(record.name)
        self._names_by_process_key[record.process_key] = record.name
        self._toggle_digest(record)
        self._reset_services_by_address()
        if not entry.evidence.is_confirmed:
            self._names_to_query[record.name] = None
        elif not entry.is_gone:
            self._assign_endpoint(record, now=now)
        return True

    def _replace_record(
        self, entry: _Entry, record: TargetRecord, *, is_confirmed: bool, now: float
    ) -> None:
        earlier = entry.record
        record = _with_addresses(record, earlier)
        entry.record = record
        entry.learned_at = now
        # The announced condition is newer than the one in the last report.
        entry.load = msgspec.structs.replace(entry.load, condition=record.condition)
        if record.epoch != earlier.epoch:
            entry.evidence = _evidence(record, is_confirmed=is_confirmed, now=now)
            self._reset_load(entry, number=0, now=now)
            return
        if entry.evidence.answers_queries:
            entry.record = _with_capability(record)
        if record.instance != earlier.instance and earlier.instance:
            # The agent is the same process and continues its numbering.
            self._reset_load(entry, number=entry.load.number, now=now)

    def _add_missing_addresses(self, entry: _Entry, record: TargetRecord) -> None:
        """Add the addresses that a relay of an older build has left out."""
        known = entry.record
        if record.addresses is None or known.addresses is not None:
            return
        if record.rank == known.rank:
            entry.record = msgspec.structs.replace(known, addresses=record.addresses)
            self._reset_services_by_address()

    def _reset_services_by_address(self) -> None:
        self._services_by_address = None
        self.address_changes += 1

    def services_at(self, address: Address) -> Set[str]:
        """Return the services of the targets that may own flows to an address."""
        if self._services_by_address is None:
            self._services_by_address = _services_by_address(self.records)
        return self._services_by_address.get(address.packed, frozenset())

    def _record_capability(self, entry: _Entry, *, epoch: int) -> None:
        """Record that the agent answers queries, if it is the process with ``epoch``.

        The stored record says so from then on, since a relay may have left it out.
        """
        if entry.record.epoch == epoch:
            entry.evidence.record_capability()
            entry.record = _with_capability(entry.record)

    def _reset_load(self, entry: _Entry, *, number: int, now: float) -> None:
        """Discard the load reported by an earlier agent process or target instance."""
        entry.load = LoadReport(number=number, condition=entry.record.condition)
        entry.load_received_at = now
        entry.sent_since = 0
        entry.evidence.unanswered_flows = 0

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

    def record_announcement(self, record: TargetRecord, *, now: float) -> None:
        """Record that an agent has sent its record itself, whether or not it is new."""
        entry = self._entries_by_name.get(record.name)
        if entry is not None and entry.record.rank == record.rank:
            self._record_frame(entry, now=now)

    def record_reply(
        self, record: TargetRecord, load: LoadReport, *, now: float
    ) -> None:
        """Record an agent's answer to a query, after its record was learned."""
        entry = self._entries_by_name.get(record.name)
        if entry is None or entry.record.rank != record.rank:
            return
        entry.evidence.record_reply(now=now)
        entry.record = _with_capability(entry.record)
        self.record_load(record.name, load, now=now)

    def record_load(self, name: str, load: LoadReport, *, now: float) -> None:
        """Record a load report received directly from the target's agent."""
        entry = self._entries_by_name.get(name)
        if entry is None:
            return
        self._record_frame(entry, now=now)
        if load.number > entry.load.number:
            entry.load = load
            entry.load_received_at = now

    def record_heartbeat(self, name: str, load: LoadReport, *, now: float) -> None:
        """Record a heartbeat, which makes this balancer an observer of the target."""
        self.record_load(name, load, now=now)
        entry = self._entries_by_name.get(name)
        if entry is not None:
            entry.evidence.record_heartbeat(now=now)
            # Otherwise an OPEN whose answer was lost would count forever.
            entry.sent_since = 0

    def _record_frame(self, entry: _Entry, *, now: float) -> None:
        """Record a frame of an agent; a target that it confirms gets its address."""
        was_confirmed = entry.evidence.is_confirmed
        entry.evidence.record_frame(now=now)
        if not was_confirmed and not entry.is_gone:
            self._assign_endpoint(entry.record, now=now)

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
            entry.evidence.unanswered_flows += 1

    def record_silence(self, silence: SilenceReport, *, now: float) -> bool:
        """Record an observer's report; return whether to pass it on."""
        entry = self._entries_by_name.get(silence.name)
        if entry is None or entry.record.epoch != silence.epoch:
            return False
        was_unanswered = entry.evidence.unanswered_queries > 0
        is_news = entry.evidence.record_silence(silence, now=now)
        if is_news and was_unanswered and not silence.silent:
            self._names_to_query[silence.name] = None
        return is_news

    def silences(self, *, since: float) -> tuple[SilenceReport, ...]:
        """Return the reports received since then that no frame has refuted here."""
        return tuple(
            itertools.chain.from_iterable(
                entry.evidence.silences(
                    name=name, epoch=entry.record.epoch, since=since
                )
                for name, entry in self._entries_by_name.items()
                if not entry.is_gone
            )
        )

    def record_batch(self, batch: SilenceBatch, *, now: float) -> bool:
        """Record an observer's reports; return whether to pass them on."""
        silences = unbatched(batch, record_of=self._record_of_process)
        news = [self.record_silence(silence, now=now) for silence in silences]
        return any(news)

    def _record_of_process(self, key: bytes) -> TargetRecord | None:
        return self.record(self._names_by_process_key.get(key, ""))

    def batched(self, silences: Iterable[SilenceReport]) -> Iterator[SilenceBatch]:
        """Yield batches of reports that `changed_silences` has returned."""
        return batched(silences, record_of=lambda n: self._entries_by_name[n].record)

    def changed_silences(
        self, *, observer: str, observer_epoch: int = 0, now: float
    ) -> list[SilenceReport]:
        """Detect targets whose heartbeats stop or resume here; return reports of them.

        Their numbers are consecutive, those of silent targets first.

        Args:
            observer: The name of this balancer.
            observer_epoch: The epoch of this balancer's own record.
            now: The present time.
        """
        names_by_silence: dict[bool, list[str]] = {True: [], False: []}
        for name, entry in self._entries_by_name.items():
            silent = entry.evidence.changed_silence(observer, now=now)
            if silent is not None:
                names_by_silence[silent].append(name)
        changed = []
        for silent, names in names_by_silence.items():
            for name in names:
                self._silences_reported += 1
                silence = SilenceReport(
                    name=name,
                    epoch=self._entries_by_name[name].record.epoch,
                    observer=observer,
                    silent=silent,
                    observer_epoch=observer_epoch,
                    number=self._silences_reported,
                )
                self.record_silence(silence, now=now)
                changed.append(silence)
        return changed

    @property
    def has_first_queries(self) -> bool:
        """Whether there are targets to query at once."""
        return bool(self._names_to_query)

    def first_queries(self, *, contact_at: float, now: float) -> list[TargetRecord]:
        """Return some targets to query at once, and count the queries.

        These are new ones that a peer knows, and suspected ones that may be back.
        """
        names = list(itertools.islice(self._names_to_query, MAX_FIRST_QUERIES))
        for name in names:
            del self._names_to_query[name]
        found = [self._entries_by_name.get(name) for name in names]
        entries = [
            entry
            for entry in found
            if entry is not None
            and not entry.is_gone
            and entry.evidence.may_query(now=now)
        ]
        for entry in entries:
            entry.evidence.expire_query(contact_at=contact_at, now=now)
        return self._query(entries, now=now)

    def queries(
        self,
        *,
        contact_at: float,
        resumed_at: float,
        is_starting: bool = False,
        now: float,
    ) -> list[TargetRecord]:
        """Return the targets whose agents to query now, and count the queries.

        Reads the whole table, so it isn't called for each update.

        Args:
            contact_at: When any frame of another process last arrived.
            resumed_at: When this balancer last started, resumed or regained contact.
            is_starting: Whether it has just started and has trusted its peers.
            now: The present time.
        """
        failing = self._failing_data_centres()
        entries_by_reason = defaultdict(list)
        requests: list[_Entry] = []
        for entry in self._entries_by_name.values():
            if entry.is_gone:
                continue
            entry.evidence.expire_query(contact_at=contact_at, now=now)
            reason = entry.evidence.query_reason(
                resumed_at=resumed_at,
                is_failing=entry.record.data_centre in failing,
                now=now,
            )
            if reason is not None:
                entries_by_reason[reason].append(entry)
            elif not entry.evidence.answers_queries and entry.evidence.is_request_due(
                resumed_at=resumed_at, now=now
            ):
                requests.append(entry)
        self._requests_due = requests
        chosen = _urgent_queries(
            entries_by_reason,
            limit=MAX_START_QUERIES if is_starting else MAX_SUSPECTED_QUERIES,
            failing=failing,
        )
        chosen += _routine_queries(
            entries_by_reason[QueryReason.ROUTINE], failing=failing
        )
        return self._query(chosen, now=now)

    def _failing_data_centres(self) -> set[str]:
        """Return the data centres of which several targets are suspected."""
        suspected = Counter(
            entry.record.data_centre
            for entry in self._entries_by_name.values()
            if entry.evidence.was_suspected
        )
        return {name for name, count in suspected.items() if count >= SEVERAL}

    def status_requests(self, *, now: float) -> list[TargetRecord]:
        """Return the targets of whose agents to request the status; count them.

        They were found by the latest call of `queries`.
        """
        due, self._requests_due = self._requests_due, []
        chosen = nsmallest(MAX_REQUESTS, due, key=_requested_at)
        chosen += self._calibrating(chosen, now=now)
        for entry in chosen:
            entry.evidence.record_request(now=now)
        return [entry.record for entry in chosen]

    def record_status(
        self, name: str, *, epoch: int, is_answered: bool, contact_at: float, now: float
    ) -> None:
        """Record whether an agent has answered a status request."""
        entry = self._entries_by_name.get(name)
        if entry is None or entry.record.epoch != epoch:
            return
        data_centre = entry.record.data_centre
        if is_answered:
            self._reached_data_centres.add(data_centre)
        entry.evidence.record_status(
            is_answered=is_answered,
            is_path_known=data_centre in self._reached_data_centres,
            contact_at=contact_at,
            now=now,
        )

    def _calibrating(self, requested: list[_Entry], *, now: float) -> list[_Entry]:
        """Return a living target for each data centre where none has answered yet.

        A missing answer only counts where others answer: the path may be closed.
        """
        missing = {
            entry.record.data_centre
            for entry in requested
            if entry.evidence.unanswered_requests
        } - self._reached_data_centres
        if not missing:
            return []
        living = {
            entry.record.data_centre: entry
            for entry in self._entries_by_name.values()
            if entry.record.data_centre in missing and entry.evidence.is_heard(now=now)
        }
        return list(living.values())

    def _query(self, entries: list[_Entry], *, now: float) -> list[TargetRecord]:
        for entry in entries:
            entry.evidence.record_query(now=now)
        return [entry.record for entry in entries]

    def remove_expired(
        self, *, settled_at: float = 0.0, now: float
    ) -> list[BeliefChange]:
        """Remove targets that have been gone or suspected for long; return changes.

        Args:
            settled_at: When this balancer had settled after its last pause. Since
                then a suspected target has had the time to answer.
            now: The present time.
        """
        changes = []
        for name, entry in list(self._entries_by_name.items()):
            if entry.is_gone:
                if now - entry.learned_at > GONE_SECONDS:
                    self._remove(name)
                continue
            entry.evidence.remove_old_silences(now=now)
            since = entry.evidence.suspected_since(now=now)
            if since is not None and now - max(since, settled_at) > FORGET_SECONDS:
                self._remove(name)
                changes.append(_belief_change(entry, "removed", now=now))
                continue
            if entry.evidence.ignores_queries and not entry.evidence.was_noticed:
                entry.evidence.was_noticed = True
                changes.append(_belief_change(entry, "ignores queries", now=now))
            suspected = entry.evidence.is_suspected(now=now)
            if suspected != entry.evidence.was_suspected:
                entry.evidence.was_suspected = suspected
                belief = "suspected" if suspected else "trusted"
                changes.append(_belief_change(entry, belief, now=now))
        self._query_returning(changes)
        return changes

    def _query_returning(self, changes: list[BeliefChange]) -> None:
        """Query all that are suspected in a data centre that is back."""
        trusted = Counter(
            self._entries_by_name[change.name].record.data_centre
            for change in changes
            if change.belief == "trusted"
        )
        returned = {name for name, count in trusted.items() if count >= SEVERAL}
        if not returned:
            return
        for name, entry in self._entries_by_name.items():
            if entry.evidence.was_suspected and entry.record.data_centre in returned:
                self._names_to_query[name] = None

    def _remove(self, name: str) -> None:
        self._reset_services_by_address()
        record = self._entries_by_name.pop(name).record
        self._remove_from_index(record)
        if self._names_by_endpoint.get((record.ip, record.port)) == name:
            del self._names_by_endpoint[(record.ip, record.port)]

    def _remove_from_index(self, record: TargetRecord) -> None:
        """Remove a record from the indices and from the digest."""
        self._names_by_service.get(record.service, set()).discard(record.name)
        self._names_by_process_key.pop(record.process_key, None)
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
            if entry.evidence.is_observed and entry.record.data_centre == data_centre
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
            suspected=entry.evidence.is_suspected(now=now),
        )

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
        # Tombstones don't count, since they are removed at different times.
        if record.condition is Condition.GONE:
            return
        # With XOR the same operation adds and removes a record, in constant time.
        self._bucket_sums[_bucket(record.name)] ^= _record_sum(record)

    def is_heard_since(self, moment: float) -> bool:
        """Return whether all that is handed out rests on frames after a moment."""
        return all(
            entry.is_gone
            or not entry.evidence.is_credible
            or entry.evidence.is_heard_since(moment)
            for entry in self._entries_by_name.values()
        )

    def records_in_differing_buckets(
        self, digests: Iterable[bytes], *, heard_since: float | None = None
    ) -> tuple[TargetRecord, ...]:
        """Return the records of the buckets whose digests differ from ``digests``.

        Records that are in doubt here are left out, and those whose agents have sent
        no frame here after ``heard_since``.
        """
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
            and (entry.is_gone or entry.evidence.is_credible)
            and (heard_since is None or entry.evidence.is_heard_since(heard_since))
        )


def _urgent_queries(
    entries_by_reason: Mapping[QueryReason, list[_Entry]],
    *,
    limit: int,
    failing: set[str],
) -> list[_Entry]:
    """Return the targets to query first, some for each reason.

    Args:
        entries_by_reason: The targets to choose from.
        limit: How many suspected and outdated ones there may be.
        failing: The data centres whose outdated targets come before the others.
    """
    doubted = entries_by_reason[QueryReason.DOUBTED]
    suspected = entries_by_reason[QueryReason.SUSPECTED]
    outdated = entries_by_reason[QueryReason.OUTDATED]
    count = limit - min(len(outdated), MIN_OUTDATED_QUERIES)
    chosen = nsmallest(count, suspected, key=_last_contact)
    chosen += nsmallest(
        limit - len(chosen),
        outdated,
        key=lambda entry: (
            entry.record.data_centre not in failing,
            _last_contact(entry),
        ),
    )
    count = MAX_QUERIES - len(chosen)
    return nsmallest(count, doubted, key=_last_contact) + chosen


def _routine_queries(entries: list[_Entry], *, failing: set[str]) -> list[_Entry]:
    """Return targets to query in turn, half of them from failing data centres.

    A target that ended together with its observers is in a data centre where others
    are suspected.
    """
    first = nsmallest(
        MAX_ROUTINE_QUERIES // 2,
        (entry for entry in entries if entry.record.data_centre in failing),
        key=_last_contact,
    )
    names = {entry.record.name for entry in first}
    others = (entry for entry in entries if entry.record.name not in names)
    return first + nsmallest(
        MAX_ROUTINE_QUERIES - len(first), others, key=_last_contact
    )


def _last_contact(entry: _Entry) -> float:
    """Return when an agent last sent a frame or was last queried."""
    return entry.evidence.last_contact_at


def _requested_at(entry: _Entry) -> float:
    return entry.evidence.requested_at


def _evidence(record: TargetRecord, *, is_confirmed: bool, now: float) -> Evidence:
    """Return what is known of an agent process whose record is new."""
    return Evidence(
        since=now, is_confirmed=is_confirmed, answers_queries=record.answers_queries
    )


def _with_capability(record: TargetRecord) -> TargetRecord:
    if record.answers_queries:
        return record
    return msgspec.structs.replace(record, answers_queries=True)


def _with_addresses(record: TargetRecord, earlier: TargetRecord) -> TargetRecord:
    """Return a newer record with the addresses of the earlier one that may still hold.

    An agent that has just started doesn't know them, if its target kept running.
    """
    if not earlier.addresses or record.condition is Condition.GONE:
        return record
    if record.addresses is None:
        return msgspec.structs.replace(record, addresses=earlier.addresses)
    is_same_agent = record.epoch == earlier.epoch
    if is_same_agent or not _may_be_same_instance(record, earlier):
        return record
    merged = sorted({*record.addresses, *earlier.addresses})
    return msgspec.structs.replace(record, addresses=tuple(merged[:MAX_FLOW_ADDRESSES]))


def _may_be_same_instance(record: TargetRecord, earlier: TargetRecord) -> bool:
    """Return whether two records may be about one instance of a target."""
    instances = {record.instance, earlier.instance} - {b""}
    return len(instances) < 2


def _services_by_address(records: Iterable[TargetRecord]) -> dict[bytes, set[str]]:
    services_by_address: dict[bytes, set[str]] = {}
    for record in records:
        if record.condition is Condition.GONE:
            continue
        for address in record.addresses or ():
            services_by_address.setdefault(address, set()).add(record.service)
    return services_by_address


def _belief_change(entry: _Entry, belief: str, *, now: float) -> BeliefChange:
    evidence = entry.evidence
    received_at = evidence.received_at
    return BeliefChange(
        name=entry.record.name,
        epoch=entry.record.epoch,
        belief=belief,
        seconds=now - (evidence.since if received_at is None else received_at),
        is_confirmed=evidence.is_confirmed,
        unanswered_flows=evidence.unanswered_flows,
        unanswered_queries=evidence.unanswered_queries,
    )


def _bucket(name: str) -> int:
    return blake2b(name.encode(), digest_size=1).digest()[0] % BUCKETS


def _record_sum(record: TargetRecord) -> int:
    epoch, change = record.rank
    text = f"{record.name} {epoch} {change}"
    digest = blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")
