"""Configurations that take long to receive, changed faster than they arrive."""

import asyncio
import contextlib
import random
import time
import unittest
from unittest import mock

from aiohttp import web

from monsoonpier.balancer.configuration_copy import ConfigurationCopies
from monsoonpier.balancer.peers import Peers
from monsoonpier.balancer.store_link import StoreLink
from monsoonpier.balancer.stored_configuration import CurrentConfiguration
from monsoonpier.http import client
from monsoonpier.http.client import HttpClient, HttpError
from monsoonpier.model.address import Address
from monsoonpier.model.settings import CONFIGURATION_SECONDS
from monsoonpier.platform import store as platform_store
from monsoonpier.platform.store import PlatformStore
from monsoonpier.wire.frames import FrameCodec
from standins.packets.store import StoreStandIn
from standins.proxy import LinkFaults, TcpProxy
from tests.rig import KEYS, balancer

KEY = "op/config"
VALUE_BYTES = 90_000  # 120,000 as base64
TRANSFER_SECONDS = 0.15  # of one value on the link
WAIT_SECONDS = 0.5  # longest wait of a watch call
SLACK_SECONDS = 0.2
LIMIT_SECONDS = 0.5  # of one transfer
CHANGES = 25
CHANGE_SECONDS = 0.06  # between two changes
# Six times what is needed, for a busy machine. All changes in one answer would take
# 3.75 s on the link, and LIMIT_SECONDS ends each try.
NEWEST_SECONDS = 6.0


class _Held:
    """Stands for the configuration in force; holds the newest version applied."""

    def __init__(self) -> None:
        self.version = 0
        self.versions: list[int] = []

    def apply(self, value: bytes) -> None:
        version = int(value[:8])
        self.versions.append(version)
        self.version = max(self.version, version)


