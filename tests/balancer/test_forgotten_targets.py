"""Targets that balancers have forgotten, and peers that still know them."""

import itertools
import random
import unittest

import msgspec

from monsoonpier.balancer.membership import Membership
from monsoonpier.balancer.table import FORGET_SECONDS, GONE_SECONDS
from monsoonpier.model.target import Condition
from tests.packets.rig import OWN, exchange_gossip, record

RESUMED = 2 * GONE_SECONDS  # later than the others forget the target


class ForgottenTargetTests(unittest.TestCase):
    """One of three balancers is paused while a target leaves."""

    def test_gone_while_a_balancer_was_paused(self) -> None:
        """A target that the others have forgotten gets no new flow again."""
        draw = random.Random(1)
        nodes = [
            Membership(own=msgspec.structs.replace(OWN, name=name, ip=ip))
            for name, ip in (("a", "10.1.0.1"), ("b", "10.1.0.2"), ("c", "10.1.0.3"))
        ]
        target = record("maps-1")
        for node in nodes:
            node.table.learn(target, now=0.0)
        for node in nodes[1:]:
            node.table.learn(target.with_condition(Condition.GONE), now=1.0)
            node.gossip_round(now=RESUMED, draw=draw)
            self.assertIsNone(node.table.record(target.name))
        end = RESUMED + 2 * FORGET_SECONDS
        for now in itertools.takewhile(lambda t: t < end, itertools.count(RESUMED)):
            for sender, receiver in itertools.permutations(nodes, 2):
                exchange_gossip(sender, receiver, now=now, draw=draw)
            for node in nodes:
                node.gossip_round(now=now, draw=draw)
        for node in nodes:
            offered = node.table.packet_candidates("maps", now=end)
            serving = [c.record.name for c in offered if not c.suspected]
            self.assertEqual(serving, [], node.peers.own.name)
