"""Evidence of whether the agent of a target is alive."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, auto

from monsoonpier.wire.frames import SilenceReport

__all__ = ["FORGET_SECONDS", "SUSPECT_SECONDS", "Evidence", "QueryReason"]

SUSPECT_SECONDS = 3.0  # without a frame; agents send a heartbeat a second
FORGET_SECONDS = 120.0  # a suspected target is removed after this
OBSERVERS_NEEDED = 2  # one may just be cut off from the agent
UNANSWERED_FLOWS_LIMIT = 2  # one SYN or its answer may just be lost
UNANSWERED_QUERIES_LIMIT = 3
UNANSWERED_REQUESTS_LIMIT = 2  # status requests, which are sent over TCP
# An observer queries an agent whose heartbeat is late before it reports silence,
# since the agent may have selected another balancer for its heartbeats.
LATE_HEARTBEAT_SECONDS = 1.6
RETRY_SECONDS = 0.7  # between queries of an agent that has not answered
VERIFY_SECONDS = 30.0  # an agent that sent no frame for this long is queried


class QueryReason(Enum):
    """Why an agent is queried; what comes first matters most to callers.

    Attributes:
        DOUBTED: It may have ended, and its target is still offered.
        SUSPECTED: Its target is offered again as soon as it answers.
        OUTDATED: It was last heard before this balancer was paused or cut off, or not
            since the balancer started.
        ROUTINE: It has sent no frame for long.
    """

    DOUBTED = auto()
    SUSPECTED = auto()
    OUTDATED = auto()
    ROUTINE = auto()


@dataclass(frozen=True, slots=True, kw_only=True)
class _Silence:
    """The latest report of one observer.

    Attributes:
        rank: The report's rank.
        is_silent: Whether the observer misses heartbeats.
        received_at: When the report was received.
    """

    rank: tuple[int, int]
    is_silent: bool
    received_at: float


@dataclass(slots=True, kw_only=True)
class Evidence:
    """What one balancer knows of whether a target's agent is alive. Does no I/O.

    A record that a peer has sent is no evidence: the peer may have been paused since
    the target ended. If the agent is known to answer queries, only its own frames
    confirm the record.

    Attributes:
        since: When the record of this agent process was learned.
        is_confirmed: Whether the agent has confirmed its record, may be unable to, or
            the balancer had just started when it learned the record.
        is_trusted: Whether the balancer had just started when it learned the record
            of a peer.
        received_at: When the agent last sent a frame here.
        is_observed: Whether the agent sends heartbeats here.
        was_suspected: Whether the target was suspected when last reviewed.
        unanswered_flows: New flows in a row that got no answer.
        answers_queries: Whether the agent is known to answer queries. If it isn't,
            its silence is no evidence that it has ended.
        ignores_queries: Whether the agent has left queries unanswered while it lived.
            It is of an older build, and asked for its status instead.
        was_noticed: Whether the caller was told of ``ignores_queries``.
        unanswered_queries: Queries in a row that got no answer.
        unanswered_requests: Status requests in a row that got no answer.
    """

    since: float
    is_confirmed: bool
    is_trusted: bool = False
    received_at: float | None = None
    is_observed: bool = False
    was_suspected: bool = False
    unanswered_flows: int = 0
    answers_queries: bool = False
    ignores_queries: bool = False
    was_noticed: bool = False
    unanswered_queries: int = 0
    unanswered_requests: int = 0
    _heartbeat_at: float = field(default=0.0, init=False)
    _queried_at: float = field(default=-1.0, init=False)
    _is_awaited: bool = field(default=False, init=False)  # the answer to that query
    _unanswered_since: float = field(default=0.0, init=False)
    _requested_at: float = field(default=-1.0, init=False)
    _is_request_open: bool = field(default=False, init=False)
    _can_answer_requests: bool = field(default=False, init=False)
    _silences_by_observer: dict[str, _Silence] = field(default_factory=dict, init=False)

    # Frames of the agent

    def record_frame(self, *, now: float) -> None:
        """Record a frame of the agent, which confirms its record."""
        if self._left_queries_unanswered and not self.answers_queries:
            self.ignores_queries = True
        self.is_confirmed = True
        self.received_at = now
        self.unanswered_flows = 0
        self.unanswered_queries = 0
        self.unanswered_requests = 0
        self._is_awaited = False

    def record_heartbeat(self, *, now: float) -> None:
        """Record a heartbeat, which makes the balancer an observer of the target."""
        self.record_frame(now=now)
        self.is_observed = True
        self._heartbeat_at = now

    def record_reply(self, *, now: float) -> None:
        """Record the answer to a query."""
        self.record_capability()
        self._record_answer(now=now)

    def record_capability(self) -> None:
        """Record that the agent answers queries."""
        self.answers_queries = True
        self.ignores_queries = False

    def _record_answer(self, *, now: float) -> None:
        """Record an answer.

        An agent that answers while its heartbeats are late sends them elsewhere.
        """
        self.record_frame(now=now)
        if now - self._heartbeat_at > LATE_HEARTBEAT_SECONDS:
            self.is_observed = False

    # Queries

    def record_query(self, *, now: float) -> None:
        """Record that a query is sent to the agent."""
        self._queried_at = now
        self._is_awaited = True

    def expire_query(self, *, contact_at: float, now: float) -> None:
        """Count the last query as unanswered if its answer is overdue.

        Args:
            contact_at: When any frame of another process last arrived. If this
                balancer has been cut off since the query, it doesn't count.
            now: The present time.
        """
        if not self._is_awaited or not self.may_query(now=now):
            return
        self._is_awaited = False
        if contact_at <= self._queried_at:
            return
        if not self.unanswered_queries:
            self._unanswered_since = self._queried_at
        self.unanswered_queries += 1

    def may_query(self, *, now: float) -> bool:
        """Return whether the answer to the last query had the time to arrive."""
        return not self._is_awaited or now - self._queried_at >= RETRY_SECONDS

    def query_reason(
        self, *, resumed_at: float, is_failing: bool, now: float
    ) -> QueryReason | None:
        """Return why to query the agent now, or ``None``.

        Whether the target is suspected has just been reviewed.

        Args:
            resumed_at: When this balancer last started, resumed or regained contact.
                What it knew before may be outdated.
            is_failing: Whether several targets of its data centre are suspected.
            now: The present time.
        """
        if not self.may_query(now=now):
            return None
        if not self.answers_queries and self._must_request:
            return None
        if self.was_suspected:
            return QueryReason.SUSPECTED
        if self._is_doubted(now=now):
            return QueryReason.DOUBTED
        if self.received_at is None:
            return QueryReason.OUTDATED if self.is_trusted else QueryReason.ROUTINE
        if self.received_at <= resumed_at:
            return QueryReason.OUTDATED
        max_age = SUSPECT_SECONDS if is_failing else VERIFY_SECONDS
        return QueryReason.ROUTINE if now - self.received_at > max_age else None

    def _is_doubted(self, *, now: float) -> bool:
        """Return whether the agent may have ended, though it isn't suspected.

        One observer isn't enough to suspect the target.
        """
        if self.unanswered_queries or self._is_heartbeat_late(now=now):
            return True
        return any(map(self._counts, self._silences_by_observer.values()))

    def is_heard_since(self, moment: float) -> bool:
        """Return whether the agent has sent a frame here after a moment."""
        return self.received_at is not None and self.received_at > moment

    def is_heard(self, *, now: float) -> bool:
        """Return whether the agent has sent a frame here lately."""
        return (
            self.received_at is not None and now - self.received_at <= SUSPECT_SECONDS
        )

    def _is_heartbeat_late(self, *, now: float) -> bool:
        if not self.is_observed or self.received_at is None:
            return False
        return now - self.received_at > LATE_HEARTBEAT_SECONDS

    @property
    def _left_queries_unanswered(self) -> bool:
        return self.unanswered_queries >= UNANSWERED_QUERIES_LIMIT

    # Status requests, which agents of all builds answer

    @property
    def _must_request(self) -> bool:
        """Whether the agent may be of a build that ignores queries."""
        if self.answers_queries:
            return False
        return self.ignores_queries or self._left_queries_unanswered

    def is_request_due(self, *, resumed_at: float, now: float) -> bool:
        """Return whether to request the status of the agent now.

        Args:
            resumed_at: As for `query_reason`.
            now: The present time.
        """
        if self._is_request_open or not self._must_request:
            return False
        if self.received_at is None:
            return True
        if self.was_suspected or self.received_at <= resumed_at:
            return True
        return self._is_doubted(now=now)

    @property
    def requested_at(self) -> float:
        """When the status of the agent was last requested."""
        return self._requested_at

    def record_request(self, *, now: float) -> None:
        """Record that the status of the agent is requested."""
        self._is_request_open = True
        self._requested_at = now

    def record_status(
        self, *, is_answered: bool, is_path_known: bool, contact_at: float, now: float
    ) -> None:
        """Record the end of a status request.

        Args:
            is_answered: Whether the agent has answered it.
            is_path_known: Whether some agent in its data centre has ever answered one
                to this balancer.
            contact_at: As for `expire_query`.
            now: The present time.
        """
        self._is_request_open = False
        if is_answered:
            self._can_answer_requests = True
            self._record_answer(now=now)
        elif contact_at > self._requested_at:
            self._can_answer_requests |= is_path_known
            if not self.unanswered_requests and not self.unanswered_queries:
                self._unanswered_since = self._requested_at
            self.unanswered_requests += 1

    @property
    def _left_requests_unanswered(self) -> bool:
        return self.unanswered_requests >= UNANSWERED_REQUESTS_LIMIT

    @property
    def _is_unresponsive(self) -> bool:
        """Whether the agent no longer answers what it is known to answer."""
        if self.answers_queries:
            return self._left_queries_unanswered
        return self._can_answer_requests and self._left_requests_unanswered

    @property
    def _may_be_older(self) -> bool:
        """Whether neither reports nor missing answers to queries count yet.

        Observers of older builds report an agent silent that has selected others.
        """
        return not self.answers_queries and not self._left_requests_unanswered

    @property
    def last_contact_at(self) -> float:
        """When the agent was last queried or last sent a frame here; -1 for never."""
        received_at = -1.0 if self.received_at is None else self.received_at
        return max(received_at, self._queried_at)

    @property
    def is_credible(self) -> bool:
        """Whether the record may be passed on as that of a living agent."""
        if self._left_requests_unanswered and not self.answers_queries:
            return False
        if self._is_unresponsive or not self.is_confirmed:
            return False
        return self._may_be_older or len(self._silence_times()) < OBSERVERS_NEEDED

    # Reports of observers

    def record_silence(self, silence: SilenceReport, *, now: float) -> bool:
        """Record an observer's report; return whether to pass it on.

        Reports of older builds have no rank. They aren't passed on, since without
        an order two of them could supersede each other forever.
        """
        known = self._silences_by_observer.get(silence.observer)
        if known is not None and silence.rank <= known.rank:
            if silence.is_ranked or known.rank != silence.rank:
                return False
            if silence.silent == known.is_silent:
                return False
        self._silences_by_observer[silence.observer] = _Silence(
            rank=silence.rank, is_silent=silence.silent, received_at=now
        )
        if not silence.silent:
            self._forget_unanswered_queries()
        return silence.is_ranked

    def _forget_unanswered_queries(self) -> None:
        """Trust an agent that an observer hears again, until it is queried anew."""
        self.unanswered_queries = 0
        self.unanswered_requests = 0
        self._is_awaited = False

    def silences(
        self, *, name: str, epoch: int, since: float
    ) -> Iterator[SilenceReport]:
        """Yield the reports of silence that no later frame refutes.

        Args:
            name: The target's name.
            epoch: The epoch of its agent.
            since: When the first of them was received.
        """
        for observer, silence in self._silences_by_observer.items():
            observer_epoch, number = silence.rank
            is_recent = silence.received_at >= since
            if number and is_recent and self._counts(silence):
                yield SilenceReport(
                    name=name,
                    epoch=epoch,
                    observer=observer,
                    silent=True,
                    observer_epoch=observer_epoch,
                    number=number,
                )

    def is_silent(self, *, now: float) -> bool:
        """Return whether this balancer, as an observer, misses the heartbeats."""
        if not self.is_observed or self.received_at is None or self._may_be_older:
            return False
        return now - self.received_at > SUSPECT_SECONDS

    def has_reported_silence(self, observer: str) -> bool:
        """Return whether the latest report of an observer says "silent"."""
        silence = self._silences_by_observer.get(observer)
        return silence is not None and silence.is_silent

    def changed_silence(self, observer: str, *, now: float) -> bool | None:
        """Return what this balancer, as an observer, has to report, or ``None``.

        A report of its earlier process is withdrawn only after a frame of the agent.
        """
        is_silent = self.is_silent(now=now)
        is_reported = self.has_reported_silence(observer)
        if is_silent == is_reported:
            return None
        if is_reported and self._counts(self._silences_by_observer[observer]):
            return None
        return is_silent

    def remove_old_silences(self, *, now: float) -> None:
        """Remove reports that no longer count and are too old to circulate."""
        if not self._silences_by_observer:
            return
        self._silences_by_observer = {
            observer: silence
            for observer, silence in self._silences_by_observer.items()
            if silence.is_silent or now - silence.received_at <= FORGET_SECONDS
        }

    # Suspicion

    def is_suspected(self, *, now: float) -> bool:
        """Return whether the target is believed to have failed."""
        if self.unanswered_flows >= UNANSWERED_FLOWS_LIMIT:
            return True
        return self.suspected_since(now=now) is not None

    def suspected_since(self, *, now: float) -> float | None:
        """Return when a target that should be removed in the end became suspected.

        This is so if its agent has not confirmed its record, has left queries
        unanswered, or is silent to several observers and to this balancer too. An
        agent that isn't known to answer queries must have left status requests
        unanswered, and be silent to several observers or have left flows unanswered.
        """
        if not self.is_confirmed:
            return self.since
        # All targets are reviewed each second, nearly all without a missing answer.
        is_unanswered = self.unanswered_queries or self.unanswered_requests
        if is_unanswered and self._is_unresponsive:
            return self._unanswered_since
        if self.received_at is not None and now - self.received_at <= SUSPECT_SECONDS:
            return None
        if not self.answers_queries:
            if self._may_be_older:
                return None
            if self.unanswered_flows >= UNANSWERED_FLOWS_LIMIT:
                return self._unanswered_since
        if len(self._silences_by_observer) < OBSERVERS_NEEDED:
            return None
        times = sorted(self._silence_times())
        return times[OBSERVERS_NEEDED - 1] if len(times) >= OBSERVERS_NEEDED else None

    def _silence_times(self) -> list[float]:
        """Return when reports of silence arrived that no later frame refutes."""
        return [
            silence.received_at
            for silence in self._silences_by_observer.values()
            if self._counts(silence)
        ]

    def _counts(self, silence: _Silence) -> bool:
        if not silence.is_silent:
            return False
        return self.received_at is None or silence.received_at > self.received_at
