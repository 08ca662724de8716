"""Ports used again at any time, with any numbers, while processes come and go.

Guards against resets and misdeliveries of live flows by what was true of earlier ones.
More examples by hand: ``PORT_REUSE_EXAMPLES=5000 python -m tests MODULE``.
"""

import os
import unittest

from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from standins.packets.port_reuse import PortReuse

EXAMPLES = int(os.environ.get("PORT_REUSE_EXAMPLES", "40"))
STEPS = 25
BALANCERS = 2
TARGETS = 3
PORTS = (40_001, 40_002)
ANSWER_SECONDS = 2.0  # flow_reorder_ms: a flow's packets reach its target within it
SETTLE_SECONDS = 8.0  # the longest that a balancer waits after its start, twice
# A flow is as old as callers may use it when its port is used again so late.
PAUSES_SECONDS = (0.01, 0.2, 1.0, 4.0, 6.0, 12.0, 35.0, 62.0)

balancers = st.integers(0, BALANCERS - 1)
targets = st.integers(0, TARGETS - 1)
ports = st.sampled_from(PORTS)
# The same number, near ones, one that counts up past the largest, and drawn ones.
sequences = st.one_of(
    st.sampled_from((1_000, 1_101, 17_000, (1 << 32) - 50)),
    st.integers(0, (1 << 32) - 1),
)


class PortReuseMachine(RuleBasedStateMachine):
    """Callers, planned work and faults of the network, in any order."""

    @initialize(seed=st.integers(0, 1 << 16))
    def start(self, seed: int) -> None:
        self.world = PortReuse(seed=seed, balancers=BALANCERS, targets=TARGETS)
        self.world.run(1.5)

    @rule(port=ports, via=balancers, sequence=sequences)
    def open_flow(self, port: int, via: int, sequence: int) -> None:
        """Use a port, whose earlier flow may have been closed or not."""
        flow = self.world.flows_by_port.get(port)
        if flow is not None and flow.is_open:
            self.world.abandon(port)
        self.world.open(port, via=via, sequence=sequence)
        self.world.run(0.3)

    @rule(port=ports, via=balancers)
    def send(self, port: int, via: int) -> None:
        if port in self.world.flows_by_port:
            self.world.send(port, via=via)

    @rule(port=ports, via=balancers)
    def close(self, port: int, via: int) -> None:
        if port in self.world.flows_by_port:
            self.world.close(port, via=via)

    @rule(number=balancers)
    def restart_balancer(self, number: int) -> None:
        self.world.restart_balancer(number)

    @rule(number=targets)
    def restart_agent(self, number: int) -> None:
        self.world.restart_agent(number)

    @rule(number=targets)
    def remove_target(self, number: int) -> None:
        self.world.remove_target(number)

    @rule(number=targets)
    def return_target(self, number: int) -> None:
        self.world.return_target(number)

    @rule(
        loss=st.sampled_from((0.0, 0.0, 0.1)), delay=st.sampled_from((0.0, 0.03, 0.5))
    )
    def disturb_network(self, loss: float, delay: float) -> None:
        self.world.loss_share = loss
        self.world.max_delay_seconds = delay

    @rule(seconds=st.sampled_from(PAUSES_SECONDS))
    def wait(self, seconds: float) -> None:
        self.world.run(seconds)

    @precondition(lambda self: hasattr(self, "world"))
    @rule()
    def check(self) -> None:
        """No live flow was reset or delivered elsewhere."""
        if self.world.violations:
            raise AssertionError(self.world.violations)

    def teardown(self) -> None:
        """Check that live flows are answered through any balancer, when all is calm."""
        if not hasattr(self, "world"):
            return
        world = self.world
        world.loss_share = world.max_delay_seconds = 0.0
        world.run(SETTLE_SECONDS)
        for via in range(BALANCERS):
            served = [f for f in world.flows_by_port.values() if world.is_served(f)]
            for flow in served:
                world.send(flow.port, via=via)
            world.run(ANSWER_SECONDS)
            self.check()
            late = [flow for flow in served if flow.answered != flow.sequence]
            if late:
                raise AssertionError(f"not answered through lb-{via}: {late}")


class PortReuseTests(unittest.TestCase):
    """Flows of living targets, beside earlier ones with their ports."""

    def test_any_history(self) -> None:
        """Live flows are neither reset nor delivered to others, whatever went before.

        An earlier flow's end, owner, replies or numbers decided on a later flow.
        """
        run_state_machine_as_test(
            PortReuseMachine,
            settings=settings(
                max_examples=EXAMPLES,
                stateful_step_count=STEPS,
                derandomize=True,
                database=None,
                deadline=None,
                suppress_health_check=list(HealthCheck),
            ),
        )
