"""The store link of a balancer: registration, watchers and configuration copy."""

import random
import unittest
from unittest import mock

import msgspec
from structlog.testing import capture_logs

from monsoonpier.balancer.configuration_copy import (
    MAX_COPY_BYTES,
    ConfigurationCopies,
    ConfigurationCopy,
    encode_copy,
)
from monsoonpier.balancer.peers import Peers
from monsoonpier.balancer.registration import LEASE_TTL_SECONDS
from monsoonpier.balancer.store_link import EvacuationsRead, StoreLink
from monsoonpier.balancer.stored_configuration import CurrentConfiguration
from monsoonpier.model.evacuation import Evacuation
from monsoonpier.store.interface import LeaseNotFoundError, Put, StoreError
from monsoonpier.store.keys import BALANCERS, CONFIGURATION, CONFIGURATION_COPY
from monsoonpier.wire.frames import BalancerRecord, DirectoryReply, FrameCodec
from standins.fake_store import FakeStore
from tests.rig import KEYS, balancer


def record(name: str, *, data_centre: str) -> BalancerRecord:
    return msgspec.structs.replace(
        balancer(name).peers.own, name=name, data_centre=data_centre
    )


class LinkTests(unittest.IsolatedAsyncioTestCase):
    """Registration under a lease, choice of watchers, and the configuration copy."""

    async def asyncSetUp(self) -> None:
        self.now = 1000.0
        self.platform = FakeStore(clock=lambda: self.now)
        self.configuration = mock.create_autospec(CurrentConfiguration, instance=True)
        self.configuration.value_bytes = 0
        self.evacuated: list[Evacuation | EvacuationsRead] = []
        self.peers = Peers(own=balancer("b1").peers.own)
        self.link = StoreLink(
            store=self.platform,
            peers=self.peers,
            codec=FrameCodec(keys=KEYS),
            copies=ConfigurationCopies(store=self.platform, keys=KEYS),
            configuration=self.configuration,
            evacuate=self.evacuated.append,
            draw=random.Random(1),
            clock=lambda: self.now,
        )

    async def _registered(self) -> list[str]:
        return list((await self.platform.read(BALANCERS, prefix=True)).values_by_key)

    async def test_renewed(self):
        """Renewals before expiry keep one lease and one registration."""
        for _ in range(10):
            await self.link.registration.renew_or_register()
            self.now += 10
        self.assertEqual(await self._registered(), [BALANCERS + "b1"])
        self.assertEqual(self.link.registration.lease.id, 7001)

    async def test_paused_past_its_lease(self):
        """A balancer that resumes after its lease has expired takes a new one."""
        await self.link.registration.renew_or_register()
        self.now += LEASE_TTL_SECONDS * 3
        self.assertEqual(await self._registered(), [])
        await self.link.registration.renew_or_register()
        self.assertEqual(await self._registered(), [BALANCERS + "b1"])
        self.assertEqual(self.link.registration.lease.id, 7002)

    async def test_paused_during_a_write(self):
        """A write that arrives after the lease has expired is rejected."""
        await self.link.registration.renew_or_register()
        lease = self.link.registration.lease
        self.assertTrue(lease.may_act(now=self.now))
        put = Put(key=BALANCERS + "b1", value=b"old", lease=lease.id)
        # The process is paused here until its lease has expired.
        self.now += LEASE_TTL_SECONDS * 2
        with self.assertRaises(LeaseNotFoundError):
            await self.platform.transact(compares=(), puts=(put,))
        self.assertFalse(lease.may_act(now=self.now))
        self.assertEqual(await self._registered(), [])

    async def test_outage(self):
        """Peers stay known during an outage; then the balancer registers again."""
        await self.link.registration.renew_or_register()
        self.peers.learn(balancer("b2", host=2).peers.own)
        self.platform.is_down = True
        with self.assertRaises(StoreError):
            await self.link.registration.renew_or_register()
        self.assertIn("b2", self.peers.records_by_name)
        self.now += LEASE_TTL_SECONDS * 2
        self.platform.is_down = False
        await self.link.registration.renew_or_register()
        self.assertEqual(await self._registered(), [BALANCERS + "b1"])

    async def test_leaving(self):
        """A leaving balancer removes its registration at once."""
        await self.link.registration.renew_or_register()
        await self.link.leave()
        self.assertEqual(await self._registered(), [])

    async def test_lost_answer_of_registration(self):
        """A registration whose answer was lost is repeated."""
        self.platform.lost_answers = 1
        with self.assertRaises(StoreError):
            await self.link.registration.renew_or_register()
        self.assertFalse(self.link.registration.lease.may_act(now=self.now))
        await self.link.registration.renew_or_register()
        self.assertTrue(self.link.registration.lease.may_act(now=self.now))

    async def test_invalid_entries(self):
        """Entries that no balancer wrote are ignored and logged."""
        mine = balancer("b2", host=2).peers.own
        codec = FrameCodec(keys=KEYS)
        values_by_name = {
            "b2": codec.encode(mine),
            "b3": b"\xff\x00",
            "b4": b"",
            "b5": codec.encode(mine),  # under a key that isn't its own
            "b6": codec.encode(DirectoryReply(flow=b"f", owner="b6")),
        }
        puts = tuple(
            Put(key=BALANCERS + name, value=value, lease=0)
            for name, value in values_by_name.items()
        )
        await self.platform.transact(compares=(), puts=puts)
        with capture_logs() as lines:
            await self.link._read()
        self.assertEqual(set(self.peers.records_by_name), {"b1", "b2"})
        rejected = [line for line in lines if line["event"] == "entries not usable"]
        self.assertEqual([line["count"] for line in rejected], [4])

    def test_few_watch(self):
        """At most two balancers of a data centre watch."""
        nodes = [balancer(f"b{n}", host=n) for n in range(1, 60)]
        for node in nodes:
            for other in nodes:
                node.peers.learn(other.peers.own)
        watchers = [n for n in nodes if n.peers.is_watcher(now=1.0)]
        self.assertEqual(len(watchers), 2)

    def _watchers(self, *, data_centres: int, isolated: str = "") -> list[str]:
        """Return the data centres of the watchers among four balancers in each."""
        records = [
            record(f"b{n}", data_centre=f"dc-{n % data_centres}")
            for n in range(4 * data_centres)
        ]
        watchers = []
        for own in records:
            peers = Peers(own=own)
            for other in records:
                if own.data_centre != isolated != other.data_centre:
                    peers.learn(other)
            if peers.is_watcher(now=1.0):
                watchers.append(own.data_centre)
        return sorted(watchers)

    def test_one_watches_in_each_of_many_data_centres(self):
        """With three data centres or more, one balancer of each watches."""
        self.assertEqual(self._watchers(data_centres=2), ["dc-0"] * 2 + ["dc-1"] * 2)
        for count in (3, 6):
            watchers = self._watchers(data_centres=count)
            self.assertEqual(watchers, [f"dc-{n}" for n in range(count)])

    def test_isolated_balancers_watch_too(self):
        """Balancers that know no others watch the store themselves."""
        watchers = self._watchers(data_centres=3, isolated="dc-2")
        self.assertEqual(watchers, ["dc-0"] * 2 + ["dc-1"] * 2 + ["dc-2"] * 4)

    async def _put_copy(self, version: int, packed: bytes = b"packed") -> None:
        value = encode_copy(
            ConfigurationCopy(version=version, packed=packed), keys=KEYS
        )
        put = Put(key=CONFIGURATION_COPY, value=value)
        await self.platform.transact(compares=(), puts=(put,))

    async def test_starts_with_the_copy(self):
        """A starting balancer puts the copy in force without reading the full value."""
        await self._put_copy(3)
        await self.platform.transact(
            compares=(), puts=(Put(key=CONFIGURATION, value=b"large"),)
        )
        await self.link._load_copy()
        self.configuration.apply_packed.assert_called_once_with(b"packed")
        self.configuration.apply.assert_not_called()

    async def test_starts_without_a_copy(self):
        """Without a valid copy the stored configuration itself is read."""
        for value in (None, b"\xff", b"\x01" * 40):
            if value is not None:
                put = Put(key=CONFIGURATION_COPY, value=value)
                await self.platform.transact(compares=(), puts=(put,))
            await self.link._load_copy()
            self.configuration.apply_packed.assert_not_called()
            self.assertLess(self.link._last_read, 0)

    async def test_only_newer_copies_are_written(self):
        """A newer configuration replaces the copy, an older one doesn't."""
        copies = ConfigurationCopies(store=self.platform, keys=KEYS)
        for version, is_newer in ((5, True), (4, False), (6, True)):
            self.assertEqual(copies.is_older_than(version), is_newer)
            if is_newer:
                copy = ConfigurationCopy(version=version, packed=b"p")
                self.assertTrue(await copies.write(copy))
        self.assertEqual((await copies.read()).version, 6)

    async def test_concurrent_writers(self):
        """Of two concurrent writers the second one finds and keeps the first's copy."""
        first = ConfigurationCopies(store=self.platform, keys=KEYS)
        second = ConfigurationCopies(store=self.platform, keys=KEYS)
        self.assertTrue(await first.write(ConfigurationCopy(version=7, packed=b"n")))
        late = ConfigurationCopy(version=6, packed=b"o")
        self.assertFalse(await second.write(late))
        self.assertFalse(second.is_older_than(6))
        self.assertEqual((await first.read()).version, 7)

    async def test_too_large_a_copy(self):
        """A copy that exceeds the stores' size limit is not written or retried."""
        copies = ConfigurationCopies(store=self.platform, keys=KEYS)
        large = ConfigurationCopy(version=2, packed=bytes(MAX_COPY_BYTES))
        self.assertFalse(await copies.write(large))
        self.assertFalse(copies.is_older_than(2))
        self.assertIsNone(await copies.read())
