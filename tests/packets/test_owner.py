"""Tests of an agent's packet logic."""

import unittest

from monsoonpier.agent.packets.actions import (
    ResetFlow,
    ToCallerPacket,
    ToTarget,
)
from monsoonpier.agent.packets.owner import PacketFlowOwner
from monsoonpier.model.target import ABSENT_SECONDS, Condition
from monsoonpier.wire.frames import (
    FlowNotOwned,
    FlowOwned,
    LoadUpdate,
    OwnershipQuery,
    OwnershipReply,
    RelayPacket,
    SynRejected,
)
from tests.packets.rig import (
    BALANCER,
    LOG,
    OTHER_BALANCER,
    TARGET_SEQUENCE,
    answer,
    carry,
    frames,
    owner,
    packet,
)


def kinds(actions: list) -> list[type]:
    return [type(action) for action in actions]


def delivered(actions: list) -> int:
    return kinds(actions).count(ToTarget)


def restarted() -> PacketFlowOwner:
    """Return the packet logic of an agent started beside a running target."""
    return owner(is_first=False)


class OwnerCase(unittest.TestCase):
    """One agent; packets come from ``BALANCER`` unless specified."""

    def setUp(self) -> None:
        self.owner = owner()

    def forward(self, sent, *, sender=BALANCER, now: float = 1.0, **fields) -> list:
        frame = carry(sent, **fields)
        return self.owner.from_balancer(frame, sent, sender=sender, now=now)

    def open(self, number: int = 1, *, now: float = 1.0) -> None:
        """Open a flow with a complete handshake."""
        self.forward(packet(number, syn=True), now=now)
        self.owner.from_target(answer(number, syn=True), now=now)
        self.forward(packet(number), now=now)


class NewFlowTests(OwnerCase):
    """SYNs, and who owns the flow afterwards."""

    def test_handshake(self) -> None:
        """A SYN is delivered, its answer forwarded, and the balancer notified."""
        self.assertEqual(kinds(self.forward(packet(syn=True))), [ToTarget])
        actions = self.owner.from_target(answer(syn=True), now=1.0)
        self.assertIn(ToCallerPacket, kinds(actions))
        self.assertEqual([f.is_open for f in frames(actions, FlowOwned)], [False])
        actions = self.forward(packet(size=10))
        self.assertEqual([f.is_open for f in frames(actions, FlowOwned)], [True])
        self.assertEqual(delivered(actions), 1)

    def test_opened_at_another_target(self) -> None:
        """A packet that acknowledges another target's answer isn't delivered."""
        self.forward(packet(syn=True))
        self.owner.from_target(answer(syn=True), now=1.0)
        for distance in (1 << 20, 1 << 30):
            other = TARGET_SEQUENCE + distance
            actions = self.forward(packet(size=10, acknowledged=other))
            self.assertEqual(delivered(actions), 0)
            self.assertEqual(len(frames(actions, FlowNotOwned)), 1)

    def test_packet_before_the_target_has_answered(self) -> None:
        """A flow opened elsewhere is not owned while its SYN is pending."""
        self.forward(packet(syn=True))
        self.assertEqual(delivered(self.forward(packet(size=10))), 0)

    def test_leaving_target_rejects_at_once(self) -> None:
        """A SYN for a leaving target is rejected with a reason."""
        self.owner.condition = Condition.LEAVING
        actions = self.forward(packet(syn=True))
        self.assertEqual([f.reason for f in frames(actions, SynRejected)], ["leaving"])
        self.assertEqual(delivered(actions), 0)

    def test_leaving_target_keeps_its_flows(self) -> None:
        """Packets of a leaving target's open flows are delivered."""
        self.open()
        self.owner.condition = Condition.LEAVING
        self.assertEqual(delivered(self.forward(packet(size=10))), 1)

    def test_another_service(self) -> None:
        """A SYN of another service, from a stale table, is never delivered."""
        actions = self.forward(packet(syn=True), service="logs")
        self.assertEqual(delivered(actions), 0)
        self.assertEqual(len(frames(actions, SynRejected)), 1)

    def test_target_returns_syn(self) -> None:
        """A SYN that the target returns is rejected to the balancer."""
        self.forward(packet(syn=True))
        actions = self.owner.from_target(packet(syn=True, returned=True), now=1.0)
        self.assertEqual(len(frames(actions, SynRejected)), 1)
        self.assertEqual(self.owner.flows, 0)

    def test_full_target_gets_one_more(self) -> None:
        """A full target gets at most one more SYN, and only after three rejections."""
        for number in (1, 2):
            self.open(number)
            self.forward(packet(number, size=10))
        first = self.forward(packet(3, syn=True))
        self.assertEqual(len(frames(first, SynRejected)), 1)
        tried = ("a", "b", "c")
        self.assertEqual(delivered(self.forward(packet(3, syn=True), tried=tried)), 1)
        again = self.forward(packet(4, syn=True), tried=tried)
        self.assertEqual(len(frames(again, SynRejected)), 1)


