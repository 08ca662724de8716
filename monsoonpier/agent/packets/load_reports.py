"""Decides which balancers receive a load report, and when.

Every request takes a slot and frees it, so reporting each change to each
balancer would be most of the control traffic. A balancer receives a report
only if the load differs from the last one reported to it. Reports go to the
balancers with the most recent SYNs first, within a budget that grows with the
use of the slots, since a target's load matters little while most targets are
idle.
"""

from dataclasses import dataclass

from monsoonpier.agent.packets.actions import ToProcess
from monsoonpier.agent.packets.load import LoadLevel, TargetLoad
from monsoonpier.model.target import Condition
from monsoonpier.process.logs import DecisionLog
from monsoonpier.wire.frames import LoadUpdate

__all__ = ["LoadReports"]

# For how long after its last SYN a balancer receives reports of changed load,
# and of a changed failure rate, which all balancers that may send a SYN need.
LOAD_REPORT_SECONDS = 3.0
FAILURE_REPORT_SECONDS = 60.0
# While all slots are in use: 10 KB/s, the control budget of a VM, at 70 bytes each.
MAX_REPORTS_PER_SECOND = 140
MIN_REPORTS_PER_SECOND = 28  # while the target is idle: a fifth of it
MAX_REPORTS_AT_ONCE = 60  # all balancers of a large site learn of a failure at once


@dataclass(frozen=True, slots=True, kw_only=True)
class _ReportedState:
    """The state that was last reported to a balancer."""

    level: LoadLevel
    failure_level: int
    condition: Condition

    def is_near(self, other: "_ReportedState") -> bool:
        return (
            self.level.is_near(other.level)
            and self.failure_level == other.failure_level
            and self.condition is other.condition
        )


@dataclass(slots=True, kw_only=True)
class _Receiver:
    """A balancer that receives load reports."""

    last_placed_at: float
    last_reported: _ReportedState | None = None


class LoadReports:
    """Reports changes of a target's load to balancers. Does no I/O."""

    def __init__(self, *, load: TargetLoad, log: DecisionLog) -> None:
        self._load = load
        self._log = log
        self._receivers_by_endpoint: dict[tuple[str, int], _Receiver] = {}
        self._failure_level = 0
        self._last_state: _ReportedState | None = None
        self._budget = float(MAX_REPORTS_AT_ONCE)
        self._budget_at = 0.0

    def record_placement(self, balancer: tuple[str, int], *, now: float) -> None:
        """Record that a balancer has sent a new flow."""
        receiver = self._receivers_by_endpoint.get(balancer)
        if receiver is None:
            self._receivers_by_endpoint[balancer] = _Receiver(last_placed_at=now)
        else:
            receiver.last_placed_at = now

    def mark_reported(
        self, balancer: tuple[str, int], *, condition: Condition, now: float
    ) -> None:
        """Record that another frame has reported the present load to a balancer."""
        receiver = self._receivers_by_endpoint.get(balancer)
        if receiver is not None:
            receiver.last_reported = self._present(condition, now=now)

    def pop_due(self, *, condition: Condition, now: float) -> list[ToProcess]:
        """Return the reports to send now, and record them as sent."""
        present = self._present(condition, now=now)
        self._last_state = present
        if present.failure_level != self._failure_level:
            self._log_failure_change(present.failure_level, now=now)
        due = [
            endpoint
            for endpoint, receiver in self._receivers_by_endpoint.items()
            if self._is_due(receiver, present, now=now)
        ]
        due = self._within_budget(due, present, now=now)
        if not due:
            return []
        frame = LoadUpdate(load=self._load.report(condition=condition, now=now))
        return [ToProcess(endpoint=endpoint, frame=frame) for endpoint in due]

    def remove_idle(self, *, now: float) -> None:
        """Remove balancers that have sent no new flow for `FAILURE_REPORT_SECONDS`."""
        self._receivers_by_endpoint = {
            endpoint: receiver
            for endpoint, receiver in self._receivers_by_endpoint.items()
            if now - receiver.last_placed_at < FAILURE_REPORT_SECONDS
        }

    def _present(self, condition: Condition, *, now: float) -> _ReportedState:
        """Return the present state."""
        present = _ReportedState(
            level=self._load.level,
            failure_level=self._load.failure_level(now=now),
            condition=condition,
        )
        # Returns the same object for the same state, so that `_is_due` can
        # compare most receivers by identity.
        return self._last_state if present == self._last_state else present

    def _is_due(
        self, receiver: _Receiver, present: _ReportedState, *, now: float
    ) -> bool:
        """Return whether the present state must be reported to a balancer."""
        reported = receiver.last_reported
        if reported is present or (reported is not None and reported.is_near(present)):
            return False
        age = now - receiver.last_placed_at
        has_failures_changed = reported is None or (
            reported.failure_level != present.failure_level
        )
        return age < (
            FAILURE_REPORT_SECONDS if has_failures_changed else LOAD_REPORT_SECONDS
        )

    def _within_budget(
        self, due: list[tuple[str, int]], present: _ReportedState, *, now: float
    ) -> list[tuple[str, int]]:
        """Return the balancers that the budget allows to notify; the rest stay due."""
        rate = MAX_REPORTS_PER_SECOND * self._load.busy_share(now=now)
        earned = (now - self._budget_at) * max(MIN_REPORTS_PER_SECOND, rate)
        self._budget = min(MAX_REPORTS_AT_ONCE, self._budget + earned)
        self._budget_at = now
        receivers = self._receivers_by_endpoint
        due.sort(key=lambda endpoint: receivers[endpoint].last_placed_at, reverse=True)
        notified = due[: int(self._budget)]
        self._budget -= len(notified)
        for endpoint in notified:
            receivers[endpoint].last_reported = present
        return notified

    def _log_failure_change(self, level: int, *, now: float) -> None:
        """Log that the failure rate has risen or fallen."""
        is_worse = level > self._failure_level
        self._failure_level = level
        self._log.note(
            "target's failure rate rose" if is_worse else "target's failure rate fell",
            now=now,
            percent=self._load.failed_percent(now=now),
            busy=self._load.busy,
        )
