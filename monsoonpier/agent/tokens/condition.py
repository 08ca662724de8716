"""The target's condition as its agent judges it, on ``charts/target.toml``."""

from dataclasses import dataclass, replace

from monsoonpier.agent.tokens.actions import (
    Aborted,
    Answered,
    Broke,
    NeverSent,
    RunResult,
    Shed,
    TimedOut,
)
from monsoonpier.charts import load_chart
from monsoonpier.model.target import Condition

__all__ = ["TargetLife"]

SILENT_RUNS = 3  # runs in a row without an answer: the target is unresponsive
TRY_AGAIN_SECONDS = 2.0  # before the first trial; each that fails doubles it
MAX_TRY_AGAIN_SECONDS = 60.0
MAX_TRIALS = 8
NEVER = float("inf")
EVACUATED = "data centre evacuated"
MIN_RETRY_SECONDS = 0.05
UNDATED_RETRY_SECONDS = 1.0  # the state has no end that is known
_CODES_BY_STATE = {
    "starting": Condition.STARTING,
    "serving": Condition.SERVING,
    "shedding": Condition.SHEDDING,
    "unresponsive": Condition.UNRESPONSIVE,
    "trying": Condition.SERVING,
    "leaving": Condition.LEAVING,
    "gone": Condition.GONE,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetLife:
    """State, evidence and the time at which the state ends by itself.

    ``is_evacuated`` says that an operator wants no new work in this data centre.
    """

    state: str = "starting"
    silent_runs: int = 0
    failed_trials: int = 0
    until: float = NEVER
    serving_since: float | None = None
    is_evacuated: bool = False

    @property
    def code(self) -> Condition:
        """The condition as reports carry it."""
        code = _CODES_BY_STATE[self.state]
        if self.is_evacuated and code is Condition.SERVING:
            return Condition.SHEDDING
        return code

    @property
    def label(self) -> str:
        """The state as callers and logs are told of it."""
        return EVACUATED if self.is_evacuated else self.state

    @property
    def takes_flows(self) -> bool:
        """Whether new flows are accepted."""
        return self._has("takes_flows") and not self.is_evacuated

    @property
    def takes_requests(self) -> bool:
        """Whether new requests on established flows are accepted."""
        return self._has("takes_requests") and not self.is_evacuated

    def _has(self, trait: str) -> bool:
        return load_chart("target").has(self.state, trait)

    @property
    def one_at_a_time(self) -> bool:
        """Whether the target is only being tried out."""
        return self._has("one_at_a_time")

    @property
    def is_leaving(self) -> bool:
        """Whether the target has begun to leave."""
        return self.code >= Condition.LEAVING

    def retry_after(self, *, now: float) -> float:
        """Return seconds after which requests may be taken again."""
        if self.until == NEVER:
            return UNDATED_RETRY_SECONDS
        return max(MIN_RETRY_SECONDS, self.until - now)

    def age_ms(self, *, now: float) -> int:
        """Return the time since the target began to serve."""
        if self.serving_since is None:
            return 0
        return int((now - self.serving_since) * 1000)

    def after_run(
        self, result: RunResult, *, is_fair: bool, now: float
    ) -> "TargetLife":
        """Return the life after a run ended this way.

        ``is_fair`` tells whether the run was given time enough to answer.
        """
        match result:
            case Answered():
                return self.answered(now=now)
            case Shed(retry_after=retry_after):
                return self.shed(retry_after=retry_after, now=now)
            case NeverSent():
                return self.refused(now=now)
            case TimedOut() if not is_fair and not self.one_at_a_time:
                return self
            case TimedOut() | Broke():
                return self.ran_silent(now=now)
            case Aborted():
                return self

    def answered(self, *, now: float) -> "TargetLife":
        """Return the life after a run was answered, which is evidence."""
        after = self._after("answered", now=now)
        return replace(after, silent_runs=0, failed_trials=0)

    def healthy(self, *, now: float) -> "TargetLife":
        """Return the life after a health check passed, which is only a hint."""
        return self._after("healthy", now=now)

    def refused(self, *, now: float) -> "TargetLife":
        """Return the life after a connection was refused."""
        return self._after("refused", now=now)

    def shed(self, *, retry_after: float, now: float) -> "TargetLife":
        """Return the life after a 503 that asks to come back later."""
        return replace(self._after("shed", now=now), until=now + retry_after)

    def ran_silent(self, *, now: float) -> "TargetLife":
        """Return the life after a run that got no answer."""
        after = replace(self, silent_runs=self.silent_runs + 1)
        if after.silent_runs < SILENT_RUNS and not self.one_at_a_time:
            return after
        wait = TRY_AGAIN_SECONDS * 2**after.failed_trials
        return replace(
            after._after("silent", now=now),
            until=now + min(wait, MAX_TRY_AGAIN_SECONDS),
            failed_trials=min(after.failed_trials + 1, MAX_TRIALS),
        )

    def evacuated(self, is_evacuated: bool) -> "TargetLife":
        """Return the life after an order on the data centre, or its taking back."""
        return replace(self, is_evacuated=is_evacuated)

    def leave(self, *, now: float) -> "TargetLife":
        """Return the life after the order to leave."""
        return self._after("leave", now=now)

    def stay(self, *, now: float) -> "TargetLife":
        """Return the life after the order to leave was taken back."""
        return self._after("stay", now=now)

    def finished(self, *, now: float) -> "TargetLife":
        """Return the life after the last work of a leaving target."""
        return self._after("finished", now=now)

    def at(self, *, now: float) -> "TargetLife":
        """Return the life at this time: shedding and silence run out."""
        if now < self.until:
            return self
        over = self._after("shed_over", now=now)._after("try_again", now=now)
        return replace(over, until=NEVER)

    def _after(self, event: str, *, now: float) -> "TargetLife":
        state = load_chart("target").step(self.state, event)
        if state == self.state:
            return self
        since = self.serving_since
        if state in ("starting", "unresponsive"):
            # What comes back from these is cold, and gets little at first.
            since = None
        elif since is None and load_chart("target").has(state, "takes_flows"):
            since = now
        return replace(self, state=state, serving_since=since)
