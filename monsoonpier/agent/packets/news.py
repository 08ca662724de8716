"""Which balancers are told of a target's load between their new flows, and when.

The load that it answers: not each request is reported. At two reports a request, 46
agents took a third of a small entry VM's link (5 Mbit/s).
"""

from monsoonpier.agent.packets.actions import ToProcess
from monsoonpier.agent.packets.load import TargetLoad
from monsoonpier.model.target import Condition
from monsoonpier.process.logs import DecisionLog
from monsoonpier.wire.frames import Load

__all__ = ["LoadNews"]

INTERESTED_SECONDS = 3.0  # balancers that sent SYNs so lately are told of load
# All that may send one are told that requests fail, or that they no longer do.
CONCERNED_SECONDS = 60.0


class LoadNews:
    """Reports changes of a target's load. Does no I/O."""

    def __init__(self, *, load: TargetLoad, log: DecisionLog) -> None:
        self._load = load
        self._log = log
        self._seen_by_balancer: dict[tuple[str, int], float] = {}
        self._load_level: tuple | None = None
        self._failure_level = 0

    def placed_by(self, balancer: tuple[str, int], *, now: float) -> None:
        """Note a balancer that has sent a new flow."""
        self._seen_by_balancer[balancer] = now

    def due(self, *, condition: Condition, now: float) -> list[ToProcess]:
        """Return reports for the balancers that place flows here, if it changed."""
        load_level = (self._load.level, condition)
        failure_level = self._load.failure_level(now=now)
        has_failures_changed = failure_level != self._failure_level
        if load_level == self._load_level and not has_failures_changed:
            return []
        if has_failures_changed:
            self._note_failures(failure_level, now=now)
        self._load_level = load_level
        self._failure_level = failure_level
        within = CONCERNED_SECONDS if has_failures_changed else INTERESTED_SECONDS
        frame = Load(load=self._load.report(condition=condition, now=now))
        return [
            ToProcess(endpoint=endpoint, frame=frame)
            for endpoint, seen_at in self._seen_by_balancer.items()
            if now - seen_at < within
        ]

    def _note_failures(self, level: int, *, now: float) -> None:
        is_worse = level > self._failure_level
        self._log.note(
            "target fails requests" if is_worse else "target fails fewer requests",
            now=now,
            percent=self._load.failed_percent(now=now),
            busy=self._load.busy,
        )
