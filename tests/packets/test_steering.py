"""Steering decisions on flows without a token."""

import unittest
from unittest import mock

from monsoonpier.balancer.actions import FetchTable
from monsoonpier.balancer.membership import Membership
from monsoonpier.model.address import Address
from monsoonpier.model.keys import Key, KeyRing
from monsoonpier.model.service import Configuration
from monsoonpier.model.target import Condition
from monsoonpier.wire.frames import (
    MAX_FRAME_BYTES,
    FlowNotOwned,
    FlowOwned,
    ForwardPacket,
    FrameCodec,
    LoadUpdate,
    OwnershipQuery,
    OwnershipReply,
    RelayPacket,
    SynRejected,
)
from tests.packets.rig import (
    CONVERGED,
    OWN,
    SteeringRig,
    load,
    packet,
    record,
    replace,
    resets,
)

OTHER_ADDRESS = Address(ip="198.18.0.9", port=1)


def owned(agent: str, sent, *, is_open: bool = True) -> FlowOwned:
    return FlowOwned(flow=sent.flow, agent=agent, load=load(number=9), is_open=is_open)


def denied(agent: str, sent) -> FlowNotOwned:
    return FlowNotOwned(agent=agent, flow=sent.flow, payload=sent.raw)


def rejected(agent: str, sent, **fields) -> SynRejected:
    more = {"tried": (agent,), "reason": "busy", "load": load(number=9)} | fields
    return SynRejected(agent=agent, payload=sent.raw, **more)


