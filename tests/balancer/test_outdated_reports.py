"""Reports of silence that are out of date: they count nowhere any more."""

import random
import unittest

from monsoonpier.balancer.evidence import FORGET_SECONDS
from monsoonpier.balancer.membership import TRUST_SECONDS, Membership
from monsoonpier.model.target import Condition
from monsoonpier.wire.frames import Announce, BalancerRecord, Gossip, SilenceBatch
from tests.rig import record


def own(name: str, *, epoch: int = 1) -> BalancerRecord:
    """Return the record of a balancer."""
    return BalancerRecord(
        name=name,
        data_centre="dc-1",
        ip=f"10.2.0.{name[1:]}",
        port=9000,
        control=name,
        epoch=epoch,
    )


TARGET = record("maps-1", condition=Condition.SERVING, answers_queries=True)


def batch(observer: str, number: int, *, silent: bool, epoch: int = 1) -> SilenceBatch:
    """Return an observer's report on the target."""
    return SilenceBatch(
        observer=observer,
        observer_epoch=epoch,
        number=number,
        silent=silent,
        keys=(TARGET.process_key,),
    )


class Node:
    """A balancer and what arrives at it."""

    def __init__(self, name: str, *, started_at: float = 0.0) -> None:
        self.membership = Membership(own=own(name), started_at=started_at)
        self.draw = random.Random(1)

    def gossip(self, *batches, now: float, sender: str = "b7", records=()) -> list:
        """Receive a message of a peer."""
        frame = Gossip(
            sender=own(sender),
            version=0,
            digest=self.membership.table.digest,
            batches=batches,
            records=records,
        )
        return self.membership.from_process(
            frame, sender=own(sender).endpoint, now=now, draw=self.draw
        )

    def hear(self, *, now: float) -> None:
        """Receive the agent's announcement."""
        self.membership.from_process(
            Announce(record=TARGET),
            sender=TARGET.address.endpoint,
            now=now,
            draw=self.draw,
        )

    def round(self, *, now: float) -> list:
        """Return what a round of gossip sends."""
        return self.membership.gossip_round(now=now, draw=self.draw)

    def run(self, start: float, end: float) -> None:
        """Rounds with contact; the agent lives and answers what is due."""
        now = start
        while now < end:
            self.gossip(now=now)
            for action in self.round(now=now):
                if action.endpoint == TARGET.address.endpoint:
                    self.hear(now=now + 0.1)
            now += 1.0

    def is_suspected(self, *, now: float) -> bool:
        """Return whether the target is suspected here."""
        found = self.membership.table.all_candidates(now=now)
        return any(c.suspected for c in found)


class OutdatedReportTests(unittest.TestCase):
    """Living targets aren't suspected, or removed, for what is over."""

    def test_early_batch_is_not_replayed_hours_later(self):
        """Reports of the first seconds, refuted since by their observers."""
        node = Node("b1", started_at=1_000.0)
        node.hear(now=1_001.0)
        node.gossip(
            batch("b8", 1, silent=True), batch("b9", 1, silent=True), now=1_002.0
        )
        node.gossip(
            batch("b8", 2, silent=False),
            batch("b9", 2, silent=False),
            now=1_000.0 + TRUST_SECONDS + 5,
        )
        now = 1_020.0 + FORGET_SECONDS + 20
        node.run(1_015.0, now)
        self.assertFalse(node.is_suspected(now=now))
        node.membership.learn_records((), now=now)  # Any fetch of a peer's table.
        self.assertFalse(node.is_suspected(now=now))

    def test_paused_relay(self):
        """A peer that was paused sends the reports that it had queued."""
        node, relay = Node("b1"), Node("b2")
        relay.membership.peers.learn(own("b1"))
        for each in (node, relay):
            each.hear(now=1_000.0)
            each.round(now=1_000.0)
            each.gossip(
                batch("b8", 1, silent=True), batch("b9", 1, silent=True), now=1_001.0
            )
        node.gossip(
            batch("b8", 2, silent=False), batch("b9", 2, silent=False), now=1_005.0
        )
        end = 1_005.0 + FORGET_SECONDS + 20
        node.run(1_005.0, end)
        self.assertFalse(node.is_suspected(now=end))
        for action in relay.round(now=end):
            if isinstance(action.frame, Gossip):
                node.membership.from_process(
                    action.frame, sender=("10.2.0.2", 9000), now=end, draw=node.draw
                )
        self.assertFalse(node.is_suspected(now=end))

    def test_paused_balancer_removes_no_living_target(self):
        """The reports that it knows are refuted while it is paused."""
        node = Node("b1")
        node.membership.peers.learn(own("b2"))
        node.hear(now=1_000.0)
        node.gossip(
            batch("b8", 1, silent=True), batch("b9", 1, silent=True), now=1_004.0
        )
        node.round(now=1_004.0)
        self.assertTrue(node.is_suspected(now=1_004.0))
        node.round(now=1_004.0 + FORGET_SECONDS + 1)  # paused meanwhile
        self.assertIsNotNone(node.membership.table.record("maps-1"))

    def test_restarted_observer_does_not_report_what_it_does_not_hear(self):
        """A peer hands the report of its earlier process back to it."""
        node = Node("b8", started_at=1_000.0)
        node.membership.peers.learn(own("b2"))
        node.membership.learn_records((TARGET,), now=1_001.0)
        node.gossip(batch("b8", 5, silent=True, epoch=0), now=1_002.0)
        frames = [a.frame for a in node.round(now=1_002.5)]
        found = [b for f in frames if isinstance(f, Gossip) for b in f.batches]
        self.assertFalse([b for b in found if b.observer == "b8" and not b.silent])

    def test_paused_relay_sends_an_update_first(self):
        """An update is still to be sent at once when the pause ends."""
        relay = Node("b2")
        relay.membership.peers.learn(own("b1"))
        relay.hear(now=1_000.0)
        relay.round(now=1_000.0)
        relay.gossip(batch("b8", 1, silent=True), now=1_000.5)
        self.assertTrue(relay.membership.has_updates)
        sent = relay.membership.gossip_round(now=1_200.0, draw=relay.draw, eager=True)
        gossip = [a.frame for a in sent if isinstance(a.frame, Gossip)]
        self.assertTrue(gossip)
        self.assertFalse(any(each.batches or each.is_converged for each in gossip))

    def test_early_batches_refuted_by_a_frame(self):
        """They count as received when they were, not when the table is fetched."""
        node = Node("b1", started_at=1_000.0)
        for observer in ("b8", "b9"):
            node.gossip(batch(observer, 1, silent=True), now=1_001.0)
        node.hear(now=1_002.0)
        for second in range(3, 8):
            node.gossip(now=1_000.0 + second)  # ends no contact
        node.membership.learn_records((), now=1_008.0)
        self.assertFalse(node.is_suspected(now=1_008.0))

    def test_early_batches_from_before_a_pause(self):
        """They may have been withdrawn when the table is fetched."""
        node = Node("b1", started_at=1_000.0)
        node.round(now=1_000.0)
        for observer in ("b8", "b9"):
            node.gossip(batch(observer, 1, silent=True), now=1_000.5)
        node.round(now=1_006.0)  # paused meanwhile
        node.membership.learn_records((TARGET,), now=1_006.1)
        self.assertFalse(node.is_suspected(now=1_006.1))
