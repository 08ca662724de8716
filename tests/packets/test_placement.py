"""Placement of new flows by load and distance."""

import random
import unittest

from monsoonpier.balancer.packets.flows import FlowEntry, FlowStatistics
from monsoonpier.balancer.packets.placement import PlacementQuery, place
from monsoonpier.balancer.target_choice import Candidate, Chosen
from monsoonpier.model.target import Condition, LoadReport
from standins.packets.simulation import Simulation, World
from tests.packets.rig import packet, record

DATA_CENTRES = 5
TARGETS = 5  # in each
UPLOAD_BYTES = 40_000


def candidate(number: int, *, draw: random.Random, **load) -> Candidate:
    """Return a target with a service time of 4 to 6 ms, idle unless a load is given."""
    target = record(
        f"logs-{number}", host=number, data_centre=f"dc-{number % DATA_CENTRES}"
    )
    fields = {"service_ms": draw.choice((4, 5, 6)), "condition": Condition.SERVING}
    return Candidate(record=target, load=LoadReport(number=1, **fields | load))


class NearnessTests(unittest.TestCase):
    """Large uploads and small flows in five data centres."""

    def setUp(self) -> None:
        self.draw = random.Random(5)

    def near_share(self, *, short_bytes: float, near_load: dict | None = None) -> float:
        """Return the share of 400 flows that stay in their data centre."""
        near = 0
        for _ in range(400):
            candidates = [
                candidate(
                    n,
                    draw=self.draw,
                    **(near_load or {} if n % DATA_CENTRES == 0 else {}),
                )
                for n in range(DATA_CENTRES * TARGETS)
            ]
            query = PlacementQuery(
                data_centre="dc-0", long_share=0.0, short_bytes=short_bytes
            )
            match place(query, candidates, draw=self.draw):
                case Chosen(record=chosen):
                    near += chosen.data_centre == "dc-0"
        return near / 400

    def test_large_flows_stay_near(self) -> None:
        """Large uploads stay near while near targets are idle."""
        self.assertGreater(self.near_share(short_bytes=UPLOAD_BYTES), 0.9)

    def test_small_flows_stay_near(self) -> None:
        """Most small flows stay near while near targets are as idle as others."""
        self.assertGreater(self.near_share(short_bytes=1_000), 0.85)

    def test_small_flows_leave_fuller_targets(self) -> None:
        """A small flow prefers an idle remote target to a half taken near one."""
        share = self.near_share(short_bytes=1_000, near_load={"in_flight": 1})
        self.assertLess(share, 0.5)

    def test_half_taken_near_targets(self) -> None:
        """A large flow prefers a free near slot to an idle remote target."""
        share = self.near_share(short_bytes=UPLOAD_BYTES, near_load={"in_flight": 1})
        self.assertGreater(share, 0.9)

    def test_nobody_waits_for_a_near_slot(self) -> None:
        """If all near slots are taken, a flow goes to an idle remote target."""
        for size in (UPLOAD_BYTES, 10 * UPLOAD_BYTES):
            share = self.near_share(short_bytes=size, near_load={"in_flight": 2})
            self.assertEqual(share, 0.0)

    def test_long_flows_spread(self) -> None:
        """Flows with many requests are spread by load, not by distance."""
        candidates = [
            candidate(n, draw=self.draw, flows=12 if n % DATA_CENTRES == 0 else 8)
            for n in range(DATA_CENTRES * TARGETS)
        ]
        query = PlacementQuery(
            data_centre="dc-0", long_share=1.0, short_bytes=UPLOAD_BYTES
        )
        chosen = place(query, candidates, draw=self.draw)
        self.assertNotEqual(chosen.record.data_centre, "dc-0")


class FlowStatisticsTests(unittest.TestCase):
    """Statistics of the flows of one address."""

    def observe(
        self, statistics: FlowStatistics, *, sizes: list[int], answer: int
    ) -> None:
        entry = FlowEntry(service="logs", created_at=0.0)
        for number, size in enumerate(sizes):
            statistics.observe(packet(size=size), entry, now=number / 100)
        last = packet(fin=True, acknowledged=packet().acknowledged + answer)
        statistics.observe(last, entry, now=0.5)

    def test_uploads_and_downloads(self) -> None:
        """Sent and acknowledged bytes both count."""
        for sizes, answer in (([1_200] * 33, 300), ([100], 40_000)):
            statistics = FlowStatistics()
            for _ in range(60):
                self.observe(statistics, sizes=sizes, answer=answer)
            self.assertAlmostEqual(
                statistics.short_bytes, sum(sizes) + answer, delta=200
            )
            self.assertLess(statistics.long_share, 0.01)

    def test_first_flow_counts_in_full(self) -> None:
        """The first flow counts in full, since each balancer may see few."""
        statistics = FlowStatistics()
        self.observe(statistics, sizes=[1_200] * 33, answer=300)
        self.assertGreater(statistics.short_bytes, 39_000)

    def test_late_acknowledgement(self) -> None:
        """A reordered acknowledgement doesn't count as a response of 4 GB."""
        statistics = FlowStatistics()
        self.observe(statistics, sizes=[100], answer=-50)
        self.assertLess(statistics.short_bytes, 1_000)


class SpreadTests(unittest.TestCase):
    """A service in three data centres whose slots are mostly idle."""

    def test_near_and_even(self) -> None:
        """Most flows stay near, and the load is spread evenly over the targets."""
        world = World(
            targets=46,
            slots=1,
            balancers=23,
            utilisation=0.27,
            run_seconds=0.0165,
            long_share=0.63,
            long_flows=13,
            seconds=6.0,
        )
        played = Simulation(world).run()
        self.assertEqual(played.in_time, 1.0)
        self.assertLess(played.remote_share, 0.45)
        self.assertLess(played.imbalance, 1.4)
