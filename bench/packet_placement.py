"""Compares the placement of flows without a token with other policies.

The policies run in simulations with the same arrivals, service times and failures.
"""

import itertools
from collections.abc import Iterator, Sequence

from monsoonpier.balancer.target_choice import Candidate, Chosen, NoTarget
from standins.packets.simulation import Fault, Simulation, World

__all__ = ["WORLDS_BY_NAME", "packet_placement", "simulate"]

WORLDS_BY_NAME = {
    "equal, 3 slots": World(),
    "equal, 1 slot": World(targets=20, slots=1, balancers=10),
    "1 slot, burst of 1.7": World(
        targets=20, slots=1, balancers=10, bursts=((6.0, 9.0, 1.7),)
    ),
    "burst of 4": World(bursts=((6.0, 8.0, 4.0),)),
    "one fails all": World(faults=(Fault(failure_share=1.0, at=4.0),)),
    "one fails 4 of 10": World(faults=(Fault(failure_share=0.4, at=4.0),)),
    "one answers 4 of 10 not": World(
        faults=(Fault(failure_share=0.4, is_mute=True, at=4.0),)
    ),
    "one five times slower": World(
        utilisation=0.6, faults=(Fault(slow_ratio=5.0, at=4.0),)
    ),
}


def _untried(query, candidates: Sequence[Candidate]) -> list[Candidate]:
    untried = [c for c in candidates if c.record.name not in query.tried]
    return sorted(untried, key=lambda c: c.record.name)


def _choose_random(simulation, query, candidates, draw):
    untried = _untried(query, candidates)
    return Chosen(record=draw.choice(untried).record) if untried else _no_target()


def _choose_less_loaded_of_two(simulation, query, candidates, draw):
    untried = _untried(query, candidates)
    if not untried:
        return _no_target()
    drawn = draw.sample(untried, min(2, len(untried)))
    return Chosen(record=min(drawn, key=lambda c: c.work + c.sent_since).record)


def _make_round_robin():
    turns = itertools.count()

    def choose(simulation, query, candidates, draw):
        untried = _untried(query, candidates)
        return (
            Chosen(record=untried[next(turns) % len(untried)].record)
            if untried
            else _no_target()
        )

    return choose


def _choose_with_full_knowledge(simulation, query, candidates, draw):
    """Choose by the current state of the targets, which no real balancer can know."""
    untried = _untried(query, candidates)
    if not untried:
        return _no_target()

    def cost(candidate: Candidate) -> float:
        """Estimate the response time in service times, with a penalty for failures."""
        number = int(candidate.record.name.rpartition("-")[2])
        target = simulation.targets[number]
        fault = simulation.fault_of(target)
        ahead = max(target.owner.busy, target.running + len(target.waiting))
        runs = max(1.0, (ahead + 1) / simulation.world.slots)
        flows = query.long_share * candidate.placed / simulation.world.slots
        return (runs + flows / 4) * fault.slow_ratio + 10 * fault.failure_share

    draw.shuffle(untried)  # breaks ties at random
    return Chosen(record=min(untried, key=cost).record)


def _no_target() -> NoTarget:
    return NoTarget(reason="all tried", retry_after=0.1)


def simulate(world: World, policy: str):
    """Simulate a policy with the parameters in ``world``; return the results."""
    match policy:
        case "product":
            return Simulation(world).run()
        case "product without evidence":
            return Simulation(world, sees_failures=False).run()
        case "full knowledge":
            return Simulation(world, choose=_choose_with_full_knowledge).run()
    choose_by_policy = {
        "random": _choose_random,
        "least of two": _choose_less_loaded_of_two,
        "round robin": _make_round_robin(),
    }
    return Simulation(world, choose=choose_by_policy[policy], refuses=False).run()


POLICIES = (
    "product",
    "product without evidence",
    "full knowledge",
    "least of two",
    "round robin",
    "random",
)


def packet_placement() -> Iterator[dict]:
    """Yield the results of each simulation and policy."""
    for name, world in WORLDS_BY_NAME.items():
        for policy in POLICIES:
            outcome = simulate(world, policy)
            yield {
                "figure": "packet_placement",
                "load": name,
                "version": policy,
                "requests": outcome.requests,
                "in_time": round(outcome.in_time, 4),
                "served": round(outcome.served, 4),
                "first_failed": round(outcome.failed_attempt_share, 4),
                "mean_ms": round(outcome.mean_seconds * 1000, 1),
                "resets": outcome.resets,
            }
