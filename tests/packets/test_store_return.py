"""Restore of the store from a backup, on loopback."""

import asyncio
import unittest

from standins.packets.deployment import PacketDeployment
from standins.packets.load import PacketLoad

BALANCERS = ("lb-1", "lb-2", "lb-3")
RESTORED = ("store_generation", 1)
REGISTERED = {f"monsoonpier/balancers/{name}" for name in BALANCERS}


class RestoreTests(unittest.IsolatedAsyncioTestCase):
    """Two data centres under load while the store is restored from a backup."""

    async def asyncSetUp(self) -> None:
        deployment = PacketDeployment(net="127.84.21", seed=3, zones=("dc-1", "dc-2"))
        await self.enterAsyncContext(deployment)
        deployment.configure()
        for name in BALANCERS:
            deployment.ip(name)
        self.deployment = deployment
        self.store = deployment.store
        self.backup = self.store.store.backup()  # before any balancer has registered
        await asyncio.gather(
            *(deployment.start_balancer(name) for name in BALANCERS),
            deployment.start_pair("maps-1", "maps"),
            deployment.start_pair("maps-2", "maps", zone="dc-2"),
            deployment.start_pair("logs-1", "logs"),
        )
        self.emptied = deployment.targets_by_name["maps-2"]

    async def _opened(self, seconds: float) -> int:
        before = self.emptied.opened
        await asyncio.sleep(seconds)
        return self.emptied.opened - before

    def _registered(self) -> set[str]:
        found = self.store.store.read("", end=b"\xff", now=0.0).values_by_key
        return REGISTERED & set(found)

    def _store_events(self) -> str:
        """Return the log lines of balancers that tell how each fared with the store."""
        events = ("store restored", "store unreachable", "registered", "watch")
        return "\n".join(
            line
            for name in BALANCERS
            for line in self.deployment.nodes_by_name[name].log.read_text().splitlines()
            if any(event in line for event in events)
        )

    async def _restore_store(self) -> None:
        """Take the store down and restore it from the backup."""
        self.store.faults.is_down = True
        await asyncio.sleep(0.5)
        self.store.store.restore(self.backup)
        self.store.faults.is_down = False

    async def test_restore_under_load(self) -> None:
        """Registrations return, orders stay in force, no configuration is reverted."""
        load = PacketLoad(deployment=self.deployment, seed=5)
        load.start(readers=6, writers=3, uploaders=1)
        # Revisions that the restored store reaches only much later.
        for _ in range(200):
            self.store.put("op/other", b"{}")
        version = self.deployment.configure()
        self.store.put("op/evacuate/dc-2", b"{}")
        await asyncio.sleep(1.5)
        await self._restore_store()
        await asyncio.sleep(2.0)
        self.assertEqual(self._registered(), REGISTERED, self._store_events())
        self.assertEqual(await self._opened(1.0), 0)  # before the order is given again
        self.store.put("op/evacuate/dc-2", b"{}")
        self.assertEqual(await self._opened(4.0), 0)
        self.store.remove("op/evacuate/dc-2")
        await asyncio.sleep(1.0)
        # New flows prefer the callers' data centre, dc-1, while it accepts them.
        self.store.put("op/evacuate/dc-1", b"{}")
        self.assertGreater(await self._opened(1.0), 0)
        self.store.remove("op/evacuate/dc-1")
        self.store.put("op/evacuate/dc-2", b"{}")
        await asyncio.sleep(1.0)
        self.assertEqual(await self._opened(1.0), 0)
        for name in BALANCERS:
            for metric, value in (("configuration_version", version), RESTORED):
                found = await self.deployment.metric(name, f"monsoonpier_{metric}")
                self.assertEqual(found, value)
        verdict = await load.stop()
        self.assertTrue(verdict.is_clean, f"{verdict} {load.reasons}")
        self.assertEqual(load.counts["failed"], 0, load.reasons)
