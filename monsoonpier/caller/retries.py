"""When a request is tried again: never if it may have run and must not twice."""

from dataclasses import dataclass, replace

from monsoonpier.model.outcome import (
    Done,
    FlowLost,
    Late,
    NotRun,
    Outcome,
    Refused,
    Unknown,
)

__all__ = ["Final", "Retry", "RetryBudget", "decide"]

RETRY_SHARE = 0.1  # of recent successes: retries can't multiply an overload
BUDGET_CAP = 10.0
FREE_MOVES = 3  # a leaving target is no overload, so moving on is not charged


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryBudget:
    """How many retries a caller has left; each success adds a share of one."""

    left: float = 3.0
    share: float = RETRY_SHARE

    def after_success(self) -> "RetryBudget":
        """Return the budget with the share of one success added."""
        return replace(self, left=min(BUDGET_CAP, self.left + self.share))

    def after_retry(self) -> "RetryBudget":
        """Return the budget with one retry taken."""
        return replace(self, left=self.left - 1)

    @property
    def allows_retry(self) -> bool:
        """Whether one whole retry is left."""
        return self.left >= 1


@dataclass(frozen=True, slots=True, kw_only=True)
class Retry:
    """Try again on another flow after ``wait`` seconds."""

    wait: float
    is_charged: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Final:
    """Give the outcome to the caller now."""


def decide(
    outcome: Outcome,
    *,
    idempotent: bool,
    budget: RetryBudget,
    moves: int,
    time_left: float,
) -> Retry | Final:
    """Decide what follows an outcome; ``moves`` counts free retries so far."""
    match outcome:
        case NotRun(reopen=True, retry_after=0.0) if moves < FREE_MOVES:
            return Retry(wait=0.0, is_charged=False)
        case NotRun(reopen=True, retry_after=wait) | Refused(retry_after=wait):
            pass
        case FlowLost() | Unknown() if idempotent:
            wait = 0.0
        case Late() if idempotent:
            wait = 0.0
        case Done() | _:
            return Final()
    if not budget.allows_retry or wait >= time_left:
        return Final()
    return Retry(wait=wait, is_charged=True)
