"""Slot reservations of queued flows, and the offers of agents."""

import unittest
from dataclasses import replace as replaced

from monsoonpier.agent.packets.reservations import (
    MAX_RESERVATIONS,
    OFFER_SECONDS,
    Reservations,
)
from monsoonpier.balancer.packets.reservations import (
    MAX_AGENTS,
)
from monsoonpier.model.service import Configuration
from monsoonpier.model.target import Condition
from monsoonpier.model.waiting import (
    LATE_TURN_INTERVAL,
    RESERVATIONS_PER_FLOW,
    WaitingFlow,
    WaitingQueue,
)
from monsoonpier.wire.frames import (
    DeclineSlot,
    ForwardPacket,
    OfferSlot,
    ReserveSlot,
    SynRejected,
)
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

NEXT_BALANCER = ("10.1.0.3", 7720)


def reserve(
    number: int, *, in_time_ms: int = 500, wait_ms: int = 1_300, priority: int = 1
) -> ReserveSlot:
    return ReserveSlot(
        service="maps",
        flow=packet(number).flow,
        in_time_ms=in_time_ms,
        wait_ms=wait_ms,
        priority=priority,
    )


class ReservationsTests(unittest.TestCase):
    """Reservations of several balancers at one agent."""

    def setUp(self) -> None:
        self.reservations = Reservations()

    def reserve(self, number: int, balancer: tuple[str, int], **fields) -> bool:
        frame = reserve(number, **fields)
        return self.reservations.reserve(frame, balancer=balancer, now=0.0)

    def offer(self, *, now: float = 0.0):
        found = self.reservations.offer(run_seconds=0.02, slots=1, now=now)
        return None if found is None else found.balancer

    def test_one_order_for_all_balancers(self) -> None:
        """Offers go by priority, then by least time left, across balancers."""
        self.reserve(1, BALANCER, in_time_ms=400, priority=2)
        self.reserve(2, OTHER_BALANCER, in_time_ms=300, priority=2)
        self.reserve(3, NEXT_BALANCER, in_time_ms=500, priority=1)
        offered = [self.offer() for _ in range(4)]
        self.assertEqual(offered, [NEXT_BALANCER, OTHER_BALANCER, BALANCER, None])

    def test_unresponsive_balancer_loses_reservations(self) -> None:
        """A balancer that has ended costs two offer timeouts, not one per flow."""
        for number in range(5):
            self.reserve(number, BALANCER, in_time_ms=300)
        self.reserve(9, OTHER_BALANCER, in_time_ms=400)
        now = 0.0
        for _ in range(2):
            self.assertEqual(self.offer(now=now), BALANCER)
            early = self.reservations.expire(now=now + OFFER_SECONDS / 2)
            self.assertEqual(early, {})
            now += OFFER_SECONDS
            passed = self.reservations.expire(now=now)
            self.assertEqual(passed, {BALANCER: 1})
        self.assertEqual(self.offer(now=now), OTHER_BALANCER)
        self.assertEqual(len(self.reservations), 0)

    def test_slow_balancer_keeps_reservations(self) -> None:
        """One late reply to an offer loses no reservation."""
        for number in range(3):
            self.reserve(number, BALANCER, in_time_ms=300)
        for number in range(2):
            now = number * 2 * OFFER_SECONDS
            self.assertEqual(self.offer(now=now), BALANCER)
            self.reservations.expire(now=now + OFFER_SECONDS)
            self.reservations.taken(BALANCER)
        self.assertEqual(len(self.reservations), 1)

    def test_several_offers_expire_at_once(self) -> None:
        """A balancer that misses several offers at once keeps its reservations."""
        for number in range(4):
            self.reserve(number, BALANCER, in_time_ms=300)
        self.assertEqual([self.offer(), self.offer()], [BALANCER, BALANCER])
        self.reservations.expire(now=OFFER_SECONDS)
        self.assertEqual(len(self.reservations), 2)

    def test_cancelled_by_own_balancer_only(self) -> None:
        """A retransmission queued elsewhere doesn't cancel the reservation."""
        self.reserve(1, BALANCER)
        self.reserve(1, OTHER_BALANCER, wait_ms=0)
        self.assertEqual(len(self.reservations), 1)
        self.reserve(1, BALANCER, wait_ms=0)
        self.assertEqual(len(self.reservations), 0)

    def test_caller_that_gave_up(self) -> None:
        """No slot is offered for a flow that has expired."""
        self.reserve(1, BALANCER, in_time_ms=0, wait_ms=200)
        self.assertIsNone(self.offer(now=0.3))

    def test_same_flow_reserves_once(self) -> None:
        """A repeated reservation of a flow takes no second place."""
        self.assertTrue(self.reserve(1, BALANCER))
        self.assertTrue(self.reserve(1, BALANCER))
        self.assertEqual([self.offer(), self.offer()], [BALANCER, None])

    def test_bounded(self) -> None:
        """Reservations beyond what an agent can serve are dropped."""
        taken = [self.reserve(n, BALANCER) for n in range(MAX_RESERVATIONS + 1)]
        self.assertEqual(taken.count(False), 1)


