"""Choice of a target for a new flow without a token: the one it waits least at.

The load that it answers: requests of 40 to 70 ms on targets of one to three
slots at up to 0.8 of their capacity, where a request that meets a taken slot
waits as long as it runs. Two random candidates miss the idle slot too often
there, and a service has few targets (15 at the size that is aimed at), so all
of them are compared.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from monsoonpier.balancer.steering import Candidate, Chosen, NoTarget
from monsoonpier.model.target import QUEUE_AHEAD

__all__ = [
    "PlacementQuery",
    "fastest_run_seconds",
    "has_room",
    "place",
    "reliable",
    "run_seconds",
    "speed",
    "wait_for_slot",
]

RETRY_AFTER_SECONDS = 0.2  # about four runs: by then a slot has come free
BUSY_WEIGHT = 0.5  # of taken slots below the last one, against waiting
FLOW_WEIGHT = 1.0  # of a long flow's later requests, against those under way
FAILURE_WEIGHT = 8.0  # of failed requests: at one in two others are fuller by 4 runs
FAILING_PERCENT = (
    25  # of requests: from there on waiting for a slot elsewhere is better
)
# The others must carry what those left out don't: at 0.7 of all slots they can.
MAX_LEFT_OUT_SHARE = 0.25
# A way to another data centre and back, for the handshake and then for each window
# that is sent before an answer is waited for, against the time of a run. It may
# outweigh half a target's slots, never a wait for one.
REMOTE_SECONDS = 0.001
# Where slots are free elsewhere too, going there gains a caller nothing. At a quarter
# of a run three flows in ten leave their data centre, five at a twentieth, with as
# many answers in time and runs spread as evenly (46 targets, 0.27 to 0.9 of slots).
MIN_REMOTE_WEIGHT = 0.25
MAX_REMOTE_WEIGHT = 0.6
WINDOW_BYTES = 16 * 1_200  # packets that either end has on the way, and their data
JITTER = 0.02  # balancers with equal knowledge must not choose alike
COLD_SPEED_RATIO = 1.5  # before the first run of a cold target was timed
MIN_SPEED_RATIO = 0.3
MAX_SPEED_RATIO = 8.0
DEFAULT_SERVICE_MS = 50


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementQuery:
    """A new flow that is to be placed.

    Attributes:
        tried: Names of targets that have turned it away or not answered.
        data_centre: Where the balancer is.
        long_share: How likely the flow is to carry many requests, 0 to 1.
        short_bytes: What it is likely to carry both ways if it doesn't.
        in_time: It can still be answered in time, and so goes before late ones.
    """

    tried: tuple[str, ...] = ()
    data_centre: str
    long_share: float
    short_bytes: float = 0.0
    in_time: bool = True


def reliable(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the candidates without those that fail most, a quarter at the most."""
    most = round(len(candidates) * MAX_LEFT_OUT_SHARE)
    failing = [c for c in candidates if c.load.failed_percent >= FAILING_PERCENT]
    failing.sort(key=lambda c: c.load.failed_percent, reverse=True)
    left_out = {c.record.name for c in failing[:most]}
    return [c for c in candidates if c.record.name not in left_out]


def place(
    query: PlacementQuery, candidates: Sequence[Candidate], *, draw: random.Random
) -> Chosen | NoTarget:
    """Return the target that the flow should go to; pure but for the draws."""
    untried = [
        c
        for c in candidates
        if c.record.name not in query.tried and has_room(c, in_time=query.in_time)
    ]
    # The suspicion may be wrong.
    ready = [c for c in untried if not c.suspected] or untried
    if not ready:
        return NoTarget(reason="no target is free", retry_after=RETRY_AFTER_SECONDS)
    view = _View(ready, query=query)
    best = min(ready, key=lambda c: view.score(c, draw=draw))
    return Chosen(record=best.record)


def wait_for_slot(candidates: Sequence[Candidate], *, ahead: int) -> float | None:
    """Return seconds until a slot comes free for one behind ``ahead`` others.

    ``None`` if no target serves at all.
    """
    ready = [c for c in candidates if c.takes_flows and not c.suspected]
    if not ready:
        return None
    slots = sum(c.record.slots for c in ready)
    return (ahead + 1) * run_seconds(ready) / slots


