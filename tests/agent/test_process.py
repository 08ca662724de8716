"""Tests of the agent's process: what makes its target drain and serve again."""

import unittest

from monsoonpier.agent.tokens.process import AgentProcess
from monsoonpier.agent.tokens.target_client import HealthStatus
from monsoonpier.model.address import Address
from monsoonpier.model.evacuation import Evacuation
from monsoonpier.model.settings import Settings, TargetSettings
from monsoonpier.model.target import Condition
from monsoonpier.wire.frames import HeartbeatAck
from tests.rig import KEYS

HEALTHY = HealthStatus(healthy=True)


class AllowedTests(unittest.IsolatedAsyncioTestCase):
    """A target serves only while the configuration allows it."""

    async def asyncSetUp(self) -> None:
        address = Address(ip="127.0.0.1", port=9)
        self.agent = AgentProcess(
            settings=Settings(
                role="agent",
                name="maps-1",
                data_centre="dc-1",
                platform=("http://127.0.0.1:1",),
                keys=KEYS,
                internal=address,
                control=address,
                metrics=address,
                target=TargetSettings(service="maps", url="http://127.0.0.1:1"),
            )
        )
        self.agent._handle_health(HEALTHY)

    async def asyncTearDown(self) -> None:
        self.agent._control.stop()

    def _acknowledge(self, *, allowed: bool) -> None:
        ack = HeartbeatAck(balancer="b1", version=1, known=True, allowed=allowed)
        self.agent._handle_heartbeat_ack(ack)

    @property
    def _state(self) -> str:
        return self.agent._owner.lifecycle.state

    async def test_healthy_does_not_make_it_allowed(self):
        """A healthy target that isn't allowed stays leaving."""
        self._acknowledge(allowed=False)
        self.agent._handle_health(HEALTHY)
        self.assertEqual(self._state, "leaving")

    async def test_allowed_again(self):
        """A target serves again when it is allowed again."""
        self._acknowledge(allowed=False)
        self._acknowledge(allowed=True)
        self.agent._handle_health(HEALTHY)
        self.assertEqual(self._state, "serving")

    async def test_evacuated(self):
        """An evacuation order stops new work until a newer one revokes it."""
        for revision, is_active in ((5, True), (3, False), (9, False)):
            order = Evacuation(
                data_centre="dc-1", revision=revision, is_active=is_active
            )
            ack = HeartbeatAck(
                balancer="b1", version=1, known=True, allowed=True, evacuation=order
            )
            self.agent._handle_heartbeat_ack(ack)
            lifecycle = self.agent._owner.lifecycle
            self.assertEqual(lifecycle.takes_flows, revision == 9)
            self.assertEqual(lifecycle.takes_requests, revision == 9)
            self.assertIs(
                lifecycle.condition,
                Condition.SERVING if revision == 9 else Condition.SHEDDING,
            )

    async def test_other_data_centre_evacuated(self):
        """An order for another data centre doesn't affect this target."""
        order = Evacuation(data_centre="dc-2", revision=5, is_active=True)
        ack = HeartbeatAck(
            balancer="b1", version=1, known=True, allowed=True, evacuation=order
        )
        self.agent._handle_heartbeat_ack(ack)
        self.assertTrue(self.agent._owner.lifecycle.takes_flows)
