"""The packet header as the stand-ins' two ends write it, apart from the product.

Written a second time on purpose: a mistake in the product's codec must not hide
behind the same mistake here.
"""

import struct
import zlib
from dataclasses import dataclass
from ipaddress import IPv4Address

__all__ = ["ACK", "BOUNCED", "FIN", "MAX_DATA", "RST", "SYN", "Segment"]

SYN, ACK, FIN, RST, BOUNCED = 32, 1, 16, 64, 4
MAX_DATA = 1_200
_LAYOUT = ">BIHIIIIHHI"
_SIZE = 31


@dataclass(frozen=True, slots=True, kw_only=True)
class Segment:
    """One packet with its ends as (ip, port)."""

    flags: int
    source: tuple[str, int]
    destination: tuple[str, int]
    sequence: int = 0
    acknowledged: int = 0
    data: bytes = b""
    is_true: bool = True  # its sum is what its sender wrote

    def encode(self) -> bytes:
        """Return the packet's bytes."""
        return self._head(_sum(self)) + self.data

    def _head(self, checksum: int) -> bytes:
        return struct.pack(
            _LAYOUT,
            self.flags,
            0,
            len(self.data),
            self.sequence,
            self.acknowledged,
            int(IPv4Address(self.source[0])),
            int(IPv4Address(self.destination[0])),
            self.source[1],
            self.destination[1],
            checksum,
        )

    @classmethod
    def decode(cls, raw: bytes) -> "Segment":
        """Return the packet in ``raw``."""
        fields = struct.unpack(_LAYOUT, raw[:_SIZE])
        flags, _, size, sequence, acknowledged, src, dst, sport, dport, total = fields
        segment = cls(
            flags=flags & ~BOUNCED,
            source=(str(IPv4Address(src)), sport),
            destination=(str(IPv4Address(dst)), dport),
            sequence=sequence,
            acknowledged=acknowledged,
            data=raw[_SIZE : _SIZE + size],
        )
        is_true = total == _sum(segment) or (flags == RST and total == 0)
        return cls(
            flags=flags,
            source=segment.source,
            destination=segment.destination,
            sequence=sequence,
            acknowledged=acknowledged,
            data=segment.data,
            is_true=is_true,
        )


def _sum(segment: Segment) -> int:
    """Return a sum that the system doesn't know how to make."""
    text = f"{segment.flags} {segment.source} {segment.destination} "
    text += f"{segment.sequence} {segment.acknowledged}"
    return zlib.crc32(text.encode() + segment.data, 0x5EED)
