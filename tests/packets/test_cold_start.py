"""Tests of the limit of new flows for cold targets."""

import random
import unittest

import msgspec

from monsoonpier.agent.packets.cold_start import ColdStartLimit
from monsoonpier.model.service import Configuration
from monsoonpier.platform.configuration import PLATFORM_FORMAT
from monsoonpier.wire.frames import Announce, ForwardPacket, SynRejected
from tests.packets.rig import (
    BALANCER,
    OTHER_BALANCER,
    SteeringRig,
    answer,
    frames,
    owner,
    packet,
    record,
)

PER_SECOND = 10.0
COLD_SECONDS = 5.0


class ColdStartLimitTests(unittest.TestCase):
    """A cold target of 100 slots that may get ten new flows a second."""

    def setUp(self) -> None:
        self.owner = owner(slots=100)
        self.owner.target_load.cold.per_second = PER_SECOND
        self.owner.target_load.set_cold_until(1.0 + COLD_SECONDS)
        self.taken: list[float] = []
        self.number = 0

    def forward(self, *, now: float, wait_ms: int = 0) -> list:
        self.number += 1
        sent = packet(self.number, syn=True)
        frame = ForwardPacket(service="maps", payload=sent.raw, wait_ms=wait_ms)
        sender = (BALANCER, OTHER_BALANCER)[self.number % 2]
        actions = self.owner.from_balancer(frame, sent, sender=sender, now=now)
        self.note(actions, now=now)
        return actions

    def note(self, actions: list, *, now: float) -> None:
        for action in actions:
            if getattr(action, "raw", b""):
                self.taken.append(now)

    def most_in_a_second(self) -> int:
        return max(
            sum(start <= at <= start + 1.0 for at in self.taken) for start in self.taken
        )

    def test_any_second(self) -> None:
        """No second of many bursts of callers has more new flows than the limit."""
        draw = random.Random(3)
        for burst in range(50):
            now = 1.0 + burst * 0.09 + draw.random() * 0.05
            for call in range(100):
                self.forward(now=now + call / 100_000)
        self.assertLessEqual(self.most_in_a_second(), PER_SECOND)
        # The limit is also used up.
        self.assertGreaterEqual(len(self.taken), 0.8 * PER_SECOND * 4)

    def test_waits_at_the_agent(self) -> None:
        """A flow that can wait is delivered as soon as the limit allows it."""
        for _ in range(10):
            self.forward(now=1.0)
        self.forward(now=1.2, wait_ms=1_000)
        self.assertEqual(len(self.taken), 10)
        self.note(self.owner.expire(now=2.01), now=2.01)
        self.assertEqual(len(self.taken), 11)

    def test_balancers_are_told(self) -> None:
        """A rejected SYN's load report keeps the balancer from sending more."""
        for _ in range(10):
            self.forward(now=1.0)
        (rejection,) = frames(self.forward(now=1.1), SynRejected)
        rig = SteeringRig(targets=1)
        rig.membership.table.learn(record("maps-1", host=1, slots=100), now=1.0)
        self.assertGreater(rejection.load.in_flight, 100)

    def test_warm(self) -> None:
        """Targets that are warm or have no limit take what their slots allow."""
        for number in range(50):
            self.forward(now=1.0 + COLD_SECONDS + number / 1_000)
        self.assertEqual(len(self.taken), 50)
        unlimited = ColdStartLimit()
        unlimited.until = 9.0
        for _ in range(50):
            self.assertTrue(unlimited.allows(now=1.0))
            unlimited.record(now=1.0)

    def test_open_flows_go_on(self) -> None:
        """Packets of open flows do not count against the limit."""
        self.forward(now=1.0)
        self.owner.from_target(answer(1, syn=True), now=1.0)
        for _ in range(9):
            self.forward(now=1.0)
        sent = packet(1, size=10)
        frame = ForwardPacket(service="maps", payload=sent.raw)
        actions = self.owner.from_balancer(frame, sent, sender=BALANCER, now=1.1)
        self.assertIn(sent.raw, [getattr(action, "raw", b"") for action in actions])


class LimitConfigurationTests(unittest.TestCase):
    """How the configured limit reaches an agent."""

    def _configuration(self, cold_per_s: float) -> Configuration:
        body = {
            "version": 3,
            "routes": [],
            "services": [{"name": "maps", "cold_per_s": cold_per_s}],
        }
        return PLATFORM_FORMAT.decode(msgspec.json.encode(body))

    def test_from_the_configuration(self) -> None:
        """A service's limit is read; 0 means none, and negative values are invalid."""
        limits = self._configuration(7.5).cold_per_second_by_service
        self.assertEqual(limits, {"maps": 7.5})
        self.assertEqual(self._configuration(0.0).cold_per_second_by_service, {})
        with self.assertRaises(ValueError):
            self._configuration(-1.0)

    def test_with_acknowledgements(self) -> None:
        """Balancers send the limit with each acknowledgement of a heartbeat."""
        rig = SteeringRig(targets=0)
        rig.membership.configure(self._configuration(7.5))
        announce = Announce(record=record("maps-1", host=1))
        (reply,) = rig.membership.from_process(
            announce, sender=("10.2.0.1", 7720), now=1.0, draw=rig.draw
        )
        self.assertEqual(reply.frame.cold_per_second, 7.5)
