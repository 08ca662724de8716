"""The order in which new flows wait for a slot.

A flow is in time while it can still be answered within its latency target, and
late afterwards. Under overload, as after an outage, serving flows in order of
arrival would let late flows make all others late too. Therefore flows in time
go first, by priority and then by the time left. Late flows get the remaining
slots, in the order in which their callers give up, and at least a fixed share
of all slots.
"""

from bisect import bisect, bisect_left, insort
from collections.abc import Collection
from dataclasses import dataclass
from operator import attrgetter

__all__ = [
    "LATE_TURN_INTERVAL",
    "MARGIN_RUNS",
    "RESERVATIONS_PER_FLOW",
    "WaitingFlow",
    "WaitingQueue",
]

LATE_TURN_INTERVAL = 16  # one slot in so many goes to a late flow, so that none starves
# The number of agents at which a waiting flow reserves a slot; more than one,
# since an agent may end. Balancers and agents must use the same value.
RESERVATIONS_PER_FLOW = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitingFlow:
    """A new flow that waits for a slot, with the times that decide its order.

    Attributes:
        flow: The flow's addresses and ports, in bytes.
        in_time_until: The time by which an answer meets the latency target.
        expires: When the caller is about to give up.
        priority: The priority of the route; 0 goes first.
        is_doubtful: Whether the flow is presumed abandoned by its caller. Such
            flows go after all others.
    """

    flow: bytes
    in_time_until: float
    expires: float
    priority: int
    is_doubtful: bool = False


# A flow counts as late when less than this many service times are left. The
# margin is above 1 since half of the runs take longer than the median.
MARGIN_RUNS = 2.0

_by_latency_target = attrgetter("in_time_until")
_by_expiry = attrgetter("expires")


class WaitingQueue:
    """The flows that wait for the same slots. Does no I/O."""

    def __init__(self) -> None:
        self._timely_by_priority: dict[int, list[WaitingFlow]] = {}
        self._late: list[WaitingFlow] = []
        self._abandoned: list[WaitingFlow] = []
        self._turn = 0

    def __len__(self) -> int:
        return self.timely + self.late + self.doubtful

    @property
    def _lists(self) -> tuple[list[WaitingFlow], ...]:
        """All lists of waiting flows: presumed abandoned, late and timely ones."""
        return (self._abandoned, self._late, *self._timely_by_priority.values())

    @property
    def flows(self) -> list[WaitingFlow]:
        """All waiting flows, in no order."""
        return [waiting for flows in self._lists for waiting in flows]

    @property
    def timely(self) -> int:
        """The number of flows in time, as of the last `sort_out`."""
        return sum(map(len, self._timely_by_priority.values()))

    @property
    def certain(self) -> int:
        """The number of flows that are not presumed abandoned."""
        return self.timely + self.late

    @property
    def late(self) -> int:
        """The number of late flows, as of the last `sort_out`."""
        return len(self._late)

    @property
    def doubtful(self) -> int:
        """The number of flows that are presumed abandoned by their callers."""
        return len(self._abandoned)

    def add(self, waiting: WaitingFlow) -> None:
        """Add a flow."""
        if waiting.is_doubtful:
            insort(self._abandoned, waiting, key=_by_expiry)
            return
        timely = self._timely_by_priority.setdefault(waiting.priority, [])
        insort(timely, waiting, key=_by_latency_target)

    def remove(self, waiting: WaitingFlow) -> None:
        """Remove a flow."""
        self.remove_all({waiting.flow})

    def find(self, flow: bytes) -> WaitingFlow | None:
        """Return the waiting flow with this id, if there is one."""
        for flows in self._lists:
            for waiting in flows:
                if waiting.flow == flow:
                    return waiting
        return None

    def ahead(self, waiting: WaitingFlow, *, in_time: bool) -> int:
        """Return how many flows would go before this one if it were added.

        Slots that `pop` gives to late flows out of turn are not considered.
        """
        if not in_time:
            return self.timely + bisect(self._late, waiting.expires, key=_by_expiry)
        return sum(
            bisect(flows, waiting.in_time_until, key=_by_latency_target)
            if priority == waiting.priority
            else len(flows)
            for priority, flows in self._timely_by_priority.items()
            if priority <= waiting.priority
        )

    def sort_out(self, *, now: float, run_seconds: float) -> None:
        """Move flows that are no longer in time to the late ones.

        Args:
            now: The present time.
            run_seconds: The service time of a run.
        """
        until = now + MARGIN_RUNS * run_seconds
        for timely in self._timely_by_priority.values():
            count = 0
            while count < len(timely) and timely[count].in_time_until < until:
                insort(self._late, timely[count], key=_by_expiry)
                count += 1
            del timely[:count]

    def remove_all(self, gone: Collection[bytes]) -> None:
        """Remove several flows."""
        for flows in self._lists:
            flows[:] = [other for other in flows if other.flow not in gone]

    def needed_late_share(self, *, now: float, seconds_each: float) -> float:
        """Return the share of slots needed to serve all late flows before they expire.

        Args:
            now: The present time.
            seconds_each: The mean time between slots that come free for the
                flows of this queue.
        """
        return max(
            (
                (index + 1) * seconds_each / max(seconds_each, waiting.expires - now)
                for index, waiting in enumerate(self._late)
            ),
            default=0.0,
        )

    @property
    def is_late_turn(self) -> bool:
        """Whether `pop` would return a late flow now."""
        is_turn = (self._turn + 1) % LATE_TURN_INTERVAL == 0
        return bool(self._late) and (is_turn or not self.timely)

    def pop(self) -> WaitingFlow:
        """Remove and return the next flow.

        Raises:
            LookupError: If none waits.
        """
        is_late_turn = self.is_late_turn
        self._turn += 1
        if is_late_turn:
            return self._late.pop(0)
        return self._pop_timely(0) if self.timely else self._abandoned.pop(0)

    def pop_for(self, *, is_late_turn: bool, answered_at: float) -> WaitingFlow:
        """Remove and return the flow that fits a particular slot best.

        Slots of a service differ in speed. A flow that this slot would answer
        too late is left for a faster slot while other flows wait. Flows
        presumed abandoned come last.

        Args:
            is_late_turn: Whether to prefer a late flow.
            answered_at: The time at which this slot's answer is expected.

        Raises:
            LookupError: If none waits.
        """
        if not is_late_turn:
            for _, flows in sorted(self._timely_by_priority.items()):
                first = bisect_left(flows, answered_at, key=_by_latency_target)
                if first < len(flows):
                    return flows.pop(first)
        if self._late:
            return self._late.pop(0)
        if self.timely:
            return self._pop_timely(-1)
        return self._abandoned.pop(0)

    def _pop_timely(self, index: int) -> WaitingFlow:
        urgent = min(p for p, flows in self._timely_by_priority.items() if flows)
        return self._timely_by_priority[urgent].pop(index)

    @property
    def last(self) -> WaitingFlow | None:
        """The flow that would be served last."""
        if self._abandoned:
            return self._abandoned[-1]
        if self._late:
            return self._late[-1]
        priorities = [p for p, flows in self._timely_by_priority.items() if flows]
        return self._timely_by_priority[max(priorities)][-1] if priorities else None

    def pop_expired(self, *, now: float) -> list[WaitingFlow]:
        """Remove and return the flows whose callers are about to give up."""
        gone: list[WaitingFlow] = []
        for flows in self._lists:
            expired = [waiting for waiting in flows if waiting.expires <= now]
            if expired:
                flows[:] = [waiting for waiting in flows if waiting.expires > now]
                gone += expired
        return gone
