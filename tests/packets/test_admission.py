"""Tests of SYNs that wait at an agent, and of callers that return."""

import unittest

from monsoonpier.agent.packets.expected_packets import (
    MAX_TIMEOUT_SECONDS,
    MIN_TIMEOUT_SECONDS,
    ExpectedPackets,
)
from monsoonpier.balancer.packets.returning import (
    RETURN_WINDOW_SECONDS,
    ReturningCallers,
)
from monsoonpier.model.target import Condition
from monsoonpier.wire.frames import ForwardPacket, SynQueued, SynRejected
from standins.packets.simulation import Simulation, World
from tests.packets.rig import (
    BALANCER,
    CONVERGED,
    OTHER_BALANCER,
    SteeringRig,
    answer,
    frames,
    load,
    owner,
    packet,
    replace,
    resets,
)

SLOTS = 2


def syn_frame(sent, *, in_time_ms: int = 1_000, wait_ms: int = 1_000) -> ForwardPacket:
    return ForwardPacket(
        service="maps",
        payload=sent.raw,
        tried=("maps-1",),
        in_time_ms=in_time_ms,
        wait_ms=wait_ms,
    )


class AgentQueueTests(unittest.TestCase):
    """A target of two slots, both taken by flows 1 and 2."""

    def setUp(self) -> None:
        self.owner = owner(slots=SLOTS)
        for number in (1, 2):
            self.forward(number, now=1.0)
            self.owner.from_target(answer(number, syn=True), now=1.0)
            sent = packet(number, size=10)
            self.owner.from_balancer(
                ForwardPacket(service="maps", payload=sent.raw),
                sent,
                sender=BALANCER,
                now=1.0,
            )

    def forward(self, number: int, *, now: float, sender=BALANCER, **times) -> list:
        sent = packet(number, syn=True)
        frame = syn_frame(sent, **times)
        return self.owner.from_balancer(frame, sent, sender=sender, now=now)

    def finish(self, number: int, *, now: float) -> list:
        return self.owner.from_target(answer(number, size=50), now=now)

    def delivered(self, actions: list) -> list[bytes]:
        raws = [getattr(action, "raw", b"")[:12] for action in actions]
        return [raw for raw in raws if raw in self.waiting]

    @property
    def waiting(self) -> list[bytes]:
        return [packet(number).flow for number in range(3, 20)]

    def test_delivered_when_a_slot_comes_free(self) -> None:
        """A queued SYN's balancer is notified, and the next free slot is for it."""
        queued = self.forward(3, now=1.01)
        self.assertEqual(len(frames(queued, SynQueued)), 1)
        self.assertEqual(frames(queued, SynQueued)[0].load.queued, 1)
        self.assertEqual(self.delivered(self.finish(1, now=1.05)), [packet(3).flow])

    def test_evacuated(self) -> None:
        """An agent of an evacuated data centre rejects new flows of any balancer."""
        self.forward(3, now=1.01)
        self.owner.is_evacuated = True
        for actions in (
            self.owner.expire(now=1.02),
            self.forward(4, now=1.03, sender=OTHER_BALANCER),
        ):
            (rejection,) = frames(actions, SynRejected)
            self.assertEqual(rejection.reason, "data centre evacuated")
            # The load informs a balancer that hasn't received the order.
            self.assertIs(rejection.load.condition, Condition.SHEDDING)
        sent = packet(1, size=10, sequence=2_000)
        frame = ForwardPacket(service="maps", payload=sent.raw)
        delivered = self.owner.from_balancer(frame, sent, sender=BALANCER, now=1.04)
        self.assertEqual([action.raw for action in delivered], [sent.raw])

    def test_no_longer_evacuated(self) -> None:
        """After the order is revoked, new flows wait and are delivered again."""
        self.owner.is_evacuated = True
        self.forward(3, now=1.01)
        self.owner.is_evacuated = False
        self.forward(3, now=1.02)
        self.assertEqual(self.delivered(self.finish(1, now=1.05)), [packet(3).flow])
        self.assertIs(self.owner.load(now=1.06).condition, Condition.SERVING)

    def test_in_time_before_late_of_any_balancer(self) -> None:
        """A flow that can be answered in time goes first, whoever sent it."""
        self.forward(3, now=1.01, in_time_ms=0)
        self.forward(4, now=1.02, sender=OTHER_BALANCER)
        self.assertEqual(self.delivered(self.finish(1, now=1.05)), [packet(4).flow])

    def test_late_flow_makes_room(self) -> None:
        """A full queue rejects a late flow to make room for one in time."""
        self.forward(3, now=1.01, in_time_ms=0)
        self.forward(4, now=1.01)
        actions = self.forward(5, now=1.02, sender=OTHER_BALANCER)
        (rejection,) = frames(actions, SynRejected)
        self.assertEqual(rejection.payload, packet(3, syn=True).raw)
        self.assertEqual(len(frames(actions, SynQueued)), 1)

    def test_full_of_equals(self) -> None:
        """A SYN that finds the queue full of equals is rejected with the load."""
        self.forward(3, now=1.01)
        self.forward(4, now=1.02)
        actions = self.forward(5, now=1.03)
        (rejection,) = frames(actions, SynRejected)
        self.assertEqual(rejection.payload, packet(5, syn=True).raw)
        self.assertEqual(rejection.load.queued, 2)

    def test_retransmission_of_queued_syn(self) -> None:
        """A retransmission takes no second place, and its balancer is notified."""
        self.forward(3, now=1.01)
        actions = self.forward(3, now=1.21)
        self.assertEqual(len(frames(actions, SynQueued)), 1)
        another = self.forward(4, now=1.22)
        self.assertEqual(frames(another, SynRejected), [])
        self.finish(2, now=1.25)
        self.finish(1, now=1.3)
        self.assertEqual(self.delivered(self.finish(2, now=1.31)), [])

    def test_rejected_before_the_caller_gives_up(self) -> None:
        """A SYN for which no slot came free is rejected when its wait is over."""
        self.forward(3, now=1.01, wait_ms=300)
        self.assertEqual(self.owner.tick(now=1.2), [])
        (rejection,) = frames(self.owner.tick(now=1.32), SynRejected)
        self.assertEqual(rejection.reason, "no slot came free")

    def test_leaving_target(self) -> None:
        """A leaving target takes none of the queued SYNs."""
        self.forward(3, now=1.01)
        self.owner.condition = Condition.LEAVING
        actions = self.finish(1, now=1.05)
        self.assertEqual(self.delivered(actions), [])
        self.assertEqual([t.reason for t in frames(actions, SynRejected)], ["leaving"])

    def test_syn_without_wait(self) -> None:
        """A SYN without a time to wait is not queued."""
        self.assertEqual(
            len(frames(self.forward(3, now=1.0, wait_ms=0), SynRejected)), 1
        )


