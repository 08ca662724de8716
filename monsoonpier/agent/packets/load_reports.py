"""Which balancers are told of a target's load between their new flows, and when.

The load that it answers: each request takes a slot and gives it back, and each
balancer that places flows would be told of both. At 46 targets and 23 balancers that
were 28 reports a request, seven in ten of all frames. So a balancer is told only what
it doesn't know yet, those that placed last first, and within a budget that grows with
the use of the slots: while most targets are idle, word of one is worth little.
"""

from dataclasses import dataclass

from monsoonpier.agent.packets.actions import ToProcess
from monsoonpier.agent.packets.load import LoadLevel, TargetLoad
from monsoonpier.model.target import Condition
from monsoonpier.process.logs import DecisionLog
from monsoonpier.wire.frames import Load

__all__ = ["LoadReports"]

INTERESTED_SECONDS = 3.0  # balancers that sent SYNs so lately are told of load
# All that may send one are told that requests fail, or that they no longer do.
CONCERNED_SECONDS = 60.0
# Of a target whose slots are all in use: 10 KB/s, what control may take of a VM, for
# reports of 70 bytes. 0.99 of answers in time take 100 at 0.7 of the slots.
MAX_REPORTS_PER_SECOND = 140
MIN_REPORTS_PER_SECOND = 28  # a fifth of it, for what changes at an idle target
MAX_REPORTS_AT_ONCE = 60  # the balancers of a large site hear of a failure at once


@dataclass(frozen=True, slots=True, kw_only=True)
class _Known:
    """What a balancer has been told."""

    level: LoadLevel
    failure_level: int
    condition: Condition

    def is_near(self, other: "_Known") -> bool:
        return (
            self.level.is_near(other.level)
            and self.failure_level == other.failure_level
            and self.condition is other.condition
        )


@dataclass(slots=True, kw_only=True)
class _Receiver:
    placed_at: float
    known: _Known | None = None


class LoadReports:
    """Reports changes of a target's load. Does no I/O."""

    def __init__(self, *, load: TargetLoad, log: DecisionLog) -> None:
        self._load = load
        self._log = log
        self._receivers_by_endpoint: dict[tuple[str, int], _Receiver] = {}
        self._failure_level = 0
        self._last: _Known | None = None
        self._budget = float(MAX_REPORTS_AT_ONCE)
        self._budget_at = 0.0

    def placed_by(self, balancer: tuple[str, int], *, now: float) -> None:
        """Note a balancer that has sent a new flow."""
        receiver = self._receivers_by_endpoint.get(balancer)
        if receiver is None:
            self._receivers_by_endpoint[balancer] = _Receiver(placed_at=now)
        else:
            receiver.placed_at = now

    def told(
        self, balancer: tuple[str, int], *, condition: Condition, now: float
    ) -> None:
        """Note that another frame has just brought a balancer the present load."""
        receiver = self._receivers_by_endpoint.get(balancer)
        if receiver is not None:
            receiver.known = self._present(condition, now=now)

    def due(self, *, condition: Condition, now: float) -> list[ToProcess]:
        """Return reports for the balancers that place flows here, if it changed."""
        present = self._present(condition, now=now)
        self._last = present
        if present.failure_level != self._failure_level:
            self._note_failures(present.failure_level, now=now)
        due = [
            endpoint
            for endpoint, receiver in self._receivers_by_endpoint.items()
            if self._is_due(receiver, present, now=now)
        ]
        due = self._within_budget(due, present, now=now)
        if not due:
            return []
        frame = Load(load=self._load.report(condition=condition, now=now))
        return [ToProcess(endpoint=endpoint, frame=frame) for endpoint in due]

    def forget(self, *, now: float) -> None:
        """Drop balancers that have placed nothing here for long."""
        self._receivers_by_endpoint = {
            endpoint: receiver
            for endpoint, receiver in self._receivers_by_endpoint.items()
            if now - receiver.placed_at < CONCERNED_SECONDS
        }

    def _present(self, condition: Condition, *, now: float) -> _Known:
        present = _Known(
            level=self._load.level,
            failure_level=self._load.failure_level(now=now),
            condition=condition,
        )
        # The same object for the same state: most receivers are told apart by that.
        return self._last if present == self._last else present

    def _is_due(self, receiver: _Receiver, present: _Known, *, now: float) -> bool:
        """Tell whether a balancer knows less than it should."""
        known = receiver.known
        if known is present or (known is not None and known.is_near(present)):
            return False
        age = now - receiver.placed_at
        has_failures_changed = known is None or (
            known.failure_level != present.failure_level
        )
        return age < (CONCERNED_SECONDS if has_failures_changed else INTERESTED_SECONDS)

    def _within_budget(
        self, due: list[tuple[str, int]], present: _Known, *, now: float
    ) -> list[tuple[str, int]]:
        """Return those that are told now; the others are when they still differ."""
        rate = MAX_REPORTS_PER_SECOND * self._load.busy_share(now=now)
        earned = (now - self._budget_at) * max(MIN_REPORTS_PER_SECOND, rate)
        self._budget = min(MAX_REPORTS_AT_ONCE, self._budget + earned)
        self._budget_at = now
        receivers = self._receivers_by_endpoint
        due.sort(key=lambda endpoint: receivers[endpoint].placed_at, reverse=True)
        told = due[: int(self._budget)]
        self._budget -= len(told)
        for endpoint in told:
            receivers[endpoint].known = present
        return told

    def _note_failures(self, level: int, *, now: float) -> None:
        is_worse = level > self._failure_level
        self._failure_level = level
        self._log.note(
            "target fails requests" if is_worse else "target fails fewer requests",
            now=now,
            percent=self._load.failed_percent(now=now),
            busy=self._load.busy,
        )