class NarrowLinkTests(unittest.IsolatedAsyncioTestCase):
    """A watching balancer whose link carries one configuration in 0.15 s."""

    async def asyncSetUp(self) -> None:
        self.stand_in = StoreStandIn()
        self.runner = web.AppRunner(self.stand_in.application(), shutdown_timeout=0.01)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.faults = LinkFaults()
        self.proxy = TcpProxy(
            address=Address(ip="127.0.0.1", port=0),
            server=Address(ip="127.0.0.1", port=port),
            faults=self.faults,
        )
        await self.proxy.start()
        self.faults.bytes_per_second = VALUE_BYTES * 4 / 3 / TRANSFER_SECONDS
        port = self.proxy._listener.sockets[0].getsockname()[1]
        self.store = PlatformStore(
            address=Address(ip="127.0.0.1", port=port),
            draw=random.Random(1),
            wait_seconds=WAIT_SECONDS,
        )
        self.held = _Held()
        configuration = mock.create_autospec(CurrentConfiguration, instance=True)
        configuration.apply.side_effect = self._apply
        configuration.version = 0
        configuration.value_bytes = VALUE_BYTES
        self.configuration = configuration
        self.evacuate = mock.Mock()
        self.link = StoreLink(
            store=self.store,
            peers=Peers(own=balancer("b1").peers.own),
            codec=FrameCodec(keys=KEYS),
            copies=ConfigurationCopies(store=self.store, keys=KEYS),
            configuration=configuration,
            evacuate=self.evacuate,
            draw=random.Random(1),
        )
        for module, name, seconds in (
            (platform_store, "WATCH_SLACK_SECONDS", SLACK_SECONDS),
            (client, "TRANSFER_SECONDS", LIMIT_SECONDS),
        ):
            patch = mock.patch.object(module, name, seconds)
            patch.start()
            self.addCleanup(patch.stop)

    async def asyncTearDown(self) -> None:
        await self.store.close()
        await self.proxy.stop()
        await self.runner.cleanup()

    def _apply(self, value: bytes) -> None:
        self.held.apply(value)
        self.configuration.version = self.held.version

    def _put(self, version: int) -> None:
        filling = random.Random(version).randbytes(VALUE_BYTES - 8)
        self.stand_in.put(KEY, b"%08d" % version + filling)

    async def _seconds_until(self, version: int, *, at_most: float) -> float:
        """Return after how many seconds the version is in force."""
        began = time.monotonic()
        while self.held.version < version:
            waited = time.monotonic() - began
            if waited > at_most:
                self.fail(
                    f"version {self.held.version} instead of {version} in force "
                    f"after {waited:.1f} s; applied: {self.held.versions}"
                )
            await asyncio.sleep(0.01)
        return time.monotonic() - began

    @property
    def _reads(self) -> int:
        return self.stand_in.calls_by_name["kv-range"]

    @contextlib.asynccontextmanager
    async def _watching(self):
        """Watch, from the first version on."""
        self._put(1)
        watching = asyncio.create_task(self.link._watch())
        try:
            await self._seconds_until(1, at_most=NEWEST_SECONDS)
            yield
        finally:
            watching.cancel()
            await asyncio.gather(watching, return_exceptions=True)

    async def test_changes_faster_than_the_link(self):
        """After a storm of changes the newest configuration comes into force.

        Guards against watches that request all changes since the last answer, which
        become more while an answer is on the way, until none arrives in time.
        """
        async with self._watching():
            for version in range(2, CHANGES + 2):
                self._put(version)
                await asyncio.sleep(CHANGE_SECONDS)
            await self._seconds_until(CHANGES + 1, at_most=NEWEST_SECONDS)
        self.assertEqual(self.held.versions, sorted(self.held.versions))

    async def test_changes_during_an_outage(self):
        """After an outage the newest configuration arrives, however many it missed."""
        async with self._watching():
            self.stand_in.faults.is_down = True
            for version in range(2, CHANGES + 2):
                self._put(version)
            await asyncio.sleep(WAIT_SECONDS)
            self.stand_in.faults.is_down = False
            await self._seconds_until(CHANGES + 1, at_most=NEWEST_SECONDS)

    async def test_several_versions_at_once(self):
        """Of several versions only the last one is received.

        Guards against an answer with all of them, which fills the link for several
        times as long, during which more versions gather.
        """
        async with self._watching():
            self.stand_in.faults.is_down = True
            for version in (2, 3, 4):
                self._put(version)
            self.stand_in.faults.is_down = False
            await self._seconds_until(4, at_most=NEWEST_SECONDS)
        self.assertEqual(self.held.versions, [1, 4])

    async def test_large_change_is_left_to_peers(self):
        """A balancer that doesn't watch waits for its peers before it reads.

        Guards against many balancers that read a large configuration at once and fill
        their links.
        """
        self._put(1)
        await self.link._read()
        self._put(2)
        self.stand_in.put("op/evacuate/dc-9", b"{}")
        began = time.monotonic()
        reading = asyncio.create_task(self.link._read_changes())
        while self.evacuate.call_args.args[0].revisions_by_data_centre == {}:
            await asyncio.sleep(0.01)
        # The order is known at once; the configuration comes when nobody has sent it.
        self.assertEqual(self.held.versions, [1])
        await reading
        self.assertEqual(self.held.versions, [1, 2])
        waited = time.monotonic() - began
        self.assertGreater(waited, 0.7 * CONFIGURATION_SECONDS)

    async def test_unchanged_configuration_is_not_read(self):
        """Without a change a balancer receives no large value again."""
        self._put(1)
        await self.link._read()
        await self.link._read_changes()
        self.assertEqual(self.stand_in.calls_by_name.get("kv-watch", 0), 0)
        self.assertEqual(self.held.versions, [1])

    async def test_change_at_the_end_of_a_wait(self):
        """A change shortly before the end of a wait has the time to arrive.

        Guards against time limits that include the transfer, after which the same
        configuration is received from its beginning.
        """
        async with self._watching():
            self.faults.bytes_per_second /= 2  # 0.3 s, more than SLACK_SECONDS
            reads_by_version = {}
            for version in range(2, 6):
                # The wait began when the last change arrived.
                await asyncio.sleep(WAIT_SECONDS * 0.9)
                reads = self._reads
                self._put(version)
                await self._seconds_until(version, at_most=NEWEST_SECONDS)
                reads_by_version[version] = self._reads - reads
            # Not all of them, for a busy machine.
            self.assertEqual(min(reads_by_version.values()), 0, reads_by_version)

    async def test_single_changes_are_not_read_again(self):
        """Separate changes cost no read beside the watch."""
        async with self._watching():
            reads_by_version = {}
            for version in range(2, 6):
                reads = self._reads
                self._put(version)
                await self._seconds_until(version, at_most=NEWEST_SECONDS)
                reads_by_version[version] = self._reads - reads
            self.assertEqual(min(reads_by_version.values()), 0, reads_by_version)


class SlowBodyTests(unittest.IsolatedAsyncioTestCase):
    """A server that sends the body of its response in parts, with pauses."""

    async def _call(self, *, parts: int, pause_seconds: float) -> bytes:
        """Return the body; a call's limit is 0.2 s, and pauses may last 0.3 s."""

        async def respond(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % parts)
            for _ in range(parts):
                writer.write(b"x")
                await asyncio.sleep(pause_seconds)
            writer.close()

        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        http = HttpClient(address=Address(ip="127.0.0.1", port=port))
        try:
            with mock.patch.object(client, "STALL_SECONDS", 0.3):
                return (await http.call("GET", "/", timeout=0.2)).body
        finally:
            http.close()
            server.close()

    async def test_slow_body(self):
        """A body that keeps arriving isn't cut at the limit of the call.

        Guards against a value that no read can receive, however often it is repeated.
        """
        body = await self._call(parts=12, pause_seconds=0.05)
        self.assertEqual(len(body), 12)

    async def test_body_that_stops(self):
        """A body that is held up is given up, and known to have begun."""
        with self.assertRaises(HttpError) as caught:
            await self._call(parts=2, pause_seconds=5.0)
        self.assertTrue(caught.exception.was_partial)
