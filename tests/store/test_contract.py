"""The contract of `Store`: one suite for the fake and all clients."""

import asyncio
import random
import time
import unittest
from unittest import mock

from aiohttp import web

from monsoonpier.model.address import Address
from monsoonpier.model.revision import Revision
from monsoonpier.platform.store import PlatformStore
from monsoonpier.store.etcd import EtcdStore
from monsoonpier.store.interface import (
    CompactedError,
    Compare,
    LeaseNotFoundError,
    Put,
    RestoredError,
    Store,
    StoreError,
    TransactionResult,
)
from monsoonpier.store.keys import CONFIGURATION, EVACUATIONS
from standins.fake_store import FakeStore
from standins.packets import store as packet_store
from standins.packets.store import StoreStandIn
from standins.platform import PlatformStandIn
from standins.store import Store as RestorableStore

KEY = "/test/key"


class _Contract:
    """Tests that every `Store` must pass; subclasses set up ``store``."""

    store: Store

    async def put(self, key: str, value: bytes, lease: int = 0):
        """Write unconditionally."""
        put = Put(key=key, value=value, lease=lease)
        return await self.store.transact(compares=(), puts=(put,))

    async def test_read_back(self):
        """A read returns the written value and its revision."""
        result = await self.put(KEY, b"one")
        found = await self.store.read(KEY)
        self.assertEqual(found.values_by_key[KEY].value, b"one")
        self.assertEqual(found.values_by_key[KEY].mod_revision, result.revision)

    async def test_absent_key(self):
        """Reading a missing key is not an error."""
        self.assertEqual((await self.store.read(KEY)).values_by_key, {})

    async def test_prefix(self):
        """A prefix read returns the keys with that prefix and no others."""
        for key in ("/a/1", "/a/2", "/b/1"):
            await self.put(key, b"x")
        found = await self.store.read("/a/", prefix=True)
        self.assertEqual(sorted(found.values_by_key), ["/a/1", "/a/2"])

    async def test_compare_and_swap(self):
        """All writes take effect if all conditions hold, else none."""
        first = await self.put(KEY, b"one")
        puts = (Put(key=KEY, value=b"two"), Put(key="/other", value=b"x"))
        stale = Compare(key=KEY, mod_revision=first.revision.next.next)
        rejected = await self.store.transact(compares=(stale,), puts=puts)
        self.assertFalse(rejected.succeeded)
        self.assertEqual((await self.store.read("/other")).values_by_key, {})
        current = Compare(key=KEY, mod_revision=first.revision)
        absent = Compare(key="/other")
        done = await self.store.transact(compares=(current, absent), puts=puts)
        self.assertTrue(done.succeeded)

    async def test_remove(self):
        """A key is deleted if all conditions hold, and a watch reports it."""
        first = await self.put(KEY, b"one")
        stale = Compare(key=KEY, mod_revision=first.revision.next.next)
        current = Compare(key=KEY, mod_revision=first.revision)
        for compare, succeeds in ((stale, False), (current, True)):
            result = await self.store.transact(
                compares=(compare,), puts=(), removes=(KEY,)
            )
            self.assertEqual(result.succeeded, succeeds)
        self.assertEqual((await self.store.read(KEY)).values_by_key, {})
        watch = self.store.watch(KEY, from_revision=first.revision.next)
        event = await asyncio.wait_for(anext(watch), 5)
        self.assertEqual((event.key, event.value), (KEY, None))
        self.assertEqual(event.mod_revision, result.revision)

    async def test_changes(self):
        """A read of changes returns those after a revision, deletions too."""
        await self.put("/a/1", b"one")
        before = (await self.put("/a/2", b"two")).revision

        async def read():
            return await self.store.read_changes(
                "/a/",
                prefix=True,
                after=before,
                known_keys=frozenset({"/a/1", "/a/2"}),
            )

        unchanged = await read()
        self.assertEqual((unchanged.events, unchanged.revision), ((), before))
        await self.put("/b/1", b"not this")
        self.assertEqual((await read()).events, ())
        await self.put("/a/1", b"new")
        await self.store.transact(compares=(), puts=(), removes=("/a/2",))
        changed = await read()
        self.assertEqual(
            {event.key: event.value for event in changed.events},
            {"/a/1": b"new", "/a/2": None},
        )
        found = await self.store.read("/a/", prefix=True)
        self.assertEqual(changed.revision, found.revision)

    async def test_lease(self):
        """Revoking a lease deletes its keys; it can no longer be used or renewed."""
        lease = await self.store.grant(ttl_seconds=30)
        await self.put(KEY, b"mine", lease)
        self.assertEqual(await self.store.renew(lease), 30)
        await self.store.revoke(lease)
        self.assertEqual((await self.store.read(KEY)).values_by_key, {})
        with self.assertRaises(LeaseNotFoundError):
            await self.store.renew(lease)
        with self.assertRaises(StoreError):
            await self.put(KEY, b"mine", lease)

    async def test_watch_misses_nothing(self):
        """A watch yields every change since its revision, also when interrupted."""
        first = await self.put(KEY, b"0")
        seen: list[bytes | None] = []

        async def follow() -> None:
            watch = self.store.watch(KEY, from_revision=first.revision)
            async for event in watch:
                seen.append(event.value)
                if event.value == b"5":
                    return

        following = asyncio.create_task(follow())
        for number in range(1, 6):
            await self.put(KEY, b"%d" % number)
            if number == 3:
                await self.interrupt_watches()
        await asyncio.wait_for(following, 10)
        self.assertEqual(seen, [b"%d" % n for n in range(6)])

    async def test_lost_response(self):
        """A lost response raises `StoreError` although the write took effect."""
        await self.lose_responses(1)
        with self.assertRaises(StoreError):
            await self.put(KEY, b"taken")
        found = await self.store.read(KEY)
        self.assertEqual(found.values_by_key[KEY].value, b"taken")

    async def test_down(self):
        """Calls to a store that is down fail soon, and succeed once it is back."""
        await self.set_down(True)
        began = time.monotonic()
        with self.assertRaises(StoreError):
            await self.store.read(KEY)
        with self.assertRaises(StoreError):
            await self.store.grant(ttl_seconds=5)
        self.assertLess(time.monotonic() - began, 10)
        await self.set_down(False)
        await self.store.read(KEY)


