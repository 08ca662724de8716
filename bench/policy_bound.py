"""What full knowledge could have had of a day that ends with an outage.

A fluid model: callers ask evenly, all slots are always used, who can still be
answered in time goes first, and late answers take what is left. Nothing of it is the
product's own; measured days are held against it, and what they miss is split into the
time without power, the start of processes, and all that is decided afterwards.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace

__all__ = ["OUTAGES_BY_NAME", "Bound", "Outage", "bound", "policy_bound"]

STEP_SECONDS = 0.01
WINDOW_SECONDS = 2.0  # as the users' measure of the worst seconds
WORST_WINDOWS = 2
# Of the whole day, the worst kind of request and the worst data centre together, which
# an outage of everything hits alike; and of the worst windows.
DAY_WEIGHT = 0.9
WINDOW_WEIGHT = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class Outage:
    """An outage of everything, and the service that it hits.

    Attributes:
        at: When it begins, in seconds from the day's start.
        down_seconds: Until power is back, or processes are started again.
        start_seconds: From then until the first new flow is open.
        per_second: Requests that are asked.
        seconds: The day's length.
        slots, run_seconds: Of the service.
        cold_seconds, cold_ratio: How long targets are slower, and by how much; 1.0
            where they have lived on.
        aim_seconds, timeout_seconds: Of the requests.
        late_worth: What an answer after its aim is worth.
        prices: What the day costs in any case, as it was measured.
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
    late_worth: float = 0.3
    prices: float = 0.08

    @property
    def up_at(self) -> float:
        """When the first flow can be opened."""
        return self.at + self.down_seconds + self.start_seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class Bound:
    """The most that a day can have."""

    served: float
    worst_windows: float
    worth: float


def bound(outage: Outage) -> Bound:
    """Return what a day can have if all is known and nothing lost but time."""
    steps = round(outage.seconds / STEP_SECONDS)
    worth_by_step = [1.0] * steps
    backlog: list[int] = []  # steps whose requests wait, late already
    served = 0.0
    for step in range(steps):
        now = step * STEP_SECONDS
        if not outage.at - outage.run_seconds <= now:
            continue
        if _cannot_be_in_time(outage, now):
            worth_by_step[step] = 0.0
            backlog.append(step)
        if now < outage.up_at:
            continue
        spare = _slots_per_second(outage, now) - outage.per_second
        served += max(0.0, spare) / outage.per_second
        while served >= 1 and backlog:
            waiting = backlog.pop(0)
            served -= 1
            waited = now - waiting * STEP_SECONDS
            is_served = waited <= outage.timeout_seconds
            worth_by_step[waiting] = outage.late_worth if is_served else 0.0
    return _result(outage, worth_by_step)


def _cannot_be_in_time(outage: Outage, now: float) -> bool:
    run = outage.run_seconds * outage.cold_ratio
    return now + outage.aim_seconds < outage.up_at + run


def _slots_per_second(outage: Outage, now: float) -> float:
    is_cold = now < outage.at + outage.down_seconds + outage.cold_seconds
    ratio = outage.cold_ratio if is_cold else 1.0
    return outage.slots / (outage.run_seconds * ratio)


def _result(outage: Outage, worth_by_step: list[float]) -> Bound:
    served = sum(worth_by_step) / len(worth_by_step)
    length = round(WINDOW_SECONDS / STEP_SECONDS)
    windows = sorted(
        sum(worth_by_step[start : start + length]) / length
        for start in range(0, len(worth_by_step) - length + 1, length)
    )
    worst = sum(windows[:WORST_WINDOWS]) / WORST_WINDOWS
    worth = DAY_WEIGHT * served + WINDOW_WEIGHT * worst - outage.prices
    return Bound(served=served, worst_windows=worst, worth=worth)


OUTAGES_BY_NAME = {
    "power off 0.5 s": Outage(
        at=34.0, down_seconds=0.51, start_seconds=0.4, per_second=195.0, prices=0.091
    ),
    "all killed 1.3 s": Outage(
        at=34.0,
        down_seconds=1.3,
        start_seconds=0.4,
        per_second=215.0,
        cold_ratio=1.0,
        prices=0.074,
    ),
    "power off 1 s, 24 slots": Outage(
        at=35.5,
        down_seconds=0.98,
        start_seconds=0.4,
        per_second=180.0,
        slots=24,
        prices=0.077,
    ),
    "power off 0.9 s": Outage(
        at=34.03, down_seconds=0.87, start_seconds=0.4, per_second=215.0, prices=0.082
    ),
    "all killed 0.9 s": Outage(
        at=34.0,
        down_seconds=0.94,
        start_seconds=0.4,
        per_second=170.0,
        cold_ratio=1.0,
        prices=0.093,
    ),
}


def policy_bound() -> Iterator[dict]:
    """Yield a figure for each outage, and what each part of it costs."""
    for name, outage in OUTAGES_BY_NAME.items():
        most = bound(outage)
        no_start = bound(replace(outage, start_seconds=0.0))
        no_loss = bound(replace(outage, start_seconds=0.0, down_seconds=0.0))
        yield {
            "figure": "policy_bound",
            "outage": name,
            "worth": round(most.worth, 3),
            "served": round(most.served, 3),
            "worst_windows": round(most.worst_windows, 3),
            "lost_by_down_time": round(no_loss.worth - no_start.worth, 3),
            "lost_by_start": round(no_start.worth - most.worth, 3),
            "lost_by_prices": outage.prices,
        }
