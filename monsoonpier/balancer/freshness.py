"""How old a balancer's knowledge of the store may be, and how it is validated.

A balancer that doesn't watch the store learns of changes from its peers, which may be
lost or cut off without its noticing. So it keeps track of a time as of which it knows
everything in the store, and validates its knowledge when that time is too long ago:
first with a query to a peer, which costs the store nothing, then with a call of its
own. No I/O.
"""

import math
import random
from dataclasses import dataclass

from monsoonpier.model.revision import NO_REVISION, Revision
from monsoonpier.wire.frames import FreshnessQuery, FreshnessReply

__all__ = ["Freshness", "FreshnessLimits", "Validation"]

MAX_AGE_MS = 2**31 - 1
MAX_OPEN_QUERIES = 8  # later replies to earlier queries are ignored
# Reads by many balancers that lost their watchers at once are spread so that the first
# one can inform the others: a few come early, most of them late.
EARLIEST_READ = 0.7  # as a share of the age at which changes must be read
READ_SPREAD_EXPONENT = 1 / 8


@dataclass(frozen=True, slots=True, kw_only=True)
class FreshnessLimits:
    """Limits on the age of a balancer's knowledge of the store.

    They are shares of the time in which a change must be in force. The rest of it,
    after ``read_seconds``, is for a call that gets no response and its repetition, and
    after ``whole_read_seconds`` for the transfer of a large configuration.

    Attributes:
        bound_seconds: The time in which a stored change must be in force.
    """

    bound_seconds: float

    @property
    def query_seconds(self) -> float:
        """The age at which a balancer that doesn't watch queries a peer."""
        return 0.2 * self.bound_seconds

    @property
    def query_interval_seconds(self) -> float:
        """The interval between two queries."""
        return 0.1 * self.bound_seconds

    @property
    def wait_seconds(self) -> float:
        """The longest wait of a watch call, whose end validates a watcher."""
        return 0.25 * self.bound_seconds

    @property
    def watcher_read_seconds(self) -> float:
        """The age at which a balancer that watches reads changes.

        Longer than a wait and a transfer, so that an answer that is on its way isn't
        requested again.
        """
        return 0.45 * self.bound_seconds

    @property
    def read_seconds(self) -> float:
        """The greatest age at which any other balancer reads changes.

        Until then a change that the watchers have received arrives from peers, which
        is much smaller.
        """
        return 0.6 * self.bound_seconds

    @property
    def whole_read_seconds(self) -> float:
        """The age at which a balancer reads a large configuration itself.

        All balancers that did so would fill their links, while one of them is enough:
        peers send it compressed.
        """
        return 0.8 * self.bound_seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class Validation:
    """A statement that all changes up to a revision of the store are known.

    Attributes:
        revision: The revision.
        as_of: A monotonic time at which the store had no later change.
        source: ``"store"``, or the name of the peer that made the statement.
    """

    revision: Revision
    as_of: float
    source: str


class Freshness:
    """The time as of which a balancer knows the configuration and evacuation orders.

    Learning a newer configuration from a peer doesn't change it, as the store may
    have a newer one still.

    Attributes:
        limits: The limits on the age.
        revision: All changes up to this revision of the store are known.
        validated_by: The source of the newest validation; empty before the first.

    Args:
        limits: As above.
        started_at: When the balancer started, by its monotonic clock.
    """

    def __init__(self, *, limits: FreshnessLimits, started_at: float) -> None:
        self.limits = limits
        self.revision = NO_REVISION
        self.validated_by = ""
        self._started_at = started_at
        self._as_of: float | None = None
        self._is_doubted = False
        self._late_at: float | None = None  # when a read was last due
        self._queried_at: float | None = None
        self._sent_at_by_number: dict[int, float] = {}

    def age(self, *, now: float) -> float:
        """Return the seconds since the knowledge was last known to be complete.

        Before the first validation these are the seconds since the start.
        """
        return now - (self._started_at if self._as_of is None else self._as_of)

    def validate(self, validation: Validation) -> None:
        """Process a statement of the store or a peer; an older one changes nothing."""
        self.revision = max(self.revision, validation.revision)
        if self._as_of is None or validation.as_of > self._as_of:
            self._as_of = validation.as_of
            self.validated_by = validation.source

    # Reads of the store

    def read_age(self, *, is_watcher: bool, draw: random.Random) -> float:
        """Return the age in seconds at which changes must be read from the store."""
        if is_watcher:
            return self.limits.watcher_read_seconds
        return _spread(self.limits.read_seconds, draw=draw)

    def whole_read_age(self, *, draw: random.Random) -> float:
        """Return the age in seconds at which a large configuration must be read."""
        return _spread(self.limits.whole_read_seconds, draw=draw)

    def read_begins(self, *, is_watcher: bool, now: float) -> None:
        """Record a read of changes, which only a watcher makes without doubt."""
        if not is_watcher:
            self._late_at = now

    def changed_doubt(self, *, now: float) -> bool | None:
        """Return whether doubt begins (true) or ends; ``None`` without a change.

        It begins when no watch and no peer has validated the knowledge before a read
        was due, and ends when they have done so for the time in which a change must be
        in force.
        """
        if self.age(now=now) >= self.limits.read_seconds:
            self._late_at = now
        is_doubted = (
            self._late_at is not None
            and now - self._late_at < self.limits.bound_seconds
        )
        if is_doubted == self._is_doubted:
            return None
        self._is_doubted = is_doubted
        return is_doubted

    # Queries to peers

    @property
    def has_unanswered_query(self) -> bool:
        """Whether the last query has not validated anything yet."""
        return bool(self._sent_at_by_number)

    def is_query_due(self, *, is_watcher: bool, now: float) -> bool:
        """Return whether a peer should be queried."""
        limits = self.limits
        is_recent = (
            self._queried_at is not None
            and now - self._queried_at < limits.query_interval_seconds
        )
        if is_recent or self._as_of is None:
            return not is_recent
        limit = limits.watcher_read_seconds if is_watcher else limits.query_seconds
        return self.age(now=now) >= limit

    def query(self, number: int, *, now: float) -> FreshnessQuery:
        """Return a query with a number that identifies its reply."""
        self._queried_at = now
        self._sent_at_by_number[number] = now
        if len(self._sent_at_by_number) > MAX_OPEN_QUERIES:
            del self._sent_at_by_number[next(iter(self._sent_at_by_number))]
        return FreshnessQuery(number=number)

    def age_ms(self, *, now: float) -> int | None:
        """Return the age for a reply; ``None`` before the first validation."""
        if self._as_of is None:
            return None
        return min(MAX_AGE_MS, math.ceil((now - self._as_of) * 1000))

    def validation_in(self, reply: FreshnessReply) -> Validation | None:
        """Return what a reply states, or ``None`` if it answers no open query.

        The reply may have been on its way for any time. The query was sent before the
        peer answered it, so the age counts from then.
        """
        sent_at = self._sent_at_by_number.get(reply.number)
        if sent_at is None or reply.age_ms is None:
            return None
        validation = Validation(
            revision=Revision(generation=reply.generation, number=reply.revision),
            as_of=sent_at - reply.age_ms / 1000,
            source=reply.balancer,
        )
        if self._as_of is None or validation.as_of > self._as_of:
            self._sent_at_by_number.clear()
        return validation


def _spread(seconds: float, *, draw: random.Random) -> float:
    """Return an age up to ``seconds``, rarely a much smaller one."""
    late = draw.random() ** READ_SPREAD_EXPONENT
    return seconds * (EARLIEST_READ + (1.0 - EARLIEST_READ) * late)
