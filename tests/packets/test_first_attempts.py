"""First attempts of rejected callers that retry at another balancer."""

import unittest
from unittest import mock

from monsoonpier.balancer.packets.first_attempts import FirstAttempts
from monsoonpier.balancer.packets.returning import (
    MAX_REJECTIONS,
    EarlierAttempt,
    ReturningCallers,
)
from monsoonpier.wire.frames import (
    AttemptRejected,
    FirstAttemptQuery,
    FirstAttemptReply,
    ForwardPacket,
    SynRejected,
)
from standins.packets.simulation import Simulation, World
from tests.packets.rig import CONVERGED, SERVICE, load, packet, replace, resets
from tests.packets.test_directory import _Group

FULL = {"in_flight": 2, "queued": 1}
BACK = CONVERGED + 1.32
REPLY = FirstAttemptReply(flow=packet(1).flow, first_attempt_age_ms=2_500)


def syn(number: int, *, caller: int = 7):
    return replace(packet(number, syn=True), caller_ip=f"100.64.0.{caller}")


def first_attempts(rig) -> FirstAttempts:
    return FirstAttempts(membership=rig.membership, returning=ReturningCallers())


class SharedTests(unittest.TestCase):
    """A caller rejected by one balancer retries at another."""

    def setUp(self) -> None:
        self.group = _Group(4)
        rigs = self.group.rigs
        (self.directory,) = (
            e for e, rig in rigs.items() if not first_attempts(rig).query(syn(1))
        )
        self.first, self.next, _ = (e for e in rigs if e != self.directory)
        self.rig = rigs[self.first]

    def enqueue(self, endpoint, number: int, *, caller: int = 7, now: float) -> None:
        """Queue a SYN at a balancer while no slot is free."""
        rig = self.group.rigs[endpoint]
        for name in ("maps-1", "maps-2", "maps-3"):
            rig.report(name, now=now, **FULL)
        actions = rig.caller(syn(number, caller=caller), now=now)
        self.assertEqual(self.group.run(endpoint, actions, now=now), [])

    def retry(self, endpoint, *, now: float) -> list:
        rig = self.group.rigs[endpoint]
        actions = rig.steering.retry(now=now, draw=rig.draw)
        return self.group.run(endpoint, actions, now=now)

    def placed_first(self) -> bytes:
        """Reject a caller; return the SYN placed first at the other balancer."""
        self.enqueue(self.first, 1, now=CONVERGED)
        late = self.retry(self.first, now=CONVERGED + 1.31)
        self.assertEqual(resets(late), ["no slot came free"])
        self.enqueue(self.next, 2, now=BACK)
        self.enqueue(self.next, 3, caller=8, now=BACK)
        self.group.rigs[self.next].report("maps-1", now=BACK, in_flight=2)
        (placed,) = self.retry(self.next, now=BACK + 0.01)
        return placed.frame.payload

    def test_returning_caller_goes_after_those_in_time(self) -> None:
        """A returning caller doesn't overtake one that can still be served in time."""
        self.assertEqual(self.placed_first(), syn(3).raw)

    def test_directory_balancer_is_unreachable(self) -> None:
        """Without its directory balancer a returning caller counts as new."""
        self.group.cut_off = {self.directory}
        self.assertEqual(self.placed_first(), syn(2).raw)

    def test_queried_once_per_queued_flow(self) -> None:
        """The first attempt is queried once, and only for queued flows."""
        (placed,) = self.group.rigs[self.next].caller(syn(9))
        self.assertIsInstance(placed.frame, ForwardPacket)
        self.enqueue(self.first, 1, now=CONVERGED)
        self.rig.report("maps-1", now=CONVERGED, in_flight=2)
        (placed,) = self.retry(self.first, now=CONVERGED + 0.01)
        turned = SynRejected(
            agent="maps-1",
            payload=syn(1).raw,
            tried=(),
            reason="no slot is free",
            load=load(number=90, **FULL),
        )
        self.assertEqual(self.rig.agent(turned, syn(1), now=CONVERGED + 0.02), [])

    def test_wait_is_limited_by_original_timeout(self) -> None:
        """A returning caller's wait is limited by its original timeout."""
        self.assertEqual(self.rig.agent(REPLY), [])  # for a flow that is gone
        self.enqueue(self.first, 1, now=CONVERGED)
        self.rig.agent(REPLY)
        late = self.retry(self.first, now=CONVERGED + 0.41)
        self.assertEqual(resets(late), ["no slot came free"])


class DirectoryBalancerTests(unittest.TestCase):
    """Rejections and queries at a directory balancer, in any order."""

    def answers(self, *rejections: tuple[int, int], queries: int = 3) -> list[int]:
        balancer = first_attempts(next(iter(_Group(1).rigs.values())))
        caller = {"caller": "100.64.0.7", "service": (SERVICE.ip, SERVICE.port)}
        for first_attempt_age_ms, next_attempt_ms in rejections:
            frame = AttemptRejected(
                first_attempt_age_ms=first_attempt_age_ms,
                next_attempt_ms=next_attempt_ms,
                **caller,
            )
            balancer.store_rejection(frame, now=5.0)
        query = FirstAttemptQuery(flow=syn(2).flow, **caller)
        sender = ("10.1.0.2", 7720)
        return [
            reply.frame.first_attempt_age_ms
            for _ in range(queries)
            for reply in balancer.reply(query, sender=sender, now=5.1)
        ]

    def test_each_rejection_counts_once(self) -> None:
        """Each rejection is used for one returning flow of a shared address."""
        self.assertEqual(self.answers((1_300, 0)), [1_400])

    def test_expired_rejection_is_not_used(self) -> None:
        """An expired rejection is not used for a new request."""
        callers = ReturningCallers()
        for first_attempt_at, next_attempt_at in ((1.0, 3.4), (0.5, 2.0)):
            earlier = EarlierAttempt(first_attempt_at=first_attempt_at)
            callers.record(
                "100.64.0.7", SERVICE, earlier, next_attempt_at=next_attempt_at
            )
        found = callers.claim("100.64.0.7", SERVICE, opened_at=3.1, now=3.1)
        self.assertIsNone(found)

    def test_caller_that_gives_up_later(self) -> None:
        """A rejection that is used only later doesn't hide one that applies now."""
        self.assertEqual(self.answers((100, 1_300), (700, 0)), [800])

    def test_bounded(self) -> None:
        """Rejections of one address are bounded."""
        most = MAX_REJECTIONS + 5
        found = self.answers(*[(1_000, 0)] * most, queries=most)
        self.assertEqual(len(found), MAX_REJECTIONS)


class BurstTests(unittest.TestCase):
    """A burst of 1.6 times the capacity, in which rejected callers retry."""

    WORLD = World(
        targets=20,
        slots=1,
        balancers=12,
        run_seconds=0.034,
        long_share=0.0,
        utilisation=0.8,
        aim_seconds=0.35,
        timeout_seconds=1.8,
        bursts=((3.5, 7.0, 2.0),),
        seconds=8.0,
        addresses=300,
    )

    def test_slots_go_to_present_callers(self) -> None:
        """Fewer SYNs of callers that have left are placed; more are served in time."""
        shared = Simulation(self.WORLD).run()
        with mock.patch.object(FirstAttempts, "_directory_balancer", return_value=None):
            alone = Simulation(self.WORLD).run()
        self.assertLess(shared.late_syn_share, alone.late_syn_share / 3)
        self.assertGreater(shared.in_time, alone.in_time + 0.05)
