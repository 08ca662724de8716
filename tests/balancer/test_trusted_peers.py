"""What a balancer that has just started takes on trust, and from whom."""

import random
import unittest

import msgspec

from monsoonpier.balancer.actions import FetchTable
from monsoonpier.balancer.membership import (
    CONTACT_SECONDS,
    DRAIN_SECONDS,
    MAX_ROUND_SECONDS,
)
from monsoonpier.balancer.table import MAX_START_QUERIES
from monsoonpier.model.target import Condition, LoadReport
from monsoonpier.wire.frames import Announce, Gossip, RecordQuery, RecordReply
from standins.membership import SimulatedFleet
from tests.rig import balancer, record

NOW = 100.0  # the balancers have converged
RESUMED = NOW + 60.0
EMPTY = (b"",) * 16  # the bucket digests of a peer without targets
TARGETS = 4
SEEDS = range(6)
REMOVED_SECONDS = 150.0  # after its end a target is in no table but a paused one
KNOWN_SECONDS = 1.0  # a balancer that starts offers all living targets by then


class PausedPeerTests(unittest.TestCase):
    """A balancer was paused, and its timers haven't run since."""

    def setUp(self) -> None:
        self.node = balancer()
        self.membership = self.node.membership
        self.draw = random.Random(1)
        self.records = [
            record(f"maps-{number}", host=number, condition=Condition.SERVING)
            for number in range(1, TARGETS + 1)
        ]
        for each in self.records:
            self.receive(each, Announce(record=each), now=NOW)
        self.membership.gossip_round(now=NOW, draw=self.draw)
        self.peer = msgspec.structs.replace(
            self.node.peers.own, name="b2", ip="10.2.0.2"
        )

    def receive(self, target, frame, *, now: float) -> None:
        """Receive a frame of a target's agent."""
        self.node.from_process(
            frame, sender=target.address.endpoint, now=now, draw=self.draw
        )

    def answer(self, target, *, now: float) -> None:
        """Receive an agent's answer to a query."""
        load = LoadReport(number=1, condition=Condition.SERVING)
        self.receive(target, RecordReply(record=target, load=load), now=now)

    def exchange(self, *, now: float, digest: bytes, is_converged: bool) -> Gossip:
        """Receive a peer's gossip message; return the answer."""
        gossip = Gossip(
            sender=self.peer, version=0, digest=digest, is_converged=is_converged
        )
        actions = self.node.from_process(
            gossip, sender=self.peer.endpoint, now=now, draw=self.draw
        )
        return next(a.frame for a in actions if not isinstance(a, FetchTable))

    def handed_out(self, *, now: float) -> list[str]:
        """Return the names of the records that a new peer gets."""
        records = self.membership.records_for_peer(EMPTY, now=now)
        return sorted(each.name for each in records)

    @property
    def names(self) -> list[str]:
        """The names of all targets."""
        return [each.name for each in self.records]

    def test_table_request_is_the_first_to_come(self):
        """What was learned before the pause isn't handed out."""
        self.assertEqual(self.handed_out(now=NOW + 1), self.names)
        self.assertEqual(self.handed_out(now=RESUMED), [])

    def test_gossip_is_the_first_to_come(self):
        """The answer doesn't call the table converged."""
        answer = self.exchange(now=NOW + 1, digest=b"d", is_converged=True)
        self.assertTrue(answer.is_converged)
        answer = self.exchange(now=RESUMED, digest=b"d", is_converged=True)
        self.assertFalse(answer.is_converged)
        self.assertEqual(self.handed_out(now=RESUMED), [])

    def test_timers_run_first(self):
        """The same holds after the first round of gossip."""
        self.membership.gossip_round(now=RESUMED, draw=self.draw)
        self.assertEqual(self.handed_out(now=RESUMED + 0.1), [])

    def test_regained_contact(self):
        """A balancer whose timers ran while no frame arrived isn't trusted either."""
        now = NOW
        while now < NOW + CONTACT_SECONDS + MAX_ROUND_SECONDS:
            self.membership.gossip_round(now=now, draw=self.draw)
            now += 1.0
        self.assertEqual(self.handed_out(now=now), [])

    def test_confirmed_records(self):
        """What agents have confirmed since is handed out.

        A frame that is read at once may have waited since before the pause.
        """
        self.answer(self.records[0], now=RESUMED)
        self.answer(self.records[2], now=RESUMED + 0.1)
        self.answer(self.records[1], now=RESUMED + DRAIN_SECONDS + 0.1)
        later = RESUMED + DRAIN_SECONDS + 0.2
        self.assertEqual(self.handed_out(now=later), ["maps-2"])

    def test_equal_table(self):
        """A peer with an equal table that has converged makes it credible again.

        A message that is read at once may have waited since before the pause.
        """
        digest = self.node.table.digest
        self.exchange(now=RESUMED, digest=digest, is_converged=True)
        self.assertEqual(self.handed_out(now=RESUMED), [])
        self.exchange(now=RESUMED + 1.0, digest=digest, is_converged=False)
        self.assertEqual(self.handed_out(now=RESUMED + 1.0), [])
        self.exchange(now=RESUMED + 1.1, digest=digest, is_converged=True)
        self.assertEqual(self.handed_out(now=RESUMED + 1.2), self.names)

    def test_all_have_answered(self):
        """The table is credible again without a peer, after answers of all agents."""
        self.membership.gossip_round(now=RESUMED, draw=self.draw)
        for each in self.records:
            self.answer(each, now=RESUMED + 1.0)
        answer = self.exchange(now=RESUMED + 1.1, digest=b"d", is_converged=True)
        self.assertFalse(answer.is_converged)
        for each in self.records:
            self.answer(each, now=RESUMED + 1.6)
        self.membership.gossip_round(now=RESUMED + 2, draw=self.draw)
        answer = self.exchange(now=RESUMED + 2.1, digest=b"d", is_converged=True)
        self.assertTrue(answer.is_converged)

    def test_empty_table(self):
        """One without targets can't be outdated."""
        self.node = balancer()
        self.membership = self.node.membership
        answer = self.exchange(now=RESUMED, digest=b"d", is_converged=True)
        self.assertTrue(answer.is_converged)


