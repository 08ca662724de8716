"""Ports that callers use again, after an earlier flow has ended.

Guards against decisions on a live flow by what was true of an earlier one.
"""

import unittest

from monsoonpier.agent.packets.actions import ToTarget
from monsoonpier.model.service import Configuration
from monsoonpier.model.target import Condition
from monsoonpier.wire.frames import (
    DirectoryQuery,
    FlowNotOwned,
    FlowOwned,
    ForwardPacket,
    OwnershipQuery,
    OwnershipReply,
)
from monsoonpier.wire.packet import MAX_SEQUENCE_GAP_BYTES, SEQUENCE_SPACE
from tests.packets.rig import (
    BALANCER,
    CONVERGED,
    OWN,
    TARGET_SEQUENCE,
    SteeringRig,
    answer,
    carry,
    frames,
    load,
    owner,
    packet,
    record,
    replace,
    resets,
)

LATER = CONVERGED + 62.0  # longer than a flow lasts
FIRST_SEQUENCE = 1_000
SECOND_SEQUENCE = 3_000_000_000


def owned(agent: str) -> FlowOwned:
    return FlowOwned(flow=packet().flow, agent=agent, load=load(), is_open=True)


class ReusedPortTests(unittest.TestCase):
    """A balancer whose table has an entry of an earlier flow."""

    def setUp(self) -> None:
        self.rig = SteeringRig(targets=3)
        (self.first_owner,) = self.rig.names(self.rig.caller(self.syn()))
        self.rig.agent(owned(self.first_owner))
        self.rig.caller(self.data())
        self.others = sorted({"maps-1", "maps-2", "maps-3"} - {self.first_owner})

    def syn(self, sequence: int = FIRST_SEQUENCE, **fields):
        return replace(packet(syn=True, sequence=sequence), **fields)

    def data(self, sequence: int = FIRST_SEQUENCE + 1):
        return packet(size=100, sequence=sequence)

    def end(self, name: str, *, now: float = LATER) -> None:
        number = int(name[-1])
        gone = record(name, host=number, epoch=2, condition=Condition.GONE)
        self.rig.learn(gone, now=now)

    def queried(self, actions: list) -> list[str]:
        return self.rig.names([a for a in actions if _is_query(a)])

    def deny(self, agent: str, *, now: float = LATER) -> list:
        """Return the actions for an agent's reply that the flow isn't its own."""
        reply = OwnershipReply(question=1, agent=agent, held=(), is_conclusive=True)
        return self.rig.agent(reply, now=now)

    # Packets of flows that opened through another balancer

    def test_owner_of_the_earlier_flow_has_ended(self) -> None:
        """The later flow isn't reset; its owner is looked up."""
        self.end(self.first_owner)
        actions = self.rig.caller(self.data(SECOND_SEQUENCE), now=LATER)
        self.assertEqual(resets(actions), [])
        self.assertEqual(self.queried(actions), self.others)
        found = self.rig.agent(owned(self.others[0]), now=LATER)
        self.assertEqual(self.rig.names(found), self.others[:1])

    def test_later_packets_of_the_later_flow(self) -> None:
        """A confirmation of the earlier flow doesn't hold for the later one."""
        self.rig.caller(self.data(SECOND_SEQUENCE), now=LATER)
        self.end(self.first_owner)
        actions = self.rig.caller(self.data(SECOND_SEQUENCE + 100), now=LATER)
        self.assertEqual(resets(actions), [])
        self.assertEqual(self.queried(actions), self.others)

    def test_later_flow_with_near_numbers(self) -> None:
        """A later flow whose numbers are like the earlier one's isn't reset.

        Its caller chooses the numbers, so that only the agents can tell the two apart.
        """
        for sequence in (FIRST_SEQUENCE + 1, FIRST_SEQUENCE + 101, FIRST_SEQUENCE - 99):
            for now in (CONVERGED + 0.2, CONVERGED + 10.0, LATER):
                with self.subTest(sequence=sequence, now=now):
                    self.setUp()
                    self.end(self.first_owner, now=now)
                    actions = self.rig.caller(self.data(sequence), now=now)
                    self.assertEqual(resets(actions), [])
                    self.assertEqual(self.queried(actions), self.others)
                    held = OwnershipReply(
                        question=1,
                        agent=self.others[0],
                        held=(packet().flow,),
                        is_conclusive=True,
                    )
                    found = self.rig.agent(held, now=now + 0.01)
                    self.assertEqual(self.rig.names(found), self.others[:1])
                    late = self.deny(self.others[1], now=now + 0.02)
                    self.assertEqual(resets(late), [])

    def test_owner_of_this_flow_has_ended(self) -> None:
        """A dead flow is reset after one query of each other agent, sent at once."""
        for ahead in (0, 100, MAX_SEQUENCE_GAP_BYTES):
            with self.subTest(ahead=ahead):
                self.setUp()
                # A directory balancer, whose reply is not waited for.
                self.rig.membership.peers.learn(
                    replace(OWN, name="lb-2", ip="10.1.0.2")
                )
                self.end(self.first_owner)
                sent = self.data(FIRST_SEQUENCE + 101 + ahead)
                actions = self.rig.caller(sent, now=LATER)
                self.assertEqual(self.queried(actions), self.others)
                self.assertEqual(len(actions), len(self.others))
                self.assertEqual(self.deny(self.others[0]), [])
                self.assertEqual(resets(self.deny(self.others[1])), ["target gone"])

    def test_sequence_numbers_wrap(self) -> None:
        """A flow's numbers go on after the largest one; its denials still count."""
        self.end(self.first_owner)
        self.rig.caller(self.data(SEQUENCE_SPACE - 100), now=LATER)
        self.deny(self.others[0])
        self.assertEqual(self.rig.caller(self.data(0), now=LATER + 0.01), [])
        late = self.deny(self.others[1], now=LATER + 0.02)
        self.assertEqual(resets(late), ["target gone"])

    def test_only_owner_has_ended(self) -> None:
        """A dead flow of a service without another target is reset at once."""
        rig = SteeringRig(targets=1)
        rig.agent(owned("maps-1"))
        rig.learn(record("maps-1", epoch=2, condition=Condition.GONE), now=LATER)
        actions = rig.caller(self.data(), now=LATER)
        self.assertEqual(resets(actions), ["target gone"])
        self.assertEqual(len(actions), 1)

    def test_route_and_owner_are_gone(self) -> None:
        """A flow without a route has no agents to query, and is reset at once."""
        self.end(self.first_owner)
        self.rig.membership.configure(Configuration(version=2))
        self.rig.steering.configured()
        actions = self.rig.caller(self.data(), now=LATER)
        self.assertEqual(resets(actions), ["target gone"])

    def test_owner_is_not_known_any_more(self) -> None:
        """A record that was removed doesn't show that the target has ended."""
        self.rig.membership.table._remove(self.first_owner)
        actions = self.rig.caller(self.data(FIRST_SEQUENCE + 101), now=LATER)
        self.assertEqual(resets(actions), [])
        self.assertEqual(self.queried(actions), self.others)

    def test_directory_may_know_the_owner(self) -> None:
        """It is queried first while the known owner may live, as that costs least."""
        self.rig.membership.peers.learn(replace(OWN, name="lb-2", ip="10.1.0.2"))
        self.rig.membership.table._remove(self.first_owner)
        actions = self.rig.caller(self.data(FIRST_SEQUENCE + 101), now=LATER)
        self.assertEqual([type(a.frame) for a in actions], [DirectoryQuery])

    def test_denials_of_the_earlier_flow(self) -> None:
        """Agents that denied an earlier flow are asked again about a later one."""
        rig = SteeringRig(targets=3)
        rig.caller(self.data())
        sent = self.data()
        for name in ("maps-1", "maps-2"):
            denial = FlowNotOwned(agent=name, flow=sent.flow, payload=sent.raw)
            rig.agent(denial, sent, now=CONVERGED + 0.1)
        gone = record("maps-3", host=3, epoch=2, condition=Condition.GONE)
        rig.learn(gone, now=LATER)
        actions = rig.caller(self.data(SECOND_SEQUENCE), now=LATER)
        self.assertEqual(resets(actions), [])
        queries = [a for a in actions if _is_query(a)]
        self.assertEqual(rig.names(queries), ["maps-1", "maps-2"])

    def test_late_replies_about_the_earlier_flow(self) -> None:
        """A late denial of the earlier flow doesn't stand for one of the later flow.

        Else the later flow is reset while its owner's reply is under way.
        """
        late_reply = OwnershipReply(
            question=1, agent="maps-3", held=(), is_conclusive=True
        )
        late_denial = FlowNotOwned(agent="maps-3", flow=packet().flow)
        sent = self.data()
        late_packet = replace(late_denial, payload=sent.raw)
        for late, returned in (
            (late_reply, None),
            (late_denial, None),
            (late_packet, sent),
        ):
            with self.subTest(late=late):
                rig = SteeringRig(targets=3)
                rig.caller(self.data(), now=LATER)
                rig.caller(self.data(SECOND_SEQUENCE), now=LATER + 1.0)
                for name in ("maps-1", "maps-2"):
                    reply = replace(late_reply, question=2, agent=name)
                    rig.agent(reply, now=LATER + 1.01)
                actions = rig.agent(late, returned, now=LATER + 1.02)
                self.assertEqual(resets(actions), [])
                held = replace(late_reply, question=2, held=(packet().flow,))
                found = rig.agent(held, now=LATER + 1.03)
                self.assertEqual(rig.names(found), ["maps-3"])

    # SYNs

    def test_retransmitted_syn(self) -> None:
        """A retransmission goes to the target that has opened the flow."""
        copy = self.syn(waited=0.6)
        actions = self.rig.caller(copy, now=CONVERGED + 0.6)
        self.assertEqual(self.rig.names(actions), [self.first_owner])

    def test_retransmitted_syn_of_a_flow_from_elsewhere(self) -> None:
        """So does one whose first SYN has passed another balancer."""
        rig = SteeringRig(targets=3)
        rig.agent(owned("maps-2"))
        actions = rig.caller(self.syn(waited=0.2), now=CONVERGED + 0.2)
        self.assertEqual(rig.names(actions), ["maps-2"])
        for late in (self.syn(), self.syn(waited=0.2)):
            rig = SteeringRig(targets=3)
            rig.agent(owned("maps-2"))
            rig.report("maps-2", now=LATER, in_flight=3)
            actions = rig.caller(late, now=LATER)
            self.assertNotIn("maps-2", rig.names(actions))

    def test_route_has_moved(self) -> None:
        """A later flow goes to the route's present service, whatever its number."""
        for sequence in (FIRST_SEQUENCE, SECOND_SEQUENCE):
            with self.subTest(sequence=sequence):
                self.setUp()
                self.rig.learn(record("logs-4", host=4, service="logs"), now=LATER)
                self.rig.configure(version=2, service="logs")
                actions = self.rig.caller(self.syn(sequence), now=LATER)
                self.assertEqual(self.rig.names(actions), ["logs-4"])
                self.assertEqual([a.frame.service for a in actions], ["logs"])

    def test_route_was_removed(self) -> None:
        """A later flow is rejected at once."""
        self.rig.membership.configure(Configuration(version=2))
        self.rig.steering.configured()
        for sequence in (FIRST_SEQUENCE, SECOND_SEQUENCE):
            actions = self.rig.caller(self.syn(sequence), now=LATER)
            self.assertEqual(resets(actions), ["no route"])

    def test_syn_after_the_owner_has_ended(self) -> None:
        """A later flow is placed on another target at once."""
        for sequence in (FIRST_SEQUENCE, SECOND_SEQUENCE):
            with self.subTest(sequence=sequence):
                self.setUp()
                self.end(self.first_owner)
                actions = self.rig.caller(self.syn(sequence), now=LATER)
                self.assertEqual([type(a.frame) for a in actions], [ForwardPacket])
                self.assertIn(self.rig.names(actions)[0], self.others)

    def test_syn_soon_after_the_flow_was_closed(self) -> None:
        """It is no retransmission then, even with the same number."""
        closed = replace(self.data(FIRST_SEQUENCE + 101), is_fin=True)
        self.rig.caller(closed, now=CONVERGED + 0.1)
        self.end(self.first_owner, now=CONVERGED + 0.2)
        actions = self.rig.caller(self.syn(), now=CONVERGED + 0.3)
        self.assertEqual([type(a.frame) for a in actions], [ForwardPacket])
        self.assertIn(self.rig.names(actions)[0], self.others)

    def test_syn_with_another_number(self) -> None:
        """It opens a later flow, even soon and if the earlier one wasn't closed."""
        self.end(self.first_owner, now=CONVERGED + 0.2)
        actions = self.rig.caller(self.syn(SECOND_SEQUENCE), now=CONVERGED + 0.3)
        self.assertEqual([type(a.frame) for a in actions], [ForwardPacket])
        self.assertIn(self.rig.names(actions)[0], self.others)


