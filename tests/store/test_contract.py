"""The platform's contract: one suite for the fake and for the real client."""

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
    """What any platform must do; subclasses say which one."""

    platform: Store

    async def put(self, key: str, value: bytes, lease: int = 0):
        """Write without a condition."""
        put = Put(key=key, value=value, lease=lease)
        return await self.platform.transact(compares=(), puts=(put,))

    async def test_read_back(self):
        """What was written is read, with its revision."""
        result = await self.put(KEY, b"one")
        found = await self.platform.read(KEY)
        self.assertEqual(found.values_by_key[KEY].value, b"one")
        self.assertEqual(found.values_by_key[KEY].mod_revision, result.revision)

    async def test_absent_key(self):
        """A key that isn't there is no error."""
        self.assertEqual((await self.platform.read(KEY)).values_by_key, {})

    async def test_prefix(self):
        """A prefix reads its keys and no others."""
        for key in ("/a/1", "/a/2", "/b/1"):
            await self.put(key, b"x")
        found = await self.platform.read("/a/", prefix=True)
        self.assertEqual(sorted(found.values_by_key), ["/a/1", "/a/2"])

    async def test_compare_and_swap(self):
        """All writes take effect if all conditions hold, else none."""
        first = await self.put(KEY, b"one")
        puts = (Put(key=KEY, value=b"two"), Put(key="/other", value=b"x"))
        stale = Compare(key=KEY, mod_revision=first.revision.next.next)
        refused = await self.platform.transact(compares=(stale,), puts=puts)
        self.assertFalse(refused.succeeded)
        self.assertEqual((await self.platform.read("/other")).values_by_key, {})
        current = Compare(key=KEY, mod_revision=first.revision)
        absent = Compare(key="/other")
        done = await self.platform.transact(compares=(current, absent), puts=puts)
        self.assertTrue(done.succeeded)

    async def test_remove(self):
        """A key is deleted if all conditions hold, and a watch tells of it."""
        first = await self.put(KEY, b"one")
        stale = Compare(key=KEY, mod_revision=first.revision.next.next)
        current = Compare(key=KEY, mod_revision=first.revision)
        for compare, succeeds in ((stale, False), (current, True)):
            result = await self.platform.transact(
                compares=(compare,), puts=(), removes=(KEY,)
            )
            self.assertEqual(result.succeeded, succeeds)
        self.assertEqual((await self.platform.read(KEY)).values_by_key, {})
        watch = self.platform.watch(KEY, from_revision=first.revision.next)
        event = await asyncio.wait_for(anext(watch), 5)
        self.assertEqual((event.key, event.value), (KEY, None))
        self.assertEqual(event.mod_revision, result.revision)

    async def test_lease(self):
        """A lease's keys go when it ends, and an ended lease isn't renewed."""
        lease = await self.platform.grant(ttl_seconds=30)
        await self.put(KEY, b"mine", lease)
        self.assertEqual(await self.platform.renew(lease), 30)
        await self.platform.revoke(lease)
        self.assertEqual((await self.platform.read(KEY)).values_by_key, {})
        with self.assertRaises(LeaseNotFoundError):
            await self.platform.renew(lease)
        with self.assertRaises(StoreError):
            await self.put(KEY, b"mine", lease)

    async def test_watch_misses_nothing(self):
        """A watch brings every change since its revision, cuts or not."""
        first = await self.put(KEY, b"0")
        seen: list[bytes | None] = []

        async def follow() -> None:
            watch = self.platform.watch(KEY, from_revision=first.revision)
            async for event in watch:
                seen.append(event.value)
                if event.value == b"5":
                    return

        following = asyncio.create_task(follow())
        for number in range(1, 6):
            await self.put(KEY, b"%d" % number)
            if number == 3:
                await self.cut()
        await asyncio.wait_for(following, 10)
        self.assertEqual(seen, [b"%d" % n for n in range(6)])

    async def test_lost_answer(self):
        """A lost answer raises, and the write has taken effect."""
        await self.lose_answers(1)
        with self.assertRaises(StoreError):
            await self.put(KEY, b"taken")
        found = await self.platform.read(KEY)
        self.assertEqual(found.values_by_key[KEY].value, b"taken")

    async def test_down(self):
        """While it is down every call raises, soon; then it works again."""
        await self.set_down(True)
        began = time.monotonic()
        with self.assertRaises(StoreError):
            await self.platform.read(KEY)
        with self.assertRaises(StoreError):
            await self.platform.grant(ttl_seconds=5)
        self.assertLess(time.monotonic() - began, 10)
        await self.set_down(False)
        await self.platform.read(KEY)