class QueuedAtAnAgentTests(unittest.TestCase):
    """A balancer whose SYN waits at an agent."""

    def setUp(self) -> None:
        self.rig = SteeringRig(targets=2)
        (self.first,) = self.rig.names(self.rig.caller(packet(syn=True)))
        (self.other,) = {"maps-1", "maps-2"} - {self.first}
        frame = SynQueued(flow=packet().flow, agent=self.first, load=load(number=9))
        self.rig.agent(frame)

    def retry(self, *, now: float) -> list[str]:
        return self.rig.names(self.rig.steering.retry(now=now, draw=self.rig.draw))

    def test_not_sent_elsewhere(self) -> None:
        """While it waits, it and its retransmissions go to no other target."""
        self.assertEqual(self.retry(now=CONVERGED + 0.2), [])
        retransmission = replace(packet(syn=True), waited=0.2)
        actions = self.rig.caller(retransmission, now=CONVERGED + 0.2)
        self.assertEqual(self.rig.names(actions), [self.first])

    def test_unresponsive_agent(self) -> None:
        """After a timeout, its agent may have ended, so it goes to another target."""
        self.assertEqual(self.retry(now=CONVERGED + 0.1), [])
        self.assertEqual(self.retry(now=CONVERGED + 0.75), [self.other])

    def test_rejected(self) -> None:
        """A SYN that the agent rejects goes to another target at once."""
        sent = packet(syn=True)
        frame = SynRejected(
            agent=self.first,
            payload=sent.raw,
            tried=(self.first,),
            reason="no slot is free",
            load=load(number=10, in_flight=3, queued=2),
        )
        self.assertEqual(self.rig.names(self.rig.agent(frame, sent)), [self.other])


