"""What a balancer concludes of agents that aren't known to answer queries."""

import random
import unittest

import msgspec

from monsoonpier.balancer.evidence import (
    UNANSWERED_QUERIES_LIMIT,
    UNANSWERED_REQUESTS_LIMIT,
    VERIFY_SECONDS,
)
from monsoonpier.balancer.table import MAX_REQUESTS
from monsoonpier.model.target import Condition, LoadReport
from monsoonpier.wire.frames import (
    Announce,
    Gossip,
    RecordQuery,
    RecordReply,
    SilenceReport,
)
from tests.rig import balancer, record

NOW = 100.0  # the balancers have converged
AGENT = ("10.1.0.1", 9000)
ASKED_SECONDS = UNANSWERED_QUERIES_LIMIT + 1  # rounds, until the status is requested
REQUESTED_SECONDS = ASKED_SECONDS + UNANSWERED_REQUESTS_LIMIT


class OlderAgentTests(unittest.TestCase):
    """An agent that can't answer is asked in another way."""

    def setUp(self) -> None:
        self.node = balancer()
        self.membership = self.node.membership
        self.draw = random.Random(1)
        self.older = record(
            "maps-1", condition=Condition.SERVING, answers_queries=False
        )
        self.peer = msgspec.structs.replace(
            self.node.peers.own, name="b2", ip="10.2.0.2"
        )

    def gossip(self, *, now: float, **content) -> None:
        """Receive a gossip message of a peer."""
        gossip = Gossip(sender=self.peer, version=0, digest=b"d", **content)
        self.node.from_process(
            gossip, sender=self.peer.endpoint, now=now, draw=self.draw
        )

    def receive(self, frame, *, now: float) -> None:
        """Receive a frame of the agent."""
        self.node.from_process(frame, sender=AGENT, now=now, draw=self.draw)

    def run_rounds(self, start: float, seconds: int, *, is_answering: bool) -> list:
        """Run a round a second, without answers to queries; return the requests."""
        done = []
        for second in range(seconds):
            now = start + second
            self.gossip(now=now)
            self.membership.gossip_round(now=now, draw=self.draw)
            for request in self.membership.status_requests(now=now):
                done.append(request)
                self.gossip(now=now + 0.5)
                self.membership.take_status(
                    request, is_answered=is_answering, now=now + 0.6
                )
        return done

    def silence(self, observer: str) -> SilenceReport:
        """Return an observer's report that the agent is silent."""
        return SilenceReport(
            name="maps-1",
            epoch=1,
            observer=observer,
            silent=True,
            observer_epoch=5,
            number=1,
        )

    def is_offered(self, *, now: float) -> bool:
        """Return whether the target is a candidate that isn't suspected."""
        found = self.node.table.packet_candidates("maps", now=now)
        return any(
            c.record.name == "maps-1" and c.serves and not c.suspected for c in found
        )

    def beliefs(self) -> list[str]:
        """Return what was to be logged of the target so far."""
        return [change.belief for change in self.membership.belief_changes]

    def test_record_of_a_peer_is_believed(self):
        """An agent that can't confirm its record is offered without that."""
        self.gossip(records=(self.older,), now=NOW)
        self.assertTrue(self.is_offered(now=NOW))

    def test_status_is_requested(self):
        """After unanswered queries; the answer confirms that the agent lives."""
        self.gossip(records=(self.older,), now=NOW)
        requests = self.run_rounds(NOW, 20, is_answering=True)
        self.assertEqual([each.name for each in requests], ["maps-1"])
        self.assertEqual(requests[0].control, self.older.control)
        self.assertTrue(self.is_offered(now=NOW + 20))

    def test_noticed_once(self):
        """Operators read of an older agent once, and it gets no more queries."""
        self.gossip(records=(self.older,), now=NOW)
        self.run_rounds(NOW, 200, is_answering=True)
        self.assertEqual(self.beliefs(), ["ignores queries"])
        sent = self.membership.gossip_round(now=NOW + 200, draw=self.draw)
        queries = [a for a in sent if isinstance(a.frame, RecordQuery)]
        self.assertEqual(queries, [])

    def test_reports_count_after_unanswered_requests(self):
        """Observers of older builds report agents that have selected others."""
        self.gossip(records=(self.older,), now=NOW)
        self.gossip(silences=(self.silence("b2"), self.silence("b3")), now=NOW)
        self.assertTrue(self.is_offered(now=NOW))
        self.run_rounds(NOW, REQUESTED_SECONDS, is_answering=False)
        self.assertFalse(self.is_offered(now=NOW + REQUESTED_SECONDS))

    def test_closed_path(self):
        """Unanswered requests mean nothing where no agent has ever answered one."""
        self.gossip(records=(self.older,), now=NOW)
        self.run_rounds(NOW, 60, is_answering=False)
        self.assertTrue(self.is_offered(now=NOW + 60))
        handed_out = self.node.table.records_in_differing_buckets([b""] * 16)
        self.assertEqual(handed_out, ())

    def test_open_path(self):
        """They make a target suspected if another agent nearby has answered."""
        self.gossip(records=(self.older,), now=NOW)
        other = record("maps-2", host=2, condition=Condition.SERVING)
        load = LoadReport(number=1, condition=Condition.SERVING)
        reply = RecordReply(record=other, load=load)
        for second in range(REQUESTED_SECONDS + 2):
            now = NOW + second
            self.gossip(now=now)
            self.receive(reply, now=now)
            self.membership.gossip_round(now=now, draw=self.draw)
            for request in self.membership.status_requests(now=now):
                self.gossip(now=now + 0.5)
                is_answered = request.name == "maps-2"
                self.membership.take_status(
                    request, is_answered=is_answered, now=now + 0.6
                )
        self.assertFalse(self.is_offered(now=now + 1))

    def test_cut_off_balancer_concludes_nothing(self):
        """Without any frame from elsewhere, a missing status means nothing."""
        self.gossip(records=(self.older,), now=NOW)
        self.run_rounds(NOW, 20, is_answering=True)
        self.gossip(silences=(self.silence("b2"), self.silence("b3")), now=NOW + 20)
        for second in range(21, 60):
            now = NOW + second
            self.membership.gossip_round(now=now, draw=self.draw)
            for request in self.membership.status_requests(now=now):
                self.membership.take_status(request, is_answered=False, now=now + 0.6)
        self.assertTrue(self.is_offered(now=NOW + 60))

    def test_answer_to_a_query(self):
        """An agent that has answered one must go on, whatever its record says."""
        self.receive(Announce(record=self.older), now=NOW)
        load = LoadReport(number=1, condition=Condition.SERVING)
        self.receive(RecordReply(record=self.older, load=load), now=NOW)
        end = int(VERIFY_SECONDS) + ASKED_SECONDS + 2
        self.run_rounds(NOW + 1, end, is_answering=True)
        self.assertFalse(self.is_offered(now=NOW + end + 1))
        self.assertEqual(self.beliefs(), ["suspected"])

    def test_relays_leave_the_capability_out(self):
        """A changed record that an older balancer relays doesn't take it back."""
        full = msgspec.structs.replace(self.older, answers_queries=True)
        self.receive(Announce(record=full), now=NOW)
        self.gossip(records=(self.older.with_condition(Condition.SHEDDING),), now=NOW)
        stored = self.node.table.record("maps-1")
        self.assertEqual(stored.condition, Condition.SHEDDING)
        self.assertTrue(stored.answers_queries)
        self.assertEqual(self.membership.table.record("maps-1").rank, (1, 1))

    def test_capability_of_a_known_record(self):
        """It is learned from a record that isn't newer, and passed on."""
        self.gossip(records=(self.older,), now=NOW)
        digest = self.node.table.digest
        full = msgspec.structs.replace(self.older, answers_queries=True)
        self.gossip(records=(full,), now=NOW)
        self.assertTrue(self.node.table.record("maps-1").answers_queries)
        self.assertTrue(self.is_offered(now=NOW))
        self.assertEqual(self.node.table.digest, digest)

    def test_rollback_starts_anew(self):
        """An older agent in place of a newer one isn't expected to answer."""
        full = msgspec.structs.replace(self.older, answers_queries=True)
        self.receive(Announce(record=full), now=NOW)
        older = msgspec.structs.replace(self.older, epoch=2)
        self.gossip(records=(older,), now=NOW + 1)
        self.run_rounds(NOW + 1, 60, is_answering=True)
        self.assertTrue(self.is_offered(now=NOW + 61))

    def test_requests_are_bounded(self):
        """Of many agents a round requests the status of a few."""
        many = tuple(
            record(
                f"maps-{number}",
                ip=f"10.3.0.{number}",
                condition=Condition.SERVING,
                answers_queries=False,
            )
            for number in range(100)
        )
        for each in many:
            self.gossip(records=(each,), now=NOW)
        counts = []
        for second in range(40):
            now = NOW + second
            self.gossip(now=now)
            self.membership.gossip_round(now=now, draw=self.draw)
            counts.append(len(self.membership.status_requests(now=now)))
        self.assertEqual(max(counts), MAX_REQUESTS)
