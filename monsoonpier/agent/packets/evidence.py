"""Whether a target fails its requests, judged by what comes back from it.

The load that it answers: targets that fail part of their requests, or answer none,
while their health check is good, and targets that end and come back by turns. One
that fails at once looks idle and fast, so placement by load alone would send it
most new flows.

The judgement is a share, not a verdict: balancers weigh it against load, so targets
that all fail alike are all used, and nobody must decide how many may be left out at
once. It fades without evidence, so that a target is tried again.
"""

import math

__all__ = ["FailureShare"]

FADE_SECONDS = 6.0  # a tenth of the longest flows: most then go elsewhere meanwhile
DOUBT = 2.0  # requests: one failure alone may be the request's own fault
END_WEIGHT = 4.0  # of an end of the target, in requests: it takes its flows along


class FailureShare:
    """The share of a target's latest requests that it failed, fading with time."""

    def __init__(self) -> None:
        self._failed = 0.0
        self._counted = 0.0
        self._ends = 0.0
        self._faded_at = 0.0

    def count(self, *, is_failure: bool, now: float) -> None:
        """Count a request that has ended."""
        self._fade(now=now)
        self._counted += 1
        self._failed += is_failure

    def run_ended(self, *, is_planned: bool, now: float) -> None:
        """Forget the requests of a run of the target that has ended.

        That it ended though nobody had planned it says something of the next run
        too: targets that go down and up by turns do so again.
        """
        self._fade(now=now)
        self._counted = 0.0
        self._failed = 0.0
        self._ends += 0.0 if is_planned else END_WEIGHT

    def value(self, *, now: float) -> float:
        """Return the share, 0 to 1; low while there is little evidence."""
        self._fade(now=now)
        return (self._failed + self._ends) / (self._counted + self._ends + DOUBT)

    def _fade(self, *, now: float) -> None:
        kept = math.exp(min(0.0, self._faded_at - now) / FADE_SECONDS)
        self._failed *= kept
        self._counted *= kept
        self._ends *= kept
        self._faded_at = now