class OwnershipTests(OwnerCase):
    """Packets of open flows and of unknown ones."""

    def test_through_any_balancer(self) -> None:
        """An open flow's packets are delivered whichever balancer sends them."""
        self.open()
        sent = packet(size=10)
        self.assertEqual(delivered(self.forward(sent, sender=OTHER_BALANCER)), 1)

    def test_idle_flow_is_kept(self) -> None:
        """A flow that idles for as long as callers may use it is still owned."""
        for max_idle_seconds, owned in ((60.0, False), (300.0, True)):
            with self.subTest(max_idle_seconds=max_idle_seconds):
                self.owner = PacketFlowOwner(
                    name="maps-1",
                    service="maps",
                    slots=2,
                    connections=100,
                    max_idle_seconds=max_idle_seconds,
                    log=LOG,
                )
                self.owner.instance_started(b"i-1", is_first=True, now=0.0)
                self.owner.condition = Condition.SERVING
                self.open()
                self.owner.tick(now=299.0)
                query = OwnershipQuery(
                    question=1, service="maps", flows=(packet().flow,)
                )
                reply = self.owner.query_reply(query, now=299.0)
                self.assertEqual(bool(reply.held), owned)

    def test_reply_for_open_flow(self) -> None:
        """A balancer that requests a reply gets one that the flow is owned."""
        self.open()
        actions = self.forward(packet(size=10), sender=OTHER_BALANCER, wants_reply=True)
        self.assertEqual(delivered(actions), 1)
        self.assertEqual([f.is_open for f in frames(actions, FlowOwned)], [True])
        self.assertEqual(frames(self.forward(packet(size=10)), FlowOwned), [])

    def test_unknown_flow_is_not_owned(self) -> None:
        """An agent that knows all flows of its target reports others as not owned."""
        actions = self.forward(packet(size=10))
        self.assertEqual(len(frames(actions, FlowNotOwned)), 1)
        self.assertEqual(delivered(actions), 0)
        self.assertTrue(frames(actions, FlowNotOwned)[0].payload)
        asked = self.forward(packet(size=10), wants_reply=True)
        self.assertEqual(frames(asked, FlowNotOwned)[0].payload, b"")

    def test_end_of_a_target_that_only_answered_a_syn(self) -> None:
        """A flow that may have opened at another target is not reset."""
        self.forward(packet(syn=True))
        self.owner.from_target(answer(syn=True), now=1.0)
        self.assertEqual(self.owner.target_ended(now=2.0), [])

    def test_new_instance(self) -> None:
        """When a new instance starts, the callers of open flows are reset at once."""
        self.open()
        actions = self.owner.instance_started(b"i-2", is_first=True, now=2.0)
        self.assertEqual(kinds(actions), [ResetFlow])
        self.assertEqual(actions[0].acknowledged, TARGET_SEQUENCE + 1)
        denied = self.forward(packet(size=10))
        self.assertEqual(len(frames(denied, FlowNotOwned)), 1)


