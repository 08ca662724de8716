"""Tests of the accounting of slot use."""

import unittest

from monsoonpier.agent.packets.slot_use import LOG_INTERVAL_SECONDS, SlotUse
from monsoonpier.process.exposition import expose
from monsoonpier.wire.frames import ForwardPacket
from standins.packets.simulation import Simulation, World
from tests.packets.rig import BALANCER, answer, owner, packet

GONE_SECONDS = 0.4  # longer than any slot is kept for a caller's first request


class SlotUseTests(unittest.TestCase):
    """A target of one slot, whose run ends while a flow waits at its agent."""

    def setUp(self) -> None:
        self.owner = owner(slots=1)
        self.use = self.owner.target_load.use
        self.owner.tick(now=1.0)
        self.forward(1, syn=True, now=1.0)
        self.open_and_ask(1, now=1.0)
        self.forward(2, syn=True, now=1.01)
        self.finish(1, now=1.1)

    def forward(self, number: int, *, now: float, **fields) -> None:
        sent = packet(number, **fields)
        frame = ForwardPacket(
            service="maps", payload=sent.raw, in_time_ms=1_000, wait_ms=1_000
        )
        self.owner.from_balancer(frame, sent, sender=BALANCER, now=now)

    def open_and_ask(self, number: int, *, now: float) -> None:
        self.owner.from_target(answer(number, syn=True), now=now)
        self.forward(number, size=10, now=now)

    def finish(self, number: int, *, now: float) -> None:
        self.owner.from_target(answer(number, size=50), now=now)

    def test_handshake_between_two_runs(self) -> None:
        """The time between two runs counts as kept, as idle and as a gap."""
        self.open_and_ask(2, now=1.105)
        self.finish(2, now=1.205)
        total = self.use.total
        self.assertAlmostEqual(total.busy, 0.2)
        self.assertAlmostEqual(total.kept, 0.005)
        self.assertAlmostEqual(total.idle, 0.005)
        self.assertEqual(total.runs, 2)
        self.assertEqual((total.silent, total.dropped), (0, 0))
        self.assertAlmostEqual(self.use.gap_seconds.sums[0], 0.005)

    def test_silent_caller(self) -> None:
        """A slot kept for a silent caller while another flow waits is counted."""
        self.forward(3, syn=True, now=1.1)
        self.owner.from_target(answer(2, syn=True), now=1.1)
        self.owner.expire(now=1.1 + GONE_SECONDS)
        total = self.use.total
        self.assertAlmostEqual(total.idle_while_queued, GONE_SECONDS)
        self.assertEqual(total.silent, 1)
        self.assertAlmostEqual(total.kept_in_vain, GONE_SECONDS)

    def test_silent_caller_on_busy_slot(self) -> None:
        """A silent caller keeps no slot while another request runs on it."""
        self.open_and_ask(2, now=1.1)
        self.owner.target_load.busy -= 1  # so that one more is delivered
        self.forward(3, syn=True, now=1.1)
        self.owner.target_load.busy += 1
        self.owner.from_target(answer(3, syn=True), now=1.1)
        self.owner.expire(now=1.1 + GONE_SECONDS)
        total = self.use.total
        self.assertEqual((total.silent, total.kept_in_vain), (1, 0.0))

    def test_ended_target(self) -> None:
        """The slots of a target that takes no new flows are not idle."""
        self.owner.target_ended(now=1.1)
        self.owner.condition = self.owner.condition.UNRESPONSIVE
        self.owner.tick(now=1.1)
        self.owner.tick(now=9.1)
        self.assertAlmostEqual(self.use.total.idle, 0.0)

    def test_metrics(self) -> None:
        """The metrics have the use of the slots and the waiting flows."""
        metrics = self.owner.target_load.metrics
        lines = expose(lambda: metrics).decode().splitlines()
        for line in (
            "monsoonpier_slots 1.0",
            'monsoonpier_queued_flows{class="in_time"} 0.0',
            'monsoonpier_slot_turns_total{outcome="ran"} 1.0',
            "monsoonpier_slot_gap_seconds_count 0.0",
        ):
            self.assertIn(line, lines)

    def test_summaries(self) -> None:
        """A summary is due every five seconds, except for an idle target."""
        self.assertIsNone(self.use.summary_if_due(now=1.0 + LOG_INTERVAL_SECONDS - 0.1))
        used = self.use.summary_if_due(now=1.0 + LOG_INTERVAL_SECONDS)
        self.assertEqual(used.runs, 1)
        self.assertIsNone(self.use.summary_if_due(now=1.0 + 2 * LOG_INTERVAL_SECONDS))


class SaturationTests(unittest.TestCase):
    """A service of ten slots under 1.3 times the load it can serve."""

    def test_sums(self) -> None:
        """The busy time is the time of all runs, and each run has its gap."""
        world = World(targets=10, slots=1, utilisation=1.3, long_share=0.0)
        simulation = Simulation(world)
        simulation.run()
        uses = [target.owner.target_load.use for target in simulation.targets]
        busy = sum(use.total.busy for use in uses)
        runs = sum(use.total.runs for use in uses)
        gaps = [sum(use.gap_seconds.counts) for use in uses]
        self.assertAlmostEqual(busy / runs, world.run_seconds, delta=0.003)
        self.assertGreater(min(gaps), 50)


class SumTests(unittest.TestCase):
    """Slot use without a target."""

    def test_every_slot_counts(self) -> None:
        """Each second of each slot is either busy or idle."""
        use = SlotUse()
        use.observe(slots=4, running=1, expected=2, queued=0, now=0.0)
        use.observe(slots=4, running=6, expected=0, queued=3, now=1.0)
        use.observe(slots=4, running=3, expected=0, queued=3, now=2.0)
        use.observe(slots=4, running=4, expected=0, queued=0, now=3.0)
        total = use.total
        self.assertEqual((total.busy, total.idle), (1 + 4 + 3, 3 + 0 + 1))
        self.assertEqual((total.kept, total.idle_while_queued), (2, 1))
