"""A minimal datagram relay, the baseline for the cost of a forwarded packet."""

import asyncio
import sys

import uvloop

from monsoonpier.model.address import Address


class _Relay(asyncio.DatagramProtocol):
    """Forwards every datagram to one address."""

    def __init__(self, to: tuple[str, int]) -> None:
        self._to = to

    def connection_made(self, transport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr) -> None:
        self._transport.sendto(data, self._to)


async def _run(listen: Address, to: Address) -> None:
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(
        lambda: _Relay(to.endpoint), local_addr=listen.endpoint
    )
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(_run(Address.parse(sys.argv[1]), Address.parse(sys.argv[2])))