class RestartedAgentTests(OwnerCase):
    """An agent that has started beside a running target."""

    def setUp(self) -> None:
        self.owner = restarted()

    def test_target_answers(self) -> None:
        """A flow that the target answers on is owned."""
        self.assertEqual(delivered(self.forward(packet(size=10))), 1)
        actions = self.owner.from_target(answer(size=10), now=1.1)
        self.assertEqual([f.is_open for f in frames(actions, FlowOwned)], [True])

    def test_target_returns_probe(self) -> None:
        """A probe that the target returns is reported to its sender as not owned."""
        sent = packet(size=10)
        self.forward(sent, sender=OTHER_BALANCER)
        back = packet(size=10, returned=True)
        actions = self.owner.from_target(back, now=1.1)
        self.assertEqual([a.endpoint for a in actions], [OTHER_BALANCER])
        self.assertEqual(len(frames(actions, FlowNotOwned)), 1)

    def test_target_resets_a_flow_of_another(self) -> None:
        """A reset for a flow that another target may own is not forwarded."""
        self.forward(packet(size=10))
        actions = self.owner.from_target(answer(reset=True), now=1.1)
        self.assertNotIn(ToCallerPacket, kinds(actions))
        self.assertEqual(len(frames(actions, FlowNotOwned)), 1)

    def test_another_service_is_not_probed(self) -> None:
        """A packet of another service is not probed."""
        actions = self.forward(packet(size=10), service="logs")
        self.assertEqual(delivered(actions), 0)

    def test_address_that_the_target_serves(self) -> None:
        """Without a configuration, the target's own packets show what it serves."""
        self.assertEqual(delivered(self.forward(packet(size=10), service="*")), 0)
        self.owner.from_target(answer(7, size=10), now=1.0)
        self.assertEqual(delivered(self.forward(packet(size=10), service="*")), 1)

    def test_relay(self) -> None:
        """Other agents get the packet and the balancer to reply to."""
        others = (("10.2.0.2", 7720), ("10.2.0.3", 7720))
        frame = RelayPacket(service="maps", payload=packet().raw, endpoints=others)
        actions = self.owner.relay(frame, balancer=BALANCER)
        self.assertEqual(tuple(a.endpoint for a in actions), others)
        self.assertEqual({a.frame.reply_to for a in actions}, {BALANCER})
        self.assertTrue(all(a.frame.wants_reply for a in actions))

    def test_query(self) -> None:
        """An agent reports the flows it owns, and whether the answer is conclusive."""
        self.owner.from_target(answer(7, size=10), now=1.0)
        flows = (packet(7).flow, packet(8).flow)
        reply = self.owner.query_reply(
            OwnershipQuery(question=4, service="maps", flows=flows), now=1.0
        )
        self.assertEqual((reply.question, reply.held), (4, flows[:1]))
        self.assertFalse(reply.is_conclusive)
        other = self.owner.query_reply(
            OwnershipQuery(question=5, service="logs", flows=flows), now=1.0
        )
        self.assertTrue(other.is_conclusive)
        sure = owner().query_reply(
            OwnershipQuery(question=6, service="maps", flows=flows), now=1.0
        )
        self.assertEqual((sure.held, sure.is_conclusive), ((), True))

    def test_query_before_first_heartbeat(self) -> None:
        """A query waits for the target's first heartbeat, but not for long."""
        question = OwnershipQuery(question=8, service="maps", flows=(packet().flow,))
        agent = PacketFlowOwner(
            name="m", service="maps", slots=2, connections=9, log=LOG
        )
        self.assertEqual(agent.handle_query(question, sender=BALANCER, now=1.0), [])
        self.assertEqual(agent.reply_to_pending_queries(now=1.2), [])
        late = agent.reply_to_pending_queries(now=1.3)
        self.assertEqual(frames(late, OwnershipReply)[0].run_ms, None)
        self.assertEqual(agent.handle_query(question, sender=BALANCER, now=1.4), [])
        agent.instance_started(b"i-1", is_first=False, is_young=True, now=1.5)
        soon = agent.reply_to_pending_queries(now=1.5)
        self.assertEqual(frames(soon, OwnershipReply)[0].run_ms, 0)
        self.assertEqual(agent.reply_to_pending_queries(now=9.0), [])

    def test_age_of_instance(self) -> None:
        """An instance that had just started when first seen has a known age."""
        question = OwnershipQuery(question=7, service="maps", flows=(packet().flow,))
        self.assertIsNone(self.owner.query_reply(question, now=3.0).run_ms)
        young = owner(is_first=False)
        young.instance_started(b"i-9", is_first=False, now=2.0)
        self.assertEqual(young.query_reply(question, now=3.0).run_ms, 1000)
        early = PacketFlowOwner(
            name="m", service="maps", slots=2, connections=9, log=LOG
        )
        early.instance_started(b"i-1", is_first=False, is_young=True, now=2.5)
        reply = early.query_reply(question, now=3.0)
        self.assertEqual((reply.run_ms, reply.is_conclusive), (500, False))

    def test_query_for_opening_flow(self) -> None:
        """A flow is owned once its SYN is answered.

        The packet that opens it may come through another balancer.
        """
        agent = owner()
        self.owner = agent
        self.forward(packet(syn=True))
        flows = (packet().flow,)
        question = OwnershipQuery(question=1, service="maps", flows=flows)
        self.assertEqual(agent.query_reply(question, now=1.0).held, ())
        agent.from_target(answer(syn=True), now=1.0)
        self.assertEqual(agent.query_reply(question, now=1.0).held, flows)


