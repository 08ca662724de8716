"""Tests of failure rates: how they are computed, and how balancers use them."""

import unittest
from dataclasses import replace as changed
from unittest import mock

from bench.packet_placement import WORLDS_BY_NAME, simulate
from monsoonpier.agent.packets.failure_rate import FailureRate
from monsoonpier.balancer.packets.placement import without_failing
from monsoonpier.model.target import Condition
from monsoonpier.platform.packets import PlatformPackets
from standins.packets.wire import ACK, Segment
from tests.packets.rig import (
    CONVERGED,
    SteeringRig,
    answer,
    carry,
    owner,
    packet,
)

BALANCER = ("10.1.0.1", 7720)
SEEDS = (1, 2)


class FailureRateTests(unittest.TestCase):
    """What an agent concludes from answers."""

    def test_single_failure(self) -> None:
        """A single failed request gives a low rate."""
        share = FailureRate()
        share.count(is_failure=True, now=1.0)
        self.assertLess(share.value(now=1.0), 0.5)

    def test_decays(self) -> None:
        """The rate decays without new results."""
        share = FailureRate()
        for number in range(20):
            share.count(is_failure=True, now=number / 10)
        self.assertGreater(share.value(now=2.0), 0.8)
        self.assertLess(share.value(now=30.0), 0.1)

    def test_part_of_the_requests(self) -> None:
        """The rate is the share of requests that failed."""
        share = FailureRate()
        for number in range(100):
            share.count(is_failure=number % 10 < 4, now=5.0)
        self.assertAlmostEqual(share.value(now=5.0), 0.4, delta=0.03)


class CountedFailureTests(unittest.TestCase):
    """Which events count as failures."""

    def setUp(self) -> None:
        self.owner = owner()

    def ask(self, number: int, *, now: float) -> None:
        """Open a flow and send a request on it."""
        self.forward(packet(number, syn=True), now=now)
        self.owner.from_target(answer(number, syn=True), now=now)
        self.forward(packet(number, size=10), now=now)

    def forward(self, sent, *, now: float) -> None:
        self.owner.from_balancer(carry(sent), sent, sender=BALANCER, now=now)

    def failed(self, *, now: float) -> int:
        return self.owner.load(now=now).failed_percent

    def test_failed_answer(self) -> None:
        """An answer that reports a failure counts, a good one doesn't."""
        self.ask(1, now=1.0)
        self.owner.from_target(answer(1, size=50), now=1.05)
        self.assertEqual(self.failed(now=1.05), 0)
        self.ask(2, now=1.1)
        self.owner.from_target(answer(2, size=50, failure=True), now=1.1)
        self.assertGreater(self.failed(now=1.1), 20)

    def test_change_is_logged_and_reported(self) -> None:
        """A rising rate is logged and reported to balancers."""
        self.ask(1, now=1.0)
        self.owner.load_reports(now=1.0)
        self.owner.from_target(answer(1, size=50, failure=True), now=1.1)
        with mock.patch.object(self.owner._reports._log, "note") as note:
            reports = self.owner.load_reports(now=1.1)
        self.assertEqual(note.call_args.args, ("target's failure rate rose",))
        self.assertGreater(reports[0].frame.load.failed_percent, 20)

    def test_failure_is_no_service_time(self) -> None:
        """A target that fails at once doesn't count as a fast one."""
        self.ask(1, now=1.0)
        self.owner.from_target(answer(1, size=50, failure=True), now=1.002)
        self.assertEqual(self.owner.load(now=1.1).service_ms, 0)

    def test_no_answer(self) -> None:
        """A request without a packet for too long counts as one failure."""
        self.ask(1, now=1.0)
        self.owner.tick(now=1.9)
        self.assertEqual(self.failed(now=1.9), 0)
        self.owner.tick(now=2.1)
        once = self.failed(now=2.1)
        self.assertGreater(once, 20)
        self.owner.tick(now=2.2)
        self.assertLessEqual(self.failed(now=2.2), once)

    def test_reset_during_request(self) -> None:
        """A flow that the target resets during a request counts."""
        self.ask(1, now=1.0)
        self.owner.from_target(answer(1, reset=True), now=1.01)
        self.assertGreater(self.failed(now=1.01), 20)

    def test_unplanned_end(self) -> None:
        """An unplanned end of the target counts, a planned one doesn't."""
        self.owner.target_ended(now=1.0)
        self.assertGreater(self.failed(now=1.0), 50)
        leaving = owner()
        leaving.condition = Condition.LEAVING
        leaving.target_ended(now=1.0)
        self.assertEqual(leaving.load(now=1.0).failed_percent, 0)