class _RestoreContract:
    """Tests of a store restored from a backup; subclasses set both attributes."""

    store: Store
    restorable: RestorableStore

    async def _restore_backup(self) -> tuple[TransactionResult, Revision]:
        """Restore a backup, losing two writes.

        Returns:
            The first lost write's result, and the last revision before the restore.
        """
        await self.put("/test/before", b"kept")
        backup = self.restorable.backup()
        lost = await self.put(KEY, b"lost")
        before = await self.put(KEY, b"lost too")
        self.restorable.restore(backup)
        await self.put(KEY, b"other")
        return lost, before.revision

    async def test_reused_revision_numbers(self):
        """A condition on a lost write fails even if the revision number is reused."""
        lost, _ = await self._restore_backup()
        found = (await self.store.read(KEY)).values_by_key[KEY]
        self.assertEqual(found.mod_revision.number, lost.revision.number)
        self.assertGreater(found.mod_revision, lost.revision)
        remembered = Compare(key=KEY, mod_revision=lost.revision)
        put = Put(key=KEY, value=b"wrong")
        result = await self.store.transact(compares=(remembered,), puts=(put,))
        self.assertFalse(result.succeeded)
        current = Compare(key=KEY, mod_revision=found.mod_revision)
        result = await self.store.transact(compares=(current,), puts=(put,))
        self.assertTrue(result.succeeded)

    async def test_watch_from_before_a_restore(self):
        """A watch from before a restore fails even if revision numbers are reused."""
        for later in (0, 5):
            _, before = await self._restore_backup()
            for number in range(later):
                await self.put("/test/other", b"%d" % number)
            watch = self.store.watch(KEY, from_revision=before.next)
            with self.subTest(later=later), self.assertRaises(RestoredError):
                await asyncio.wait_for(anext(watch), 5)

    async def test_changes_since_before_a_restore(self):
        """Changes since a revision of before a restore can't be read."""
        for later in (0, 5):
            _, before = await self._restore_backup()
            for number in range(later):
                await self.put("/test/other", b"%d" % number)
            with self.subTest(later=later), self.assertRaises(RestoredError):
                await self.store.read_changes(KEY, after=before)