class AbsentTargetTests(unittest.TestCase):
    """An agent on a VM whose target had left before the VM started again."""

    def setUp(self) -> None:
        self.owner = PacketFlowOwner(
            name="m", service="maps", slots=2, connections=9, log=LOG
        )
        self.owner.note_no_listener(now=1.0)

    def answer(self, *, now: float) -> OwnershipReply:
        question = OwnershipQuery(question=1, service="maps", flows=(packet().flow,))
        return self.owner.query_reply(question, now=now)

    def test_reports_absence(self) -> None:
        """Its replies are inconclusive at first, and report that nothing listens."""
        answered = self.answer(now=1.3)
        self.assertTrue(answered.is_absent)
        self.assertFalse(answered.is_conclusive)

    def test_conclusive_after_a_while(self) -> None:
        """After `ABSENT_SECONDS` a target that was leaving has certainly ended."""
        self.owner.note_no_listener(now=1.0 + ABSENT_SECONDS)
        self.assertTrue(self.answer(now=1.0 + ABSENT_SECONDS).is_conclusive)
        question = OwnershipQuery(question=1, service="maps", flows=(packet().flow,))
        answered = self.owner.handle_query(question, sender=BALANCER, now=9.0)
        self.assertEqual(len(frames(answered, OwnershipReply)), 1)

    def test_target_that_appears(self) -> None:
        """A target that sends a heartbeat after all may be older than its agent."""
        self.owner.instance_started(b"i-1", is_first=False, now=1.5)
        self.owner.condition = Condition.SERVING
        self.owner.note_no_listener(now=9.0)
        answered = self.answer(now=9.0)
        self.assertFalse(answered.is_absent)
        self.assertFalse(answered.is_conclusive)