class NewFlowTests(unittest.TestCase):
    """SYNs and their retransmissions."""

    def setUp(self) -> None:
        self.rig = SteeringRig(targets=3)

    def test_retransmission_goes_to_same_target(self) -> None:
        """A retransmitted SYN is not placed again."""
        first = self.rig.names(self.rig.caller(packet(syn=True)))
        self.rig.agent(owned(first[0], packet(), is_open=False))
        copies = [self.rig.caller(packet(syn=True), now=100.2 + n) for n in range(3)]
        self.assertEqual([self.rig.names(c) for c in copies], [first] * 3)

    def test_rejected_syn_is_placed_again(self) -> None:
        """A SYN that an agent rejects is sent to another target at once."""
        first = self.rig.names(self.rig.caller(packet(syn=True)))
        actions = self.rig.agent(rejected(first[0], packet(syn=True)), packet(syn=True))
        self.assertNotEqual(self.rig.names(actions), first)
        self.assertEqual(len(self.rig.names(actions)), 1)

    def test_rejected_by_all_targets(self) -> None:
        """A SYN that all targets reject is queued, then placed on a free slot."""
        actions = self.rig.caller(packet(syn=True))
        while self.rig.names(actions):
            name = self.rig.names(actions)[0]
            full = load(number=9, in_flight=3)
            frame = rejected(name, packet(syn=True), load=full)
            actions = self.rig.agent(frame, packet(syn=True))
        self.assertEqual(actions, [])
        freed = LoadUpdate(load=load(number=10, in_flight=1))
        self.assertEqual(self.rig.names(self.rig.agent(freed)), ["maps-2"])

    def test_retransmission_of_queued_syn(self) -> None:
        """A retransmission of a queued SYN changes nothing."""
        for number in (1, 2, 3):
            self.rig.report(f"maps-{number}", now=CONVERGED, in_flight=3)
        for seconds in (0.0, 0.2, 0.3):
            now = CONVERGED + seconds
            self.assertEqual(self.rig.caller(packet(syn=True), now=now), [])

    def test_route_removed_while_queued(self) -> None:
        """A queued SYN whose route is removed is reset at once."""
        for number in (1, 2, 3):
            self.rig.report(f"maps-{number}", now=CONVERGED, in_flight=3)
        self.rig.caller(packet(syn=True))
        self.rig.membership.configure(Configuration(version=2))
        self.rig.steering.configured()
        self.rig.report("maps-1", now=100.1, in_flight=0)
        actions = self.rig.steering.retry(now=100.1, draw=self.rig.draw)
        self.assertEqual(resets(actions), ["no route"])

    def test_reset_before_caller_gives_up(self) -> None:
        """A queued SYN that gets no slot is reset before its caller gives up."""
        for number in (1, 2, 3):
            self.rig.report(f"maps-{number}", now=CONVERGED, in_flight=3)
        self.rig.caller(packet(syn=True))
        for number in (1, 2, 3):
            self.rig.report(f"maps-{number}", now=101.0, in_flight=3)
        self.assertEqual(self.rig.steering.retry(now=101.2, draw=self.rig.draw), [])
        late = self.rig.steering.retry(now=101.31, draw=self.rig.draw)
        self.assertEqual(resets(late), ["no slot came free"])

    def test_rejected_behind_long_queue(self) -> None:
        """A SYN that can't be served in time is reset at once."""
        for number in (1, 2, 3):
            self.rig.report(f"maps-{number}", now=CONVERGED, in_flight=3)
        reasons = [
            reason
            for number in range(500)
            for reason in resets(self.rig.caller(packet(number, syn=True)))
        ]
        self.assertEqual(set(reasons), {"would be late"})
        # Six slots of 50 ms serve 156 flows in 1.3 s, less one.
        self.assertEqual(len(reasons), 500 - 155)

    def test_nobody_refused_while_targets_are_not_known_yet(self) -> None:
        """No SYN is rejected until all targets are likely to be known."""
        self.rig.report("maps-1", now=0.5, in_flight=3)
        for n in (2, 3):
            gone = record(f"maps-{n}", host=n, epoch=2, condition=Condition.GONE)
            self.rig.learn(gone)
        for number in range(500):
            sent = packet(number, syn=True)
            self.assertEqual(resets(self.rig.caller(sent, now=0.5)), [])

    def test_wait_counts_from_first_syn(self) -> None:
        """The wait counts from the first SYN, even if another balancer got that."""
        for number in (1, 2, 3):
            self.rig.report(f"maps-{number}", now=CONVERGED, in_flight=3)
        self.rig.caller(replace(packet(syn=True), waited=0.6))
        self.assertTrue(self.rig.steering.is_waiting)
        self.rig.steering.retry(now=100.71, draw=self.rig.draw)
        self.assertFalse(self.rig.steering.is_waiting)

    def test_refused_copy_is_not_reset(self) -> None:
        """A rejected retransmission is not reset, as the first SYN may be queued."""
        for number in (1, 2, 3):
            self.rig.report(f"maps-{number}", now=CONVERGED, in_flight=3)
        copy = replace(packet(syn=True), waited=0.6)
        actions = self.rig.caller(copy)
        actions += self.rig.steering.retry(now=100.71, draw=self.rig.draw)
        self.assertEqual(resets(actions), [])

    def test_no_target_serves(self) -> None:
        """A converged balancer whose targets all leave rejects SYNs at once."""
        for n in (1, 2, 3):
            leaving = record(f"maps-{n}", host=n, epoch=2, condition=Condition.LEAVING)
            self.rig.learn(leaving)
        reasons = resets(self.rig.caller(packet(syn=True)))
        self.assertEqual(reasons, ["no target serves"])

    def test_unanswered_syn_is_hedged(self) -> None:
        """An unanswered SYN is hedged before its caller retransmits it."""
        first = self.rig.names(self.rig.caller(packet(syn=True)))
        actions = self.rig.steering.retry(now=100.1, draw=self.rig.draw)
        self.assertEqual(len(self.rig.names(actions)), 1)
        self.assertNotEqual(self.rig.names(actions), first)

    def test_leaving_targets_get_no_flow(self) -> None:
        """Targets that are leaving or have ended get no new flow."""
        self.rig.learn(record("maps-1", host=1, epoch=2, condition=Condition.LEAVING))
        self.rig.learn(record("maps-2", host=2, epoch=2, condition=Condition.GONE))
        for number in range(20):
            names = self.rig.names(self.rig.caller(packet(number, syn=True)))
            self.assertEqual(names, ["maps-3"])
            self.rig.agent(owned("maps-3", packet(number), is_open=False))

    def test_no_route(self) -> None:
        """A flow to an address without a route is reset at once."""
        self.rig.configure(version=2)
        other = packet(syn=True, address=OTHER_ADDRESS)
        self.assertEqual(resets(self.rig.caller(other)), ["no route"])

    def test_no_targets_known_yet(self) -> None:
        """Without known targets a new balancer waits; a converged one resets."""
        rig = SteeringRig(targets=0)
        self.assertEqual(rig.caller(packet(syn=True), now=0.5), [])
        rig.steering.retry(now=2.0, draw=rig.draw)
        self.assertEqual(resets(rig.caller(packet(syn=True))), ["no target serves"])


