"""Tests of load reports to balancers and of their budget."""

import unittest

from monsoonpier.agent.packets.load import TargetLoad
from monsoonpier.agent.packets.load_reports import (
    MAX_REPORTS_AT_ONCE,
    MAX_REPORTS_PER_SECOND,
    MIN_REPORTS_PER_SECOND,
    LoadReports,
)
from monsoonpier.model.target import Condition
from standins.packets.simulation import Simulation, World
from tests.packets.rig import BALANCER, LOG, OTHER_BALANCER

SERVING = Condition.SERVING


class ReportTests(unittest.TestCase):
    """One target of two slots, and balancers that place flows on it."""

    def setUp(self) -> None:
        self.load = TargetLoad(slots=2)
        self.reports = LoadReports(load=self.load, log=LOG)

    def due(self, *, now: float) -> list[tuple[str, int]]:
        found = self.reports.pop_due(condition=SERVING, now=now)
        return [report.endpoint for report in found]

    def test_reported_with_another_frame(self) -> None:
        """A balancer that got the load with another frame gets no report of it."""
        for balancer in (BALANCER, OTHER_BALANCER):
            self.reports.record_placement(balancer, now=1.0)
        self.load.busy = 2
        self.reports.mark_reported(BALANCER, condition=SERVING, now=1.0)
        self.assertEqual(self.due(now=1.003), [OTHER_BALANCER])
        self.assertEqual(self.due(now=1.006), [])

    def test_back_again(self) -> None:
        """A balancer that missed a slot's use gets no report that it is free again."""
        for balancer in (BALANCER, OTHER_BALANCER):
            self.reports.record_placement(balancer, now=1.0)
        self.due(now=1.0)
        self.load.busy = 2
        self.reports.mark_reported(BALANCER, condition=SERVING, now=1.0)
        self.load.busy = 0
        self.assertEqual(self.due(now=1.02), [BALANCER])

    def test_condition(self) -> None:
        """A change of the target's condition is reported at once."""
        self.reports.record_placement(BALANCER, now=1.0)
        self.due(now=1.0)
        found = self.reports.pop_due(condition=Condition.SHEDDING, now=1.01)
        self.assertEqual([r.frame.load.condition for r in found], [Condition.SHEDDING])

    def test_forgotten(self) -> None:
        """Balancers that have placed nothing for a minute get no reports."""
        self.reports.record_placement(BALANCER, now=1.0)
        self.reports.remove_idle(now=70.0)
        self.assertEqual(self.due(now=70.0), [])

    def test_budget(self) -> None:
        """The number of reports is bounded, however often the load changes."""
        balancers = [("10.1.0.1", port) for port in range(460)]
        sent = 0
        for step in range(1_000):
            now = step / 100
            for balancer in balancers:
                self.reports.record_placement(balancer, now=now)
            self.load.busy = 2 * (step % 2)
            sent += len(self.due(now=now))
        most = MAX_REPORTS_AT_ONCE + 10 * MAX_REPORTS_PER_SECOND
        self.assertLessEqual(sent, most)
        self.assertGreaterEqual(sent, 10 * MIN_REPORTS_PER_SECOND)

    def test_budget_serves_the_latest_first(self) -> None:
        """When the budget is short, the balancers that placed last get reports."""
        balancers = [("10.1.0.1", port) for port in range(100)]
        for number, balancer in enumerate(balancers):
            self.reports.record_placement(balancer, now=number / 1_000)
        notified = self.due(now=0.1)
        self.assertEqual(set(notified), set(balancers[-MAX_REPORTS_AT_ONCE:]))
        self.assertEqual(set(self.due(now=1.6)), set(balancers[:-MAX_REPORTS_AT_ONCE]))


class SimulationTests(unittest.TestCase):
    """Simulations with one slot a target, runs of 16 ms and many balancers."""

    def _simulate(self, **fields):
        world = World(
            targets=24,
            slots=1,
            balancers=12,
            run_seconds=0.0165,
            long_share=0.63,
            long_flows=13,
            seconds=6.0,
            **fields,
        )
        return Simulation(world).run()

    def test_mostly_idle(self) -> None:
        """With few slots in use, all answers are in time, with few reports."""
        outcome = self._simulate(utilisation=0.27)
        self.assertEqual(outcome.in_time, 1.0)
        self.assertLess(outcome.reports / outcome.requests, 31 / 4)

    def test_nearly_full(self) -> None:
        """With most slots in use, nearly all are in time, with few reports."""
        outcome = self._simulate(utilisation=0.9)
        self.assertGreater(outcome.in_time, 0.99)
        self.assertLess(outcome.reports / outcome.requests, 24 / 4)
