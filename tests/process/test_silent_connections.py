"""Connections to a server that pass nothing more, while new ones work."""

import asyncio
import unittest

from monsoonpier.http.client import HttpClient, HttpError
from monsoonpier.model.address import Address

TIMEOUT_SECONDS = 0.2


class SilentConnectionTests(unittest.IsolatedAsyncioTestCase):
    """A server whose open connections fall silent at once."""

    async def asyncSetUp(self) -> None:
        self.open: set[asyncio.StreamWriter] = set()
        self.silent: set[asyncio.StreamWriter] = set()
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.client = HttpClient(address=Address(ip="127.0.0.1", port=port))
        self.addCleanup(self.client.close)

    async def _serve(self, reader, writer) -> None:
        self.open.add(writer)
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(0.05)  # so that two calls need two connections
                if writer not in self.silent:
                    writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
        except (asyncio.IncompleteReadError, OSError):
            writer.close()

    async def _call(self) -> int:
        return (await self.client.call("GET", "/", timeout=TIMEOUT_SECONDS)).status

    async def test_repeated_call(self) -> None:
        """A call that is repeated after a timeout gets a new connection.

        Guards against a watch that is repeated on a second silent connection, so that
        a change takes effect only after two timeouts.
        """
        await asyncio.gather(self._call(), self._call())
        self.assertEqual(len(self.open), 2)
        self.silent = set(self.open)
        with self.assertRaises(HttpError):
            await self._call()
        self.assertEqual(await self._call(), 200)