class ReturningCallerTests(unittest.TestCase):
    """A rejected caller's next attempt keeps the time of its first one."""

    def test_first_attempt_counts(self) -> None:
        """A rejected caller's next flow counts from its first attempt, once."""
        callers = ReturningCallers()
        callers.record_reset(packet(1), first_attempt_at=1.0, now=2.0)
        self.assertEqual(
            callers.find_earlier(packet(2, syn=True), now=2.1).first_attempt_at, 1.0
        )
        self.assertIsNone(callers.find_earlier(packet(3, syn=True), now=2.1))

    def test_long_ago(self) -> None:
        """A caller that returns much later has a new request."""
        callers = ReturningCallers()
        callers.record_reset(packet(1), first_attempt_at=1.0, now=2.0)
        now = 2.0 + RETURN_WINDOW_SECONDS + 0.1
        self.assertIsNone(callers.find_earlier(packet(2, syn=True), now=now))

    def test_bounded(self) -> None:
        """The callers rejected longest ago are forgotten first."""
        callers = ReturningCallers(most=2)
        for number in range(3):
            sent = replace(packet(number), caller_ip=f"100.64.0.{number}")
            callers.record_reset(sent, first_attempt_at=1.0, now=2.0)
        first = replace(packet(9, syn=True), caller_ip="100.64.0.0")
        self.assertIsNone(callers.find_earlier(first, now=2.0))

    def test_goes_after_those_in_time(self) -> None:
        """Of two waiting flows, the one that was rejected before is placed last."""
        rig = SteeringRig(targets=1)
        full = {"in_flight": 2, "queued": 1}
        rig.report("maps-1", now=CONVERGED, **full)
        rig.caller(packet(1, syn=True), now=CONVERGED)
        rig.report("maps-1", now=CONVERGED + 1.29, **full)
        late = rig.steering.retry(now=CONVERGED + 1.31, draw=rig.draw)
        self.assertEqual(resets(late), ["no slot came free"])
        again, new = packet(2, syn=True), packet(3, syn=True)
        rig.caller(again, now=CONVERGED + 1.32)
        other = replace(new, caller_ip="100.64.0.8")
        rig.caller(other, now=CONVERGED + 1.33)
        rig.report("maps-1", now=CONVERGED + 1.34, in_flight=2)
        actions = rig.steering.retry(now=CONVERGED + 1.34, draw=rig.draw)
        self.assertEqual([a.frame.payload for a in actions], [other.raw])


class ResponseTimeoutTests(unittest.TestCase):
    """How long a slot is kept for a caller that may have given up."""

    def test_timeout_follows_callers(self) -> None:
        """The timeout follows the response times of callers, within bounds."""
        expected = ExpectedPackets()
        self.assertEqual(expected.timeout_seconds, MAX_TIMEOUT_SECONDS)
        for _ in range(50):
            expected.record_response_time(0.006)
        self.assertEqual(expected.timeout_seconds, MIN_TIMEOUT_SECONDS)
        for _ in range(50):
            expected.record_response_time(0.9)
        self.assertEqual(expected.timeout_seconds, MAX_TIMEOUT_SECONDS)

    def test_slot_of_a_silent_caller(self) -> None:
        """The slot of a silent caller goes to the next flow before the next tick."""
        agent = owner(slots=1)
        for number, now in ((1, 1.0), (2, 1.01)):
            sent = packet(number, syn=True)
            frame = syn_frame(sent)
            agent.from_balancer(frame, sent, sender=BALANCER, now=now)
        for _ in range(50):
            agent._admission.record_response_time(0.006)
        self.assertTrue(agent.is_waiting)
        self.assertEqual(agent.expire(now=1.0 + MIN_TIMEOUT_SECONDS / 2), [])
        (delivered,) = agent.expire(now=1.0 + MIN_TIMEOUT_SECONDS + 0.001)
        self.assertEqual(delivered.raw, packet(2, syn=True).raw)


class HandshakeTests(unittest.TestCase):
    """SYNs whose handshake passes while the slot is still taken."""

    def _owner(self, *, run: float, handshake: float):
        """Return an agent's logic with one slot, both times known, during a run."""
        agent = owner(slots=1)
        now = 1.0
        for number in (1, 2):
            sent = packet(number, syn=True)
            agent.from_balancer(syn_frame(sent), sent, sender=BALANCER, now=now)
            agent.from_target(answer(number, syn=True), now=now)
            now += handshake
            sent = packet(number, size=10)
            frame = ForwardPacket(service="maps", payload=sent.raw)
            agent.from_balancer(frame, sent, sender=BALANCER, now=now)
            if number == 1:
                now += run
                agent.from_target(answer(number, size=50), now=now)
        return agent, now

    def _delivered(self, agent, number: int, *, now: float) -> bool:
        sent = packet(number, syn=True)
        actions = agent.from_balancer(syn_frame(sent), sent, sender=BALANCER, now=now)
        return sent.raw in [getattr(action, "raw", b"") for action in actions]

    def test_short_runs(self) -> None:
        """Exactly one SYN is delivered early during a short run."""
        agent, now = self._owner(run=0.016, handshake=0.008)
        self.assertTrue(self._delivered(agent, 3, now=now + 0.001))
        self.assertFalse(self._delivered(agent, 4, now=now + 0.002))

    def test_long_runs(self) -> None:
        """Where a handshake is short compared to a run, SYNs wait in the queue."""
        agent, now = self._owner(run=0.2, handshake=0.008)
        self.assertFalse(self._delivered(agent, 3, now=now + 0.001))

    def test_nearly_full(self) -> None:
        """With nine in ten slots in use, nearly all answers are in time."""
        world = World(
            targets=23,
            slots=1,
            balancers=12,
            utilisation=0.9,
            run_seconds=0.0165,
            aim_seconds=0.253,
            timeout_seconds=2.5,
            long_share=0.63,
            long_flows=13,
            seconds=6.0,
            caller_latency_seconds=0.003,
        )
        self.assertGreater(Simulation(world).run().in_time, 0.98)
