"""Behaviour of balancers after the store was restored from a backup."""

import asyncio
import contextlib
import random
import unittest
from collections.abc import Callable
from unittest import mock

from monsoonpier.balancer import store_link
from monsoonpier.balancer.configuration_copy import (
    ConfigurationCopies,
    ConfigurationCopy,
)
from monsoonpier.balancer.membership import Membership
from monsoonpier.balancer.registration import LEASE_TTL_SECONDS
from monsoonpier.balancer.store_generation import RESTORE_GRACE_SECONDS
from monsoonpier.balancer.store_link import (
    EvacuationsRead,
    StoreLink,
    updated_evacuations,
)
from monsoonpier.balancer.stored_configuration import CurrentConfiguration
from monsoonpier.model.evacuation import Evacuation, Evacuations
from monsoonpier.store.interface import Put, StoreError
from monsoonpier.store.keys import BALANCERS, CONFIGURATION, EVACUATIONS
from monsoonpier.wire.frames import FrameCodec, Gossip
from standins.fake_store import FakeStore
from tests.rig import KEYS, balancer

PLACE = "dc-2"


class RestoreTests(unittest.IsolatedAsyncioTestCase):
    """The store link of one balancer, with a restored store."""

    async def asyncSetUp(self) -> None:
        self.now = 1000.0
        self.platform = FakeStore(clock=lambda: self.now)
        self.store = self.platform.store
        self.known = Evacuations()
        self.membership = Membership(own=balancer("b1").peers.own)
        self.restores: list[tuple[int, str]] = []
        self.copies = ConfigurationCopies(store=self.platform, keys=KEYS)
        self.link = StoreLink(
            store=self.platform,
            peers=self.membership.peers,
            codec=FrameCodec(keys=KEYS),
            copies=self.copies,
            configuration=mock.create_autospec(
                CurrentConfiguration, instance=True, value_bytes=0
            ),
            evacuate=self._apply,
            draw=random.Random(1),
            clock=lambda: self.now,
            generation=self.membership.store_generation,
            on_restored=lambda old, at: self.restores.append((old, str(at))),
        )

    def _apply(self, update: Evacuation | EvacuationsRead) -> None:
        self.known = updated_evacuations(self.known, update)

    async def _order(self) -> None:
        put = Put(key=EVACUATIONS + PLACE, value=b"{}")
        await self.platform.transact(compares=(), puts=(put,))

    async def _delete_order(self) -> None:
        removes = (EVACUATIONS + PLACE,)
        await self.platform.transact(compares=(), puts=(), removes=removes)

    async def _receive_generation(self, generation: int) -> None:
        gossip = Gossip(
            sender=balancer("b2", host=2).peers.own,
            version=0,
            digest=b"",
            store_generation=generation,
        )
        self.membership.from_process(
            gossip, sender=("10.2.0.2", 9000), now=self.now, draw=random.Random(1)
        )

    async def _is_registered(self) -> bool:
        found = await self.platform.read(BALANCERS + "b1")
        return bool(found.values_by_key)

    @contextlib.asynccontextmanager
    async def _running(self, job):
        task = asyncio.create_task(job)
        try:
            yield
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _wait_for(self, condition: Callable[[], object]) -> None:
        async with asyncio.timeout(2.0):
            while not condition():
                await asyncio.sleep(0.02)

    async def _wait_registered(self) -> None:
        async with asyncio.timeout(2.0):
            while not await self._is_registered():
                await asyncio.sleep(0.02)

    async def test_registered_again(self):
        """The balancer registers again when an answer reveals the restore."""
        backup = self.store.backup()
        async with self._running(self.link.registration.run()):
            await self._wait_registered()
            await self.link._read()
            self.store.restore(backup)
            self.assertFalse(await self._is_registered())
            await self.link._read()
            await self._wait_registered()
        self.assertEqual(self.restores, [(0, "1:1")])

    async def test_registered_again_after_gossip(self):
        """The balancer registers again when a peer reports the restore."""
        backup = self.store.backup()
        async with self._running(self.link.registration.run()):
            await self._wait_registered()
            self.store.restore(backup)
            await self._receive_generation(1)
            self.assertTrue(self.membership.has_updates)
            self.link.store_restored()
            await self._wait_registered()

    async def test_reused_lease_id(self):
        """A lease of a lost generation, whose id was reused, is left alone."""
        backup = self.store.backup()
        await self.link.registration.renew_or_register()
        self.store.restore(backup)
        other = await self.platform.grant(ttl_seconds=LEASE_TTL_SECONDS)
        self.assertEqual(other, self.link.registration.lease.id)
        await self.link.registration.renew_or_register()
        self.assertTrue(await self._is_registered())
        self.assertNotEqual(other, self.link.registration.lease.id)
        self.store.restore(backup)
        other = await self.platform.grant(ttl_seconds=LEASE_TTL_SECONDS)
        self.link.registration.lease = self.link.registration.lease.released().granted(
            other, ttl_seconds=LEASE_TTL_SECONDS, asked_at=self.now
        )
        await self._receive_generation(2)
        await self.link.leave()
        self.assertEqual(await self.platform.renew(other), LEASE_TTL_SECONDS)

    async def test_restore_during_a_registration(self):
        """A registration with a lease of an earlier generation is not valid."""
        await self.platform.read(BALANCERS)
        grant = self.platform.grant

        async def grant_then_restore(*, ttl_seconds):
            lease = await grant(ttl_seconds=ttl_seconds)
            backup = self.store.backup()
            self.store.restore(backup)
            return lease

        with (
            mock.patch.object(self.platform, "grant", grant_then_restore),
            self.assertRaises(StoreError),
        ):
            await self.link.registration.renew_or_register()
        self.assertFalse(self.link.registration.lease.may_act(now=self.now))

    async def test_order_missing_in_the_backup(self):
        """A lost order stays in force until it is written again and deleted."""
        backup = self.store.backup()
        for _ in range(5):
            await self._order()
        await self.link._read()
        self.store.restore(backup)
        revision = await self.link._read()
        self.assertTrue(self.known.is_evacuated(PLACE))
        watch = self.platform.watch(
            CONFIGURATION, prefix=True, from_revision=revision.next
        )
        for change, is_evacuated in ((self._order, True), (self._delete_order, False)):
            await change()
            self.link._apply_event(await anext(watch))
            self.assertIs(self.known.is_evacuated(PLACE), is_evacuated)

    async def test_order_that_is_not_written_again(self) -> None:
        """A lost order that isn't written again ends after `RESTORE_GRACE_SECONDS`."""
        backup = self.store.backup()
        await self._order()
        with mock.patch.object(store_link, "WATCH_CHECK_SECONDS", 0.02):
            async with self._running(self.link._watch_or_poll_forever()):
                await self._wait_for(lambda: self.known.is_evacuated(PLACE))
                self.store.restore(backup)
                await self._wait_for(lambda: self.restores)
                await asyncio.sleep(0.2)
                self.assertTrue(self.known.is_evacuated(PLACE))
                self.now += RESTORE_GRACE_SECONDS
                await self._wait_for(lambda: not self.known.is_evacuated(PLACE))

    async def test_read_across_the_end_of_the_grace_period(self) -> None:
        """A read that began too early to find a rewritten order doesn't revoke it."""
        backup = self.store.backup()
        await self._order()
        await self.link._read()
        self.store.restore(backup)
        await self.link._read()
        read = self.platform.read

        async def answer_late(*arguments, **options):
            stored = await read(*arguments, **options)
            self.now += RESTORE_GRACE_SECONDS
            return stored

        with mock.patch.object(self.platform, "read", answer_late):
            await self.link._try_conclusive_read()
        self.assertTrue(self.known.is_evacuated(PLACE))
        await self.link._try_conclusive_read()
        self.assertFalse(self.known.is_evacuated(PLACE))

    async def test_started_after_a_restore(self) -> None:
        """A balancer that starts then soon knows which orders have ended.

        It needs that for agents, also if it doesn't watch the store.
        """
        self.store.generation = 1
        for number in range(2, 7):
            peer = balancer(f"a{number}", host=number).peers.own
            self.membership.peers.learn(peer)
        self.assertFalse(self.membership.peers.is_watcher(now=self.now))
        with mock.patch.object(store_link, "WATCH_CHECK_SECONDS", 0.02):
            async with self._running(self.link._watch_or_poll_forever()):
                await self._wait_for(lambda: self.membership.store_generation.number)
                await asyncio.sleep(0.2)
                self.assertIsNone(self.known.revocation_of(PLACE))
                self.now += RESTORE_GRACE_SECONDS
                await self._wait_for(lambda: self.known.revocation_of(PLACE))
        self.assertEqual(self.known.revocation_of(PLACE).generation, 1)

    async def test_lost_copy(self):
        """A lost copy of the configuration is written again; a newer one is kept."""
        empty_backup = self.store.backup()
        newer = ConfigurationCopy(version=7, packed=b"n")
        await self.copies.write(newer)
        await self.link._read()
        self.store.restore(empty_backup)
        self.assertFalse(self.copies.is_older_than(7))
        await self.link._read()
        self.assertTrue(self.copies.is_older_than(7))
        self.assertTrue(await self.copies.write(newer))
        self.link.store_restored()
        late = ConfigurationCopy(version=6, packed=b"o")
        self.assertFalse(await self.copies.write(late))
        self.assertEqual((await self.copies.read()).version, 7)

    async def test_copy_written_during_a_restore(self) -> None:
        """The delayed answer to a write doesn't hide that its copy is lost."""
        empty_backup, transact = self.store.backup(), self.platform.transact

        async def written_then_lost(**write):
            result = await transact(**write)
            self.store.restore(empty_backup)
            self.link.store_restored()
            return result

        newest = ConfigurationCopy(version=7, packed=b"n")
        with mock.patch.object(self.platform, "transact", written_then_lost):
            self.assertFalse(await self.copies.write(newest))
        self.assertTrue(self.copies.is_older_than(7))

    async def test_first_generation_is_no_restore(self):
        """A process that starts after a restore of the store doesn't report it."""
        self.store.generation = 3
        await self.link._read()
        self.assertEqual(self.restores, [])
        self.assertEqual(self.membership.store_generation.number, 3)
        await self._receive_generation(2)
        self.assertEqual(self.membership.store_generation.number, 3)
