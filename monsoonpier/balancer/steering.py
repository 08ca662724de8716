"""Choice of a target for a new flow: weighted, the less loaded of two."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from monsoonpier.model.service import Preference
from monsoonpier.model.target import Condition, LoadReport, TargetRecord

__all__ = ["Candidate", "Chosen", "NoTarget", "choose"]

FIRST_RAMP_WEIGHT = 0.1  # share of its capacity that a cold target gets at first
MIN_SPEED_RATIO = 0.2
MAX_SPEED_RATIO = 5.0
FULL_SHARE = 1.0  # local targets busier than this overflow to other data centres
RETRY_AFTER_SECONDS = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A target as one balancer sees it when a flow is opened.

    ``sent_since`` counts the flows that this balancer sent and that no report
    can know of yet.
    """

    record: TargetRecord
    load: LoadReport
    sent_since: int = 0
    suspected: bool = False

    @property
    def serves(self) -> bool:
        """Whether the target takes new flows as long as it has room."""
        is_serving = self.load.condition is Condition.SERVING
        return is_serving and self.record.condition < Condition.LEAVING

    @property
    def takes_flows(self) -> bool:
        """Whether the target is believed to accept new flows."""
        flows = self.load.flows + self.sent_since
        return self.serves and flows < self.record.connections

    @property
    def work(self) -> int:
        """Requests at the target or waiting there."""
        return self.load.in_flight + self.load.queued

    @property
    def placed(self) -> int:
        """Flows at the target, with those it can't have reported yet."""
        return self.load.flows + self.sent_since


@dataclass(frozen=True, slots=True, kw_only=True)
class Chosen:
    """The target that a new flow goes to."""

    record: TargetRecord


@dataclass(frozen=True, slots=True, kw_only=True)
class NoTarget:
    """No target takes a new flow now."""

    reason: str
    retry_after: float


def choose(
    candidates: Sequence[Candidate],
    *,
    tried: tuple[str, ...] = (),
    data_centre: str,
    prefer: Preference,
    cold_start_seconds: float,
    draw: random.Random,
) -> Chosen | NoTarget:
    """Choose among a service's allowed targets; pure but for the draws given."""
    if not candidates:
        return NoTarget(reason="no targets", retry_after=RETRY_AFTER_SECONDS)
    untried = [c for c in candidates if c.record.name not in tried]
    # A suspected target is a last resort: the suspicion may be wrong.
    ready = [c for c in untried if c.takes_flows and not c.suspected]
    ready = ready or [c for c in untried if c.takes_flows]
    if not ready:
        return NoTarget(reason="no target is free", retry_after=RETRY_AFTER_SECONDS)
    if prefer is Preference.LOCAL:
        ready = _local_first(ready, data_centre=data_centre)
    if len(ready) == 1:
        return Chosen(record=ready[0].record)
    weights = [capacity(c, cold_start_seconds=cold_start_seconds) for c in ready]
    drawn = _draw_distinct(ready, weights, draw=draw)
    scores = _Scores(ready, weights)
    return Chosen(record=min(drawn, key=scores.score).record)


def capacity(candidate: Candidate, *, cold_start_seconds: float) -> float:
    """Return slots, scaled down while the target is cold."""
    ramp = 1.0
    if cold_start_seconds > 0:
        ramp = candidate.load.age_ms / 1000 / cold_start_seconds
    return candidate.record.slots * min(1.0, max(FIRST_RAMP_WEIGHT, ramp))


def _local_first(ready: list[Candidate], *, data_centre: str) -> list[Candidate]:
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
    """Compares candidates by work and flows per capacity, slow ones as fuller."""

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
        """Return the load relative to the mean; the smaller one is chosen."""
        capacity = self._capacity_by_name[candidate.record.name]
        work = (candidate.work + candidate.sent_since) / capacity
        # Flows outlast the cold start, so they count against full capacity.
        placed = candidate.placed / candidate.record.slots
        relative = work / (self._mean_work + 1) + placed / (self._mean_placed + 1)
        return (relative + 1 / capacity) * self._speed_ratio(candidate)

    def _speed_ratio(self, candidate: Candidate) -> float:
        if not self._median_ms or not candidate.load.service_ms:
            return 1.0
        ratio = candidate.load.service_ms / self._median_ms
        return min(MAX_SPEED_RATIO, max(MIN_SPEED_RATIO, ratio))