class StartingBalancerTests(unittest.TestCase):
    """A balancer that has just started verifies what it offers on trust."""

    def test_trusted_records_are_queried_first(self):
        """All are queried within seconds, in a bounded number a round."""
        node = balancer()
        draw = random.Random(1)
        peer = msgspec.structs.replace(node.peers.own, name="b2", ip="10.2.0.2")
        node.peers.learn(peer)
        many = [
            record(f"maps-{number}", ip=f"10.3.0.{number}") for number in range(200)
        ]
        node.membership.learn_records(many, now=0.1)
        queried: list[str] = []
        for number in range(4):
            sent = node.membership.gossip_round(now=0.2 + number * 0.15, draw=draw)
            names = [a.frame.name for a in sent if isinstance(a.frame, RecordQuery)]
            self.assertLessEqual(len(names), MAX_START_QUERIES + 8)
            queried += names
        self.assertEqual(len(set(queried)), len(many))

    def test_peer_that_has_just_resumed(self):
        """It offers no ended target, and all living ones at once."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet = SimulatedFleet(seed=seed, balancers=6, targets=12)
                fleet.run(40)
                paused = fleet.balancers[0]
                paused.is_paused = True
                ended = [f"maps-{number}" for number in range(6)]
                for name in ended:
                    fleet.agents_by_name[name].is_alive = False
                fleet.run(REMOVED_SECONDS)
                paused.resume(are_timers_first=False)
                fleet.start_balancer(5)
                started = fleet.balancers[5]
                started._fetch(paused.record.control)
                for _ in range(40):
                    fleet.run(0.05)
                    for name in ended:
                        self.assertNotIn("b5", fleet.offering(name))
                fleet.run(KNOWN_SECONDS)
                for name in set(fleet.agents_by_name) - set(ended):
                    self.assertIn("b5", fleet.offering(name))