class LoadTests(OwnerCase):
    """The agent's count of requests in flight."""

    def test_request_and_answer(self) -> None:
        """A request counts from its first packet to the first packet of its answer."""
        self.open()
        self.owner.tick(now=2.0)
        self.assertEqual(self.owner.busy, 0)
        self.forward(packet(size=10), now=2.0)
        self.assertEqual(self.owner.busy, 1)
        self.owner.from_target(answer(size=10), now=2.05)
        self.assertEqual(self.owner.busy, 0)
        self.assertEqual(self.owner.load(now=2.1).service_ms, 50)

    def test_service_time_without_wait(self) -> None:
        """The wait of a request that found all slots taken is not service time."""
        for number in (1, 2, 3):
            self.open(number)
            self.forward(packet(number, size=10), now=2.0)
        for number, seconds in ((1, 2.05), (2, 2.05), (3, 2.4)):
            self.owner.from_target(answer(number, size=10), now=seconds)
        self.assertEqual(self.owner.load(now=2.5).service_ms, 50)

    def test_retransmission_after_the_answer(self) -> None:
        """A late retransmission of an answered request doesn't count as another."""
        self.open()
        self.forward(packet(size=10), now=2.0)
        self.owner.from_target(answer(size=10), now=2.05)
        self.forward(packet(size=10), now=2.2)
        self.assertEqual(self.owner.busy, 0)
        self.forward(packet(size=10, sequence=1_010), now=2.3)
        self.assertEqual(self.owner.busy, 1)

    def test_fin_overtakes_request(self) -> None:
        """No slot is kept for a caller whose FIN overtakes its request.

        The target closes without a run, so no answer would free the slot.
        """
        self.open()
        self.forward(packet(fin=True, sequence=1_010), now=1.01)
        self.forward(packet(size=10), now=1.01)
        self.assertEqual(self.owner.busy, 0)
        self.owner.from_target(answer(fin=True), now=1.02)
        self.assertEqual(self.owner.load(now=1.1).failed_percent, 0)

    def test_target_closes_without_an_answer(self) -> None:
        """A request that the target closes without an answer frees its slot."""
        self.open()
        self.forward(packet(size=10), now=1.01)
        self.assertEqual(self.owner.busy, 1)
        self.owner.from_target(answer(fin=True), now=1.02)
        self.assertEqual(self.owner.busy, 0)

    def test_fin_overtakes_answer(self) -> None:
        """A target's FIN that overtakes its answer is not a failure."""
        self.open()
        self.forward(packet(size=10), now=1.0)
        end = answer(fin=True, sequence=TARGET_SEQUENCE + 2_001)
        self.owner.from_target(end, now=1.05)
        self.assertEqual(self.owner.busy, 1)
        self.owner.from_target(answer(size=1_200), now=1.05)
        load = self.owner.load(now=1.1)
        self.assertEqual((load.failed_percent, load.service_ms), (0, 50))

    def test_opened_elsewhere(self) -> None:
        """A slot is not kept for long for a flow that doesn't open here."""
        self.forward(packet(syn=True), now=1.0)
        self.assertEqual(self.owner.busy, 1)
        self.owner.tick(now=1.2)
        self.assertEqual(self.owner.busy, 0)

    def test_reports_to_placing_balancers(self) -> None:
        """Balancers that send SYNs get a report of each change of load once."""
        self.open()
        self.forward(packet(syn=True, number=2), sender=OTHER_BALANCER)
        reports = self.owner.load_reports(now=1.1)
        self.assertEqual({n.endpoint for n in reports}, {BALANCER, OTHER_BALANCER})
        self.assertEqual(
            [f.load.in_flight for f in frames(reports, LoadUpdate)], [2, 2]
        )
        self.assertEqual(self.owner.load_reports(now=1.2), [])

    def test_counts_return_to_zero(self) -> None:
        """When all flows have ended, nothing counts as busy or open."""
        for number in range(20):
            self.open(number, now=1.0)
            self.forward(packet(number, size=10, fin=number % 2 == 0), now=1.0)
            if number % 3 == 0:
                self.owner.from_target(answer(number, size=5, fin=True), now=1.0)
            if number % 5 == 0:
                self.forward(packet(number, reset=True), now=1.0)
        self.owner.tick(now=100.0)
        load = self.owner.load(now=100.0)
        self.assertEqual((load.in_flight, load.flows, self.owner.flows), (0, 0, 0))
