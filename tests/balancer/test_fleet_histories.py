"""Histories of whole fleets: ended targets stay away, living ones stay in service."""

import random
import unittest

from standins.membership import SimulatedBalancer, SimulatedFleet

SEEDS = range(4)
SUSPECTED_SECONDS = 10.0  # a target that ended is offered nowhere after this
SETTLED_SECONDS = 15.0  # after the last disturbance
REMOVED_SECONDS = 300.0  # a target that ended is in no table after this
# An exchange is a message and its answer, once a second for each balancer.
MAX_GOSSIP_PER_SECOND = 2.5
ENDED = "maps-0"
LATE_REPORTS_SECONDS = 130.0  # reports of silence are kept for 120 s


class FleetHistoryTests(unittest.TestCase):
    """A target ends while balancers are paused, cut off or restarted."""

    def fleet(self, seed: int) -> tuple[SimulatedFleet, random.Random]:
        """Return a fleet that has run for a while, and numbers for its faults."""
        draw = random.Random(seed)
        fleet = SimulatedFleet(
            seed=seed,
            balancers=draw.randint(3, 12),
            targets=draw.randint(2, 6),
            start_gap=draw.choice((0.0, 0.37, 1.5)),
            loss=draw.choice((0.0, 0.02)),
        )
        fleet.run(40)
        self.check_living(fleet)
        return fleet, draw

    def some(self, fleet: SimulatedFleet, draw: random.Random) -> list:
        """Return a third of the balancers, one at least."""
        balancers = fleet.balancers
        return draw.sample(balancers, max(1, len(balancers) // 3))

    def check_living(self, fleet: SimulatedFleet) -> None:
        """Check that all balancers offer each living target."""
        names = sorted(balancer.record.name for balancer in fleet.balancers)
        for name, agent in fleet.agents_by_name.items():
            if agent.is_alive:
                self.assertEqual(sorted(fleet.offering(name)), names, name)

    def check_gossip(self, fleet: SimulatedFleet) -> None:
        """Check that gossip has its ordinary rate."""
        before = fleet.sent_gossip()
        fleet.run(20)
        sent = fleet.sent_gossip() - before
        self.assertLess(sent / 20 / len(fleet.balancers), MAX_GOSSIP_PER_SECOND)

    def check_end(self, fleet: SimulatedFleet) -> None:
        """Check a fleet after its last disturbance, to long after the removal."""
        fleet.run(SUSPECTED_SECONDS)
        self.assertEqual(fleet.offering(ENDED), [])
        fleet.run(SETTLED_SECONDS - SUSPECTED_SECONDS)
        self.check_living(fleet)
        self.check_gossip(fleet)
        fleet.run(REMOVED_SECONDS)
        for _ in range(10):
            self.assertEqual(fleet.listing(ENDED), [])
            self.check_living(fleet)
            fleet.run(20)

    def end(self, fleet: SimulatedFleet, *, is_announced: bool) -> None:
        """End a target, with or without an announcement."""
        agent = fleet.agents_by_name[ENDED]
        if is_announced:
            agent.leave()
        else:
            agent.is_alive = False

    def test_undisturbed(self):
        """A target ends and no balancer is disturbed."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet, _ = self.fleet(seed)
                self.end(fleet, is_announced=seed % 2 == 0)
                self.check_end(fleet)

    def test_paused_balancers(self):
        """Some balancers are paused while the target ends."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet, draw = self.fleet(seed)
                paused = self.some(fleet, draw)
                self.pause(paused)
                fleet.run(5)
                self.end(fleet, is_announced=seed % 2 == 0)
                fleet.run(draw.uniform(10, 400))
                self.resume(paused)
                self.check_end(fleet)

    def test_balancers_cut_off(self):
        """Some balancers are cut off from the others while the target ends."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet, draw = self.fleet(seed)
                fleet.cut_off(self.some(fleet, draw))
                fleet.run(5)
                self.end(fleet, is_announced=seed % 2 == 0)
                fleet.run(draw.uniform(20, 400))
                fleet.cut_off([])
                self.check_end(fleet)

    def test_restarted_balancers(self):
        """Balancers restart one after the other while another is paused."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet, draw = self.fleet(seed)
                paused = fleet.balancers[0]
                self.pause([paused])
                self.end(fleet, is_announced=seed % 2 == 0)
                for number in range(1, len(fleet.balancers)):
                    fleet.run(draw.uniform(2, 40))
                    fleet.start_balancer(number)
                self.resume([paused])
                self.check_end(fleet)

    def test_pause_alone(self):
        """No target ends: none is suspected after a pause, and gossip calms down."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet, draw = self.fleet(seed)
                paused = self.some(fleet, draw)
                self.pause(paused)
                fleet.run(20)
                self.resume(paused)
                fleet.run(SETTLED_SECONDS)
                self.check_living(fleet)
                self.check_gossip(fleet)

    def test_restarted_agent(self):
        """A target whose agent restarts is soon offered by all."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet, _ = self.fleet(seed)
                self.end(fleet, is_announced=seed % 2 == 0)
                fleet.run(2)
                fleet.start_agent(0)
                fleet.run(SUSPECTED_SECONDS)
                self.check_living(fleet)

    def pause(self, balancers: list[SimulatedBalancer]) -> None:
        """Pause balancers; frames for them are queued."""
        for balancer in balancers:
            balancer.is_paused = True

    def resume(self, balancers: list[SimulatedBalancer]) -> None:
        """Let paused balancers continue."""
        for balancer in balancers:
            balancer.resume()


class DataCentreTests(unittest.TestCase):
    """A third of all processes is lost, or cut off and back."""

    def fleet(self, seed: int) -> SimulatedFleet:
        """Return a fleet in three data centres that has just learned its targets."""
        fleet = SimulatedFleet(seed=seed, balancers=12, targets=60, data_centres=3)
        fleet.run(20)
        return fleet

    def offering(self, fleet: SimulatedFleet, *, is_alive: bool) -> set[int]:
        """Return how many of the living, or of the ended, targets balancers offer."""
        names = {
            name
            for name, agent in fleet.agents_by_name.items()
            if agent.is_alive == is_alive
        }
        return {
            sum(
                c.record.name in names and c.serves and not c.suspected
                for c in balancer.membership.table.all_candidates(now=fleet.now)
            )
            for balancer in fleet.balancers
        }

    def test_lost(self):
        """All that ended are suspected by all in time, and no other."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet = self.fleet(seed)
                fleet.lose("dc-1")
                fleet.run(SUSPECTED_SECONDS)
                self.assertEqual(self.offering(fleet, is_alive=False), {0})
                self.assertEqual(self.offering(fleet, is_alive=True), {40})

    def test_cut_off_and_back(self):
        """Reports of the silence meanwhile don't arrive when it is over."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet = self.fleet(seed)
                fleet.isolate("dc-1")
                fleet.run(20 * (1 + seed))
                fleet.isolate("")
                fleet.run(SUSPECTED_SECONDS)
                for _ in range(int(LATE_REPORTS_SECONDS)):
                    self.assertEqual(self.offering(fleet, is_alive=True), {60})
                    fleet.run(1)
