"""Choice of the target of a new flow without a token: the one with the least cost.

Targets have few slots, so sampling two random candidates would often miss an idle
slot. A service has few targets, so all of them are compared.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from monsoonpier.balancer.target_choice import Candidate, Chosen, NoTarget
from monsoonpier.model.target import QUEUE_AHEAD

__all__ = [
    "PlacementQuery",
    "fast_service_seconds",
    "has_room",
    "place",
    "without_failing",
    "median_service_seconds",
    "requests_per_second",
    "wait_for_slot",
]

RETRY_AFTER_SECONDS = 0.2  # about four runs; a slot has come free by then
BUSY_WEIGHT = 0.5  # cost of all slots being taken, in service times
FLOW_WEIGHT = 1.0  # cost for a long flow if a target has the mean number of flows
FAILURE_WEIGHT = 8.0  # cost if all requests fail, in service times
# A target is excluded if this share of its requests fails: from there on waiting for a
# slot elsewhere is better.
FAILING_PERCENT = 25
# The other targets must carry the load, which they can at 0.7 of all slots.
MAX_EXCLUDED_SHARE = 0.25
# Round trip to another data centre; a flow takes one for the handshake and one
# for each window.
REMOTE_SECONDS = 0.001
# Bounds of the extra cost of a remote target, in service times: at least the cost
# of half of a target's slots being taken, and less than a wait for a slot. Where slots
# are free elsewhere too, going there gains a caller nothing: at a quarter three flows
# in ten leave their data centre, at a twentieth five, with as many answers in time.
MIN_REMOTE_WEIGHT = 0.25
MAX_REMOTE_WEIGHT = 0.6
WINDOW_BYTES = 16 * 1_200  # packets in flight in each direction, times payload
JITTER = 0.02  # prevents balancers with the same data from all choosing one target
COLD_SPEED_RATIO = 1.5  # assumed for a cold target without a service time
MIN_SPEED_RATIO = 0.3
MAX_SPEED_RATIO = 8.0
DEFAULT_SERVICE_MS = 50  # assumed while no service time is known


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementQuery:
    """What placement needs to know of a new flow.

    Attributes:
        tried: Names of targets that have rejected the SYN or not answered.
        data_centre: The balancer's data centre.
        long_share: Probability that the flow carries many requests, 0 to 1.
        short_bytes: Bytes expected in both directions if it carries one request.
        in_time: Whether it can still meet its latency target; such flows go first.
    """

    tried: tuple[str, ...] = ()
    data_centre: str
    long_share: float
    short_bytes: float = 0.0
    in_time: bool = True


def without_failing(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the candidates without failing ones, omitting a quarter at the most."""
    max_failing = round(len(candidates) * MAX_EXCLUDED_SHARE)
    failing = [c for c in candidates if c.load.failed_percent >= FAILING_PERCENT]
    failing.sort(key=lambda c: c.load.failed_percent, reverse=True)
    excluded = {c.record.name for c in failing[:max_failing]}
    return [c for c in candidates if c.record.name not in excluded]


def place(
    query: PlacementQuery, candidates: Sequence[Candidate], *, draw: random.Random
) -> Chosen | NoTarget:
    """Return the target with the least cost; deterministic but for random jitter."""
    untried = [
        c
        for c in candidates
        if c.record.name not in query.tried and has_room(c, in_time=query.in_time)
    ]
    # Suspected targets are a fallback, since the suspicion may be wrong.
    ready = [c for c in untried if not c.suspected] or untried
    if not ready:
        return NoTarget(reason="no target is free", retry_after=RETRY_AFTER_SECONDS)
    costs = _CostModel(ready, query=query)
    best = min(ready, key=lambda c: costs.cost(c, draw=draw))
    return Chosen(record=best.record)


def wait_for_slot(candidates: Sequence[Candidate], *, ahead: int) -> float | None:
    """Return the expected seconds until a flow behind ``ahead`` others gets a slot.

    Returns ``None`` if no target serves.
    """
    ready = [c for c in candidates if c.takes_flows and not c.suspected]
    if not ready:
        return None
    slots = sum(c.record.slots for c in ready)
    return (ahead + 1) * median_service_seconds(ready) / slots


