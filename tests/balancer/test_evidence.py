"""What makes balancers believe that a target is alive, or that it has ended."""

import random
import unittest

import msgspec

from monsoonpier.balancer.evidence import (
    RETRY_SECONDS,
    SUSPECT_SECONDS,
    UNANSWERED_QUERIES_LIMIT,
    VERIFY_SECONDS,
)
from monsoonpier.balancer.membership import (
    MAX_ROUND_SECONDS,
    SETTLE_SECONDS,
    TRUST_SECONDS,
)
from monsoonpier.balancer.table import MAX_QUERIES, MAX_ROUTINE_QUERIES
from monsoonpier.model.target import Condition, LoadReport
from monsoonpier.wire.frames import (
    Announce,
    Gossip,
    Heartbeat,
    RecordQuery,
    RecordReply,
    SilenceReport,
)
from tests.rig import balancer, record

NOW = 100.0  # the balancers have converged
AGENT = ("10.1.0.1", 9000)


def report(*, observer: str = "b2") -> SilenceReport:
    """Return an observer's report that ``maps-1`` is silent."""
    return SilenceReport(
        name="maps-1",
        epoch=1,
        observer=observer,
        silent=True,
        observer_epoch=5,
        number=1,
    )


class RecordTests(unittest.TestCase):
    """Only the agent itself makes a record credible."""

    def setUp(self) -> None:
        self.node = balancer()
        self.draw = random.Random(1)
        self.target = record("maps-1", condition=Condition.SERVING)
        other = msgspec.structs.replace(self.node.peers.own, name="b2", ip="10.2.0.2")
        self.node.peers.learn(other)
        self.peer = other

    def gossip(self, *, now: float, **content) -> None:
        """Receive a gossip message of the peer."""
        gossip = Gossip(sender=self.peer, version=0, digest=b"d", **content)
        self.node.from_process(
            gossip, sender=self.peer.endpoint, now=now, draw=self.draw
        )

    def answer(self, target, *, now: float) -> None:
        """Receive an agent's answer to a query."""
        load = LoadReport(number=1, condition=target.condition)
        reply = RecordReply(record=target, load=load)
        self.node.from_process(reply, sender=AGENT, now=now, draw=self.draw)

    def queried(self, *, now: float) -> list[str]:
        """Return the targets whose agents are queried in a round of gossip."""
        sent = self.node.membership.gossip_round(now=now, draw=self.draw)
        queries = [a.frame for a in sent if isinstance(a.frame, RecordQuery)]
        return [query.name for query in queries]

    def is_offered(self, *, now: float) -> bool:
        """Return whether the target is a candidate that isn't suspected."""
        found = self.node.table.packet_candidates("maps", now=now)
        return any(c.serves and not c.suspected for c in found)

    def passed_on(self) -> list[str]:
        """Return the names of the records that a peer with an empty table gets."""
        records = self.node.table.records_in_differing_buckets([b""] * 16)
        return [each.name for each in records]

    def test_record_of_a_peer_must_be_confirmed(self):
        """A record from a peer is offered and passed on after its agent answered."""
        self.gossip(records=(self.target,), now=NOW)
        self.assertFalse(self.is_offered(now=NOW))
        self.assertEqual(self.passed_on(), [])
        self.assertEqual(self.queried(now=NOW), ["maps-1"])
        self.answer(self.target, now=NOW)
        self.assertTrue(self.is_offered(now=NOW))
        self.assertEqual(self.passed_on(), ["maps-1"])

    def test_restarted_agent_must_be_confirmed(self):
        """A record of a later agent process needs an answer of its own."""
        self.answer(self.target, now=NOW)
        later = msgspec.structs.replace(self.target, epoch=2)
        self.gossip(records=(later,), now=NOW)
        self.assertFalse(self.is_offered(now=NOW))
        self.answer(later, now=NOW)
        self.assertTrue(self.is_offered(now=NOW))

    def test_changed_record_of_a_confirmed_agent(self):
        """A change that a peer relays is in force at once."""
        self.answer(self.target, now=NOW)
        leaving = self.target.with_condition(Condition.LEAVING)
        self.gossip(records=(leaving,), now=NOW)
        self.assertFalse(self.is_offered(now=NOW))
        serving = leaving.with_condition(Condition.SERVING)
        self.gossip(records=(serving,), now=NOW)
        self.assertTrue(self.is_offered(now=NOW))

    def test_starting_balancer_trusts_a_peer(self):
        """A balancer that has just started offers what its peers know."""
        for seconds in (0.5, TRUST_SECONDS - 0.1):
            with self.subTest(seconds=seconds):
                self.setUp()
                self.gossip(records=(self.target,), now=seconds)
                self.assertTrue(self.is_offered(now=seconds))
                self.assertEqual(self.queried(now=seconds), ["maps-1"])

    def test_tombstone_of_an_unknown_target(self):
        """It isn't kept, so that it can't circulate."""
        gone = self.target.with_condition(Condition.GONE)
        self.gossip(records=(gone,), now=NOW)
        self.assertEqual(len(self.node.table), 0)

    def test_tombstones_are_not_in_the_digest(self):
        """Balancers that remove one at different times don't exchange tables."""
        empty = self.node.table.digest
        self.node.table.learn(self.target, now=NOW)
        self.assertNotEqual(self.node.table.digest, empty)
        self.node.table.learn(self.target.with_condition(Condition.GONE), now=NOW)
        self.assertEqual(self.node.table.digest, empty)

    def test_unconfirmed_record_takes_no_address(self):
        """A record from a peer doesn't replace the target at its agent's address."""
        self.answer(self.target, now=NOW)
        other = record("logs-1", epoch=7, service="logs")
        self.gossip(records=(other,), now=NOW)
        self.assertTrue(self.is_offered(now=NOW))
        self.answer(other, now=NOW)
        self.assertEqual(self.node.table.record("maps-1").condition, Condition.GONE)

    def test_unanswered_queries(self):
        """A target that leaves queries unanswered is suspected, then removed."""
        self.answer(self.target, now=NOW)
        now = NOW + VERIFY_SECONDS + 0.1
        while self.node.table.record("maps-1") is not None:
            self.gossip(now=now)
            self.queried(now=now)
            now += 1.0
            if now > NOW + VERIFY_SECONDS + UNANSWERED_QUERIES_LIMIT + 2:
                self.assertFalse(self.is_offered(now=now))
                self.assertEqual(self.passed_on(), [])
            self.assertLess(now, NOW + 200)

    def test_cut_off_balancer_concludes_nothing(self):
        """Without any frame from elsewhere, missing answers mean nothing."""
        self.answer(self.target, now=NOW)
        for second in range(40):
            self.queried(now=NOW + VERIFY_SECONDS + second)
        self.assertTrue(self.is_offered(now=NOW + VERIFY_SECONDS + 40))

    def test_one_silent_observer_causes_a_query(self):
        """A report of one observer makes others ask, and the answer refutes it."""
        self.gossip(now=NOW)
        self.queried(now=NOW)
        self.answer(self.target, now=NOW + 0.1)
        self.assertEqual(self.queried(now=NOW + 1), [])
        self.gossip(silences=(report(),), now=NOW + 2)
        self.assertEqual(self.queried(now=NOW + 2), ["maps-1"])
        self.answer(self.target, now=NOW + 2.1)
        self.assertEqual(self.queried(now=NOW + 3), [])

    def test_answer_refutes_earlier_silences(self):
        """A living target is no longer suspected once its agent has answered."""
        self.answer(self.target, now=NOW)
        for observer in ("b2", "b3"):
            self.gossip(silences=(report(observer=observer),), now=NOW + 5)
        self.assertFalse(self.is_offered(now=NOW + 5))
        self.answer(self.target, now=NOW + 5.1)
        self.assertTrue(self.is_offered(now=NOW + 20))

    def test_recent_frame_outweighs_later_reports(self):
        """Reports just after a frame of the agent don't make its target suspected."""
        self.answer(self.target, now=NOW)
        for observer in ("b2", "b3"):
            self.gossip(silences=(report(observer=observer),), now=NOW + 1)
        self.assertTrue(self.is_offered(now=NOW + 1.5))
        self.assertFalse(self.is_offered(now=NOW + SUSPECT_SECONDS + 0.1))

    def test_queries_are_bounded(self):
        """Of many targets a round queries a few."""
        for number in range(200):
            self.node.table.learn(record(f"maps-{number}", host=number), now=NOW)
        self.assertEqual(len(self.queried(now=NOW)), MAX_ROUTINE_QUERIES)
        for number in range(200):
            unconfirmed = record(f"logs-{number}", ip=f"10.3.0.{number}")
            self.gossip(records=(unconfirmed,), now=NOW)
        sent = len(self.queried(now=NOW + 1))
        self.assertLessEqual(sent, MAX_QUERIES + MAX_ROUTINE_QUERIES)


