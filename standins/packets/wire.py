"""The packet header, implemented independently of monsoonpier's codec.

The duplication is deliberate: sharing the codec would hide its faults from tests.
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
    """A packet; source and destination are (ip, port)."""

    flags: int
    source: tuple[str, int]
    destination: tuple[str, int]
    sequence: int = 0
    acknowledged: int = 0
    data: bytes = b""
    has_valid_checksum: bool = True

    def encode(self) -> bytes:
        """Encode the packet."""
        return self._encode_header(_checksum(self)) + self.data

    def _encode_header(self, checksum: int) -> bytes:
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
        """Decode a packet."""
        fields = struct.unpack(_LAYOUT, raw[:_SIZE])
        flags, _, size, sequence, acknowledged, src, dst, sport, dport, checksum = (
            fields
        )
        segment = cls(
            flags=flags & ~BOUNCED,
            source=(str(IPv4Address(src)), sport),
            destination=(str(IPv4Address(dst)), dport),
            sequence=sequence,
            acknowledged=acknowledged,
            data=raw[_SIZE : _SIZE + size],
        )
        has_valid_checksum = checksum == _checksum(segment) or (
            flags == RST and checksum == 0
        )
        return cls(
            flags=flags,
            source=segment.source,
            destination=segment.destination,
            sequence=sequence,
            acknowledged=acknowledged,
            data=segment.data,
            has_valid_checksum=has_valid_checksum,
        )


def _checksum(segment: Segment) -> int:
    """Return the end-to-end checksum, which monsoonpier can't compute."""
    text = f"{segment.flags} {segment.source} {segment.destination} "
    text += f"{segment.sequence} {segment.acknowledged}"
    return zlib.crc32(text.encode() + segment.data, 0x5EED)
