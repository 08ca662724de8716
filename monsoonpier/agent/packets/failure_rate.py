"""Failure rate of a target, computed from its answers.

A target whose health check is good may still fail part of its requests, answer
none, or crash and restart repeatedly. A target that fails at once looks idle
and fast, so placement by load alone would send it most new flows.

Balancers weigh the rate against load instead of excluding targets, so targets
that all fail alike are all used. The rate decays without new results, so that
a failing target is tried again.
"""

import math

__all__ = ["FailureRate"]

DECAY_SECONDS = 6.0  # time constant of the exponential decay
# Successful requests that are assumed at first, so that a single failure,
# which may be the request's own fault, gives a low rate.
PRIOR_REQUESTS = 2.0
CRASH_WEIGHT = 4.0  # failed requests that an unplanned end of the target counts as


class FailureRate:
    """The share of a target's recent requests that failed, decaying with time."""

    def __init__(self) -> None:
        self._failed = 0.0
        self._requests = 0.0
        self._crashes = 0.0
        self._decayed_at = 0.0

    def count(self, *, is_failure: bool, now: float) -> None:
        """Count a request that has ended."""
        self._decay(now=now)
        self._requests += 1
        self._failed += is_failure

    def target_ended(self, *, is_planned: bool, now: float) -> None:
        """Reset the counts of requests after the target's instance has ended.

        An unplanned end counts as failures of the next instance too, since a
        target that has crashed is likely to crash again.
        """
        self._decay(now=now)
        self._requests = 0.0
        self._failed = 0.0
        self._crashes += 0.0 if is_planned else CRASH_WEIGHT

    def value(self, *, now: float) -> float:
        """Return the share, from 0 to 1; low while few requests are counted."""
        self._decay(now=now)
        return (self._failed + self._crashes) / (
            self._requests + self._crashes + PRIOR_REQUESTS
        )

    def _decay(self, *, now: float) -> None:
        factor = math.exp(min(0.0, self._decayed_at - now) / DECAY_SECONDS)
        self._failed *= factor
        self._requests *= factor
        self._crashes *= factor
        self._decayed_at = now
