"""Admission of requests to a target's slots and queue, and retry delays."""

import random
from dataclasses import dataclass

__all__ = ["Admitted", "Queued", "Rejected", "TargetLoad", "admit"]

MIN_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 30.0
REJECTIONS_HALF_LIFE_SECONDS = 1.0
DEFAULT_SERVICE_SECONDS = 0.05  # before the first run has been timed
SMOOTHING = 0.2  # weight of a new sample in the smoothed service time


@dataclass(frozen=True, slots=True, kw_only=True)
class Admitted:
    """A slot is free; the request runs now."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Queued:
    """All slots are taken; the request is expected to finish before its deadline."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Rejected:
    """The request is rejected; retry after ``retry_after`` seconds."""

    reason: str
    retry_after: float


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetLoad:
    """The load of a target, from its agent's own counts.

    ``rejections`` is a decaying count of recent rejections: an estimate of
    the callers that will retry. ``rejections_at`` is when it was last updated.
    """

    slots: int
    in_flight: int = 0
    queued: int = 0
    service_seconds: float = DEFAULT_SERVICE_SECONDS
    rejections: float = 0.0
    rejections_at: float = 0.0

    @property
    def wait_seconds(self) -> float:
        """The expected wait of a request that joins the queue now."""
        ahead = max(0, self.in_flight + self.queued + 1 - self.slots)
        return ahead * self.service_seconds / self.slots

    def rejections_now(self, *, now: float) -> float:
        """Return the decayed count of recent rejections."""
        age = max(0.0, now - self.rejections_at)
        return self.rejections * 0.5 ** (age / REJECTIONS_HALF_LIFE_SECONDS)

    def retry_after(self, *, now: float, draw: random.Random) -> float:
        """Return the expected seconds until the current work is done, with jitter."""
        ahead = self.in_flight + self.queued + self.rejections_now(now=now)
        seconds = ahead * self.service_seconds / self.slots
        jittered = seconds * draw.uniform(0.5, 1.5)
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, jittered))


def admit(
    load: TargetLoad,
    *,
    queue_limit: int,
    time_left: float,
    now: float,
    draw: random.Random,
) -> Admitted | Queued | Rejected:
    """Decide whether a complete request runs, waits or is rejected.

    ``time_left`` is the time until its deadline, in seconds.
    """
    if time_left <= 0:
        return Rejected(reason="deadline passed", retry_after=0.0)
    if load.in_flight < load.slots:
        return Admitted()
    if load.queued >= queue_limit:
        return Rejected(
            reason="overloaded", retry_after=load.retry_after(now=now, draw=draw)
        )
    if load.wait_seconds + load.service_seconds >= time_left:
        return Rejected(
            reason="would be late",
            retry_after=load.retry_after(now=now, draw=draw),
        )
    return Queued()


def smooth(previous: float, sample: float) -> float:
    """Return the smoothed service time after one more sample."""
    return previous + SMOOTHING * (sample - previous)
