"""Upgrades and rollbacks in any order: no living target is suspected."""

import random
import unittest

from standins.membership import Build, SimulatedFleet

SEEDS = range(12)
SETTLED_SECONDS = 4.0  # after the start of an agent or a balancer
LONG_SECONDS = 130.0  # longer than suspected targets are kept
# A target of an agent that ignores queries is suspected by then: its observers ask it
# before they report it, and the other balancers after that.
FOUND_SECONDS = 30.0


class UpgradeOrderTests(unittest.TestCase):
    """Agents and balancers of three builds are replaced one by one."""

    def fleet(self, seed: int, draw: random.Random, builds: list) -> SimulatedFleet:
        """Return a fleet whose agents and balancers are of the two ``builds``."""
        self.agent_build, self.balancer_build = builds
        fleet = SimulatedFleet(
            seed=seed,
            balancers=draw.randint(5, 10),
            targets=draw.randint(2, 4),
            loss=draw.choice((0.0, 0.02)),
            agent_build=self.agent_build,
            balancer_build=self.balancer_build,
        )
        self.started_at_by_name: dict[str, float] = {}
        self.run_checked(fleet, 40)
        return fleet

    def run_checked(self, fleet: SimulatedFleet, seconds: float) -> None:
        """Advance time; check in steps that balancers of this build offer all."""
        until = fleet.now + seconds
        while fleet.now < until:
            fleet.run(0.25)
            for balancer in fleet.balancers:
                if balancer.build is Build.SAYING:
                    self.check(fleet, balancer)

    def check(self, fleet: SimulatedFleet, balancer) -> None:
        """Check that a balancer offers each living target that isn't just starting."""
        candidates = balancer.membership.table.all_candidates(now=fleet.now)
        offered = {c.record.name for c in candidates if c.serves and not c.suspected}
        for name, agent in fleet.agents_by_name.items():
            started_at = max(
                self.started_at_by_name.get(each, 0.0)
                for each in (name, balancer.record.name)
            )
            is_settled = fleet.now - max(started_at, 1000.0) > SETTLED_SECONDS
            if agent.is_alive and is_settled:
                self.assertIn(name, offered, f"{balancer.record.name} at {fleet.now}")

    def replace_all(
        self, fleet: SimulatedFleet, draw: random.Random, builds: list
    ) -> None:
        """Replace all processes in a drawn order by such of these builds."""
        numbers = [(True, n) for n in range(len(fleet.agents_by_name))]
        numbers += [(False, n) for n in range(len(fleet.balancers))]
        if draw.random() < 0.5:
            draw.shuffle(numbers)
        elif draw.random() < 0.5:
            numbers.reverse()
        for is_agent, number in numbers:
            name = f"maps-{number}" if is_agent else f"b{number}"
            self.started_at_by_name[name] = fleet.now
            if is_agent:
                fleet.start_agent(number, builds[0])
            else:
                fleet.start_balancer(number, builds[1])
            self.run_checked(fleet, draw.choice((1.0, 6.0, 40.0)))

    def test_drawn_orders(self):
        """An upgrade, and another or a rollback, leave living targets in service."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                draw = random.Random(seed)
                fleet = self.fleet(seed, draw, draw.choices(list(Build), k=2))
                self.replace_all(fleet, draw, draw.choices(list(Build), k=2))
                self.replace_all(fleet, draw, [draw.choice(list(Build)), Build.SAYING])
                self.run_checked(fleet, LONG_SECONDS)

    def test_balancers_first(self):
        """Balancers of this build keep the targets of agents that ignore queries."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                draw = random.Random(seed)
                fleet = self.fleet(seed, draw, [Build.IGNORING, Build.SAYING])
                self.run_checked(fleet, LONG_SECONDS)

    def test_end_of_an_agent_that_ignores_queries(self):
        """Its target is suspected by all balancers, and removed later."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                draw = random.Random(seed)
                fleet = self.fleet(seed, draw, [Build.IGNORING, Build.SAYING])
                fleet.agents_by_name["maps-0"].is_alive = False
                self.run_checked(fleet, FOUND_SECONDS)
                self.assertEqual(fleet.offering("maps-0"), [])
                self.run_checked(fleet, LONG_SECONDS)
                self.assertEqual(fleet.listing("maps-0"), [])
