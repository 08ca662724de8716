"""Epochs of processes whose wall clock was set back between two starts."""

import random
import unittest

from monsoonpier.agent.heartbeat_peers import HeartbeatPeers
from monsoonpier.balancer.membership import Membership
from monsoonpier.model.target import Condition
from monsoonpier.wire.frames import Announce, BalancerRecord, Gossip, HeartbeatAck
from tests.packets.rig import record


def balancer(name: str, *, epoch: int = 1) -> BalancerRecord:
    return BalancerRecord(
        name=name,
        data_centre="dc-1",
        ip=f"10.1.0.{name[-1]}",
        port=7720,
        control=f"10.1.0.{name[-1]}:7721",
        epoch=epoch,
    )


class ClockSetBackTests(unittest.TestCase):
    """A restarted process replaces its earlier record despite a smaller epoch."""

    def setUp(self) -> None:
        self.node = Membership(own=balancer("lb-1"))
        self.draw = random.Random(1)

    def answers(self, frame, *, sender=("10.9.0.9", 1)) -> list:
        actions = self.node.from_process(frame, sender=sender, now=1.0, draw=self.draw)
        return [action.frame for action in actions if hasattr(action, "frame")]

    def test_ack_names_newer_epoch(self) -> None:
        """The reply to a record with a smaller epoch names the known one."""
        gone = record("maps-1", epoch=500, condition=Condition.GONE)
        self.node.table.learn(gone, now=0.0)
        restarted = record("maps-1", epoch=400)
        (ack,) = self.answers(Announce(record=restarted))
        self.assertIsInstance(ack, HeartbeatAck)
        self.assertEqual(ack.known_epoch, 500)

    def test_agent_raises_its_epoch(self) -> None:
        """An agent raises its epoch above the one that a balancer knows."""
        witnesses = HeartbeatPeers(target="maps-1")
        ack = HeartbeatAck(
            balancer="lb-1", version=1, known=True, allowed=True, known_epoch=500
        )
        self.assertEqual(witnesses.next_epoch(ack, epoch=400), 501)
        self.assertIsNone(witnesses.next_epoch(ack, epoch=500))

    def test_balancer_raises_its_epoch(self) -> None:
        """A restarted balancer raises its epoch above that of its earlier record."""
        left = balancer("lb-2", epoch=500)
        self.node.peers.learn(left)
        restarted = Membership(own=balancer("lb-2", epoch=400))
        gossip = Gossip(sender=restarted.peers.own, version=0, digest=b"")
        (answer,) = self.answers(gossip)
        actions = restarted.from_process(
            answer, sender=("10.1.0.1", 7720), now=1.0, draw=self.draw
        )
        self.assertIsNotNone(actions)
        self.assertGreater(restarted.peers.own.epoch, 500)
