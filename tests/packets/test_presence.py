"""Detection of abandoned flows by missing SYN retransmissions."""

import unittest

from monsoonpier.balancer.packets.presence import MARGIN_SECONDS, CallerPresence
from monsoonpier.model.waiting import WaitingFlow, WaitingQueue

FLOW = b"flow"
FIRST = 0.21 + MARGIN_SECONDS
SECOND = 0.61 + MARGIN_SECONDS


class PresenceTests(unittest.TestCase):
    """A caller that should retransmit its SYN at 0.2 s and at 0.6 s."""

    def setUp(self) -> None:
        self.presence = CallerPresence()
        self.presence.track(FLOW, first_syn_at=0.0, latest_syn_offset=0.0, now=0.0)

    def test_retransmission_on_time(self) -> None:
        """A caller that retransmits on time is present."""
        self.presence.note_retransmission(FLOW, waited=0.2)
        self.assertEqual(self.presence.pop_abandoned(now=FIRST), [])

    def test_retransmission_lost(self) -> None:
        """A flow is presumed abandoned from a lost retransmission to the next."""
        self.assertEqual(self.presence.pop_abandoned(now=FIRST), [FLOW])
        self.assertTrue(self.presence.note_retransmission(FLOW, waited=0.6))
        self.assertFalse(self.presence.is_presumed_abandoned(FLOW))
        self.assertEqual(self.presence.pop_abandoned(now=SECOND), [])

    def test_retransmission_before_queueing(self) -> None:
        """A retransmission received before the flow was queued counts."""
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

    def test_abandoned_flows_go_last(self) -> None:
        """Flows presumed abandoned go last, even after late ones."""
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
