"""Balancers that learn of changes only from others, which fail; on loopback."""

import asyncio
import time
import unittest

from monsoonpier.model.rendezvous import top
from standins.packets.deployment import PacketDeployment

BALANCERS = ("lb-1", "lb-2", "lb-3", "lb-4")
SETTLE_SECONDS = 5.0  # balancers watch until they know each other
# For a busy machine; without reads of their own, balancers look after 60 s.
IN_FORCE_SECONDS = 20.0


class LostWatcherTests(unittest.IsolatedAsyncioTestCase):
    """Four balancers of one data centre, of which two watch the store."""

    async def asyncSetUp(self) -> None:
        deployment = PacketDeployment(net="127.84.54", seed=54, has_proxies=True)
        await self.enterAsyncContext(deployment)
        deployment.configure()
        for name in BALANCERS:
            deployment.ip(name)
        self.deployment = deployment
        await asyncio.gather(
            *(deployment.start_balancer(name) for name in BALANCERS),
            deployment.start_pair("maps-1", "maps"),
        )
        await asyncio.sleep(SETTLE_SECONDS)
        self.watchers = top("platform watch", BALANCERS, count=2)

    async def _wait_in_force(self, version: int) -> None:
        """Wait until the balancers that don't watch have a version."""
        until = time.monotonic() + IN_FORCE_SECONDS
        for name in set(BALANCERS) - set(self.watchers):
            while time.monotonic() < until:
                metric = "monsoonpier_configuration_version"
                if await self.deployment.metric(name, metric) == version:
                    break
                await asyncio.sleep(0.1)
            else:
                log = self.deployment.nodes_by_name[name].log.read_text()
                self.fail(f"{name} has no version {version}: {log[-2000:]}")

    async def test_cut_off(self) -> None:
        """Watchers that still gossip but don't reach the store hold up nobody.

        Guards against balancers that act on an old configuration since those they
        learn from are cut off, though their own path to the store is good.
        """
        for name in self.watchers:
            faults = self.deployment.links_by_name[name].store.faults
            faults.blocks_to_server = faults.blocks_from_server = True
        await asyncio.sleep(1.0)
        await self._wait_in_force(self.deployment.configure())
