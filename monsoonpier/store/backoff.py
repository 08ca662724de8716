"""Jittered exponential backoff between retries."""

import random
from dataclasses import dataclass, replace

__all__ = ["Backoff"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Backoff:
    """The number of failed attempts, from which the next wait is computed."""

    initial_seconds: float = 0.1
    max_seconds: float = 5.0
    attempts: int = 0

    def wait_seconds(self, *, draw: random.Random) -> float:
        """Return the seconds to wait: a random 50 to 100 % of the current step."""
        step = min(self.max_seconds, self.initial_seconds * 2**self.attempts)
        return step * draw.uniform(0.5, 1.0)

    def after_failure(self) -> "Backoff":
        """Return the backoff with one more failed attempt."""
        # The limit only keeps 2**attempts small.
        return replace(self, attempts=min(self.attempts + 1, 16))

    def after_success(self) -> "Backoff":
        """Return the backoff reset to no failed attempts."""
        return replace(self, attempts=0)
