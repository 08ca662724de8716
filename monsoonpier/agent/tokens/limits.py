"""Admission of requests to a target's slots, and when to come back."""

import random
from dataclasses import dataclass

__all__ = ["Admitted", "NotAdmitted", "Pressure", "Queued", "admit"]

MIN_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 30.0
REFUSALS_HALF_LIFE_SECONDS = 1.0
DEFAULT_SERVICE_SECONDS = 0.05  # before the first run has been timed
SMOOTHING = 0.2


@dataclass(frozen=True, slots=True, kw_only=True)
class Admitted:
    """A slot is free: run it now."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Queued:
    """All slots are taken, and its turn is expected before its deadline."""


@dataclass(frozen=True, slots=True, kw_only=True)
class NotAdmitted:
    """Refused at once; come back after ``retry_after`` seconds."""

    reason: str
    retry_after: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Pressure:
    """How hard a target is pressed, from its agent's own counts.

    ``refusals`` is a count that halves every second; it stands for callers
    who will come back and want a slot too.
    """

    slots: int
    in_flight: int = 0
    queued: int = 0
    service_seconds: float = DEFAULT_SERVICE_SECONDS
    refusals: float = 0.0
    refusals_at: float = 0.0

    @property
    def wait_seconds(self) -> float:
        """Expected time until a request that joins the queue now is run."""
        ahead = max(0, self.in_flight + self.queued + 1 - self.slots)
        return ahead * self.service_seconds / self.slots

    def refusals_now(self, *, now: float) -> float:
        """Return the decayed count of recent refusals."""
        age = max(0.0, now - self.refusals_at)
        return self.refusals * 0.5 ** (age / REFUSALS_HALF_LIFE_SECONDS)

    def retry_after(self, *, now: float, draw: random.Random) -> float:
        """Return seconds after which the work ahead should be done, jittered."""
        ahead = self.in_flight + self.queued + self.refusals_now(now=now)
        drain = ahead * self.service_seconds / self.slots
        jittered = drain * draw.uniform(0.5, 1.5)
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, jittered))


def admit(
    pressure: Pressure,
    *,
    queue_limit: int,
    time_left: float,
    now: float,
    draw: random.Random,
) -> Admitted | Queued | NotAdmitted:
    """Decide on a request that is whole; ``time_left`` in seconds."""
    if time_left <= 0:
        return NotAdmitted(reason="deadline passed", retry_after=0.0)
    if pressure.in_flight < pressure.slots:
        return Admitted()
    if pressure.queued >= queue_limit:
        return NotAdmitted(
            reason="overloaded", retry_after=pressure.retry_after(now=now, draw=draw)
        )
    if pressure.wait_seconds + pressure.service_seconds >= time_left:
        return NotAdmitted(
            reason="would be late",
            retry_after=pressure.retry_after(now=now, draw=draw),
        )
    return Queued()


def smooth(previous: float, sample: float) -> float:
    """Return the smoothed service time after one more sample."""
    return previous + SMOOTHING * (sample - previous)
