"""Statistics and log lines of queued and rejected flows."""

import unittest
from unittest import mock

from monsoonpier.balancer.packets.wait_metrics import wait_metrics
from monsoonpier.balancer.packets.wait_statistics import (
    LOG_INTERVAL_SECONDS,
    MAX_LOG_LINES,
    MAX_REASONS,
    WaitStatistics,
)
from monsoonpier.model.address import Address
from monsoonpier.model.service import Configuration, PacketRoute
from monsoonpier.model.waiting_summary import WaitingSummary
from monsoonpier.process.exposition import expose
from monsoonpier.wire.frames import FlowOwned
from tests.packets.rig import CONVERGED, SERVICE, SteeringRig, load, packet, replace

AIM_SECONDS = 0.2
OTHER_SERVICE = Address(ip="198.18.0.2", port=8443)


def route(*, priority: int = 0) -> PacketRoute:
    return PacketRoute(
        service="maps-0",
        aim_seconds=AIM_SECONDS,
        timeout_seconds=3.0,
        priority=priority,
    )


class SummaryTests(unittest.TestCase):
    """One target with two taken slots, and three callers in sequence."""

    def setUp(self) -> None:
        self.rig = SteeringRig(targets=1)
        self.rig.report("maps-1", now=CONVERGED, in_flight=9, service_ms=40)
        for number in (1, 2, 3):
            self.open_flow(number, now=CONVERGED + number / 10)

    def open_flow(self, number: int, *, now: float) -> list:
        return self.rig.caller(packet(number, syn=True), now=now)

    def summary(self, *, now: float) -> WaitingSummary:
        (found,) = self.rig.steering.waiting_summaries(now=now)
        return found

    def test_waiting(self) -> None:
        """Queued flows are counted as in time or late, with the longest wait."""
        found = self.summary(now=CONVERGED + 0.35)
        self.assertEqual((found.service, found.priority), ("maps", 0))
        self.assertEqual((found.in_time, found.late, found.asked), (1, 2, 3))
        self.assertAlmostEqual(found.oldest_seconds, 0.25)
        self.assertAlmostEqual(found.waited_seconds, 0.25 + 0.15 + 0.05)
        # One flow is ahead of a new one, and there are two slots of 40 ms.
        self.assertAlmostEqual(found.expected_seconds, 0.04)

    def test_served(self) -> None:
        """An accepted flow counts once, with its wait since the first attempt."""
        self.rig.report("maps-1", now=CONVERGED + 0.4, in_flight=0)
        self.rig.steering.retry(now=CONVERGED + 0.4, draw=self.rig.draw)
        for is_open in (False, False, True):
            held = FlowOwned(
                flow=packet(3).flow, agent="maps-1", load=load(9), is_open=is_open
            )
            self.rig.agent(held, now=CONVERGED + 0.45)
        found = self.summary(now=CONVERGED + 0.45)
        self.assertEqual(found.served_by_data_centre, {"dc-1": 1})
        self.assertAlmostEqual(found.wait_seconds, 0.15)
        self.assertEqual(found.served_late, 0)

    def test_rejected(self) -> None:
        """Rejected flows are counted by reason, in total and recently."""
        self.rig.steering.retry(now=CONVERGED + 2.0, draw=self.rig.draw)
        found = self.summary(now=CONVERGED + 2.0)
        self.assertEqual(found.waiting, 0)
        self.assertEqual(found.refused_by_reason, {"no slot came free": 3})
        self.assertAlmostEqual(found.lately.refused, 3.0)
        self.assertLess(self.summary(now=CONVERGED + 60.0).lately.refused, 0.1)

    def test_retransmission(self) -> None:
        """A retransmission that is not placed is not counted as rejected."""
        copy = replace(packet(4, syn=True), waited=0.2)
        self.rig.caller(copy, now=CONVERGED + 0.4)
        self.rig.steering.retry(now=CONVERGED + 2.0, draw=self.rig.draw)
        found = self.summary(now=CONVERGED + 2.0)
        self.assertEqual((found.asked, found.refused), (4, 3))

    def test_without_its_route(self) -> None:
        """A service without a route is dropped from the summaries."""
        self.rig.configure(version=2, service="logs")
        self.assertEqual(self.rig.steering.waiting_summaries(now=CONVERGED + 1.0), ())

    def test_lines(self) -> None:
        """One log line per interval has the queued flows and the changes since."""
        with mock.patch.object(self.rig.steering._context.log, "note") as note:
            for seconds in (0.0, LOG_INTERVAL_SECONDS - 0.1, LOG_INTERVAL_SECONDS):
                self.rig.steering.retry(now=CONVERGED + seconds, draw=self.rig.draw)
        (line,) = [c for c in note.call_args_list if c.args == ("callers wait",)]
        self.assertEqual(line.kwargs["refused"], {"no slot came free": 3})
        self.assertEqual(line.kwargs["asked"], 3)


class BoundsTests(unittest.TestCase):
    """Bounds on services, reasons and log lines."""

    def test_metrics(self) -> None:
        """Metrics have their labels; reasons beyond the limit count as other."""
        waits = WaitStatistics()
        for number in range(3 * MAX_REASONS):
            waits.count_rejected("maps-0", route(), f"reason {number}", now=1.0)
        waits.count_requested("maps-0", route(priority=2))
        summaries = waits.summaries({}, first_attempt_at=lambda flow: None, now=1.0)
        readings = wait_metrics(summaries, data_centre="dc-1")
        lines = expose(lambda: readings).decode().splitlines()
        refused = [line for line in lines if line.startswith("monsoonpier_refused")]
        self.assertEqual(len(refused), MAX_REASONS + 1)
        others = 'priority="0",reason="other",service="maps-0"} 32.0'
        self.assertTrue(any(line.endswith(others) for line in refused), refused)
        asked = 'data_centre="dc-1",priority="2",result="asked",service="maps-0"} 1.0'
        self.assertTrue(any(line.endswith(asked) for line in lines))

    def test_lines(self) -> None:
        """Only the classes with the longest waits are logged."""
        waits = WaitStatistics()
        for number in range(3 * MAX_LOG_LINES):
            waits.count_rejected(f"maps-{number}", route(), "would be late", now=1.0)
        summaries = waits.summaries({}, first_attempt_at=lambda flow: None, now=1.0)
        self.assertEqual(len(waits.log_fields(summaries)), MAX_LOG_LINES)
        self.assertEqual(waits.log_fields(summaries), [])

    def test_classes(self) -> None:
        """Each priority of a service is a class of its own."""
        rig = SteeringRig()
        routes = {SERVICE: route(), OTHER_SERVICE: route(priority=1)}
        rig.membership.configure(Configuration(version=2, routes_by_address=routes))
        rig.steering.configured()
        for number, address in ((1, SERVICE), (2, OTHER_SERVICE), (3, OTHER_SERVICE)):
            rig.caller(packet(number, syn=True, address=address))
        found = rig.steering.waiting_summaries(now=CONVERGED)
        self.assertEqual([(s.priority, s.asked) for s in found], [(0, 1), (1, 2)])
