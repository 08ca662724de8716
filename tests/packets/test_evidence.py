"""Targets that fail requests: judged by what comes back, used less, tried again."""

import unittest
from dataclasses import replace as changed
from unittest import mock

from bench.packet_placement import WORLDS_BY_NAME, simulate
from monsoonpier.agent.packets.evidence import FailureShare
from monsoonpier.balancer.packets.placement import reliable
from monsoonpier.model.target import Condition
from monsoonpier.platform.packets import PlatformPackets
from standins.packets.wire import ACK, Segment
from tests.packets.rig import (
    SETTLED,
    SteeringRig,
    answer,
    carry,
    holder,
    packet,
)

BALANCER = ("10.1.0.1", 7720)
SEEDS = (1, 2)


class FailureShareTests(unittest.TestCase):
    """What an agent concludes from answers."""

    def test_one_failure_is_little_evidence(self) -> None:
        """A single failed request convicts nobody."""
        share = FailureShare()
        share.count(is_failure=True, now=1.0)
        self.assertLess(share.value(now=1.0), 0.5)

    def test_fades(self) -> None:
        """Without evidence a target comes to be tried again."""
        share = FailureShare()
        for number in range(20):
            share.count(is_failure=True, now=number / 10)
        self.assertGreater(share.value(now=2.0), 0.8)
        self.assertLess(share.value(now=30.0), 0.1)

    def test_part_of_the_requests(self) -> None:
        """The share is that of the requests that failed."""
        share = FailureShare()
        for number in range(100):
            share.count(is_failure=number % 10 < 4, now=5.0)
        self.assertAlmostEqual(share.value(now=5.0), 0.4, delta=0.03)


class HolderEvidenceTests(unittest.TestCase):
    """What counts as a failure."""

    def setUp(self) -> None:
        self.holder = holder()

    def ask(self, number: int, *, now: float) -> None:
        """Open a flow and send a request on it."""
        self.bring(packet(number, syn=True), now=now)
        self.holder.from_target(answer(number, syn=True), now=now)
        self.bring(packet(number, size=10), now=now)

    def bring(self, sent, *, now: float) -> None:
        self.holder.from_balancer(carry(sent), sent, sender=BALANCER, now=now)

    def failed(self, *, now: float) -> int:
        return self.holder.load(now=now).failed_percent

    def test_answers_that_say_so(self) -> None:
        """An answer that tells of a failure counts, a good one doesn't."""
        self.ask(1, now=1.0)
        self.holder.from_target(answer(1, size=50), now=1.05)
        self.assertEqual(self.failed(now=1.05), 0)
        self.ask(2, now=1.1)
        self.holder.from_target(answer(2, size=50, failure=True), now=1.1)
        self.assertGreater(self.failed(now=1.1), 20)

    def test_change_is_logged_and_told(self) -> None:
        """A line and a report say that a target has begun to fail."""
        self.ask(1, now=1.0)
        self.holder.load_reports(now=1.0)
        self.holder.from_target(answer(1, size=50, failure=True), now=1.1)
        with mock.patch.object(self.holder._reports._log, "note") as note:
            news = self.holder.load_reports(now=1.1)
        self.assertEqual(note.call_args.args, ("target fails requests",))
        self.assertGreater(news[0].frame.load.failed_percent, 20)

    def test_failure_says_nothing_of_a_run(self) -> None:
        """A target that fails at once doesn't count as a fast one."""
        self.ask(1, now=1.0)
        self.holder.from_target(answer(1, size=50, failure=True), now=1.002)
        self.assertEqual(self.holder.load(now=1.1).service_ms, 0)

    def test_no_answer(self) -> None:
        """A request without a packet for long counts once."""
        self.ask(1, now=1.0)
        self.holder.tick(now=1.9)
        self.assertEqual(self.failed(now=1.9), 0)
        self.holder.tick(now=2.1)
        once = self.failed(now=2.1)
        self.assertGreater(once, 20)
        self.holder.tick(now=2.2)
        self.assertLessEqual(self.failed(now=2.2), once)

    def test_reset_while_it_works(self) -> None:
        """A flow that the target resets under a request counts."""
        self.ask(1, now=1.0)
        self.holder.from_target(answer(1, reset=True), now=1.01)
        self.assertGreater(self.failed(now=1.01), 20)

    def test_end_that_nobody_planned(self) -> None:
        """A target that has ended before may end again; a farewell is no failure."""
        self.holder.ended(now=1.0)
        self.assertGreater(self.failed(now=1.0), 50)
        leaving = holder()
        leaving.condition = Condition.LEAVING
        leaving.ended(now=1.0)
        self.assertEqual(leaving.load(now=1.0).failed_percent, 0)


class PlatformFailureTests(unittest.TestCase):
    """The adapter tells failures by the status of an answer."""

    def decoded(self, data: bytes, *, from_target: bool = True):
        segment = Segment(
            flags=ACK, source=("10.2.0.1", 80), destination=("10.3.0.1", 9), data=data
        )
        return PlatformPackets().decode(segment.encode(), from_target=from_target)

    def test_status(self) -> None:
        """Only an answer's own status of the 5xx kind is a failure."""
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
    """A balancer's use of the evidence."""

    def test_left_out(self) -> None:
        """New flows wait for a sound target in place of going to a failing one."""
        rig = SteeringRig(targets=3)
        rig.report("maps-1", now=SETTLED, failed_percent=80)
        for name in ("maps-2", "maps-3"):
            rig.report(name, now=SETTLED, in_flight=3)
        self.assertEqual(rig.names(rig.caller(packet(syn=True))), [])
        self.assertTrue(rig.steering.is_waiting)

    def test_a_quarter_at_the_most(self) -> None:
        """When many fail, all but the worst quarter are used."""
        rig = SteeringRig(targets=8)
        for number in range(1, 9):
            rig.report(f"maps-{number}", now=SETTLED, failed_percent=40 + number)
        candidates = rig.membership.table.candidates_of("maps", now=SETTLED)
        names = {c.record.name for c in reliable(candidates)}
        self.assertEqual(names, {f"maps-{n}" for n in range(1, 7)})

    def test_forgiven(self) -> None:
        """A balancer that hears nothing more tries the target again."""
        rig = SteeringRig(targets=1)
        rig.report("maps-1", now=SETTLED, failed_percent=80)
        table = rig.membership.table
        self.assertTrue(table.candidates_of("maps", now=105.0)[0].load.failed_percent)
        self.assertFalse(table.candidates_of("maps", now=111.0)[0].load.failed_percent)


class FailingWorldTests(unittest.TestCase):
    """The loads that the judgement answers, replayed in simulated time."""

    def outcomes(self, name: str, policy: str) -> list:
        world = WORLDS_BY_NAME[name]
        return [simulate(changed(world, seed=seed), policy) for seed in SEEDS]

    def test_fails_all(self) -> None:
        """One of seven that fails at once costs a fifth of the requests it did."""
        with_it = self.outcomes("one fails all", "product")
        without = self.outcomes("one fails all", "product without evidence")
        for sound, blind in zip(with_it, without, strict=True):
            self.assertLess(sound.first_failed, 0.2 * blind.first_failed)
            self.assertGreater(sound.served, 0.998)

    def test_fails_a_part(self) -> None:
        """One of seven that fails four in ten costs less than half as many."""
        with_it = self.outcomes("one fails 4 of 10", "product")
        without = self.outcomes("one fails 4 of 10", "product without evidence")
        for sound, blind in zip(with_it, without, strict=True):
            self.assertLess(sound.first_failed, 0.5 * blind.first_failed)