class UnknownFlowTests(unittest.TestCase):
    """Packets of flows that are not in the balancer's flow table."""

    def setUp(self) -> None:
        self.rig = SteeringRig(targets=3)

    def test_queries_all_and_records_the_owner(self) -> None:
        """All agents of the service are queried; later packets go to the owner."""
        actions = self.rig.caller(packet())
        self.assertEqual(self.rig.names(actions), ["maps-1", "maps-2", "maps-3"])
        self.rig.agent(owned("maps-2", packet()))
        self.assertEqual(self.rig.names(self.rig.caller(packet())), ["maps-2"])

    def _answers(self, *, held=(), sure: bool = True, name="maps-1", now=CONVERGED):
        frame = OwnershipReply(question=1, agent=name, held=held, is_conclusive=sure)
        return self.rig.agent(frame, now=now)

    def test_reply_covers_many_flows(self) -> None:
        """One reply confirms owned flows; the others need replies of all agents."""
        self.rig.caller(packet(1), now=CONVERGED)
        for number in (2, 3):
            self.assertEqual(self.rig.caller(packet(number), now=100.001), [])
        actions = self.rig.steering.retry(now=100.03, draw=self.rig.draw)
        queried = [
            a.frame.flows for a in actions if isinstance(a.frame, OwnershipQuery)
        ]
        flows = (packet(2).flow, packet(3).flow)
        self.assertEqual(queried, [flows] * 3)
        held = OwnershipReply(
            question=2, agent="maps-1", held=flows[:1], is_conclusive=True
        )
        self.assertEqual(self.rig.names(self.rig.agent(held)), ["maps-1"])
        for name in ("maps-2", "maps-3"):
            none = OwnershipReply(question=2, agent=name, held=(), is_conclusive=True)
            actions = self.rig.agent(none)
        self.assertEqual(resets(actions), ["nobody holds the flow"])

    def test_reply_to_query_before_restart(self) -> None:
        """A reply to a query from before a restart is ignored."""
        rig = SteeringRig(targets=1, started_at=50.0)
        rig.caller(packet())
        old = OwnershipReply(question=1, agent="maps-1", held=(), is_conclusive=True)
        self.assertEqual(rig.agent(old), [])

    def test_inconclusive_agent_is_probed(self) -> None:
        """An agent with an inconclusive reply gets the probe."""
        self.rig.caller(packet(size=10))
        for name in ("maps-2", "maps-3"):
            self.assertEqual(self._answers(name=name), [])
        actions = self._answers(sure=False)
        self.assertEqual(self.rig.names(actions), ["maps-1"])
        self.assertTrue(actions[0].frame.wants_reply)
        self.assertEqual(self.rig.agent(owned("maps-1", packet())), [])

    def test_probe_interval(self) -> None:
        """An agent that is queried again is not probed again at once."""
        self.rig.caller(packet(size=10))
        self.assertEqual(self.rig.names(self._answers(sure=False)), ["maps-1"])
        self.rig.caller(packet(size=10), now=100.2)
        self.assertEqual(self._answers(sure=False, now=100.21), [])
        later = self._answers(sure=False, now=100.6)
        self.assertEqual(self.rig.names(later), ["maps-1"])

    def test_many_agents_that_cannot_know(self) -> None:
        """After the first two probes one agent relays the probe to the others."""
        rig = SteeringRig(targets=8)
        rig.caller(packet(size=10))
        actions: list = []
        for number in range(1, 9):
            reply = OwnershipReply(
                question=1,
                agent=f"maps-{number}",
                held=(),
                is_conclusive=False,
                run_ms=None,
            )
            actions += rig.agent(reply)
        self.assertEqual(rig.names(actions), ["maps-1", "maps-2"])
        collected = rig.steering.retry(now=100.02, draw=rig.draw)
        self.assertEqual([type(a.frame) for a in collected], [RelayPacket])
        reached = {collected[0].endpoint, *collected[0].frame.endpoints}
        self.assertEqual(reached, {(f"10.2.0.{n}", 7720) for n in range(3, 9)})
        self.assertEqual(rig.steering.retry(now=100.04, draw=rig.draw), [])

    def test_more_agents_than_a_frame_names(self) -> None:
        """All agents are probed, and no frame names more than the limit."""
        rig = SteeringRig(targets=60)
        rig.caller(replace(packet(), raw=bytes(1_231)))
        for number in range(1, 61):
            reply = OwnershipReply(
                question=1,
                agent=f"maps-{number}",
                held=(),
                is_conclusive=False,
                run_ms=None,
            )
            rig.agent(reply)
        collected = rig.steering.retry(now=100.02, draw=rig.draw)
        reached = {a.endpoint for a in collected}
        reached.update(place for a in collected for place in a.frame.endpoints)
        self.assertEqual(len(reached), 58)
        codec = FrameCodec(keys=KeyRing(keys=(Key(id=1, secret=b"k" * 32),)))
        for action in collected:
            self.assertLessEqual(len(codec.encode(action.frame)), MAX_FRAME_BYTES)

    def test_smallest_packet_is_probe(self) -> None:
        """The probe is the smallest packet that an owner must answer."""
        for size in (0, 1_000, 10, 900):
            self.rig.caller(packet(size=size))
        actions = self._answers(sure=False)
        self.assertEqual(len(actions[0].frame.payload), 12 + 10)

    def test_acknowledgement_is_a_poor_probe(self) -> None:
        """A packet that has to be answered is tried in place of a bare one, at once.

        Targets don't answer the bare one, so that the flow would be stuck.
        """
        self.rig.caller(packet())
        bare = self._answers(sure=False)
        self.assertEqual([len(a.frame.payload) for a in bare], [12])
        self.rig.caller(packet(size=10), now=100.11)
        actions = self._answers(sure=False, now=100.12)
        self.assertEqual([len(a.frame.payload) for a in actions], [12 + 10])

    def test_reset_when_all_deny(self) -> None:
        """The caller is reset if, and only if, all agents have denied the flow."""
        self.rig.caller(packet())
        for name in ("maps-1", "maps-2"):
            self.assertEqual(self.rig.agent(denied(name, packet()), packet()), [])
        last = self.rig.agent(denied("maps-3", packet()), packet())
        self.assertEqual(resets(last), ["nobody holds the flow"])

    def test_no_reset_while_one_does_not_reply(self) -> None:
        """No flow is reset while one agent doesn't reply."""
        for n in range(50):
            now = CONVERGED + n / 10
            actions = self.rig.caller(packet(), now=now)
            for name in ("maps-1", "maps-3"):
                actions += self.rig.agent(denied(name, packet()), packet(), now=now)
            self.assertEqual(resets(actions), [])

    def _deny_all(self, *, now: float) -> list:
        actions = self.rig.caller(packet(), now=now)
        # With a peer the directory is queried first, which doesn't reply.
        actions += self.rig.steering.retry(now=now + 0.04, draw=self.rig.draw)
        for name in ("maps-1", "maps-2", "maps-3"):
            actions += self.rig.agent(denied(name, packet()), packet(), now=now)
        return resets(actions)

    def test_no_reset_before_all_may_be_known(self) -> None:
        """A new balancer doesn't reset a flow, as it may not know all agents."""
        self.assertEqual(self._deny_all(now=3.0), [])

    def test_reset_soon_after_agreeing_with_a_peer(self) -> None:
        """Agreement with a peer shortens the wait for unknown agents."""
        self.rig.membership.has_agreed = True
        self.assertEqual(self._deny_all(now=0.5), [])
        self.assertEqual(self.rig.steering.retry(now=0.9, draw=self.rig.draw), [])
        actions = self.rig.steering.retry(now=1.1, draw=self.rig.draw)
        self.assertEqual(resets(actions), ["nobody holds the flow"])

    def _deliver_gossip(self, peer: Membership, *, now: float) -> list:
        """Deliver a peer's gossip."""
        sent = peer.extra_gossip(OWN.endpoint, now=now, draw=self.rig.draw)
        sender = peer.peers.own.endpoint
        return self.rig.membership.from_process(
            sent.frame, sender=sender, now=now, draw=self.rig.draw
        )

    def _peer(self, *, targets: int, started_at: float) -> Membership:
        own = replace(OWN, name="lb-2", ip="10.1.0.2")
        peer = Membership(own=own, started_at=started_at)
        for number in range(1, targets + 1):
            peer.table.learn(record(f"maps-{number}", host=number), now=started_at)
        return peer

    def test_two_that_know_little_agree(self) -> None:
        """Two new balancers don't take each other for converged."""
        self._deliver_gossip(self._peer(targets=3, started_at=0.1), now=0.3)
        self.assertEqual(self._deny_all(now=1.2), [])
        self.assertEqual(self.rig.steering.retry(now=3.9, draw=self.rig.draw), [])

    def test_a_settled_peer_agrees(self) -> None:
        """Agreement with a converged peer is enough."""
        self._deliver_gossip(self._peer(targets=3, started_at=-9.0), now=0.3)
        self.assertEqual(self._deny_all(now=1.2), ["nobody holds the flow"])

    def test_fetches_table_of_converged_peer(self) -> None:
        """A new balancer fetches a converged peer's table at once."""
        for started_at, fetched in ((0.1, 0), (-9.0, 1)):
            with self.subTest(started_at=started_at):
                self.rig = SteeringRig(targets=1)
                actions = self._deliver_gossip(
                    self._peer(targets=3, started_at=started_at), now=0.3
                )
                found = sum(isinstance(a, FetchTable) for a in actions)
                self.assertEqual(found, fetched)
                self.assertFalse(self.rig.membership.has_agreed)

    def test_no_reset_without_configuration(self) -> None:
        """A balancer without a configuration resets no flow."""
        rig = SteeringRig(version=0)
        for syn in (False, True):
            self.assertEqual(resets(rig.caller(packet(syn=syn))), [])

    def test_no_reset_of_open_flows_by_an_older_configuration(self) -> None:
        """A flow may be open on a route that this balancer has not received yet."""
        sent = packet(address=OTHER_ADDRESS)
        self.assertEqual(resets(self.rig.caller(sent)), [])

    def test_no_reset_soon_after_agents_were_killed_too(self) -> None:
        """Flows are not reset while the agent of a running target may be restarting."""
        self.rig.membership.has_agreed = True
        self.rig.caller(packet(size=10), now=0.9)
        self._answers(sure=False, now=1.0)
        actions = []
        for name in ("maps-1", "maps-2", "maps-3"):
            sent = packet(size=10)
            actions += self.rig.agent(denied(name, sent), sent, now=1.1)
        actions += self.rig.steering.retry(now=3.9, draw=self.rig.draw)
        self.assertEqual(resets(actions), [])
        late = self.rig.steering.retry(now=4.1, draw=self.rig.draw)
        self.assertEqual(resets(late), ["nobody holds the flow"])

    def test_many_early_denials_cost_little(self) -> None:
        """Early denials are rechecked once per service, not once per flow."""
        for number in range(1, 200):
            self.rig.caller(packet(number), now=0.5 + number / 1000)
            for name in ("maps-1", "maps-2", "maps-3"):
                sent = packet(number)
                self.rig.agent(denied(name, sent), sent, now=0.75)
        self.rig.steering.retry(now=0.8, draw=self.rig.draw)
        context = self.rig.steering._context
        with mock.patch.object(
            context, "knows_all_owners_of", wraps=context.knows_all_owners_of
        ) as check:
            self.rig.steering.retry(now=1.0, draw=self.rig.draw)
        self.assertLessEqual(check.call_count, 2)
        late = self.rig.steering.retry(now=4.2, draw=self.rig.draw)
        self.assertEqual(len(resets(late)), 199)

    def test_agents_inconclusive_at_first(self) -> None:
        """Reports that all targets have just started end the wait for other agents."""
        self.rig.membership.has_agreed = True
        self.rig.caller(packet(size=10), now=0.1)
        self._answers(sure=False, now=0.1)
        for name in ("maps-1", "maps-2", "maps-3"):
            sent = packet(size=10)
            self.rig.agent(denied(name, sent), sent, now=0.2)
        self.rig.caller(packet(9), now=0.25)
        for name in ("maps-1", "maps-2", "maps-3"):
            reply = OwnershipReply(
                question=2, agent=name, held=(), is_conclusive=True, run_ms=200
            )
            self.rig.agent(reply, now=0.26)
        self.assertEqual(self.rig.steering.retry(now=0.28, draw=self.rig.draw), [])
        actions = self.rig.steering.retry(now=0.39, draw=self.rig.draw)
        self.assertEqual(resets(actions), ["nobody holds the flow"] * 2)

    def _queries_in(self, rig: SteeringRig, *, since: float, until: float) -> list:
        """Return which agents the balancer queries by itself, and when."""
        queried = []
        for step in range(round((until - since) * 100)):
            now = since + step / 100
            actions = rig.steering.retry(now=now, draw=rig.draw)
            frames = [a for a in actions if isinstance(a.frame, OwnershipQuery)]
            queried += [(round(now, 2), name) for name in rig.names(frames)]
        return queried

    def test_lost_answer_is_asked_for_again(self) -> None:
        """An agent that hasn't replied is queried again without a caller's packet."""
        self.rig.caller(packet())
        for name in ("maps-1", "maps-3"):
            self.rig.agent(denied(name, packet()), packet())
        queried = self._queries_in(self.rig, since=CONVERGED, until=CONVERGED + 0.25)
        self.assertEqual([name for _, name in queried], ["maps-2"])
        actions = self.rig.agent(denied("maps-2", packet()), packet(), now=100.51)
        self.assertEqual(resets(actions), ["nobody holds the flow"])

    def test_unresponsive_agent_beside_ended_one(self) -> None:
        """The denial of an agent that has ended doesn't stand in for a missing one."""
        self.rig.caller(packet())
        for name in ("maps-1", "maps-3"):
            self.rig.agent(denied(name, packet()), packet())
        gone = record("maps-3", host=3, change=1, condition=Condition.GONE)
        self.rig.membership.table.learn(gone, now=CONVERGED)
        actions = self.rig.agent(denied("maps-1", packet()), packet(), now=100.1)
        actions += self.rig.caller(packet(), now=100.4)
        self.assertEqual(resets(actions), [])

    def test_agent_that_becomes_known_is_asked(self) -> None:
        """Agents that become known during a lookup are queried too."""
        self.rig.caller(packet())
        for name in ("maps-1", "maps-2", "maps-3"):
            if name == "maps-3":
                self.rig.learn(record("maps-4", host=4))
            actions = self.rig.agent(denied(name, packet()), packet())
            self.assertEqual(resets(actions), [])
        queried = self._queries_in(self.rig, since=CONVERGED, until=CONVERGED + 0.25)
        self.assertEqual([name for _, name in queried], ["maps-4"])

    def test_silent_agent_is_asked_a_few_times(self) -> None:
        """An agent that doesn't reply is queried a few times; its flow is not reset."""
        self.rig.caller(packet())
        actions = []
        for name in ("maps-1", "maps-3"):
            actions += self.rig.agent(denied(name, packet()), packet())
        queried = self._queries_in(self.rig, since=CONVERGED, until=CONVERGED + 30)
        self.assertEqual({name for _, name in queried}, {"maps-2"})
        self.assertEqual(len(queried), 5)
        self.assertFalse(self.rig.steering.is_waiting)
        self.assertEqual(resets(actions), [])

    def _power_returned(self, rig: SteeringRig, *, run_ms: int) -> list:
        rig.membership.has_agreed = True
        rig.caller(packet(), now=100.4)
        actions: list = []
        for name in ("maps-1", "maps-2", "maps-3"):
            reply = OwnershipReply(
                question=100_000_001,
                agent=name,
                held=(),
                is_conclusive=True,
                run_ms=run_ms,
            )
            actions += rig.agent(reply, now=100.41)
        return resets(actions)

    def test_power_was_lost_everywhere(self) -> None:
        """If all targets started with the balancer, dead flows are reset at once."""
        rig = SteeringRig(targets=3, started_at=CONVERGED)
        answered = self._power_returned(rig, run_ms=300)
        self.assertEqual(answered, ["nobody holds the flow"])

    def test_targets_are_older_than_the_balancer(self) -> None:
        """If targets are older than the balancer, another one may be unknown."""
        rig = SteeringRig(targets=3, started_at=CONVERGED)
        self.assertEqual(self._power_returned(rig, run_ms=30_000), [])

    def _return_probes(self, rig: SteeringRig, names, *, now: float) -> list:
        """Let targets return the probe of a flow that they don't own."""
        returned = [FlowNotOwned(agent=name, flow=packet().flow) for name in names]
        return [a for frame in returned for a in rig.agent(frame, now=now)]

    def test_inconclusive_agents_after_power_loss(self) -> None:
        """Targets that have just started are probed once, and their word is final.

        The caller is told with the last returned probe; few bytes are sent for it.
        """
        rig = SteeringRig(targets=12, started_at=CONVERGED)
        rig.membership.has_agreed = True
        rig.caller(packet(), now=100.4)
        names = [f"maps-{number}" for number in range(1, 13)]
        sent: list = []
        for name in names:
            reply = self._inconclusive_reply(name, run_ms=300)
            sent += rig.agent(reply, now=100.41)
        sent += rig.steering.retry(now=100.43, draw=rig.draw)
        self.assertEqual(rig.reached(sent), rig.known_endpoints)
        codec = FrameCodec(keys=KeyRing(keys=(Key(id=1, secret=b"k" * 32),)))
        frame_bytes = sum(len(codec.encode(action.frame)) for action in sent)
        self.assertLessEqual(len(sent), 3)
        self.assertLess(frame_bytes, 600)
        actions = self._return_probes(rig, names[:-1], now=100.44)
        self.assertEqual(actions, [])
        last = self._return_probes(rig, names[-1:], now=100.44)
        self.assertEqual(resets(last), ["nobody holds the flow"])

    def test_agent_without_target_after_power_loss(self) -> None:
        """An agent without a target doesn't delay resets after a power loss.

        The other targets' probes decide, as soon as they are returned.
        """
        rig = SteeringRig(targets=2, started_at=CONVERGED)
        rig.learn(record("maps-3", host=3, condition=Condition.STARTING), now=100.3)
        rig.membership.has_agreed = True
        rig.caller(packet(), now=100.4)
        actions: list = []
        for name in ("maps-1", "maps-2"):
            actions += rig.agent(self._inconclusive_reply(name, run_ms=300), now=100.41)
        absent = replace(
            self._inconclusive_reply("maps-3", run_ms=None), is_absent=True
        )
        actions += rig.agent(absent, now=100.41)
        self.assertEqual(rig.names(actions), ["maps-1", "maps-2"])
        actions = self._return_probes(rig, ("maps-1", "maps-2"), now=100.42)
        self.assertEqual(resets(actions), ["nobody holds the flow"])

    def _vacant(self, *, then: float, condition: Condition) -> list:
        """Let an agent without a target report so and end; return later resets."""
        rig = SteeringRig(targets=1)
        rig.learn(record("maps-2", host=2, condition=Condition.STARTING))
        rig.caller(packet(1), now=160.0)
        reply = replace(self._inconclusive_reply("maps-2", run_ms=None), is_absent=True)
        rig.agent(reply, now=160.01)
        rig.learn(record("maps-2", host=2, change=1, condition=condition), now=160.1)
        rig.caller(packet(2), now=then)
        sure = OwnershipReply(question=0, agent="maps-1", held=(), is_conclusive=True)
        number = rig.steering._resolver._queries._last_query
        return resets(rig.agent(replace(sure, question=number), now=then + 0.01))

    def test_vacant_agent_that_has_ended(self) -> None:
        """An agent that had no target and has ended doesn't delay resets."""
        starting = Condition.STARTING
        self.assertEqual(self._vacant(then=162.0, condition=starting), [])
        later = self._vacant(then=164.0, condition=starting)
        self.assertEqual(later, ["nobody holds the flow"])

    def test_target_that_came_to_a_vacant_agent(self) -> None:
        """A target that has started since may own the flow."""
        self.assertEqual(self._vacant(then=164.0, condition=Condition.SERVING), [])

    def test_only_agents_without_a_target(self) -> None:
        """Without a report of a target a power loss is not assumed."""
        rig = SteeringRig(targets=2, started_at=CONVERGED)
        rig.membership.has_agreed = True
        rig.caller(packet(), now=100.4)
        actions: list = []
        for name in ("maps-1", "maps-2"):
            absent = replace(
                self._inconclusive_reply(name, run_ms=None), is_absent=True
            )
            actions += rig.agent(absent, now=100.41)
        actions += rig.steering.retry(now=101.5, draw=rig.draw)
        self.assertEqual(resets(actions), [])

    def test_power_returns_before_peers_agree(self) -> None:
        """Without an agreeing peer, running agents get time to send a heartbeat."""
        rig = SteeringRig(targets=3, started_at=CONVERGED)
        rig.caller(packet(), now=100.4)
        names = ("maps-1", "maps-2", "maps-3")
        for name in names:
            rig.agent(self._inconclusive_reply(name, run_ms=300), now=100.41)
        actions = self._return_probes(rig, names, now=100.45)
        actions += rig.steering.retry(now=101.1, draw=rig.draw)
        self.assertEqual(resets(actions), [])
        late = rig.steering.retry(now=101.21, draw=rig.draw)
        self.assertEqual(resets(late), ["nobody holds the flow"])

    def test_agent_that_starts_late(self) -> None:
        """While a reply is missing, targets that have just started are not probed."""
        rig = SteeringRig(targets=3, started_at=CONVERGED)
        rig.caller(packet(), now=100.4)
        for name in ("maps-1", "maps-2"):
            rig.agent(self._inconclusive_reply(name, run_ms=300), now=100.41)
        actions = rig.caller(packet(), now=100.6)
        carried = [a for a in actions if isinstance(a.frame, ForwardPacket)]
        self.assertEqual(carried, [])

    def test_one_inconclusive_agent(self) -> None:
        """A target that has just started is probed if all other agents deny."""
        rig = SteeringRig(targets=3, started_at=CONVERGED)
        rig.caller(packet(), now=100.4)
        actions = rig.agent(self._inconclusive_reply("maps-2", run_ms=300), now=100.41)
        self.assertEqual(rig.names(actions), [])
        for name in ("maps-1", "maps-3"):
            reply = OwnershipReply(
                question=100_000_001,
                agent=name,
                held=(),
                is_conclusive=True,
                run_ms=30_000,
            )
            actions = rig.agent(reply, now=100.42)
        self.assertEqual(rig.names(actions), ["maps-2"])

    def _inconclusive_reply(self, name: str, *, run_ms: int) -> OwnershipReply:
        return OwnershipReply(
            question=100_000_001,
            agent=name,
            held=(),
            is_conclusive=False,
            run_ms=run_ms,
        )

    def test_targets_younger_than_the_balancer(self) -> None:
        """An inconclusive reply about a young target leads to a probe and no denial.

        All targets may have been replaced since the balancer started.
        """
        rig = SteeringRig(targets=2, started_at=CONVERGED)
        rig.membership.has_agreed = True
        rig.caller(packet(size=10), now=160.0)
        reply = OwnershipReply(
            question=100_000_001,
            agent="maps-1",
            held=(),
            is_conclusive=True,
            run_ms=9_000,
        )
        actions = rig.agent(reply, now=160.01)
        actions += rig.agent(self._inconclusive_reply("maps-2", run_ms=900), now=160.01)
        self.assertEqual(resets(actions), [])
        self.assertEqual(rig.names(actions), ["maps-2"])

    def test_inconclusive_while_another_does_not_reply(self) -> None:
        """A probe isn't held back for ever by an agent that doesn't reply."""
        rig = SteeringRig(targets=2, started_at=CONVERGED)
        rig.caller(packet(size=10), now=160.0)
        rig.agent(self._inconclusive_reply("maps-2", run_ms=900), now=160.01)
        actions = rig.caller(packet(size=10), now=160.2)
        carried = [a for a in actions if isinstance(a.frame, ForwardPacket)]
        self.assertEqual(rig.names(carried), ["maps-2"])

    def test_power_was_lost_in_one_data_centre(self) -> None:
        """No flow is reset until targets of all data centres are known."""
        rig = SteeringRig(
            targets=3, started_at=CONVERGED, data_centres=("dc-1", "dc-2")
        )
        self.assertEqual(self._power_returned(rig, run_ms=300), [])

    def test_few_new_targets_prove_no_power_loss(self) -> None:
        """A few new targets don't prove a power loss while most are not found yet.

        All agents but one were restarted beside running targets; the target that was
        found first happens to be new.
        """
        for places in (("dc-1",), ("dc-1", "dc-2")):
            with self.subTest(places=places):
                rig = SteeringRig(targets=0, started_at=CONVERGED, data_centres=places)
                rig.membership.has_agreed = True
                found = (
                    {"maps-1"} if len(places) == 1 else {"maps-1", "maps-2", "maps-3"}
                )
                for number in range(1, 5):
                    name = f"maps-{number}"
                    is_found = name in found
                    condition = Condition.SERVING if is_found else Condition.STARTING
                    rig.learn(
                        record(
                            name,
                            host=number,
                            condition=condition,
                            # Only the last one is in the other data centre.
                            data_centre=places[-1] if number == 4 else "dc-1",
                        ),
                        now=100.35,
                    )
                rig.caller(packet(), now=100.4)
                actions: list = []
                for name in sorted(found):
                    actions += rig.agent(
                        self._inconclusive_reply(name, run_ms=300), now=100.41
                    )
                actions += rig.steering.retry(now=100.9, draw=rig.draw)
                self.assertEqual(resets(actions), [])

    def test_all_agents_probed_without_configuration(self) -> None:
        """Without a configuration a packet is sent to all agents to find its owner."""
        rig = SteeringRig(version=0, targets=3)
        self.assertEqual(rig.reached(rig.caller(packet())), rig.known_endpoints)
        rig.agent(owned("maps-2", packet()))
        self.assertEqual(rig.names(rig.caller(packet())), ["maps-2"])

    def test_probes_without_configuration_are_relayed(self) -> None:
        """Without a configuration probes are relayed, so that few frames are sent."""
        rig = SteeringRig(version=0, targets=77)
        actions = rig.caller(packet(size=1_000))
        self.assertEqual(rig.reached(actions), rig.known_endpoints)
        self.assertLessEqual(len(actions), 3)

    def test_denied_by_the_recorded_owner(self) -> None:
        """When the known owner denies a flow, the other agents are queried."""
        self.rig.agent(owned("maps-2", packet()))
        actions = self.rig.agent(denied("maps-2", packet()), packet())
        self.assertEqual(self.rig.names(actions), ["maps-1", "maps-3"])

    def test_owner_has_ended(self) -> None:
        """A flow whose target has ended is reset once the other agents deny it.

        A query goes to each of them at once, and no other frame is sent.
        """
        self.rig.agent(owned("maps-2", packet()))
        self.rig.learn(record("maps-2", host=2, epoch=2, condition=Condition.GONE))
        actions = self.rig.caller(packet())
        self.assertEqual([type(a.frame) for a in actions], [OwnershipQuery] * 2)
        self.assertEqual(self.rig.names(actions), ["maps-1", "maps-3"])
        self.assertEqual(self._answers(name="maps-1"), [])
        self.assertEqual(resets(self._answers(name="maps-3")), ["target gone"])

    def test_presumed_owner_has_ended(self) -> None:
        """A flow is not reset when a target ends that only got its SYN."""
        placed = self.rig.names(self.rig.caller(packet(syn=True)))
        number = int(placed[0][-1])
        gone = record(placed[0], host=number, epoch=2, condition=Condition.GONE)
        self.rig.learn(gone)
        actions = self.rig.caller(packet(size=10), now=101.0)
        self.assertEqual(resets(actions), [])
        others = sorted({"maps-1", "maps-2", "maps-3"} - set(placed))
        self.assertEqual(self.rig.names(actions), others)

    def test_retransmission_opened_elsewhere(self) -> None:
        """A retransmission placed by another balancer doesn't move an open flow."""
        placed = self.rig.names(self.rig.caller(packet(syn=True)))
        sent = packet(size=10)
        self.assertEqual(self.rig.names(self.rig.caller(sent)), placed)
        actions = self.rig.agent(denied(placed[0], sent), sent)
        others = sorted({"maps-1", "maps-2", "maps-3"} - set(placed))
        self.assertEqual(self.rig.names(actions), others)


class AddressReuseTests(unittest.TestCase):
    """An address that now belongs to another target."""

    def test_two_records_of_one_start(self) -> None:
        """Of two targets that claim one address one remains, whatever their epochs."""
        for epoch in (1, 2, 3):
            rig = SteeringRig(targets=1)
            rig.learn(record("maps-9", host=1, epoch=epoch))
            self.assertEqual(rig.membership.table.names_of("maps"), {"maps-9"})

    def test_earlier_target_has_ended(self) -> None:
        """A newer record at an address ends the earlier one's target."""
        rig = SteeringRig(targets=2)
        rig.caller(packet())
        rig.agent(owned("maps-2", packet()))
        rig.learn(record("logs-9", host=2, epoch=5, service="logs"))
        actions = rig.caller(packet(), now=101.0)
        self.assertEqual([type(a.frame) for a in actions], [OwnershipQuery])
        self.assertEqual(rig.names(actions), ["maps-1"])
        reply = OwnershipReply(
            question=2, agent="maps-1", held=(), is_conclusive=True, run_ms=None
        )
        self.assertEqual(resets(rig.agent(reply)), ["target gone"])
