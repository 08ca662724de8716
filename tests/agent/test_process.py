"""The agent's shell: what makes its target leave, and come back."""

import unittest

from monsoonpier.agent.tokens.process import AgentProcess
from monsoonpier.agent.tokens.target_client import HealthHint
from monsoonpier.model.address import Address
from monsoonpier.model.evacuation import Evacuation
from monsoonpier.model.settings import Settings, TargetSettings
from monsoonpier.model.target import Condition
from monsoonpier.wire.frames import HeartbeatAck
from tests.rig import KEYS

HEALTHY = HealthHint(healthy=True)


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
        self.agent._take_hint(HEALTHY)

    async def asyncTearDown(self) -> None:
        self.agent._control.stop()

    def _acknowledge(self, *, allowed: bool) -> None:
        ack = HeartbeatAck(balancer="b1", version=1, known=True, allowed=allowed)
        self.agent._acknowledged(ack)

    @property
    def _state(self) -> str:
        return self.agent._holder.life.state

    async def test_healthy_does_not_make_it_allowed(self):
        """A target that isn't allowed stays leaving though it is healthy."""
        self._acknowledge(allowed=False)
        self.agent._take_hint(HEALTHY)
        self.assertEqual(self._state, "leaving")

    async def test_allowed_again(self):
        """A target that is allowed again serves again."""
        self._acknowledge(allowed=False)
        self._acknowledge(allowed=True)
        self.agent._take_hint(HEALTHY)
        self.assertEqual(self._state, "serving")

    async def test_evacuated(self):
        """An order on its data centre stops new work until it is taken back."""
        for revision, is_active in ((5, True), (3, False), (9, False)):
            order = Evacuation(
                data_centre="dc-1", revision=revision, is_active=is_active
            )
            ack = HeartbeatAck(
                balancer="b1", version=1, known=True, allowed=True, evacuation=order
            )
            self.agent._acknowledged(ack)
            life = self.agent._holder.life
            self.assertEqual(life.takes_flows, revision == 9)
            self.assertEqual(life.takes_requests, revision == 9)
            self.assertIs(
                life.code, Condition.SERVING if revision == 9 else Condition.SHEDDING
            )

    async def test_another_place_evacuated(self):
        """An order on another data centre is none for this target."""
        order = Evacuation(data_centre="dc-2", revision=5, is_active=True)
        ack = HeartbeatAck(
            balancer="b1", version=1, known=True, allowed=True, evacuation=order
        )
        self.agent._acknowledged(ack)
        self.assertTrue(self.agent._holder.life.takes_flows)