def median_service_seconds(candidates: Sequence[Candidate]) -> float:
    """Return the median service time of these targets, in seconds."""
    return _median_ms(candidates) / 1000


def fast_service_seconds(candidates: Sequence[Candidate]) -> float:
    """Return the lower-quartile service time of these targets, in seconds."""
    timed = sorted(c.load.service_ms for c in candidates if c.load.service_ms)
    quarter = timed[len(timed) // 4] if timed else DEFAULT_SERVICE_MS
    return quarter / 1000


def requests_per_second(candidate: Candidate) -> float:
    """Return how many requests a second the target can serve, as far as is known."""
    service_ms = candidate.load.service_ms or DEFAULT_SERVICE_MS
    return 1000 * candidate.record.slots / service_ms


def has_room(candidate: Candidate, *, in_time: bool) -> bool:
    """Return whether a new flow would wait for one request at the most."""
    if not candidate.takes_flows:
        return False
    return (
        _requests_ahead(candidate, in_time=in_time)
        < candidate.record.slots + QUEUE_AHEAD
    )


def _requests_ahead(candidate: Candidate, *, in_time: bool) -> int:
    """Return how many requests would be served before a new flow's."""
    ahead = candidate.work + candidate.sent_since
    return ahead if in_time else ahead + candidate.load.queued_late


def _median_ms(candidates: Sequence[Candidate]) -> int:
    """Return the median service time of these targets, in milliseconds."""
    timed = sorted(c.load.service_ms for c in candidates if c.load.service_ms)
    return timed[len(timed) // 2] if timed else DEFAULT_SERVICE_MS


def _remote_weight(query: PlacementQuery, *, median_ms: int) -> float:
    """Return the cost of a target in another data centre, in service times.

    A large short flow costs more, since each window takes a round trip.
    """
    windows = query.short_bytes / WINDOW_BYTES * (1 - query.long_share)
    seconds = REMOTE_SECONDS * (1 + windows)
    weight = 1000 * seconds / median_ms
    return min(MAX_REMOTE_WEIGHT, max(MIN_REMOTE_WEIGHT, weight))


class _CostModel:
    """Cost of each ready candidate for one flow, relative to the others."""

    def __init__(self, ready: Sequence[Candidate], *, query: PlacementQuery) -> None:
        self._query = query
        self._median_ms = _median_ms(ready)
        flows = sum(c.placed for c in ready)
        self._mean_flows = (flows + 1) / sum(c.record.slots for c in ready)
        self._remote_weight = _remote_weight(query, median_ms=self._median_ms)

    def speed_ratio(self, candidate: Candidate) -> float:
        """Return the candidate's service time relative to the median."""
        if not candidate.load.service_ms:
            return COLD_SPEED_RATIO if candidate.load.cold_ms else 1.0
        ratio = candidate.load.service_ms / self._median_ms
        return min(MAX_SPEED_RATIO, max(MIN_SPEED_RATIO, ratio))

    def wait_in_service_times(self, candidate: Candidate, *, in_time: bool) -> float:
        """Return the expected wait for a slot, in service times."""
        slots = candidate.record.slots
        ahead = _requests_ahead(candidate, in_time=in_time) + 1 - slots
        return max(0, ahead) / slots

    def cost(self, candidate: Candidate, *, draw: random.Random) -> float:
        """Return the cost of placing the flow there; the least is chosen."""
        query = self._query
        slots = candidate.record.slots
        taken = (candidate.work + candidate.sent_since) / slots
        wait = self.wait_in_service_times(candidate, in_time=query.in_time)
        cost = (1 + wait) * self.speed_ratio(candidate)
        cost += BUSY_WEIGHT * min(1.0, taken)
        flows = candidate.placed / slots / self._mean_flows
        cost += FLOW_WEIGHT * query.long_share * flows
        cost += FAILURE_WEIGHT * candidate.load.failed_percent / 100
        if candidate.record.data_centre != query.data_centre:
            cost += self._remote_weight
        return cost + draw.random() * JITTER