class _ReturnContract:
    """What a store does that comes back from a copy; subclasses say which one."""

    platform: Store
    restorable: RestorableStore

    async def _come_back(self) -> tuple[TransactionResult, Revision]:
        """Lose two writes; return the first, and the revision before the return."""
        await self.put("/test/before", b"kept")
        copy = self.restorable.copy()
        lost = await self.put(KEY, b"lost")
        before = await self.put(KEY, b"lost too")
        self.restorable.restore(copy)
        await self.put(KEY, b"other")
        return lost, before.revision

    async def test_numbers_given_out_again(self):
        """A condition on a lost write doesn't hold for another of its number."""
        lost, _ = await self._come_back()
        found = (await self.platform.read(KEY)).values_by_key[KEY]
        self.assertEqual(found.mod_revision.number, lost.revision.number)
        self.assertGreater(found.mod_revision, lost.revision)
        remembered = Compare(key=KEY, mod_revision=lost.revision)
        put = Put(key=KEY, value=b"wrong")
        result = await self.platform.transact(compares=(remembered,), puts=(put,))
        self.assertFalse(result.succeeded)
        current = Compare(key=KEY, mod_revision=found.mod_revision)
        result = await self.platform.transact(compares=(current,), puts=(put,))
        self.assertTrue(result.succeeded)

    async def test_watch_that_the_store_has_passed_again(self):
        """A watch of the lost history ends, though its revision is there again."""
        for later in (0, 5):
            _, before = await self._come_back()
            for number in range(later):
                await self.put("/test/other", b"%d" % number)
            watch = self.platform.watch(KEY, from_revision=before.next)
            with self.subTest(later=later), self.assertRaises(RestoredError):
                await asyncio.wait_for(anext(watch), 5)


class FakeTests(_Contract, _ReturnContract, unittest.IsolatedAsyncioTestCase):
    """The in-memory fake."""

    async def asyncSetUp(self) -> None:
        self.platform = FakeStore()
        self.restorable = self.platform.store

    async def cut(self) -> None:
        """Nothing to cut."""

    async def lose_answers(self, count: int) -> None:
        """Lose the next answers to writes."""
        self.platform.lost_answers = count

    async def set_down(self, down: bool) -> None:
        """Fail every call."""
        self.platform.is_down = down


async def _serve(application: web.Application) -> tuple[web.AppRunner, int]:
    """Serve an application on a free port of loopback; return the port."""
    runner = web.AppRunner(application, shutdown_timeout=0.01)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    return runner, site._server.sockets[0].getsockname()[1]


