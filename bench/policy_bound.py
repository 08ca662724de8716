"""Computes an upper bound on the score of a day with an outage.

A fluid model: requests arrive evenly, all slots are always busy, requests that can
still meet their latency target run first, and late ones use the remaining capacity.
It uses no code of monsoonpier. The loss is split into power outage, start of processes
and fixed deductions.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace

__all__ = ["OUTAGES_BY_NAME", "Bound", "Outage", "bound", "policy_bound"]

STEP_SECONDS = 0.01
WINDOW_SECONDS = 2.0  # length of a window in the score
WORST_WINDOWS = 2
# Weights in the score of the whole day and of its worst windows.
DAY_WEIGHT = 0.9
WINDOW_WEIGHT = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class Outage:
    """A total outage, and the service that it affects.

    Attributes:
        at: Its start, in seconds from the start of the day.
        down_seconds: Time until power returns or processes are restarted.
        start_seconds: Time from then until the first new flow opens.
        per_second: Rate of requests.
        seconds: Length of the day.
        slots, run_seconds: Slots and service time of the service.
        cold_seconds, cold_ratio: Duration and factor of the targets' slowdown; a
            ratio of 1.0 if the targets kept running.
        aim_seconds, timeout_seconds: Latency target and timeout of requests.
        late_score: Score of a response after its latency target.
        deductions: Fixed deductions from the day's score.
    """

    at: float
    down_seconds: float
    start_seconds: float
    per_second: float
    seconds: float = 50.0
    slots: int = 28
    run_seconds: float = 0.067
    cold_seconds: float = 2.0
    cold_ratio: float = 1.6
    aim_seconds: float = 0.29
    timeout_seconds: float = 4.2
    late_score: float = 0.3
    deductions: float = 0.08

    @property
    def up_at(self) -> float:
        """When the first flow can be opened."""
        return self.at + self.down_seconds + self.start_seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class Bound:
    """An upper bound on a day's score.

    Attributes:
        served: Mean score of all requests.
        worst_windows: Mean score of the worst windows.
        score: Weighted sum of both, less the deductions.
    """

    served: float
    worst_windows: float
    score: float


def bound(outage: Outage) -> Bound:
    """Return the upper bound, which assumes perfect knowledge."""
    steps = round(outage.seconds / STEP_SECONDS)
    score_by_step = [1.0] * steps
    backlog: list[int] = []  # steps whose requests wait and are late
    spare_steps = 0.0  # capacity for late requests, in steps of arrivals
    for step in range(steps):
        now = step * STEP_SECONDS
        if not outage.at - outage.run_seconds <= now:
            continue  # the request ends before the outage
        if _misses_latency_target(outage, now):
            score_by_step[step] = 0.0
            backlog.append(step)
        if now < outage.up_at:
            continue
        spare = _runs_per_second(outage, now) - outage.per_second
        spare_steps += max(0.0, spare) / outage.per_second
        while spare_steps >= 1 and backlog:
            waiting = backlog.pop(0)
            spare_steps -= 1
            waited = now - waiting * STEP_SECONDS
            is_served = waited <= outage.timeout_seconds
            score_by_step[waiting] = outage.late_score if is_served else 0.0
    return _result(outage, score_by_step)


def _misses_latency_target(outage: Outage, now: float) -> bool:
    """Return whether a request sent at ``now`` can't meet its latency target."""
    run = outage.run_seconds * outage.cold_ratio
    return now + outage.aim_seconds < outage.up_at + run


def _runs_per_second(outage: Outage, now: float) -> float:
    is_cold = now < outage.at + outage.down_seconds + outage.cold_seconds
    ratio = outage.cold_ratio if is_cold else 1.0
    return outage.slots / (outage.run_seconds * ratio)


def _result(outage: Outage, score_by_step: list[float]) -> Bound:
    served = sum(score_by_step) / len(score_by_step)
    length = round(WINDOW_SECONDS / STEP_SECONDS)
    windows = sorted(
        sum(score_by_step[start : start + length]) / length
        for start in range(0, len(score_by_step) - length + 1, length)
    )
    worst = sum(windows[:WORST_WINDOWS]) / WORST_WINDOWS
    score = DAY_WEIGHT * served + WINDOW_WEIGHT * worst - outage.deductions
    return Bound(served=served, worst_windows=worst, score=score)


OUTAGES_BY_NAME = {
    "power off 0.5 s": Outage(
        at=34.0,
        down_seconds=0.51,
        start_seconds=0.4,
        per_second=195.0,
        deductions=0.091,
    ),
    "all killed 1.3 s": Outage(
        at=34.0,
        down_seconds=1.3,
        start_seconds=0.4,
        per_second=215.0,
        cold_ratio=1.0,
        deductions=0.074,
    ),
    "power off 1 s, 24 slots": Outage(
        at=35.5,
        down_seconds=0.98,
        start_seconds=0.4,
        per_second=180.0,
        slots=24,
        deductions=0.077,
    ),
    "power off 0.9 s": Outage(
        at=34.03,
        down_seconds=0.87,
        start_seconds=0.4,
        per_second=215.0,
        deductions=0.082,
    ),
    "all killed 0.9 s": Outage(
        at=34.0,
        down_seconds=0.94,
        start_seconds=0.4,
        per_second=170.0,
        cold_ratio=1.0,
        deductions=0.093,
    ),
}


def policy_bound() -> Iterator[dict]:
    """Yield the bound of each outage, and the loss by each cause."""
    for name, outage in OUTAGES_BY_NAME.items():
        limit = bound(outage)
        no_start = bound(replace(outage, start_seconds=0.0))
        no_loss = bound(replace(outage, start_seconds=0.0, down_seconds=0.0))
        yield {
            "figure": "policy_bound",
            "outage": name,
            "worth": round(limit.score, 3),
            "served": round(limit.served, 3),
            "worst_windows": round(limit.worst_windows, 3),
            "lost_by_down_time": round(no_loss.score - no_start.score, 3),
            "lost_by_start": round(no_start.score - limit.score, 3),
            "lost_by_prices": outage.deductions,
        }
