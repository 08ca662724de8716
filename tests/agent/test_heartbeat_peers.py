"""Tests of the selection of balancers for heartbeats."""

import unittest

from monsoonpier.agent.heartbeat_peers import (
    MAX_MISSED_HEARTBEATS,
    PEER_COUNT,
    HeartbeatPeers,
)
from monsoonpier.wire.frames import HeartbeatAck
from tests.rig import balancer


class HeartbeatPeersTests(unittest.TestCase):
    """A few balancers are selected, and dead ones replaced."""

    def _known(self, count: int, target: str = "maps-1") -> HeartbeatPeers:
        heartbeat_peers = HeartbeatPeers(target=target)
        for number in range(1, count + 1):
            heartbeat_peers.update_record(balancer(f"b{number}", host=number).peers.own)
        return heartbeat_peers

    def _ack(self, heartbeat_peers: HeartbeatPeers, name: str, **more) -> None:
        fields = {"balancer": name, "version": 1, "known": True, "allowed": True}
        heartbeat_peers.record_ack(HeartbeatAck(**fields | more), now=1.0)

    def test_bounded(self):
        """The number of heartbeats doesn't grow with the number of balancers."""
        for count in (1, 2, 3, 10, 60):
            chosen = self._known(count).select(now=1.0)
            self.assertEqual(len(chosen), min(PEER_COUNT, count))

    def test_spread(self):
        """Different targets select different balancers."""
        chosen = {
            tuple(r.name for r in self._known(30, f"maps-{n}").select(now=1.0))
            for n in range(20)
        }
        self.assertGreater(len(chosen), 15)

    def test_unresponsive_balancer_is_replaced(self):
        """A balancer that misses several heartbeats is replaced by another."""
        heartbeat_peers = self._known(5)
        first = heartbeat_peers.select(now=1.0)[0].name
        for _ in range(MAX_MISSED_HEARTBEATS):
            heartbeat_peers.count_heartbeat(first, now=1.0)
        self.assertIn(first, [r.name for r in heartbeat_peers.select(now=1.0)])
        heartbeat_peers.count_heartbeat(first, now=1.0)
        self.assertNotIn(first, [r.name for r in heartbeat_peers.select(now=1.0)])
        self.assertEqual(len(heartbeat_peers.select(now=1.0)), PEER_COUNT)

    def test_announced_until_known(self):
        """The whole record is sent until it is acknowledged, and again once lost."""
        heartbeat_peers = self._known(1)
        self.assertTrue(heartbeat_peers.count_heartbeat("b1", now=1.0))
        self._ack(heartbeat_peers, "b1")
        self.assertFalse(heartbeat_peers.count_heartbeat("b1", now=1.0))
        self._ack(heartbeat_peers, "b1", known=False)
        self.assertTrue(heartbeat_peers.count_heartbeat("b1", now=1.0))

    def test_leaving_balancer_is_dropped(self):
        """A balancer that reports it is leaving gets no more heartbeats."""
        heartbeat_peers = self._known(4)
        self._ack(heartbeat_peers, "b2", leaving=True)
        self.assertNotIn("b2", [r.name for r in heartbeat_peers.select(now=1.0)])
        self.assertTrue(heartbeat_peers.is_unacknowledged)