class PlatformStoreTests(_Contract, _ReturnContract, unittest.IsolatedAsyncioTestCase):
    """The adapter's client with the stand-in of the users' store."""

    async def asyncSetUp(self) -> None:
        self.stand_in = StoreStandIn()
        self.restorable = self.stand_in.store
        self.runner, port = await _serve(self.stand_in.application())
        address = Address(ip="127.0.0.1", port=port)
        self.platform = PlatformStore(address=address, draw=random.Random(1))

    async def asyncTearDown(self) -> None:
        await self.platform.close()
        await self.runner.cleanup()

    async def cut(self) -> None:
        """Cut the watches."""
        self.stand_in.faults.is_down = True
        await asyncio.sleep(0.05)
        self.stand_in.faults.is_down = False

    async def lose_answers(self, count: int) -> None:
        """Lose the answers to writes from now on."""
        self.stand_in.faults.lost_share = 1.0

    async def set_down(self, down: bool) -> None:
        """Cut every call."""
        self.stand_in.faults.is_down = down

    async def test_operators_key(self) -> None:
        """The operator's key is read and watched by the product's name."""
        revision = self.stand_in.put("op/config", b"v1")
        found = await self.platform.read(CONFIGURATION)
        self.assertEqual(found.values_by_key[CONFIGURATION].value, b"v1")
        self.assertEqual(found.revision, Revision(number=revision))
        watch = self.platform.watch(
            CONFIGURATION, from_revision=Revision(number=revision + 1)
        )
        self.stand_in.put("op/config-draft", b"not this")
        self.stand_in.put("op/config", b"v2")
        event = await asyncio.wait_for(anext(watch), 5)
        self.assertEqual((event.key, event.value), (CONFIGURATION, b"v2"))

    async def test_compacted(self) -> None:
        """A watch of changes that are no longer kept says so."""
        self.stand_in.put("op/config", b"v1")
        self.stand_in.put("op/config", b"v2")
        self.stand_in.faults.is_compacted = True
        watch = self.platform.watch(CONFIGURATION, from_revision=Revision(number=1))
        with self.assertRaises(CompactedError):
            await asyncio.wait_for(anext(watch), 5)

    async def test_operators_keys(self) -> None:
        """One reading and one watch bring the configuration and evacuations.

        An order stands by its key alone: its value may be anything.
        """
        self.stand_in.put("op/config", b"v1")
        revision = self.stand_in.put("op/evacuate/hall-1", b"{}")
        found = await self.platform.read(CONFIGURATION, prefix=True)
        self.assertEqual(
            set(found.values_by_key), {CONFIGURATION, EVACUATIONS + "hall-1"}
        )
        item = packet_store._item

        def garbled(value):
            return item(value) | {"value": "%%"}

        watch = self.platform.watch(
            CONFIGURATION, prefix=True, from_revision=Revision(number=revision + 1)
        )
        with mock.patch.object(packet_store, "_item", garbled):
            self.stand_in.put("op/evacuate/hall-2", b"{}")
            found = await self.platform.read(CONFIGURATION, prefix=True)
            ordered = await asyncio.wait_for(anext(watch), 5)
        self.assertIn(EVACUATIONS + "hall-2", found.values_by_key)
        self.stand_in.remove("op/evacuate/hall-2")
        taken_back = await asyncio.wait_for(anext(watch), 5)
        self.assertEqual(ordered.key, EVACUATIONS + "hall-2")
        self.assertIsNotNone(ordered.value)
        self.assertEqual(taken_back.key, ordered.key)
        self.assertIsNone(taken_back.value)
        self.assertGreater(taken_back.mod_revision, ordered.mod_revision)

    async def test_pages_are_no_snapshot(self) -> None:
        """A reading of several pages holds for the revision of the first one."""
        for number in range(600):
            revision = self.stand_in.put(f"a/{number:05d}", b"x")
        read_page, pages = self.platform._get, []

        async def write_between(call, query):
            if pages:
                self.stand_in.put("a/00000", b"y")
            pages.append(query)
            return await read_page(call, query)

        with mock.patch.object(self.platform, "_get", write_between):
            found = await self.platform.read("/a/", prefix=True)
        self.assertEqual(len(pages), 2)
        self.assertEqual(found.revision, Revision(number=revision))

    async def test_silent(self) -> None:
        """A watch that was lost in an outage is soon made anew.

        Broken on bronzeway-pier, mix 633147082063: watches that began in an outage
        hung for 8 s after it, and three configurations went unseen.
        """
        first = await self.put(KEY, b"old")
        self.stand_in.faults.is_silent = True
        watch = self.platform.watch(KEY, from_revision=first.revision.next)
        following = asyncio.create_task(anext(watch))
        await asyncio.sleep(0.2)
        self.stand_in.faults.is_silent = False
        await self.put(KEY, b"new")
        # The outage's own watch used to hang for 12 s.
        event = await asyncio.wait_for(following, 6)
        self.assertEqual(event.value, b"new")

    async def test_two_generations_in_pages(self) -> None:
        """A reading during which the store came back is none."""
        for number in range(600):
            self.stand_in.put(f"a/{number:05d}", b"x")
        copy, read_page, pages = self.restorable.copy(), self.platform._get, []

        async def return_between(call, query):
            if pages:
                self.restorable.restore(copy)
            pages.append(query)
            return await read_page(call, query)

        with (
            mock.patch.object(self.platform, "_get", return_between),
            self.assertRaises(StoreError),
        ):
            await self.platform.read("/a/", prefix=True)

    async def test_generation_that_cannot_be_read(self) -> None:
        """A header of another form, or none, tells nothing and hides no answer."""
        self.restorable.generation = 2
        await self.put(KEY, b"one")
        for header in ("", "-1", "three", "9" * 30, None):
            headers = {} if header is None else {packet_store.GENERATION_HEADER: header}
            kind = packet_store.StoreStandIn
            with mock.patch.object(kind, "_headers", headers):
                found = await self.platform.read(KEY)
            self.assertEqual(found.revision.generation, 2)
            self.assertEqual(self.platform.generation, 2)

    async def test_refused(self) -> None:
        """A refusal of any kind is an error, never an answer."""
        for status in (429, 503):
            self.stand_in.faults.status = status
            with self.assertRaises(StoreError):
                await self.platform.read(KEY)

    async def test_other_writers(self) -> None:
        """An item whose bytes can't be read hides none of the others."""
        revision = self.stand_in.put("a/1", b"one")
        item = packet_store._item

        def garbled(value):
            return item(value) | ({"value": "%%"} if value.key == "a/2" else {})

        watch = self.platform.watch(
            "/a/", prefix=True, from_revision=Revision(number=revision)
        )
        with mock.patch.object(packet_store, "_item", garbled):
            self.stand_in.put("a/2", b"two")
            self.stand_in.put("a/3", b"three")
            found = await self.platform.read("/a/", prefix=True)
            first, second = await anext(watch), await anext(watch)
        self.assertEqual(set(found.values_by_key), {"/a/1", "/a/3"})
        self.assertEqual((first.key, second.key), ("/a/1", "/a/3"))

    async def test_more_than_a_page(self) -> None:
        """A prefix with more items than a page holds is read in whole."""
        for number in range(1_100):
            self.stand_in.put(f"a/{number:05d}", b"x")
        found = await self.platform.read("/a/", prefix=True)
        self.assertEqual(len(found.values_by_key), 1_100)


class ClientTests(_Contract, unittest.IsolatedAsyncioTestCase):
    """The real client with the stand-in, which is behind a dead address too."""

    async def asyncSetUp(self) -> None:
        self.stand_in = PlatformStandIn()
        self.runner, port = await _serve(self.stand_in.application())
        self.platform = EtcdStore(
            addresses=("http://127.0.0.1:1", f"http://127.0.0.1:{port}"),
            draw=random.Random(1),
        )

    async def asyncTearDown(self) -> None:
        await self.platform.close()
        await self.runner.cleanup()

    async def cut(self) -> None:
        """Cut the watches."""
        for watch in list(self.stand_in._watches):
            watch.transport.abort()

    async def lose_answers(self, count: int) -> None:
        """Lose the next answers to writes."""
        self.stand_in._lose_answers = count

    async def set_down(self, down: bool) -> None:
        """Cut every call."""
        self.stand_in._down = down
