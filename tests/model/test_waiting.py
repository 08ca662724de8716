"""Tests of the order in which new flows wait for a slot."""

import unittest

from monsoonpier.model.waiting import (
    LATE_TURN_INTERVAL,
    MARGIN_RUNS,
    WaitingFlow,
    WaitingQueue,
)

RUN_SECONDS = 0.1
MARGIN = MARGIN_RUNS * RUN_SECONDS


def waiting(name: str, *, aim: float, end: float = 9.0, priority: int = 1):
    return WaitingFlow(
        flow=name.encode(), in_time_until=aim, expires=end, priority=priority
    )


class WaitingQueueTests(unittest.TestCase):
    """Which flow goes first, and that none starves."""

    def setUp(self) -> None:
        self.queue = WaitingQueue()

    def add(self, *flows: WaitingFlow, now: float = 0.0) -> None:
        for flow in flows:
            self.queue.add(flow)
        self.queue.sort_out(now=now, run_seconds=RUN_SECONDS)

    def order(self) -> list[str]:
        return [self.queue.pop().flow.decode() for _ in range(len(self.queue))]

    def test_in_time_before_late(self) -> None:
        """Flows that can be answered in time go before late ones."""
        self.add(waiting("late", aim=MARGIN / 2), waiting("timely", aim=1.0))
        self.assertEqual(self.order(), ["timely", "late"])

    def test_least_time_left_first(self) -> None:
        """Among flows in time, the one with the least time left goes first."""
        self.add(waiting("b", aim=2.0), waiting("a", aim=1.0), waiting("c", aim=3.0))
        self.assertEqual(self.order(), ["a", "b", "c"])

    def test_urgent_first(self) -> None:
        """An urgent flow goes before others if it is in time, but not if late."""
        self.add(
            waiting("usual", aim=1.0, priority=2),
            waiting("urgent", aim=2.0, priority=1),
            waiting("late", aim=0.0, priority=0),
        )
        self.assertEqual(self.order(), ["urgent", "usual", "late"])

    def test_late_by_expiry(self) -> None:
        """Late flows go by the time at which their callers give up."""
        self.add(
            waiting("a", aim=0.0, end=3.0),
            waiting("b", aim=0.0, end=1.0),
            waiting("c", aim=0.0, end=2.0),
        )
        self.assertEqual(self.order(), ["b", "c", "a"])

    def test_becomes_late(self) -> None:
        """A flow that becomes late goes after those in time."""
        self.add(waiting("old", aim=1.0))
        self.add(waiting("new", aim=2.0), now=1.0)
        self.assertEqual((self.queue.timely, self.queue.late), (1, 1))
        self.assertEqual(self.order(), ["new", "old"])

    def test_nobody_starves(self) -> None:
        """One slot in `LATE_TURN_INTERVAL` is for a late flow, if others wait."""
        self.add(waiting("late", aim=0.0))
        self.add(*(waiting(f"t{n}", aim=1.0 + n) for n in range(50)))
        self.assertEqual(self.order().index("late"), LATE_TURN_INTERVAL - 1)

    def test_expired(self) -> None:
        """Flows whose callers give up leave the queue."""
        self.add(
            waiting("a", aim=0.0, end=1.0),
            waiting("b", aim=5.0, end=1.0),
            waiting("c", aim=5.0, end=2.0),
        )
        gone = self.queue.pop_expired(now=1.0)
        self.assertEqual({w.flow for w in gone}, {b"a", b"b"})
        self.assertEqual(self.order(), ["c"])

    def test_last(self) -> None:
        """The last flow is the late one that expires last, if there is one."""
        self.assertIsNone(self.queue.last)
        self.add(waiting("usual", aim=2.0, priority=2), waiting("urgent", aim=3.0))
        self.assertEqual(self.queue.last.flow, b"usual")
        self.add(waiting("late", aim=0.0))
        self.assertEqual(self.queue.last.flow, b"late")
