"""Proxies apply their faults to connections and datagrams."""

import asyncio
import random
import unittest

from monsoonpier.model.address import Address
from standins.proxy import LinkFaults, TcpProxy, UdpProxy

PROXY = Address(ip="127.91.0.2", port=9100)
SERVER = Address(ip="127.91.0.1", port=9100)
SOON = 0.2  # seconds; much longer than a round trip on loopback


async def _echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


class TcpProxyTests(unittest.IsolatedAsyncioTestCase):
    """Connections through a proxy."""

    async def asyncSetUp(self) -> None:
        self.server = await asyncio.start_server(_echo, *SERVER.endpoint)
        self.proxy = TcpProxy(address=PROXY, server=SERVER)
        await self.proxy.start()
        self.reader, self.writer = await asyncio.open_connection(*PROXY.endpoint)

    async def asyncTearDown(self) -> None:
        self.writer.close()
        await self.proxy.stop()
        self.server.close()

    async def echoes(self, text: bytes) -> bool:
        self.writer.write(text)
        return await self.receives()

    async def receives(self) -> bool:
        try:
            return bool(await asyncio.wait_for(self.reader.read(100), SOON))
        except TimeoutError:
            return False

    async def test_passes(self) -> None:
        """Without a fault, data passes both ways."""
        self.assertTrue(await self.echoes(b"a"))

    async def test_blocked_one_way(self) -> None:
        """Data that a fault holds back is delivered once the fault is cleared."""
        self.assertTrue(await self.echoes(b"a"))
        self.proxy.faults.blocks_from_server = True
        self.assertFalse(await self.echoes(b"b"))
        self.proxy.faults.clear()
        self.assertTrue(await self.receives())

    async def test_reset(self) -> None:
        """A reset closes the client's connection too."""
        self.assertTrue(await self.echoes(b"a"))
        self.proxy.reset()
        try:
            left = await asyncio.wait_for(self.reader.read(100), 5)
        except ConnectionError:
            left = b""
        self.assertEqual(left, b"")


class UdpProxyTests(unittest.IsolatedAsyncioTestCase):
    """Datagrams through a proxy."""

    async def test_blocked_and_cleared(self) -> None:
        """A blocked link drops datagrams, a cleared one forwards them."""
        received: asyncio.Queue = asyncio.Queue()

        class Sink(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, addr: tuple) -> None:
                received.put_nowait(data)

        loop = asyncio.get_running_loop()
        sink, _ = await loop.create_datagram_endpoint(Sink, local_addr=SERVER.endpoint)
        faults = LinkFaults(blocks_to_server=True)
        proxy = UdpProxy(
            address=PROXY, server=SERVER, faults=faults, draw=random.Random(1)
        )
        await proxy.start()
        proxy.datagram_received(b"lost", ("", 0))
        faults.clear()
        proxy.datagram_received(b"passed", ("", 0))
        self.assertEqual(await asyncio.wait_for(received.get(), 5), b"passed")
        proxy.stop()
        sink.close()
