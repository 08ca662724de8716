"""Choice of a target for a new flow, by the power of two random choices."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from monsoonpier.model.service import Preference
from monsoonpier.model.target import Condition, LoadReport, TargetRecord

__all__ = ["Candidate", "Chosen", "NoTarget", "choose_target"]

FIRST_RAMP_WEIGHT = 0.1  # share of its capacity at which a cold target starts
MIN_SPEED_RATIO = 0.2
MAX_SPEED_RATIO = 5.0
FULL_SHARE = 1.0  # requests per slot above which a local target isn't preferred
RETRY_AFTER_SECONDS = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A target with its load, as known to this balancer.

    ``sent_since`` counts the flows that this balancer has sent to the target and that
    its reports don't include yet.
    """

    record: TargetRecord
    load: LoadReport
    sent_since: int = 0
    suspected: bool = False

    @property
    def serves(self) -> bool:
        """Whether the target accepts new flows if it isn't full."""
        is_serving = self.load.condition is Condition.SERVING
        return is_serving and self.record.condition < Condition.LEAVING

    @property
    def takes_flows(self) -> bool:
        """Whether the target accepts new flows and has connections left."""
        flows = self.load.flows + self.sent_since
        return self.serves and flows < self.record.connections

    @property
    def work(self) -> int:
        """Requests that are in flight or queued at the target."""
        return self.load.in_flight + self.load.queued

    @property
    def placed(self) -> int:
        """Flows at the target, including those that it hasn't reported yet."""
        return self.load.flows + self.sent_since


@dataclass(frozen=True, slots=True, kw_only=True)
class Chosen:
    """The target that a new flow goes to."""

    record: TargetRecord


@dataclass(frozen=True, slots=True, kw_only=True)
class NoTarget:
    """No target accepts a new flow now; retry after ``retry_after`` seconds."""

    reason: str
    retry_after: float


def choose_target(
    candidates: Sequence[Candidate],
    *,
    tried: tuple[str, ...] = (),
    data_centre: str,
    prefer: Preference,
    cold_start_seconds: float,
    draw: random.Random,
) -> Chosen | NoTarget:
    """Choose one of a service's allowed targets.

    Args:
        candidates: The targets.
        tried: Names of targets that have rejected the flow.
        data_centre: That of the balancer.
        prefer: Whether targets of this data centre are preferred.
        cold_start_seconds: The time over which a new target's weight rises; 0 for
            none.
        draw: Random numbers, the only source of randomness.
    """
    if not candidates:
        return NoTarget(reason="no targets", retry_after=RETRY_AFTER_SECONDS)
    untried = [c for c in candidates if c.record.name not in tried]
    # Suspected targets are a last resort, since the suspicion may be wrong.
    ready = [c for c in untried if c.takes_flows and not c.suspected]
    ready = ready or [c for c in untried if c.takes_flows]
    if not ready:
        return NoTarget(reason="no target is free", retry_after=RETRY_AFTER_SECONDS)
    if prefer is Preference.LOCAL:
        ready = _prefer_local(ready, data_centre=data_centre)
    if len(ready) == 1:
        return Chosen(record=ready[0].record)
    weights = [capacity(c, cold_start_seconds=cold_start_seconds) for c in ready]
    drawn = _draw_distinct(ready, weights, draw=draw)
    scores = _Scores(ready, weights)
    return Chosen(record=min(drawn, key=scores.score).record)


def capacity(candidate: Candidate, *, cold_start_seconds: float) -> float:
    """Return a target's slots, scaled down while it is cold."""
    ramp = 1.0
    if cold_start_seconds > 0:
        ramp = candidate.load.age_ms / 1000 / cold_start_seconds
    return candidate.record.slots * min(1.0, max(FIRST_RAMP_WEIGHT, ramp))


def _prefer_local(ready: list[Candidate], *, data_centre: str) -> list[Candidate]:
    """Return the local targets that aren't busy, or all targets if there are none."""
    local = [
        c
        for c in ready
        if c.record.data_centre == data_centre and c.work / c.record.slots <= FULL_SHARE
    ]
    return local or ready


def _draw_distinct(
    ready: list[Candidate], weights: list[float], *, draw: random.Random
) -> list[Candidate]:
    """Draw two different candidates in proportion to their weights."""
    first = draw.choices(range(len(ready)), weights)[0]
    rest = [w if i != first else 0.0 for i, w in enumerate(weights)]
    second = draw.choices(range(len(ready)), rest)[0]
    return [ready[first], ready[second]]


class _Scores:
    """Scores candidates by requests and flows per capacity, and by service time."""

    def __init__(self, ready: list[Candidate], weights: list[float]) -> None:
        self._capacity_by_name = {
            c.record.name: w for c, w in zip(ready, weights, strict=True)
        }
        total = sum(weights)
        self._mean_work = sum(c.work for c in ready) / total
        self._mean_placed = sum(c.placed for c in ready) / sum(
            c.record.slots for c in ready
        )
        timed = sorted(c.load.service_ms for c in ready if c.load.service_ms)
        self._median_ms = timed[len(timed) // 2] if timed else 0

    def score(self, candidate: Candidate) -> float:
        """Return the load per capacity, scaled by service time; smaller is better."""
        capacity = self._capacity_by_name[candidate.record.name]
        work = (candidate.work + candidate.sent_since) / capacity
        # Flows outlast the cold start, so full capacity counts for them.
        placed = candidate.placed / candidate.record.slots
        relative = work / (self._mean_work + 1) + placed / (self._mean_placed + 1)
        return (relative + 1 / capacity) * self._speed_ratio(candidate)

    def _speed_ratio(self, candidate: Candidate) -> float:
        if not self._median_ms or not candidate.load.service_ms:
            return 1.0
        ratio = candidate.load.service_ms / self._median_ms
        return min(MAX_SPEED_RATIO, max(MIN_SPEED_RATIO, ratio))
