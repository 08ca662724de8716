"""The order in which new flows wait for a slot: by what an answer is still worth.

The load that it answers: more callers than slots, after an outage or in a burst.
The callers of an outage are late whatever is done; served in the order of arrival
they make everybody late who has asked since. So those go first whose answer can
still be in time, the urgent ones before others and the one with the least time left
first among equals. Late ones take what is left, the one that gives up first before
the others, and one slot in a few is theirs in any case.

Replayed on a service that had lost power (`tests/packets/test_recovery.py`).
"""

from bisect import bisect, insort
from dataclasses import dataclass
from operator import attrgetter

__all__ = ["MARGIN_RUNS", "WaitingFlow", "WaitingQueue"]

# One slot in so many goes to the late one that gives up first, so that nobody is
# starved by those in time. At the worst that costs them an eighth of the slots; in
# simulated time one in 4 and one in 16 were worth the same within the noise.
LATE_TURN = 8


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitingFlow:
    """A flow that waits.

    Attributes:
        flow: Its addresses and ports.
        in_time_until: When an answer stops being in time.
        expires: When its caller is about to give up.
        priority: Of its route; 0 goes first.
    """

    flow: bytes
    in_time_until: float
    expires: float
    priority: int


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
        self._turn = 0

    def __len__(self) -> int:
        return self.timely + self.late

    @property
    def _lists(self) -> tuple[list[WaitingFlow], ...]:
        return (self._late, *self._timely_by_priority.values())

    @property
    def timely(self) -> int:
        """How many can still be answered in time, as of the last `sort_out`."""
        return sum(map(len, self._timely_by_priority.values()))

    @property
    def late(self) -> int:
        """How many others there are."""
        return len(self._late)

    def add(self, waiting: WaitingFlow) -> None:
        """Let a flow wait."""
        timely = self._timely_by_priority.setdefault(waiting.priority, [])
        insort(timely, waiting, key=_by_aim)

    def remove(self, waiting: WaitingFlow) -> None:
        """Let a flow wait no longer."""
        for flows in self._lists:
            flows[:] = [other for other in flows if other.flow != waiting.flow]

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

    def pop(self) -> WaitingFlow:
        """Return the flow whose turn it is, which then no longer waits.

        Raises:
            LookupError: If none waits.
        """
        self._turn += 1
        is_late_turn = self._turn % LATE_TURN == 0
        if self._late and (is_late_turn or not self.timely):
            return self._late.pop(0)
        urgent = min(p for p, flows in self._timely_by_priority.items() if flows)
        return self._timely_by_priority[urgent].pop(0)

    @property
    def last(self) -> WaitingFlow | None:
        """The flow that would be served last."""
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
