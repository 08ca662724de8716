"""Jittered exponential backoff between retries."""

import random
from dataclasses import dataclass, replace

__all__ = ["Backoff"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Backoff:
    """How often was tried, and how long to wait before the next retry."""

    first_seconds: float = 0.1
    most_seconds: float = 5.0
    tries: int = 0

    def wait_seconds(self, *, draw: random.Random) -> float:
        """Return a wait between half and the whole of this step."""
        step = min(self.most_seconds, self.first_seconds * 2**self.tries)
        return step * draw.uniform(0.5, 1.0)

    def after_failure(self) -> "Backoff":
        """Return the backoff with one more failed try."""
        return replace(self, tries=min(self.tries + 1, 16))

    def after_success(self) -> "Backoff":
        """Return the backoff as it was at first."""
        return replace(self, tries=0)
