"""Tests of the estimated service time."""

import unittest

from tests.packets.rig import BALANCER, answer, carry, owner, packet


class RunTimesTests(unittest.TestCase):
    """A target of one slot at which one more request always waits."""

    RUN_SECONDS = 0.05

    def setUp(self) -> None:
        self.owner = owner(slots=1)
        self.now = 1.0
        self.number = 0
        self.ask(0, now=self.now)

    def ask(self, number: int, *, now: float) -> None:
        for sent in (packet(number, syn=True), packet(number, size=10)):
            frame = carry(sent, tried=("a", "b", "c"))
            self.owner.from_balancer(frame, sent, sender=BALANCER, now=now)
            if sent.is_syn:
                self.owner.from_target(answer(number, syn=True), now=now)

    def run_requests(self, *, runs: int, seconds: float) -> None:
        for _ in range(runs):
            self.ask(self.number + 1, now=self.now + seconds / 2)
            self.now += seconds
            done = answer(self.number, size=50)
            self.owner.from_target(done, now=self.now)
            self.number += 1

    def test_estimated_while_all_slots_are_taken(self) -> None:
        """The time that a request waited at the target is left out."""
        self.run_requests(runs=40, seconds=self.RUN_SECONDS)
        estimate = self.owner.target_load.run_seconds
        self.assertAlmostEqual(estimate, self.RUN_SECONDS, delta=0.002)

    def test_target_that_turns_slow(self) -> None:
        """The estimate follows a target that becomes slower under full load."""
        self.run_requests(runs=10, seconds=self.RUN_SECONDS)
        self.run_requests(runs=40, seconds=3 * self.RUN_SECONDS)
        estimate = self.owner.target_load.run_seconds
        self.assertAlmostEqual(estimate, 3 * self.RUN_SECONDS, delta=0.01)

    def test_request_without_an_answer(self) -> None:
        """The estimate goes on after a caller has reset its flow."""
        self.run_requests(runs=10, seconds=self.RUN_SECONDS)
        sent = packet(self.number, reset=True)
        self.owner.from_balancer(carry(sent), sent, sender=BALANCER, now=self.now)
        self.number += 1
        self.ask(self.number, now=self.now)
        self.run_requests(runs=60, seconds=3 * self.RUN_SECONDS)
        estimate = self.owner.target_load.run_seconds
        self.assertAlmostEqual(estimate, 3 * self.RUN_SECONDS, delta=0.01)

    def test_failures_are_ignored(self) -> None:
        """A request that fails at once doesn't change the estimate."""
        self.run_requests(runs=40, seconds=self.RUN_SECONDS)
        failed = answer(self.number, size=50, failure=True)
        self.owner.from_target(failed, now=self.now + 0.001)
        estimate = self.owner.target_load.run_seconds
        self.assertAlmostEqual(estimate, self.RUN_SECONDS, delta=0.002)


if __name__ == "__main__":
    unittest.main()
