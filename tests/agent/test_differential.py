"""Compares the product with a naive model on the same generated traces."""

import unittest
from dataclasses import dataclass, field

from hypothesis import HealthCheck, given, settings, strategies as st

from monsoonpier.agent.tokens.owner import IDLE_FLOW_SECONDS
from monsoonpier.model.outcome import Done, NotRun, Refused
from tests.rig import Rig


@dataclass(kw_only=True)
class Naive:
    """A naive model: answers each request as it comes, and runs it once."""

    answers_by_body: dict[bytes, bytes] = field(default_factory=dict)

    def request(self, body: bytes) -> bytes:
        """Run a request once and return its answer."""
        if body not in self.answers_by_body:
            self.answers_by_body[body] = b"answer to " + body
        return self.answers_by_body[body]


@dataclass(frozen=True, kw_only=True)
class Step:
    """One step of a trace; ``wait`` is the seconds since the step before."""

    what: str
    wait: float
    size: int


STEPS = st.builds(
    Step,
    what=st.sampled_from(
        ["request"] * 6
        + ["open", "close", "replace agent", "replace balancers", "leave"]
    ),
    wait=st.sampled_from([0.0, 0.005, 0.05, 0.3]),
    size=st.sampled_from([0, 100, 1100, 5000]),
)
BALANCER_STEPS = st.builds(
    Step,
    what=st.sampled_from(
        ["request", "request", "request", "open", "replace balancers"]
    ),
    wait=st.sampled_from([0.02, 0.1]),
    size=st.sampled_from([0, 100, 1100, 5000]),
)
NETWORKS = st.fixed_dictionaries(
    {
        "drop": st.sampled_from([0.0, 0.05, 0.3]),
        "duplicate": st.sampled_from([0.0, 0.3]),
        "reorder": st.sampled_from([0.0, 0.5]),
        "late_copy_seconds": st.sampled_from([0.0, 0.4, 1.0]),
    }
)
TRACES = {
    "steps": st.lists(STEPS, min_size=1, max_size=14),
    "seed": st.integers(0, 999),
    "network": NETWORKS,
}
SETTINGS = settings(
    deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)


def _play(steps: list[Step], *, seed: int, network: dict) -> tuple[Rig, list[bytes]]:
    """Execute a trace; return the rig and the bodies of the requests sent."""
    rig = Rig(seed=seed)
    for name, value in network.items():
        setattr(rig.network, name, value)
    session = rig.open()
    rig.run(1.0)
    bodies: list[bytes] = []
    for number, step in enumerate(steps):
        rig.run(step.wait)
        match step.what:
            case "request" if session.takes_work:
                bodies.append(b"%d " % number + b"x" * step.size)
                rig.request(session, "top-up", bodies[-1])
            case "open":
                session = rig.open()
                rig.run(1.0)
            case "close":
                if session.is_idle:
                    session.close()
                    rig._flush(session)
            case "replace agent":
                rig.replace_agent("maps-1")
            case "replace balancers":
                rig.replace_balancers()
            case "leave":
                holder = rig.holders["maps-2"]
                rig._do("maps-2", holder.leave(now=rig.now))
    rig.run(10.0)
    return rig, bodies


class DifferentialTests(unittest.TestCase):
    """On every trace the product's outcomes agree with the naive model."""

    @settings(SETTINGS, max_examples=150)
    @given(**TRACES)
    def test_under_faults(self, steps, seed, network):
        """Answers match, no request runs twice, and "not run" requests never ran."""
        rig, bodies = _play(steps, seed=seed, network=network)
        naive = Naive()
        for body in bodies:
            runs = rig.target.runs[body]
            self.assertLessEqual(runs, 1)
            match rig.outcomes.get(body):
                case Done(body=answer):
                    self.assertEqual(answer, naive.request(body))
                case NotRun() | Refused():
                    self.assertEqual(runs, 0)
                case None:
                    self.fail("no final outcome")

    @settings(SETTINGS, max_examples=60)
    @given(
        steps=st.lists(BALANCER_STEPS, min_size=1, max_size=10),
        seed=st.integers(0, 999),
    )
    def test_same_outcomes_while_balancers_are_replaced(self, steps, seed):
        """Replacing balancers changes no outcome on an established flow."""
        rig, bodies = _play(steps, seed=seed, network={})
        naive = Naive()
        for body in bodies:
            self.assertEqual(
                rig.outcomes.get(body), Done(status=200, body=naive.request(body))
            )

    @settings(SETTINGS, max_examples=40)
    @given(**TRACES)
    def test_nothing_is_left_behind(self, steps, seed, network):
        """Expired flows release their memory, slots and places in the queue."""
        rig, _ = _play(steps, seed=seed, network=network)
        rig.sessions.clear()
        rig.run(IDLE_FLOW_SECONDS + 10)
        for holder in rig.holders.values():
            self.assertEqual(holder.flows, 0)
            self.assertEqual(holder.requests.kept_bytes, 0)
            self.assertEqual(holder.requests.in_flight, 0)
            self.assertEqual(holder.requests.queued, 0)
