"""A UDP socket that passes each datagram to a callback."""

import asyncio
import socket
from collections.abc import Callable

from monsoonpier.model.address import Address

__all__ = ["UdpSocket", "open_udp"]

BUFFER_BYTES = 4 * 1_048_576  # receive buffer; bursts overrun the default size

Receiver = Callable[[bytes, tuple[str, int]], None]


class UdpSocket(asyncio.DatagramProtocol):
    """A UDP socket that counts bytes and ignores errors of single datagrams."""

    def __init__(self, receive: Receiver) -> None:
        self._receive = receive
        self._transport: asyncio.DatagramTransport | None = None
        self.bytes_in = 0
        self.bytes_out = 0

    def connection_made(self, transport) -> None:
        """Store the transport; called by asyncio."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass one datagram to the callback; called by asyncio."""
        self.bytes_in += len(data)
        self._receive(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors; failed peers are detected by timeouts."""

    def send(self, data: bytes, endpoint: tuple[str, int]) -> None:
        """Send one datagram; drop it if it can't be sent."""
        if self._transport is None or self._transport.is_closing():
            return
        self.bytes_out += len(data)
        try:
            self._transport.sendto(data, endpoint)
        except (OSError, ValueError):
            return

    @property
    def address(self) -> Address:
        """The address that the socket is bound to."""
        assert self._transport is not None
        ip, port = self._transport.get_extra_info("sockname")[:2]
        return Address(ip=ip, port=port)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


async def open_udp(receive: Receiver, *, ip: str, port: int) -> UdpSocket:
    """Bind a UDP socket and pass its datagrams to ``receive``.

    Raises:
        OSError: If the port is in use or the address is not local.
    """
    loop = asyncio.get_running_loop()
    raw = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    raw.setblocking(False)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    try:
        raw.bind((ip, port))
    except OSError as error:
        raw.close()
        raise OSError(error.errno, f"{error.strerror} ({ip}:{port})") from error
    _, protocol = await loop.create_datagram_endpoint(
        lambda: UdpSocket(receive), sock=raw
    )
    return protocol