class PlatformFailureTests(unittest.TestCase):
    """The platform's packet codec detects failures by an answer's status."""

    def decoded(self, data: bytes, *, from_target: bool = True):
        segment = Segment(
            flags=ACK, source=("10.2.0.1", 80), destination=("10.3.0.1", 9), data=data
        )
        return PlatformPackets().decode(segment.encode(), from_target=from_target)

    def test_status(self) -> None:
        """Only a 5xx status at the start of a target's answer is a failure."""
        for data, expected in (
            (b"HTTP/1.1 500 Oops\r\n", True),
            (b"HTTP/1.1 503 Busy\r\n", True),
            (b"HTTP/1.1 200 OK\r\n", False),
            (b"HTTP/1.1 421 No\r\n", False),
            (b"the middle of a body: HTTP/1.1 500", False),
            (b"", False),
        ):
            self.assertEqual(self.decoded(data).is_failure, expected, data)
        self.assertFalse(self.decoded(b"HTTP/1.1 500 x", from_target=False).is_failure)


class FailingTargetTests(unittest.TestCase):
    """A balancer's use of failure rates."""

    def test_excluded(self) -> None:
        """New flows wait for a healthy target rather than go to a failing one."""
        rig = SteeringRig(targets=3)
        rig.report("maps-1", now=CONVERGED, failed_percent=80)
        for name in ("maps-2", "maps-3"):
            rig.report(name, now=CONVERGED, in_flight=3)
        self.assertEqual(rig.names(rig.caller(packet(syn=True))), [])
        self.assertTrue(rig.steering.is_waiting)

    def test_a_quarter_at_the_most(self) -> None:
        """When many targets fail, only the worst quarter is excluded."""
        rig = SteeringRig(targets=8)
        for number in range(1, 9):
            rig.report(f"maps-{number}", now=CONVERGED, failed_percent=40 + number)
        candidates = rig.membership.table.packet_candidates("maps", now=CONVERGED)
        names = {c.record.name for c in without_failing(candidates)}
        self.assertEqual(names, {f"maps-{n}" for n in range(1, 7)})

    def test_retried(self) -> None:
        """A balancer without new reports tries the target again."""
        rig = SteeringRig(targets=1)
        rig.report("maps-1", now=CONVERGED, failed_percent=80)
        table = rig.membership.table
        self.assertTrue(
            table.packet_candidates("maps", now=105.0)[0].load.failed_percent
        )
        self.assertFalse(
            table.packet_candidates("maps", now=111.0)[0].load.failed_percent
        )


class FailingTargetSimulationTests(unittest.TestCase):
    """Simulations with failing targets."""

    def outcomes(self, name: str, policy: str) -> list:
        world = WORLDS_BY_NAME[name]
        return [simulate(changed(world, seed=seed), policy) for seed in SEEDS]

    def test_fails_all(self) -> None:
        """A target that fails everything at once gets few requests."""
        with_rates = self.outcomes("one fails all", "product")
        without_rates = self.outcomes("one fails all", "product without evidence")
        for using_rates, ignoring_rates in zip(with_rates, without_rates, strict=True):
            self.assertLess(
                using_rates.failed_attempt_share,
                0.2 * ignoring_rates.failed_attempt_share,
            )
            self.assertGreater(using_rates.served, 0.998)

    def test_fails_a_part(self) -> None:
        """A target that fails part of its requests gets fewer of them."""
        with_rates = self.outcomes("one fails 4 of 10", "product")
        without_rates = self.outcomes("one fails 4 of 10", "product without evidence")
        for using_rates, ignoring_rates in zip(with_rates, without_rates, strict=True):
            self.assertLess(
                using_rates.failed_attempt_share,
                0.5 * ignoring_rates.failed_attempt_share,
            )
