"""A link between zones: it passes datagrams on, both ways, after its delay."""

import asyncio

from wire import Endpoint

ONE_WAY_SECONDS = 0.0009  # SYSTEM.md: 0.9 ms between zones


class FarLink(asyncio.DatagramProtocol):
    """Takes datagrams for a node at an address of its own.

    Args:
        address: Where it takes them.
        node: The node's address.
    """

    def __init__(self, address: Endpoint, node: Endpoint) -> None:
        self._address, self._node = address, node
        self._back_by_sender: dict[Endpoint, asyncio.DatagramTransport] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self._address
        )

    def stop(self) -> None:
        for transport in (self._transport, *self._back_by_sender.values()):
            if transport is not None:
                transport.close()

    def datagram_received(self, data: bytes, addr: Endpoint) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(ONE_WAY_SECONDS, self._pass_on, data, addr)

    def _pass_on(self, data: bytes, sender: Endpoint) -> None:
        transport = self._back_by_sender.get(sender)
        if transport is not None:
            transport.sendto(data, self._node)
            return
        asyncio.create_task(self._open(data, sender))

    async def _open(self, data: bytes, sender: Endpoint) -> None:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _WayBack(self._transport, sender),
            local_addr=(self._address[0], 0),
        )
        self._back_by_sender[sender] = transport
        transport.sendto(data, self._node)


class _WayBack(asyncio.DatagramProtocol):
    """Passes a node's answers back to the sender, from the link's address."""

    def __init__(self, link: asyncio.DatagramTransport, sender: Endpoint) -> None:
        self._link, self._sender = link, sender

    def datagram_received(self, data: bytes, addr: Endpoint) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(ONE_WAY_SECONDS, self._link.sendto, data, self._sender)
