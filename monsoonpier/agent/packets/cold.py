"""How many new flows a cold target takes, whoever sends them.

The load that it answers: a whole data centre comes back cold at the worst of load, and
each balancer sends it its own share at once. Only the agent sees all that goes to its
target, so the limit is kept here: any span of a second counts, not each second of a
clock, since callers come in bursts.
"""

from collections import deque

__all__ = ["ColdLimit"]

SPAN_SECONDS = 1.0


class ColdLimit:
    """New flows of the last second, against what operators allow. Does no I/O.

    Attributes:
        per_second: What a cold target bears, by the configuration; 0 is no limit.
        until: Until when the target is cold.
    """

    def __init__(self) -> None:
        self.per_second = 0.0
        self.until = 0.0
        self._taken: deque[float] = deque()

    def allows(self, *, now: float, promised: int = 0) -> bool:
        """Tell whether the target may take one flow more now.

        Args:
            now: The present time.
            promised: Flows that will come, besides those that were taken.
        """
        if not self.per_second or now >= self.until:
            return True
        while self._taken and now - self._taken[0] > SPAN_SECONDS:
            self._taken.popleft()
        return len(self._taken) + promised < max(1, int(self.per_second))

    def took(self, *, now: float) -> None:
        """Count a new flow."""
        if self.per_second and now < self.until:
            self._taken.append(now)
