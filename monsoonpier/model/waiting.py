"""The order in which new flows wait for a slot: by what an answer is still worth.

The load that it answers: more callers than slots, after an outage or in a burst.
The callers of an outage are late whatever is done; served in the order of arrival
they make everybody late who has asked since. So those go first whose answer can
still be in time, the urgent ones before others and the one with the least time left
first among equals. Late ones take what is left, the one that gives up first before
the others, and one slot in a few is theirs in any case.

Replayed on a service that had lost power (`tests/packets/test_recovery.py`).
"""

from bisect import bisect, bisect_left, insort
from collections.abc import Collection
from dataclasses import dataclass
from operator import attrgetter

__all__ = ["LATE_TURN", "MARGIN_RUNS", "RESERVED_AT", "WaitingFlow", "WaitingQueue"]

# One slot in so many goes to the late one that gives up first, so that nobody is
# starved by those in time. Each costs one of those its slot where all are taken.
LATE_TURN = 16
# Agents that a flow that waits reserves a slot at; one of them may end, or be the
# fullest. Balancers and agents must agree on it.
RESERVED_AT = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitingFlow:
    """A flow that waits.

    Attributes:
        flow: Its addresses and ports.
        in_time_until: When an answer stops being in time.
        expires: When its caller is about to give up.
        priority: Of its route; 0 goes first.
        is_doubtful: Its caller may have left; it goes after all others.
    """

    flow: bytes
    in_time_until: float
    expires: float
    priority: int
    is_doubtful: bool = False


# Runs differ: one in two takes longer than the middle one. With a margin of one run
# more those who go first because they are nearest to their aim are still in time: in
# simulated time, a burst of four times the load, 0.821 of the worth against 0.816.
MARGIN_RUNS = 2.0

_by_aim = attrgetter("in_time_until")
_by_end = attrgetter("expires")


class WaitingQueue:
    """The flows that wait for the same slots. Does no I/O."""

    def __init__(self) -> None:
        self._timely_by_priority: dict[int, list[WaitingFlow]] = {}
        self._late: list[WaitingFlow] = []
        self._doubtful: list[WaitingFlow] = []
        self._turn = 0

    def __len__(self) -> int:
        return self.timely + self.late + self.doubtful

    @property
    def _lists(self) -> tuple[list[WaitingFlow], ...]:
        return (self._doubtful, self._late, *self._timely_by_priority.values())

    @property
    def flows(self) -> list[WaitingFlow]:
        """All that wait, in no order."""
        return [waiting for flows in self._lists for waiting in flows]

    @property
    def timely(self) -> int:
        """How many can still be answered in time, as of the last `sort_out`."""
        return sum(map(len, self._timely_by_priority.values()))

    @property
    def certain(self) -> int:
        """How many there are whose callers aren't doubtful."""
        return self.timely + self.late

    @property
    def late(self) -> int:
        """How many others there are."""
        return len(self._late)

    @property
    def doubtful(self) -> int:
        """How many of them have a caller that may have left."""
        return len(self._doubtful)

    def add(self, waiting: WaitingFlow) -> None:
        """Let a flow wait."""
        if waiting.is_doubtful:
            insort(self._doubtful, waiting, key=_by_end)
            return
        timely = self._timely_by_priority.setdefault(waiting.priority, [])
        insort(timely, waiting, key=_by_aim)

    def remove(self, waiting: WaitingFlow) -> None:
        """Let a flow wait no longer."""
        self.remove_all({waiting.flow})

    def find(self, flow: bytes) -> WaitingFlow | None:
        """Return what is known of a flow that waits here."""
        for flows in self._lists:
            for waiting in flows:
                if waiting.flow == flow:
                    return waiting
        return None

    def ahead(self, waiting: WaitingFlow, *, in_time: bool) -> int:
        """Return how many would go before one more; late turns aren't counted."""
        if not in_time:
            return self.timely + bisect(self._late, waiting.expires, key=_by_end)
        return sum(
            bisect(flows, waiting.in_time_until, key=_by_aim)
            if priority == waiting.priority
            else len(flows)
            for priority, flows in self._timely_by_priority.items()
            if priority <= waiting.priority
        )

    def sort_out(self, *, now: float, run_seconds: float) -> None:
        """Count those as late that can't be answered in time any more.

        Args:
            now: The present time.
            run_seconds: From a slot to an answer, at the middle run.
        """
        until = now + MARGIN_RUNS * run_seconds
        for timely in self._timely_by_priority.values():
            count = 0
            while count < len(timely) and timely[count].in_time_until < until:
                insort(self._late, timely[count], key=_by_end)
                count += 1
            del timely[:count]

    def remove_all(self, gone: Collection[bytes]) -> None:
        """Let these flows wait no longer."""
        for flows in self._lists:
            flows[:] = [other for other in flows if other.flow not in gone]

    def needed_late_share(self, *, now: float, seconds_each: float) -> float:
        """Return the share of the slots with which all late ones can be served.

        Args:
            now: The present time.
            seconds_each: How long a slot takes that is given to one of them.
        """
        return max(
            (
                (place + 1) * seconds_each / max(seconds_each, waiting.expires - now)
                for place, waiting in enumerate(self._late)
            ),
            default=0.0,
        )

    @property
    def is_late_turn(self) -> bool:
        """Whether `pop` would return a flow that can't be answered in time."""
        is_turn = (self._turn + 1) % LATE_TURN == 0
        return bool(self._late) and (is_turn or not self.timely)

    def pop(self) -> WaitingFlow:
        """Return the flow whose turn it is, which then no longer waits.

        Raises:
            LookupError: If none waits.
        """
        is_late_turn = self.is_late_turn
        self._turn += 1
        if is_late_turn:
            return self._late.pop(0)
        return self._pop_timely(0) if self.timely else self._doubtful.pop(0)

    def pop_for(self, *, is_late_turn: bool, answered_at: float) -> WaitingFlow:
        """Return the flow that a certain slot is best given to.

        A doubtful one comes last of all. Slots of one service may differ in speed. One
        that would be answered too late by a slow slot is left for a faster one, as
        long as others wait.

        Args:
            is_late_turn: Take a late one, if there is one.
            answered_at: When this slot's answer may be expected.

        Raises:
            LookupError: If none waits.
        """
        if not is_late_turn:
            for _, flows in sorted(self._timely_by_priority.items()):
                first = bisect_left(flows, answered_at, key=_by_aim)
                if first < len(flows):
                    return flows.pop(first)
        if self._late:
            return self._late.pop(0)
        if self.timely:
            return self._pop_timely(-1)
        return self._doubtful.pop(0)

    def _pop_timely(self, place: int) -> WaitingFlow:
        urgent = min(p for p, flows in self._timely_by_priority.items() if flows)
        return self._timely_by_priority[urgent].pop(place)

    @property
    def last(self) -> WaitingFlow | None:
        """The flow that would be served last."""
        if self._doubtful:
            return self._doubtful[-1]
        if self._late:
            return self._late[-1]
        priorities = [p for p, flows in self._timely_by_priority.items() if flows]
        return self._timely_by_priority[max(priorities)][-1] if priorities else None

    def pop_expired(self, *, now: float) -> list[WaitingFlow]:
        """Return those whose callers give up, which then no longer wait."""
        gone: list[WaitingFlow] = []
        for flows in self._lists:
            expired = [waiting for waiting in flows if waiting.expires <= now]
            if expired:
                flows[:] = [waiting for waiting in flows if waiting.expires > now]
                gone += expired
        return gone