class FakeTests(_Contract, _RestoreContract, unittest.IsolatedAsyncioTestCase):
    """The in-memory fake."""

    async def asyncSetUp(self) -> None:
        self.store = FakeStore()
        self.restorable = self.store.store

    async def interrupt_watches(self) -> None:
        """Do nothing: the fake has no connections."""

    async def lose_responses(self, count: int) -> None:
        """Lose the responses to the next ``count`` writes."""
        self.store.lost_answers = count

    async def set_down(self, down: bool) -> None:
        """Make every call fail while ``down``."""
        self.store.is_down = down


async def _serve(application: web.Application) -> tuple[web.AppRunner, int]:
    """Serve an application on a free loopback port; return the port."""
    runner = web.AppRunner(application, shutdown_timeout=0.01)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    return runner, site._server.sockets[0].getsockname()[1]


class PlatformStoreTests(_Contract, _RestoreContract, unittest.IsolatedAsyncioTestCase):
    """`PlatformStore` against the simulated platform store."""

    async def asyncSetUp(self) -> None:
        self.stand_in = StoreStandIn()
        self.restorable = self.stand_in.store
        self.runner, port = await _serve(self.stand_in.application())
        address = Address(ip="127.0.0.1", port=port)
        self.store = PlatformStore(address=address, draw=random.Random(1))

    async def asyncTearDown(self) -> None:
        await self.store.close()
        await self.runner.cleanup()

    async def interrupt_watches(self) -> None:
        """Interrupt the watches."""
        self.stand_in.faults.is_down = True
        await asyncio.sleep(0.05)
        self.stand_in.faults.is_down = False

    async def lose_responses(self, count: int) -> None:
        """Lose the responses to all writes from now on."""
        self.stand_in.faults.lost_share = 1.0

    async def set_down(self, down: bool) -> None:
        """Interrupt every call while ``down``."""
        self.stand_in.faults.is_down = down

    async def test_operators_key(self) -> None:
        """The platform's key `op/config` is read and watched as `CONFIGURATION`."""
        revision = self.stand_in.put("op/config", b"v1")
        found = await self.store.read(CONFIGURATION)
        self.assertEqual(found.values_by_key[CONFIGURATION].value, b"v1")
        self.assertEqual(found.revision, Revision(number=revision))
        watch = self.store.watch(
            CONFIGURATION, from_revision=Revision(number=revision + 1)
        )
        self.stand_in.put("op/config-draft", b"not this")
        self.stand_in.put("op/config", b"v2")
        event = await asyncio.wait_for(anext(watch), 5)
        self.assertEqual((event.key, event.value), (CONFIGURATION, b"v2"))

    async def test_progress(self) -> None:
        """A watch reports as of when there is no change that it hasn't returned."""
        self.store = PlatformStore(
            address=self.store._client._address,
            draw=random.Random(1),
            wait_seconds=0.2,
        )
        first = await self.put(KEY, b"one")
        reports: list[tuple[Revision, float]] = []
        began = time.monotonic()
        watch = self.store.watch(
            KEY,
            from_revision=first.revision.next,
            on_progress=lambda *report: reports.append(report),
        )
        following = asyncio.create_task(anext(watch))
        while not reports:
            await asyncio.sleep(0.01)
        # The store held the call for the whole wait, and then had no change.
        self.assertEqual(reports[0][0], first.revision)
        self.assertGreaterEqual(reports[0][1], began + 0.2)
        self.assertLessEqual(reports[0][1], time.monotonic())
        changed_at = time.monotonic()
        second = await self.put(KEY, b"two")
        self.assertEqual((await following).value, b"two")
        # Not before the change has been processed.
        self.assertNotIn(second.revision, [revision for revision, _ in reports])
        reports.clear()
        waiting = asyncio.create_task(anext(watch))
        while not reports:
            await asyncio.sleep(0.01)
        waiting.cancel()
        self.assertEqual(reports[0][0], second.revision)
        self.assertLessEqual(reports[0][1], changed_at)

    async def test_compacted_changes(self) -> None:
        """A read of compacted changes raises `CompactedError`."""
        self.stand_in.put("op/config", b"v1")
        self.stand_in.put("op/config", b"v2")
        self.stand_in.faults.is_compacted = True
        with self.assertRaises(CompactedError):
            await self.store.read_changes(CONFIGURATION, after=Revision(number=1))

    async def test_compacted(self) -> None:
        """A watch of compacted changes raises `CompactedError`."""
        self.stand_in.put("op/config", b"v1")
        self.stand_in.put("op/config", b"v2")
        self.stand_in.faults.is_compacted = True
        watch = self.store.watch(CONFIGURATION, from_revision=Revision(number=1))
        with self.assertRaises(CompactedError):
            await asyncio.wait_for(anext(watch), 5)

    async def test_configuration_and_evacuations(self) -> None:
        """One read and one watch cover the configuration and the evacuations.

        An evacuation is in effect while its key exists, whatever its value.
        """
        self.stand_in.put("op/config", b"v1")
        revision = self.stand_in.put("op/evacuate/hall-1", b"{}")
        found = await self.store.read(CONFIGURATION, prefix=True)
        self.assertEqual(
            set(found.values_by_key), {CONFIGURATION, EVACUATIONS + "hall-1"}
        )
        item = packet_store._item

        def garbled(value):
            return item(value) | {"value": "%%"}

        watch = self.store.watch(
            CONFIGURATION, prefix=True, from_revision=Revision(number=revision + 1)
        )
        with mock.patch.object(packet_store, "_item", garbled):
            self.stand_in.put("op/evacuate/hall-2", b"{}")
            found = await self.store.read(CONFIGURATION, prefix=True)
            ordered = await asyncio.wait_for(anext(watch), 5)
        self.assertIn(EVACUATIONS + "hall-2", found.values_by_key)
        self.stand_in.remove("op/evacuate/hall-2")
        cancelled = await asyncio.wait_for(anext(watch), 5)
        self.assertEqual(ordered.key, EVACUATIONS + "hall-2")
        self.assertIsNotNone(ordered.value)
        self.assertEqual(cancelled.key, ordered.key)
        self.assertIsNone(cancelled.value)
        self.assertGreater(cancelled.mod_revision, ordered.mod_revision)

    async def test_revision_of_first_page(self) -> None:
        """A read of several pages has the revision of the first page."""
        for number in range(600):
            revision = self.stand_in.put(f"a/{number:05d}", b"x")
        read_page, pages = self.store._get, []

        async def write_between(call, query):
            if pages:
                self.stand_in.put("a/00000", b"y")
            pages.append(query)
            return await read_page(call, query)

        with mock.patch.object(self.store, "_get", write_between):
            found = await self.store.read("/a/", prefix=True)
        self.assertEqual(len(pages), 2)
        self.assertEqual(found.revision, Revision(number=revision))

    async def test_watch_resumes_after_outage(self) -> None:
        """A watch that began during an outage resumes soon after it.

        Guards against watches that hang after an outage and miss changes.
        """
        first = await self.put(KEY, b"old")
        self.stand_in.faults.is_silent = True
        watch = self.store.watch(KEY, from_revision=first.revision.next)
        following = asyncio.create_task(anext(watch))
        await asyncio.sleep(0.2)
        self.stand_in.faults.is_silent = False
        await self.put(KEY, b"new")
        event = await asyncio.wait_for(following, 6)
        self.assertEqual(event.value, b"new")

    async def test_restore_between_pages(self) -> None:
        """A read fails if the store is restored between two pages."""
        for number in range(600):
            self.stand_in.put(f"a/{number:05d}", b"x")
        backup, read_page, pages = self.restorable.backup(), self.store._get, []

        async def restore_between(call, query):
            if pages:
                self.restorable.restore(backup)
            pages.append(query)
            return await read_page(call, query)

        with (
            mock.patch.object(self.store, "_get", restore_between),
            self.assertRaises(StoreError),
        ):
            await self.store.read("/a/", prefix=True)

    async def test_malformed_generation_header(self) -> None:
        """A malformed or missing generation header is ignored."""
        self.restorable.generation = 2
        await self.put(KEY, b"one")
        for header in ("", "-1", "three", "9" * 30, None):
            headers = {} if header is None else {packet_store.GENERATION_HEADER: header}
            kind = packet_store.StoreStandIn
            with mock.patch.object(kind, "_headers", headers):
                found = await self.store.read(KEY)
            self.assertEqual(found.revision.generation, 2)
            self.assertEqual(self.store.generation, 2)

    async def test_error_status(self) -> None:
        """An HTTP error status raises `StoreError`."""
        for status in (429, 503):
            self.stand_in.faults.status = status
            with self.assertRaises(StoreError):
                await self.store.read(KEY)

    async def test_undecodable_item(self) -> None:
        """An item that can't be decoded does not hide the others."""
        revision = self.stand_in.put("a/1", b"one")
        item = packet_store._item

        def garbled(value):
            return item(value) | ({"value": "%%"} if value.key == "a/2" else {})

        watch = self.store.watch(
            "/a/", prefix=True, from_revision=Revision(number=revision)
        )
        with mock.patch.object(packet_store, "_item", garbled):
            self.stand_in.put("a/2", b"two")
            self.stand_in.put("a/3", b"three")
            found = await self.store.read("/a/", prefix=True)
            first, second = await anext(watch), await anext(watch)
        self.assertEqual(set(found.values_by_key), {"/a/1", "/a/3"})
        self.assertEqual((first.key, second.key), ("/a/1", "/a/3"))

    async def test_more_than_a_page(self) -> None:
        """A prefix read returns all items when they need several pages."""
        for number in range(1_100):
            self.stand_in.put(f"a/{number:05d}", b"x")
        found = await self.store.read("/a/", prefix=True)
        self.assertEqual(len(found.values_by_key), 1_100)


class EtcdStoreTests(_Contract, unittest.IsolatedAsyncioTestCase):
    """`EtcdStore` against a simulated etcd; the first address does not respond."""

    async def asyncSetUp(self) -> None:
        self.stand_in = PlatformStandIn()
        self.runner, port = await _serve(self.stand_in.application())
        self.store = EtcdStore(
            addresses=("http://127.0.0.1:1", f"http://127.0.0.1:{port}"),
            draw=random.Random(1),
        )

    async def asyncTearDown(self) -> None:
        await self.store.close()
        await self.runner.cleanup()

    async def interrupt_watches(self) -> None:
        """Interrupt the watches."""
        for watch in list(self.stand_in._watches):
            watch.transport.abort()

    async def lose_responses(self, count: int) -> None:
        """Lose the responses to the next ``count`` writes."""
        self.stand_in._lose_answers = count

    async def set_down(self, down: bool) -> None:
        """Interrupt every call while ``down``."""
        self.stand_in._down = down