class EarlierFlowAtAgentTests(unittest.TestCase):
    """An agent with the record of an earlier flow whose ports are used again."""

    OTHER_TARGET_SEQUENCE = 2_000_000_000

    def setUp(self) -> None:
        self.open()

    def open(self, *, is_closed: bool = False, **fields) -> None:
        """Let a flow be opened at the agent's target, and closed."""
        self.owner = owner(**fields)
        self.forward(packet(syn=True))
        self.owner.from_target(answer(syn=True), now=1.0)
        self.forward(packet(size=100))
        self.owner.from_target(answer(sequence=TARGET_SEQUENCE + 1, size=50), now=1.1)
        if is_closed:
            self.forward(packet(fin=True, acknowledged=TARGET_SEQUENCE + 51))
            fin = answer(sequence=TARGET_SEQUENCE + 51, fin=True)
            self.owner.from_target(fin, now=1.2)

    def forward(self, sent, *, now: float = 1.0, **fields) -> list:
        frame = carry(sent, **fields)
        return self.owner.from_balancer(frame, sent, sender=BALANCER, now=now)

    def later_packet(self):
        """Return a packet of a flow that another target has opened."""
        return packet(size=100, acknowledged=self.OTHER_TARGET_SEQUENCE)

    def test_packet_of_a_later_flow(self) -> None:
        """It is denied and isn't delivered, however the earlier flow has ended.

        Else the target gets another target's flow, and may reset it.
        """
        for is_closed, now in ((False, 1.5), (False, 30.0), (True, 1.5), (True, 4.0)):
            with self.subTest(is_closed=is_closed, now=now):
                self.open(is_closed=is_closed)
                actions = self.forward(self.later_packet(), now=now)
                self.assertEqual(len(frames(actions, FlowNotOwned)), 1)
                self.assertFalse(any(isinstance(a, ToTarget) for a in actions))

    def test_agent_that_does_not_know_all_flows(self) -> None:
        """Its target's answer to a probe may be about an earlier flow.

        Else a target that still has a flow of a caller that went away takes all
        packets of the later flow.
        """
        self.owner = owner(is_first=False)
        actions = self.forward(self.later_packet(), now=1.5)
        self.assertEqual([type(a) for a in actions], [ToTarget])
        about_earlier = answer(sequence=TARGET_SEQUENCE + 51)
        actions = self.owner.from_target(about_earlier, now=1.51)
        self.assertEqual(len(frames(actions, FlowNotOwned)), 1)
        self.assertEqual(len(frames(actions, FlowOwned)), 0)
        actions = self.forward(self.later_packet(), now=1.6)
        self.assertEqual(len(frames(actions, FlowNotOwned)), 1)
        self.assertFalse(any(isinstance(a, ToTarget) for a in actions))
        # The end of the target resets the earlier flow, not the probed one.
        (reset,) = self.owner.target_ended(now=2.0)
        self.assertEqual(reset.acknowledged, TARGET_SEQUENCE + 51)

    def test_probe_of_the_target_s_flow(self) -> None:
        """An answer with the numbers that the probe acknowledges confirms the flow."""
        self.owner = owner(is_first=False)
        self.forward(packet(size=10), now=1.5)
        actions = self.owner.from_target(answer(sequence=TARGET_SEQUENCE + 1), now=1.51)
        self.assertEqual([f.is_open for f in frames(actions, FlowOwned)], [True])

    def test_packets_of_this_flow(self) -> None:
        """Acknowledgements from one window behind to the latest are of the flow."""
        for number in range(80):
            sequence = TARGET_SEQUENCE + 51 + 1_200 * number
            sent = answer(sequence=sequence, size=1_200)
            self.owner.from_target(sent, now=2.0)
        end = TARGET_SEQUENCE + 51 + 1_200 * 80
        # Retransmissions don't take the target's numbers back.
        self.owner.from_target(answer(syn=True), now=2.05)
        again = answer(sequence=TARGET_SEQUENCE + 51, size=1_200)
        self.owner.from_target(again, now=2.05)
        for behind in (0, 1_200, 16 * 1_200):
            delivered = self.forward(packet(acknowledged=end - behind), now=2.1)
            self.assertEqual([type(a) for a in delivered], [ToTarget])

    def test_later_flow_at_the_same_target(self) -> None:
        """Its packets are delivered, though its caller didn't close the earlier one."""
        self.forward(packet(syn=True), now=20.0)
        again = answer(syn=True, sequence=self.OTHER_TARGET_SEQUENCE - 1)
        self.owner.from_target(again, now=20.0)
        actions = self.forward(self.later_packet(), now=20.1)
        self.assertEqual([f.is_open for f in frames(actions, FlowOwned)], [True])
        self.assertEqual(sum(isinstance(a, ToTarget) for a in actions), 1)
        # The earlier flow's FIN isn't the later one's, whose caller has sent its own.
        self.owner.from_target(
            answer(sequence=TARGET_SEQUENCE + 51, fin=True), now=20.1
        )
        fin = packet(fin=True, acknowledged=self.OTHER_TARGET_SEQUENCE)
        self.forward(fin, now=20.1)
        self.owner.tick(now=40.0)
        self.assertEqual(self.owner.flows, 1)

    def test_two_agents_with_earlier_flows(self) -> None:
        """An agent that has returned the flow's packet isn't believed again.

        Else a balancer asks in turns while the claims of both last, and never finds
        the owner.
        """
        rig = SteeringRig(targets=3)
        sent = self.later_packet()
        rig.caller(sent, now=LATER)
        claim = OwnershipReply(
            question=1, agent="maps-1", held=(sent.flow,), is_conclusive=True
        )
        for question, name in ((1, "maps-1"), (2, "maps-2")):
            now = LATER + question
            claimed = rig.agent(replace(claim, question=question, agent=name), now=now)
            self.assertEqual(rig.names(claimed), [name])
            denial = FlowNotOwned(agent=name, flow=sent.flow, payload=sent.raw)
            queries = rig.agent(denial, sent, now=now + 0.5)
        self.assertEqual(rig.names(queries), ["maps-3"])
        last = replace(claim, question=3, agent="maps-3", held=())
        reset = rig.agent(last, now=LATER + 3.0)
        self.assertEqual(resets(reset), ["nobody holds the flow"])

    def test_denials_of_an_earlier_flow(self) -> None:
        """They are no reason to pass over an agent that owns the later flow."""
        rig = SteeringRig(targets=3)
        rig.agent(owned("maps-1"))
        earlier = packet(size=100)
        rig.agent(
            FlowNotOwned(agent="maps-1", flow=earlier.flow, payload=earlier.raw),
            earlier,
        )
        held = OwnershipReply(
            question=1, agent="maps-2", held=(earlier.flow,), is_conclusive=True
        )
        rig.agent(held, now=CONVERGED + 0.1)
        later = self.later_packet()
        rig.caller(later, now=LATER)
        rig.agent(
            FlowNotOwned(agent="maps-2", flow=later.flow, payload=later.raw),
            later,
            now=LATER + 0.01,
        )
        found = rig.agent(replace(held, question=2, agent="maps-1"), now=LATER + 0.05)
        self.assertEqual(rig.names(found), ["maps-1"])

    def test_owner_is_found_beside_the_earlier_one(self) -> None:
        """A lookup passes over an agent that claims the flow and denies its packet."""
        rig = SteeringRig(targets=3)
        sent = self.later_packet()
        rig.caller(sent, now=LATER)
        claim = OwnershipReply(
            question=1, agent="maps-1", held=(sent.flow,), is_conclusive=True
        )
        self.assertEqual(rig.names(rig.agent(claim, now=LATER + 0.01)), ["maps-1"])
        denial = FlowNotOwned(agent="maps-1", flow=sent.flow, payload=sent.raw)
        queries = rig.agent(denial, sent, now=LATER + 0.05)
        self.assertEqual(rig.names(queries), ["maps-2", "maps-3"])
        again = replace(claim, question=2)
        self.assertEqual(rig.agent(again, now=LATER + 0.06), [])
        held = replace(again, agent="maps-3")
        self.assertEqual(rig.names(rig.agent(held, now=LATER + 0.07)), ["maps-3"])


def _is_query(action) -> bool:
    return isinstance(getattr(action, "frame", None), OwnershipQuery)