class ObserverTests(unittest.TestCase):
    """An observer that gets no more heartbeats queries the agent before it reports."""

    def setUp(self) -> None:
        self.node = balancer()
        self.draw = random.Random(1)
        self.target = record("maps-1", condition=Condition.SERVING)
        self.receive(Announce(record=self.target), now=NOW)
        self.load = LoadReport(number=1, condition=Condition.SERVING)
        beat = Heartbeat(name="maps-1", epoch=1, change=0, load=self.load)
        self.receive(beat, now=NOW)
        self.node.membership.gossip_round(now=NOW, draw=self.draw)

    def receive(self, frame, *, now: float) -> None:
        """Receive a frame of the agent."""
        self.node.from_process(frame, sender=AGENT, now=now, draw=self.draw)

    def rounds(self, *, start: float, end: float, is_answering: bool) -> int:
        """Run a round of gossip a second; return how many queries were sent.

        Some frame arrives before each round.
        """
        now = start
        queries = 0
        while now < end:
            self.receive(RecordQuery(name="any"), now=now)
            for action in self.node.membership.gossip_round(now=now, draw=self.draw):
                queries += isinstance(action.frame, RecordQuery)
                if is_answering and isinstance(action.frame, RecordQuery):
                    reply = RecordReply(record=self.target, load=self.load)
                    self.receive(reply, now=now + RETRY_SECONDS / 10)
            now += 1.0
        return queries

    def has_reported(self) -> bool:
        """Return whether this balancer has reported the agent as silent."""
        (entry,) = self.node.table._entries_by_name.values()
        return entry.evidence.has_reported_silence("b1")

    def test_agent_that_ended(self):
        """It is reported within the seconds that a suspicion takes."""
        end = NOW + SUSPECT_SECONDS + 2
        self.rounds(start=NOW + 1, end=end, is_answering=False)
        self.assertTrue(self.has_reported())

    def test_agent_that_selected_another_observer(self):
        """It answers, and is not reported."""
        self.rounds(start=NOW + 1, end=NOW + 60, is_answering=True)
        self.assertFalse(self.has_reported())

    def test_agent_is_not_queried_for_ever(self):
        """The balancer is no longer an observer after the answer."""
        self.rounds(start=NOW + 1, end=NOW + 10, is_answering=True)
        queries = self.rounds(start=NOW + 10, end=NOW + 25, is_answering=True)
        self.assertEqual(queries, 0)

    def test_observer_that_was_paused(self):
        """It reports nothing before it has had time to ask."""
        resumed = NOW + MAX_ROUND_SECONDS + 30
        self.rounds(start=resumed, end=resumed + SETTLE_SECONDS, is_answering=False)
        self.assertFalse(self.has_reported())
        later = resumed + SETTLE_SECONDS
        self.rounds(start=later, end=later + 2, is_answering=False)
        self.assertTrue(self.has_reported())
