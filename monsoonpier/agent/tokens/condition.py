"""The state of a target as its agent sees it; defined in ``charts/target.toml``."""

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

__all__ = ["TargetLifecycle"]

SILENT_RUNS = 3  # consecutive runs without an answer make a target unresponsive
TRY_AGAIN_SECONDS = 2.0  # before the first probe; doubles with each failed probe
MAX_TRY_AGAIN_SECONDS = 60.0
MAX_FAILED_PROBES = 8
NEVER = float("inf")
EVACUATED = "data centre evacuated"
MIN_RETRY_SECONDS = 0.05
UNDATED_RETRY_SECONDS = 1.0  # if the end of the state is unknown
_CONDITIONS_BY_STATE = {
    "starting": Condition.STARTING,
    "serving": Condition.SERVING,
    "shedding": Condition.SHEDDING,
    "unresponsive": Condition.UNRESPONSIVE,
    "trying": Condition.SERVING,
    "leaving": Condition.LEAVING,
    "gone": Condition.GONE,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetLifecycle:
    """The target's state, its failure counts, and when the state expires.

    ``silent_runs`` counts consecutive runs without an answer. ``until`` and
    ``serving_since`` are monotonic times in seconds.
    ``is_evacuated`` is true while an evacuation order for the data centre of
    the target forbids new work.
    """

    state: str = "starting"
    silent_runs: int = 0
    failed_probes: int = 0
    until: float = NEVER
    serving_since: float | None = None
    is_evacuated: bool = False

    @property
    def condition(self) -> Condition:
        """The condition that load reports carry."""
        condition = _CONDITIONS_BY_STATE[self.state]
        if self.is_evacuated and condition is Condition.SERVING:
            return Condition.SHEDDING
        return condition

    @property
    def label(self) -> str:
        """The name of the state in rejections and logs."""
        return EVACUATED if self.is_evacuated else self.state

    @property
    def takes_flows(self) -> bool:
        """Whether new flows are accepted."""
        return self._has_trait("takes_flows") and not self.is_evacuated

    @property
    def takes_requests(self) -> bool:
        """Whether new requests on established flows are accepted."""
        return self._has_trait("takes_requests") and not self.is_evacuated

    def _has_trait(self, trait: str) -> bool:
        return load_chart("target").has(self.state, trait)

    @property
    def one_at_a_time(self) -> bool:
        """Whether only one request at a time may run, as a probe."""
        return self._has_trait("one_at_a_time")

    @property
    def is_leaving(self) -> bool:
        """Whether the target is leaving or gone."""
        return self.condition >= Condition.LEAVING

    def retry_after(self, *, now: float) -> float:
        """Return the seconds after which callers may retry."""
        if self.until == NEVER:
            return UNDATED_RETRY_SECONDS
        return max(MIN_RETRY_SECONDS, self.until - now)

    def age_ms(self, *, now: float) -> int:
        """Return the milliseconds since the target began to serve, or 0."""
        if self.serving_since is None:
            return 0
        return int((now - self.serving_since) * 1000)

    def after_run(
        self, result: RunResult, *, had_enough_time: bool, now: float
    ) -> "TargetLifecycle":
        """Return the state after a run ended with this result.

        A timeout counts against the target only if ``had_enough_time``.
        """
        match result:
            case Answered():
                return self.answered(now=now)
            case Shed(retry_after=retry_after):
                return self.shed(retry_after=retry_after, now=now)
            case NeverSent():
                return self.refused(now=now)
            case TimedOut() if not had_enough_time and not self.one_at_a_time:
                return self
            case TimedOut() | Broke():
                return self.unanswered(now=now)
            case Aborted():
                return self

    def answered(self, *, now: float) -> "TargetLifecycle":
        """Return the state after a run was answered; resets the failure counts."""
        after = self._step("answered", now=now)
        return replace(after, silent_runs=0, failed_probes=0)

    def healthy(self, *, now: float) -> "TargetLifecycle":
        """Return the state after a health check passed.

        A health check doesn't end the unresponsive state.
        """
        return self._step("healthy", now=now)

    def refused(self, *, now: float) -> "TargetLifecycle":
        """Return the state after no connection to the target could be made."""
        return self._step("refused", now=now)

    def shed(self, *, retry_after: float, now: float) -> "TargetLifecycle":
        """Return the state after a 503 answer: shedding for ``retry_after`` seconds."""
        return replace(self._step("shed", now=now), until=now + retry_after)

    def unanswered(self, *, now: float) -> "TargetLifecycle":
        """Return the state after a run ended without an answer.

        A failed probe, or several such runs in a row, make the target
        unresponsive.
        """
        after = replace(self, silent_runs=self.silent_runs + 1)
        if after.silent_runs < SILENT_RUNS and not self.one_at_a_time:
            return after
        wait = TRY_AGAIN_SECONDS * 2**after.failed_probes
        return replace(
            after._step("silent", now=now),
            until=now + min(wait, MAX_TRY_AGAIN_SECONDS),
            failed_probes=min(after.failed_probes + 1, MAX_FAILED_PROBES),
        )

    def with_evacuation(self, is_evacuated: bool) -> "TargetLifecycle":
        """Return the state with an evacuation order in force, or revoked."""
        return replace(self, is_evacuated=is_evacuated)

    def leave(self, *, now: float) -> "TargetLifecycle":
        """Return the state after draining started."""
        return self._step("leave", now=now)

    def stay(self, *, now: float) -> "TargetLifecycle":
        """Return the state after draining was revoked."""
        return self._step("stay", now=now)

    def finished(self, *, now: float) -> "TargetLifecycle":
        """Return the state after a draining target finished its last work."""
        return self._step("finished", now=now)

    def advance(self, *, now: float) -> "TargetLifecycle":
        """Return the state at ``now``; expired shedding and unresponsive states end."""
        if now < self.until:
            return self
        advanced = self._step("shed_over", now=now)._step("try_again", now=now)
        return replace(advanced, until=NEVER)

    def _step(self, event: str, *, now: float) -> "TargetLifecycle":
        state = load_chart("target").step(self.state, event)
        if state == self.state:
            return self
        since = self.serving_since
        if state in ("starting", "unresponsive"):
            # A target that comes back from these states counts as cold.
            since = None
        elif since is None and load_chart("target").has(state, "takes_flows"):
            since = now
        return replace(self, state=state, serving_since=since)
