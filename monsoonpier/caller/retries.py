"""Retry decisions: a request that may have run is retried only if idempotent."""

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

__all__ = ["Final", "Retry", "RetryBudget", "decide_retry"]

RETRY_SHARE = 0.1  # retries added per success, to bound retries under overload
BUDGET_CAP = 10.0  # retries
MAX_FREE_RETRIES = 3  # outside the budget, for rejections by a draining target


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryBudget:
    """The number of retries left; each success adds ``share`` retries."""

    left: float = 3.0
    share: float = RETRY_SHARE

    def after_success(self) -> "RetryBudget":
        """Return the budget after a successful request."""
        return replace(self, left=min(BUDGET_CAP, self.left + self.share))

    def after_retry(self) -> "RetryBudget":
        """Return the budget after one retry."""
        return replace(self, left=self.left - 1)

    @property
    def allows_retry(self) -> bool:
        """Whether at least one retry is left."""
        return self.left >= 1


@dataclass(frozen=True, slots=True, kw_only=True)
class Retry:
    """Retry on another flow after ``wait`` seconds.

    ``uses_budget`` is true if the retry counts against the budget.
    """

    wait: float
    uses_budget: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Final:
    """Return the outcome to the caller; don't retry."""


def decide_retry(
    outcome: Outcome,
    *,
    idempotent: bool,
    budget: RetryBudget,
    free_retries: int,
    time_left: float,
) -> Retry | Final:
    """Decide whether to retry a request after this outcome.

    Args:
        outcome: The outcome of the last attempt.
        idempotent: Whether the request may safely run more than once.
        budget: The retries left.
        free_retries: The retries so far that didn't use the budget.
        time_left: Seconds until the deadline.
    """
    match outcome:
        case NotRun(reopen=True, retry_after=0.0) if free_retries < MAX_FREE_RETRIES:
            return Retry(wait=0.0, uses_budget=False)
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
    return Retry(wait=wait, uses_budget=True)