def run_seconds(candidates: Sequence[Candidate]) -> float:
    """Return how long a run takes at the middle one of these targets."""
    return _median_ms(candidates) / 1000


def fastest_run_seconds(candidates: Sequence[Candidate]) -> float:
    """Return how long a run takes at the faster quarter of these targets."""
    timed = sorted(c.load.service_ms for c in candidates if c.load.service_ms)
    quarter = timed[len(timed) // 4] if timed else DEFAULT_SERVICE_MS
    return quarter / 1000


def speed(candidate: Candidate) -> float:
    """Return how many runs a second the target does, as far as is known."""
    service_ms = candidate.load.service_ms or DEFAULT_SERVICE_MS
    return 1000 * candidate.record.slots / service_ms


def has_room(candidate: Candidate, *, in_time: bool) -> bool:
    """Tell whether a new flow would wait for one run at the most."""
    if not candidate.takes_flows:
        return False
    return _ahead(candidate, in_time=in_time) < candidate.record.slots + QUEUE_AHEAD


def _ahead(candidate: Candidate, *, in_time: bool) -> int:
    """Return how many requests would run before a new flow's."""
    ahead = candidate.work + candidate.sent_since
    return ahead if in_time else ahead + candidate.load.queued_late


def _median_ms(candidates: Sequence[Candidate]) -> int:
    timed = sorted(c.load.service_ms for c in candidates if c.load.service_ms)
    return timed[len(timed) // 2] if timed else DEFAULT_SERVICE_MS


def _remote_weight(query: PlacementQuery, *, median_ms: int) -> float:
    """Return how much longer another data centre's answer takes, in runs.

    Where each near target has one slot of two taken, 0.99 of uploads of 40 KB
    stay near, and none do by the way alone (400 choices among 25 targets).
    """
    windows = query.short_bytes / WINDOW_BYTES * (1 - query.long_share)
    seconds = REMOTE_SECONDS * (1 + windows)
    weight = 1000 * seconds / median_ms
    return min(MAX_REMOTE_WEIGHT, max(MIN_REMOTE_WEIGHT, weight))


class _View:
    """What all ready candidates have in common for one flow."""

    def __init__(self, ready: Sequence[Candidate], *, query: PlacementQuery) -> None:
        self._query = query
        self._median_ms = _median_ms(ready)
        flows = sum(c.placed for c in ready)
        self._mean_flows = (flows + 1) / sum(c.record.slots for c in ready)
        self._remote_weight = _remote_weight(query, median_ms=self._median_ms)

    def speed_ratio(self, candidate: Candidate) -> float:
        """Return how long a run takes here against the median."""
        if not candidate.load.service_ms:
            return COLD_SPEED_RATIO if candidate.load.cold_ms else 1.0
        ratio = candidate.load.service_ms / self._median_ms
        return min(MAX_SPEED_RATIO, max(MIN_SPEED_RATIO, ratio))

    def wait_runs(self, candidate: Candidate, *, in_time: bool) -> float:
        """Return the expected wait for a slot, in runs."""
        slots = candidate.record.slots
        ahead = _ahead(candidate, in_time=in_time) + 1 - slots
        return max(0, ahead) / slots

    def score(self, candidate: Candidate, *, draw: random.Random) -> float:
        """Return the cost of placing the flow there; the least is chosen."""
        query = self._query
        slots = candidate.record.slots
        taken = (candidate.work + candidate.sent_since) / slots
        wait_runs = self.wait_runs(candidate, in_time=query.in_time)
        cost = (1 + wait_runs) * self.speed_ratio(candidate)
        cost += BUSY_WEIGHT * min(1.0, taken)
        flows = candidate.placed / slots / self._mean_flows
        cost += FLOW_WEIGHT * query.long_share * flows
        cost += FAILURE_WEIGHT * candidate.load.failed_percent / 100
        if candidate.record.data_centre != query.data_centre:
            cost += self._remote_weight
        return cost + draw.random() * JITTER
