"""Whether callers of waiting flows are there: copies that came, came late or not."""

import unittest

from monsoonpier.balancer.packets.presence import MARGIN_SECONDS, CallerPresence
from monsoonpier.model.waiting import WaitingFlow, WaitingQueue

FLOW = b"flow"
FIRST = 0.21 + MARGIN_SECONDS
SECOND = 0.61 + MARGIN_SECONDS


class PresenceTests(unittest.TestCase):
    """A caller that sends its SYN again at 0.2 s and at 0.6 s, or doesn't."""

    def setUp(self) -> None:
        self.presence = CallerPresence()
        self.presence.track(FLOW, first_syn_at=0.0, latest_syn_offset=0.0, now=0.0)

    def test_copy_came(self) -> None:
        """A caller that sends its copies is there."""
        self.presence.note_retransmission(FLOW, waited=0.2)
        self.assertEqual(self.presence.pop_abandoned(now=FIRST), [])

    def test_copy_lost(self) -> None:
        """One lost copy makes it doubtful until the next one comes."""
        self.assertEqual(self.presence.pop_abandoned(now=FIRST), [FLOW])
        self.assertTrue(self.presence.note_retransmission(FLOW, waited=0.6))
        self.assertFalse(self.presence.is_presumed_abandoned(FLOW))
        self.assertEqual(self.presence.pop_abandoned(now=SECOND), [])

    def test_waits_again(self) -> None:
        """What came while a target was asked counts."""
        self.presence.forget(FLOW)
        self.assertFalse(
            self.presence.track(
                FLOW, first_syn_at=0.0, latest_syn_offset=0.2, now=FIRST
            )
        )
        self.assertTrue(
            self.presence.track(
                FLOW, first_syn_at=0.0, latest_syn_offset=0.2, now=SECOND
            )
        )

    def test_doubtful_ones_go_last(self) -> None:
        """After those that are late, and still when nobody else waits."""
        queue = WaitingQueue()
        for flow, aim, is_doubtful in ((b"1", 9.0, True), (b"2", 0.0, False)):
            waiting = WaitingFlow(
                flow=flow,
                in_time_until=aim,
                expires=9.0,
                priority=0,
                is_doubtful=is_doubtful,
            )
            queue.add(waiting)
        queue.sort_out(now=1.0, run_seconds=0.05)
        self.assertEqual([queue.pop().flow, queue.pop().flow], [b"2", b"1"])
