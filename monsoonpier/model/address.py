"""Addresses of processes and services."""

import ipaddress
from dataclasses import dataclass
from socket import inet_aton

__all__ = ["Address"]

MAX_PORT = 65_535


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Address:
    """An IPv4 address and a UDP or TCP port."""

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Return the address written as ``ip:port``.

        Raises:
            ValueError: If the IP address or the port is not valid.
        """
        ip, separator, port = text.rpartition(":")
        if not separator or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
            raise ValueError(f"{text!r} is not an ip:port address")
        return cls(ip=str(ipaddress.IPv4Address(ip)), port=int(port))

    @property
    def packed(self) -> bytes:
        """The address in 6 bytes, for messages."""
        return inet_aton(self.ip) + self.port.to_bytes(2, "big")

    @property
    def endpoint(self) -> tuple[str, int]:
        """The address in the form that the standard library's sockets take."""
        return (self.ip, self.port)

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"
