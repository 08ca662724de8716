"""The soak's proxies do what their faults say."""

import asyncio
import random
import unittest

from monsoonpier.model.address import Address
from standins.proxy import LinkFaults, TcpProxy, UdpProxy

PROXY = Address(ip="127.91.0.2", port=9100)
SERVER = Address(ip="127.91.0.1", port=9100)
SOON = 0.2  # long for a way on loopback


async def _echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


class TcpProxyTests(unittest.IsolatedAsyncioTestCase):
    """Connections that pass a proxy."""

    async def asyncSetUp(self) -> None:
        self.server = await asyncio.start_server(_echo, *SERVER.endpoint)
        self.proxy = TcpProxy(address=PROXY, server=SERVER)
        await self.proxy.start()
        self.reader, self.writer = await asyncio.open_connection(*PROXY.endpoint)

    async def asyncTearDown(self) -> None:
        self.writer.close()
        await self.proxy.stop()
        self.server.close()

    async def comes_back(self, text: bytes) -> bool:
        self.writer.write(text)
        return await self.comes()

    async def comes(self) -> bool:
        try:
            return bool(await asyncio.wait_for(self.reader.read(100), SOON))
        except TimeoutError:
            return False

    async def test_passes(self) -> None:
        """Without a fault all passes."""
        self.assertTrue(await self.comes_back(b"a"))

    async def test_silent_one_way(self) -> None:
        """What a silent link holds up comes after it heals."""
        self.assertTrue(await self.comes_back(b"a"))
        self.proxy.faults.blocks_from_server = True
        self.assertFalse(await self.comes_back(b"b"))
        self.proxy.faults.clear()
        self.assertTrue(await self.comes())

    async def test_reset(self) -> None:
        """A reset ends both ends of a connection."""
        self.assertTrue(await self.comes_back(b"a"))
        self.proxy.reset()
        try:
            left = await asyncio.wait_for(self.reader.read(100), 5)
        except ConnectionError:
            left = b""
        self.assertEqual(left, b"")


class UdpProxyTests(unittest.IsolatedAsyncioTestCase):
    """Datagrams that pass a proxy."""

    async def test_silent_and_mended(self) -> None:
        """A silent link loses datagrams, a mended one passes them."""
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
