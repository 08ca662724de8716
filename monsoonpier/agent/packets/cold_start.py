"""Limit of new flows for a target that has just started and is still slow.

Each balancer sends its own share of new flows to a cold target at once, and
only the agent sees them all, so the limit is enforced here. It applies to a
sliding window and not to each second of a clock, since callers come in bursts.
"""

from collections import deque

__all__ = ["ColdStartLimit"]

WINDOW_SECONDS = 1.0


class ColdStartLimit:
    """Counts the new flows of the last second against a limit. Does no I/O.

    Attributes:
        per_second: New flows a second that a cold target may get; 0 means no
            limit.
        until: When the target stops being cold.
    """

    def __init__(self) -> None:
        self.per_second = 0.0
        self.until = 0.0
        self._accepted_at: deque[float] = deque()

    def allows(self, *, now: float, pending: int = 0) -> bool:
        """Return whether the target may take one more flow now.

        Args:
            now: The present time.
            pending: Flows that were offered a slot and have not arrived yet.
        """
        if not self.per_second or now >= self.until:
            return True
        while self._accepted_at and now - self._accepted_at[0] > WINDOW_SECONDS:
            self._accepted_at.popleft()
        return len(self._accepted_at) + pending < max(1, int(self.per_second))

    def record(self, *, now: float) -> None:
        """Count a new flow."""
        if self.per_second and now < self.until:
            self._accepted_at.append(now)
