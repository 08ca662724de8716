"""Loopback proxies that inject faults into TCP connections and UDP datagrams."""

import asyncio
import random
from dataclasses import dataclass, field

from monsoonpier.model.address import Address

__all__ = ["LinkFaults", "TcpProxy", "UdpProxy"]

CHUNK_BYTES = 65_536
SLOW_CHUNK_BYTES = 8_192  # at a limited rate
BLOCKED_POLL_SECONDS = 0.02
STOP_SECONDS = 2.0


@dataclass(slots=True, kw_only=True)
class LinkFaults:
    """Faults of a link, which may change while it is used.

    Attributes:
        delay_seconds: Delay added in each direction.
        blocks_to_server: Whether data to the server is held back or dropped.
        blocks_from_server: The same for data from the server.
        loss_share: Share of datagrams lost at random.
        bytes_per_second: Rate of a TCP server's data over all connections; 0 is no
            limit.
    """

    delay_seconds: float = 0.0
    blocks_to_server: bool = False
    blocks_from_server: bool = False
    loss_share: float = 0.0
    bytes_per_second: float = 0.0

    def clear(self) -> None:
        """Remove all faults."""
        self.delay_seconds = 0.0
        self.blocks_to_server = False
        self.blocks_from_server = False
        self.loss_share = 0.0
        self.bytes_per_second = 0.0


@dataclass(kw_only=True)
class TcpProxy:
    """Forwards TCP connections; data that a fault blocks is delivered later.

    Args:
        address: Address to listen on.
        server: Address to connect to.
        faults: Faults of the link.
    """

    address: Address
    server: Address
    faults: LinkFaults = field(default_factory=LinkFaults)
    _tasks: set[asyncio.Task] = field(default_factory=set)
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _link: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def start(self) -> None:
        """Start to listen.

        Raises:
            OSError: If the port is in use.
        """
        self._listener = await asyncio.start_server(
            self._accept, *self.address.endpoint
        )

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self._listener.close()
        self.faults.clear()
        self.reset()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=STOP_SECONDS)

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self._writers.add(writer)
        try:
            await self._forward(reader, writer)
        except OSError:
            pass  # one end closed or reset the connection
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        server_reader, server_writer = await asyncio.open_connection(
            *self.server.endpoint
        )
        self._writers.add(server_writer)
        copying = (
            asyncio.create_task(self._copy(reader, server_writer, is_to_server=True)),
            asyncio.create_task(self._copy(server_reader, writer, is_to_server=False)),
        )
        try:
            await asyncio.wait(copying, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in copying:
                task.cancel()
            await asyncio.gather(*copying, return_exceptions=True)
            self._writers.discard(server_writer)
            server_writer.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_to_server: bool,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await asyncio.sleep(self.faults.delay_seconds)
            if not is_to_server and self.faults.bytes_per_second:
                await self._write_slowly(data, writer)
                continue
            while self._is_blocked(is_to_server=is_to_server):
                await asyncio.sleep(BLOCKED_POLL_SECONDS)
            writer.write(data)
            await writer.drain()

    async def _write_slowly(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        """Write at the link's rate, which all connections share."""
        for start in range(0, len(data), SLOW_CHUNK_BYTES):
            part = data[start : start + SLOW_CHUNK_BYTES]
            async with self._link:
                await asyncio.sleep(len(part) / self.faults.bytes_per_second)
            writer.write(part)
            await writer.drain()

    def _is_blocked(self, *, is_to_server: bool) -> bool:
        faults = self.faults
        return faults.blocks_to_server if is_to_server else faults.blocks_from_server


class UdpProxy(asyncio.DatagramProtocol):
    """Forwards datagrams one way; a fault may drop them.

    Args:
        address: Address to listen on.
        server: Address to send to.
        faults: Faults of the link, which its TCP proxy may share.
        draw: Source of randomness for loss.
    """

    def __init__(
        self,
        *,
        address: Address,
        server: Address,
        faults: LinkFaults,
        draw: random.Random,
    ) -> None:
        self._address = address
        self._server = server
        self._faults = faults
        self._draw = draw
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Bind the socket.

        Raises:
            OSError: If the port is in use.
        """
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self._address.endpoint
        )

    def stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Forward, delay or drop a datagram."""
        faults = self._faults
        if faults.blocks_to_server or self._draw.random() < faults.loss_share:
            return
        if not faults.delay_seconds:
            self._send(data)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(faults.delay_seconds, self._send, data)

    def _send(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, self._server.endpoint)
