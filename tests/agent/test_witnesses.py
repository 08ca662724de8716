"""Which balancers an agent heartbeats to."""

import unittest

from monsoonpier.agent.witnesses import MISSED_LIMIT, WITNESSES, Witnesses
from monsoonpier.wire.frames import HeartbeatAck
from tests.rig import balancer


class WitnessTests(unittest.TestCase):
    """A few, however many balancers there are; dead ones are replaced."""

    def _known(self, count: int, target: str = "maps-1") -> Witnesses:
        witnesses = Witnesses(target=target)
        for number in range(1, count + 1):
            witnesses.learn(balancer(f"b{number}", host=number).peers.own)
        return witnesses

    def _ack(self, witnesses: Witnesses, name: str, **more) -> None:
        fields = {"balancer": name, "version": 1, "known": True, "allowed": True}
        witnesses.acknowledged(HeartbeatAck(**fields | more), now=1.0)

    def test_bounded(self):
        """The number of heartbeats doesn't grow with the balancers."""
        for count in (1, 2, 3, 10, 60):
            chosen = self._known(count).chosen(now=1.0)
            self.assertEqual(len(chosen), min(WITNESSES, count))

    def test_spread(self):
        """Different targets have different witnesses."""
        chosen = {
            tuple(r.name for r in self._known(30, f"maps-{n}").chosen(now=1.0))
            for n in range(20)
        }
        self.assertGreater(len(chosen), 15)

    def test_silent_witness_is_replaced(self):
        """A balancer that misses several heartbeats gives way to another."""
        witnesses = self._known(5)
        first = witnesses.chosen(now=1.0)[0].name
        for _ in range(MISSED_LIMIT):
            witnesses.beat(first, now=1.0)
        self.assertIn(first, [r.name for r in witnesses.chosen(now=1.0)])
        witnesses.beat(first, now=1.0)
        self.assertNotIn(first, [r.name for r in witnesses.chosen(now=1.0)])
        self.assertEqual(len(witnesses.chosen(now=1.0)), WITNESSES)

    def test_announced_until_known(self):
        """The whole record is sent until it is known, and again when it isn't."""
        witnesses = self._known(1)
        self.assertTrue(witnesses.beat("b1", now=1.0))
        self._ack(witnesses, "b1")
        self.assertFalse(witnesses.beat("b1", now=1.0))
        self._ack(witnesses, "b1", known=False)
        self.assertTrue(witnesses.beat("b1", now=1.0))

    def test_leaving_balancer_is_dropped(self):
        """A balancer that says it leaves is no witness any more."""
        witnesses = self._known(4)
        self._ack(witnesses, "b2", leaving=True)
        self.assertNotIn("b2", [r.name for r in witnesses.chosen(now=1.0)])
        self.assertTrue(witnesses.is_cut_off)