class LateTests(unittest.TestCase):
    """Late flows that are queued while flows in time use all slots."""

    RUN_SECONDS = 0.04

    def late_turns(self, *, late: int, wait_ms: int, offers: int = 64) -> int:
        """Return how many of the offers are for late flows."""
        reservations = Reservations()
        for number in range(offers):
            frame = reserve(number, in_time_ms=3_000)
            reservations.reserve(frame, balancer=BALANCER, now=0.0)
        for number in range(offers, offers + late):
            frame = reserve(number, in_time_ms=0, wait_ms=wait_ms)
            reservations.reserve(frame, balancer=OTHER_BALANCER, now=0.0)
        found = [
            reservations.offer(run_seconds=self.RUN_SECONDS, slots=1, now=0.0)
            for _ in range(offers)
        ]
        return sum(offer.is_late_turn for offer in found if offer is not None)

    def test_few_late_flows_are_served(self) -> None:
        """Late flows with time left get one slot in sixteen, so that none starves."""
        self.assertEqual(
            self.late_turns(late=4, wait_ms=2_900), 64 // LATE_TURN_INTERVAL
        )

    def test_late_burst_is_served(self) -> None:
        """After a short burst all late flows are served."""
        turns = self.late_turns(late=16, wait_ms=1_200)
        self.assertGreater(turns, 2 * 64 // LATE_TURN_INTERVAL)
        self.assertLessEqual(turns, 16)

    def test_late_flows_beyond_capacity(self) -> None:
        """Late flows that would expire anyway don't displace those in time."""
        self.assertEqual(
            self.late_turns(late=200, wait_ms=1_200), 64 // LATE_TURN_INTERVAL
        )


class AgentTests(unittest.TestCase):
    """An agent whose target has one slot, which flow 1 uses."""

    def setUp(self) -> None:
        self.owner = owner(slots=1)
        self.run_request(1, now=1.0)

    def run_request(self, number: int, *, now: float) -> None:
        self.send_syn(number, now=now, is_offered=False)
        self.owner.from_target(answer(number, syn=True), now=now)
        sent = packet(number, size=10)
        self.owner.from_balancer(
            ForwardPacket(service="maps", payload=sent.raw),
            sent,
            sender=BALANCER,
            now=now,
        )

    def send_syn(self, number: int, *, now: float, is_offered: bool = True) -> list:
        sent = packet(number, syn=True)
        frame = ForwardPacket(
            service="maps",
            payload=sent.raw,
            tried=("maps-1",),
            in_time_ms=500,
            wait_ms=1_000,
            is_offered=is_offered,
        )
        return self.owner.from_balancer(frame, sent, sender=BALANCER, now=now)

    def reserve(self, number: int, *, now: float = 1.0, balancer=BALANCER) -> list:
        return self.owner.reserve(reserve(number), balancer=balancer, now=now)

    def test_next_flow_opens_during_run(self) -> None:
        """The next flow opens while the slot is in use, so the slot is never empty."""
        self.assertEqual(len(frames(self.reserve(2), OfferSlot)), 1)
        actions = self.send_syn(2, now=1.004)
        self.assertEqual([a.raw for a in actions], [packet(2, syn=True).raw])

    def test_no_more_than_one_ahead(self) -> None:
        """A flow that would wait longer than one request is not sent ahead."""
        self.reserve(2)
        self.assertEqual(frames(self.reserve(3), OfferSlot), [])
        self.send_syn(2, now=1.004)
        done = self.owner.from_target(answer(1, size=50), now=1.02)
        self.assertEqual(len(frames(done, OfferSlot)), 1)

    def test_declined_slot_is_offered_again(self) -> None:
        """A declined slot is offered to the next balancer at once."""
        self.reserve(2)
        self.reserve(3, balancer=OTHER_BALANCER)
        actions = self.owner.declined(balancer=BALANCER, now=1.003)
        self.assertEqual([a.endpoint for a in actions], [OTHER_BALANCER])

    def test_flow_without_offer_is_rejected(self) -> None:
        """A flow sent without an offer doesn't overtake reservations."""
        self.reserve(2)
        self.assertEqual(
            len(frames(self.send_syn(3, now=1.001, is_offered=False), SynRejected)), 1
        )
        self.assertGreater(self.owner.load(now=1.001).in_flight, 1)

    def test_leaving_target_offers_nothing(self) -> None:
        """A leaving target drops its reservations and offers no slot."""
        self.reserve(2)
        self.owner.condition = Condition.LEAVING
        self.assertEqual(frames(self.owner.expire(now=1.1), OfferSlot), [])
        self.assertEqual(frames(self.reserve(3, now=1.1), OfferSlot), [])
        refused = frames(self.send_syn(2, now=1.1), SynRejected)
        self.assertEqual([frame.reason for frame in refused], ["leaving"])

    def test_connection_limit(self) -> None:
        """A target without a free connection offers no slot."""
        for number in range(10, 109):
            self.owner.from_target(answer(number, size=5), now=1.0)
        self.assertGreaterEqual(self.owner.flows, 100)
        self.assertEqual(frames(self.reserve(2), OfferSlot), [])

    def test_cold_limit(self) -> None:
        """A cold target offers no more slots than its limit per second."""
        self.owner = owner(slots=4)
        cold = self.owner.target_load.cold
        cold.per_second, cold.until = 2.0, 5.0
        offers = [frames(self.reserve(number), OfferSlot) for number in range(4)]
        self.assertEqual([len(found) for found in offers], [1, 1, 0, 0])

    def test_offered_slot_stays_reserved(self) -> None:
        """A flow sent without an offer doesn't take an offered slot."""
        self.owner = owner(slots=1)
        self.reserve(2)
        self.reserve(3, balancer=OTHER_BALANCER)
        unasked = self.send_syn(9, now=1.001, is_offered=False)
        self.assertEqual(len(frames(unasked, SynRejected)), 1)

    def test_unanswered_offer_expires(self) -> None:
        """An unanswered offer expires, and others get the slot."""
        self.reserve(2)
        self.reserve(3, balancer=OTHER_BALANCER)
        late = self.owner.expire(now=1.0 + OFFER_SECONDS)
        self.assertEqual([a.endpoint for a in late], [OTHER_BALANCER])


class BalancerTests(unittest.TestCase):
    """A service of three targets that are all full."""

    def setUp(self) -> None:
        self.rig = SteeringRig(targets=3, reserves=True)
        for number in (1, 2, 3):
            self.rig.report(f"maps-{number}", now=CONVERGED, in_flight=3)

    def offer(self, name: str = "maps-1", *, now: float = CONVERGED, **fields) -> list:
        report = load(number=50, in_flight=3, **fields)
        return self.rig.agent(OfferSlot(agent=name, load=report), now=now)

    def test_reserves_at_two_agents(self) -> None:
        """A queued flow reserves at two agents and stays at the balancer."""
        actions = self.rig.caller(packet(syn=True))
        self.assertEqual(len(frames(actions, ReserveSlot)), RESERVATIONS_PER_FLOW)
        self.assertEqual(len(set(self.rig.names(actions))), RESERVATIONS_PER_FLOW)
        self.assertEqual(frames(actions, ForwardPacket), [])

    def test_nothing_without_the_setting(self) -> None:
        """Without the setting no reservation is sent."""
        self.rig = SteeringRig(targets=1)
        self.rig.report("maps-1", now=CONVERGED, in_flight=3)
        self.assertEqual(self.rig.caller(packet(syn=True)), [])

    def test_flow_is_chosen_at_offer(self) -> None:
        """The flow is chosen when a slot is offered, not when it was reserved."""
        self.rig.caller(packet(1, syn=True), now=CONVERGED)
        self.rig.caller(packet(2, syn=True), now=CONVERGED + 0.01)
        actions = self.offer(now=CONVERGED + 0.02)
        self.assertEqual(
            [f.payload for f in frames(actions, ForwardPacket)], [packet(1).raw]
        )
        self.assertTrue(frames(actions, ForwardPacket)[0].is_offered)

    def test_offer_without_queued_flow(self) -> None:
        """An offer without a queued flow is declined."""
        self.rig.caller(packet(1, syn=True))
        self.offer()
        self.assertEqual(len(frames(self.offer("maps-2"), DeclineSlot)), 1)

    def test_agent_that_ended(self) -> None:
        """A flow that gets no offer reserves at further agents, within bounds."""
        self.rig.caller(packet(1, syn=True))
        now, reserved = CONVERGED, []
        while now < CONVERGED + 1.25:
            now += 0.1
            for number in (1, 2, 3):
                self.rig.report(f"maps-{number}", now=now, in_flight=3)
            waited = round(now - CONVERGED, 1)
            if waited in (0.2, 0.6):
                copy = replace(packet(1, syn=True), waited=waited)
                self.rig.caller(copy, now=now)
            actions = self.rig.steering.retry(now=now, draw=self.rig.draw)
            reserved += self.rig.names(actions)
        self.assertEqual(len(reserved), 1)  # the only agent without a reservation
        self.assertLessEqual(RESERVATIONS_PER_FLOW + len(reserved), MAX_AGENTS)

    def test_new_request_after_last_attempt(self) -> None:
        """A caller that has used up its attempts counts as new."""
        in_time_ms = []
        now = CONVERGED
        for number in range(4):
            for name in ("maps-1", "maps-2", "maps-3"):
                self.rig.report(name, now=now, in_flight=3)
            actions = self.rig.caller(packet(number, syn=True), now=now)
            in_time_ms += [
                frame.in_time_ms for frame in frames(actions, ReserveSlot)[:1]
            ]
            for name in ("maps-1", "maps-2", "maps-3"):
                self.rig.report(name, now=now + 1.3, in_flight=3)
            self.rig.steering.retry(now=now + 1.31, draw=self.rig.draw)
            now += 1.35
        self.assertEqual(in_time_ms, [200, 0, 0, 200])

    def test_evacuated_data_centre(self) -> None:
        """An offer from an evacuated data centre isn't accepted."""
        self.rig.caller(packet(1, syn=True))
        self.rig.membership.table.evacuated = frozenset({"dc-1"})
        self.assertEqual(len(frames(self.offer(), DeclineSlot)), 1)

    def test_route_removed(self) -> None:
        """A queued flow whose route is removed is reset."""
        self.rig.caller(packet(1, syn=True))
        self.rig.membership.configure(Configuration(version=2))
        self.assertEqual(resets(self.offer()), ["no route"])

    def test_abandoned_flow(self) -> None:
        """Reservations of a flow that is presumed abandoned are cancelled."""
        begun = self.rig.caller(packet(1, syn=True))
        for number in (1, 2, 3):
            self.rig.report(f"maps-{number}", now=CONVERGED + 0.3, in_flight=3)
        left = self.rig.steering.retry(now=CONVERGED + 0.31, draw=self.rig.draw)
        self.assertEqual(self.rig.names(left), self.rig.names(begun))
        self.assertEqual({f.wait_ms for f in frames(left, ReserveSlot)}, {0})
        actions = self.offer(now=CONVERGED + 0.32)
        self.assertEqual(len(frames(actions, DeclineSlot)), 1)
        for number in (1, 2, 3):
            self.rig.report(f"maps-{number}", now=CONVERGED + 0.6, in_flight=3)
        later = self.rig.steering.retry(now=CONVERGED + 0.61, draw=self.rig.draw)
        self.assertEqual(later, [])

    def test_expired_while_reserved(self) -> None:
        """An expired flow is reset, and later offers are declined."""
        self.rig.caller(packet(1, syn=True))
        for number in (1, 2, 3):
            self.rig.report(f"maps-{number}", now=101.0, in_flight=3)
        late = self.rig.steering.retry(now=101.31, draw=self.rig.draw)
        self.assertEqual(resets(late), ["no slot came free"])
        self.assertEqual(len(frames(self.offer(now=101.32), DeclineSlot)), 1)


class SpeedTests(unittest.TestCase):
    """Targets of one service that differ in speed."""

    def test_slow_slot_gets_one_with_time_left(self) -> None:
        """A slow slot goes to a flow that can still be served in time there."""
        queue = WaitingQueue()
        for name, aim in ((b"near", 1.1), (b"far", 1.3)):
            queue.add(
                WaitingFlow(flow=name, in_time_until=aim, expires=3.0, priority=1)
            )
        slow = queue.pop_for(is_late_turn=False, answered_at=1.2)
        fast = queue.pop_for(is_late_turn=False, answered_at=1.05)
        self.assertEqual((slow.flow, fast.flow), (b"far", b"near"))

    def test_slot_is_never_left_empty_for_order(self) -> None:
        """A slot is used even if no flow would be served in time."""
        queue = WaitingQueue()
        queue.add(WaitingFlow(flow=b"a", in_time_until=1.1, expires=3.0, priority=1))
        taken = queue.pop_for(is_late_turn=False, answered_at=2.0)
        self.assertEqual(taken.flow, b"a")


class SaturationTests(unittest.TestCase):
    """A burst of 1.28 times the capacity, mostly in one data centre."""

    WORLD = World(
        targets=18,
        slots=1,
        balancers=9,
        utilisation=0.8,
        long_share=0.0,
        run_seconds=0.036,
        aim_seconds=0.35,
        timeout_seconds=2.9,
        seconds=9.0,
        bursts=((4.0, 7.0, 1.6),),
        speeds=(0.7, 0.7, 1.7),
        callers_by_data_centre=(5, 3, 2),
    )

    @classmethod
    def setUpClass(cls) -> None:
        cls.plain = Simulation(cls.WORLD)
        cls.plain_outcome = cls.plain.run()
        cls.reserved = Simulation(replaced(cls.WORLD, reserves=True))
        cls.outcome = cls.reserved.run()

    def test_more_are_answered_in_time(self) -> None:
        """Reservations serve more flows in time."""
        self.assertGreater(self.outcome.score, self.plain_outcome.score + 0.02)
        self.assertGreaterEqual(self.outcome.served, self.plain_outcome.served)

    def test_where_callers_enter_matters_less(self) -> None:
        """With reservations waits differ less between data centres."""
        late = self.reserved.late_share_by_data_centre()
        plain = self.plain.late_share_by_data_centre()
        self.assertLess(max(late) - min(late), 0.06)
        self.assertLess(max(late) - min(late), max(plain) - min(plain))
